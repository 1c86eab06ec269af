//! The retry budget: retries are bounded by a share of whole answers.
//!
//! Each host keeps its own budget. Every bound is linear in the host's own answers, so the sum over
//! the fleet obeys the same ratio with no message between hosts. While upstreams answer nothing,
//! nothing is earned and retries cease.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// Who grants retries.
pub trait Budget {
    /// Notes a whole answer.
    fn deposit(&mut self, now: Duration);

    /// Whether one more attempt may be sent; it is taken from the budget.
    fn withdraw(&mut self, now: Duration) -> bool;
}

/// What a budget allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Retries earned by one whole answer.
    pub ratio: f64,
    /// Retries earned by a second, whatever the traffic, so that a quiet host can retry too.
    pub per_second: f64,
    /// Most retries that can be saved up.
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

/// A token bucket filled by whole answers.
///
/// Over any span that saw `n` answers in `t` seconds it grants at most
/// `ratio * n + per_second * t + burst` retries.
#[derive(Debug)]
pub struct TokenBucket {
    limit: Limit,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// A full budget at `now`.
    pub fn new(limit: Limit, now: Duration) -> Self {
        Self {
            limit,
            tokens: limit.burst,
            refilled_at: now,
        }
    }

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
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// A budget that the exchanges of a host share.
#[derive(Debug, Clone)]
pub struct Shared(Arc<Mutex<TokenBucket>>);

impl Shared {
    /// Shares a budget.
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
