//! The settings of a host, which the program reads at start-up and passes to [`crate::entry`].

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
    /// Address on which it listens for callers.
    pub listen: SocketAddr,
    /// Address on which it listens for other hosts.
    pub peer_listen: SocketAddr,
    /// Address that the directory gives to callers; the listen address if absent.
    pub advertise: Option<SocketAddr>,
    /// Address announced to other hosts; the peer listen address if absent.
    pub peer_advertise: Option<SocketAddr>,
    /// Address on which it listens for operators: health, metrics and status.
    pub admin_listen: SocketAddr,
    /// Address of the platform's configuration service.
    pub platform: SocketAddr,
    /// Shared secret that peers must present; never logged.
    #[serde(skip)]
    pub peer_secret: String,
    /// Largest number of entry hosts that may run at once in the region, including a replaced one
    /// that may still be running.
    pub region_hosts: u32,
    /// Timing of the limit protocol; must be the same on every host.
    pub limit: limit::Timing,
    /// Longest duration of a drain; calls still running after it are aborted.
    pub drain_limit: Duration,
    /// How long a draining host still accepts new requests, while callers learn that it drains.
    pub drain_grace: Duration,
    /// Largest request body, in bytes.
    pub body_limit: usize,
}
