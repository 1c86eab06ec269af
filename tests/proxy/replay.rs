//! A region at its peak load, simulated in virtual time and compared with baseline policies.
//!
//! The simulated engines prefill prompts one after another at a fixed rate, keep the prefixes of
//! the sessions that they have seen, and begin an answer when its prompt is prefilled. Requests
//! have 9,200 prompt tokens in 60 sessions, of which all but 2,900 can be cached.

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

/// Tokens that an engine prefills per millisecond.
const TOKENS_PER_MS: f64 = 80.0;
const ENGINES: usize = 4;
const SESSIONS: u64 = 60;
const OBJECTIVE: Duration = Duration::from_millis(800);
const RUN_TIME: Duration = Duration::from_secs(20);
/// Time from the first event of an answer to its end.
const ANSWER_TIME: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The decisions of [`Core`].
    Core,
    /// The engine with the fewest requests, regardless of prefixes; refuses nothing.
    LeastOutstanding,
    /// Round robin; refuses nothing.
    RoundRobin,
}

#[derive(Debug, Default)]
struct Tally {
    requests: u32,
    on_time: u32,
    late: u32,
    refused: u32,
    prefilled_tokens: u64,
}

#[derive(Debug, Default)]
struct Engine {
    free_at: Duration,
    holds: BTreeSet<u64>,
    ends: Vec<Duration>,
}

impl Engine {
    /// Prefills a prompt of a session. Returns the time of the first event.
    fn prefill(&mut self, now: Duration, session: u64, tally: &mut Tally) -> Duration {
        let cached = !self.holds.insert(session);
        let tokens = if cached { 2_900 } else { 9_200 };
        tally.prefilled_tokens += tokens;
        let took = Duration::from_secs_f64(tokens as f64 / TOKENS_PER_MS / 1_000.0);
        self.free_at = self.free_at.max(now) + took;
        self.ends.push(self.free_at + ANSWER_TIME);
        self.free_at
    }

    fn running(&mut self, now: Duration) -> usize {
        self.ends.retain(|end| *end > now);
        self.ends.len()
    }
}

/// Simulates a peak of `per_s` requests a second and counts their outcomes.
fn simulate(policy: Policy, per_s: u64) -> Tally {
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
    while now < RUN_TIME {
        // Reports the answers that have begun or ended by now to the core, in order.
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
        refuse_expired(&mut core, &mut waiting, now, &mut tally);
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
        tally.requests += 1;
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
            Policy::LeastOutstanding | Policy::RoundRobin => {
                let at = if policy == Policy::RoundRobin {
                    request as usize % ENGINES
                } else {
                    let loads: Vec<_> = engines.values_mut().map(|e| e.running(now)).collect();
                    (0..ENGINES).min_by_key(|n| loads[*n]).unwrap_or(0)
                };
                let engine = engines.values_mut().nth(at).expect("there are engines");
                let first = engine.prefill(now, session, &mut tally);
                count_outcome(now, first, &mut tally);
            }
        }
        now += gap;
    }
    tally
}

fn refuse_expired(
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
    let first = engine.prefill(now, session, tally);
    count_outcome(arrived, first, tally);
    events.insert((first, 2 * grant.ticket), grant.ticket);
    events.insert((first + ANSWER_TIME, 2 * grant.ticket + 1), grant.ticket);
}

fn count_outcome(arrived: Duration, first: Duration, tally: &mut Tally) {
    let took = first.saturating_sub(arrived);
    if took <= OBJECTIVE {
        tally.on_time += 1;
    } else if took <= 4 * OBJECTIVE {
        tally.late += 1;
    }
}

fn on_time_share(tally: &Tally) -> f64 {
    f64::from(tally.on_time) / f64::from(tally.requests)
}

#[test]
fn below_capacity_prefixes_are_prefilled_once_and_answers_are_on_time() {
    // Four engines prefill 110 cached prompts a second, or 35 uncached ones.
    let ours = simulate(Policy::Core, 80);
    let least = simulate(Policy::LeastOutstanding, 80);
    assert!(on_time_share(&ours) > 0.9, "{ours:?}");
    assert!(
        on_time_share(&least) < on_time_share(&ours),
        "{least:?} against {ours:?}"
    );
    assert!(
        ours.prefilled_tokens < least.prefilled_tokens,
        "{least:?} against {ours:?}"
    );
}

#[test]
fn beyond_capacity_admitted_requests_are_on_time() {
    // 1.5 times the prompts that the engines can prefill.
    let ours = simulate(Policy::Core, 165);
    for policy in [Policy::LeastOutstanding, Policy::RoundRobin] {
        let baseline = simulate(policy, 165);
        assert!(
            on_time_share(&ours) > on_time_share(&baseline) + 0.3,
            "{baseline:?} against {ours:?}"
        );
    }
    assert!(
        on_time_share(&ours) > 0.55,
        "two thirds could be served: {ours:?}"
    );
    assert!(ours.late * 5 < ours.on_time, "{ours:?}");
}
