//! Simulated network of membership machines, with delay, loss, late duplicates, cut links and
//! pauses.

use {
    greengagecleat::{
        machine::Machine as _,
        member::{
            Action, Event, Listing, Machine, Message, Mutant, Report, Settings, State, TICK, View,
        },
        name,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Minimum delay of a message within a failure domain; fifty times that to another.
const DOMAIN_DELAY: Duration = Duration::from_millis(1);

/// Maximum delay of a duplicate.
const MAX_DUPLICATE_DELAY: Duration = Duration::from_secs(30);

/// Interval between deliveries of the platform's list.
const LIST_PERIOD: Duration = Duration::from_secs(5);

/// Size of the fleet, and faults of its network.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) hosts: usize,
    pub(crate) domains: usize,
    /// Fraction of messages that are lost.
    pub(crate) loss: f64,
    /// Fraction of messages that arrive a second time, up to half a minute later.
    pub(crate) duplicates: f64,
    pub(crate) seed: u64,
    pub(crate) mutant: Option<Mutant>,
}

enum Delivery {
    Tick,
    List,
    Received(Box<Event>),
}

/// A simulated network with one machine per host.
pub(crate) struct Network {
    pub(crate) plan: Plan,
    pub(crate) now: Duration,
    /// Pairs of hosts, in either order, between which all messages are lost.
    pub(crate) cut_links: BTreeSet<(usize, usize)>,
    /// Reports, with the host that made each.
    pub(crate) reports: Vec<(usize, Report)>,
    /// Number of records that were replaced by older ones.
    pub(crate) regressions: usize,
    /// Bytes sent by each host.
    pub(crate) bytes: Vec<u64>,
    /// Time that each host spent in steps.
    pub(crate) busy: Vec<Duration>,
    machines: Vec<Option<Machine>>,
    leaving: BTreeSet<usize>,
    paused: BTreeMap<usize, Duration>,
    queue: BTreeMap<(Duration, u64), (usize, u64, Delivery)>,
    sequence: u64,
    generations: Vec<u64>,
    messages: Vec<Message>,
    rng: StdRng,
}

fn host(index: usize) -> name::Host {
    format!("host-{index}").into()
}

fn index(host: &name::Host) -> usize {
    host.as_str()["host-".len()..].parse().unwrap()
}

/// The platform's list, with every host live.
pub(crate) fn listed(hosts: usize, domains: usize) -> Vec<Listing> {
    (0..hosts)
        .map(|at| {
            let settings = settings(at, domains, 0, None);
            Listing {
                host: settings.host,
                region: settings.region,
                domain: settings.domain,
                address: settings.address,
                peer_address: settings.peer_address,
                is_leaving: false,
            }
        })
        .collect()
}

/// Settings of a host; each region has three failure domains.
pub(crate) fn settings(
    at: usize,
    domains: usize,
    incarnation: u64,
    mutant: Option<Mutant>,
) -> Settings {
    let domain = at % domains;
    let ip = [10, 0, (at / 250) as u8, (at % 250) as u8 + 1];
    Settings {
        host: host(at),
        region: format!("region-{}", domain / 3).into(),
        domain: format!("domain-{domain}").into(),
        address: (ip, 8000).into(),
        peer_address: (ip, 9000).into(),
        incarnation,
        seed: at as u64 ^ incarnation << 32,
        mutant,
    }
}

impl Network {
    /// Creates the network and starts all hosts.
    pub(crate) fn new(plan: Plan) -> Self {
        let mut network = Self {
            now: Duration::ZERO,
            cut_links: BTreeSet::new(),
            reports: Vec::new(),
            regressions: 0,
            bytes: vec![0; plan.hosts],
            busy: vec![Duration::ZERO; plan.hosts],
            machines: (0..plan.hosts).map(|_| None).collect(),
            leaving: BTreeSet::new(),
            paused: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            generations: vec![0; plan.hosts],
            messages: Vec::new(),
            rng: StdRng::seed_from_u64(plan.seed),
            plan,
        };
        for at in 0..network.plan.hosts {
            network.start(at, 100);
        }
        network
    }

    /// Starts a process of a host without earlier state, in place of one that may still run.
    pub(crate) fn start(&mut self, at: usize, incarnation: u64) {
        let settings = settings(at, self.plan.domains, incarnation, self.plan.mutant);
        self.generations[at] += 1;
        self.leaving.remove(&at);
        self.paused.remove(&at);
        self.machines[at] = Some(Machine::new(settings));
        self.push(at, self.now, Delivery::List);
        let first = self.now + TICK.mul_f64(self.rng.random());
        self.push(at, first, Delivery::Tick);
    }

    /// Kills a host.
    pub(crate) fn kill(&mut self, at: usize) {
        self.machines[at] = None;
    }

    /// Tells a host to leave.
    pub(crate) fn leave(&mut self, at: usize) {
        if self.machines[at].is_some() {
            self.leaving.insert(at);
            self.step(at, Event::Leave);
        }
    }

    /// Pauses a host for `time`; messages to it wait.
    pub(crate) fn pause(&mut self, at: usize, time: Duration) {
        self.paused.insert(at, self.now + time);
    }

    /// Current view of a host, which must be running.
    pub(crate) fn view(&self, at: usize) -> View {
        let machine = self.machines[at].as_ref().unwrap();
        machine.view(self.now)
    }

    /// State of the host `of` in the views of all running hosts of its failure domain, itself
    /// included.
    pub(crate) fn seen_states(&self, of: usize) -> Vec<Option<State>> {
        let same = |at: &usize| at % self.plan.domains == of % self.plan.domains;
        (0..self.plan.hosts)
            .filter(same)
            .filter(|at| self.machines[*at].is_some())
            .map(|at| {
                let view = self.view(at);
                view.hosts.get(&host(of)).map(|member| member.state)
            })
            .collect()
    }

    /// Actual state of a host.
    pub(crate) fn actual_state(&self, at: usize) -> State {
        match &self.machines[at] {
            None => State::Dead,
            Some(_) if self.leaving.contains(&at) => State::Leaving,
            Some(_) => State::Live,
        }
    }

    /// Removes and returns the messages sent so far, which are only kept with fewer than ten hosts.
    pub(crate) fn take_messages(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.messages)
    }

    /// Runs the network for `time`.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((now, _), (at, generation, delivery)) = entry.remove_entry();
            self.now = self.now.max(now);
            self.deliver(at, generation, delivery);
        }
        self.now = end;
    }

    fn push(&mut self, at: usize, when: Duration, delivery: Delivery) {
        self.sequence += 1;
        let generation = self.generations[at];
        self.queue
            .insert((when, self.sequence), (at, generation, delivery));
    }

    fn deliver(&mut self, at: usize, generation: u64, delivery: Delivery) {
        if let Some(until) = self.paused.get(&at).copied() {
            if self.now < until {
                return self.push(at, until, delivery);
            }
            self.paused.remove(&at);
        }
        let is_current = self.generations[at] == generation;
        match delivery {
            Delivery::Received(event) => self.step(at, *event),
            Delivery::Tick if is_current && self.machines[at].is_some() => {
                self.push(at, self.now + TICK, Delivery::Tick);
                self.step(at, Event::Tick);
            }
            Delivery::List if is_current && self.machines[at].is_some() => {
                self.push(at, self.now + LIST_PERIOD, Delivery::List);
                let rows = listed(self.plan.hosts, self.plan.domains);
                self.step(at, Event::Listed(rows));
            }
            Delivery::Tick | Delivery::List => {}
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let Some(machine) = &mut self.machines[at] else {
            return;
        };
        let heard = self.plan.duplicates > 0.0 && matches!(event, Event::Received { .. });
        let before = heard.then(|| machine.view(self.now));
        let clock = Instant::now();
        let actions = machine.step(self.now, event);
        self.busy[at] += clock.elapsed();
        if let Some(before) = before {
            let after = machine.view(self.now);
            let older = |(name, member): (&name::Host, &greengagecleat::member::Member)| {
                let now = after.hosts.get(name);
                now.is_some_and(|now| {
                    (now.incarnation, now.state) < (member.incarnation, member.state)
                })
            };
            let kept = before
                .hosts
                .iter()
                .filter(|(_, member)| member.incarnation > 0);
            self.regressions += kept.filter(|entry| older(*entry)).count();
        }
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(at, index(&to), message),
                Action::Report(report) => self.reports.push((at, report)),
                Action::SetAddress { .. } | Action::PassSummary { .. } | Action::ViewChanged => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let mut bytes = Vec::new();
        ciborium::into_writer(&message, &mut bytes).unwrap();
        self.bytes[from] += bytes.len() as u64;
        if self.plan.hosts < 10 {
            self.messages.push(message.clone());
        }
        if self.cut_links.contains(&(from, to)) || self.cut_links.contains(&(to, from)) {
            return;
        }
        if self.rng.random_bool(self.plan.duplicates) {
            let late = self.now + MAX_DUPLICATE_DELAY.mul_f64(self.rng.random());
            let (from, message) = (host(from), message.clone());
            let event = Event::Received { from, message };
            self.push(to, late, Delivery::Received(Box::new(event)));
        }
        if self.rng.random_bool(self.plan.loss) {
            return;
        }
        let far = from % self.plan.domains != to % self.plan.domains;
        let delay = if far { DOMAIN_DELAY * 50 } else { DOMAIN_DELAY };
        let when = self.now + delay.mul_f64(1.0 + self.rng.random::<f64>());
        let from = host(from);
        let event = Event::Received { from, message };
        self.push(to, when, Delivery::Received(Box::new(event)));
    }
}
