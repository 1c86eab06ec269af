//! Simulates hosts with registers on a network that loses, duplicates, reorders and delays
//! messages, with partitions, pauses, restarts, replacements and outdated host lists.

use {
    greengagecleat::{
        attempt::register::{
            Action, Event, Key, Message, Mutant, Outcome, Reason, Register, Settings,
        },
        machine::Machine,
        name,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

pub(crate) const QUARANTINE: Duration = Duration::from_secs(8);
const HOME: &str = "home";
const FOREVER: Duration = Duration::from_secs(1 << 32);
const SLOTS: usize = 4;
/// The slot whose host is in another region.
const REMOTE_SLOT: usize = SLOTS - 1;

/// The faults of a simulation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Trial {
    /// Probability that a message is lost, and likewise that it is duplicated or delayed.
    pub(crate) loss: f64,
    /// Shortest time between two host starts or stops; zero allows any number at once.
    pub(crate) min_start_gap: Duration,
    /// Longest pause or partition.
    pub(crate) max_outage: Duration,
    pub(crate) ends_at: Duration,
    pub(crate) mutant: Mutant,
}

#[derive(Debug)]
struct Host {
    name: name::Host,
    register: Register,
    paused_until: Duration,
    is_listed: bool,
}

/// A scheduled occurrence of the simulation.
#[derive(Debug, Clone)]
enum Due {
    Deliver {
        name: name::Host,
        event: Event,
    },
    SendRequest {
        name: name::Host,
        ticket: u64,
    },
    Finish {
        name: name::Host,
        key: Key,
        outcome: Outcome,
    },
    Tick {
        name: name::Host,
    },
    Stop {
        slot: usize,
    },
    Cut {
        slot: usize,
        until: Duration,
    },
    Start {
        slot: usize,
    },
    Pause {
        slot: usize,
        until: Duration,
    },
    /// Causes the next random fault or request.
    Adversary,
}

/// A request that was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Run {
    pub(crate) key: Key,
    pub(crate) asked_at: Duration,
    pub(crate) sent_at: Duration,
}

#[derive(Debug)]
pub(crate) struct Fleet {
    trial: Trial,
    rng: StdRng,
    hosts: Vec<Host>,
    due: BTreeMap<(Duration, u64), Due>,
    /// Orders occurrences of the same time, and numbers tickets.
    order: u64,
    requests: BTreeMap<u64, (Key, Duration)>,
    /// Slots on one side of a partition, and the time at which it ends.
    cut: (BTreeSet<usize>, Duration),
    /// When a host was last started or stopped.
    last_start_at: Duration,
    /// Number of hosts started, which is also the next host's incarnation and name.
    starts: u64,
    pub(crate) runs: Vec<Run>,
    pub(crate) refused: Vec<Reason>,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn key(number: u64) -> Key {
    let customer = name::Customer::from("customer");
    Key::new(&customer, &name::Route::from("posts"), &number.to_string())
}

impl Fleet {
    pub(crate) fn new(trial: Trial, seed: u64) -> Self {
        let mut fleet = Self {
            trial,
            rng: StdRng::seed_from_u64(seed),
            hosts: Vec::new(),
            due: BTreeMap::new(),
            order: 0,
            requests: BTreeMap::new(),
            cut: (BTreeSet::new(), Duration::ZERO),
            last_start_at: Duration::ZERO,
            starts: 0,
            runs: Vec::new(),
            refused: Vec::new(),
        };
        for slot in 0..SLOTS {
            let host = fleet.new_host(slot, None, Duration::ZERO);
            fleet.hosts.push(host);
        }
        fleet.publish_hosts(Duration::ZERO);
        fleet
    }

    fn new_host(&mut self, slot: usize, name: Option<name::Host>, now: Duration) -> Host {
        self.starts += 1;
        let name = name.unwrap_or_else(|| name::Host::from(format!("host-{}", self.starts)));
        let region = if slot == REMOTE_SLOT { "away" } else { HOME };
        let setting = Settings {
            host: name.clone(),
            region: name::Region::from(region),
            incarnation: self.starts,
            quarantine: QUARANTINE,
            retention: Duration::from_secs(3_600),
            max_records: 1_000,
            mutant: self.trial.mutant,
        };
        self.schedule(now, Due::Tick { name: name.clone() });
        Host {
            name,
            register: Register::new(setting, now),
            paused_until: now,
            is_listed: true,
        }
    }

