//! Fair admission: which waiting request starts next at each pool.
//!
//! [`Scheduler`] is start-time fair queueing in tokens between customers, so that one customer
//! which sends several times its rate slows only itself. Within a customer, priorities and
//! deadlines set the order, and no request can be overtaken without bound. What can't meet its
//! deadline is shed at once, with a hint when to come back. [`Handle`] is the scheduler as the
//! request path uses it.

mod event;
mod flow;
mod options;
mod pool;
mod scheduler;
mod service;
mod slots;
mod speed;

pub use {
    event::{Action, Arrival, Event, Reason, TOP_PRIORITY, Ticket},
    options::{Mutant, Options},
    scheduler::Scheduler,
    service::{Handle, Refusal, Request, Slot},
    slots::{Engines, host_slots},
};
