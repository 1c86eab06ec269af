//! What hosts say to each other, encoded as CBOR in binary web socket messages.

use {
    crate::{
        Error, Result,
        attempt::register,
        config::spread,
        limit, member, name,
        proxy::{fleet, reader},
        route,
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::time::Duration,
};

/// Largest encoded control message, in bytes: a whole document with room for the rest.
pub const MESSAGE_LIMIT: usize = 1024 * 1024 + 64 * 1024;

/// A control message on a peer connection: one variant a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The link asks for an echo, to measure the round trip.
    Probe(Probe),
    /// The link's answer.
    Echo(Probe),
    /// A region's load.
    Route(route::Digest),
    /// Capacity of customers.
    Limit(limit::Message),
    /// Membership.
    Member(member::Message),
    /// The spread of documents.
    Config(spread::Message),
    /// The idempotency register.
    Register(register::Message),
    /// A host's report to the others.
    Report(Box<fleet::Report>),
    /// What a host of the region has read of the platform.
    Reading(Box<reader::Reading>),
}

/// A round-trip probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The asker's monotonic time, which the answer repeats.
    pub sent: Duration,
}

/// One control message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Who sent it.
    pub from: name::Host,
    /// What it says.
    pub message: Message,
}

/// Number of an exchange, unique on the host that opened it; every answer repeats it.
pub type ExchangeId = u64;

/// What a forwarding host says on an exchange connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Opens an exchange.
    Call {
        /// The exchange's number.
        id: ExchangeId,
        /// The call.
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
    /// The customer, unless the route is open and no key came.
    pub customer: Option<name::Customer>,
    /// Digest of the key that came, so that a withdrawal ends the work here too.
    pub digest: Option<String>,
    /// Method of the caller's request.
    pub method: String,
    /// Path and query for the upstream.
    pub target: String,
    /// Headers that may reach an upstream.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
    /// Time left until the deadline, counted from sending.
    pub remaining: Duration,
    /// Regions that the call has visited, the sender's last.
    pub visited: Vec<name::Region>,
    /// Hosts that the call has visited, the sender last.
    pub hosts: Vec<name::Host>,
    /// How often it may still be forwarded.
    pub hops: u8,
    /// The version of the configuration by which it was admitted, where configurations have one.
    #[serde(default)]
    pub version: u64,
    /// Time since the caller's request arrived, counted until sending.
    #[serde(default)]
    pub elapsed: Duration,
}

/// A header that is relayed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Lower-case name.
    pub name: String,
    /// Value, as bytes.
    pub value: Bytes,
}

/// What the serving host answers on an exchange connection, in the order head, data…, end; or a
/// refusal in place of the head; or a break after it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The upstream's status and headers.
    Head {
        /// The exchange's number.
        id: ExchangeId,
        /// HTTP status.
        status: u16,
        /// Headers that may reach the caller.
        headers: Vec<Header>,
        /// The upstream that answers, for the decision log.
        upstream: name::Upstream,
        /// The pool it belongs to.
        pool: name::Pool,
    },
    /// A piece of the body.
    Data {
        /// The exchange's number.
        id: ExchangeId,
        /// The bytes.
        bytes: Bytes,
    },
    /// The body is complete.
    End {
        /// The exchange's number.
        id: ExchangeId,
    },
    /// No answer, or no more of it.
    Fail {
        /// The exchange's number.
        id: ExchangeId,
        /// Why, and whether the work ran.
        failure: crate::failure::Failure,
    },
}

impl Answer {
    /// The number of the exchange that it belongs to.
    pub fn id(&self) -> ExchangeId {
        match self {
            Self::Head { id, .. }
            | Self::Data { id, .. }
            | Self::End { id }
            | Self::Fail { id, .. } => *id,
        }
    }
}

/// Encodes a message.
pub fn encode<M: Serialize>(message: &M) -> Bytes {
    let mut buffer = Vec::new();
    ciborium::into_writer(message, &mut buffer).expect("writing to memory does not fail");
    buffer.into()
}

/// Decodes a message that `peer` sent.
pub fn decode<M: DeserializeOwned>(bytes: &[u8], peer: &str) -> Result<M> {
    ciborium::from_reader(bytes).map_err(|error| Error::Protocol {
        step: "decoding a peer message",
        peer: peer.into(),
        reason: error.to_string(),
    })
}
