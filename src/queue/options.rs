//! What can be set about fair admission.

use std::time::Duration;

/// What can be set about fair admission.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Requests of one customer that may wait at a pool.
    pub waiting_each: usize,
    /// Requests that may wait at a pool.
    pub waiting: usize,
    /// The size in tokens from which a request counts as long.
    pub long_tokens: u64,
    /// How much later a brief request may arrive and still go before a long one.
    pub long_behind: Duration,
    /// How much later a request may arrive and still go before one of the next lower priority.
    pub priority_step: Duration,
    /// The least that a caller is told to wait.
    pub retry_at_least: Duration,
    /// The most that a caller is told to wait.
    pub retry_at_most: Duration,
    /// A deliberate fault, for tests.
    pub fault: Fault,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            waiting_each: 256,
            waiting: 1_024,
            long_tokens: 4_096,
            long_behind: Duration::from_secs(2),
            priority_step: Duration::from_millis(500),
            retry_at_least: Duration::from_secs(1),
            retry_at_most: Duration::from_secs(60),
            fault: Fault::None,
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
pub enum Fault {
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
