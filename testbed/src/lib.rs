//! Stand-ins for the platform and the upstreams, and the load and experiment tool.
//!
//! Each stand-in is a small HTTP server, by default on an ephemeral loopback port. Its `start`
//! function (for example `engine::Engine::start`) returns a handle with the address and the methods
//! that control it. Dropping the handle stops the server.

pub mod client;
pub mod compare;
pub mod deployment;
pub mod endless;
pub mod engine;
pub mod fault;
pub mod fleet;
pub mod fuzz;
pub mod load;
mod millis;
pub mod overhead;
pub mod plain;
pub mod platform;
pub mod plot;
pub mod raw;
pub mod run;
pub mod seen;
pub mod serve;
pub mod text;
pub mod wan;
pub mod weights;
pub mod workload;
