//! Compares the library's choice of a replica with simple policies, on a small engine model in
//! virtual time. The same seed gives the same figures.
//!
//! `cargo run --release --example policy_route -- [first seed] [seeds]`

mod policy;

use {
    greengagecleat::{
        config::{
            Snapshot,
            table::{Customers, Pools, Route, Routes},
        },
        name,
        route::{Home, Options, Prefix, Report, Request, Router, State, Upstream},
    },
    policy::{
        engine::{Engine, Progress, SLOTS, STEP, Work},
        figure,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

const HOSTS: usize = 3;
const REPLICAS: usize = 12;
const LENGTH: Duration = Duration::from_secs(240);
const WARM_UP: Duration = Duration::from_secs(40);
const REPORT_EVERY: Duration = Duration::from_secs(1);
const REPORT_LAG: Duration = Duration::from_millis(400);
const EVENT_LAG: Duration = Duration::from_secs(2);
const EVENT_LOSS: f64 = 0.3;

/// A policy by which a host chooses a replica.
trait Policy {
    fn choose(&mut self, now: Duration, work: &Work) -> usize;
    fn record_sent(&mut self, _now: Duration, _replica: usize, _work: &Work) {}
    fn record_finished(&mut self, _now: Duration, _replica: usize, _took: Duration) {}
    fn apply_report(&mut self, _now: Duration, _replica: usize, _report: &Report) {}
    fn apply_cache_event(&mut self, _now: Duration, _replica: usize, _prefix: u64, _held: bool) {}
}

struct Random(StdRng);

impl Policy for Random {
    fn choose(&mut self, _: Duration, _: &Work) -> usize {
        self.0.random_range(0..REPLICAS)
    }
}

struct RoundRobin(usize);

impl Policy for RoundRobin {
    fn choose(&mut self, _: Duration, _: &Work) -> usize {
        self.0 += 1;
        self.0 % REPLICAS
    }
}

/// Number of the host's own requests at each replica, its simplest view of the load.
#[derive(Default)]
struct Outstanding([u32; REPLICAS]);

struct LeastOutstanding(Outstanding, StdRng);

impl Policy for LeastOutstanding {
    fn choose(&mut self, _: Duration, _: &Work) -> usize {
        let from = self.1.random_range(0..REPLICAS);
        let places = (0..REPLICAS).map(|at| (at + from) % REPLICAS);
        places.min_by_key(|at| self.0.0[*at]).unwrap()
    }

    fn record_sent(&mut self, _: Duration, replica: usize, _: &Work) {
        self.0.0[replica] += 1;
    }

    fn record_finished(&mut self, _: Duration, replica: usize, _: Duration) {
        self.0.0[replica] -= 1;
    }
}

struct TwoChoices(Outstanding, StdRng);

impl Policy for TwoChoices {
    fn choose(&mut self, _: Duration, _: &Work) -> usize {
        let one = self.1.random_range(0..REPLICAS);
        let other = self.1.random_range(0..REPLICAS);
        if self.0.0[one] <= self.0.0[other] {
            one
        } else {
            other
        }
    }

    fn record_sent(&mut self, _: Duration, replica: usize, _: &Work) {
        self.0.0[replica] += 1;
    }

    fn record_finished(&mut self, _: Duration, replica: usize, _: Duration) {
        self.0.0[replica] -= 1;
    }
}

struct PrefixHash;

impl Policy for PrefixHash {
    fn choose(&mut self, _: Duration, work: &Work) -> usize {
        (work.prefix % REPLICAS as u64) as usize
    }
}

/// The policy of the library.
struct LibraryPolicy {
    router: Router,
    snapshot: Arc<Snapshot>,
}

impl LibraryPolicy {
    fn new(rank: usize, seed: u64) -> Self {
        let routes: Routes = toml::from_str(
            "[[route]]\nname = \"r\"\nkind = \"model\"\nmodel = \"m\"\npools = [\"p\"]\nopen = true",
        )
        .unwrap();
        let pools: Pools =
            toml::from_str("[[pool]]\nname = \"p\"\nregion = \"here\"\nslots = 16").unwrap();
        let snapshot = Arc::new(Snapshot::new(routes, pools, Customers::default()));
        let home = Home {
            host: format!("h{rank}").into(),
            region: "here".into(),
        };
        let mut router = Router::new(home, Options::default(), seed);
        router.set_config(snapshot.clone());
        router.set_hosts(rank as u32, HOSTS as u32);
        let list: Vec<_> = (0..REPLICAS).map(listed).collect();
        router.set_upstreams(Duration::ZERO, &list);
        Self { router, snapshot }
    }
}

fn upstream(at: usize) -> name::Upstream {
    format!("u{at:02}").into()
}

fn listed(at: usize) -> Upstream {
    Upstream {
        name: upstream(at),
        pool: "p".into(),
        state: State::Live,
    }
}

fn ask<'a>(route: &'a Route, work: &Work) -> Request<'a> {
    Request {
        route,
        customer: None,
        prefix: Some(Prefix {
            hash: work.prefix,
            tokens: work.prefix_tokens,
        }),
        prompt_tokens: work.prefix_tokens + work.rest_tokens,
        bytes: 0,
        deadline: Duration::MAX,
        visited: &[],
        hosts: &[],
        hops_left: 0,
        on_demand: false,
        tried: &[],
    }
}

