//! Adversarial schedules of load and faults, which shrink to a short list of steps.

use {
    crate::net::{Conditions, Net, SLICE},
    greengagecleat::{
        limit::{Mode, Mutant, Quota, Verdict},
        name,
    },
    quickcheck::{Arbitrary, Gen},
    std::time::Duration,
};

/// Number of processes and weight of each region: two regions of three and one of one.
pub(crate) const REGIONS: [(u32, f64); 3] = [(3, 3.0), (3, 3.0), (1, 1.0)];
/// Quotas of the two customers.
const QUOTAS: [Quota; 2] = [
    Quota {
        rate: 1000.0,
        burst: 500.0,
    },
    Quota {
        rate: 100.0,
        burst: 5000.0,
    },
];

/// One step of a schedule. Numbers of hosts and regions are taken modulo those that exist.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// Advances time with greedy load at the hosts that `hot` selects by bit.
    Load { slices: u8, hot: u8 },
    /// Settles the unsettled requests of a host, up to 200, at `part` 255ths of their charges.
    Settle { host: u8, part: u8 },
    /// Offers a host `part` 255ths of the rates, then a quarter of that, each evenly over the
    /// slices, then applies greedy load to all hosts.
    Steady { host: u8, part: u8, slices: u8 },
    /// All hosts empty their buckets, wait, empty them again, then settle the first requests as
    /// unused and spend the refunds.
    Refund { slices: u8 },
    /// Pauses a process until a `Resume`.
    Pause { host: u8 },
    /// Pauses a loaded process, applies load elsewhere, and resumes it with requests first.
    PauseLoaded { host: u8, slices: u8, hot: u8 },
    /// Resumes a paused process, with requests before its queued messages or only after them.
    Resume { host: u8, requests_first: bool },
    /// Kills a process and starts one without its state in the same region, under the same name or
    /// a new one.
    Replace { host: u8, same_name: bool },
    /// Kills a process.
    Kill { host: u8 },
    /// Starts a process, if fewer run in the region than the plan allows.
    Start { region: u8 },
    /// Drains a process.
    Drain { host: u8 },
    /// Cuts the connection between two regions.
    Cut { a: u8, b: u8 },
    /// Cuts a process off from all others.
    Isolate { host: u8 },
    /// Restores all connections and member lists.
    Heal,
    /// Sends a host a member list without the hosts that `hidden` selects by bit.
    View { host: u8, hidden: u8 },
    /// Changes the weights of the regions.
    Replan { first: u8, second: u8 },
    /// Sets loss and duplication, in 255ths, and jitter, in hundredths of a second.
    Conditions { loss: u8, duplicate: u8, jitter: u8 },
}

/// A schedule for a fleet of `REGIONS`.
#[derive(Debug, Clone)]
pub(crate) struct Schedule {
    pub(crate) seed: u64,
    pub(crate) mode: Mode,
    /// The first step, a [`Step::Conditions`].
    pub(crate) conditions: Step,
    pub(crate) steps: Vec<Step>,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = u8::arbitrary(g);
        match u8::arbitrary(g) % 21 {
            0 | 1 => Self::Steady {
                host,
                part: u8::arbitrary(g),
                slices: u8::arbitrary(g),
            },
            2..=6 => Self::Load {
                slices: u8::arbitrary(g),
                hot: arbitrary_host_bits(g),
            },
            7 => Self::Settle {
                host,
                part: u8::arbitrary(g),
            },
            8 => Self::Pause { host },
            9 => Self::PauseLoaded {
                host,
                slices: u8::arbitrary(g),
                hot: arbitrary_host_bits(g),
            },
            10 => Self::Resume {
                host,
                requests_first: bool::arbitrary(g),
            },
            11 | 12 => Self::Replace {
                host,
                same_name: bool::arbitrary(g),
            },
            13 if host % 2 == 0 => Self::Kill { host },
            13 => Self::Refund {
                slices: u8::arbitrary(g),
            },
            14 => Self::Start { region: host },
            15 => Self::Cut {
                a: host,
                b: u8::arbitrary(g),
            },
            16 => Self::Isolate { host },
            17 => Self::Heal,
            18 => Self::View {
                host,
                hidden: u8::arbitrary(g),
            },
            19 => Self::Replan {
                first: u8::arbitrary(g) % 4,
                second: u8::arbitrary(g) % 4,
            },
            _ if host % 4 == 0 => Self::Drain { host },
            _ => arbitrary_conditions(g),
        }
    }
}

