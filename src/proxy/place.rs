//! Where a request goes: an upstream of this region that can answer in time, else another region
//! that can, else it waits here, in order, while that is of use.
//!
//! The load this is made for: regions peak in turn at twice their mean, most of the work is
//! reading prompts, and reading one again that an engine of the region holds costs as much as
//! serving two more requests. So a prompt goes to the engine that holds its prefix unless the wait
//! there is longer than reading it elsewhere, and an engine's own queue is kept short: what waits
//! here can still be reordered, sent elsewhere or refused.

use {
    super::{
        cache::{self, Prefix},
        catalog::{Catalog, INITIAL_SERVICE_MS},
        replica::{Replica, millis},
        speed::Speed,
        table::{Engine, Match, Pool},
    },
    crate::{name, route::affinity},
    std::time::Duration,
};

/// Share of the objective that the predicted time to the first byte may take, the time already
/// spent included. What remains covers the error of the prediction and the way to the caller.
pub const ON_TIME_SHARE: f64 = 0.65;
/// The same for an answer of another region, whose prediction is older.
pub const REMOTE_ON_TIME_SHARE: f64 = 0.8;
/// An upstream takes late work only while its own wait is below this share of the objective, so
/// that late work delays none that is on time.
pub const LATE_WAIT_SHARE: f64 = 0.15;
/// Share of the caller's patience that a late answer's prediction may take.
const LATE_PATIENCE_SHARE: f64 = 0.6;
/// How much reading an uncached prefix counts beside its own time: it also takes the time of the
/// requests behind it.
const PREFILL_WEIGHT: f64 = 4.0;
/// Share of an engine's memory that may be promised.
const MEMORY_SHARE: f64 = 0.9;
/// Requests that a plain service may hold for each of its slots; it turns away what is beyond.
const PLAIN_REQUESTS_PER_SLOT: f64 = 3.0;

/// A request to be placed.
#[derive(Debug, Clone)]
pub struct Job {
    /// What the configuration says of it.
    pub matched: Match,
    /// The pool that serves it.
    pub pool: name::Pool,
    /// Prompt and output tokens.
    pub tokens: (u32, u32),
    /// Its prompt's prefixes.
    pub chain: Vec<Prefix>,
    /// When its head arrived.
    pub arrived_at: Duration,
    /// When its caller leaves or its route's time is over.
    pub deadline: Duration,
    /// Whether a host of another region may be asked to place it; never for one that was forwarded.
    pub may_forward: bool,
    /// Upstreams to which it may be sent.
    pub attempts: u32,
    /// Upstreams that have failed it.
    pub tried: Vec<name::Upstream>,
}

/// An upstream that can take a job.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: name::Upstream,
    /// Predicted time to the first byte, in milliseconds.
    pub predicted_ms: f64,
    /// Tokens to be read before the first event, this request's included.
    pub prefill_tokens: f64,
    /// Tokens of its own prompt to be read.
    pub uncached_tokens: u32,
    /// Whether the answer is predicted on time.
    pub is_on_time: bool,
}

impl Job {
    /// Time since it arrived, in milliseconds.
    pub fn elapsed_ms(&self, now: Duration) -> f64 {
        millis(now.saturating_sub(self.arrived_at))
    }

    /// The objective in milliseconds.
    pub fn objective_ms(&self) -> f64 {
        millis(self.matched.route.objective)
    }

    fn prompt_tokens(&self) -> u32 {
        let parts: u32 = self.chain.iter().map(|link| link.tokens).sum();
        parts.max(self.tokens.0)
    }

    fn timeliness(&self, now: Duration, predicted_ms: f64, wait_ms: f64) -> Option<bool> {
        let done = self.elapsed_ms(now) + predicted_ms;
        if done <= ON_TIME_SHARE * self.objective_ms() {
            return Some(true);
        }
        let patience = millis(self.deadline.saturating_sub(self.arrived_at));
        let late = wait_ms <= LATE_WAIT_SHARE * self.objective_ms()
            && done <= LATE_PATIENCE_SHARE * patience;
        late.then_some(false)
    }
}

