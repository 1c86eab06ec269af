//! Events, actions and the messages between hosts.

use {
    super::record::{Claim, Entry, Key, State},
    crate::{attempt::Ran, name},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// What one host tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's incarnation, which grows with each start.
    pub incarnation: u64,
    /// What it says.
    pub body: Body,
}

/// Tells the answers to one round of catching up from those to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Nonce {
    /// The asking host's incarnation.
    pub incarnation: u64,
    /// Grows with each round.
    pub number: u64,
}

/// The kinds of message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Note a claim, or what became of it.
    Claim {
        /// The key.
        key: Key,
        /// The claim.
        claim: Claim,
        /// Its state.
        state: State,
    },
    /// A claim in this state was noted.
    Ack {
        /// The key.
        key: Key,
        /// The claim.
        claim: Claim,
        /// The state that was noted.
        state: State,
        /// The hosts of the home region that the sender counts, with their incarnations.
        known: BTreeMap<name::Host, u64>,
    },
    /// Another claim of the key is held.
    Nack {
        /// The key.
        key: Key,
        /// The claim that is refused.
        claim: Claim,
        /// The state of the claim that is held.
        held: State,
    },
    /// Sender lives.
    Beat,
    /// Asks for every record held.
    Recover {
        /// Repeated in the answer.
        nonce: Nonce,
        /// The sender started with nothing and has not caught up.
        fresh: bool,
    },
    /// A page of the records held.
    Records {
        /// The nonce of the question.
        nonce: Nonce,
        /// The page's number.
        page: u32,
        /// How many pages there are.
        pages: u32,
        /// The records.
        entries: Vec<Entry>,
        /// The hosts of the region that the sender counts, with their incarnations.
        known: BTreeMap<name::Host, u64>,
    },
}

/// What became of a request that was let run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was answered with this status.
    Done(u16),
    /// It provably never ran.
    NotRun,
    /// It can't be known.
    Unknown,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The key has run; the answer's status.
    Done(u16),
    /// The key has been claimed and may run or have run.
    Claimed,
    /// It can't be known whether the key has run.
    Doubtful,
}

impl Reason {
    /// The error code for callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Done(_) => "idempotency_key_done",
            Reason::Claimed => "idempotency_key_in_use",
            Reason::Doubtful => "idempotency_key_doubtful",
        }
    }

    /// What is said of the work.
    pub fn ran(self) -> Ran {
        match self {
            Reason::Done(_) => Ran::Yes,
            Reason::Claimed | Reason::Doubtful => Ran::Unknown,
        }
    }
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The host list of a region, live and leaving hosts.
    HostList {
        /// The region.
        region: name::Region,
        /// Its entry hosts.
        hosts: BTreeSet<name::Host>,
    },
    /// A request with a key wants to run.
    Request {
        /// The shell's number for the request.
        ticket: u64,
        /// The key.
        key: Key,
        /// The key's home region.
        home: name::Region,
    },
    /// A request that was let run is over.
    Finished {
        /// The key.
        key: Key,
        /// What became of it.
        outcome: Outcome,
    },
    /// A peer's message.
    Received {
        /// The peer.
        from: name::Host,
        /// What it said.
        message: Message,
    },
    /// Time passed; due every [`Register::TICK`](super::Register::TICK).
    Tick,
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Send a message.
    Send {
        /// To whom.
        to: name::Host,
        /// What.
        message: Message,
    },
    /// Let a request run, if [`Register::may_send`](super::Register::may_send) still holds when
    /// its first byte leaves.
    Run {
        /// The request.
        ticket: u64,
    },
    /// Refuse a request at once.
    Refuse {
        /// The request.
        ticket: u64,
        /// Why.
        reason: Reason,
        /// When it may be known.
        retry_after: Option<Duration>,
    },
}
