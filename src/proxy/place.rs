//! Choice of an upstream of this region for a request, from predicted times to the first byte.
//!
//! [`choose`] is called by [`super::core::Core::place`], which tries another region or the queue
//! when no upstream here can answer on time.
//!
//! The expected load: regions peak in turn at twice their mean, most of the work is prefill, and
//! prefilling a prefix again that another engine of the region holds costs as much as serving two
//! more requests. So all hosts send a session to the same engine while that one answers on time. An
//! engine's own queue is kept short, because a request that waits at the host can still be reordered,
//! sent elsewhere or refused.

use {
    super::{
        cache::{self, Prefix},
        catalog::{Catalog, INITIAL_SERVICE_MS},
        fingerprint::Fingerprint,
        load,
        quarantine::Suspect,
        replica::{Replica, millis},
        reserve,
        speed::Speed,
        table::{Engine, Match, Pool},
    },
    crate::{name, route::affinity},
    std::{cmp::Reverse, sync::Arc, time::Duration},
};

/// Share of the objective that the predicted time to the first byte may take for an answer to count
/// as on time, including the time already spent. The rest covers the error of the prediction and
/// the way to the caller.
pub const ON_TIME_SHARE: f64 = 0.65;
/// The same share for an answer of another region, whose prediction rests on an older report.
pub const REMOTE_ON_TIME_SHARE: f64 = 0.8;
/// Share of the objective up to which an upstream's own wait allows a late request, so that late
/// requests do not delay those that are on time.
pub const LATE_WAIT_SHARE: f64 = 0.03;
/// Share of the time between arrival and deadline that the prediction of a late answer may take.
const LATE_PATIENCE_SHARE: f64 = 0.6;
/// Weight of the prefill time of uncached tokens in an engine's score, because the requests queued
/// behind are delayed as well.
const PREFILL_WEIGHT: f64 = 4.0;
/// Share of an engine's token memory that may be reserved for requests.
const MEMORY_SHARE: f64 = 0.9;
/// Requests that a plain service may hold for each of its slots; it refuses any beyond that.
const PLAIN_REQUESTS_PER_SLOT: f64 = 3.0;

/// A request to be placed, with what is known of it.
#[derive(Debug, Clone)]
pub struct Job {
    /// Route and customer of the request, with the version of the configuration they come from.
    pub matched: Match,
    /// Pool that serves the request.
    pub pool: name::Pool,
    /// Estimated prompt tokens and largest number of output tokens.
    pub tokens: (u32, u32),
    /// Prefixes of the prompt, from the shortest; empty for plain services.
    pub prefixes: Vec<Prefix>,
    /// Identifies the request among repeats of it.
    pub fingerprint: Fingerprint,
    /// What may be blamed if the request ends an upstream.
    pub suspects: Arc<[Suspect]>,
    /// When the head of the request arrived.
    pub arrived_at: Duration,
    /// When the caller gives up or the route's timeout is over.
    pub deadline: Duration,
    /// Whether the request may be forwarded to another region; false for one that was forwarded
    /// here.
    pub may_forward: bool,
    /// Number of upstreams that the request may be sent to.
    pub max_attempts: u32,
    /// Upstreams that the request has failed at; they are not chosen again.
    pub tried: Vec<name::Upstream>,
    /// Hosts of other regions at which an attempt is late; they are not chosen beside it.
    pub avoided_hosts: Vec<name::Host>,
    /// The only build that may serve the request, as it began the stream that is resumed.
    pub build: Option<name::Build>,
}

/// An upstream chosen for a job, with the prediction behind the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Name of the upstream.
    pub upstream: name::Upstream,
    /// Predicted time to the first byte, in milliseconds.
    pub predicted_ms: f64,
    /// Prompt tokens that the engine prefills before the first event, this request's included.
    pub prefill_tokens: f64,
    /// Prompt tokens of this request that are not in the engine's cache.
    pub uncached_tokens: u32,
    /// Whether the answer is predicted to be on time.
    pub is_on_time: bool,
}

impl Job {
    /// Time since the arrival, in milliseconds.
    pub fn elapsed_ms(&self, now: Duration) -> f64 {
        millis(now.saturating_sub(self.arrived_at))
    }

    /// The route's objective for the time to the first byte, in milliseconds.
    pub fn objective_ms(&self) -> f64 {
        millis(self.matched.route.objective)
    }

    /// Whether an upstream's build may serve the request.
    pub fn allows_build(&self, replica: &Replica) -> bool {
        let build = self.build.as_ref();
        build.is_none_or(|build| *build == replica.entry.build)
    }

