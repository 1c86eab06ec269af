//! Shared parts of the policy experiments: a small engine model in virtual time, and statistics.

#[allow(dead_code, reason = "each experiment uses its part")]
pub(crate) mod engine;
pub(crate) mod figure;
