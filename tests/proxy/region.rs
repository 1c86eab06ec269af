//! Regions of a few and of many hosts at their peak, simulated in virtual time.
//!
//! All hosts place requests at the same engines and know of each other's only by reports. Load and
//! sessions for each engine are the same in both regions, so that what the region of many hosts
//! serves less is due to its size. The load is that of a region at its daily peak, with a burst
//! while a quarter of the engines is gone.

use {
    crate::common::{POOL, entry, identity, matched, ms, rows, setup},
    greengagecleat::{
        name,
        proxy::{
            cache,
            core::{Core, Placement, Provenance},
            dialect::Part,
            fingerprint::Fingerprint,
            fleet::Report,
            place::Job,
            quarantine,
            replica::Outcome,
            table::{Engine as Capacity, Rows, Table},
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        ops::Range,
        time::Duration,
    },
};

/// Tokens that an engine prefills per millisecond: 81.9, in chunks of 1,024 tokens between steps of
/// 5.3 ms for the answers that are running.
const TOKENS_PER_MS: f64 = 1_024.0 / (1_024.0 / 81.9 + 5.3);
/// Time to the first event without any prefill.
const BASE: Duration = Duration::from_millis(41);
/// Time from the first event of an answer to its end.
const ANSWER_TIME: Duration = Duration::from_millis(400);
const OBJECTIVE: Duration = Duration::from_millis(600);
const MEMORY_TOKENS: u64 = 364_219;
/// Prefixes that fit into that memory beside what runs, at 2,600 tokens each.
const HELD_PREFIXES: usize = (MEMORY_TOKENS / 2_600) as usize;
const SESSIONS_PER_ENGINE: u64 = 30;
/// Tokens of the part that a quarter of the sessions share, and of the session's own.
const SHARED: [u32; 2] = [2_520, 3_780];
/// Mean of the part of a prompt that belongs to one request.
const OWN_TOKENS: f64 = 2_890.0;
const RUN_TIME: Duration = Duration::from_secs(16);
/// Requests a second for each engine at a region's daily peak.
const PEAK: f64 = 10.7;
/// The same during a burst while a quarter of the engines is gone.
const HIT: f64 = 18.5;
/// When the load rises to [`HIT`], and when it falls again.
const HIT_TIME: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(8));
/// Time from the end of the burst within which a region must be back.
const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Delay of a message between two hosts.
const DELAY: Duration = Duration::from_millis(1);

/// Series of random numbers that are played.
const SEEDS: u64 = 4;

/// Numbers of a region.
#[derive(Debug, Clone, Copy)]
struct Region {
    hosts: usize,
    engines: usize,
}

const SMALL: Region = Region {
    hosts: 6,
    engines: 7,
};
const LARGE: Region = Region {
    hosts: 32,
    engines: 38,
};

/// Outcomes of the requests that arrived in each second.
#[derive(Debug, Default)]
struct Tally {
    requests: BTreeMap<u64, u32>,
    on_time: BTreeMap<u64, u32>,
    /// Shared tokens that an engine prefilled although some engine had them.
    again: u64,
    prefilled: u64,
}

impl Tally {
    fn on_time_share(&self, seconds: Range<u64>) -> f64 {
        let sum = |counts: &BTreeMap<u64, u32>| -> u32 {
            counts.range(seconds.clone()).map(|(_, count)| count).sum()
        };
        f64::from(sum(&self.on_time)) / f64::from(sum(&self.requests))
    }

    fn share_again(&self) -> f64 {
        self.again as f64 / self.prefilled as f64
    }
}

/// An engine that prefills prompts one after another and keeps the prefixes used last.
#[derive(Debug, Default)]
struct Engine {
    free_at: Duration,
    held: BTreeMap<u64, Duration>,
}

#[derive(Debug)]
enum Event {
    Arrival,
    Tick(usize),
    Report(usize, Box<Report>),
    FirstByte(usize, u64),
    End(usize, u64),
    Expired(usize, (u8, u64)),
}

struct Simulation {
    region: Region,
    hosts: Vec<Core>,
    waiting: Vec<BTreeMap<(u8, u64), Job>>,
    engines: BTreeMap<name::Upstream, Engine>,
    events: BTreeMap<(Duration, u64), Event>,
    last_event: u64,
    seen: BTreeSet<u64>,
    rng: StdRng,
    tally: Tally,
}

