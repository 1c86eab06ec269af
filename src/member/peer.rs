//! What is known of one host.

use {
    crate::name,
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The state of a host. Within one incarnation a later state of this list replaces an earlier one.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It serves.
    #[display("live")]
    Live,
    /// It has not answered, neither directly nor through others, and may still object.
    #[display("suspect")]
    Suspect,
    /// It serves what it has and wants nothing new.
    #[display("leaving")]
    Leaving,
    /// It is gone.
    #[display("dead")]
    Dead,
}

/// A host's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Grows when the host starts and when it objects to what is said of it; zero for a host that
    /// is only known from the platform's list.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Its state.
    #[serde(rename = "s")]
    pub state: State,
    /// Its region.
    #[serde(rename = "r")]
    pub region: name::Region,
    /// Its failure domain.
    #[serde(rename = "d")]
    pub domain: name::Domain,
    /// Where callers reach it.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Where its peers reach it.
    #[serde(rename = "p")]
    pub peer_address: SocketAddr,
}

impl Peer {
    /// Whether this record replaces `other`.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Whether the host may be talked to.
    pub fn is_up(&self) -> bool {
        self.state != State::Dead
    }
}

/// A record and whose it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The host.
    #[serde(rename = "h")]
    pub host: name::Host,
    /// Its record.
    #[serde(rename = "p")]
    pub peer: Peer,
}

/// What hosts outside a failure domain know of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The failure domain.
    #[serde(rename = "d")]
    pub domain: name::Domain,
    /// Its region.
    #[serde(rename = "r")]
    pub region: name::Region,
    /// Live hosts in it.
    #[serde(rename = "l")]
    pub live: u32,
    /// Some of its live hosts.
    #[serde(rename = "c")]
    pub contacts: Vec<Contact>,
    /// Time since a host of the domain wrote it, in milliseconds.
    #[serde(rename = "t")]
    pub age_ms: u64,
}

/// A live host of another failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// The host.
    #[serde(rename = "h")]
    pub host: name::Host,
    /// Where callers reach it.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Where its peers reach it.
    #[serde(rename = "p")]
    pub peer_address: SocketAddr,
}
