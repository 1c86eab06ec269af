//! What the platform publishes of an upstream, decoded.

use {
    crate::name,
    std::{net::SocketAddr, time::Duration},
};

/// One upstream as it last described itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Its name. An upstream that starts again may keep it.
    pub id: name::Upstream,
    /// When this run of it started, in milliseconds of calendar time.
    pub incarnation: u64,
    /// The pool that it belongs to.
    pub pool: name::Pool,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It is about to go.
    pub leaving: bool,
    /// How much longer it is cold.
    pub cold_for: Duration,
    /// Grows with each description of one run.
    pub sequence: u64,
}
