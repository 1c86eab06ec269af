//! Compares retry policies during a brown-out: the retry budget, unbounded retries and no retries.
//!
//! `cargo run --release --example brownout [SEED]` drives [`attempt::Exchange`] against simulated
//! upstreams that continue abandoned work. It slows them for a minute and prints for each policy
//! the requests sent for each one that arrived, and the share answered, before, during and after.

use {
    greengagecleat::{
        attempt::{
            self, Budget, Event, Exchange, Id, Plan, TokenBucket, Work,
            budget::{Limit, Shared},
        },
        machine::Machine,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

const UPSTREAMS: usize = 6;
const SLOTS: usize = 16;
/// Mean service time of a request at full speed, in seconds.
const SERVICE_S: f64 = 0.2;
/// Offered load over capacity while the upstreams run at full speed.
const LOAD: f64 = 0.7;
/// Factor on the service time in the brown-out.
const SLOW_FACTOR: f64 = 2.0;
/// Start and end of the brown-out and end of arrivals, in seconds of virtual time.
const SLOW_FROM_S: f64 = 60.0;
const SLOW_UNTIL_S: f64 = 120.0;
const END_S: f64 = 240.0;

/// Whether a failed attempt may be retried.
#[derive(Debug, Clone)]
enum RetryPolicy {
    Never,
    Always,
    Budget(Shared),
}

impl Budget for RetryPolicy {
    fn deposit(&mut self, now: Duration) {
        if let RetryPolicy::Budget(budget) = self {
            budget.deposit(now);
        }
    }

    fn withdraw(&mut self, now: Duration) -> bool {
        match self {
            RetryPolicy::Never => false,
            RetryPolicy::Always => true,
            RetryPolicy::Budget(budget) => budget.withdraw(now),
        }
    }
}

/// An event scheduled in virtual time.
#[derive(Debug, Clone, Copy)]
enum Timer {
    Arrival,
    Tick {
        exchange: u64,
    },
    Served {
        upstream: usize,
        exchange: u64,
        attempt: u32,
    },
}

/// Totals of one phase. Answers count in the phase in which their request arrived.
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    arrived: u64,
    sent: u64,
    answered: u64,
}

/// A simulated upstream: its running requests, and a queue of exchanges and attempts.
#[derive(Debug, Default)]
struct Upstream {
    running: usize,
    queue: VecDeque<(u64, u32)>,
}

struct Simulation {
    policy: RetryPolicy,
    rng: StdRng,
    due: BTreeMap<(Duration, u64), Timer>,
    scheduled: u64,
    exchanges: BTreeMap<u64, (usize, Exchange<RetryPolicy>)>,
    upstreams: Vec<Upstream>,
    counts: [Count; 3],
    next_exchange: u64,
}

/// Index of the phase at `now`: before, during or after the brown-out.
fn phase(now: Duration) -> usize {
    match now.as_secs_f64() {
        at if at < SLOW_FROM_S => 0,
        at if at < SLOW_UNTIL_S => 1,
        _ => 2,
    }
}

impl Simulation {
    fn new(policy: RetryPolicy, seed: u64) -> Self {
        Self {
            policy,
            rng: StdRng::seed_from_u64(seed),
            due: BTreeMap::new(),
            scheduled: 0,
            exchanges: BTreeMap::new(),
            upstreams: (0..UPSTREAMS).map(|_| Upstream::default()).collect(),
            counts: [Count::default(); 3],
            next_exchange: 0,
        }
    }

    fn schedule(&mut self, at: Duration, due: Timer) {
        self.scheduled += 1;
        self.due.insert((at, self.scheduled), due);
    }

    /// Draws an exponentially distributed time with this mean in seconds.
    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    fn run(&mut self) {
        self.schedule(Duration::ZERO, Timer::Arrival);
        while let Some(((now, _), due)) = self.due.pop_first() {
            match due {
                Timer::Arrival => self.arrive(now),
                Timer::Tick { exchange } => self.tick(now, exchange),
                Timer::Served {
                    upstream,
                    exchange,
                    attempt,
                } => self.served(now, upstream, exchange, attempt),
            }
        }
    }

    fn arrive(&mut self, now: Duration) {
        if now.as_secs_f64() > END_S {
            return;
        }
        let rate = LOAD * (UPSTREAMS * SLOTS) as f64 / SERVICE_S;
        let gap = self.exponential(1.0 / rate);
        self.schedule(now + gap, Timer::Arrival);
        let exchange = self.next_exchange;
        self.next_exchange += 1;
        let plan = Plan {
            id: Id::from("id"),
            work: Work::Idempotent,
            deadline: now + Duration::from_secs(5),
            connect_timeout: Duration::from_secs(1),
            first_byte_timeout: Duration::from_millis(1_200),
            idle_timeout: Duration::from_secs(1),
            hedge_after: None,
            max_attempts: 4,
            seed: exchange,
            mutant: attempt::Mutant::None,
        };
        self.counts[phase(now)].arrived += 1;
        let machine = Exchange::new(plan, self.policy.clone());
        self.exchanges.insert(exchange, (phase(now), machine));
        self.step(now, exchange, Event::Started);
    }

    fn tick(&mut self, now: Duration, exchange: u64) {
        let due = |(_, machine): &(usize, Exchange<RetryPolicy>)| machine.wake() <= now;
        if self.exchanges.get(&exchange).is_some_and(due) {
            self.step(now, exchange, Event::Tick);
        }
    }

    /// Advances an exchange by an event and carries out its actions.
    fn step(&mut self, now: Duration, exchange: u64, event: Event) {
        let Some((arrived, machine)) = self.exchanges.get_mut(&exchange) else {
            return;
        };
        let arrived = *arrived;
        let actions = machine.step(now, event);
        let wake = machine.wake();
        if machine.is_over() {
            self.exchanges.remove(&exchange);
        } else {
            self.schedule(wake, Timer::Tick { exchange });
        }
        for action in actions {
            match action {
                attempt::Action::Send { attempt, .. } => {
                    self.counts[phase(now)].sent += 1;
                    self.send(now, exchange, attempt);
                }
                attempt::Action::Finish => self.counts[arrived].answered += 1,
                _ => {}
            }
        }
    }

    fn send(&mut self, now: Duration, exchange: u64, attempt: u32) {
        let upstream = self.rng.random_range(0..UPSTREAMS);
        self.upstreams[upstream]
            .queue
            .push_back((exchange, attempt));
        self.serve(now, upstream);
        self.step(now, exchange, Event::Sending { attempt });
    }

    fn serve(&mut self, now: Duration, upstream: usize) {
        while self.upstreams[upstream].running < SLOTS {
            let Some((exchange, attempt)) = self.upstreams[upstream].queue.pop_front() else {
                return;
            };
            self.upstreams[upstream].running += 1;
            let slower = if phase(now) == 1 { SLOW_FACTOR } else { 1.0 };
            let time = self.exponential(SERVICE_S * slower);
            self.schedule(
                now + time,
                Timer::Served {
                    upstream,
                    exchange,
                    attempt,
                },
            );
        }
    }

    fn served(&mut self, now: Duration, upstream: usize, exchange: u64, attempt: u32) {
        self.upstreams[upstream].running -= 1;
        self.serve(now, upstream);
        let head = Event::Head {
            attempt,
            status: 200,
            id: Some(Id::from("id")),
            ran: None,
            retry_after: None,
        };
        self.step(now, exchange, head);
        self.step(now, exchange, Event::End { attempt });
    }
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(1);
    let budget = TokenBucket::new(Limit::default(), Duration::ZERO);
    let policies = [
        ("none", RetryPolicy::Never),
        ("unbounded", RetryPolicy::Always),
        ("budget", RetryPolicy::Budget(Shared::new(budget))),
    ];
    println!(
        "seed {seed}; offered load {LOAD} of capacity, {SLOW_FACTOR} times slower for a minute"
    );
    println!("| retries | phase | sent / arrived | answered |");
    println!("|---|---|---|---|");
    for (name, policy) in policies {
        let mut simulation = Simulation::new(policy, seed);
        simulation.run();
        for (phase, count) in ["before", "slow", "after"].iter().zip(simulation.counts) {
            let sent = count.sent as f64 / count.arrived as f64;
            let answered = count.answered as f64 / count.arrived as f64;
            println!("| {name} | {phase} | {sent:.3} | {answered:.3} |");
        }
    }
}
