//! The retry budget: limits retries to a ratio of complete answers.
//!
//! Each host keeps its own budget. The bound is linear in the host's own answers, so the sum over
//! the fleet obeys the same ratio without messages between hosts. While upstreams answer nothing,
//! no retries are earned but the constant `per_second` ones.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// Decides whether an exchange may retry.
pub trait Budget {
    /// Records a complete answer, which earns retries.
    fn deposit(&mut self, now: Duration);

    /// Takes one retry from the budget. False, and nothing is taken, if less than one is left.
    fn withdraw(&mut self, now: Duration) -> bool;
}

/// The rates and the capacity of a [`TokenBucket`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Retries earned by each complete answer.
    pub ratio: f64,
    /// Retries earned each second whatever the traffic, so that a host with few calls can retry.
    pub per_second: f64,
    /// Most retries that the bucket holds.
    pub burst: f64,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            per_second: 0.1,
            burst: 10.0,
        }
    }
}

/// A token bucket filled by complete answers and by time. A token is one retry.
///
/// Over any span of `t` seconds with `n` complete answers it grants at most
/// `ratio * n + per_second * t + burst` retries.
#[derive(Debug)]
pub struct TokenBucket {
    limit: Limit,
    /// Retries that may be taken now.
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// A full bucket at `now`.
    pub fn new(limit: Limit, now: Duration) -> Self {
        Self {
            limit,
            tokens: limit.burst,
            refilled_at: now,
        }
    }

    /// Whether a retry is left.
    pub fn has_retry(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.tokens >= 1.0
    }

    /// Adds the tokens that time has earned since the last call.
    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.add_tokens(elapsed * self.limit.per_second);
    }

    fn add_tokens(&mut self, retries: f64) {
        self.tokens = (self.tokens + retries).min(self.limit.burst);
    }
}

impl Budget for TokenBucket {
    fn deposit(&mut self, now: Duration) {
        self.refill(now);
        self.add_tokens(self.limit.ratio);
    }

    fn withdraw(&mut self, now: Duration) -> bool {
        if !self.has_retry(now) {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// A token bucket shared by all exchanges of a host; clones refer to the same bucket.
#[derive(Debug, Clone)]
pub struct Shared(Arc<Mutex<TokenBucket>>);

impl Shared {
    /// Wraps a bucket for sharing.
    pub fn new(budget: TokenBucket) -> Self {
        Self(Arc::new(Mutex::new(budget)))
    }
}

impl Budget for Shared {
    fn deposit(&mut self, now: Duration) {
        let mut budget = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        budget.deposit(now);
    }

    fn withdraw(&mut self, now: Duration) -> bool {
        let mut budget = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        budget.withdraw(now)
    }
}
