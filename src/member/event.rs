//! What goes into the membership machine and what comes out.

use {
    super::peer::{Digest, Peer, State, Update},
    crate::{config::spread, name},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// What a machine is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host.
    pub host: name::Host,
    /// Its region.
    pub region: name::Region,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Above that of any earlier process of this name, as well as can be known; the start's
    /// calendar time will do. A host that hears of a higher one of its own goes above it.
    pub incarnation: u64,
    /// Seeds the order of probes.
    pub seed: u64,
    /// A deliberate mistake; none outside tests.
    pub mutant: Option<Mutant>,
}

/// Deliberate mistakes, for tests that must be seen to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Whatever was heard last is believed, of whichever incarnation.
    AcceptAnyIncarnation,
    /// A host that doesn't answer is dead, without asking others and without suspicion.
    SkipIndirectPing,
    /// The silence of others during one's own pause counts.
    IgnoreOwnPause,
    /// Whatever the platform's list says is believed.
    TrustList,
}

/// What one host sends another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat that must be answered.
    Ping {
        /// Repeated by the answer.
        sequence: u64,
        /// What the sender passes on.
        gossip: Box<Gossip>,
    },
    /// The answer.
    Ack {
        /// The heartbeat's.
        sequence: u64,
        /// What the sender passes on.
        gossip: Box<Gossip>,
    },
    /// Asks the receiver to ping a host that did not answer the sender.
    #[serde(rename = "Indirect")]
    IndirectPing {
        /// Repeated by the answer.
        sequence: u64,
        /// The host that did not answer.
        target: name::Host,
        /// Where it is reached.
        peer_address: SocketAddr,
    },
    /// The host answered the sender.
    #[serde(rename = "Vouch")]
    IndirectAck {
        /// Of the question.
        sequence: u64,
        /// The host that answered.
        target: name::Host,
    },
    /// Everything that the sender knows of its failure domain.
    Table {
        /// The records.
        updates: Vec<Update>,
        /// Whether the receiver shall send its own.
        #[serde(rename = "ask")]
        wants_reply: bool,
    },
}

/// What heartbeats carry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's own record.
    #[serde(rename = "o")]
    pub sender: Peer,
    /// News of the failure domain, to hosts of the same one.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<Update>,
    /// Digests of other failure domains, and to hosts outside of the sender's.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub digests: Vec<Digest>,
    /// Revisions of the documents that the sender has.
    #[serde(rename = "v")]
    pub revisions: spread::Summary,
    /// How much of what it can take the sender has, in percent.
    #[serde(rename = "l", default)]
    pub load: u8,
    /// A checksum over the sender's records of its failure domain.
    #[serde(rename = "k")]
    pub checksum: u64,
}

/// A row of the platform's list of entry hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The host.
    pub host: name::Host,
    /// Its region.
    pub region: name::Region,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Whether it is about to go.
    pub is_leaving: bool,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed; due every [`TICK`](super::TICK).
    Tick,
    /// The platform's list, as it is now.
    Listed(Vec<Listing>),
    /// A message came.
    Received {
        /// Who sent it.
        from: name::Host,
        /// What it says.
        message: Message,
    },
    /// The documents' revisions here, for heartbeats to carry.
    Revisions(spread::Summary),
    /// How much of what it can take this host has, in percent.
    Load(u8),
    /// This host leaves.
    Leave,
}

/// What the shell must do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// To whom.
        to: name::Host,
        /// What.
        message: Message,
    },
    /// Learn where a peer is reached.
    SetAddress {
        /// The peer.
        host: name::Host,
        /// Its address for peers.
        peer_address: SocketAddr,
    },
    /// Pass the revisions that a peer's heartbeat carried to the spread of documents.
    PassSummary {
        /// The peer.
        from: name::Host,
        /// What it has.
        summary: spread::Summary,
    },
    /// The machine's view has changed.
    ViewChanged,
    /// Log and count it.
    Report(Report),
}

/// A change that operators may want to see.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// The state of a host of this failure domain is another.
    StateChanged {
        /// The host.
        host: name::Host,
        /// What it was, if it was known.
        before: Option<State>,
        /// What it is.
        now: State,
        /// Its incarnation.
        incarnation: u64,
    },
    /// Something untrue was said of this host, and it objects under a new incarnation.
    Refuted {
        /// What was said.
        state: State,
        /// The new incarnation.
        incarnation: u64,
    },
    /// This process was stopped for a while.
    Resumed {
        /// For how long.
        paused_for: Duration,
    },
}
