//! Settings, inputs and outputs of the limiter's state machine.

use {
    super::{
        account::Ticket,
        message::Message,
        plan::{Mode, Plan, Quota, Timing},
    },
    crate::name,
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Settings of a limiter, fixed for one run of the process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Setup {
    /// Name of this host.
    pub host: name::Host,
    /// Region of this host; selects the row of the plan.
    pub region: name::Region,
    /// Random number drawn at the start, unique among all runs of all hosts.
    pub incarnation: u64,
    /// Parts of the protocol that the fleet runs.
    pub mode: Mode,
    /// Durations of the protocol, the same on all hosts.
    pub timing: Timing,
    /// A deliberate defect; `None` outside tests.
    pub mutant: Option<Mutant>,
}

/// Deliberate defects that break the bound, so that tests can show that they catch them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mutant {
    /// A lender keeps spending the capacity that it lent.
    SpendLent,
    /// Admission does not expire loans first, so that a loan outlives a pause of the process.
    SkipClockCheck,
    /// A duplicated grant is accepted twice.
    AcceptGrantTwice,
    /// A duplicated return is accepted twice.
    AcceptReturnTwice,
    /// A process starts with a full bucket.
    StartFull,
    /// A process uses its standing part as soon as it starts.
    SkipQuarantine,
    /// A voter votes in every poll, whatever it has promised.
    VoteTwice,
    /// A borrower counts the term of a loan from the arrival of the grant.
    CountTermFromReceipt,
    /// A refund includes tokens that would have overflowed the bucket.
    RefundInFull,
    /// A part that a new plan enlarges is used without delay.
    SkipIncreaseDelay,
}

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed; sent about ten times a second.
    Tick,
    /// A message from another host arrived.
    Received {
        /// Host that sent it.
        from: name::Host,
        /// Message about loans or the lease.
        message: Message,
    },
    /// The other hosts that are not dead, with their regions.
    Members(BTreeMap<name::Host, name::Region>),
    /// A configuration is in force.
    Configured {
        /// Division of capacity between the regions.
        plan: Plan,
        /// Rate and burst of each customer.
        quotas: BTreeMap<name::Customer, Quota>,
    },
    /// This host is leaving: it returns its loans and asks for no new ones.
    Drain,
}

/// An output of the state machine, which the service carries out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Send a message, which may be lost.
    Send {
        /// Host that receives it.
        to: name::Host,
        /// Message about loans or the lease.
        message: Message,
    },
    /// Log a change for operators.
    Report(Report),
}

/// A change that is logged for operators.
#[derive(Debug, Clone, PartialEq, Display, Serialize, Deserialize)]
pub enum Report {
    /// The quarantine is over: this process uses its standing part.
    #[display("in service with its standing part")]
    Seated,
    /// More processes run in the region than the plan allows, so this one only uses loans.
    #[display(
        "no standing part: {running} processes run in the region and the plan has {max_processes}"
    )]
    OverPlan {
        /// Processes that run in the region, including this one.
        running: usize,
        /// Maximum number of processes that the plan allows.
        max_processes: u32,
    },
    /// The process was paused for at least the quarantine and starts over.
    #[display("slept for {} ms: starts anew with a quarantine", paused_for.as_millis())]
    Resumed {
        /// Length of the pause on this host's clock.
        paused_for: Duration,
    },
    /// This host has acquired the lease of its region's pool.
    #[display("holds the lease of the region's pool")]
    LeaseAcquired,
    /// The lease of this host has ended.
    #[display("no longer holds the lease of the region's pool")]
    LeaseLost,
}

/// Result of an admission check.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// Admitted; the ticket must be settled when the request ends.
    Admitted(Ticket),
    /// Refused for lack of tokens.
    Refused {
        /// Time after which a retry may be admitted.
        retry_after: Duration,
    },
    /// Larger than the customer's burst, so that a retry cannot be admitted either.
    TooLarge {
        /// The customer's burst, in tokens.
        burst: f64,
    },
    /// The customer is not in the configuration.
    UnknownCustomer,
}
