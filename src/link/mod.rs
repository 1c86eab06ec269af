//! Web socket connections between hosts. Control messages are sent without blocking and may be
//! lost; exchanges carry forwarded calls and their answers.

mod control;
pub mod exchange;
mod metered;
mod server;
mod socket;

pub use {
    control::{Handle, Mailboxes, Peers, Received},
    metered::Memory,
    server::{Handler, Limits, serve},
    socket::Identity,
};