impl Policy for LibraryPolicy {
    fn choose(&mut self, now: Duration, work: &Work) -> usize {
        let request = ask(&self.snapshot.routes["r"], work);
        let choice = self.router.choose(now, &request).expect("all are live");
        choice.upstream.unwrap().as_str()[1..].parse().unwrap()
    }

    fn record_sent(&mut self, now: Duration, replica: usize, work: &Work) {
        let request = ask(&self.snapshot.routes["r"], work);
        self.router.record_sent(now, &upstream(replica), &request);
    }

    fn record_finished(&mut self, now: Duration, replica: usize, took: Duration) {
        self.router.record_finished(now, &upstream(replica), took);
    }

    fn apply_report(&mut self, now: Duration, replica: usize, report: &Report) {
        self.router.apply_report(now, &upstream(replica), report);
    }

    fn apply_cache_event(&mut self, now: Duration, replica: usize, prefix: u64, held: bool) {
        self.router
            .apply_cache_event(now, &upstream(replica), prefix, held);
    }
}

/// Load and faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scenario {
    /// A busy pool whose shared prefixes all fit into the caches.
    Busy,
    /// Half the load of a busy pool.
    Quiet,
    /// A busy pool with more shared prefixes than the caches hold.
    Wide,
    /// A busy pool in which one engine runs at half speed, and a third of the engines lose their
    /// caches at half time.
    Uneven,
}

impl Scenario {
    /// Requests a second.
    fn rate(self) -> f64 {
        match self {
            Self::Quiet => 24.0,
            _ => 48.0,
        }
    }

