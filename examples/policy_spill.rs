//! Compares the library's spill between regions with simple rules, on a small engine model in
//! virtual time. The same seed gives the same figures.
//!
//! `cargo run --release --example policy_spill -- [first seed] [seeds]`

mod policy;

use {
    greengagecleat::{
        config::{
            Snapshot,
            table::{Customers, Pools, Route, Routes},
        },
        name,
        route::{
            Digest, Home, MAX_HOPS, Options, Prefix, Report, Request, Router, State, Upstream,
            affinity,
        },
    },
    policy::{
        engine::{Engine, Progress, SLOTS, STEP, Work},
        figure,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const REGIONS: usize = 3;
const HOSTS: usize = 2;
const ENGINES: usize = 4;
const PREFIXES: f64 = 30.0;
const LENGTH: Duration = Duration::from_secs(300);
const WARM_UP: Duration = Duration::from_secs(40);
/// Time during which the first region lacks engines in [`Scenario::Loss`].
const LOSS_PERIOD: std::ops::Range<Duration> = Duration::from_secs(90)..Duration::from_secs(170);
/// Number of engines that the first region loses.
const LOST_ENGINES: usize = 3;
const ONE_WAY: Duration = Duration::from_millis(50);
const REPORT_EVERY: Duration = Duration::from_secs(1);
const REPORT_LAG: Duration = Duration::from_millis(400);
/// Weight of the newest second in the moving average of the arrival rate, for the staffing rule.
const RATE_EWMA_WEIGHT: f64 = 0.2;
/// The quality-of-service parameter of the staffing rule.
const BETA: f64 = 1.0;

/// Rule by which a request is sent to another region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rule {
    /// Never.
    Never,
    /// As soon as the home region has no free slot, to the region with the lowest load.
    FirstQueue,
    /// By as much as the home region lacks capacity under the square-root staffing rule, to the
    /// region with the lowest load.
    Staffing,
    /// The rule of the library.
    Ours,
}

/// Load and faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scenario {
    /// All regions are below their capacity.
    Calm,
    /// The first region's load is above its capacity.
    Peak,
    /// The first region loses three of four engines, which return with empty caches.
    Loss,
}

