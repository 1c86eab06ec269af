//! A multi-region inference gateway, and the coordination components that it consists of.
//!
//! Decisions are made in pure state machines (see [`machine`]); the services around them handle
//! only sockets and timers.

pub mod attempt;
pub mod clock;
pub mod config;
pub mod directory;
pub mod entry;
pub mod error;
pub mod failure;
pub mod gateway;
pub mod kernel;
pub mod key;
pub mod limit;
pub mod link;
pub mod listen;
pub mod log;
pub mod machine;
pub mod member;
pub mod metric;
pub mod name;
pub mod natural;
pub mod net;
pub mod pace;
pub mod panic;
pub mod proxy;
pub mod queue;
pub mod rendezvous;
pub mod resource;
pub mod rest;
pub mod route;
pub mod settings;
pub mod source;
pub mod start;
pub mod task;
pub mod trace;
pub mod upstream;
pub mod wire;

pub use error::{Error, Result};