/// Network conditions, mostly mild and sometimes severe.
fn arbitrary_conditions(g: &mut Gen) -> Step {
    let strength = u8::arbitrary(g) % 7;
    Step::Conditions {
        loss: u8::arbitrary(g) >> (strength + 1),
        duplicate: u8::arbitrary(g) >> (strength / 2),
        jitter: u8::arbitrary(g) >> strength,
    }
}

/// Bits that select no host, one host, all hosts or some.
fn arbitrary_host_bits(g: &mut Gen) -> u8 {
    let any = u8::arbitrary(g);
    match u8::arbitrary(g) % 4 {
        0 => 0,
        1 => 1 << (any % 8),
        2 => u8::MAX,
        _ => any,
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            seed: u64::arbitrary(g),
            mode: *g
                .choose(&[Mode::Leases, Mode::Leases, Mode::Loans, Mode::Static])
                .expect("there are ways"),
            conditions: arbitrary_conditions(g),
            steps: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let schedule = self.clone();
        let halves = [schedule.steps.len() / 2, schedule.steps.len() / 4 * 3];
        let with_steps = move |steps: Vec<Step>| Self {
            steps,
            ..schedule.clone()
        };
        let steps = self.steps.clone();
        let halves = halves
            .into_iter()
            .filter(|at| *at < self.steps.len())
            .map(|at| self.steps[..at].to_vec())
            .collect::<Vec<_>>();
        let shorter = (0..steps.len()).map(move |removed| {
            let mut steps = steps.clone();
            steps.remove(removed);
            steps
        });
        Box::new(halves.into_iter().chain(shorter).map(with_steps))
    }
}

/// Rounding error, as a fraction of the burst.
pub(crate) const TOLERANCE: f64 = 1e-6;

impl Schedule {
    /// Runs the schedule and returns the maximum by which an interval exceeded the bound, as a
    /// fraction of the burst.
    pub(crate) fn run(&self, mutant: Option<Mutant>) -> f64 {
        let mut net = Net::new(self.seed, self.mode, mutant, &REGIONS);
        let customers = ["one", "two"].map(name::Customer::from);
        net.quotas = customers.iter().cloned().zip(QUOTAS).collect();
        for (region, (hosts, _)) in REGIONS.iter().enumerate() {
            for _ in 0..*hosts {
                net.start(region, None);
            }
        }
        net.send_all_members();
        for _ in 0..300 {
            net.advance_slice();
        }
        apply(&mut net, &self.conditions, &customers);
        for step in &self.steps {
            apply(&mut net, step, &customers);
        }
        load(&mut net, 50, u8::MAX, &customers);
        customers
            .iter()
            .zip(QUOTAS)
            .map(|(customer, quota)| net.excess(customer, quota))
            .fold(f64::MIN, f64::max)
    }
}

