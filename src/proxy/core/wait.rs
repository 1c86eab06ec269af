//! The queue of requests that no upstream can take yet: order, longest wait, and the delay after
//! which a refused caller should try again. Counts placements and rejections, which that delay depends on.

use {
    super::{Core, Placement},
    crate::{
        name,
        proxy::{
            place::{self, Job},
            replica::millis,
            retry,
            throttle::Rate,
        },
    },
    rand::RngExt,
    std::time::Duration,
};

/// Share of the objective that a request may wait in the queue for an upstream.
const MAX_WAIT_SHARE: f64 = 0.15;
/// Largest number of waiting requests that are tried when an upstream may have become free.
const MAX_EXAMINED: usize = 48;
/// Shortest delay before a retry that a refused caller is told, without the jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Longest delay before a retry that a refused caller is told, without the jitter, unless all upstreams
/// rest for longer and no other region has any.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Time over which the retries of refused callers are spread.
const RETRY_AFTER_JITTER: Duration = Duration::from_secs(2);
/// Largest number of prompt tokens that is counted for a waiting request, as the rest of a prompt
/// is usually cached.
const MAX_QUEUED_TOKENS: f64 = 4_000.0;
/// Share of a prompt that is assumed to be uncached before an upstream is chosen.
const UNCACHED_SHARE: f64 = 0.4;

impl Core {
    /// Places a request, as [`Core::decide`] does, and counts it if it was placed.
    pub fn place(&mut self, now: Duration, job: &Job) -> Placement {
        let placement = self.decide(now, job);
        if matches!(placement, Placement::Local(_) | Placement::Remote(_)) {
            let overload = self.overloads.entry(job.pool.clone()).or_default();
            overload.record_placement(now);
        }
        placement
    }

    /// Counts a request whose caller is told that the pool has no capacity.
    pub fn record_rejection(&mut self, now: Duration, pool: &name::Pool) {
        let overload = self.overloads.entry(pool.clone()).or_default();
        overload.record_rejection(now);
    }

    /// Returns the overloads of pools that have begun or ended since the last call, and drops the state
    /// of pools without requests.
    pub fn take_overload_changes(&mut self, now: Duration) -> Vec<(name::Pool, retry::Change)> {
        let overloads = self.overloads.iter_mut();
        let changes = overloads
            .filter_map(|(pool, overload)| Some((pool.clone(), overload.take_change(now)?)))
            .collect();
        self.overloads.retain(|_, overload| !overload.is_empty());
        changes
    }

    /// Adds a request to the queue. Returns its position: the priority, and a number that is higher
    /// than that of any earlier request.
    pub fn enqueue(&mut self, job: Job) -> (u8, u64) {
        self.last_ticket += 1;
        let position = (job.matched.priority, self.last_ticket);
        self.queue.insert(position, job);
        position
    }

    /// Removes a request from the queue; `None` if it has left the queue already.
    pub fn dequeue(&mut self, position: (u8, u64)) -> Option<Job> {
        self.queue.remove(&position)
    }

