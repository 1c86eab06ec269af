//! Messages between hosts, encoded as CBOR in binary web socket messages: control messages
//! ([`Frame`]) and the two directions of an exchange ([`Request`] and [`Answer`]).

use {
    crate::{
        Error, Result,
        attempt::register,
        config::spread,
        limit, member, name,
        natural::Natural,
        proxy::{brief, fleet, origin, reader},
        route,
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{ops::RangeInclusive, time::Duration},
};

/// Largest encoded control message, in bytes: a whole document of 1 MiB, and 64 KiB for the rest.
pub const MESSAGE_LIMIT: usize = 1024 * 1024 + 64 * 1024;
/// HTTP statuses that an answer may have. One with another status tells nothing of the request, which
/// may have run.
pub const ANSWER_STATUSES: RangeInclusive<u16> = 200..=599;

/// A control message, with one variant for each service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the peer's link for an echo, to measure the round-trip time.
    Probe(Probe),
    /// The answer to a probe.
    Echo(Probe),
    /// The load of a region, for the route service.
    Route(route::Digest),
    /// Leases and loans of customers' rates, for the limit service.
    Limit(limit::Message),
    /// Gossip and pings of the membership service.
    Member(member::Message),
    /// Distribution of configuration documents.
    Config(spread::Message),
    /// Claims and records of idempotency keys, for the register.
    Register(register::Message),
    /// A host's state, reported to the others.
    Report(Box<fleet::Report>),
    /// A host's state in short form, for hosts of other regions that understand it.
    Brief(Box<brief::Report>),
    /// What a host of the region has read from the platform.
    Reading(Box<reader::Reading>),
    /// Builds that began streams.
    Origin(origin::Message),
}

/// A round-trip probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The prober's monotonic time when it sent the probe; the echo repeats it.
    pub sent: Duration,
}

/// One control message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The host that sent it.
    pub from: name::Host,
    /// The message of one of the services.
    pub message: Message,
}

/// Number of an exchange, unique on the host that opened it; every answer carries it.
pub type ExchangeId = u64;

/// What a forwarding host sends on an exchange connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Opens an exchange.
    Call {
        /// Number of the exchange.
        id: ExchangeId,
        /// The call to run.
        call: Box<Call>,
    },
}

/// A call as it is forwarded to another host. It never holds the caller's key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The request id that logs, upstreams and the caller see.
    pub request: String,
    /// The route that the entry host resolved.
    pub route: name::Route,
    /// The customer; absent if the route is open and the caller presented no key.
    pub customer: Option<name::Customer>,
    /// Digest of the caller's key, so that withdrawing the key ends the work on this host too.
    pub digest: Option<String>,
    /// Method of the caller's request.
    pub method: String,
    /// Path and query for the upstream.
    pub target: String,
    /// Headers that are passed on to the upstream.
    pub headers: Vec<Header>,
    /// The complete request body.
    pub body: Bytes,
    /// Time left until the deadline when the call is sent.
    pub remaining: Duration,
    /// Regions that the call has visited, ending with the sender's.
    pub visited: Vec<name::Region>,
    /// Hosts that the call has visited, ending with the sender.
    pub hosts: Vec<name::Host>,
    /// How many more times it may be forwarded.
    pub hops: u8,
    /// Version of the configuration by which it was admitted; 0 if configurations have none.
    #[serde(default)]
    pub version: u64,
    /// That version if it is larger than 64 bits hold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub long_version: Option<Natural>,
    /// Hash of the text of that configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version_digest: Option<u64>,
    /// Time from the arrival of the caller's request until the call is sent.
    #[serde(default)]
    pub elapsed: Duration,
    /// The only build that may serve the call, as it began the stream that is resumed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub build: Option<name::Build>,
}

/// An HTTP header that is passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Lower-case name.
    pub name: String,
    /// Value, which need not be UTF-8.
    pub value: Bytes,
}

/// What the serving host sends on an exchange connection: a head, any number of data pieces and an
/// end. A failure takes the place of the head, or ends the body early.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The upstream's status and headers.
    Head {
        /// Number of the exchange.
        id: ExchangeId,
        /// HTTP status.
        status: u16,
        /// Headers that are passed on to the caller.
        headers: Vec<Header>,
        /// The upstream that answers, for the decision log.
        upstream: name::Upstream,
        /// Build of that upstream, where builds are told apart.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        build: Option<name::Build>,
        /// The pool of that upstream.
        pool: name::Pool,
    },
    /// A piece of the body.
    Data {
        /// Number of the exchange.
        id: ExchangeId,
        /// The content of this piece.
        bytes: Bytes,
    },
    /// The end of a complete body.
    End {
        /// Number of the exchange.
        id: ExchangeId,
    },
    /// The call failed, before or after its head was sent.
    Fail {
        /// Number of the exchange.
        id: ExchangeId,
        /// The reason, and whether the work ran.
        failure: crate::failure::Failure,
    },
}

impl Answer {
    /// Number of the exchange that this answer belongs to.
    pub fn id(&self) -> ExchangeId {
        match self {
            Self::Head { id, .. }
            | Self::Data { id, .. }
            | Self::End { id }
            | Self::Fail { id, .. } => *id,
        }
    }
}

/// Encodes a message as CBOR.
pub fn encode<M: Serialize>(message: &M) -> Bytes {
    let mut buffer = Vec::new();
    ciborium::into_writer(message, &mut buffer).expect("writing to memory does not fail");
    buffer.into()
}

/// Decodes a CBOR message; `peer` names the sender in the error.
pub fn decode<M: DeserializeOwned>(bytes: &[u8], peer: &str) -> Result<M> {
    ciborium::from_reader(bytes).map_err(|error| Error::Protocol {
        step: "decoding a peer message",
        peer: peer.into(),
        reason: error.to_string(),
    })
}
