//! Simulates a network of spread machines with delays, losses, partitions and pauses, and the
//! configuration service.

use {
    greengagecleat::{
        config::{
            Document,
            spread::{
                Action, Event, Machine, Mutant, Outcome, Settings, Summary, TICK, Version, View,
                Watch,
            },
        },
        machine::Machine as _,
        name,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Interval of each host's heartbeats. Half of them go to its own failure domain and half to
/// others.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Shortest one-way delay within a region; the longest is twice as long.
const NEAR_DELAY: Duration = Duration::from_millis(1);

/// Shortest one-way delay between regions; the longest is twice as long.
const FAR_DELAY: Duration = Duration::from_millis(50);

/// Time from a host's start until it knows its peers.
const VIEW_DELAY: Duration = Duration::from_millis(150);

/// Delay of a call of the configuration service.
const SERVICE_DELAY: Duration = Duration::from_millis(5);

/// The size and the faults of a simulation.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// Number of hosts.
    pub(crate) hosts: usize,
    /// Number of failure domains. Each region has up to three.
    pub(crate) domains: usize,
    /// Share of messages that are lost.
    pub(crate) loss: f64,
    /// Seeds delays, losses and the machines.
    pub(crate) seed: u64,
    /// A deliberate fault in every machine.
    pub(crate) mutant: Option<Mutant>,
}

/// The costs of one host.
#[derive(Debug, Default, Clone)]
pub(crate) struct Tally {
    /// Bytes of messages sent, as the link encodes them.
    pub(crate) bytes: u64,
    /// Number of messages sent.
    pub(crate) messages: u64,
    /// Wall-clock time spent in the machine's steps.
    pub(crate) busy: Duration,
}

/// A scheduled occurrence at one host.
enum Delivery {
    Tick,
    /// The host sends a heartbeat to a random peer.
    Heartbeat,
    Step(Event),
    /// A call of the configuration service returns.
    ServiceAnswer {
        document: Document,
        round: u64,
    },
}

/// A watch that has not returned yet.
struct WaitingRead {
    host: usize,
    document: Document,
    round: u64,
    after: u64,
}

/// The simulated configuration service.
#[derive(Default)]
pub(crate) struct Service {
    /// Each document's revision and text.
    pub(crate) documents: BTreeMap<Document, (u64, Arc<str>)>,
    /// Whether calls fail.
    pub(crate) is_down: bool,
    /// Number of calls in each second.
    pub(crate) calls: BTreeMap<u64, u64>,
    /// Pending watches by the time at which they expire.
    waiting: BTreeMap<(Duration, u64), WaitingRead>,
}

/// The simulated fleet and its network.
pub(crate) struct Network {
    /// The size and the faults of the simulation.
    pub(crate) plan: Plan,
    /// Simulated time since the start.
    pub(crate) now: Duration,
    /// The configuration service.
    pub(crate) service: Service,
    /// The costs of each host.
    pub(crate) tallies: Vec<Tally>,
    /// When each host installed each version.
    pub(crate) installed: BTreeMap<(Document, Version), BTreeMap<usize, Duration>>,
    /// Installations of a version that is not later than the one before, with the host.
    pub(crate) reverts: Vec<(usize, Document)>,
    /// Pairs of failure domains that are partitioned, in either order.
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    /// Failure domains that can't reach the configuration service.
    pub(crate) cut_off_from_service: BTreeSet<usize>,
    machines: Vec<Machine>,
    views: Vec<View>,
    /// Number of restarts of each host; deliveries to an earlier incarnation are dropped.
    incarnations: Vec<u64>,
    paused_until: BTreeMap<usize, Duration>,
    queue: BTreeMap<(Duration, u64), (usize, u64, Delivery)>,
    sequence: u64,
    rng: StdRng,
}

impl Network {
    /// A fleet of hosts without documents.
    pub(crate) fn new(plan: Plan) -> Self {
        let mut network = Self {
            now: Duration::ZERO,
            service: Service::default(),
            tallies: vec![Tally::default(); plan.hosts],
            installed: BTreeMap::new(),
            reverts: Vec::new(),
            cuts: BTreeSet::new(),
            cut_off_from_service: BTreeSet::new(),
            machines: Vec::new(),
            views: Vec::new(),
            incarnations: vec![0; plan.hosts],
            paused_until: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(plan.seed),
            plan,
        };
        for host in 0..network.plan.hosts {
            let machine = network.new_machine(host);
            network.machines.push(machine);
            let view = network.view(host);
            network.views.push(view);
            network.boot(host);
        }
        network
    }

    /// Stores a text in the service under the next revision, which is returned.
    pub(crate) fn publish(&mut self, document: Document, text: &str) -> u64 {
        let last = self.service.documents.get(&document);
        let revision = last.map_or(1, |(revision, _)| revision + 1);
        self.put(document, revision, text);
        revision
    }

    /// Stores a text in the service under a given revision, as restoring a backup does.
    pub(crate) fn put(&mut self, document: Document, revision: u64, text: &str) {
        self.service
            .documents
            .insert(document, (revision, text.into()));
        if self.service.is_down {
            return;
        }
        let completed = self.service.waiting.extract_if(.., |_, wait| {
            wait.document == document && wait.after < revision
        });
        for (_, wait) in completed.collect::<Vec<_>>() {
            self.answer(wait.host, document, wait.round);
        }
    }

    /// Takes the service down, so that calls and watches fail.
    pub(crate) fn take_down(&mut self) {
        self.service.is_down = true;
        for wait in std::mem::take(&mut self.service.waiting).into_values() {
            self.answer(wait.host, wait.document, wait.round);
        }
    }

    /// Whether this revision of a document is in force on every host.
    pub(crate) fn is_everywhere(&self, document: Document, revision: u64) -> bool {
        self.machines.iter().all(|machine| {
            let accepted = machine.summary().versions(document).accepted;
            accepted.is_some_and(|version| version.revision == revision)
        })
    }

    /// Restarts a host without its documents.
    pub(crate) fn restart(&mut self, host: usize) {
        self.incarnations[host] += 1;
        self.paused_until.remove(&host);
        self.machines[host] = self.new_machine(host);
        self.boot(host);
    }

    /// Pauses a host for `time`; events for it are delivered afterwards.
    pub(crate) fn pause(&mut self, host: usize, time: Duration) {
        self.paused_until.insert(host, self.now + time);
    }

    /// The machine of a host.
    pub(crate) fn host(&self, host: usize) -> &Machine {
        &self.machines[host]
    }

    /// The summary of each host.
    pub(crate) fn summaries(&self) -> Vec<Summary> {
        self.machines.iter().map(Machine::summary).collect()
    }

    /// Runs the simulation for `time`.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        self.run_until(end, |_| false);
    }

    /// Runs until `done` holds, or until `end`. Returns whether it held.
    pub(crate) fn run_until(&mut self, end: Duration, done: impl Fn(&Self) -> bool) -> bool {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((now, _), (host, incarnation, delivery)) = entry.remove_entry();
            self.now = self.now.max(now);
            if self.incarnations[host] == incarnation {
                self.deliver(host, delivery);
            }
            if done(self) {
                return true;
            }
        }
        self.now = end;
        false
    }

    fn new_machine(&self, host: usize) -> Machine {
        Machine::new(Settings {
            host: Self::name(host),
            seed: self.plan.seed ^ (host as u64) << 20 ^ self.incarnations[host] << 50,
            mutant: self.plan.mutant,
        })
    }

    fn boot(&mut self, host: usize) {
        let view = self.views[host].clone();
        let listed = self.now + VIEW_DELAY;
        self.push(host, listed, Delivery::Step(Event::View(view)));
        let first = self.now + TICK.mul_f64(self.rng.random());
        self.push(host, first, Delivery::Tick);
        let first = self.now + HEARTBEAT.mul_f64(self.rng.random());
        self.push(host, first, Delivery::Heartbeat);
    }

    fn name(host: usize) -> name::Host {
        format!("host-{host}").into()
    }

    fn index(name: &name::Host) -> usize {
        name.as_str()["host-".len()..].parse().unwrap()
    }

    fn domain(&self, host: usize) -> usize {
        host % self.plan.domains
    }

    fn view(&self, host: usize) -> View {
        let own = self.domain(host);
        let others = |other: &usize| *other != host;
        let near = (0..self.plan.hosts)
            .filter(others)
            .filter(|other| self.domain(*other) == own);
        let far = (0..self.plan.domains).filter(|other| self.domain(*other) != own);
        View {
            same_domain: near.map(Self::name).collect(),
            other_domains: far.map(Self::name).collect(),
            host_count: self.plan.hosts,
            domain_count: self.plan.domains,
        }
    }

    fn push(&mut self, host: usize, at: Duration, delivery: Delivery) {
        self.sequence += 1;
        let incarnation = self.incarnations[host];
        self.queue
            .insert((at, self.sequence), (host, incarnation, delivery));
    }

    fn deliver(&mut self, host: usize, delivery: Delivery) {
        if let Some(until) = self.paused_until.get(&host).copied() {
            if self.now < until {
                return self.push(host, until, delivery);
            }
            self.paused_until.remove(&host);
        }
        match delivery {
            Delivery::Tick => {
                self.push(host, self.now + TICK, Delivery::Tick);
                self.step(host, Event::Tick);
            }
            Delivery::Heartbeat => self.heartbeat(host),
            Delivery::Step(event) => self.step(host, event),
            Delivery::ServiceAnswer { document, round } => {
                let outcome = self.read_outcome(host, document, None);
                self.step(
                    host,
                    Event::ReadEnded {
                        document,
                        round,
                        outcome,
                    },
                );
            }
        }
        self.expire_watches();
    }

    fn heartbeat(&mut self, host: usize) {
        self.push(host, self.now + HEARTBEAT, Delivery::Heartbeat);
        let summary = self.machines[host].summary();
        let view = &self.views[host];
        let far = self.rng.random_bool(0.5);
        let peers = if far {
            &view.other_domains
        } else {
            &view.same_domain
        };
        if peers.is_empty() {
            return;
        }
        let to = Self::index(&peers[self.rng.random_range(0..peers.len())]);
        let from = Self::name(host);
        self.count_message(host, &summary);
        self.send(host, to, Event::Heartbeat { from, summary });
    }

    fn step(&mut self, host: usize, event: Event) {
        let before = self.machines[host].summary();
        let clock = Instant::now();
        let actions = self.machines[host].step(self.now, event);
        self.tallies[host].busy += clock.elapsed();
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    self.count_message(host, &message);
                    let from = Self::name(host);
                    let to = Self::index(&to);
                    self.send(host, to, Event::Received { from, message });
                }
                Action::Read {
                    document,
                    round,
                    watch,
                } => self.call(host, document, round, watch),
                Action::Install { document, version } => {
                    if Some(version) <= before.versions(document).accepted {
                        self.reverts.push((host, document));
                    }
                    let times = self.installed.entry((document, version)).or_default();
                    times.entry(host).or_insert(self.now);
                }
                Action::Ready(_) | Action::Report(_) => {}
            }
        }
    }

    fn count_message(&mut self, host: usize, message: &impl serde::Serialize) {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).unwrap();
        self.tallies[host].bytes += bytes.len() as u64;
        self.tallies[host].messages += 1;
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        let (a, b) = (self.domain(from), self.domain(to));
        let cut = self.cuts.contains(&(a, b)) || self.cuts.contains(&(b, a));
        if cut || self.rng.random_bool(self.plan.loss) {
            return;
        }
        let delay = if a / 3 == b / 3 {
            NEAR_DELAY
        } else {
            FAR_DELAY
        };
        let at = self.now + delay.mul_f64(1.0 + self.rng.random::<f64>());
        self.push(to, at, Delivery::Step(event));
    }

    fn call(&mut self, host: usize, document: Document, round: u64, watch: Option<Watch>) {
        *self.service.calls.entry(self.now.as_secs()).or_default() += 1;
        let reachable =
            !self.service.is_down && !self.cut_off_from_service.contains(&self.domain(host));
        let current = self.service.documents.get(&document);
        match watch {
            Some(watch)
                if reachable && current.is_none_or(|(at, _)| *at <= watch.after_revision) =>
            {
                self.sequence += 1;
                let expires = (self.now + watch.max_wait, self.sequence);
                let after = watch.after_revision;
                self.service.waiting.insert(
                    expires,
                    WaitingRead {
                        host,
                        document,
                        round,
                        after,
                    },
                );
            }
            _ => self.answer(host, document, round),
        }
    }

    fn answer(&mut self, host: usize, document: Document, round: u64) {
        let at = self.now + SERVICE_DELAY;
        self.push(host, at, Delivery::ServiceAnswer { document, round });
    }

    fn read_outcome(&self, host: usize, document: Document, after: Option<u64>) -> Outcome {
        if self.service.is_down || self.cut_off_from_service.contains(&self.domain(host)) {
            return Outcome::Failed;
        }
        match self.service.documents.get(&document) {
            None => Outcome::Missing,
            Some((revision, _)) if after.is_some_and(|after| *revision <= after) => {
                Outcome::Unchanged
            }
            Some((revision, text)) => Outcome::Found {
                revision: *revision,
                text: text.clone(),
            },
        }
    }

    fn expire_watches(&mut self) {
        while let Some(entry) = self.service.waiting.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let wait = entry.remove();
            let outcome = self.read_outcome(wait.host, wait.document, Some(wait.after));
            let event = Event::ReadEnded {
                document: wait.document,
                round: wait.round,
                outcome,
            };
            self.push(wait.host, self.now + SERVICE_DELAY, Delivery::Step(event));
        }
    }
}

/// A customers document of `rows` rows, whose row `changed` has the rate `rate`.
pub(crate) fn customers(rows: usize, changed: usize, rate: u64) -> String {
    (0..rows)
        .map(|row| {
            let rate = if row == changed { rate } else { 100 };
            format!("[[customer]]\nname = \"customer-{row}\"\nrate = {rate}\nburst = 1000\n\n")
        })
        .collect()
}

/// A routes document of one row.
pub(crate) fn routes(deadline_ms: u64) -> String {
    format!(
        "[[route]]\nname = \"r\"\nkind = \"model\"\nmodel = \"m\"\npools = [\"p\"]\n\
         deadline_ms = {deadline_ms}\n"
    )
}

/// A pools document of one row.
pub(crate) fn pools(slots: u64) -> String {
    format!("[[pool]]\nname = \"p\"\nregion = \"south\"\nslots = {slots}\n")
}
