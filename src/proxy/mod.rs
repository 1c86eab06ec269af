//! The proxy: matches each request to a route by host and path prefix, sends it to an upstream of
//! the route's pool, and relays the body and the answer unchanged.
//!
//! [`core::Core`] makes the decisions and does no input or output; [`host::Host`] owns the sockets,
//! timers and tasks around it. A platform adapter supplies a [`dialect::Dialect`], which translates
//! headers, and a [`follow::Store`], which lists and watches the configuration and the upstreams.

pub mod answer;
pub mod balance;
pub mod brief;
pub mod cache;
pub mod catalog;
pub mod core;
pub mod dialect;
pub mod directory;
pub mod entry;
pub mod fingerprint;
pub mod fleet;
pub mod follow;
mod headers;
pub mod host;
pub mod intake;
pub mod load;
pub mod memory;
pub mod origin;
pub mod pages;
pub mod place;
pub mod quarantine;
mod race;
pub mod rate;
pub mod reach;
pub mod reader;
pub mod readiness;
pub mod replica;
pub mod reserve;
pub mod retry;
pub mod revision;
pub mod sample;
mod send;
pub mod server;
pub mod speed;
pub mod table;
pub mod throttle;
pub mod tries;
