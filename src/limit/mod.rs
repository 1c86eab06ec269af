//! Rate and burst of every customer over the whole fleet.
//!
//! A customer's rate and burst are cut between the regions by the [`Plan`], and within a
//! region into a standing part for each process and a pooled part for whichever process
//! holds the region's lease. Hosts lend each other what they don't need, for a bounded term. The
//! note `docs/design/limit.md` has the proof and the ways that were weighed.

mod account;
mod borrow;
mod demand;
mod elect;
mod event;
mod lease;
mod lend;
mod loan;
mod machine;
mod message;
mod plan;
mod service;

pub use {
    account::{Share, Ticket},
    event::{Action, Event, Mutant, Report, Setup, Verdict},
    lease::Lease,
    loan::Loan,
    machine::Limiter,
    message::{Ask, Grant, Id, Item, Message, Poll, Recall, Return, Vote, Want},
    plan::{Mode, Plan, Quota, Region, Timing},
    service::{Bucket, Dependencies, Handle, View},
};
