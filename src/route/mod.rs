//! Routing: the choice of region, pool and replica for each request.
//!
//! [`Router`] decides. Its inputs are the configuration, the upstreams of its region with their
//! lagging load reports, the requests that this host has sent, hints about cached prefixes, and
//! load digests of the other regions. It does no input or output; the same calls with the same seed
//! give the same choices. [`Handle`] gives the request path access to it, and [`follow_load`] and
//! [`exchange_digests`] feed it with load reports and digests.

pub mod affinity;
pub mod eject;
mod eligible;
pub mod load;
mod options;
mod poll;
pub mod reach;
pub mod replica;
mod request;
mod router;
mod select;
mod service;
pub mod spill;

pub use {
    load::Report,
    options::{Mutant, Options},
    poll::{exchange_digests, follow_load, follow_reach},
    replica::{State, Upstream},
    request::{Choice, MAX_HOPS, Prefix, Reason, Refusal, Request, RunnerUp},
    router::{Home, Router},
    service::{Handle, InFlight, Routed},
    spill::{Digest, Summary},
};
