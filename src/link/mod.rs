//! Connections between hosts: control messages, lossy and never blocking, and exchanges, which
//! carry forwarded calls and their answers.

mod control;
pub mod exchange;
mod server;
mod socket;

pub use {
    control::{Handle, Mailboxes, Peers, Received},
    server::{Handler, serve},
    socket::Identity,
};
