//! Attempts: what is sent upstream for one exchange, how often, and what the caller is told.
//!
//! [`Exchange`] is the machine of one exchange; [`Budget`] bounds the retries of all exchanges of
//! a host; [`sse`] splits a stream of server-sent events.

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
