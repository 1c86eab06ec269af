//! The idempotency register: a request with the same `Idempotency-Key` runs at most once, at
//! whichever host it arrives.
//!
//! Each key has a home region. Before a host sends a request with a key, it claims the key and
//! waits until a majority of the home region's hosts have recorded the claim. A host that starts
//! acknowledges no claims until it has recovered the records of a majority or a quarantine has
//! passed. A request that can't be decided is refused. `docs/design/attempts.md` gives the argument
//! and its limits.
//!
//! [`Register`] is the state machine of one host; [`Handle`] runs it and answers the gateway.

mod claimant;
mod machine;
mod message;
mod record;
mod roster;
mod service;
mod voter;

pub use {
    machine::{Mutant, Register, Settings},
    message::{Action, Body, Event, Message, Nonce, Outcome, Reason},
    record::{Claim, Entry, Key, State},
    service::{Dependencies, Handle, Permit, Refusal},
};
