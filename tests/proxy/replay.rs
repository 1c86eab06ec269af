//! Load patterns that hurt, replayed over the decisions in virtual time, against baselines.
//!
//! The engines here read prompts one after another at a fixed rate, keep the prefixes of the
//! sessions that they read, and begin an answer when its prompt is read. The pattern is a region
//! at its peak: digests of 9,200 tokens in 60 sessions, of which all but 2,900 can be cached.

use {
    crate::common::{core, job, ms},
    greengagecleat::{
        name,
        proxy::{
            core::{Core, Placement},
            replica::Outcome,
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Tokens that an engine reads in a millisecond.
const RATE: f64 = 80.0;
const ENGINES: usize = 4;
const SESSIONS: u64 = 60;
const OBJECTIVE: Duration = Duration::from_millis(800);
const LENGTH: Duration = Duration::from_secs(20);
/// An answer goes on for so long after its first event.
const ANSWER: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The product's decisions.
    Core,
    /// The engine with the fewest requests, whatever it holds; refuses nothing.
    LeastOutstanding,
    /// Engines in turn; refuses nothing.
    InTurn,
}

#[derive(Debug, Default)]
struct Tally {
    asked: u32,
    on_time: u32,
    late: u32,
    refused: u32,
    read: u64,
}

#[derive(Debug, Default)]
struct Engine {
    free_at: Duration,
    holds: BTreeSet<u64>,
    ends: Vec<Duration>,
}

impl Engine {
    /// Reads a prompt of a session; returns when its first event comes.
    fn read(&mut self, now: Duration, session: u64, tally: &mut Tally) -> Duration {
        let cached = !self.holds.insert(session);
        let tokens = if cached { 2_900 } else { 9_200 };
        tally.read += tokens;
        let took = Duration::from_secs_f64(tokens as f64 / RATE / 1_000.0);
        self.free_at = self.free_at.max(now) + took;
        self.ends.push(self.free_at + ANSWER);
        self.free_at
    }

    fn running(&mut self, now: Duration) -> usize {
        self.ends.retain(|end| *end > now);
        self.ends.len()
    }
}

/// Plays a peak of so many requests a second and tells how they fared.
fn play(policy: Policy, per_s: u64) -> Tally {
    let mut core = core(ENGINES);
    let mut engines: BTreeMap<name::Upstream, Engine> = (0..ENGINES)
        .map(|n| (format!("e{n}").as_str().into(), Engine::default()))
        .collect();
    let mut events: BTreeMap<(Duration, u64), u64> = BTreeMap::new();
    let mut waiting: BTreeMap<(u8, u64), (Duration, u64, Duration)> = BTreeMap::new();
    let mut tally = Tally::default();
    let gap = Duration::from_secs_f64(1.0 / per_s as f64);
    let mut draw = 1_u64;
    let mut now = ms(0);
    let mut request = 0;
    while now < LENGTH {
        // What has begun or ended by now is told to the core in order.
        while let Some(entry) = events.first_entry() {
            let (at, kind) = *entry.key();
            if at > now {
                break;
            }
            let ticket = entry.remove();
            if kind % 2 == 0 {
                core.record_first_byte(at, ticket);
            } else {
                core.release(at, ticket, Outcome::Success);
            }
        }
        expire(&mut core, &mut waiting, now, &mut tally);
        for (place, placement) in core.place_waiting(now) {
            let (arrived, session, _) = waiting.remove(&place).expect("it waited");
            start(
                &mut engines,
                &mut events,
                now,
                arrived,
                session,
                placement,
                &mut tally,
            );
        }
        draw = draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let session = (draw >> 33) % SESSIONS;
        request += 1;
        tally.asked += 1;
        match policy {
            Policy::Core => {
                let next = job(&core, now, session, 100_000 + request);
                match core.place(now, &next) {
                    Placement::Wait => {
                        let limit = core.wait_limit(now, &next);
                        if limit.is_zero() {
                            tally.refused += 1;
                        } else {
                            waiting.insert(core.enqueue(next), (now, session, now + limit));
                        }
                    }
                    placement => {
                        start(
                            &mut engines,
                            &mut events,
                            now,
                            now,
                            session,
                            placement,
                            &mut tally,
                        );
                    }
                }
            }
            Policy::LeastOutstanding | Policy::InTurn => {
                let at = if policy == Policy::InTurn {
                    request as usize % ENGINES
                } else {
                    let loads: Vec<_> = engines.values_mut().map(|e| e.running(now)).collect();
                    (0..ENGINES).min_by_key(|n| loads[*n]).unwrap_or(0)
                };
                let engine = engines.values_mut().nth(at).expect("there are engines");
                let first = engine.read(now, session, &mut tally);
                judge(now, first, &mut tally);
            }
        }
        now += gap;
    }
    tally
}

fn expire(
    core: &mut Core,
    waiting: &mut BTreeMap<(u8, u64), (Duration, u64, Duration)>,
    now: Duration,
    tally: &mut Tally,
) {
    let over: Vec<_> = waiting
        .iter()
        .filter(|(_, (_, _, until))| *until <= now)
        .collect();
    let over: Vec<_> = over.into_iter().map(|(place, _)| *place).collect();
    for place in over {
        waiting.remove(&place);
        core.dequeue(place);
        tally.refused += 1;
    }
}

fn start(
    engines: &mut BTreeMap<name::Upstream, Engine>,
    events: &mut BTreeMap<(Duration, u64), u64>,
    now: Duration,
    arrived: Duration,
    session: u64,
    placement: Placement,
    tally: &mut Tally,
) {
    let Placement::Local(grant) = placement else {
        panic!("there is no other region");
    };
    let engine = engines.get_mut(&grant.upstream).expect("it is listed");
    let first = engine.read(now, session, tally);
    judge(arrived, first, tally);
    events.insert((first, 2 * grant.ticket), grant.ticket);
    events.insert((first + ANSWER, 2 * grant.ticket + 1), grant.ticket);
}

fn judge(arrived: Duration, first: Duration, tally: &mut Tally) {
    let took = first.saturating_sub(arrived);
    if took <= OBJECTIVE {
        tally.on_time += 1;
    } else if took <= 4 * OBJECTIVE {
        tally.late += 1;
    }
}

fn share(tally: &Tally) -> f64 {
    f64::from(tally.on_time) / f64::from(tally.asked)
}

#[test]
fn below_capacity_prefixes_are_read_once_and_all_is_on_time() {
    // Four engines read 110 cached prompts a second, or 35 uncached ones.
    let ours = play(Policy::Core, 80);
    let least = play(Policy::LeastOutstanding, 80);
    assert!(share(&ours) > 0.9, "{ours:?}");
    assert!(share(&least) < share(&ours), "{least:?} against {ours:?}");
    assert!(ours.read < least.read, "{least:?} against {ours:?}");
}

#[test]
fn beyond_capacity_what_is_taken_is_on_time() {
    // Half as much again as the engines can read.
    let ours = play(Policy::Core, 165);
    for policy in [Policy::LeastOutstanding, Policy::InTurn] {
        let baseline = play(policy, 165);
        assert!(
            share(&ours) > share(&baseline) + 0.3,
            "{baseline:?} against {ours:?}"
        );
    }
    assert!(share(&ours) > 0.55, "two thirds could be served: {ours:?}");
    assert!(ours.late * 5 < ours.on_time, "{ours:?}");
}
