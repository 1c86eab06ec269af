//! Compares the modes that enforce a customer's rate over the fleet: over-admission, refusals
//! within the rate, messages and recovery. `cargo run --release --example limit_compare [SEED]`

#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/limit/net.rs"]
mod net;

use {
    greengagecleat::{
        limit::{Mode, Quota, Verdict},
        name,
    },
    net::{Net, SLICE},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::VecDeque,
        env,
        f64::consts::TAU,
        time::{Duration, Instant},
    },
};

/// Tokens that a request is charged, and the fraction of them that it uses.
const CHARGE_TOKENS: f64 = 400.0;
const USED_SHARE: f64 = 0.5;
/// Time from a request's admission until its charge is settled.
const RUN_TIME: Duration = Duration::from_secs(1);
/// Rate of the customer for each host of the fleet, in tokens a second.
const RATE_PER_HOST: f64 = 1000.0;
/// The same at full size: 25 million tokens a second at 2,300 hosts.
const LARGE_RATE_PER_HOST: f64 = 10_900.0;
/// Burst of the customer, in seconds of the rate.
const BURST_SECONDS: f64 = 4.0;
/// Warm-up time, after which quarantines have ended and demand is known.
const WARM_UP_SECONDS: u32 = 20;
const MEASURED_SECONDS: u32 = 120;
const SLICES: u32 = 50;

/// Distribution of the traffic, and faults.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Scenario {
    /// 90 % of the rate, all of it at one host.
    Skew,
    /// 90 % of the rate, moving through all regions once in the measured time.
    Day,
    /// Five times the rate, at all hosts.
    Excess,
    /// 85 % of the rate at all hosts; one host dies and is replaced ten seconds later.
    Death,
    /// 85 % of the rate at all hosts.
    Even,
}

impl Scenario {
    fn load(self) -> f64 {
        match self {
            Self::Skew | Self::Day => 0.9,
            Self::Excess => 5.0,
            Self::Death | Self::Even => 0.85,
        }
    }

    /// Relative traffic at a host.
    fn weight(self, at: usize, region: usize, regions: usize, day: f64) -> f64 {
        match self {
            Self::Skew => f64::from(u8::from(at == 1)),
            Self::Day => {
                let phase = day - region as f64 / regions as f64;
                1.05 + (TAU * phase).cos()
            }
            Self::Excess | Self::Death | Self::Even => 1.0,
        }
    }
}

/// Results of one run.
#[derive(Default)]
struct Row {
    excess: f64,
    refused: f64,
    used: f64,
    messages: f64,
    bytes: f64,
    recovery: Option<u32>,
    cpu: f64,
}

struct Fleet {
    regions: usize,
    hosts: u32,
    customers: usize,
    /// Tokens a second of all customers, for each host.
    rate: f64,
}

