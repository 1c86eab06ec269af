//! Two kinds of prompts on the same engines, in two regions with peaks at different times.
//!
//! Engines run up to 16 requests in steps. In each step, one prompt is prefilled by at most a chunk and
//! every other request gets one token; an event holds five. So prefills lengthen the pauses in all
//! answers of their engine. Long prompts are not urgent and may go anywhere; short ones are urgent,
//! have long answers and must stay in the region at its peak.

use {
    crate::common::{self, POOL, entry, forwardable, identity, ms, setup},
    greengagecleat::{
        name,
        proxy::{
            balance::Pressure,
            cache,
            core::{Core, Placement, Provenance},
            dialect::Part,
            fingerprint::Fingerprint,
            fleet::{Report, Spare},
            place::Job,
            quarantine,
            replica::Outcome,
            reserve,
            table::{Engine as Capacity, Kind, Rows, Table},
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, time::Duration},
};

const ENGINES: usize = 6;
const SLOTS: usize = 16;
const STEP_MS: f64 = 6.35;
const TOKENS_PER_MS: f64 = 42.8;
const CHUNK_TOKENS: f64 = 2_048.0;
const TOKENS_PER_EVENT: u32 = 5;
const MAX_GAP: Duration = Duration::from_millis(400);
/// Factor by which each second engine is slower than the others.
const SLOWNESS: f64 = 1.9;
const RUN_TIME: Duration = Duration::from_secs(14);
/// Requests that come later may not have ended when the run does, and aren't counted.
const COUNTED_UNTIL: Duration = Duration::from_secs(9);
const WAY: Duration = Duration::from_millis(55);
const REGIONS: [&str; 2] = ["north", "south"];

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Long,
    Short,
}

impl Class {
    /// Tokens of the prompt and of the answer.
    fn tokens(self) -> (f64, u32) {
        match self {
            Self::Long => (9_190.0, 50),
            Self::Short => (826.0, 290),
        }
    }

    fn objective(self) -> Duration {
        match self {
            Self::Long => ms(2_000),
            Self::Short => ms(500),
        }
    }
}

/// Which of the decisions under test are made.
#[derive(Debug, Clone, Copy)]
struct Policy {
    is_balanced: bool,
    has_reserve: bool,
}

/// The decisions as built.
const BOTH: Policy = Policy {
    is_balanced: true,
    has_reserve: true,
};

#[derive(Debug)]
struct Run {
    host: usize,
    ticket: u64,
    class: Class,
    arrived_at: Duration,
    unread: f64,
    tokens_left: u32,
    last_event_at: Option<Duration>,
    is_late: bool,
}

#[derive(Debug)]
struct Engine {
    slowness: f64,
    runs: Vec<Run>,
    next_step_at: Duration,
}

/// Requests of a kind, those served, and those served on time.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    asked: u32,
    served: u32,
    on_time: u32,
}

impl Tally {
    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked)
    }
}

fn table(policy: Policy) -> Table {
    let mut long = common::route("long", "/digest/", Kind::Stream, POOL);
    let mut short = common::route("short", "/short/", Kind::Stream, POOL);
    long.objective = Class::Long.objective();
    short.objective = Class::Short.objective();
    short.home_regions = ["north".into()].into();
    long.priority = if policy.has_reserve { 2 } else { 0 };
    short.priority = 0;
    for route in [&mut long, &mut short] {
        route.max_gap = policy.is_balanced.then_some(MAX_GAP);
        route.timeout = ms(6_000);
    }
    let mut rows = Rows {
        routes: vec![long, short],
        ..common::rows(1)
    };
    rows.customers[0].0.rate = 0.0;
    rows.pools[0].engine = Some(Capacity {
        slots: SLOTS as u32,
        memory_tokens: 216_498,
    });
    Table::new(rows)
}

struct Simulation {
    hosts: Vec<Core>,
    engines: BTreeMap<(usize, name::Upstream), Engine>,
    /// Requests on their way to the other region.
    forwarded: Vec<(Duration, Class, Job)>,
    tallies: BTreeMap<Class, Tally>,
    rng: StdRng,
}

