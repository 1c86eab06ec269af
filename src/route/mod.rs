//! Routing: the choice of region, pool and replica for each request.
//!
//! [`Router`] holds what one host knows: the tables in force, the upstreams of its region and
//! their lagging load, what it has itself sent, hints about caches, and digests of the other
//! regions. It does no input or output; the same calls with the same seed give the same choices.
//! [`Handle`] is the router as the request path uses it; [`follow`] and [`digests`] bring the news.

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
    options::{Fault, Options},
    poll::{digests, load as follow},
    replica::{Listed, State},
    request::{Choice, HOPS, Prefix, Reason, Refusal, Request, RunnerUp},
    router::{Home, Router},
    service::{Handle, Routed, Sent},
    spill::{Digest, Summary},
};