impl Scenario {
    /// Request rate of a region, in requests a second.
    fn rate(self, region: usize) -> f64 {
        match (self, region) {
            (Self::Calm, _) | (Self::Loss, _) => 10.0,
            (Self::Peak, 0) => 24.0,
            (Self::Peak, _) => 8.0,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Job {
    arrived: Duration,
    home: usize,
    at: usize,
    host: usize,
    engine: usize,
    work: Work,
    sent: Duration,
    first: Option<Duration>,
    last: Option<Duration>,
}

struct Region {
    hosts: Vec<Router>,
    engines: Vec<Engine>,
    rate: f64,
    arrivals: f64,
}

struct Run {
    now: Duration,
    rng: StdRng,
    rule: Rule,
    scenario: Scenario,
    snapshot: Arc<Snapshot>,
    regions: Vec<Region>,
    digests: BTreeMap<usize, Digest>,
    jobs: Vec<Job>,
    crossing: Vec<(Duration, usize)>,
    reports: Vec<(Duration, usize, usize, Report)>,
}

fn region_name(at: usize) -> String {
    format!("r{at}")
}

fn pool(at: usize) -> name::Pool {
    region_name(at).into()
}

fn upstream(region: usize, at: usize) -> name::Upstream {
    format!("r{region}-{at}").into()
}

fn snapshot() -> Arc<Snapshot> {
    let routes: Routes = toml::from_str(
        "[[route]]\nname = \"r\"\nkind = \"model\"\nmodel = \"m\"\nopen = true\n\
         pools = [\"r0\", \"r1\", \"r2\"]",
    )
    .unwrap();
    let rows = (0..REGIONS).map(|at| {
        let name = region_name(at);
        format!("[[pool]]\nname = \"{name}\"\nregion = \"{name}\"\nslots = {SLOTS}\n")
    });
    let pools: Pools = toml::from_str(&rows.collect::<String>()).unwrap();
    Arc::new(Snapshot::new(routes, pools, Customers::default()))
}

fn ask<'a>(route: &'a Route, job: &Job, visited: &'a [name::Region], hops: u8) -> Request<'a> {
    let work = job.work;
    Request {
        route,
        customer: None,
        prefix: Some(Prefix {
            hash: work.prefix,
            tokens: work.prefix_tokens,
        }),
        prompt_tokens: work.prefix_tokens + work.rest_tokens,
        bytes: 4_000,
        deadline: Duration::MAX,
        visited,
        hosts: &[],
        hops_left: hops,
        on_demand: false,
        tried: &[],
    }
}

impl Run {
    fn new(rule: Rule, scenario: Scenario, seed: u64) -> Self {
        let snapshot = snapshot();
        let host = |region: usize, rank: usize| {
            let home = Home {
                host: format!("r{region}-h{rank}").into(),
                region: region_name(region).into(),
            };
            let seed = seed * 100 + (region * HOSTS + rank) as u64;
            let mut router = Router::new(home, Options::default(), seed);
            router.set_config(snapshot.clone());
            router.set_hosts(rank as u32, HOSTS as u32);
            router.set_upstreams(Duration::ZERO, &listed(region, false));
            router
        };
        let region = |at: usize| Region {
            hosts: (0..HOSTS).map(|rank| host(at, rank)).collect(),
            engines: (0..ENGINES).map(|_| Engine::new(1.0)).collect(),
            rate: 0.0,
            arrivals: 0.0,
        };
        Self {
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            rule,
            scenario,
            regions: (0..REGIONS).map(region).collect(),
            digests: BTreeMap::new(),
            jobs: Vec::new(),
            crossing: Vec::new(),
            reports: Vec::new(),
            snapshot,
        }
    }

    /// Draws a request: a brief question with a prefix that callers of the region share, a long
    /// digest, or another request.
    fn work(&mut self, region: usize) -> Work {
        let own = self.rng.random::<u64>();
        let (prefix, prefix_tokens, rest_tokens, mean) = match self.rng.random::<f64>() {
            kind if kind < 0.65 => {
                let start = (self.rng.random::<f64>().powi(2) * PREFIXES) as u64;
                let hash = affinity::mix(region as u64 * 1_000 + start);
                (hash, 2_000, 60, 80.0)
            }
            kind if kind < 0.75 => (own, 512, 7_500, 300.0),
            _ => (own, 300, 0, 100.0),
        };
        let drawn: f64 = -mean * (1.0 - self.rng.random::<f64>()).ln();
        Work {
            id: self.jobs.len(),
            prefix,
            prefix_tokens,
            rest_tokens,
            answer_tokens: drawn.clamp(1.0, mean * 5.0) as u32,
        }
    }

    fn arrivals(&mut self) {
        for region in 0..REGIONS {
            let rate = self.scenario.rate(region);
            if !self.rng.random_bool(rate * STEP.as_secs_f64()) {
                continue;
            }
            self.regions[region].arrivals += 1.0;
            let work = self.work(region);
            let host = self.rng.random_range(0..HOSTS);
            self.jobs.push(Job {
                arrived: self.now,
                home: region,
                at: region,
                host,
                engine: 0,
                work,
                sent: self.now,
                first: None,
                last: None,
            });
            self.place(work.id);
        }
    }

    /// Sends a request to an engine of its home region or to another region.
    fn place(&mut self, id: usize) {
        let job = self.jobs[id];
        let to = match self.rule {
            Rule::Ours => self.choose_by_library(&job),
            _ => self.choose_by_rule(&job),
        };
        if to == job.home {
            return self.send(id);
        }
        self.jobs[id].at = to;
        self.crossing.push((self.now + ONE_WAY, id));
    }

    /// Region for a request as the library's router chooses it.
    fn choose_by_library(&mut self, job: &Job) -> usize {
        let router = &mut self.regions[job.home].hosts[job.host];
        let request = ask(&self.snapshot.routes["r"], job, &[], MAX_HOPS);
        let choice = router.choose(self.now, &request).expect("all are live");
        choice.region.as_str()[1..].parse().unwrap()
    }

    /// Region for a request under one of the simple rules.
    fn choose_by_rule(&mut self, job: &Job) -> usize {
        let region = &self.regions[job.home];
        let engines = region.hosts[job.host].engines(self.now, &pool(job.home));
        let spills = match self.rule {
            Rule::FirstQueue => engines.outstanding >= engines.slots,
            Rule::Staffing => {
                let service = region.hosts[job.host].own_digest(self.now).pools[&pool(job.home)];
                let offered = region.rate * f64::from(service.service_ms) / 1_000.0;
                let servable_load = servable_load(engines.slots);
                let share = 1.0 - servable_load / offered.max(servable_load);
                self.rng.random_bool(share)
            }
            Rule::Never | Rule::Ours => false,
        };
        if !spills {
            return job.home;
        }
        let load = |at: &usize| {
            let summary = self.digests[at].pools[&pool(*at)];
            f64::from(summary.outstanding) / f64::from(summary.capacity)
        };
        let others = (0..REGIONS).filter(|at| *at != job.home && self.digests.contains_key(at));
        let best = others.min_by(|one, other| load(one).total_cmp(&load(other)));
        best.unwrap_or(job.home)
    }

    /// Sends requests that have reached another region to one of its hosts.
    fn deliver_crossing(&mut self) {
        let due: Vec<_> = self
            .crossing
            .extract_if(.., |(at, _)| *at <= self.now)
            .collect();
        for (_, id) in due {
            self.jobs[id].host = self.rng.random_range(0..HOSTS);
            self.send(id);
        }
    }

    fn send(&mut self, id: usize) {
        let job = &mut self.jobs[id];
        let router = &mut self.regions[job.at].hosts[job.host];
        let request = ask(&self.snapshot.routes["r"], job, &[], 0);
        let choice = router.choose_replica(self.now, &request, &pool(job.at));
        let chosen = choice.and_then(|choice| choice.upstream).expect("live");
        router.record_sent(self.now, &chosen, &request);
        job.engine = chosen.as_str()[3..].parse().unwrap();
        job.sent = self.now;
        self.regions[job.at].engines[job.engine].push(job.work);
    }

    fn advance(&mut self) {
        let mut progress = Vec::new();
        for region in &mut self.regions {
            for engine in &mut region.engines {
                engine.step(&mut progress);
            }
        }
        for one in progress {
            match one {
                Progress::FirstToken { id } => {
                    self.jobs[id].first = Some(self.now + self.return_delay(id))
                }
                Progress::LastToken { id } => {
                    self.jobs[id].last = Some(self.now + self.return_delay(id));
                    let job = self.jobs[id];
                    let router = &mut self.regions[job.at].hosts[job.host];
                    let upstream = upstream(job.at, job.engine);
                    router.record_finished(self.now, &upstream, self.now - job.sent);
                }
                Progress::Admitted { .. } | Progress::Cache { .. } => {}
            }
        }
    }

    /// Network delay of an answer on its way back to the caller's region.
    fn return_delay(&self, id: usize) -> Duration {
        let job = &self.jobs[id];
        if job.at == job.home {
            Duration::ZERO
        } else {
            ONE_WAY
        }
    }

    /// Delivers load reports to hosts, and makes new ones and region digests at each interval.
    fn exchange_reports(&mut self) {
        let due = self.reports.extract_if(.., |(at, ..)| *at <= self.now);
        for (_, region, engine, report) in due {
            for host in &mut self.regions[region].hosts {
                host.apply_report(self.now, &upstream(region, engine), &report);
            }
        }
        if self.now.as_millis() % REPORT_EVERY.as_millis() >= STEP.as_millis() {
            return;
        }
        for (at, region) in self.regions.iter_mut().enumerate() {
            region.rate += (region.arrivals - region.rate) * RATE_EWMA_WEIGHT;
            region.arrivals = 0.0;
            for (place, engine) in region.engines.iter().enumerate() {
                let report = Report {
                    at_ms: self.now.as_millis() as u64,
                    running: engine.running(),
                    waiting: engine.waiting(),
                    slots: SLOTS,
                    ..Report::default()
                };
                self.reports
                    .push((self.now + REPORT_LAG, at, place, report));
            }
            let reporter = self.rng.random_range(0..HOSTS);
            self.digests
                .insert(at, region.hosts[reporter].own_digest(self.now));
        }
        for (at, region) in self.regions.iter_mut().enumerate() {
            for host in &mut region.hosts {
                for (from, digest) in &self.digests {
                    if *from != at {
                        host.apply_digest(self.now, digest.clone());
                    }
                }
            }
        }
    }

    /// Removes engines of the first region and restores them, in [`Scenario::Loss`].
    fn inject_faults(&mut self) {
        if self.scenario != Scenario::Loss
            || (self.now != LOSS_PERIOD.start && self.now != LOSS_PERIOD.end)
        {
            return;
        }
        let lost = self.now == LOSS_PERIOD.start;
        let first = &mut self.regions[0];
        first.engines[..LOST_ENGINES]
            .iter_mut()
            .for_each(Engine::clear_cache);
        for host in &mut first.hosts {
            host.set_upstreams(self.now, &listed(0, lost));
        }
    }

    fn figures(&self) -> Vec<f64> {
        let counted: Vec<_> = self
            .jobs
            .iter()
            .filter(|job| job.arrived > WARM_UP && job.arrived < LENGTH - WARM_UP)
            .collect();
        let took =
            |job: &Job, end: Option<Duration>| (end.unwrap_or(LENGTH) - job.arrived).as_secs_f64();
        let firsts = |region: Option<usize>| {
            let own_jobs = counted
                .iter()
                .filter(|job| region.is_none_or(|at| at == job.home));
            own_jobs.map(|job| took(job, job.first)).collect::<Vec<_>>()
        };
        let worst = (0..REGIONS)
            .map(|at| figure::quantile(&mut firsts(Some(at)), 0.95))
            .fold(0.0, f64::max);
        let mut answers: Vec<_> = counted.iter().map(|job| took(job, job.last)).collect();
        let away = counted.iter().filter(|job| job.at != job.home).count();
        vec![
            figure::quantile(&mut firsts(None), 0.95),
            figure::quantile(&mut firsts(None), 0.99),
            worst,
            figure::quantile(&mut answers, 0.95),
            figure::quantile(&mut answers, 0.99),
            away as f64 / counted.len() as f64,
        ]
    }
}

/// The load R that `slots` can serve under the square-root staffing rule, slots = R + beta *
/// sqrt(R).
fn servable_load(slots: f64) -> f64 {
    let root = ((BETA * BETA + 4.0 * slots).sqrt() - BETA) / 2.0;
    root * root
}

fn listed(region: usize, lost: bool) -> Vec<Upstream> {
    let each = |at: usize| Upstream {
        name: upstream(region, at),
        pool: pool(region),
        state: if lost && at < LOST_ENGINES {
            State::Leaving
        } else {
            State::Live
        },
    };
    (0..ENGINES).map(each).collect()
}

fn run(rule: Rule, scenario: Scenario, seed: u64) -> Vec<f64> {
    let mut run = Run::new(rule, scenario, seed);
    while run.now < LENGTH {
        run.inject_faults();
        run.exchange_reports();
        run.arrivals();
        run.deliver_crossing();
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
        "rule",
        "first token 95",
        "99",
        "worst region's 95",
        "answer 95",
        "99",
        "share away",
    ];
    for scenario in [Scenario::Calm, Scenario::Peak, Scenario::Loss] {
        println!(
            "\n{scenario:?}, mean of seeds {first} to {}, seconds\n",
            first + count - 1
        );
        let rows = [Rule::Never, Rule::FirstQueue, Rule::Staffing, Rule::Ours].map(|rule| {
            let seeds = first..first + count;
            let runs: Vec<_> = seeds.map(|seed| run(rule, scenario, seed)).collect();
            (format!("{rule:?}"), figure::average(&runs))
        });
        figure::print(&head, &rows);
    }
}