    /// If every eligible upstream has failed the request, allows them again.
    pub fn allow_tried_upstreams_if_none_is_left(&mut self, catalog: &Catalog) {
        let is_untried =
            |replica: &Replica| !replica.reach.is_lost() && !self.tried.contains(&replica.entry.id);
        if !catalog.eligible_for(self).any(is_untried) {
            self.tried.clear();
        }
    }

    fn prompt_tokens(&self) -> u32 {
        cache::total_tokens(self.prefixes.iter()).max(self.tokens.0)
    }

    /// `Some(true)` if the answer is on time, `Some(false)` if it is late but the upstream may take
    /// the request, `None` if the upstream must not take it.
    fn timeliness(&self, now: Duration, predicted_ms: f64, wait_ms: f64) -> Option<bool> {
        let done_ms = self.elapsed_ms(now) + predicted_ms;
        if done_ms <= ON_TIME_SHARE * self.objective_ms() {
            return Some(true);
        }
        let patience_ms = millis(self.deadline.saturating_sub(self.arrived_at));
        // A stream that must go on at its build has few upstreams to wait for.
        let may_wait = self.build.is_some() || wait_ms <= LATE_WAIT_SHARE * self.objective_ms();
        let may_be_late = may_wait && done_ms <= LATE_PATIENCE_SHARE * patience_ms;
        may_be_late.then_some(false)
    }
}

/// Chooses the best upstream of this region for a job; `None` if none can take it now.
///
/// Upstreams that are silent, full or ejected are used only if all usable ones are. `may_send` tells
/// whether the rate of an upstream allows another request of this host. `hosts` is the number of hosts
/// of the region, which choose without knowing what the others choose meanwhile. `most_urgent` is the
/// priority of the route that slots are kept for; see [`reserve`].
pub fn choose(
    catalog: &Catalog,
    pool: &Pool,
    job: &Job,
    now: Duration,
    hosts: usize,
    most_urgent: Option<u8>,
    may_send: impl Fn(&Replica, &Pool) -> bool,
) -> Option<Choice> {
    let usable: Vec<_> = catalog
        .eligible_for(job)
        .filter(|replica| !job.tried.contains(&replica.entry.id))
        .filter(|replica| may_send(replica, pool))
        .collect();
    let available: Vec<_> = usable
        .iter()
        .copied()
        .filter(|replica| replica.is_available(now))
        .collect();
    let candidates = if available.is_empty() {
        &usable
    } else {
        &available
    };
    match pool.engine {
        Some(engine) => {
            let slots = reserve::open_slots(engine.slots, job.matched.route.priority, most_urgent);
            let engine = Engine { slots, ..engine };
            choose_engine(catalog, pool, engine, job, now, candidates, hosts)
        }
        None => choose_plain(catalog, pool, job, now, candidates),
    }
}

fn choose_engine(
    catalog: &Catalog,
    pool: &Pool,
    engine: Engine,
    job: &Job,
    now: Duration,
    candidates: &[&Replica],
    hosts: usize,
) -> Option<Choice> {
    let speed = learned_speed(catalog, &pool.name);
    let holder = session_engine(job, candidates);
    let held_at = holder.map(|holder| holder.point);
    let evaluate = |replica: &&Replica| evaluate_engine(engine, speed, job, now, replica, held_at);
    let near = holder.as_ref().and_then(evaluate);
    if near.as_ref().is_some_and(|near| near.choice.is_on_time) {
        return near.map(|near| near.choice);
    }
    // Each request looks at other engines, and all hosts together at each engine about once: hosts
    // that looked for the least loaded engine of all would find the same one.
    let mut others: Vec<_> = candidates
        .iter()
        .filter(|replica| Some(replica.point) != held_at)
        .collect();
    let key = job.fingerprint.0;
    others.sort_unstable_by_key(|replica| Reverse(affinity::weight(key, replica.point)));
    if holder.is_some() {
        others.truncate((candidates.len() / hosts.max(1)).max(1));
    }
    let others = others.into_iter().filter_map(evaluate);
    let far = others.min_by(|left, right| left.score.total_cmp(&right.score));
    match (near, far) {
        (_, Some(far)) if far.choice.is_on_time => Some(far.choice),
        (near, far) => near.or(far).map(|candidate| candidate.choice),
    }
}

/// An upstream that may take a job.
struct Candidate {
    choice: Choice,
    /// Predicted cost, or the result of a draw by it; the least is chosen.
    score: f64,
}