/// The best upstream of this region for a job, if one can take it now.
pub fn choose(
    catalog: &Catalog,
    pool: &Pool,
    job: &Job,
    now: Duration,
    cold_share: impl Fn(&Replica, &Pool) -> usize,
) -> Option<Choice> {
    let usable: Vec<_> = catalog
        .eligible(&pool.name)
        .filter(|replica| !job.tried.contains(&replica.entry.id))
        .filter(|replica| {
            pool.cold_per_s <= 0.0
                || !replica.is_cold(now)
                || replica.recent_sends(now) < cold_share(replica, pool)
        })
        .collect();
    let open: Vec<_> = usable
        .iter()
        .copied()
        .filter(|replica| replica.is_available(now))
        .collect();
    let candidates = if open.is_empty() { &usable } else { &open };
    match pool.engine {
        Some(engine) => choose_engine(catalog, pool, engine, job, now, candidates),
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
) -> Option<Choice> {
    let (rate, base) = learned_speed(catalog, &pool.name);
    let prompt = job.prompt_tokens();
    let home = session_engine(job, candidates);
    let mut best: Option<(f64, Choice)> = None;
    for replica in candidates {
        let running = replica.running(now);
        let memory = replica.memory_tokens(now) + u64::from(prompt) + u64::from(job.tokens.1);
        let full = memory as f64 > MEMORY_SHARE * engine.memory_tokens as f64;
        if running >= engine.slots || (full && running > 0) {
            continue;
        }
        let slowness = replica.slowness(now);
        let ahead = replica.prefill_ahead(now, job.matched.priority, rate);
        let mut cached = replica.cache.cached_tokens(&job.chain);
        if home == Some(replica.point) {
            cached = cached.max(shared_tokens(&job.chain));
        }
        let uncached = prompt.saturating_sub(cached);
        let reading = ahead + f64::from(uncached);
        let wait_ms = slowness * ahead / rate;
        let predicted_ms = slowness * (base + reading / rate);
        let Some(on_time) = job.timeliness(now, predicted_ms, wait_ms) else {
            continue;
        };
        let late = if on_time { 0.0 } else { job.objective_ms() };
        let score = late + wait_ms + PREFILL_WEIGHT * slowness * f64::from(uncached) / rate;
        if best.as_ref().is_none_or(|(least, _)| score < *least) {
            let choice = Choice {
                upstream: replica.entry.id.clone(),
                predicted_ms,
                prefill_tokens: reading,
                uncached_tokens: uncached,
                is_on_time: on_time,
            };
            best = Some((score, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Tokens of all parts but the last.
fn shared_tokens(chain: &[Prefix]) -> u32 {
    let shared = chain.iter().rev().skip(1);
    shared.map(|link| link.tokens).sum()
}

/// The engine that every host of the region takes for the holder of a session's prefix, if this
/// host knows of no holder itself.
fn session_engine(job: &Job, candidates: &[&Replica]) -> Option<u64> {
    let session = cache::session_prefix(&job.chain).or(job.chain.first())?;
    let until = shared_tokens(&job.chain);
    let known = candidates
        .iter()
        .any(|replica| replica.cache.cached_tokens(&job.chain) >= until);
    if known {
        return None;
    }
    candidates
        .iter()
        .map(|replica| replica.point)
        .max_by_key(|point| affinity::weight(session.hash, *point))
}

fn choose_plain(
    catalog: &Catalog,
    pool: &Pool,
    job: &Job,
    now: Duration,
    candidates: &[&Replica],
) -> Option<Choice> {
    let service = catalog
        .estimates(&pool.name)
        .map_or(INITIAL_SERVICE_MS, |model| model.service_ms);
    candidates
        .iter()
        .filter_map(|replica| {
            let slots = f64::from(replica.entry.slots.max(1));
            let running = f64::from(replica.running(now));
            if running >= slots * PLAIN_REQUESTS_PER_SLOT {
                return None;
            }
            let wait_ms = (running + 1.0 - slots).max(0.0) / slots * service;
            let predicted_ms = replica.slowness(now) * service + wait_ms;
            let on_time = job.timeliness(now, predicted_ms, wait_ms)?;
            Some(Choice {
                upstream: replica.entry.id.clone(),
                predicted_ms,
                prefill_tokens: 0.0,
                uncached_tokens: 0,
                is_on_time: on_time,
            })
        })
        .min_by(|left, right| left.predicted_ms.total_cmp(&right.predicted_ms))
}

/// Tokens a millisecond, and milliseconds that don't depend on the prompt.
pub fn learned_speed(catalog: &Catalog, pool: &name::Pool) -> (f64, f64) {
    match catalog.estimates(pool) {
        Some(model) => (model.speed.tokens_per_ms(), model.speed.base_ms()),
        None => {
            let speed = Speed::new();
            (speed.tokens_per_ms(), speed.base_ms())
        }
    }
}
