//! Fair admission: which waiting request starts next at each pool.
//!
//! [`Scheduler`] does start-time fair queueing in tokens between customers, so that a customer that
//! sends several times its rate slows only itself. Within a customer, priorities and deadlines set
//! the order, and the time by which a request can be overtaken is bounded. A request that cannot
//! meet its deadline is shed at once, with a delay after which to retry. [`Handle`] gives the
//! request path access to the scheduler.

mod event;
mod flow;
mod options;
mod pool;
mod scheduler;
mod service;
mod slots;
mod speed;

pub use {
    event::{Action, Arrival, Event, MAX_PRIORITY, Reason, Ticket},
    options::{Mutant, Options},
    scheduler::Scheduler,
    service::{Handle, Refusal, Request, Slot},
    slots::{Engines, host_slots},
};
