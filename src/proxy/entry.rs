//! The decoded state that an upstream publishes through the platform's store.

use {
    crate::name,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// The state of one upstream as it last published it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the upstream; a restarted upstream may keep it.
    pub id: name::Upstream,
    /// When this process of the upstream started, in milliseconds of calendar time.
    pub incarnation: u64,
    /// The pool that the upstream belongs to.
    pub pool: name::Pool,
    /// Address of the upstream's HTTP server.
    pub address: SocketAddr,
    /// Build of the software that the upstream runs.
    pub build: name::Build,
    /// Failure domain of the upstream.
    pub domain: name::Domain,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
    /// Whether the upstream is about to stop.
    pub leaving: bool,
    /// Remaining time for which the upstream is cold.
    pub cold_for: Duration,
    /// Increases with each publication by one process.
    pub sequence: u64,
}

impl Entry {
    /// Differences between two remaining cold times below this are no change: they come from
    /// rounding and from the age of a heartbeat.
    const COLD_TOLERANCE: Duration = Duration::from_millis(1_500);

    /// Increases with each publication of an upstream, also over its starts.
    pub fn order(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }

    /// Whether another entry of the same upstream, as of the same time, differs only in its
    /// sequence number and, within the tolerance, in its remaining cold time. Becoming cold and
    /// ceasing to be cold always count as differences.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        let difference = self.cold_for.abs_diff(other.cold_for);
        let has_toggled = self.cold_for.is_zero() != other.cold_for.is_zero();
        let normalized = Self {
            sequence: self.sequence,
            cold_for: self.cold_for,
            ..other.clone()
        };
        difference < Self::COLD_TOLERANCE && !has_toggled && *self == normalized
    }
}
