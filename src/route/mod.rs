//! Routing: the choice of region, pool and replica for each request.
//!
//! [`Router`] holds what one host knows: the tables in force, the upstreams of its region and
//! their lagging load, what it has itself sent, hints about caches, and digests of the other
//! regions. It does no input or output; the same calls with the same seed give the same choices.

pub mod affinity;
pub mod eject;
mod eligible;
pub mod load;
mod options;
pub mod replica;
mod request;
mod router;
mod select;
pub mod spill;

pub use {
    load::Report,
    options::{Fault, Options},
    replica::{Listed, State},
    request::{Choice, HOPS, Prefix, Reason, Refusal, Request, RunnerUp},
    router::{Home, Router},
    spill::{Digest, Summary},
};
