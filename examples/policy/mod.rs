//! What the policy experiments share: a small model of an engine in virtual time, and figures.

pub(crate) mod engine;
pub(crate) mod figure;
