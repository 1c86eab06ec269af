//! What the platform gives, each as a small trait, and one adapter that speaks its protocol.

pub mod http;

use {
    crate::{Result, config::Document, name},
    serde::{Deserialize, Serialize},
    std::{future::Future, net::SocketAddr, time::Duration},
};

/// A document as the service holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Grows with each change of this document.
    pub revision: u64,
    /// The text, in TOML.
    pub text: String,
}

/// The configuration service, which can only be read and watched.
pub trait Documents: Clone + Send + Sync + 'static {
    /// The document as it stands; `None` if there is none.
    fn read(&self, document: Document) -> impl Future<Output = Result<Option<Snapshot>>> + Send;

    /// Waits up to `wait` for a revision above `after`; `None` when the wait ends without one.
    fn watch(
        &self,
        document: Document,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Snapshot>>> + Send;
}

/// The lagging list of hosts.
pub trait Hosts: Clone + Send + Sync + 'static {
    /// The list as the platform has it now.
    fn hosts(&self) -> impl Future<Output = Result<Listing>> + Send;
}

/// The directory of where callers are.
pub trait Clients: Clone + Send + Sync + 'static {
    /// The directory as the platform has it now.
    fn clients(&self) -> impl Future<Output = Result<Directory>> + Send;
}

/// The host list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Every host that the platform knows.
    pub hosts: Vec<Host>,
}

/// One row of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Unique among its kind.
    pub name: String,
    /// What it is.
    pub kind: Kind,
    /// Where callers, or for an upstream the entry hosts, reach it.
    pub address: SocketAddr,
    /// For an entry host, where its peers reach it.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Its region.
    pub region: name::Region,
    /// Its failure domain.
    pub domain: name::Domain,
    /// For an upstream, the pool it belongs to.
    #[serde(default)]
    pub pool: Option<name::Pool>,
    /// Whether it stays.
    pub state: State,
}

/// What a listed host is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// One of the system's own hosts.
    Entry,
    /// A replica of a model engine or of a plain service.
    Upstream,
}

/// Whether a listed host stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It stays.
    Live,
    /// It is about to go.
    Leaving,
}

/// The client directory.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// Networks of callers.
    pub clients: Vec<Client>,
}

/// A network of callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Client {
    /// Address and prefix length, such as `10.1.0.0/16`.
    pub network: String,
    /// The region it is in.
    pub region: name::Region,
    /// The failure domain nearest to it.
    pub domain: name::Domain,
}
