//! How an accepted document comes into force on every host and never goes back.
//!
//! Few hosts of each failure domain read the configuration service; the rest learn from peers.
//! Every host judges every text by itself, so only texts travel, never verdicts. What a host
//! holds only grows, in the order of [`Version`], so hosts that heard the same versions in any
//! order end in the same state.

mod held;
mod message;
mod patch;
mod reader;
mod slot;

pub use {
    message::{
        Action, Content, Event, Message, Outcome, Report, Standing, Summary, Version, View, Watch,
    },
    patch::Patch,
};

use {
    super::{
        Document, Fault, Snapshot,
        accept::{self, Parsed},
    },
    crate::{machine, name, rendezvous},
    held::Change,
    rand::{SeedableRng, rngs::StdRng, seq::IndexedRandom},
    reader::{Due, READERS, Reader, Role},
    slot::Slot,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Time between two [`Event::Tick`].
pub const TICK: Duration = Duration::from_millis(100);

/// A host that was stopped for longer than this must confirm its documents before it serves.
pub const PAUSE: Duration = Duration::from_secs(3);

/// When a host tells its peers about something new, counted from when it learned of it.
const ANNOUNCEMENTS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(300),
    Duration::from_millis(1200),
];

/// Peers of its own failure domain that a host tells each time.
const NEAR_FANOUT: usize = 4;

/// Peers of other failure domains that a host tells each time.
const FAR_FANOUT: usize = 1;

/// Peers that a host asks before it says that it is ready.
const ASKED: usize = 4;

/// Peers of other failure domains that it asks as well.
const ASKED_FAR: usize = 1;

/// Time after which a peer that has not answered is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(500);

/// Longest that a host waits for answers before it says that it is ready all the same.
const PATIENCE: Duration = Duration::from_secs(5);

/// A host to which no peer has spoken for this long takes itself for cut off from its peers.
const SILENCE: Duration = Duration::from_secs(4);

