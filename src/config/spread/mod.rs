//! Distributes documents from the configuration service to all hosts.
//!
//! A few hosts of each failure domain watch the configuration service; the others learn of changes
//! from peers. Hosts exchange texts and each host validates every text itself. A host never
//! replaces a version by an earlier one in the order of [`Version`], so hosts that received the
//! same versions in any order hold the same ones.
//!
//! [`Machine`] is the state machine of one host. Its inputs are heartbeats, messages of peers and
//! results of reads; its outputs are messages, reads, new snapshots and reports for operators. The
//! fleet service of the entry drives it.

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
    reader::{Read, Reader, Role, WATCHERS_PER_DOMAIN},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
    store::Change,
    tracker::Tracker,
};

/// Interval of [`Event::Tick`].
pub const TICK: Duration = Duration::from_millis(100);

/// A longer gap between two events means that the process was paused, after which the host must
/// confirm its documents again before it serves.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);

/// Delays after which a host announces a new version to random peers. Later announcements cover
/// peers that missed the earlier ones.
const ANNOUNCE_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(300),
    Duration::from_millis(1200),
];

/// Peers of its own failure domain in each announcement of a host.
const SAME_DOMAIN_FANOUT: usize = 4;

/// Peers of other failure domains in each announcement of a host.
const OTHER_DOMAINS_FANOUT: usize = 1;

/// Peers of its own failure domain that a host asks before it is ready.
const SAME_DOMAIN_ASKED: usize = 4;

/// Peers of other failure domains that a host asks before it is ready.
const OTHER_DOMAINS_ASKED: usize = 1;

/// Interval at which peers that haven't answered are asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a host with all documents is ready even if the service or a peer has not
/// answered.
const READY_TIMEOUT: Duration = Duration::from_secs(5);

/// A host that hears from no peer for this long counts itself as isolated.
const PEER_TIMEOUT: Duration = Duration::from_secs(4);

/// Deliberate faults, which prove that tests can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Installs every version that the service returns, even an older one.
    TrustService,
    /// Keeps the first content of a revision instead of the one with the higher digest.
    KeepFirstContent,
    /// Is ready without answers from its peers.
    ReadyWithoutPeers,
}

/// The settings of a machine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this host.
    pub host: name::Host,
    /// Seeds the choice of peers and the jitter.
    pub seed: u64,
    /// Deliberate fault; `None` outside tests.
    pub mutant: Option<Mutant>,
}

/// The state machine that keeps one host's documents up to date.
#[derive(Debug)]
pub struct Machine {
    settings: Settings,
    rng: StdRng,
    view: View,
    has_view: bool,
    /// Documents that this host watches for its failure domain.
    watched: BTreeSet<Document>,
    trackers: BTreeMap<Document, Tracker>,
    started_at: Option<Duration>,
    last_step_at: Duration,
    last_heard_at: Option<Duration>,
    /// Increases with each start and each pause, so that answers from before are ignored.
    round: u64,
    next_ask_at: Duration,
    /// Whether peers were asked in this round with a view of the fleet.
    has_asked: bool,
    asked: BTreeSet<name::Host>,
    answered: BTreeSet<name::Host>,
    is_ready: bool,
    /// Times of the pending announcements.
    announcements: VecDeque<Duration>,
    snapshot: Arc<Snapshot>,
}

