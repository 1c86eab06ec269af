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
const MAX_WAIT_SHARE: f64 = 0.15;
/// Waiting requests that are looked at when something becomes free.
const MAX_EXAMINED: usize = 48;
/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Longest time after which a refused caller is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Time over which refused callers are spread.
const RETRY_AFTER_JITTER: Duration = Duration::from_secs(2);
/// Prompt tokens that a waiting request is taken to need, at the most: what is usually not cached.
const MAX_QUEUED_TOKENS: f64 = 4_000.0;
/// Share of a prompt that is taken to be uncached before an upstream is chosen.
const UNCACHED_SHARE: f64 = 0.4;

impl Core {
    /// Lets a request wait; returns its place in the queue.
    pub fn enqueue(&mut self, job: Job) -> (u8, u64) {
        self.last_ticket += 1;
        let place = (job.matched.priority, self.last_ticket);
        self.queue.insert(place, job);
        place
    }

    /// Takes a request out of the queue.
    pub fn dequeue(&mut self, place: (u8, u64)) -> Option<Job> {
        self.queue.remove(&place)
    }

    /// Requests that wait.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Places waiting requests in order, as far as that can be done now.
    pub fn place_waiting(&mut self, now: Duration) -> Vec<((u8, u64), Placement)> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let first: Vec<_> = self.queue.keys().take(MAX_EXAMINED).copied().collect();
        let mut placed = Vec::new();
        for place in first {
            let Some(job) = self.queue.remove(&place) else {
                continue;
            };
            match self.place(now, &job) {
                Placement::Wait => {
                    self.queue.insert(place, job);
                }
                placement => placed.push((place, placement)),
            }
        }
        placed
    }

    /// How long a request may wait here for an upstream; nothing if it is known by now that none
    /// will be free in time.
    pub fn wait_limit(&self, now: Duration, job: &Job) -> Duration {
        if self.would_wait_too_long(now, job) {
            return Duration::ZERO;
        }
        let until = job.arrived_at + job.matched.route.objective.mul_f64(MAX_WAIT_SHARE);
        until.min(job.deadline).saturating_sub(now)
    }

    /// Whether waiting would end without an upstream: the least loaded engine, and what waits here
    /// before this request, take longer to get to it than it may wait.
    fn would_wait_too_long(&self, now: Duration, job: &Job) -> bool {
        let pool = self.table.as_ref().and_then(|table| table.pool(&job.pool));
        let Some(pool) = pool.filter(|_| job.matched.allows(&self.setup.identity.region)) else {
            return true;
        };
        if pool.engine.is_none() {
            return false;
        }
        let rank = job.matched.priority;
        let (rate, base) = place::learned_speed(&self.catalog, &job.pool);
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
            .queue
            .iter()
            .filter(|((other, _), waiting)| *other <= rank && waiting.pool == job.pool)
            .count();
        let queued = before as f64 * prompt.min(MAX_QUEUED_TOKENS) / (rate * waits.len() as f64);
        let begun = job.elapsed_ms(now) + base + least + UNCACHED_SHARE * prompt / rate;
        let excess = begun - place::ON_TIME_SHARE * job.objective_ms();
        queued + excess > MAX_WAIT_SHARE * job.objective_ms()
    }

    /// When a refused caller should come back: when the least loaded upstream will have read what
    /// it has, and then spread over some time, as callers who come back together are refused
    /// together.
    pub fn retry_after(&mut self, now: Duration, pool: &name::Pool) -> Duration {
        let (rate, _) = place::learned_speed(&self.catalog, pool);
        let ahead = self
            .catalog
            .eligible(pool)
            .map(|replica| replica.prefill_ahead(now, u8::MAX, rate) / rate)
            .fold(f64::INFINITY, f64::min);
        let wait = if ahead.is_finite() {
            Duration::from_secs_f64(ahead / 1_000.0)
        } else {
            MAX_RETRY_AFTER / 2
        };
        let spread = RETRY_AFTER_JITTER.mul_f64(self.rng.random());
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) + spread
    }
}