impl Simulation {
    fn new(policy: Policy, seed: u64) -> Self {
        let mut engines = BTreeMap::new();
        let host = |(at, region): (usize, &&str)| {
            let mut core = Core::new(ms(0), setup(&format!("{region}-1"), region, at as u8 + 1));
            assert!(core.configure(ms(0), table(policy), Provenance::default()));
            let ids: Vec<_> = (0..ENGINES).map(|n| format!("{region}-e{n}")).collect();
            let domain = format!("{region}-a");
            let listed = ids.iter().map(|id| entry(id, &domain, POOL, 1));
            core.catalog.replace_all(ms(0), listed.collect());
            for (n, id) in ids.iter().enumerate() {
                let engine = Engine {
                    slowness: if n % 2 == 1 { SLOWNESS } else { 1.0 },
                    runs: Vec::new(),
                    next_step_at: Duration::ZERO,
                };
                engines.insert((at, id.as_str().into()), engine);
            }
            core
        };
        let mut hosts: Vec<_> = REGIONS.iter().enumerate().map(host).collect();
        for (at, region) in REGIONS.iter().enumerate() {
            let from = identity(&format!("{region}-1"), region, at as u8 + 1);
            hosts[1 - at].receive_report(ms(0), common::report(from, 0));
        }
        Self {
            hosts,
            engines,
            forwarded: Vec::new(),
            tallies: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Plays requests a second of each kind in the north; in the south a tenth of the long ones.
    fn run(mut self, long_per_s: f64, short_per_s: f64) -> BTreeMap<Class, Tally> {
        for at in 0..RUN_TIME.as_millis() as u64 {
            let now = ms(at);
            if at.is_multiple_of(50) {
                self.report(now);
            }
            for (host, class, per_s) in [
                (0, Class::Long, long_per_s),
                (0, Class::Short, short_per_s),
                (1, Class::Long, long_per_s / 10.0),
            ] {
                if self.rng.random::<f64>() < per_s / 1_000.0 {
                    let is_counted = now < COUNTED_UNTIL;
                    self.tallies.entry(class).or_default().asked += u32::from(is_counted);
                    let job = self.request(now, host, class);
                    self.place(now, host, class, &job);
                }
            }
            while let Some(next) = self.forwarded.iter().position(|(due, ..)| *due <= now) {
                let (_, class, job) = self.forwarded.swap_remove(next);
                self.place(now, 1, class, &job);
            }
            let keys: Vec<_> = self.engines.keys().cloned().collect();
            for key in keys {
                self.step(now, &key);
            }
        }
        self.tallies
    }

    fn request(&mut self, now: Duration, host: usize, class: Class) -> Job {
        let session = self.rng.random_range(0..200);
        let own = self.rng.random();
        let sizes = match class {
            Class::Long => [2_520, 3_780, 2_890],
            Class::Short => [119, 79, 628],
        };
        let part = |id, tokens| Part { id, tokens };
        let parts = [
            part(class as u64, sizes[0]),
            part(1_000 + session, sizes[1]),
            part(own, sizes[2]),
        ];
        let prefixes = cache::prefixes(&parts);
        let fingerprint = Fingerprint(own);
        let path = match class {
            Class::Long => "/digest/1",
            Class::Short => "/short/1",
        };
        let template = common::job(&self.hosts[host], now, 1, 1);
        forwardable(&Job {
            matched: common::matched(&self.hosts[host], path),
            tokens: (cache::total_tokens(prefixes.iter()), class.tokens().1),
            suspects: quarantine::suspects(fingerprint, &prefixes),
            prefixes,
            fingerprint,
            deadline: now + ms(6_000),
            ..template
        })
    }

    /// Places a request; one that would wait is rejected.
    fn place(&mut self, now: Duration, host: usize, class: Class, job: &Job) {
        match self.hosts[host].place(now, job) {
            Placement::Local(grant) => {
                let engine = self.engines.get_mut(&(host, grant.upstream.clone()));
                engine.expect("it is listed").runs.push(Run {
                    host,
                    ticket: grant.ticket,
                    class,
                    arrived_at: job.arrived_at,
                    unread: f64::from(grant.uncached_tokens),
                    tokens_left: class.tokens().1,
                    last_event_at: None,
                    is_late: false,
                });
            }
            Placement::Remote(_) => {
                let job = Job {
                    may_forward: false,
                    ..job.clone()
                };
                self.forwarded.push((now + WAY, class, job));
            }
            Placement::Wait => {}
            Placement::Withheld(withheld) => panic!("{withheld:?}"),
        }
    }

    fn step(&mut self, now: Duration, key: &(usize, name::Upstream)) {
        let engine = self.engines.get_mut(key).expect("it is listed");
        if now < engine.next_step_at || engine.runs.is_empty() {
            return;
        }
        assert!(engine.runs.len() <= SLOTS, "one host fills no engine");
        let mut read = 0.0;
        if let Some(next) = engine.runs.iter_mut().find(|run| run.unread > 0.0) {
            read = next.unread.min(CHUNK_TOKENS);
            next.unread -= read;
        }
        let step_ms = engine.slowness * (STEP_MS + read / TOKENS_PER_MS);
        let took = Duration::from_secs_f64(step_ms / 1_000.0);
        engine.next_step_at = now + took;
        let done_at = engine.next_step_at;
        for run in engine.runs.iter_mut().filter(|run| run.unread <= 0.0) {
            run.tokens_left -= 1;
            if !run.tokens_left.is_multiple_of(TOKENS_PER_EVENT) {
                continue;
            }
            match run.last_event_at.replace(done_at) {
                Some(before) => run.is_late |= done_at - before > MAX_GAP,
                None => {
                    run.is_late |= done_at - run.arrived_at > run.class.objective();
                    self.hosts[run.host].record_first_byte(done_at, run.ticket);
                }
            }
        }
        let (ended, runs) = std::mem::take(&mut engine.runs)
            .into_iter()
            .partition(|run| run.tokens_left == 0);
        engine.runs = runs;
        for run in ended {
            let is_counted = run.arrived_at < COUNTED_UNTIL;
            self.hosts[run.host].release(done_at, run.ticket, Outcome::Success);
            let tally = self.tallies.entry(run.class).or_default();
            tally.served += u32::from(is_counted);
            tally.on_time += u32::from(is_counted && !run.is_late);
        }
    }

    fn report(&mut self, now: Duration) {
        for from in 0..REGIONS.len() {
            for (_, report) in self.hosts[from].due_reports(now, true, false) {
                self.hosts[1 - from].receive_report(now, report);
            }
        }
    }
}

/// Plays three series of random numbers. Returns the sums for long and for short prompts.
fn play(policy: Policy, long_per_s: f64, short_per_s: f64) -> [Tally; 2] {
    let mut sums = [Tally::default(); 2];
    for seed in 0..3 {
        let tallies = Simulation::new(policy, seed).run(long_per_s, short_per_s);
        for (sum, class) in sums.iter_mut().zip([Class::Long, Class::Short]) {
            let Tally {
                asked,
                served,
                on_time,
            } = tallies[&class];
            sum.asked += asked;
            sum.served += served;
            sum.on_time += on_time;
        }
    }
    sums
}

/// Guards against a region at its peak that keeps all requests which it can begin on time, while
/// another region is nearly idle: prefills made long pauses in the short prompts' answers.
#[test]
fn a_busy_region_shares_long_prompts_with_an_idle_one() {
    let unbalanced = Policy {
        is_balanced: false,
        ..BOTH
    };
    let [long_before, short_before] = play(unbalanced, 32.0, 20.0);
    let [long, short] = play(BOTH, 32.0, 20.0);
    let text = format!("{long_before:?} {short_before:?} without, {long:?} {short:?} with");
    eprintln!("{text}");
    let late = |tally: Tally| tally.asked - tally.on_time;
    assert!(2 * late(short) <= late(short_before), "{text}");
    assert!(long.on_time >= long_before.on_time, "{text}");
    assert_eq!(short.served, short.asked, "{text}");
}

/// Guards against long prompts that take the slots of urgent requests, which were then rejected.
#[test]
fn urgent_requests_find_slots_beside_a_surplus_of_long_prompts() {
    let unreserved = Policy {
        has_reserve: false,
        ..BOTH
    };
    let [_, short_before] = play(unreserved, 150.0, 25.0);
    let [long, short] = play(BOTH, 150.0, 25.0);
    let text = format!("{short_before:?} without, {long:?} {short:?} with");
    eprintln!("{text}");
    assert!(
        short.served_share() > short_before.served_share() + 0.1,
        "{text}"
    );
    assert!(short.served_share() > 0.9, "{text}");
    assert!(long.served > 0, "long prompts are not starved: {text}");
}

/// Guards against requests that leave a region for one that is as busy, and against figures from other
/// hosts that are no numbers.
#[test]
fn requests_leave_only_for_a_region_that_is_less_busy() {
    let pressure = |slots, prefill| Pressure::new(slots, ms(prefill), MAX_GAP);
    let busy = pressure(0.8, 0);
    assert_eq!(busy.share_away(busy, 1.0), 0.0);
    assert_eq!(pressure(0.1, 10).share_away(pressure(0.0, 0), 1.0), 0.0);
    assert!(busy.share_away(pressure(0.1, 0), 1.0) > busy.share_away(pressure(0.5, 0), 1.0));
    assert!(pressure(0.0, 300).share_away(pressure(0.0, 0), 1.0) > 0.5);
    assert_eq!(busy.share_away(pressure(0.1, 0), 0.1), 0.1);
    for figure in [f32::NAN, f32::NEG_INFINITY, -1.0] {
        let mut bytes = Vec::new();
        ciborium::into_writer(&figure, &mut bytes).expect("it is encoded in memory");
        let hostile: Pressure = ciborium::from_reader(&bytes[..]).expect("it is a number");
        assert!(!hostile.is_valid());
        assert_eq!(busy.share_away(hostile, 1.0), 0.0);
    }
}

/// Guards against slots that nobody may take: of the most urgent route, of a pool with one route, and
/// in a region that serves no more urgent one.
#[test]
fn slots_are_kept_only_for_more_urgent_requests() {
    assert_eq!(reserve::open_slots(16, 2, Some(0)), 8);
    assert_eq!(reserve::open_slots(16, 0, Some(0)), 16);
    assert_eq!(reserve::open_slots(16, 2, Some(2)), 16);
    assert_eq!(reserve::open_slots(16, 2, None), 16);
    assert_eq!(reserve::open_slots(1, 2, Some(0)), 1);
    assert_eq!(reserve::open_slots(0, 2, Some(0)), 0);
}

/// Guards against slots that stay reserved for a route that nobody asks for any more.
#[test]
fn slots_are_kept_for_as_long_as_the_most_urgent_route_is_in_use() {
    let mut simulation = Simulation::new(BOTH, 0);
    let long = simulation.request(ms(0), 0, Class::Long);
    let short = simulation.request(ms(0), 0, Class::Short);
    let core = &mut simulation.hosts[0];
    assert_eq!(core.reserved_slots(ms(0), &long), Some(0));
    core.place(ms(10), &short);
    assert_eq!(core.reserved_slots(ms(10), &long), Some(8));
    assert_eq!(core.reserved_slots(ms(10), &short), Some(0));
    let over = ms(10) + reserve::KEPT_FOR;
    assert_eq!(core.reserved_slots(over, &long), Some(0));
}

/// Guards against requests that leave a region for slots which another one keeps for urgent requests:
/// they were refused there.
#[test]
fn reserved_slots_of_another_region_are_no_room_for_less_urgent_requests() {
    let forwards = |unreserved| {
        let mut simulation = Simulation::new(BOTH, 0);
        let jobs: Vec<_> = (0..200)
            .map(|_| simulation.request(ms(0), 1, Class::Long))
            .collect();
        let core = &mut simulation.hosts[1];
        let spare = Spare {
            wait_ms: 50.0,
            tokens: 1e9,
            requests: 1_000.0,
            unreserved: Some(unreserved),
            rate: 40.0,
            ..Spare::default()
        };
        core.receive_report(
            ms(0),
            Report {
                spare: vec![(POOL.into(), spare)],
                ..common::report(identity("north-1", "north", 1), 1)
            },
        );
        let placements = jobs.iter().map(|job| core.place(ms(1), job));
        let remote = placements.filter(|placement| matches!(placement, Placement::Remote(_)));
        remote.count()
    };
    assert_eq!(forwards(0.0), 0);
    assert_eq!(forwards(5.0), 5);
}