    /// Delivers the host list to each host after a random delay.
    fn publish_hosts(&mut self, now: Duration) {
        let hosts: BTreeSet<name::Host> = self.hosts[..REMOTE_SLOT]
            .iter()
            .filter(|host| host.is_listed)
            .map(|host| host.name.clone())
            .collect();
        let event = Event::HostList {
            region: name::Region::from(HOME),
            hosts,
        };
        let names: Vec<_> = self.hosts.iter().map(|host| host.name.clone()).collect();
        for name in names {
            let lag = match now {
                Duration::ZERO => now,
                _ => ms(self.rng.random_range(0..2_000)),
            };
            let event = event.clone();
            self.schedule(now + lag, Due::Deliver { name, event });
        }
    }

    fn schedule(&mut self, at: Duration, due: Due) {
        self.order += 1;
        self.due.insert((at, self.order), due);
    }

    fn slot_of(&self, name: &name::Host) -> Option<usize> {
        self.hosts.iter().position(|host| host.name == *name)
    }

    pub(crate) fn request(&mut self, now: Duration, slot: usize, key: Key) {
        self.order += 1;
        let ticket = self.order;
        self.requests.insert(ticket, (key, now));
        let event = Event::Request {
            ticket,
            key,
            home: name::Region::from(HOME),
        };
        let name = self.hosts[slot].name.clone();
        self.schedule(now, Due::Deliver { name, event });
    }

    /// Partitions a host from all others from `from` until `until`.
    pub(crate) fn cut_off(&mut self, slot: usize, from: Duration, until: Duration) {
        self.schedule(from, Due::Cut { slot, until });
    }

    /// Pauses a host from `at` until `until`.
    pub(crate) fn pause_at(&mut self, at: Duration, slot: usize, until: Duration) {
        self.schedule(at, Due::Pause { slot, until });
    }

    /// Restarts or replaces a host at `at`, without its records.
    pub(crate) fn start_at(&mut self, at: Duration, slot: usize) {
        self.schedule(at, Due::Start { slot });
    }

    /// Stops a host at `at`, without a replacement.
    pub(crate) fn stop_at(&mut self, at: Duration, slot: usize) {
        self.schedule(at, Due::Stop { slot });
    }

    pub(crate) fn start_adversary(&mut self) {
        self.schedule(Duration::ZERO, Due::Adversary);
    }

    pub(crate) fn run(&mut self) {
        while let Some(((now, _), due)) = self.due.pop_first() {
            if now > self.trial.ends_at {
                return;
            }
            self.deliver(now, due);
        }
    }

    fn deliver(&mut self, now: Duration, due: Due) {
        let name = match &due {
            Due::Adversary => return self.disturb(now),
            Due::Start { slot } => return self.start(now, *slot),
            Due::Pause { slot, until } => {
                self.hosts[*slot].paused_until = *until;
                return;
            }
            Due::Stop { slot } => return self.stop(now, *slot),
            Due::Cut { slot, until } => {
                self.cut = (BTreeSet::from([*slot]), *until);
                return;
            }
            Due::Deliver { name, .. }
            | Due::SendRequest { name, .. }
            | Due::Finish { name, .. }
            | Due::Tick { name } => name.clone(),
        };
        let Some(slot) = self.slot_of(&name) else {
            return;
        };
        if now < self.hosts[slot].paused_until {
            return self.schedule(self.hosts[slot].paused_until, due);
        }
        match due {
            Due::Deliver { event, .. } => self.step(now, slot, event),
            Due::SendRequest { ticket, .. } => self.send_request(now, slot, ticket),
            Due::Finish { key, outcome, .. } => {
                self.step(now, slot, Event::Finished { key, outcome });
            }
            Due::Tick { name } => {
                self.step(now, slot, Event::Tick);
                self.schedule(now + Register::TICK, Due::Tick { name });
            }
            _ => {}
        }
    }

