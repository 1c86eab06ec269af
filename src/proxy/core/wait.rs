//! How requests wait, and when they are refused instead.

use {
    super::{Core, Placement},
    crate::{
        name,
        proxy::place::{self, Job},
    },
    rand::RngExt,
    std::time::Duration,
};

/// Share of the objective for which a request may wait here for an upstream.
const WAIT_SHARE: f64 = 0.15;
/// Waiting requests that are looked at when something becomes free.
const LOOK_AT: usize = 48;
/// Shortest time after which a refused caller is asked to come back.
const RETRY_AFTER_LEAST: Duration = Duration::from_millis(150);
/// Longest time after which a refused caller is asked to come back.
const RETRY_AFTER_MOST: Duration = Duration::from_secs(3);
/// Time over which refused callers are spread.
const RETRY_AFTER_SPREAD: Duration = Duration::from_secs(2);
/// Prompt tokens that a waiting request is taken to need, at the most: what is usually not cached.
const QUEUED_TOKENS: f64 = 4_000.0;
/// Share of a prompt that is taken to be uncached before an upstream is chosen.
const UNCACHED_SHARE: f64 = 0.4;

impl Core {
    /// Lets a request wait; returns its place in the queue.
    pub fn enqueue(&mut self, job: Job) -> (u8, u64) {
        self.tickets += 1;
        let place = (job.matched.priority, self.tickets);
        self.waiting.insert(place, job);
        place
    }

    /// Takes a request out of the queue.
    pub fn dequeue(&mut self, place: (u8, u64)) -> Option<Job> {
        self.waiting.remove(&place)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Places waiting requests in order, as far as that can be done now.
    pub fn pump(&mut self, now: Duration) -> Vec<((u8, u64), Placement)> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let first: Vec<_> = self.waiting.keys().take(LOOK_AT).copied().collect();
        let mut placed = Vec::new();
        for place in first {
            let Some(job) = self.waiting.remove(&place) else {
                continue;
            };
            match self.place(now, &job) {
                Placement::Wait => {
                    self.waiting.insert(place, job);
                }
                placement => placed.push((place, placement)),
            }
        }
        placed
    }

    /// How long a request may wait here for an upstream; nothing if it is known by now that none
    /// will be free in time.
    pub fn wait_limit(&self, now: Duration, job: &Job) -> Duration {
        if self.is_hopeless(now, job) {
            return Duration::ZERO;
        }
        let until = job.arrived + job.matched.route.objective.mul_f64(WAIT_SHARE);
        until.min(job.deadline).saturating_sub(now)
    }

    /// Whether waiting would end without an upstream: the least loaded engine, and what waits here
    /// before this request, take longer to get to it than it may wait.
    fn is_hopeless(&self, now: Duration, job: &Job) -> bool {
        let pool = self.table.as_ref().and_then(|table| table.pool(&job.pool));
        let Some(pool) = pool.filter(|_| job.matched.allows(&self.setup.own.region)) else {
            return true;
        };
        if pool.engine.is_none() {
            return false;
        }
        let rank = job.matched.priority;
        let (rate, base) = place::speed(&self.catalog, &job.pool);
        let open = self.catalog.eligible(&job.pool);
        let waits: Vec<_> = open
            .filter(|replica| replica.is_available(now))
            .map(|replica| replica.prefill_ahead(now, rank, rate) / rate)
            .collect();
        let Some(least) = waits.iter().copied().min_by(f64::total_cmp) else {
            return true;
        };
        let prompt = f64::from(job.tokens.0);
        let before = self
            .waiting
            .iter()
            .filter(|((other, _), waiting)| *other <= rank && waiting.pool == job.pool)
            .count();
        let queued = before as f64 * prompt.min(QUEUED_TOKENS) / (rate * waits.len() as f64);
        let begun = job.elapsed_ms(now) + base + least + UNCACHED_SHARE * prompt / rate;
        let excess = begun - place::ON_TIME * job.objective_ms();
        queued + excess > WAIT_SHARE * job.objective_ms()
    }

    /// When a refused caller should come back: when the least loaded upstream will have read what
    /// it has, and then spread over some time, as callers who come back together are refused
    /// together.
    pub fn retry_after(&mut self, now: Duration, pool: &name::Pool) -> Duration {
        let (rate, _) = place::speed(&self.catalog, pool);
        let ahead = self
            .catalog
            .eligible(pool)
            .map(|replica| replica.prefill_ahead(now, u8::MAX, rate) / rate)
            .fold(f64::INFINITY, f64::min);
        let wait = if ahead.is_finite() {
            Duration::from_secs_f64(ahead / 1_000.0)
        } else {
            RETRY_AFTER_MOST / 2
        };
        let spread = RETRY_AFTER_SPREAD.mul_f64(self.rng.random());
        wait.clamp(RETRY_AFTER_LEAST, RETRY_AFTER_MOST) + spread
    }
}
