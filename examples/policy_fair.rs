//! Compares fair admission with first come, first served, while one customer sends five times its
//! rate. Runs on a small engine model in virtual time; the same seed gives the same figures.
//!
//! `cargo run --release --example policy_fair -- [first seed] [seeds]`

mod policy;

use {
    greengagecleat::{
        machine::Machine as _,
        name,
        queue::{Action, Arrival, Event, Mutant, Options, Reason, Scheduler, Ticket},
    },
    policy::{
        engine::{Engine, Progress, STEP, Work},
        figure,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

const ENGINES: usize = 4;
/// Requests that the host sends to each engine at once.
const SLOTS_EACH: u32 = 12;
const CUSTOMERS: usize = 5;
/// The customer that sends five times its rate.
const FLOODER: usize = 0;
/// Multiple of its rate that the flooding customer sends.
const FLOOD_FACTOR: f64 = 5.0;
/// Request rate of each customer, in requests a second.
const RATE: f64 = 1.7;
/// Share of digests among the requests of a customer.
const DIGESTS: f64 = 0.2;
const WARM_UP: Duration = Duration::from_secs(30);
const LENGTH: Duration = Duration::from_secs(450);
const BRIEF_DEADLINE: Duration = Duration::from_secs(30);
const DIGEST_DEADLINE: Duration = Duration::from_secs(120);

/// An admission policy: decides which waiting request starts next.
trait Queue {
    fn arrive(&mut self, now: Duration, job: &Job) -> Vec<Action>;
    fn done(&mut self, now: Duration, job: &Job) -> Vec<Action>;
    fn tick(&mut self, now: Duration) -> Vec<Action>;
}

#[derive(Debug, Clone, Copy)]
struct Job {
    id: usize,
    customer: usize,
    digest: bool,
    work: Work,
    arrived: Duration,
    engine: usize,
    first: Option<Duration>,
    last: Option<Duration>,
    shed: bool,
}

impl Job {
    /// Upper bound on the tokens; callers ask for twice the answer that they get.
    fn max_tokens(&self) -> u64 {
        u64::from(self.work.prefix_tokens + self.work.rest_tokens + 2 * self.work.answer_tokens)
    }

    fn deadline(&self) -> Duration {
        let wait = if self.digest {
            DIGEST_DEADLINE
        } else {
            BRIEF_DEADLINE
        };
        self.arrived + wait
    }

    fn tokens(&self) -> u64 {
        u64::from(self.work.prefix_tokens + self.work.rest_tokens + self.work.answer_tokens)
    }
}

/// First come, first served, with the same slots and deadlines as the library's scheduler.
#[derive(Default)]
struct Fifo {
    waiting: Vec<(usize, Duration)>,
    running: usize,
}

impl Fifo {
    fn advance(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for (id, _) in self.waiting.extract_if(.., |(_, until)| *until < now) {
            actions.push(Action::Shed {
                ticket: Ticket(id as u64),
                reason: Reason::Late,
                retry_after: Duration::ZERO,
            });
        }
        while self.running < ENGINES * SLOTS_EACH as usize {
            if self.waiting.is_empty() {
                break;
            }
            let (id, _) = self.waiting.remove(0);
            self.running += 1;
            actions.push(Action::Start {
                ticket: Ticket(id as u64),
            });
        }
        actions
    }
}

impl Queue for Fifo {
    fn arrive(&mut self, now: Duration, job: &Job) -> Vec<Action> {
        self.waiting.push((job.id, job.deadline()));
        self.advance(now)
    }

    fn done(&mut self, now: Duration, _: &Job) -> Vec<Action> {
        self.running -= 1;
        self.advance(now)
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.advance(now)
    }
}

/// The library's scheduler.
struct LibraryQueue(Scheduler);

fn pool() -> name::Pool {
    "pool".into()
}

impl LibraryQueue {
    fn new(options: Options) -> Self {
        let mut scheduler = Scheduler::new(options);
        let slots = ENGINES as u32 * SLOTS_EACH;
        let event = Event::Capacity {
            pool: pool(),
            slots,
        };
        scheduler.step(Duration::ZERO, event);
        Self(scheduler)
    }
}

impl Queue for LibraryQueue {
    fn arrive(&mut self, now: Duration, job: &Job) -> Vec<Action> {
        let arrival = Arrival {
            ticket: Ticket(job.id as u64),
            pool: pool(),
            customer: Some(format!("c{}", job.customer).into()),
            weight: 1,
            priority: 5,
            tokens: job.max_tokens(),
            deadline: job.deadline(),
        };
        self.0.step(now, Event::Arrive(arrival))
    }

    fn done(&mut self, now: Duration, job: &Job) -> Vec<Action> {
        let event = Event::Done {
            ticket: Ticket(job.id as u64),
            tokens: job.tokens(),
        };
        self.0.step(now, event)
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.0.step(now, Event::Tick)
    }
}

struct Run {
    now: Duration,
    rng: StdRng,
    flood: f64,
    queue: Box<dyn Queue>,
    engines: Vec<Engine>,
    jobs: Vec<Job>,
}

impl Run {
    fn arrivals(&mut self) {
        for customer in 0..CUSTOMERS {
            let times = if customer == FLOODER { self.flood } else { 1.0 };
            if self.rng.random_bool(RATE * times * STEP.as_secs_f64()) {
                self.arrive(customer);
            }
        }
    }

    fn arrive(&mut self, customer: usize) {
        let digest = self.rng.random_bool(DIGESTS);
        let id = self.jobs.len();
        let (rest_tokens, mean) = if digest { (7_500, 300.0) } else { (360, 80.0) };
        let drawn = -mean * (1.0 - self.rng.random::<f64>()).ln();
        let work = Work {
            id,
            prefix: id as u64,
            prefix_tokens: 0,
            rest_tokens,
            answer_tokens: drawn.clamp(1.0, mean * 5.0) as u32,
        };
        let job = Job {
            id,
            customer,
            digest,
            work,
            arrived: self.now,
            engine: 0,
            first: None,
            last: None,
            shed: false,
        };
        self.jobs.push(job);
        let actions = self.queue.arrive(self.now, &job);
        self.apply_actions(actions);
    }

    /// Carries out the queue's actions: starts requests on the least loaded engine, or sheds them.
    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { ticket } => {
                    let load =
                        |at: &usize| self.engines[*at].running() + self.engines[*at].waiting();
                    let at = (0..ENGINES).min_by_key(load).unwrap();
                    let job = &mut self.jobs[ticket.0 as usize];
                    job.engine = at;
                    self.engines[at].push(job.work);
                }
                Action::Shed { ticket, .. } => self.jobs[ticket.0 as usize].shed = true,
            }
        }
    }

    fn advance(&mut self) {
        let mut progress = Vec::new();
        for engine in &mut self.engines {
            engine.step(&mut progress);
        }
        for one in progress {
            match one {
                Progress::FirstToken { id } => self.jobs[id].first = Some(self.now),
                Progress::LastToken { id } => {
                    self.jobs[id].last = Some(self.now);
                    let job = self.jobs[id];
                    let actions = self.queue.done(self.now, &job);
                    self.apply_actions(actions);
                }
                Progress::Admitted { .. } | Progress::Cache { .. } => {}
            }
        }
        let actions = self.queue.tick(self.now);
        self.apply_actions(actions);
    }

    /// The 95th percentile of the time to the end of the answer, among answered requests.
    fn answer_p95(&self, keep: impl Fn(&Job) -> bool) -> f64 {
        let counted = self.counted().filter(|job| keep(job) && !job.shed);
        let took = counted.map(|job| (job.last.unwrap_or(LENGTH) - job.arrived).as_secs_f64());
        figure::quantile(&mut took.collect::<Vec<_>>(), 0.95)
    }

    /// Requests that arrived after the warm-up and at least one digest deadline before the end.
    fn counted(&self) -> impl Iterator<Item = &Job> {
        self.jobs
            .iter()
            .filter(|job| job.arrived > WARM_UP && job.arrived < LENGTH - DIGEST_DEADLINE)
    }

    /// Share of the counted requests that were not shed.
    fn answered(&self, keep: impl Fn(&Job) -> bool) -> f64 {
        let counted: Vec<_> = self.counted().filter(|job| keep(job)).collect();
        let answered = counted.iter().filter(|job| !job.shed).count();
        answered as f64 / counted.len() as f64
    }

    fn figures(&self) -> Vec<f64> {
        let others = 1..CUSTOMERS;
        let worst = others
            .clone()
            .map(|customer| self.answer_p95(|job| job.customer == customer))
            .fold(0.0, f64::max);
        let least = others
            .map(|customer| self.answered(|job| job.customer == customer))
            .fold(1.0, f64::min);
        vec![
            worst,
            self.answer_p95(|job| job.customer != FLOODER && !job.digest),
            self.answer_p95(|job| job.customer != FLOODER && job.digest),
            least,
            self.answer_p95(|job| job.customer == FLOODER && !job.digest),
            self.answer_p95(|job| job.customer == FLOODER && job.digest),
            self.answered(|job| job.customer == FLOODER && !job.digest),
            self.answered(|job| job.customer == FLOODER && job.digest),
            self.tokens(),
        ]
    }

    /// Tokens of complete answers in a second.
    fn tokens(&self) -> f64 {
        let window = WARM_UP..LENGTH - DIGEST_DEADLINE;
        let ended = |job: &&Job| job.last.is_some_and(|last| window.contains(&last));
        let tokens: u64 = self.jobs.iter().filter(ended).map(Job::tokens).sum();
        tokens as f64 / (window.end - window.start).as_secs_f64()
    }
}