/// Predicts when an engine begins to answer; `None` if it must not take the job.
fn evaluate_engine(
    engine: Engine,
    (tokens_per_ms, base_ms): (f64, f64),
    job: &Job,
    now: Duration,
    replica: &Replica,
    assumed_holder: Option<u64>,
) -> Option<Candidate> {
    let prompt_tokens = job.prompt_tokens();
    let running = replica.running(now);
    let memory_tokens =
        replica.memory_tokens(now) + u64::from(prompt_tokens) + u64::from(job.tokens.1);
    let is_full = memory_tokens as f64 > MEMORY_SHARE * engine.memory_tokens as f64;
    if running >= engine.slots || (is_full && running > 0) {
        return None;
    }
    let slowness = replica.slowness(now);
    let tokens_ahead = replica.prefill_ahead(now, job.matched.priority, tokens_per_ms);
    let mut cached_tokens = replica.cache.cached_tokens(&job.prefixes);
    if assumed_holder == Some(replica.point) {
        cached_tokens = cached_tokens.max(shared_tokens(&job.prefixes));
    }
    let uncached_tokens = prompt_tokens.saturating_sub(cached_tokens);
    let prefill_tokens = tokens_ahead + f64::from(uncached_tokens);
    let wait_ms = slowness * tokens_ahead / tokens_per_ms;
    let predicted_ms = slowness * (base_ms + prefill_tokens / tokens_per_ms);
    let is_on_time = job.timeliness(now, predicted_ms, wait_ms)?;
    let late_ms = if is_on_time { 0.0 } else { job.objective_ms() };
    let prefill_ms = slowness * f64::from(uncached_tokens) / tokens_per_ms;
    Some(Candidate {
        choice: Choice {
            upstream: replica.entry.id.clone(),
            predicted_ms,
            prefill_tokens,
            uncached_tokens,
            is_on_time,
        },
        score: late_ms + wait_ms + PREFILL_WEIGHT * prefill_ms,
    })
}

/// Tokens of all parts of a prompt but the last, which other requests of the session share.
fn shared_tokens(prefixes: &[Prefix]) -> u32 {
    cache::total_tokens(prefixes.iter().rev().skip(1))
}

/// The engine that all hosts of the region send a session to, by rendezvous hashing. So they need not
/// tell each other which engine holds its prefix. `None` for a request without a prompt.
fn session_engine<'a>(job: &Job, candidates: &[&'a Replica]) -> Option<&'a Replica> {
    let prefix = cache::session_prefix(&job.prefixes).or(job.prefixes.first())?;
    let engines = candidates.iter().copied();
    engines.max_by_key(|replica| affinity::weight(prefix.hash, replica.point))
}

fn choose_plain(
    catalog: &Catalog,
    pool: &Pool,
    job: &Job,
    now: Duration,
    candidates: &[&Replica],
) -> Option<Choice> {
    let service_ms = catalog
        .estimates(&pool.name)
        .map_or(INITIAL_SERVICE_MS, |estimates| estimates.service_ms);
    let has_readings = |replica: &&Replica| replica.load.requests(now).is_some();
    let is_drawn = candidates.iter().any(has_readings);
    let draw = affinity::mix(job.fingerprint.0 ^ now.as_nanos() as u64);
    candidates
        .iter()
        .filter_map(|replica| {
            let slots = f64::from(replica.entry.slots.max(1));
            let running = f64::from(replica.running(now));
            if running >= slots * PLAIN_REQUESTS_PER_SLOT {
                return None;
            }
            let (requests, slots) = (replica.requests(now), f64::from(replica.slots(now)));
            let wait_ms = (f64::from(requests) + 1.0 - slots).max(0.0) / slots
                * (replica.slowdown(now) * service_ms);
            let predicted_ms = replica.slowness(now) * service_ms + wait_ms;
            let is_on_time = job.timeliness(now, predicted_ms, wait_ms)?;
            let score = if is_drawn {
                load::score(predicted_ms, affinity::weight(draw, replica.point))
            } else {
                predicted_ms
            };
            let choice = Choice {
                upstream: replica.entry.id.clone(),
                predicted_ms,
                prefill_tokens: 0.0,
                uncached_tokens: 0,
                is_on_time,
            };
            Some(Candidate { choice, score })
        })
        .min_by(|left, right| {
            let by_time = right.choice.is_on_time.cmp(&left.choice.is_on_time);
            by_time.then(left.score.total_cmp(&right.score))
        })
        .map(|candidate| candidate.choice)
}

/// The learned speed of a pool: prompt tokens prefilled per millisecond, and the milliseconds
/// before the first event that do not depend on the prompt.
pub fn learned_speed(catalog: &Catalog, pool: &name::Pool) -> (f64, f64) {
    match catalog.estimates(pool) {
        Some(estimates) => (estimates.speed.tokens_per_ms(), estimates.speed.base_ms()),
        None => {
            let speed = Speed::new();
            (speed.tokens_per_ms(), speed.base_ms())
        }
    }
}
