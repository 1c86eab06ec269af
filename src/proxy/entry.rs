//! What the platform publishes of an upstream, decoded.

use {
    crate::name,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// One upstream as it last described itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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

impl Entry {
    /// Difference of two remaining times in the cold that comes from rounding and from the age of
    /// a heartbeat, and is no change.
    const COLD_TOLERANCE: Duration = Duration::from_millis(1_500);

    /// Whether another description of the upstream, of the same time, says the same but for its
    /// number.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        let cold = self.cold_for.abs_diff(other.cold_for);
        let thawed = self.cold_for.is_zero() != other.cold_for.is_zero();
        let counted = Self {
            sequence: self.sequence,
            cold_for: self.cold_for,
            ..other.clone()
        };
        cold < Self::COLD_TOLERANCE && !thawed && *self == counted
    }
}
