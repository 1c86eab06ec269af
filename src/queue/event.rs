//! Events that the scheduler handles, and the actions that it returns.

use {
    crate::name,
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The highest priority; zero is the lowest.
pub const MAX_PRIORITY: u8 = 9;

/// Number of a request at the scheduler. The caller of the scheduler assigns growing numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ticket(pub u64);

/// An event for the scheduler.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A request arrived and is to be queued.
    Arrive(Arrival),
    /// The caller of a waiting request left. A running request ends by `Done`.
    Cancel {
        /// Number of the waiting request, from its [`Arrival`].
        ticket: Ticket,
    },
    /// A customer's keys were withdrawn.
    Withdraw {
        /// Customer whose waiting requests are shed.
        customer: name::Customer,
    },
    /// A running request has ended, answered or failed.
    Done {
        /// Number of the running request, from its [`Arrival`].
        ticket: Ticket,
        /// The tokens that the request really used.
        tokens: u64,
    },
    /// The number of requests that this host may run at once at a pool has changed.
    Capacity {
        /// Pool whose number of slots has changed.
        pool: name::Pool,
        /// The new number of requests.
        slots: u32,
    },
    /// Time has passed: requests may have become too late.
    Tick,
}

/// A request that is to be queued.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Number of the request, higher than that of any earlier one.
    pub ticket: Ticket,
    /// Pool that the request is for.
    pub pool: name::Pool,
    /// Customer that sent the request; `None` on open routes, whose requests count as one customer.
    pub customer: Option<name::Customer>,
    /// Weight of the customer in the fair share.
    pub weight: u32,
    /// Priority of the request, up to [`MAX_PRIORITY`].
    pub priority: u8,
    /// Upper bound of the request's size in tokens.
    pub tokens: u64,
    /// When the answer must have ended.
    pub deadline: Duration,
}

/// An action that the caller of the scheduler must carry out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Start the request.
    Start {
        /// Number of the request, from its [`Arrival`].
        ticket: Ticket,
    },
    /// Refuse the request; it was not run.
    Shed {
        /// Number of the request, from its [`Arrival`].
        ticket: Ticket,
        /// Why it was shed.
        reason: Reason,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}

/// Why a request was shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request cannot meet its deadline.
    #[display("deadline can't be met")]
    Late,
    /// The customer has too many waiting requests at the pool.
    #[display("customer's queue is full")]
    CustomerFull,
    /// The pool has too many waiting requests, and this customer has the most for its weight.
    #[display("queue is full")]
    Full,
    /// The customer's key was withdrawn.
    #[display("key withdrawn")]
    Withdrawn,
}
