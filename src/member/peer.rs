//! Records of hosts and digests of failure domains, as messages carry them.

use {
    crate::name,
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// State of a host. Within one incarnation, a later variant supersedes an earlier one.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes requests.
    #[display("live")]
    Live,
    /// It answered neither directly nor through others, and can still refute the suspicion.
    #[display("suspect")]
    Suspect,
    /// It finishes the requests that it has and takes no new ones.
    #[display("leaving")]
    Leaving,
    /// It is considered dead, since it has not refuted the suspicion in time.
    #[display("dead")]
    Dead,
}

/// Record of a host: its location, its addresses and its state in one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Raised when the host starts and when it refutes a record of itself; zero for a host that is
    /// only known from the platform's list.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// State of the host in this incarnation.
    #[serde(rename = "s")]
    pub state: State,
    /// Region of the host.
    #[serde(rename = "r")]
    pub region: name::Region,
    /// Failure domain of the host.
    #[serde(rename = "d")]
    pub domain: name::Domain,
    /// Address at which callers reach the host.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Address at which other hosts reach the host.
    #[serde(rename = "p")]
    pub peer_address: SocketAddr,
}

impl Peer {
    /// Whether this record is newer than `other`, by incarnation and then by state.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Whether the host is not dead.
    pub fn is_up(&self) -> bool {
        self.state != State::Dead
    }
}

/// A record with the name of its host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Name of the host.
    #[serde(rename = "h")]
    pub host: name::Host,
    /// Record of the host.
    #[serde(rename = "p")]
    pub peer: Peer,
}

/// Summary of a failure domain for hosts outside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Name of the failure domain.
    #[serde(rename = "d")]
    pub domain: name::Domain,
    /// Region of the failure domain.
    #[serde(rename = "r")]
    pub region: name::Region,
    /// Number of live hosts in it.
    #[serde(rename = "l")]
    pub live: u32,
    /// Some of its live hosts, to send messages and requests to.
    #[serde(rename = "c")]
    pub contacts: Vec<Contact>,
    /// Time since a host of the domain created it, in milliseconds.
    #[serde(rename = "t")]
    pub age_ms: u64,
}

/// A live host of another failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Name of the host.
    #[serde(rename = "h")]
    pub host: name::Host,
    /// Address at which callers reach the host.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Address at which other hosts reach the host.
    #[serde(rename = "p")]
    pub peer_address: SocketAddr,
}
