//! Requests of routes chosen by host and path prefix, relayed with bodies and answers untouched.
//!
//! [`core::Core`] decides, without input or output; the host does the sockets around it. How a
//! platform spells its headers is told by a [`dialect::Dialect`], what it publishes is read
//! through a store.

pub mod answer;
pub mod cache;
pub mod catalog;
pub mod core;
pub mod dialect;
pub mod entry;
pub mod fleet;
pub mod follow;
mod headers;
pub mod host;
pub mod intake;
pub mod place;
pub mod rate;
pub mod reader;
pub mod replica;
pub mod sample;
mod send;
pub mod server;
pub mod speed;
pub mod table;