    /// Number of requests in the queue.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Places the first waiting requests, in order. Those that nothing can take now keep their
    /// position in the queue.
    pub fn place_waiting(&mut self, now: Duration) -> Vec<((u8, u64), Placement)> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let first: Vec<_> = self.queue.keys().take(MAX_EXAMINED).copied().collect();
        let mut placed = Vec::new();
        for position in first {
            let Some(job) = self.queue.remove(&position) else {
                continue;
            };
            match self.place(now, &job) {
                Placement::Wait => {
                    self.queue.insert(position, job);
                }
                placement => placed.push((position, placement)),
            }
        }
        placed
    }

    /// How long a request may wait in the queue; zero if no upstream is expected to be free in
    /// time.
    pub fn wait_limit(&self, now: Duration, job: &Job) -> Duration {
        if self.would_wait_too_long(now, job) {
            return Duration::ZERO;
        }
        let until = job.arrived_at + job.matched.route.objective.mul_f64(MAX_WAIT_SHARE);
        until.min(job.deadline).saturating_sub(now)
    }

    /// Whether a request would wait without result, because the least loaded engine and the
    /// requests ahead in the queue take longer than it may wait.
    fn would_wait_too_long(&self, now: Duration, job: &Job) -> bool {
        let pool = self.table.as_ref().and_then(|table| table.pool(&job.pool));
        let Some(pool) = pool.filter(|_| job.matched.allows(&self.setup.identity.region)) else {
            return true;
        };
        let upstreams = self.catalog.eligible_for(job);
        let open = upstreams.filter(|replica| self.is_open(now, job, replica));
        let Some(shortest_rest) = open.map(|replica| replica.rest.left(now)).min() else {
            return true;
        };
        let longest = job.objective_ms() * MAX_WAIT_SHARE - job.elapsed_ms(now);
        if !shortest_rest.is_zero() && millis(shortest_rest) > longest {
            return true;
        }
        if self
            .limited_wait(now, job)
            .is_some_and(|wait| millis(wait) > longest)
        {
            return true;
        }
        if pool.engine.is_none() {
            return false;
        }
        let rank = job.matched.priority;
        let (tokens_per_ms, base_ms) = place::learned_speed(&self.catalog, &job.pool);
        let replicas = self.catalog.eligible_for(job);
        let waits_ms: Vec<_> = replicas
            .filter(|replica| {
                self.is_open(now, job, replica)
                    && (replica.reach.is_lost() || replica.is_available(now))
            })
            .map(|replica| {
                let prefill_ms = replica.prefill_ahead(now, rank, tokens_per_ms) / tokens_per_ms;
                prefill_ms.max(millis(replica.rest.left(now)))
            })
            .collect();
        let Some(shortest_ms) = waits_ms.iter().copied().min_by(f64::total_cmp) else {
            return true;
        };
        let prompt_tokens = f64::from(job.tokens.0);
        let queued_ms = self.requests_ahead(job) as f64 * prompt_tokens.min(MAX_QUEUED_TOKENS)
            / (tokens_per_ms * waits_ms.len() as f64);
        let start_ms = job.elapsed_ms(now)
            + base_ms
            + shortest_ms
            + UNCACHED_SHARE * prompt_tokens / tokens_per_ms;
        let excess_ms = start_ms - place::ON_TIME_SHARE * job.objective_ms();
        queued_ms + excess_ms > MAX_WAIT_SHARE * job.objective_ms()
    }

    /// Number of waiting requests for the same pool that go before a request.
    fn requests_ahead(&self, job: &Job) -> usize {
        let rank = job.matched.priority;
        let waiting = self.queue.iter();
        waiting
            .filter(|((other, _), waiting)| *other <= rank && waiting.pool == job.pool)
            .count()
    }

    /// Time until a request's turn where all upstreams that are available name limits; `None` where
    /// one names none, or none is available.
    fn limited_wait(&self, now: Duration, job: &Job) -> Option<Duration> {
        let (mut tokens, mut per_second) = (0.0, 0.0);
        let replicas = self.catalog.eligible_for(job);
        let mut available = replicas
            .filter(|replica| replica.is_available(now))
            .peekable();
        available.peek()?;
        for replica in available {
            let share = self.limit_share(now, replica)?;
            tokens += replica.throttle.tokens(now, &share).floor();
            per_second += share.per_second;
        }
        let missing = (self.requests_ahead(job) as f64 + 1.0 - tokens).max(0.0);
        if missing > 0.0 && per_second <= 0.0 {
            return Some(Duration::MAX);
        }
        let wait = Duration::try_from_secs_f64(missing / per_second.max(f64::MIN_POSITIVE));
        Some(wait.unwrap_or(Duration::MAX))
    }

    /// Delay after which a refused caller should try again: the time in which the least loaded
    /// upstream prefills what it has, or until the first one has rested, plus jitter, because callers
    /// that return together would be refused together. In an overload of the pool the delay follows how
    /// long that is expected to last; see [`retry::Overload`].
    pub fn retry_after(&mut self, now: Duration, job: &Job) -> Duration {
        let pool = &job.pool;
        let (tokens_per_ms, _) = place::learned_speed(&self.catalog, pool);
        let ahead_ms = self
            .catalog
            .eligible(pool)
            .map(|replica| replica.prefill_ahead(now, u8::MAX, tokens_per_ms) / tokens_per_ms)
            .fold(f64::INFINITY, f64::min);
        let wait = if ahead_ms.is_finite() {
            Duration::from_secs_f64(ahead_ms / 1_000.0)
        } else {
            MAX_RETRY_AFTER / 2
        };
        let limits = self.catalog.eligible(pool);
        let limits = limits.map(|replica| replica.throttle.limit().map(Rate::per_second));
        let limit: Option<f64> = limits.sum();
        // Callers that return sooner than the limits of all upstreams allow are refused again.
        let turn = limit.filter(|limit| *limit > 0.0).map_or(0.0, |limit| {
            (self.queue.len() as f64 + 1.0) / limit.max(1.0 / MAX_RETRY_AFTER.as_secs_f64())
        });
        let eligible = self.catalog.eligible(pool);
        let rests = eligible.map(|replica| replica.rest.left(now));
        let rest = rests.min().unwrap_or_default();
        let asked = rest.max(Duration::from_secs_f64(turn));
        let is_elsewhere = self.relays(now).any(|peer| peer.spare.contains_key(pool));
        let longest = if is_elsewhere {
            MAX_RETRY_AFTER
        } else {
            MAX_RETRY_AFTER.max(rest)
        };
        let draw = self.rng.random();
        let jitter = RETRY_AFTER_JITTER.mul_f64(draw);
        let time_left = job.deadline.saturating_sub(now);
        let shortest = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let overload = self.overloads.get(pool);
        match overload.and_then(|overload| overload.delay(now, shortest, time_left, draw)) {
            Some(delay) if asked.is_zero() => delay,
            Some(delay) => delay.max(asked.min(longest) + jitter),
            None => wait.max(asked).clamp(MIN_RETRY_AFTER, longest) + jitter,
        }
    }
}