    /// Number of prefixes that brief questions share.
    fn prefixes(self) -> f64 {
        match self {
            Self::Wide => 300.0,
            _ => 60.0,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Job {
    arrived: Duration,
    host: usize,
    replica: usize,
    shared: bool,
    cached: bool,
    first: Option<Duration>,
    last: Option<Duration>,
}

struct Run {
    scenario: Scenario,
    now: Duration,
    rng: StdRng,
    engines: Vec<Engine>,
    jobs: Vec<Job>,
    reports: VecDeque<(Duration, usize, Report)>,
    events: VecDeque<(Duration, usize, u64, bool)>,
    spread: Vec<f64>,
}

impl Run {
    fn new(seed: u64, scenario: Scenario) -> Self {
        let speed = |at| match scenario {
            Scenario::Uneven if at == 0 => 0.5,
            _ => 1.0,
        };
        Self {
            scenario,
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            engines: (0..REPLICAS).map(|at| Engine::new(speed(at))).collect(),
            jobs: Vec::new(),
            reports: VecDeque::new(),
            events: VecDeque::new(),
            spread: Vec::new(),
        }
    }

    /// Draws a request: a brief question with a shared prefix, of which a few are popular, a long
    /// digest, or another request.
    fn work(&mut self) -> (Work, bool) {
        let id = self.jobs.len();
        let own = self.rng.random::<u64>();
        let length = |rng: &mut StdRng, mean: f64| {
            let drawn = -mean * (1.0 - rng.random::<f64>()).ln();
            drawn.clamp(1.0, mean * 5.0) as u32
        };
        let (prefix, prefix_tokens, rest_tokens, answer) = match self.rng.random::<f64>() {
            kind if kind < 0.65 => {
                let skewed = self.rng.random::<f64>().powi(2) * self.scenario.prefixes();
                let hash = greengagecleat::route::affinity::mix(skewed as u64);
                (hash, 2_000, 60, 80.0)
            }
            kind if kind < 0.75 => (own, 512, 7_500, 300.0),
            _ => (own, 300, 0, 100.0),
        };
        let work = Work {
            id,
            prefix,
            prefix_tokens,
            rest_tokens,
            answer_tokens: length(&mut self.rng, answer),
        };
        (work, prefix_tokens == 2_000)
    }

    fn arrivals(&mut self, policies: &mut [Box<dyn Policy>]) {
        if self
            .rng
            .random_bool(self.scenario.rate() * STEP.as_secs_f64())
        {
            self.arrive(policies);
        }
    }

    fn arrive(&mut self, policies: &mut [Box<dyn Policy>]) {
        let (work, shared) = self.work();
        let host = self.rng.random_range(0..HOSTS);
        let replica = policies[host].choose(self.now, &work);
        policies[host].record_sent(self.now, replica, &work);
        self.engines[replica].push(work);
        self.jobs.push(Job {
            arrived: self.now,
            host,
            replica,
            shared,
            cached: false,
            first: None,
            last: None,
        });
    }

    fn advance(&mut self, policies: &mut [Box<dyn Policy>]) {
        let mut progress = Vec::new();
        for at in 0..REPLICAS {
            self.engines[at].step(&mut progress);
            for one in progress.drain(..) {
                self.record_progress(at, one, policies);
            }
        }
    }

    fn record_progress(&mut self, at: usize, progress: Progress, policies: &mut [Box<dyn Policy>]) {
        match progress {
            Progress::Admitted { id, cached } => self.jobs[id].cached = cached,
            Progress::FirstToken { id } => self.jobs[id].first = Some(self.now),
            Progress::LastToken { id } => {
                let job = &mut self.jobs[id];
                job.last = Some(self.now);
                let took = self.now - job.arrived;
                policies[job.host].record_finished(self.now, job.replica, took);
            }
            Progress::Cache { prefix, held } => {
                if !self.rng.random_bool(EVENT_LOSS) {
                    self.events
                        .push_back((self.now + EVENT_LAG, at, prefix, held));
                }
            }
        }
    }

    /// Makes load reports at each interval, and delivers those and cache events after their lag.
    fn deliver_reports(&mut self, policies: &mut [Box<dyn Policy>]) {
        let since = self.now.as_millis() % REPORT_EVERY.as_millis();
        if since < STEP.as_millis() {
            let loads: Vec<_> = self.engines.iter().map(report(self.now)).collect();
            let totals: Vec<_> = loads
                .iter()
                .map(|load| f64::from(load.running + load.waiting))
                .collect();
            if self.now > WARM_UP {
                let hottest = totals.iter().copied().fold(0.0, f64::max);
                self.spread.push(hottest / figure::mean(&totals).max(0.1));
            }
            for (at, load) in loads.into_iter().enumerate() {
                self.reports.push_back((self.now + REPORT_LAG, at, load));
            }
        }
        while let Some((_, at, load)) = pop_due(&mut self.reports, self.now, |one| one.0) {
            for policy in policies.iter_mut() {
                policy.apply_report(self.now, at, &load);
            }
        }
        while let Some((_, at, prefix, held)) = pop_due(&mut self.events, self.now, |one| one.0) {
            for policy in policies.iter_mut() {
                policy.apply_cache_event(self.now, at, prefix, held);
            }
        }
    }

    /// Empties the caches of a third of the engines at half time, in [`Scenario::Uneven`].
    fn inject_faults(&mut self) {
        if self.scenario == Scenario::Uneven && self.now == LENGTH / 2 {
            self.engines
                .iter_mut()
                .step_by(3)
                .for_each(Engine::clear_cache);
        }
    }

    fn figures(&self) -> Vec<f64> {
        let counted: Vec<_> = self
            .jobs
            .iter()
            .filter(|job| job.arrived > WARM_UP && job.arrived < LENGTH - WARM_UP)
            .collect();
        // A first token or an end that is missing counts with the time until the end of the run.
        let took =
            |job: &Job, end: Option<Duration>| (end.unwrap_or(LENGTH) - job.arrived).as_secs_f64();
        let mut first: Vec<_> = counted.iter().map(|job| took(job, job.first)).collect();
        let mut whole: Vec<_> = counted.iter().map(|job| took(job, job.last)).collect();
        let shared: Vec<_> = counted.iter().filter(|job| job.shared).collect();
        let hits = shared.iter().filter(|job| job.cached).count();
        vec![
            figure::quantile(&mut first, 0.95),
            figure::quantile(&mut first, 0.99),
            figure::quantile(&mut whole, 0.95),
            figure::quantile(&mut whole, 0.99),
            hits as f64 / shared.len() as f64,
            figure::mean(&self.spread),
        ]
    }
}

fn report(now: Duration) -> impl Fn(&Engine) -> Report {
    move |engine| Report {
        at_ms: now.as_millis() as u64,
        running: engine.running(),
        waiting: engine.waiting(),
        slots: SLOTS,
        ..Report::default()
    }
}

/// Removes the first item of the queue if it is due.
fn pop_due<T>(queue: &mut VecDeque<T>, now: Duration, due: impl Fn(&T) -> Duration) -> Option<T> {
    queue.front().filter(|one| due(one) <= now)?;
    queue.pop_front()
}

fn policies(name: &str, seed: u64) -> Vec<Box<dyn Policy>> {
    let each = |rank: usize| -> Box<dyn Policy> {
        let seed = seed * 1_000 + rank as u64;
        let rng = StdRng::seed_from_u64(seed);
        match name {
            "random" => Box::new(Random(rng)),
            "round robin" => Box::new(RoundRobin(rank * REPLICAS / HOSTS)),
            "least outstanding" => Box::new(LeastOutstanding(Outstanding::default(), rng)),
            "two random choices" => Box::new(TwoChoices(Outstanding::default(), rng)),
            "prefix hash" => Box::new(PrefixHash),
            _ => Box::new(LibraryPolicy::new(rank, seed)),
        }
    };
    (0..HOSTS).map(each).collect()
}

fn run(name: &str, seed: u64, scenario: Scenario) -> Vec<f64> {
    let mut policies = policies(name, seed);
    let mut run = Run::new(seed, scenario);
    while run.now < LENGTH {
        run.inject_faults();
        run.deliver_reports(&mut policies);
        run.arrivals(&mut policies);
        run.advance(&mut policies);
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
        "policy",
        "first token 95",
        "first token 99",
        "answer 95",
        "answer 99",
        "cache hits",
        "hottest over mean",
    ];
    for scenario in [
        Scenario::Busy,
        Scenario::Quiet,
        Scenario::Wide,
        Scenario::Uneven,
    ] {
        println!(
            "\n{scenario:?}, mean of seeds {first} to {}, seconds\n",
            first + count - 1
        );
        let rows = [
            "random",
            "round robin",
            "least outstanding",
            "two random choices",
            "prefix hash",
            "ours",
        ]
        .map(|name| {
            let runs: Vec<_> = (first..first + count)
                .map(|seed| run(name, seed, scenario))
                .collect();
            (name.to_owned(), figure::average(&runs))
        });
        figure::print(&head, &rows);
    }
}
