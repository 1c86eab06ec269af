//! What a host is told at its start: one plain structure, filled by the program and handed down.

use {
    crate::{limit, name},
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
};

/// The settings of one host.
#[derive(Debug, Clone, Serialize)]
pub struct Settings {
    /// This host's name, unique in the fleet.
    pub name: name::Host,
    /// The region it is in.
    pub region: name::Region,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where other hosts reach it.
    pub peer_listen: SocketAddr,
    /// The callers' address as the directory names it; absent, where it listens.
    pub advertise: Option<SocketAddr>,
    /// The peers' address as other hosts are told it; absent, where it listens.
    pub peer_advertise: Option<SocketAddr>,
    /// Where operators reach it.
    pub admin_listen: SocketAddr,
    /// The platform's configuration service.
    pub platform: SocketAddr,
    /// A word that peers must present; never logged.
    #[serde(skip)]
    pub peer_secret: String,
    /// The most entry hosts that may run at once in the region, counting one that was replaced
    /// and may still be running.
    pub region_hosts: u32,
    /// The times of the limit's protocol, the same on every host.
    pub limit: limit::Timing,
    /// Longest time that a drain may take before running work is cut.
    pub drain_limit: Duration,
    /// How long a draining host still takes new requests, so that callers can learn of it.
    pub drain_grace: Duration,
    /// Largest request body, in bytes.
    pub body_limit: usize,
}