fn queue(name: &str) -> Box<dyn Queue> {
    let with = |long_behind, fault| {
        Box::new(LibraryQueue::new(Options {
            long_request_delay: long_behind,
            mutant: fault,
            ..Options::default()
        }))
    };
    let usual = Options::default().long_request_delay;
    match name {
        "first come, first served" => Box::new(Fifo::default()),
        "ours, no order of size" => with(Duration::ZERO, Mutant::None),
        "ours, brief ones always first" => with(usual, Mutant::Starve),
        _ => with(usual, Mutant::None),
    }
}

fn run(name: &str, seed: u64, flood: f64) -> Vec<f64> {
    let mut run = Run {
        now: Duration::ZERO,
        rng: StdRng::seed_from_u64(seed),
        flood,
        queue: queue(name),
        engines: (0..ENGINES).map(|_| Engine::new(1.0)).collect(),
        jobs: Vec::new(),
    };
    while run.now < LENGTH {
        run.arrivals();
        run.advance();
        run.now += STEP;
    }
    run.figures()
}

fn main() {
    let argument = |at: usize| std::env::args().nth(at);
    let number = |at, or| {
        argument(at)
            .and_then(|text| text.parse().ok())
            .unwrap_or(or)
    };
    let (first, count) = (number(1, 1_u64), number(2, 5_u64));
    let head = [
        "queue",
        "worst other's answer 95",
        "others' brief 95",
        "others' digest 95",
        "worst other's share answered",
        "flooder's brief 95",
        "flooder's digest 95",
        "flooder's brief answered",
        "flooder's digests answered",
        "tokens a second",
    ];
    for flood in [1.0, FLOOD_FACTOR] {
        let last = first + count - 1;
        println!(
            "\none customer at {flood} times its rate, mean of seeds {first} to {last}, seconds\n"
        );
        let rows = [
            "first come, first served",
            "ours, no order of size",
            "ours, brief ones always first",
            "ours",
        ]
        .map(|name| {
            let runs: Vec<_> = (first..first + count)
                .map(|seed| run(name, seed, flood))
                .collect();
            (name.to_owned(), figure::average(&runs))
        });
        figure::print(&head, &rows);
    }
}
