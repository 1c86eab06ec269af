//! What happens to the scheduler and what it has its shell do.

use {
    crate::name,
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The highest priority; zero is the lowest.
pub const TOP_PRIORITY: u8 = 9;

/// One request at the scheduler. Tickets are given by the shell, growing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ticket(pub u64);

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A request wants to start.
    Arrive(Arrival),
    /// The caller of a waiting request left. A running one ends by `Done`.
    Cancel {
        /// The request.
        ticket: Ticket,
    },
    /// A customer's keys were withdrawn.
    Withdraw {
        /// The customer.
        customer: name::Customer,
    },
    /// A started request has ended, well or not.
    Done {
        /// The request.
        ticket: Ticket,
        /// The tokens that it took in fact.
        tokens: u64,
    },
    /// This host may run so many requests at once at a pool.
    Capacity {
        /// The pool.
        pool: name::Pool,
        /// The requests.
        slots: u32,
    },
    /// Time went by.
    Tick,
}

/// A request that wants to start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// The request.
    pub ticket: Ticket,
    /// The pool that it is for.
    pub pool: name::Pool,
    /// Whose it is; none for all that come by routes open to all, which share as one customer.
    pub customer: Option<name::Customer>,
    /// The customer's weight.
    pub weight: u32,
    /// Its priority, up to [`TOP_PRIORITY`].
    pub priority: u8,
    /// Its size in tokens at the most.
    pub tokens: u64,
    /// When its answer must have ended.
    pub deadline: Duration,
}

/// What the shell must do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Start the request.
    Start {
        /// The request.
        ticket: Ticket,
    },
    /// Answer the request at once that it was not run.
    Shed {
        /// The request.
        ticket: Ticket,
        /// Why.
        reason: Reason,
        /// When the caller should come back.
        retry_after: Duration,
    },
}

/// Why a request was shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It can't meet its deadline.
    #[display("deadline can't be met")]
    Late,
    /// The customer has too many waiting.
    #[display("customer's queue is full")]
    CustomerFull,
    /// The pool has too many waiting, and this customer the most for its weight.
    #[display("queue is full")]
    Full,
    /// The customer's key was withdrawn.
    #[display("key withdrawn")]
    Withdrawn,
}
