//! Settings, messages, inputs and outputs of the membership state machine.

use {
    super::peer::{Digest, Peer, State, Update},
    crate::{config::spread, name},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Settings of a machine, fixed for one run of the process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this host.
    pub host: name::Host,
    /// Region of the host.
    pub region: name::Region,
    /// Failure domain of the host.
    pub domain: name::Domain,
    /// Address at which callers reach the host.
    pub address: SocketAddr,
    /// Address at which other hosts reach the host.
    pub peer_address: SocketAddr,
    /// Number of this run, which should exceed that of any earlier process of this name, such as
    /// the wall-clock time of the start. A host that learns of a higher number of its own exceeds
    /// it.
    pub incarnation: u64,
    /// Seed of the random choices, such as the order of pings.
    pub seed: u64,
    /// A deliberate defect; `None` outside tests.
    pub mutant: Option<Mutant>,
}

/// Deliberate defects, so that tests can show that they catch them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The last record received wins, whatever its incarnation.
    AcceptAnyIncarnation,
    /// A host that does not answer one ping is dead, without indirect pings and suspicion.
    SkipIndirectPing,
    /// Answers missed during a pause of this host count.
    IgnoreOwnPause,
    /// The platform's list supersedes the known records.
    TrustList,
}

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat, which the receiver answers with an `Ack`.
    Ping {
        /// Sequence number, which the answer repeats.
        sequence: u64,
        /// State that the sender passes on.
        gossip: Box<Gossip>,
    },
    /// Answers a `Ping`.
    Ack {
        /// Sequence number of the ping.
        sequence: u64,
        /// State that the sender passes on.
        gossip: Box<Gossip>,
    },
    /// Asks the receiver to ping a host that did not answer the sender.
    #[serde(rename = "Indirect")]
    IndirectPing {
        /// Sequence number, which the answer repeats.
        sequence: u64,
        /// The host that did not answer.
        target: name::Host,
        /// Address at which other hosts reach it.
        peer_address: SocketAddr,
    },
    /// Answers an `IndirectPing` once the target has answered the sender.
    #[serde(rename = "Vouch")]
    IndirectAck {
        /// Sequence number of the indirect ping.
        sequence: u64,
        /// Host that answered the sender's ping.
        target: name::Host,
    },
    /// Records of the sender's failure domain: all of them, or one that corrects the receiver.
    Table {
        /// Records, each with the name of its host.
        updates: Vec<Update>,
        /// Whether the receiver must answer with all of its records.
        #[serde(rename = "ask")]
        wants_reply: bool,
    },
}

/// State that heartbeats and their answers carry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's own record.
    #[serde(rename = "o")]
    pub sender: Peer,
    /// Recent changes in the failure domain, for receivers in the same one.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<Update>,
    /// Digests of other failure domains and, for receivers outside the sender's, of the sender's.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub digests: Vec<Digest>,
    /// Revisions of the sender's documents.
    #[serde(rename = "v")]
    pub revisions: spread::Summary,
    /// Load of the sender, in percent of its capacity.
    #[serde(rename = "l", default)]
    pub load: u8,
    /// Checksum of the sender's records of its failure domain.
    #[serde(rename = "k")]
    pub checksum: u64,
}

/// A row of the platform's list of entry hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Name of the host.
    pub host: name::Host,
    /// Region of the host.
    pub region: name::Region,
    /// Failure domain of the host.
    pub domain: name::Domain,
    /// Address at which callers reach the host.
    pub address: SocketAddr,
    /// Address at which other hosts reach the host.
    pub peer_address: SocketAddr,
    /// Whether the platform lists it as leaving.
    pub is_leaving: bool,
}

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed; sent every [`TICK`](super::TICK).
    Tick,
    /// The current list of the platform.
    Listed(Vec<Listing>),
    /// A message from another host arrived.
    Received {
        /// Host that sent it.
        from: name::Host,
        /// Heartbeat, answer, indirect ping or table.
        message: Message,
    },
    /// Revisions of this host's documents, for heartbeats.
    Revisions(spread::Summary),
    /// Load of this host, in percent of its capacity.
    Load(u8),
    /// This host starts to leave.
    Leave,
}

/// An output of the state machine, which its caller carries out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Send a message, which may be lost.
    Send {
        /// Host that receives it.
        to: name::Host,
        /// Heartbeat, answer, indirect ping or table.
        message: Message,
    },
    /// Set the address for messages to a peer.
    SetAddress {
        /// Peer whose address is set.
        host: name::Host,
        /// Address at which other hosts reach it.
        peer_address: SocketAddr,
    },
    /// Pass the revisions in a peer's heartbeat to the spread of documents.
    PassSummary {
        /// Peer that sent the heartbeat.
        from: name::Host,
        /// Revisions of its documents.
        summary: spread::Summary,
    },
    /// The view of the machine has changed.
    ViewChanged,
    /// Log and count a report.
    Report(Report),
}

/// A change that is logged for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// The state of a host of this failure domain has changed.
    StateChanged {
        /// Host whose state has changed.
        host: name::Host,
        /// State before the change; `None` if the host was unknown.
        before: Option<State>,
        /// State after the change.
        now: State,
        /// Incarnation that the new state belongs to.
        incarnation: u64,
    },
    /// This host received a wrong record of itself and refutes it with a new incarnation.
    Refuted {
        /// State in the wrong record.
        state: State,
        /// New incarnation of this host.
        incarnation: u64,
    },
    /// This process resumed after a pause.
    Resumed {
        /// Time since the event before, on this host's clock.
        paused_for: Duration,
    },
}
