//! How an accepted document comes into force on every host and never goes back.
//!
//! Few hosts of each failure domain read the configuration service; the rest learn from peers.
//! Every host judges every text by itself, so only texts travel, never verdicts. What a host
//! holds only grows, in the order of [`Version`], so hosts that heard the same versions in any
//! order end in the same state.

mod message;
mod patch;
mod reader;
mod store;
mod tracker;

pub use {
    message::{
        Action, Content, Event, Message, Outcome, Report, Summary, Version, Versions, View, Watch,
    },
    patch::Patch,
};

use {
    super::{
        Diagnostic, Document, Snapshot,
        accept::{self, Parsed},
    },
    crate::{machine, name, rendezvous},
    rand::{SeedableRng, rngs::StdRng, seq::IndexedRandom},
    reader::{Due, Reader, Role, WATCHERS_PER_DOMAIN},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
    store::Change,
    tracker::Tracker,
};

/// Time between two [`Event::Tick`].
pub const TICK: Duration = Duration::from_millis(100);

/// A host that was stopped for longer than this must confirm its documents before it serves.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);

/// When a host tells its peers about something new, counted from when it learned of it.
const ANNOUNCE_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(300),
    Duration::from_millis(1200),
];

/// Peers of its own failure domain that a host tells each time.
const NEAR_FANOUT: usize = 4;

/// Peers of other failure domains that a host tells each time.
const FAR_FANOUT: usize = 1;

/// Peers that a host asks before it says that it is ready.
const ASKED_NEAR: usize = 4;

/// Peers of other failure domains that it asks as well.
const ASKED_FAR: usize = 1;

/// Time after which a peer that has not answered is asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Longest that a host waits for answers before it says that it is ready all the same.
const READY_TIMEOUT: Duration = Duration::from_secs(5);

/// A host to which no peer has spoken for this long takes itself for cut off from its peers.
const PEER_TIMEOUT: Duration = Duration::from_secs(4);

/// Deliberate mistakes, for tests that must be seen to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Installs whatever the service gives, also an older revision.
    TrustService,
    /// Keeps whichever content of a revision came first.
    KeepFirstContent,
    /// Says that it is ready without having asked its peers.
    ReadyWithoutPeers,
}

/// What a machine is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host.
    pub host: name::Host,
    /// Seeds the choice of peers and the jitter.
    pub seed: u64,
    /// A deliberate mistake; none outside tests.
    pub mutant: Option<Mutant>,
}

/// The documents of one host and how it learns of new ones.
#[derive(Debug)]
pub struct Machine {
    settings: Settings,
    rng: StdRng,
    view: View,
    has_view: bool,
    watched: BTreeSet<Document>,
    trackers: BTreeMap<Document, Tracker>,
    started_at: Option<Duration>,
    last_step_at: Duration,
    last_heard_at: Option<Duration>,
    round: u64,
    next_ask_at: Duration,
    has_asked: bool,
    asked: BTreeSet<name::Host>,
    answered: BTreeSet<name::Host>,
    ready: bool,
    announcements: VecDeque<Duration>,
    snapshot: Arc<Snapshot>,
}

impl Machine {
    /// A host that holds nothing.
    pub fn new(settings: Settings) -> Self {
        Self {
            rng: StdRng::seed_from_u64(settings.seed),
            settings,
            view: View::default(),
            has_view: false,
            watched: BTreeSet::new(),
            trackers: BTreeMap::new(),
            started_at: None,
            last_step_at: Duration::ZERO,
            last_heard_at: None,
            round: 0,
            next_ask_at: Duration::ZERO,
            has_asked: false,
            asked: BTreeSet::new(),
            answered: BTreeSet::new(),
            ready: false,
            announcements: VecDeque::new(),
            snapshot: Arc::default(),
        }
    }

