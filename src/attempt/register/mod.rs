//! The idempotency register: the same `Idempotency-Key` never runs twice, at whichever host it
//! arrives.
//!
//! A key has a home region. Before a request with a key is sent, the host that has it claims the
//! key and waits until a majority of the home region's hosts have noted the claim. A host that
//! starts notes nothing until it has caught up or a quarantine has passed. What can't be decided is
//! refused. `docs/design/attempts.md` gives the argument and its limits.

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