fn run(fleet: &Fleet, way: Mode, scenario: Scenario, seed: u64) -> Row {
    let parts = vec![(fleet.hosts, 1.0); fleet.regions];
    let count = fleet.regions * fleet.hosts as usize;
    let mut net = Net::new(seed, way, None, &parts);
    net.counts_bytes = true;
    let rate = fleet.rate * count as f64 / fleet.customers as f64;
    let quota = Quota {
        rate,
        burst: rate * BURST_SECONDS,
    };
    let customers: Vec<name::Customer> = (0..fleet.customers)
        .map(|at| format!("customer-{at}").into())
        .collect();
    net.quotas = customers.iter().map(|name| (name.clone(), quota)).collect();
    for region in 0..fleet.regions {
        for _ in 0..fleet.hosts {
            net.start(region, None);
        }
    }
    net.send_all_members();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut row = Row::default();
    let mut open = VecDeque::new();
    let (mut offered, mut refused) = (0.0, 0.0);
    let started_at = Instant::now();
    for second in 0..WARM_UP_SECONDS + MEASURED_SECONDS {
        if second == WARM_UP_SECONDS {
            net.counts = Default::default();
            (offered, refused) = (0.0, 0.0);
        }
        let since = second.saturating_sub(WARM_UP_SECONDS);
        if scenario == Scenario::Death && second == WARM_UP_SECONDS {
            net.kill(4);
            net.send_all_members();
        }
        if scenario == Scenario::Death && second == WARM_UP_SECONDS + 10 {
            net.start(net.processes[4].region, None);
            net.send_all_members();
        }
        let day = f64::from(since) / f64::from(MEASURED_SECONDS);
        let weights: Vec<f64> = net
            .processes
            .iter()
            .enumerate()
            .map(|(at, process)| {
                let live = f64::from(u8::from(process.alive));
                live * scenario.weight(at, process.region, fleet.regions, day)
            })
            .collect();
        let total: f64 = weights.iter().sum();
        let (mut here, mut here_refused) = (0.0, 0.0);
        for _ in 0..SLICES {
            net.advance_slice();
            while open.front().is_some_and(|(due, _)| *due <= net.now) {
                let (_, at) = open.pop_front().expect("there is one");
                net.settle_one(at, USED_SHARE);
            }
            for (at, weight) in weights.iter().enumerate() {
                let part = weight / total;
                for customer in &customers {
                    let mean = rate * scenario.load() * part * SLICE.as_secs_f64()
                        / (CHARGE_TOKENS * USED_SHARE);
                    for _ in 0..arrivals(&mut rng, mean) {
                        here += 1.0;
                        match net.admit(at, customer, CHARGE_TOKENS) {
                            Verdict::Admitted(_) => open.push_back((net.now + RUN_TIME, at)),
                            _ => here_refused += 1.0,
                        }
                    }
                }
            }
        }
        offered += here;
        refused += here_refused;
        if second >= WARM_UP_SECONDS && here_refused > 0.01 * here {
            row.recovery = Some(since + 1);
        }
    }
    let seconds = f64::from(MEASURED_SECONDS) * count as f64;
    row.cpu =
        started_at.elapsed().as_secs_f64() / (seconds + f64::from(WARM_UP_SECONDS) * count as f64);
    row.excess = customers
        .iter()
        .map(|customer| net.excess(customer, quota))
        .fold(f64::MIN, f64::max);
    row.refused = refused / offered;
    row.used = net.counts.admitted_tokens * USED_SHARE
        / (rate * fleet.customers as f64 * f64::from(MEASURED_SECONDS));
    row.messages = net.counts.messages as f64 / seconds;
    row.bytes = net.counts.bytes as f64 / seconds;
    row
}

/// Number of arrivals from a Poisson distribution.
fn arrivals(rng: &mut StdRng, mean: f64) -> u32 {
    let floor = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > floor {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

fn print(fleet: &Fleet, way: Mode, scenario: Scenario, row: &Row) {
    let over = if row.excess > 1e-6 { row.excess } else { 0.0 };
    let recovery = match row.recovery {
        None => "never above".to_owned(),
        Some(MEASURED_SECONDS) => "not".to_owned(),
        Some(seconds) => format!("{seconds} s"),
    };
    println!(
        "| {} | {} | {way:?} | {scenario:?} | {over:.3} | {:.2} % | {:.2} | {recovery} | {:.1} | {:.0} | {:.1} |",
        fleet.regions * fleet.hosts as usize,
        fleet.customers,
        row.refused * 100.0,
        row.used,
        row.messages,
        row.bytes,
        row.cpu * 1e6,
    );
}

fn main() {
    let seed = env::args()
        .nth(1)
        .map_or(1, |text| text.parse().expect("SEED is a whole number"));
    println!("seed {seed}; over: tokens over rate and burst in the worst interval, in bursts;");
    println!("refused: requests refused; used: settled tokens per token of the rate; calm: last");
    println!("second with more than 1 % refused, from the start or the death; messages and bytes");
    println!("sent a second and host; cpu: microseconds a second and host, the bench included");
    println!(
        "| hosts | customers | way | scenario | over | refused | used | calm | messages | bytes | cpu |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    let small = Fleet {
        regions: 3,
        hosts: 3,
        customers: 1,
        rate: RATE_PER_HOST,
    };
    let large = Fleet {
        regions: 9,
        hosts: 23,
        customers: 1,
        rate: RATE_PER_HOST,
    };
    let scenarios = [
        Scenario::Skew,
        Scenario::Day,
        Scenario::Excess,
        Scenario::Death,
        Scenario::Even,
    ];
    for fleet in [small, large] {
        for scenario in scenarios {
            for way in [Mode::Static, Mode::Loans, Mode::Leases] {
                print(&fleet, way, scenario, &run(&fleet, way, scenario, seed));
            }
        }
    }
    for (regions, hosts) in [(3, 3), (3, 9), (3, 23)] {
        for customers in [5, 20] {
            let fleet = Fleet {
                regions,
                hosts,
                customers,
                rate: LARGE_RATE_PER_HOST,
            };
            let row = run(&fleet, Mode::Leases, Scenario::Even, seed);
            print(&fleet, Mode::Leases, Scenario::Even, &row);
        }
    }
}