fn apply(net: &mut Net, step: &Step, customers: &[name::Customer; 2]) {
    let alive: Vec<usize> = (0..net.processes.len())
        .filter(|at| net.processes[*at].alive)
        .collect();
    let pick = |host: &u8| alive.get(*host as usize % alive.len().max(1)).copied();
    let region = |number: &u8| *number as usize % REGIONS.len();
    match step {
        Step::Load { slices, hot } => load(net, *slices, *hot, customers),
        Step::Settle { host, part } => {
            let Some(at) = pick(host) else { return };
            for _ in 0..200 {
                net.settle_one(at, f64::from(*part) / 255.0);
            }
        }
        Step::Steady { host, part, slices } => {
            let Some(at) = pick(host) else { return };
            steady(net, at, f64::from(*part) / 255.0, *slices, customers);
            steady(net, at, f64::from(*part) / 1020.0, *slices, customers);
            load(net, *slices, u8::MAX, customers);
        }
        Step::Refund { slices } => refund(net, *slices, customers),
        Step::Pause { host } => {
            let Some(at) = pick(host) else { return };
            net.processes[at].paused = true;
        }
        Step::PauseLoaded { host, slices, hot } => {
            let Some(at) = pick(host) else { return };
            for _ in 0..BUSY_SLICES {
                net.advance_slice();
                drain_bucket(net, at, customers);
            }
            net.processes[at].paused = true;
            load(net, *slices, *hot, customers);
            resume(net, at, true, customers);
            load(net, 1, u8::MAX, customers);
        }
        Step::Resume {
            host,
            requests_first,
        } => {
            let paused: Vec<usize> = alive
                .iter()
                .copied()
                .filter(|at| net.processes[*at].paused)
                .collect();
            let Some(&at) = paused.get(*host as usize % paused.len().max(1)) else {
                return;
            };
            resume(net, at, *requests_first, customers);
        }
        Step::Replace { host, same_name } => {
            let Some(at) = pick(host) else { return };
            net.kill(at);
            let name = same_name.then(|| net.processes[at].name.clone());
            net.start(net.processes[at].region, name);
            net.send_all_members();
        }
        Step::Kill { host } => {
            let Some(at) = pick(host) else { return };
            net.kill(at);
        }
        Step::Start { region: number } => {
            let at = region(number);
            if net.alive_count(at) < REGIONS[at].0 as usize {
                net.start(at, None);
                net.send_all_members();
            }
        }
        Step::Drain { host } => {
            let Some(at) = pick(host) else { return };
            net.step(at, greengagecleat::limit::Event::Drain);
        }
        Step::Cut { a, b } => {
            let (a, b) = (region(a), region(b));
            net.cut_regions.insert((a.min(b), a.max(b)));
        }
        Step::Isolate { host } => {
            let Some(at) = pick(host) else { return };
            net.isolated.insert(at);
        }
        Step::Heal => {
            net.cut_regions.clear();
            net.isolated.clear();
            net.send_all_members();
        }
        Step::View { host, hidden } => {
            let Some(at) = pick(host) else { return };
            net.send_members(at, |other| hidden >> (other % 8) & 1 == 1);
        }
        Step::Replan { first, second } => {
            net.change_weights([f64::from(*first), f64::from(*second), 1.0].into_iter());
        }
        Step::Conditions {
            loss,
            duplicate,
            jitter,
        } => {
            net.conditions = Conditions {
                loss: f64::from(*loss) / 255.0,
                duplicate: f64::from(*duplicate) / 255.0,
                jitter: Duration::from_millis(u64::from(*jitter) * 10),
            };
        }
    }
}

fn steady(net: &mut Net, at: usize, part: f64, slices: u8, customers: &[name::Customer; 2]) {
    for _ in 0..slices {
        net.advance_slice();
        for (customer, quota) in customers.iter().zip(QUOTAS) {
            net.admit(at, customer, quota.rate * part * SLICE.as_secs_f64());
        }
    }
}

fn refund(net: &mut Net, slices: u8, customers: &[name::Customer; 2]) {
    load(net, 1, u8::MAX, customers);
    let open: Vec<usize> = (0..net.processes.len())
        .map(|at| net.unsettled(at))
        .collect();
    load(net, slices, 0, customers);
    load(net, 1, u8::MAX, customers);
    for (at, open) in open.into_iter().enumerate() {
        (0..open).for_each(|_| net.settle_one(at, 0.0));
    }
    load(net, 1, u8::MAX, customers);
}

fn resume(net: &mut Net, at: usize, requests_first: bool, customers: &[name::Customer; 2]) {
    net.resume(at);
    if requests_first {
        drain_bucket(net, at, customers);
    }
    net.catch_up(at);
    drain_bucket(net, at, customers);
}

/// Slices for which a process is loaded before it is paused.
const BUSY_SLICES: u32 = 100;

/// Advances time while the hosts that `hot` selects empty their buckets and ask for more.
fn load(net: &mut Net, slices: u8, hot: u8, customers: &[name::Customer; 2]) {
    for _ in 0..slices {
        net.advance_slice();
        for at in 0..net.processes.len() {
            if net.processes[at].is_running() && hot >> (at % 8) & 1 == 1 {
                drain_bucket(net, at, customers);
            }
        }
    }
}

/// Empties a host's buckets in a few requests, then offers one more.
fn drain_bucket(net: &mut Net, at: usize, customers: &[name::Customer; 2]) {
    for (customer, quota) in customers.iter().zip(QUOTAS) {
        let (_, level) = net.processes[at].limit.share(customer).unwrap_or_default();
        for part in [0.5, 0.25, 0.125] {
            net.admit(at, customer, level * part);
        }
        let more = quota.rate * SLICE.as_secs_f64();
        while matches!(net.admit(at, customer, more), Verdict::Admitted(_)) {}
        net.admit(at, customer, quota.burst / 8.0);
    }
}
