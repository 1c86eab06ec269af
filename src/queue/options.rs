//! What can be set about fair admission.

use std::time::Duration;

/// What can be set about fair admission.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Requests of one customer that may wait at a pool.
    pub max_waiting_per_customer: usize,
    /// Requests that may wait at a pool.
    pub max_waiting: usize,
    /// The size in tokens from which a request counts as long.
    pub long_tokens: u64,
    /// How much later a brief request may arrive and still go before a long one.
    pub long_request_delay: Duration,
    /// How much later a request may arrive and still go before one of the next lower priority.
    pub priority_step: Duration,
    /// The least that a caller is told to wait.
    pub min_retry_after: Duration,
    /// The most that a caller is told to wait.
    pub max_retry_after: Duration,
    /// A deliberate fault, for tests.
    pub mutant: Mutant,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_waiting_per_customer: 256,
            max_waiting: 1_024,
            long_tokens: 4_096,
            long_request_delay: Duration::from_secs(2),
            priority_step: Duration::from_millis(500),
            min_retry_after: Duration::from_secs(1),
            max_retry_after: Duration::from_secs(60),
            mutant: Mutant::None,
        }
    }
}

impl Options {
    /// Whether a request of this size counts as long.
    pub fn is_long(&self, tokens: u64) -> bool {
        tokens >= self.long_tokens
    }
}

/// A deliberate fault by which tests show that they would see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// No fault.
    None,
    /// Customers are served in order of arrival.
    Unfair,
    /// Brief requests always go before long ones.
    Starve,
    /// One request more than the slots is run.
    Overrun,
    /// One slot is never used.
    Idle,
    /// Waiting requests stay when their customer's keys are withdrawn.
    Withdrawn,
}
