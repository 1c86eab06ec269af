//! What a host reads from the platform: configuration documents, the host list and the client
//! directory. Each is a trait; [`http::Platform`] implements all three over HTTP.

pub mod http;

use {
    crate::{Result, config::Document, name},
    serde::{Deserialize, Serialize},
    std::{future::Future, net::SocketAddr, time::Duration},
};

/// One revision of a configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision number; increases with each change of this document.
    pub revision: u64,
    /// The document's text, in TOML.
    pub text: String,
}

/// Read access to the configuration service.
pub trait Documents: Clone + Send + Sync + 'static {
    /// The current revision of a document; `None` if the document does not exist.
    fn read(&self, document: Document) -> impl Future<Output = Result<Option<Snapshot>>> + Send;

    /// Waits up to `wait` for a revision above `after`; `None` if there is none by then.
    fn watch(
        &self,
        document: Document,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Snapshot>>> + Send;
}

/// Read access to the host list, which lags behind the hosts' real state.
pub trait Hosts: Clone + Send + Sync + 'static {
    /// The platform's current list.
    fn hosts(&self) -> impl Future<Output = Result<Listing>> + Send;
}

/// Read access to the client directory, which maps callers' networks to regions.
pub trait Clients: Clone + Send + Sync + 'static {
    /// The platform's current directory.
    fn clients(&self) -> impl Future<Output = Result<Directory>> + Send;
}

/// The platform's host list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Every entry host and upstream that the platform knows.
    pub hosts: Vec<Host>,
}

/// One row of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name, unique among hosts of its kind.
    pub name: String,
    /// Whether it is an entry host or an upstream.
    pub kind: Kind,
    /// The address at which callers reach an entry host, or entry hosts reach an upstream.
    pub address: SocketAddr,
    /// The address for other entry hosts; absent for an upstream.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// The region that it runs in.
    pub region: name::Region,
    /// The failure domain that it belongs to.
    pub domain: name::Domain,
    /// The pool that an upstream belongs to; absent for an entry host.
    #[serde(default)]
    pub pool: Option<name::Pool>,
    /// Whether it is about to be removed.
    pub state: State,
}

/// The kind of a listed host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A host that runs this gateway.
    Entry,
    /// A replica of a model engine or of a plain service.
    Upstream,
}

/// Whether a listed host is about to be removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It is in service.
    Live,
    /// It is about to be removed.
    Leaving,
}

/// The client directory, which places callers by their network.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// One row for each network of callers.
    pub clients: Vec<Client>,
}

/// A network of callers and its place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Client {
    /// The network in CIDR notation, such as `10.1.0.0/16`.
    pub network: String,
    /// The region that it is in.
    pub region: name::Region,
    /// The failure domain nearest to it.
    pub domain: name::Domain,
}