    /// The documents in force, joined.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.clone()
    }

    /// Whether the host has confirmed that its documents are the fleet's.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// What the host has of each document.
    pub fn summary(&self) -> Summary {
        let standing =
            |(document, tracker): (&Document, &Tracker)| (*document, tracker.store.versions());
        self.trackers.iter().map(standing).collect()
    }

    /// Everything that is wrong with the later version of a document that was refused.
    pub fn refusal_diagnostics(&self, document: Document) -> &[Diagnostic] {
        self.trackers
            .get(&document)
            .map_or(&[], |tracker| tracker.store.refusal_diagnostics())
    }

    /// Names that don't join in the documents in force.
    pub fn broken_references(&self) -> Vec<Diagnostic> {
        match Document::ALL.map(|document| self.parsed(document)) {
            [
                Some(Parsed::Routes(routes)),
                Some(Parsed::Pools(pools)),
                Some(Parsed::Customers(customers)),
            ] => accept::check_references(routes, pools, customers),
            _ => Vec::new(),
        }
    }

    /// The service's revision of a document, where it is older than the one known.
    pub fn stale_service_revision(&self, document: Document) -> Option<u64> {
        self.trackers.get(&document)?.stale_revision
    }

    fn parsed(&self, document: Document) -> Option<&Parsed> {
        self.trackers.get(&document)?.store.parsed()
    }

    fn role(&self, now: Duration, document: Document) -> Role {
        let is_silent = self.last_heard_at.or(self.started_at).unwrap_or(now) + PEER_TIMEOUT < now;
        if is_silent || (self.view.same_domain.is_empty() && self.view.other_domains.is_empty()) {
            return Role::Isolated;
        }
        if self.watched.contains(&document) {
            return Role::Watcher;
        }
        Role::Listener
    }

    fn update_view(&mut self, now: Duration, view: View) {
        if !self.has_asked {
            self.next_ask_at = Duration::ZERO;
        }
        let is_first = !self.has_view;
        self.view = view;
        self.has_view = true;
        self.watched = Document::ALL
            .into_iter()
            .filter(|document| self.is_watcher(*document))
            .collect();
        if is_first && self.started_at.is_some() {
            self.start_readers(now);
        }
    }

    /// Lets each reader begin anew; without a view none does before long, lest all hosts that
    /// start together read at once.
    fn start_readers(&mut self, now: Duration) {
        for document in Document::ALL {
            let role = self.role(now, document);
            let reader = match self.has_view {
                true => Reader::start(now, role, &self.view, &mut self.rng),
                false => Reader::without_view(now, &mut self.rng),
            };
            if let Some(tracker) = self.trackers.get_mut(&document) {
                tracker.reader = reader;
            }
        }
    }

    /// Whether this host is one of its failure domain's readers of a document.
    fn is_watcher(&self, document: Document) -> bool {
        let key = document.to_string();
        let weight = rendezvous::weight(&key, self.settings.host.as_str());
        let outranks = |host: &&name::Host| rendezvous::weight(&key, host.as_str()) > weight;
        self.view.same_domain.iter().filter(outranks).count() < WATCHERS_PER_DOMAIN
    }

    /// Begins, or begins again after a pause: nothing is confirmed and everybody is asked.
    fn restart(&mut self, now: Duration) -> Vec<Action> {
        self.started_at = Some(now);
        self.last_heard_at = None;
        self.round += 1;
        self.next_ask_at = now;
        self.has_asked = false;
        self.asked.clear();
        self.answered.clear();
        for document in Document::ALL {
            let tracker = self
                .trackers
                .entry(document)
                .or_insert_with(|| Tracker::new(document));
            tracker.fetch = None;
            tracker.has_read_service = false;
        }
        self.start_readers(now);
        if !self.ready {
            return Vec::new();
        }
        self.ready = false;
        vec![Action::Ready(false)]
    }

    /// Asks some peers, and those again that have not answered.
    fn ask(&mut self, now: Duration) -> Vec<Action> {
        if self.ready || now < self.next_ask_at {
            return Vec::new();
        }
        self.next_ask_at = now + ASK_INTERVAL;
        self.has_asked = self.has_view;
        let view = &self.view;
        self.asked
            .retain(|host| view.same_domain.contains(host) || view.other_domains.contains(host));
        if self.asked.is_empty() {
            let near = view.same_domain.sample(&mut self.rng, ASKED_NEAR);
            let far = view.other_domains.sample(&mut self.rng, ASKED_FAR);
            self.asked = near.chain(far).cloned().collect();
        }
        let unanswered = self.asked.difference(&self.answered);
        let ask = |to: &name::Host| Action::Send {
            to: to.clone(),
            message: Message::Ask {
                summary: self.summary(),
                round: self.round,
            },
        };
        unanswered.map(ask).collect()
    }

    /// Tells some peers, when an announcement is due.
    fn announce(&mut self, now: Duration) -> Vec<Action> {
        if self.announcements.front().is_none_or(|due| now < *due) {
            return Vec::new();
        }
        self.announcements.pop_front();
        let near = self.view.same_domain.sample(&mut self.rng, NEAR_FANOUT);
        let far = self.view.other_domains.sample(&mut self.rng, FAR_FANOUT);
        let message = Message::Announce(self.summary());
        near.chain(far)
            .map(|to| Action::Send {
                to: to.clone(),
                message: message.clone(),
            })
            .collect()
    }

    fn on_tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = self.ask(now);
        actions.extend(self.announce(now));
        for document in Document::ALL {
            let role = self.role(now, document);
            let Some(tracker) = self.trackers.get_mut(&document) else {
                continue;
            };
            actions.extend(tracker.retry_fetch(now));
            let known = tracker
                .store
                .versions()
                .latest()
                .map(|version| version.revision);
            let due = tracker
                .reader
                .due_read(now, role, known, &self.view, &mut self.rng);
            let watch = match due {
                None => continue,
                Some(Due::Plain) => None,
                Some(Due::Watch(watch)) => Some(watch),
            };
            actions.push(Action::Read {
                document,
                round: self.round,
                watch,
            });
        }
        actions.extend(self.ready_if_confirmed(now));
        actions
    }

    /// Says that the host is ready once it is.
    fn ready_if_confirmed(&mut self, now: Duration) -> Option<Action> {
        let has_all_documents = self.trackers.len() == Document::ALL.len()
            && self
                .trackers
                .values()
                .all(|tracker| tracker.store.parsed().is_some());
        if self.ready || !has_all_documents {
            return None;
        }
        let timed_out = now >= self.started_at? + READY_TIMEOUT;
        if !timed_out && !self.is_confirmed() {
            return None;
        }
        self.ready = true;
        Some(Action::Ready(true))
    }

    fn is_confirmed(&self) -> bool {
        let is_current = |tracker: &Tracker| {
            tracker.has_read_service && !tracker.store.lacks(&tracker.best_offered)
        };
        let skip_peers = self.settings.mutant == Some(Mutant::ReadyWithoutPeers);
        let peers_answered = self.has_asked && self.asked.is_subset(&self.answered);
        self.trackers.values().all(is_current) && (skip_peers || peers_answered)
    }

    fn on_message(&mut self, now: Duration, from: name::Host, message: Message) -> Vec<Action> {
        match message {
            Message::Announce(summary) => self.fetch_newer(now, &from, &summary),
            Message::Ask { summary, round } => {
                let mut actions = self.fetch_newer(now, &from, &summary);
                actions.push(Action::Send {
                    to: from,
                    message: Message::Answer {
                        summary: self.summary(),
                        round,
                    },
                });
                actions
            }
            Message::Answer { summary, round } => {
                let mut actions = self.fetch_newer(now, &from, &summary);
                if round == self.round {
                    self.answered.insert(from);
                }
                actions.extend(self.ready_if_confirmed(now));
                actions
            }
            Message::Fetch { document, have } => self.send_document(from, document, have),
            Message::Document {
                document,
                version,
                content,
            } => self.on_document(now, from, document, version, content),
        }
    }

    /// Fetches what a peer has and this host lacks.
    fn fetch_newer(&mut self, now: Duration, from: &name::Host, summary: &Summary) -> Vec<Action> {
        self.trackers
            .iter_mut()
            .filter_map(|(document, tracker)| {
                tracker.on_offer(now, from, &summary.versions(*document))
            })
            .collect()
    }

    fn send_document(&self, to: name::Host, document: Document, have: Versions) -> Vec<Action> {
        let Some(tracker) = self.trackers.get(&document) else {
            return Vec::new();
        };
        let send = |(version, content)| Action::Send {
            to: to.clone(),
            message: Message::Document {
                document,
                version,
                content,
            },
        };
        tracker.store.contents(have).into_iter().map(send).collect()
    }

    fn on_document(
        &mut self,
        now: Duration,
        from: name::Host,
        document: Document,
        version: Version,
        content: Content,
    ) -> Vec<Action> {
        let Some(tracker) = self.trackers.get_mut(&document) else {
            return Vec::new();
        };
        match tracker.store.resolve(version, content) {
            Some(text) => self.learn(now, Some(&from), document, version, text),
            None => Vec::new(),
        }
    }

    /// Takes a text that a peer or the service gave.
    fn learn(
        &mut self,
        now: Duration,
        from: Option<&name::Host>,
        document: Document,
        version: Version,
        text: Arc<str>,
    ) -> Vec<Action> {
        let Some(tracker) = self.trackers.get_mut(&document) else {
            return Vec::new();
        };
        let held = tracker.store.versions().accepted;
        let conflicting = held.filter(|held| held.revision == version.revision && *held != version);
        let mutant = self.settings.mutant;
        if mutant == Some(Mutant::KeepFirstContent) && conflicting.is_some() {
            return Vec::new();
        }
        let force = mutant == Some(Mutant::TrustService) && from.is_none() && held != Some(version);
        let change = tracker.store.learn(version, text, force);
        if !tracker.store.lacks(&tracker.best_offered) {
            tracker.fetch = None;
        }
        let mut actions = Vec::new();
        if let Some(held) = conflicting
            && tracker.reported_conflict != Some(held.min(version))
        {
            tracker.reported_conflict = Some(held.min(version));
            actions.push(Action::Report(Report::Conflict {
                document,
                kept: held.max(version),
                dropped: held.min(version),
            }));
        }
        match change {
            Change::None => return actions,
            Change::Installed => {
                self.rebuild_snapshot();
                actions.push(Action::Install { document, version });
            }
            Change::Refused(report) => actions.push(Action::Report(report)),
        }
        if let Some(tracker) = self.trackers.get_mut(&document) {
            tracker
                .reader
                .postpone_quiet_read(now, &self.view, &mut self.rng);
        }
        self.announcements = ANNOUNCE_DELAYS.map(|after| now + after).into();
        actions.extend(self.announce(now));
        actions.extend(self.ready_if_confirmed(now));
        actions
    }

    fn rebuild_snapshot(&mut self) {
        let routes = match self.parsed(Document::Routes) {
            Some(Parsed::Routes(rows)) => rows.clone().into(),
            _ => Default::default(),
        };
        let pools = match self.parsed(Document::Pools) {
            Some(Parsed::Pools(rows)) => rows.clone().into(),
            _ => Default::default(),
        };
        let customers = match self.parsed(Document::Customers) {
            Some(Parsed::Customers(rows)) => rows.clone().into(),
            _ => Default::default(),
        };
        self.snapshot = Arc::new(Snapshot::new(routes, pools, customers));
    }

    fn on_read_ended(
        &mut self,
        now: Duration,
        document: Document,
        round: u64,
        outcome: Outcome,
    ) -> Vec<Action> {
        let role = self.role(now, document);
        let Some(tracker) = self.trackers.get_mut(&document) else {
            return Vec::new();
        };
        if round == self.round {
            tracker.has_read_service = true;
            tracker
                .reader
                .on_read_ended(now, role, &outcome, &self.view, &mut self.rng);
        }
        let Outcome::Found { revision, text } = outcome else {
            return self.ready_if_confirmed(now).into_iter().collect();
        };
        let known = tracker.store.versions().latest();
        let mut actions = Vec::new();
        let behind = known
            .map(|version| version.revision)
            .filter(|known| *known > revision);
        if let Some(known) = behind
            && tracker.stale_revision != Some(revision)
        {
            actions.push(Action::Report(Report::Behind {
                document,
                service_revision: revision,
                known_revision: known,
            }));
        }
        tracker.stale_revision = behind.map(|_| revision);
        let version = Version::of(revision, &text);
        actions.extend(self.learn(now, None, document, version, text));
        actions.extend(self.ready_if_confirmed(now));
        actions
    }
}

impl machine::Machine for Machine {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let elapsed = now.saturating_sub(self.last_step_at);
        self.last_step_at = now;
        let mut actions = Vec::new();
        if let Event::View(view) = &event {
            self.update_view(now, view.clone());
        }
        if self.started_at.is_none() || elapsed > PAUSE_THRESHOLD {
            actions.extend(self.restart(now));
        }
        actions.extend(match event {
            Event::Tick => self.on_tick(now),
            Event::View(_) => Vec::new(),
            Event::Heartbeat { from, summary } => {
                self.last_heard_at = Some(now);
                self.fetch_newer(now, &from, &summary)
            }
            Event::Received { from, message } => {
                self.last_heard_at = Some(now);
                self.on_message(now, from, message)
            }
            Event::ReadEnded {
                document,
                round,
                outcome,
            } => self.on_read_ended(now, document, round, outcome),
        });
        actions
    }
}