/// Deliberate mistakes, for tests that must be seen to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Installs whatever the service gives, also an older revision.
    TrustService,
    /// Keeps whichever content of a revision came first.
    FirstContent,
    /// Says that it is ready without having asked its peers.
    HastyReady,
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
    viewed: bool,
    watched: BTreeSet<Document>,
    slots: BTreeMap<Document, Slot>,
    started: Option<Duration>,
    last_step: Duration,
    heard: Option<Duration>,
    round: u64,
    next_ask: Duration,
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
            viewed: false,
            watched: BTreeSet::new(),
            slots: BTreeMap::new(),
            started: None,
            last_step: Duration::ZERO,
            heard: None,
            round: 0,
            next_ask: Duration::ZERO,
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
        let standing = |(document, slot): (&Document, &Slot)| (*document, slot.held.standing());
        self.slots.iter().map(standing).collect()
    }

    /// Everything that is wrong with the later version of a document that was refused.
    pub fn refused(&self, document: Document) -> &[Fault] {
        self.slots
            .get(&document)
            .map_or(&[], |slot| slot.held.faults())
    }

    /// Names that don't join in the documents in force.
    pub fn unjoined(&self) -> Vec<Fault> {
        match Document::ALL.map(|document| self.parsed(document)) {
            [
                Some(Parsed::Routes(routes)),
                Some(Parsed::Pools(pools)),
                Some(Parsed::Customers(customers)),
            ] => accept::join(routes, pools, customers),
            _ => Vec::new(),
        }
    }

    /// The service's revision of a document, where it is older than the one known.
    pub fn behind(&self, document: Document) -> Option<u64> {
        self.slots.get(&document)?.behind
    }

    fn parsed(&self, document: Document) -> Option<&Parsed> {
        self.slots.get(&document)?.held.parsed()
    }

    fn role(&self, now: Duration, document: Document) -> Role {
        let silent = self.heard.or(self.started).unwrap_or(now) + SILENCE < now;
        if silent || (self.view.near.is_empty() && self.view.far.is_empty()) {
            return Role::Lone;
        }
        if self.watched.contains(&document) {
            return Role::Watcher;
        }
        Role::Listener
    }

    fn look(&mut self, now: Duration, view: View) {
        if !self.has_asked {
            self.next_ask = Duration::ZERO;
        }
        let first = !self.viewed;
        self.view = view;
        self.viewed = true;
        self.watched = Document::ALL
            .into_iter()
            .filter(|document| self.is_watcher(*document))
            .collect();
        if first && self.started.is_some() {
            self.start_readers(now);
        }
    }

    /// Lets each reader begin anew; without a view none does before long, lest all hosts that
    /// start together read at once.
    fn start_readers(&mut self, now: Duration) {
        for document in Document::ALL {
            let role = self.role(now, document);
            let reader = match self.viewed {
                true => Reader::start(now, role, &self.view, &mut self.rng),
                false => Reader::blind(now, &mut self.rng),
            };
            if let Some(slot) = self.slots.get_mut(&document) {
                slot.reader = reader;
            }
        }
    }

    /// Whether this host is one of its failure domain's readers of a document.
    fn is_watcher(&self, document: Document) -> bool {
        let key = document.to_string();
        let weight = rendezvous::weight(&key, self.settings.host.as_str());
        let heavier = |host: &&name::Host| rendezvous::weight(&key, host.as_str()) > weight;
        self.view.near.iter().filter(heavier).count() < READERS
    }

    /// Begins, or begins again after a pause: nothing is confirmed and everybody is asked.
    fn begin(&mut self, now: Duration) -> Vec<Action> {
        self.started = Some(now);
        self.heard = None;
        self.round += 1;
        self.next_ask = now;
        self.has_asked = false;
        self.asked.clear();
        self.answered.clear();
        for document in Document::ALL {
            let slot = self
                .slots
                .entry(document)
                .or_insert_with(|| Slot::new(document));
            slot.fetching = None;
            slot.asked_service = false;
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
        if self.ready || now < self.next_ask {
            return Vec::new();
        }
        self.next_ask = now + ASK_AGAIN;
        self.has_asked = self.viewed;
        let view = &self.view;
        self.asked
            .retain(|host| view.near.contains(host) || view.far.contains(host));
        if self.asked.is_empty() {
            let near = view.near.sample(&mut self.rng, ASKED);
            let far = view.far.sample(&mut self.rng, ASKED_FAR);
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
        let near = self.view.near.sample(&mut self.rng, NEAR_FANOUT);
        let far = self.view.far.sample(&mut self.rng, FAR_FANOUT);
        let message = Message::Announce(self.summary());
        near.chain(far)
            .map(|to| Action::Send {
                to: to.clone(),
                message: message.clone(),
            })
            .collect()
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = self.ask(now);
        actions.extend(self.announce(now));
        for document in Document::ALL {
            let role = self.role(now, document);
            let Some(slot) = self.slots.get_mut(&document) else {
                continue;
            };
            actions.extend(slot.fetch_again(now));
            let known = slot
                .held
                .standing()
                .latest()
                .map(|version| version.revision);
            let due = slot.reader.due(now, role, known, &self.view, &mut self.rng);
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
        actions.extend(self.confirm(now));
        actions
    }

    /// Says that the host is ready once it is.
    fn confirm(&mut self, now: Duration) -> Option<Action> {
        let complete = self.slots.len() == Document::ALL.len()
            && self.slots.values().all(|slot| slot.held.parsed().is_some());
        if self.ready || !complete {
            return None;
        }
        let waited = now >= self.started? + PATIENCE;
        if !waited && !self.is_confirmed() {
            return None;
        }
        self.ready = true;
        Some(Action::Ready(true))
    }

    fn is_confirmed(&self) -> bool {
        let current = |slot: &Slot| slot.asked_service && !slot.held.lacks(&slot.best);
        let hasty = self.settings.mutant == Some(Mutant::HastyReady);
        let peers = self.has_asked && self.asked.is_subset(&self.answered);
        self.slots.values().all(current) && (hasty || peers)
    }

    fn receive(&mut self, now: Duration, from: name::Host, message: Message) -> Vec<Action> {
        match message {
            Message::Announce(summary) => self.compare(now, &from, &summary),
            Message::Ask { summary, round } => {
                let mut actions = self.compare(now, &from, &summary);
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
                let mut actions = self.compare(now, &from, &summary);
                if round == self.round {
                    self.answered.insert(from);
                }
                actions.extend(self.confirm(now));
                actions
            }
            Message::Fetch { document, have } => self.serve(from, document, have),
            Message::Document {
                document,
                version,
                content,
            } => self.fetched(now, from, document, version, content),
        }
    }

    /// Fetches what a peer has and this host lacks.
    fn compare(&mut self, now: Duration, from: &name::Host, summary: &Summary) -> Vec<Action> {
        self.slots
            .iter_mut()
            .filter_map(|(document, slot)| slot.offered(now, from, &summary.standing(*document)))
            .collect()
    }

    fn serve(&self, to: name::Host, document: Document, have: Standing) -> Vec<Action> {
        let Some(slot) = self.slots.get(&document) else {
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
        slot.held.contents(have).into_iter().map(send).collect()
    }

    fn fetched(
        &mut self,
        now: Duration,
        from: name::Host,
        document: Document,
        version: Version,
        content: Content,
    ) -> Vec<Action> {
        let Some(slot) = self.slots.get_mut(&document) else {
            return Vec::new();
        };
        match slot.held.resolve(version, content) {
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
        let Some(slot) = self.slots.get_mut(&document) else {
            return Vec::new();
        };
        let held = slot.held.standing().accepted;
        let twice = held.filter(|held| held.revision == version.revision && *held != version);
        let mutant = self.settings.mutant;
        if mutant == Some(Mutant::FirstContent) && twice.is_some() {
            return Vec::new();
        }
        let force = mutant == Some(Mutant::TrustService) && from.is_none() && held != Some(version);
        let change = slot.held.learn(version, text, force);
        if !slot.held.lacks(&slot.best) {
            slot.fetching = None;
        }
        let mut actions = Vec::new();
        if let Some(held) = twice
            && slot.dropped != Some(held.min(version))
        {
            slot.dropped = Some(held.min(version));
            actions.push(Action::Report(Report::Conflict {
                document,
                kept: held.max(version),
                dropped: held.min(version),
            }));
        }
        match change {
            Change::None => return actions,
            Change::Installed => {
                self.join();
                actions.push(Action::Install { document, version });
            }
            Change::Refused(report) => actions.push(Action::Report(report)),
        }
        if let Some(slot) = self.slots.get_mut(&document) {
            slot.reader.heard_news(now, &self.view, &mut self.rng);
        }
        self.announcements = ANNOUNCEMENTS.map(|after| now + after).into();
        actions.extend(self.announce(now));
        actions.extend(self.confirm(now));
        actions
    }

    fn join(&mut self) {
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

    fn read(
        &mut self,
        now: Duration,
        document: Document,
        round: u64,
        outcome: Outcome,
    ) -> Vec<Action> {
        let role = self.role(now, document);
        let Some(slot) = self.slots.get_mut(&document) else {
            return Vec::new();
        };
        if round == self.round {
            slot.asked_service = true;
            slot.reader
                .ended(now, role, &outcome, &self.view, &mut self.rng);
        }
        let Outcome::Found { revision, text } = outcome else {
            return self.confirm(now).into_iter().collect();
        };
        let known = slot.held.standing().latest();
        let mut actions = Vec::new();
        let behind = known
            .map(|version| version.revision)
            .filter(|known| *known > revision);
        if let Some(known) = behind
            && slot.behind != Some(revision)
        {
            actions.push(Action::Report(Report::Behind {
                document,
                service: revision,
                known,
            }));
        }
        slot.behind = behind.map(|_| revision);
        let version = Version::of(revision, &text);
        actions.extend(self.learn(now, None, document, version, text));
        actions.extend(self.confirm(now));
        actions
    }
}

impl machine::Machine for Machine {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let slept = now.saturating_sub(self.last_step);
        self.last_step = now;
        let mut actions = Vec::new();
        if let Event::View(view) = &event {
            self.look(now, view.clone());
        }
        if self.started.is_none() || slept > PAUSE {
            actions.extend(self.begin(now));
        }
        actions.extend(match event {
            Event::Tick => self.tick(now),
            Event::View(_) => Vec::new(),
            Event::Heard { from, summary } => {
                self.heard = Some(now);
                self.compare(now, &from, &summary)
            }
            Event::Received { from, message } => {
                self.heard = Some(now);
                self.receive(now, from, message)
            }
            Event::Read {
                document,
                round,
                outcome,
            } => self.read(now, document, round, outcome),
        });
        actions
    }
}