impl Simulation {
    fn new(region: Region, seed: u64) -> Self {
        let ids: Vec<_> = (0..region.engines).map(|n| format!("e{n}")).collect();
        let host = |n: usize| {
            let mut setup = setup(&format!("n{n}"), "north", n as u8 + 1);
            setup.domains = [("north-a".into(), "north".into())].into();
            setup.rng_seed = n as u64;
            let mut core = Core::new(ms(0), setup);
            assert!(core.configure(ms(0), Table::new(peak_rows()), Provenance::default()));
            let listed = ids.iter().map(|id| entry(id, "north-a", POOL, 1));
            core.catalog.replace_all(ms(0), listed.collect());
            core
        };
        let mut hosts: Vec<_> = (0..region.hosts).map(host).collect();
        for to in 0..region.hosts {
            for from in (0..region.hosts).filter(|from| *from != to) {
                let identity = identity(&format!("n{from}"), "north", from as u8 + 1);
                let report = crate::common::report(identity, 0);
                hosts[to].receive_report(ms(0), report);
            }
        }
        let mut simulation = Self {
            waiting: vec![BTreeMap::new(); region.hosts],
            engines: ids
                .iter()
                .map(|id| (id.as_str().into(), Engine::default()))
                .collect(),
            events: BTreeMap::new(),
            last_event: 0,
            seen: BTreeSet::new(),
            rng: StdRng::seed_from_u64(seed),
            tally: Tally::default(),
            region,
            hosts,
        };
        simulation.schedule(ms(1_000), Event::Arrival);
        for host in 0..region.hosts {
            let at = ms(simulation.rng.random_range(0..50));
            simulation.schedule(at, Event::Tick(host));
        }
        simulation
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.last_event += 1;
        self.events.insert((at, self.last_event), event);
    }

    fn run(mut self) -> Tally {
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > RUN_TIME {
                break;
            }
            match event {
                Event::Arrival => self.arrive(now),
                Event::Tick(host) => self.tick(now, host),
                Event::Report(host, report) => {
                    self.hosts[host].receive_report(now, *report);
                    self.place_waiting(now, host);
                }
                Event::FirstByte(host, ticket) => {
                    self.hosts[host].record_first_byte(now, ticket);
                    self.place_waiting(now, host);
                }
                Event::End(host, ticket) => {
                    self.hosts[host].release(now, ticket, Outcome::Success);
                    self.place_waiting(now, host);
                }
                Event::Expired(host, position) => {
                    if self.waiting[host].remove(&position).is_some() {
                        self.hosts[host].dequeue(position);
                    }
                }
            }
        }
        self.tally
    }

    fn arrive(&mut self, now: Duration) {
        let is_hit = HIT_TIME.0 <= now && now < HIT_TIME.1;
        let per_engine = if is_hit { HIT } else { PEAK };
        let per_s = per_engine * self.region.engines as f64;
        let gap = -self.rng.random::<f64>().max(1e-9).ln() / per_s;
        self.schedule(now + Duration::from_secs_f64(gap), Event::Arrival);
        let host = self.rng.random_range(0..self.region.hosts);
        let sessions = SESSIONS_PER_ENGINE * self.region.engines as u64;
        let session = self.rng.random_range(0..sessions);
        let tokens = (OWN_TOKENS * self.log_normal()).clamp(50.0, 39_600.0) as u32;
        let job = self.request(now, host, session, tokens);
        *self.tally.requests.entry(now.as_secs()).or_default() += 1;
        let core = &mut self.hosts[host];
        match core.place(now, &job) {
            Placement::Wait => {
                let limit = core.wait_limit(now, &job);
                if !limit.is_zero() {
                    let position = core.enqueue(job.clone());
                    self.waiting[host].insert(position, job);
                    self.schedule(now + limit, Event::Expired(host, position));
                }
            }
            placement => self.start(now, host, &job, placement),
        }
    }

    /// A factor with a mean of one that is spread as the sizes of prompts are.
    fn log_normal(&mut self) -> f64 {
        let (one, other) = (self.rng.random::<f64>(), self.rng.random::<f64>());
        let normal = (-2.0 * one.max(1e-9).ln()).sqrt() * (std::f64::consts::TAU * other).cos();
        let deviation = std::f64::consts::LN_2.sqrt();
        (deviation * normal - deviation * deviation / 2.0).exp()
    }

    fn request(&mut self, now: Duration, host: usize, session: u64, own_tokens: u32) -> Job {
        let own = self.rng.random();
        let part = |id, tokens| Part { id, tokens };
        let parts = [
            part(session % 4, SHARED[0]),
            part(1_000 + session, SHARED[1]),
            part(own, own_tokens),
        ];
        let prefixes = cache::prefixes(&parts);
        let fingerprint = Fingerprint(own);
        Job {
            matched: matched(&self.hosts[host], "/digest/1"),
            pool: POOL.into(),
            tokens: (cache::total_tokens(prefixes.iter()), 52),
            suspects: quarantine::suspects(fingerprint, &prefixes),
            prefixes,
            fingerprint,
            arrived_at: now,
            deadline: now + ms(4_000),
            may_forward: false,
            max_attempts: 1,
            tried: Vec::new(),
            avoided_hosts: Vec::new(),
            build: None,
        }
    }

    fn tick(&mut self, now: Duration, host: usize) {
        self.schedule(now + ms(50), Event::Tick(host));
        for (recipient, report) in self.hosts[host].due_reports(now, true, false) {
            let to = recipient.host.as_str().trim_start_matches('n').parse();
            let to: usize = to.expect("hosts are numbered");
            self.schedule(now + DELAY, Event::Report(to, Box::new(report)));
        }
        self.place_waiting(now, host);
    }

    fn place_waiting(&mut self, now: Duration, host: usize) {
        for (position, placement) in self.hosts[host].place_waiting(now) {
            let job = self.waiting[host].remove(&position).expect("it waits");
            self.start(now, host, &job, placement);
        }
    }

    fn start(&mut self, now: Duration, host: usize, job: &Job, placement: Placement) {
        let Placement::Local(grant) = placement else {
            panic!("there is no other region");
        };
        let engine = self.engines.get_mut(&grant.upstream).expect("it is listed");
        let mut tokens = 0;
        for (at, prefix) in job.prefixes.iter().enumerate() {
            let is_held = engine.held.insert(prefix.hash, now).is_some();
            if is_held {
                continue;
            }
            tokens += u64::from(prefix.tokens);
            let is_shared = at + 1 < job.prefixes.len();
            if is_shared && !self.seen.insert(prefix.hash) {
                self.tally.again += u64::from(prefix.tokens);
            }
        }
        while engine.held.len() > HELD_PREFIXES {
            let oldest = engine.held.iter().min_by_key(|(_, at)| **at);
            let oldest = *oldest.expect("it holds some").0;
            engine.held.remove(&oldest);
        }
        self.tally.prefilled += tokens;
        let took = Duration::from_secs_f64(tokens as f64 / TOKENS_PER_MS / 1_000.0);
        engine.free_at = engine.free_at.max(now) + took;
        let first = engine.free_at + BASE;
        if first.saturating_sub(job.arrived_at) <= OBJECTIVE {
            let second = job.arrived_at.as_secs();
            *self.tally.on_time.entry(second).or_default() += 1;
        }
        self.schedule(first, Event::FirstByte(host, grant.ticket));
        self.schedule(first + ANSWER_TIME, Event::End(host, grant.ticket));
    }
}

