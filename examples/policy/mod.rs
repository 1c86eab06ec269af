//! What the policy experiments share: a small model of an engine in virtual time, and figures.

#[allow(dead_code, reason = "each experiment uses its part")]
pub(crate) mod engine;
pub(crate) mod figure;
