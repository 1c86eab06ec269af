//! A multi-region inference gateway, and the coordination parts of which it is made.
//!
//! Every decision is a pure state machine (see [`machine`]); the services around them do sockets
//! and timers and nothing else.

pub mod attempt;
pub mod clock;
pub mod config;
pub mod error;
pub mod key;
pub mod machine;
pub mod name;
pub mod queue;
pub mod route;

pub use error::{Error, Result};
