//! Limits each customer's rate and burst over the whole fleet, without a central counter.
//!
//! The [`Plan`] divides a customer's rate and burst between the regions. Within a region, each
//! process has a standing part, and the process that holds the region's lease has a pooled part.
//! Hosts lend each other unused capacity for bounded terms. The gateway calls [`Handle::admit`]
//! with the worst-case cost of a request and [`Handle::settle`] with its actual cost.
//! `docs/design/limit.md` has the proof of the bound and the alternatives that were considered.

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
