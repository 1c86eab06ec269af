//! Simulated network of the limit's state machines: clocks that drift, processes that pause,
//! messages that are lost, duplicated, delayed and reordered, partitions, and member lists that
//! differ between hosts.

use {
    greengagecleat::{
        limit::{
            Action, Event, Limiter, Message, Mode, Mutant, Plan, Quota, Region, Setup, Ticket,
            Timing, Verdict,
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

/// Step of true time.
pub(crate) const SLICE: Duration = Duration::from_millis(20);
/// Interval between ticks in local time.
const TICK: Duration = Duration::from_millis(100);
/// Local time at which every process's clock starts, so that a slow clock is never negative.
const ORIGIN: Duration = Duration::from_secs(100);

/// Loss, duplication and delay of messages.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Conditions {
    /// Fraction of messages that are lost.
    pub(crate) loss: f64,
    /// Fraction of messages that arrive a second time, with up to ten times the delay.
    pub(crate) duplicate: f64,
    /// Maximum extra delay, uniformly distributed, which reorders messages.
    pub(crate) jitter: Duration,
}

/// Time within which a new plan reaches all processes; short, so that schedules run past it.
const INCREASE_DELAY: Duration = Duration::from_secs(8);

/// A simulated process.
pub(crate) struct Process {
    pub(crate) name: name::Host,
    pub(crate) region: usize,
    pub(crate) limit: Limiter,
    pub(crate) alive: bool,
    pub(crate) paused: bool,
    /// Whether a configuration arrived while it was paused.
    missed_config: bool,
    clock_rate: f64,
    started_at: Duration,
    next_tick_at: Duration,
    inbox: Vec<(name::Host, Message)>,
    tickets: Vec<usize>,
}

impl Process {
    fn local_time(&self, now: Duration) -> Duration {
        ORIGIN + (now - self.started_at).mul_f64(self.clock_rate)
    }

    pub(crate) fn is_running(&self) -> bool {
        self.alive && !self.paused
    }
}

/// An admitted request, in true time.
pub(crate) struct Admission {
    pub(crate) admitted_at: Duration,
    pub(crate) customer: name::Customer,
    pub(crate) tokens: f64,
    ticket: Option<Ticket>,
}

/// Counters over all processes.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
    pub(crate) admitted_tokens: f64,
    pub(crate) offered_tokens: f64,
}

pub(crate) struct Net {
    pub(crate) now: Duration,
    pub(crate) processes: Vec<Process>,
    pub(crate) plan: Plan,
    pub(crate) quotas: BTreeMap<name::Customer, Quota>,
    pub(crate) conditions: Conditions,
    pub(crate) admissions: Vec<Admission>,
    pub(crate) counts: Counts,
    /// Whether messages are encoded to count their bytes.
    pub(crate) counts_bytes: bool,
    /// Pairs of regions between which messages are lost, the lower index first.
    pub(crate) cut_regions: BTreeSet<(usize, usize)>,
    /// Processes that exchange no messages with any other.
    pub(crate) isolated: BTreeSet<usize>,
    regions: Vec<name::Region>,
    setup: (Mode, Timing, Option<Mutant>),
    rng: StdRng,
    queue: BTreeMap<(Duration, u64), (usize, name::Host, Message)>,
    due_configs: BTreeSet<(Duration, usize)>,
    by_name: BTreeMap<name::Host, usize>,
    sequence: u64,
}

/// Delay of messages within a region and between regions.
const REGION_DELAY: Duration = Duration::from_millis(1);
const REMOTE_DELAY: Duration = Duration::from_millis(50);
/// Number of hosts of each other region in a member list.
const KNOWN_REMOTE_HOSTS: usize = 3;

impl Net {
    pub(crate) fn new(
        seed: u64,
        mode: Mode,
        mutant: Option<Mutant>,
        regions: &[(u32, f64)],
    ) -> Self {
        let names: Vec<name::Region> = (0..regions.len())
            .map(|at| name::Region::from(format!("r{at:03}")))
            .collect();
        let parts = regions.iter().map(|&(max_processes, weight)| Region {
            max_processes,
            weight,
        });
        let plan = Plan {
            regions: names.iter().cloned().zip(parts).collect(),
        };
        let timing = Timing {
            increase_delay: INCREASE_DELAY,
            ..Timing::default()
        };
        Self {
            now: Duration::ZERO,
            processes: Vec::new(),
            plan,
            quotas: BTreeMap::new(),
            conditions: Conditions {
                loss: 0.0,
                duplicate: 0.0,
                jitter: Duration::ZERO,
            },
            admissions: Vec::new(),
            counts: Counts::default(),
            counts_bytes: false,
            cut_regions: BTreeSet::new(),
            isolated: BTreeSet::new(),
            regions: names,
            setup: (mode, timing, mutant),
            rng: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            due_configs: BTreeSet::new(),
            by_name: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Starts a process without earlier state, under `name` if given, else under a new name.
    pub(crate) fn start(&mut self, region: usize, name: Option<name::Host>) -> usize {
        let at = self.processes.len();
        let name = name.unwrap_or_else(|| format!("{}-{at:04}", self.regions[region]).into());
        let (mode, timing, mutant) = self.setup;
        let setup = Setup {
            host: name.clone(),
            region: self.regions[region].clone(),
            incarnation: self.rng.random(),
            mode,
            timing,
            mutant,
        };
        let drift = timing.max_clock_drift * self.rng.random_range(-1.0..1.0);
        let mut limit = Limiter::new(ORIGIN, setup);
        let configured = Event::Configured {
            plan: self.plan.clone(),
            quotas: self.quotas.clone(),
        };
        limit.step(ORIGIN, configured);
        self.by_name.insert(name.clone(), at);
        self.processes.push(Process {
            name,
            region,
            limit,
            alive: true,
            paused: false,
            missed_config: false,
            clock_rate: 1.0 + drift,
            started_at: self.now,
            next_tick_at: ORIGIN,
            inbox: Vec::new(),
            tickets: Vec::new(),
        });
        at
    }

    /// Number of processes alive in a region, including paused ones.
    pub(crate) fn alive_count(&self, region: usize) -> usize {
        let here = |process: &&Process| process.region == region && process.alive;
        self.processes.iter().filter(here).count()
    }

    /// Sends a process the list of the other live hosts, without those that `hidden` selects.
    pub(crate) fn send_members(&mut self, at: usize, hidden: impl Fn(usize) -> bool) {
        let region = self.processes[at].region;
        let mut members = BTreeMap::new();
        let mut known = vec![0; self.regions.len()];
        for (other, process) in self.processes.iter().enumerate() {
            if other == at || !process.alive || hidden(other) {
                continue;
            }
            known[process.region] += 1;
            if process.region == region || known[process.region] <= KNOWN_REMOTE_HOSTS {
                members.insert(process.name.clone(), self.regions[process.region].clone());
            }
        }
        self.step(at, Event::Members(members));
    }

    pub(crate) fn send_all_members(&mut self) {
        for at in 0..self.processes.len() {
            if self.processes[at].is_running() {
                self.send_members(at, |_| false);
            }
        }
    }

    /// Changes the weights of the plan, which reaches each process after a random time within the
    /// increase delay.
    pub(crate) fn change_weights(&mut self, weights: impl Iterator<Item = f64>) {
        for (part, weight) in self.plan.regions.values_mut().zip(weights) {
            part.weight = weight;
        }
        let spread = self.setup.1.increase_delay - self.setup.1.quarantine();
        for at in 0..self.processes.len() {
            let due = self.now + spread.mul_f64(self.rng.random());
            self.due_configs.insert((due, at));
        }
    }

    fn configure(&mut self, at: usize) {
        self.processes[at].missed_config = self.processes[at].paused;
        let event = Event::Configured {
            plan: self.plan.clone(),
            quotas: self.quotas.clone(),
        };
        self.step(at, event);
    }

    pub(crate) fn step(&mut self, at: usize, event: Event) {
        if !self.processes[at].is_running() {
            return;
        }
        let process = &mut self.processes[at];
        let local_time = process.local_time(self.now);
        let actions = process.limit.step(local_time, event);
        for action in actions {
            if let Action::Send { to, message } = action {
                self.send(at, &to, message);
            }
        }
    }

    fn send(&mut self, from: usize, to: &name::Host, message: Message) {
        self.counts.messages += 1;
        if self.counts_bytes {
            let mut bytes = Vec::new();
            ciborium::into_writer(&message, &mut bytes).expect("a message encodes");
            self.counts.bytes += bytes.len() as u64;
        }
        let Some(&target) = self.by_name.get(to) else {
            return;
        };
        if self.rng.random_bool(self.conditions.loss) {
            return;
        }
        let near = self.processes[from].region == self.processes[target].region;
        let base = if near { REGION_DELAY } else { REMOTE_DELAY };
        let name = self.processes[from].name.clone();
        let delay = base + self.conditions.jitter.mul_f64(self.rng.random());
        if self.rng.random_bool(self.conditions.duplicate) {
            let late = delay.mul_f64(self.rng.random_range(1.0..10.0));
            self.push(late, target, name.clone(), message.clone());
        }
        self.push(delay, target, name, message);
    }

    fn push(&mut self, delay: Duration, to: usize, from: name::Host, message: Message) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.queue.insert(key, (to, from, message));
    }

    fn is_connected(&self, to: usize, from: &name::Host) -> bool {
        let Some(&from) = self.by_name.get(from) else {
            return false;
        };
        let (a, b) = (self.processes[from].region, self.processes[to].region);
        let is_cut = self.cut_regions.contains(&(a.min(b), a.max(b)));
        !is_cut && !self.isolated.contains(&from) && !self.isolated.contains(&to)
    }

    /// Advances true time by one slice: messages, then configurations, then ticks.
    pub(crate) fn advance_slice(&mut self) {
        self.now += SLICE;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, from, message) = entry.remove();
            self.deliver(to, from, message);
        }
        while let Some(&(due, at)) = self.due_configs.first().filter(|(due, _)| *due <= self.now) {
            self.due_configs.remove(&(due, at));
            self.configure(at);
        }
        for at in 0..self.processes.len() {
            let process = &self.processes[at];
            if !process.is_running() || process.local_time(self.now) < process.next_tick_at {
                continue;
            }
            let local_time = process.local_time(self.now);
            self.processes[at].next_tick_at = local_time + TICK;
            self.step(at, Event::Tick);
        }
    }

    fn deliver(&mut self, to: usize, from: name::Host, message: Message) {
        if !self.processes[to].alive || !self.is_connected(to, &from) {
            return;
        }
        if self.processes[to].paused {
            self.processes[to].inbox.push((from, message));
            return;
        }
        self.step(to, Event::Received { from, message });
    }

    /// Resumes a paused process; messages that arrived meanwhile wait until [`Net::catch_up`].
    pub(crate) fn resume(&mut self, at: usize) {
        self.processes[at].paused = false;
    }

    /// Delivers the configuration and messages that arrived while a process was paused.
    pub(crate) fn catch_up(&mut self, at: usize) {
        if self.processes[at].missed_config {
            self.configure(at);
        }
        let inbox = std::mem::take(&mut self.processes[at].inbox);
        for (from, message) in inbox {
            self.step(at, Event::Received { from, message });
        }
    }

    pub(crate) fn kill(&mut self, at: usize) {
        self.processes[at].alive = false;
    }

    /// Asks a process to admit a request.
    pub(crate) fn admit(&mut self, at: usize, customer: &name::Customer, tokens: f64) -> Verdict {
        if !self.processes[at].is_running() {
            let retry_after = SLICE;
            return Verdict::Refused { retry_after };
        }
        let local_time = self.processes[at].local_time(self.now);
        let verdict = self.processes[at].limit.admit(local_time, customer, tokens);
        self.counts.offered_tokens += tokens;
        if let Verdict::Admitted(ticket) = &verdict {
            self.counts.admitted += 1;
            self.counts.admitted_tokens += tokens;
            self.processes[at].tickets.push(self.admissions.len());
            self.admissions.push(Admission {
                admitted_at: self.now,
                customer: customer.clone(),
                tokens,
                ticket: Some(ticket.clone()),
            });
        } else {
            self.counts.refused += 1;
        }
        verdict
    }

    /// Number of requests that a process has admitted and not settled.
    pub(crate) fn unsettled(&self, at: usize) -> usize {
        self.processes[at].tickets.len()
    }

    /// Settles the oldest unsettled request of a process at the fraction `part` of its charge.
    pub(crate) fn settle_one(&mut self, at: usize, part: f64) {
        if !self.processes[at].is_running() || self.processes[at].tickets.is_empty() {
            return;
        }
        let index = self.processes[at].tickets.remove(0);
        let Some(ticket) = self.admissions[index].ticket.take() else {
            return;
        };
        let used = ticket.charged * part;
        self.admissions[index].tokens = used;
        let local_time = self.processes[at].local_time(self.now);
        self.processes[at].limit.settle(local_time, ticket, used);
    }

    /// Maximum by which the tokens admitted in any interval exceed `rate · length + burst`, as a
    /// fraction of the burst; at most zero when the bound holds.
    pub(crate) fn excess(&self, customer: &name::Customer, quota: Quota) -> f64 {
        let mut level = 0.0_f64;
        let mut worst = 0.0_f64;
        let mut last = Duration::ZERO;
        for admission in self
            .admissions
            .iter()
            .filter(|one| one.customer == *customer)
        {
            let elapsed = (admission.admitted_at - last).as_secs_f64();
            last = admission.admitted_at;
            level = (level - quota.rate * elapsed).max(0.0) + admission.tokens;
            worst = worst.max(level);
        }
        worst / quota.burst - 1.0
    }
}
