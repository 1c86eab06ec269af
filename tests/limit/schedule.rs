//! Adversarial schedules, that shrink to a short list of steps.

use {
    crate::net::{Conditions, Net, SLICE},
    greengagecleat::{
        limit::{Mode, Mutant, Quota, Verdict},
        name,
    },
    quickcheck::{Arbitrary, Gen},
    std::time::Duration,
};

/// Fleet of the schedules: two regions of three and one of one.
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

/// One step of a schedule. Numbers are taken modulo what exists.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// Time passes under greedy load at the hosts that `hot` picks by bit.
    Load { slices: u8, hot: u8 },
    /// Every open request of a host is settled at `part` of 255.
    Settle { host: u8, part: u8 },
    /// A host is offered a part of the rates, in 255ths, evenly, then a quarter of that; then all
    /// hosts are greedy.
    Steady { host: u8, part: u8, slices: u8 },
    /// All hosts take what they hold, rest, take it again, and only then settle what they took
    /// first as unused, and take what that brings.
    Refund { slices: u8 },
    /// A process stops for a while.
    Pause { host: u8 },
    /// A loaded process stops, time passes under load elsewhere, and it serves requests as it wakes.
    Sleep { host: u8, slices: u8, hot: u8 },
    /// It goes on, and serves `first` what was queued: requests before messages, or after.
    Wake { host: u8, requests_first: bool },
    /// A process dies, and one starts in its region with nothing kept, at once or later.
    Replace { host: u8, same_name: bool },
    /// A process dies.
    Kill { host: u8 },
    /// One starts, when the region has room.
    Start { region: u8 },
    /// A process is told to leave.
    Drain { host: u8 },
    /// Two regions stop to hear each other.
    Cut { a: u8, b: u8 },
    /// A process is cut off from all.
    Isolate { host: u8 },
    /// All cuts heal.
    Heal,
    /// A host's list lacks the hosts that `hidden` picks by bit.
    View { host: u8, hidden: u8 },
    /// The regions' weights change.
    Replan { first: u8, second: u8 },
    /// Loss and duplication in 255ths, jitter in hundredths of a second.
    Conditions { loss: u8, duplicate: u8, jitter: u8 },
}

/// A schedule.
#[derive(Debug, Clone)]
pub(crate) struct Schedule {
    pub(crate) seed: u64,
    pub(crate) mode: Mode,
    /// A [`Step::Conditions`] to begin with.
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
            9 => Self::Sleep {
                host,
                slices: u8::arbitrary(g),
                hot: arbitrary_host_bits(g),
            },
            10 => Self::Wake {
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

/// Mostly mild, at times wild.
fn arbitrary_conditions(g: &mut Gen) -> Step {
    let strength = u8::arbitrary(g) % 7;
    Step::Conditions {
        loss: u8::arbitrary(g) >> (strength + 1),
        duplicate: u8::arbitrary(g) >> (strength / 2),
        jitter: u8::arbitrary(g) >> strength,
    }
}

/// No host, one host, all hosts or some.
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
        let whole = self.clone();
        let halves = [whole.steps.len() / 2, whole.steps.len() / 4 * 3];
        let with = move |steps: Vec<Step>| Self {
            steps,
            ..whole.clone()
        };
        let steps = self.steps.clone();
        let halves = halves
            .into_iter()
            .filter(|at| *at < self.steps.len())
            .map(|at| self.steps[..at].to_vec())
            .collect::<Vec<_>>();
        let shorter = (0..steps.len()).map(move |gone| {
            let mut steps = steps.clone();
            steps.remove(gone);
            steps
        });
        Box::new(halves.into_iter().chain(shorter).map(with))
    }
}

/// Float noise, as a fraction of the burst.
pub(crate) const TOLERANCE: f64 = 1e-6;

impl Schedule {
    /// Runs the schedule: how far an interval passed the bound, as a fraction of the burst.
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
        Step::Sleep { host, slices, hot } => {
            let Some(at) = pick(host) else { return };
            for _ in 0..BUSY_SLICES {
                net.advance_slice();
                drain_bucket(net, at, customers);
            }
            net.processes[at].paused = true;
            load(net, *slices, *hot, customers);
            wake(net, at, true, customers);
            load(net, 1, u8::MAX, customers);
        }
        Step::Wake {
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
            wake(net, at, *requests_first, customers);
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
            if net.running(at) < REGIONS[at].0 as usize {
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
            net.cut.insert((a.min(b), a.max(b)));
        }
        Step::Isolate { host } => {
            let Some(at) = pick(host) else { return };
            net.isolated.insert(at);
        }
        Step::Heal => {
            net.cut.clear();
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

fn wake(net: &mut Net, at: usize, requests_first: bool, customers: &[name::Customer; 2]) {
    net.wake(at);
    if requests_first {
        drain_bucket(net, at, customers);
    }
    net.catch_up(at);
    drain_bucket(net, at, customers);
}

/// Slices for which a process is loaded before it sleeps.
const BUSY_SLICES: u32 = 100;

/// Time passes; hot hosts take all they can get, and ask for more.
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

/// Takes all that a host's buckets hold, in a few requests, then asks for one too many.
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
