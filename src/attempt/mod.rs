//! Retries, hedging, stream resumption and idempotency of the calls that a host makes to upstreams.
//!
//! An [`Exchange`] is the state machine of one call: it decides when to send an attempt, what to
//! relay to the caller and how the call ends. A [`Budget`] bounds the retries of all exchanges of a
//! host. [`register`] keeps an idempotency key from running twice in the fleet. [`sse`] splits a
//! byte stream into server-sent events. The gateway drives all of them.

mod backoff;
pub mod budget;
mod event;
mod exchange;
mod outcome;
mod plan;
pub mod register;
pub mod sse;

pub use {
    crate::failure::Ran,
    budget::{Budget, TokenBucket},
    event::{Action, Event, Reason},
    exchange::Exchange,
    outcome::Code,
    plan::{Id, Mutant, Plan, Work},
};

use std::time::Duration;

/// Time after a deadline for which the pieces of an answer that are there already are relayed.
pub const LATE_DELIVERY: Duration = Duration::from_millis(300);