fn peak_rows() -> Rows {
    let mut rows = rows(1);
    rows.routes[0].objective = OBJECTIVE;
    let engine = Capacity {
        slots: 24,
        memory_tokens: MEMORY_TOKENS,
    };
    rows.pools[0].engine = Some(engine);
    rows.customers[0].0.rate = 0.0;
    rows
}

fn simulate(region: Region, seed: u64) -> Tally {
    Simulation::new(region, seed).run()
}

/// Hosts that looked for the least loaded engine all found the same one, as they know what others
/// sent only by reports; its queue grew, and sessions moved on and were prefilled again. The region
/// did not come back from a burst.
#[test]
fn hosts_of_a_large_region_do_not_all_move_to_the_same_engine() {
    let hit = HIT_TIME.0.as_secs()..HIT_TIME.1.as_secs();
    let back = (HIT_TIME.1 + RECOVERY_TIME).as_secs()..RUN_TIME.as_secs() - 1;
    let whole = 1..RUN_TIME.as_secs() - 1;
    let [mut few, mut many, mut recovered] = [0.0; 3];
    for seed in 0..SEEDS {
        let (small, large) = (simulate(SMALL, seed), simulate(LARGE, seed));
        few += small.on_time_share(whole.clone()) / SEEDS as f64;
        many += large.on_time_share(whole.clone()) / SEEDS as f64;
        recovered += large.on_time_share(back.clone()) / SEEDS as f64;
        eprintln!(
            "seed {seed}: {:.3} and {:.3} on time, {:.3} and {:.3} in the burst, {:.3} after it; {:.3} and {:.3} of the prefilled tokens again",
            small.on_time_share(whole.clone()),
            large.on_time_share(whole.clone()),
            small.on_time_share(hit.clone()),
            large.on_time_share(hit.clone()),
            large.on_time_share(back.clone()),
            small.share_again(),
            large.share_again(),
        );
    }
    let text = format!("{few} and {many} on time, {recovered} after the burst");
    assert!(many >= few - 0.05, "{text}");
    assert!(recovered >= 0.95, "{text}");
}