impl Machine {
    /// Creates a machine that holds no documents and knows no peers.
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
            is_ready: false,
            announcements: VecDeque::new(),
            snapshot: Arc::default(),
        }
    }

    /// The snapshot of the documents in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.clone()
    }

    /// Whether the host has confirmed that its documents are current.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// The versions of each document that the host holds.
    pub fn summary(&self) -> Summary {
        let versions =
            |(document, tracker): (&Document, &Tracker)| (*document, tracker.store.versions());
        self.trackers.iter().map(versions).collect()
    }

    /// All errors of the refused version of a document; empty if none is refused.
    pub fn refusal_diagnostics(&self, document: Document) -> &[Diagnostic] {
        self.trackers
            .get(&document)
            .map_or(&[], |tracker| tracker.store.refusal_diagnostics())
    }

    /// Broken references between the documents in force.
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

    /// The revision that the service last returned, if it is older than the latest known one.
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

    /// Resets the read schedule of each document. Without a view the first read is delayed, so that
    /// hosts that start together don't all read at once.
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

    /// Whether this host is among those that watch a document for its failure domain, chosen by
    /// rendezvous hashing.
    fn is_watcher(&self, document: Document) -> bool {
        let key = document.to_string();
        let weight = rendezvous::weight(&key, self.settings.host.as_str());
        let outranks = |host: &&name::Host| rendezvous::weight(&key, host.as_str()) > weight;
        self.view.same_domain.iter().filter(outranks).count() < WATCHERS_PER_DOMAIN
    }

    /// Starts a new round at the first event or after a pause: the documents must be read and
    /// confirmed by peers again.
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
        if !self.is_ready {
            return Vec::new();
        }
        self.is_ready = false;
        vec![Action::Ready(false)]
    }

    /// Asks random peers for their summaries, and asks those again that haven't answered.
    fn ask(&mut self, now: Duration) -> Vec<Action> {
        if self.is_ready || now < self.next_ask_at {
            return Vec::new();
        }
        self.next_ask_at = now + ASK_INTERVAL;
        self.has_asked = self.has_view;
        let view = &self.view;
        self.asked
            .retain(|host| view.same_domain.contains(host) || view.other_domains.contains(host));
        if self.asked.is_empty() {
            let same_domain = view.same_domain.sample(&mut self.rng, SAME_DOMAIN_ASKED);
            let other_domains = view
                .other_domains
                .sample(&mut self.rng, OTHER_DOMAINS_ASKED);
            self.asked = same_domain.chain(other_domains).cloned().collect();
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

    /// Announces the summary to random peers when an announcement is due.
    fn announce(&mut self, now: Duration) -> Vec<Action> {
        if self.announcements.front().is_none_or(|due| now < *due) {
            return Vec::new();
        }
        self.announcements.pop_front();
        let same_domain = self
            .view
            .same_domain
            .sample(&mut self.rng, SAME_DOMAIN_FANOUT);
        let other_domains = self
            .view
            .other_domains
            .sample(&mut self.rng, OTHER_DOMAINS_FANOUT);
        let message = Message::Announce(self.summary());
        same_domain
            .chain(other_domains)
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
                Some(Read::Plain) => None,
                Some(Read::Watch(watch)) => Some(watch),
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

    /// Reports that the host is ready once all documents are confirmed or [`READY_TIMEOUT`] has
    /// passed.
    fn ready_if_confirmed(&mut self, now: Duration) -> Option<Action> {
        let has_all_documents = self.trackers.len() == Document::ALL.len()
            && self
                .trackers
                .values()
                .all(|tracker| tracker.store.parsed().is_some());
        if self.is_ready || !has_all_documents {
            return None;
        }
        let timed_out = now >= self.started_at? + READY_TIMEOUT;
        if !timed_out && !self.is_confirmed() {
            return None;
        }
        self.is_ready = true;
        Some(Action::Ready(true))
    }

    /// Whether the service and all asked peers have answered in this round, and no peer has offered
    /// a version that is missing here.
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

    /// Fetches the versions in a peer's summary that are missing here.
    fn fetch_newer(&mut self, now: Duration, from: &name::Host, summary: &Summary) -> Vec<Action> {
        self.trackers
            .iter_mut()
            .filter_map(|(document, tracker)| {
                tracker.on_offer(now, from, &summary.versions(*document))
            })
            .collect()
    }

    /// Sends a peer the versions of a document that it lacks.
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
            Some(text) => self.apply_text(now, Some(&from), document, version, text),
            None => Vec::new(),
        }
    }

    /// Applies a text from a peer, or from the service if `from` is `None`.
    fn apply_text(
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
        let accepted = tracker.store.versions().accepted;
        let conflicting = accepted
            .filter(|accepted| accepted.revision == version.revision && *accepted != version);
        let mutant = self.settings.mutant;
        if mutant == Some(Mutant::KeepFirstContent) && conflicting.is_some() {
            return Vec::new();
        }
        let force =
            mutant == Some(Mutant::TrustService) && from.is_none() && accepted != Some(version);
        let change = tracker.store.apply_text(version, text, force);
        if !tracker.store.lacks(&tracker.best_offered) {
            tracker.fetch = None;
        }
        let mut actions = Vec::new();
        if let Some(accepted) = conflicting
            && tracker.reported_conflict != Some(accepted.min(version))
        {
            tracker.reported_conflict = Some(accepted.min(version));
            actions.push(Action::Report(Report::Conflict {
                document,
                kept: accepted.max(version),
                dropped: accepted.min(version),
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

    /// Replaces the snapshot. A document that isn't held yet counts as empty.
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
        let newer_revision = known
            .map(|version| version.revision)
            .filter(|known| *known > revision);
        if let Some(known) = newer_revision
            && tracker.stale_revision != Some(revision)
        {
            actions.push(Action::Report(Report::Behind {
                document,
                service_revision: revision,
                known_revision: known,
            }));
        }
        tracker.stale_revision = newer_revision.map(|_| revision);
        let version = Version::of(revision, &text);
        actions.extend(self.apply_text(now, None, document, version, text));
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
