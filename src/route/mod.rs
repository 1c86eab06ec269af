//! Routing: the choice of region, pool and replica for each request.
//!
//! [`Router`] holds what one host knows: the tables in force, the upstreams of its region and
//! their lagging load, what it has itself sent, hints about caches, and digests of the other
//! regions. It does no input or output; the same calls with the same seed give the same choices.
//! [`Handle`] is the router as the request path uses it; [`follow_load`] and [`exchange_digests`] bring the news.

pub mod affinity;
pub mod eject;
mod eligible;
pub mod load;
mod options;
mod poll;
pub mod replica;
mod request;
mod router;
mod select;
mod service;
pub mod spill;

pub use {
    load::Report,
    options::{Mutant, Options},
    poll::{exchange_digests, follow_load},
    replica::{State, Upstream},
    request::{Choice, MAX_HOPS, Prefix, Reason, Refusal, Request, RunnerUp},
    router::{Home, Router},
    service::{Handle, InFlight, Routed},
    spill::{Digest, Summary},
};
