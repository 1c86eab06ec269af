//! Tunable parameters of fair admission.

use std::time::Duration;

/// Tunable parameters of fair admission.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Largest number of requests of one customer that wait at a pool.
    pub max_waiting_per_customer: usize,
    /// Largest number of requests that wait at a pool.
    pub max_waiting: usize,
    /// Size in tokens from which a request counts as long.
    pub long_tokens: u64,
    /// How much later a short request may arrive and still start before a long one.
    pub long_request_delay: Duration,
    /// How much later a request may arrive and still start before one of the next lower priority.
    pub priority_step: Duration,
    /// Shortest delay before a retry that a caller is told.
    pub min_retry_after: Duration,
    /// Longest delay before a retry that a caller is told.
    pub max_retry_after: Duration,
    /// Fault to inject in tests.
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

/// A fault that tests inject to show that their properties detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// No fault; the setting outside tests.
    None,
    /// Requests start in order of arrival, without fairness between customers.
    Unfair,
    /// Short requests always start before long ones.
    Starve,
    /// One request more than there are slots runs.
    Overrun,
    /// One slot stays unused.
    Idle,
    /// Waiting requests stay queued when their customer's keys are withdrawn.
    Withdrawn,
}