    fn send_request(&mut self, now: Duration, slot: usize, ticket: u64) {
        let (key, asked_at) = self.requests[&ticket];
        let name = self.hosts[slot].name.clone();
        let mut outcome = Outcome::NotRun;
        if self.hosts[slot].register.may_send(now, key) {
            self.runs.push(Run {
                key,
                asked_at,
                sent_at: now,
            });
            outcome = match self.rng.random_bool(0.5) {
                true => Outcome::Done(200),
                false => Outcome::Unknown,
            };
        }
        self.schedule(now + ms(30), Due::Finish { name, key, outcome });
    }

    fn step(&mut self, now: Duration, slot: usize, event: Event) {
        let name = self.hosts[slot].name.clone();
        for action in self.hosts[slot].register.step(now, event) {
            match action {
                Action::Send { to, message } => self.send(now, slot, &name, to, &message),
                Action::Refuse { reason, .. } => self.refused.push(reason),
                Action::Run { ticket } => {
                    let at = now + ms(self.rng.random_range(0..50));
                    let name = name.clone();
                    self.schedule(at, Due::SendRequest { name, ticket });
                }
            }
        }
    }

    fn send(
        &mut self,
        now: Duration,
        slot: usize,
        from: &name::Host,
        to: name::Host,
        message: &Message,
    ) {
        let Some(target) = self.slot_of(&to) else {
            return;
        };
        let cut = now < self.cut.1 && self.cut.0.contains(&slot) != self.cut.0.contains(&target);
        if cut || self.rng.random_bool(self.trial.loss) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.trial.loss));
        for _ in 0..copies {
            let longest = if self.rng.random_bool(self.trial.loss) {
                4_000
            } else {
                60
            };
            let delay = ms(self.rng.random_range(1..longest));
            let event = Event::Received {
                from: from.clone(),
                message: message.clone(),
            };
            let name = to.clone();
            self.schedule(now + delay, Due::Deliver { name, event });
        }
    }

    /// Causes one random fault, or repeats a recent request on some host.
    fn disturb(&mut self, now: Duration) {
        let slot = self.rng.random_range(0..SLOTS);
        let max_outage = self.trial.max_outage.as_millis() as u64;
        let outage = ms(self.rng.random_range(0..max_outage));
        match self.rng.random_range(0..20) {
            0 | 1 if self.may_stop(now, slot) => self.start(now, slot),
            2 if self.hosts[slot].is_listed => self.hosts[slot].paused_until = now + outage,
            4 if self.may_stop(now, slot) => self.stop(now, slot),
            3 => {
                let far_side = (0..SLOTS).filter(|_| self.rng.random_bool(0.4)).collect();
                self.cut = (far_side, now + outage);
            }
            _ => {
                let newest = now.as_secs() / 4;
                let oldest = newest.saturating_sub(8);
                let number = self.rng.random_range(oldest..=newest);
                self.request(now, slot, key(number));
            }
        }
        let gap = ms(self.rng.random_range(1..400));
        self.schedule(now + gap, Due::Adversary);
    }

    /// Whether a host may be stopped. In a rolling replacement only after the last start gap, and
    /// only while all other hosts of the region are active.
    fn may_stop(&self, now: Duration, slot: usize) -> bool {
        let gap = self.trial.min_start_gap;
        let is_up = |(other, host): (usize, &Host)| {
            other == slot || other == REMOTE_SLOT || (host.is_listed && host.register.is_active())
        };
        let others_are_up = self.hosts.iter().enumerate().all(is_up);
        gap.is_zero() || (now >= self.last_start_at + gap && others_are_up)
    }

    /// Stops a host without a replacement.
    fn stop(&mut self, now: Duration, slot: usize) {
        self.last_start_at = now;
        self.hosts[slot].paused_until = FOREVER;
        self.hosts[slot].is_listed = false;
        self.publish_hosts(now);
    }

    /// Restarts a host under its name or replaces it under a new one. Its records are lost.
    fn start(&mut self, now: Duration, slot: usize) {
        self.last_start_at = now;
        let keeps_name = self.rng.random_bool(0.5);
        let name = keeps_name.then(|| self.hosts[slot].name.clone());
        if let Some(name) = &name {
            let is_of_stopped_host = |due: &Due| matches!(due, Due::Tick { name: other } | Due::SendRequest { name: other, .. } | Due::Finish { name: other, .. } if other == name);
            self.due.retain(|_, due| !is_of_stopped_host(due));
        }
        self.hosts[slot] = self.new_host(slot, name, now);
        self.publish_hosts(now);
    }
}
