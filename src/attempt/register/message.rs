//! Inputs and outputs of the [`Register`](super::Register) machine, and the messages between hosts.

use {
    super::record::{Claim, Entry, Key, State},
    crate::{attempt::Ran, name},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// A message between the registers of two hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's incarnation, which increases with each start of the host.
    pub incarnation: u64,
    /// The claim, answer, heartbeat or recovery message itself.
    pub body: Body,
}

/// Identifies one recovery round, so that answers to earlier rounds are ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Nonce {
    /// The incarnation of the recovering host.
    pub incarnation: u64,
    /// Increases with each round of the incarnation.
    pub number: u64,
}

/// The payload of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks the receiver to record a claim or its new state.
    Claim {
        /// Idempotency key that the claim is for.
        key: Key,
        /// The claim to record.
        claim: Claim,
        /// The present state of the claim.
        state: State,
    },
    /// Confirms that the sender has recorded a claim in this state.
    Ack {
        /// Idempotency key that the claim is for.
        key: Key,
        /// The recorded claim.
        claim: Claim,
        /// The state that was recorded.
        state: State,
        /// The voting hosts of the home region as the sender knows them, with their incarnations.
        known: BTreeMap<name::Host, u64>,
    },
    /// Refuses a claim, since the sender holds another claim of the key.
    Nack {
        /// Idempotency key that the claim is for.
        key: Key,
        /// The refused claim.
        claim: Claim,
        /// The state of the claim that is held.
        held: State,
    },
    /// Heartbeat of an active host.
    Beat,
    /// Asks for all records of the receiver; also the heartbeat of a recovering host.
    Recover {
        /// Identifies the round; repeated by the answer.
        nonce: Nonce,
        /// Whether the sender started without records and has not recovered them yet.
        fresh: bool,
    },
    /// One page of the sender's records, in answer to [`Recover`](Self::Recover).
    Records {
        /// The nonce of the request.
        nonce: Nonce,
        /// Page number, from zero.
        page: u32,
        /// Total number of pages.
        pages: u32,
        /// The records of this page.
        entries: Vec<Entry>,
        /// The voting hosts of the region as the sender knows them, with their incarnations.
        known: BTreeMap<name::Host, u64>,
    },
}

/// How a request that was allowed to run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream answered with this HTTP status.
    Done(u16),
    /// It provably never ran.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Why a request with a key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The key has run; holds the HTTP status of the answer.
    Done(u16),
    /// Another request holds the key and may be running or have run.
    Claimed,
    /// The register can't tell whether the key has run.
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

    /// What the caller is told about whether the work ran.
    pub fn ran(self) -> Ran {
        match self {
            Reason::Done(_) => Ran::Yes,
            Reason::Claimed | Reason::Doubtful => Ran::Unknown,
        }
    }
}

/// An input of the register.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The host list of a region changed. It holds live and leaving hosts.
    HostList {
        /// Region whose list has changed.
        region: name::Region,
        /// Its entry hosts; only they record claims.
        hosts: BTreeSet<name::Host>,
    },
    /// A request with a key asks to run.
    Request {
        /// Identifies the request within this process, in the action that answers it.
        ticket: u64,
        /// Idempotency key of the request.
        key: Key,
        /// Region whose hosts record the claims of the key.
        home: name::Region,
    },
    /// A request that was allowed to run has ended.
    Finished {
        /// Idempotency key of the request.
        key: Key,
        /// How the request ended.
        outcome: Outcome,
    },
    /// A message of another host arrived.
    Received {
        /// Host that sent the message.
        from: name::Host,
        /// Claim, answer, heartbeat or recovery message.
        message: Message,
    },
    /// A timer tick; due every [`Register::TICK`](super::Register::TICK).
    Tick,
}

/// An output of the register.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Send a message to another host.
    Send {
        /// Host that the message goes to.
        to: name::Host,
        /// Claim, answer, heartbeat or recovery message.
        message: Message,
    },
    /// Allow a request to run, provided that [`Register::may_send`](super::Register::may_send)
    /// still holds when its first byte is sent.
    Run {
        /// The ticket of the request.
        ticket: u64,
    },
    /// Refuse a request.
    Refuse {
        /// The ticket of the request.
        ticket: u64,
        /// Why it is refused; decides the error code for the caller.
        reason: Reason,
        /// Delay after which the register may be able to decide; `None` if the answer is final.
        retry_after: Option<Duration>,
    },
}
