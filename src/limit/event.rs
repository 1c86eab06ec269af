//! What goes into the limit's state machine and what comes out.

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

/// What one run of a process starts with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Setup {
    /// This host.
    pub host: name::Host,
    /// Its region.
    pub region: name::Region,
    /// A number that no other run of any host has: random at start.
    pub incarnation: u64,
    /// What the fleet runs.
    pub mode: Mode,
    /// The fleet's times.
    pub timing: Timing,
    /// A deliberate defect; `None` outside tests.
    pub mutant: Option<Mutant>,
}

/// Deliberate defects that break the bound, so that tests can show that they catch them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mutant {
    /// A lender keeps using what it lent.
    SpendLent,
    /// Admission doesn't look at the clock, so that a loan outlives a pause.
    SkipClockCheck,
    /// A grant that comes twice counts twice.
    AcceptGrantTwice,
    /// A return that comes twice counts twice.
    AcceptReturnTwice,
    /// A process starts with a full bucket.
    StartFull,
    /// A process uses its part as soon as it starts.
    SkipQuarantine,
    /// A voter votes for everyone.
    VoteTwice,
    /// A borrower counts a loan's term from the grant's arrival.
    CountTermFromReceipt,
    /// A refund fills the bucket without regard to what has been spilled.
    RefundInFull,
    /// A part that a new plan enlarges is used at once.
    SkipIncreaseDelay,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed; comes about ten times a second.
    Tick,
    /// A message came.
    Received {
        /// Who sent it.
        from: name::Host,
        /// What it says.
        message: Message,
    },
    /// The live hosts, this one left out, with their regions.
    Members(BTreeMap<name::Host, name::Region>),
    /// The configuration in force.
    Configured {
        /// How capacity is cut.
        plan: Plan,
        /// The customers.
        quotas: BTreeMap<name::Customer, Quota>,
    },
    /// This host leaves: it gives back what it holds and asks for nothing more.
    Drain,
}

/// What the shell must do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// To whom.
        to: name::Host,
        /// What.
        message: Message,
    },
    /// Log and count it.
    Report(Report),
}

/// A change that operators may want to see.
#[derive(Debug, Clone, PartialEq, Display, Serialize, Deserialize)]
pub enum Report {
    /// The quarantine is over: this process uses its standing part.
    #[display("in service with its standing part")]
    Seated,
    /// The plan has no room for this process: it lives on loans.
    #[display(
        "no standing part: {running} processes run in the region and the plan has {max_processes}"
    )]
    OverPlan {
        /// Processes that run in the region, this one counted.
        running: usize,
        /// How many the plan allows.
        max_processes: u32,
    },
    /// The process slept, and starts anew.
    #[display("slept for {} ms: starts anew with a quarantine", paused_for.as_millis())]
    Resumed {
        /// For how long.
        paused_for: Duration,
    },
    /// This host holds the lease of its region's pool.
    #[display("holds the lease of the region's pool")]
    LeaseAcquired,
    /// This host no longer holds the lease.
    #[display("no longer holds the lease of the region's pool")]
    LeaseLost,
}

/// The answer to a request for admission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// Admitted; settle the ticket at the request's end.
    Admitted(Ticket),
    /// Not now.
    Refused {
        /// When it may be worth trying again.
        retry_after: Duration,
    },
    /// Larger than the customer's burst: never.
    TooLarge {
        /// The customer's burst, in tokens.
        burst: f64,
    },
    /// No such customer in the configuration.
    UnknownCustomer,
}
