//! Division of customers' capacity between regions and processes, and the durations of the
//! protocol.

use {
    super::account::Share,
    crate::name,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Rate and burst of a customer over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Refill rate, in tokens per second.
    pub rate: f64,
    /// Maximum number of tokens used at once.
    pub burst: f64,
}

impl Quota {
    /// The given fraction of the quota.
    pub(super) fn part(&self, fraction: f64) -> Share {
        Share {
            rate: self.rate * fraction,
            depth: self.burst * fraction,
        }
    }
}

/// Row of the plan for one region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Region {
    /// Maximum number of processes that may run at once in the region, counting one that was
    /// replaced and may still be running.
    pub max_processes: u32,
    /// Weight of the region's part of every customer's capacity, relative to the other rows.
    pub weight: f64,
}

/// Division of every customer's capacity between the regions. All hosts have the same plan, except
/// for the seconds in which a change spreads.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Rows of the plan; a region without a row has no capacity of its own.
    pub regions: BTreeMap<name::Region, Region>,
}

/// Parts of the protocol that a fleet runs, the same on all its hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mode {
    /// Each process of a region has an equal part, and there are no loans.
    Static,
    /// Each process of a region has an equal part and lends what it does not need.
    Loans,
    /// Each process has a standing part, and the holder of the region's lease has a pooled part,
    /// which it lends.
    Leases,
}

/// Durations of the protocol, the same on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Timing {
    /// Longest term of a loan on the borrower's clock, counted from when it sent the ask.
    pub loan_term: Duration,
    /// Term of a region's lease on the holder's clock, counted from the start of its poll.
    pub lease_term: Duration,
    /// Interval at which a leaseholder renews its lease, and delay per rank between the polls of
    /// other hosts for a free one.
    pub lease_renewal_interval: Duration,
    /// Time after which an ask without a grant is dropped.
    pub ask_timeout: Duration,
    /// First wait before a host that lent nothing is asked again.
    pub initial_backoff: Duration,
    /// Time for which a part that a new plan enlarges keeps its old size. Every host must have the
    /// new plan in force within this time.
    pub increase_delay: Duration,
    /// Maximum that a host's clock gains or loses against true time, as a fraction.
    pub max_clock_drift: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            loan_term: Duration::from_secs(3),
            lease_term: Duration::from_secs(4),
            lease_renewal_interval: Duration::from_secs(1),
            ask_timeout: Duration::from_secs(1),
            initial_backoff: Duration::from_millis(250),
            increase_delay: Duration::from_secs(30),
            max_clock_drift: 0.001,
        }
    }
}

impl Timing {
    /// Time on this host's clock after which `term` has passed on any other host's clock.
    pub fn padded_for_drift(&self, term: Duration) -> Duration {
        term.mul_f64((1.0 + self.max_clock_drift) / (1.0 - self.max_clock_drift))
    }

    /// Longest term that ends on any other host's clock before `remaining` has passed on this one.
    pub fn shrunk_for_drift(&self, remaining: Duration) -> Duration {
        remaining.mul_f64((1.0 - self.max_clock_drift) / (1.0 + self.max_clock_drift))
    }

    /// Time after a start or a pause during which a process uses no part of its own. All loans and
    /// promises of an earlier process have ended by then.
    pub fn quarantine(&self) -> Duration {
        self.padded_for_drift(self.loan_term.max(self.lease_term)) + Duration::from_millis(1)
    }
}

/// Fraction of a region's capacity that is divided into standing parts.
const STANDING_FRACTION: f64 = 0.25;
/// The same in a large region, where each standing part is too small to be useful.
const STANDING_FRACTION_LARGE: f64 = 0.1;
/// Smallest number of processes in a large region.
const MIN_LARGE_REGION: u32 = 8;
/// Smallest number of processes with which a region still has a quorum when one of them dies.
const MIN_LEASE_REGION: u32 = 3;

/// Fractions of a quota that the plan gives to the processes of one region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Allocation {
    /// Standing part of each process.
    pub(super) standing_fraction: f64,
    /// Pooled part of the leaseholder.
    pub(super) pool_fraction: f64,
    /// Votes required for a lease.
    pub(super) quorum: u32,
    /// Maximum number of processes that may run at once.
    pub(super) max_processes: u32,
}

impl Allocation {
    pub(super) const NONE: Self = Self {
        standing_fraction: 0.0,
        pool_fraction: 0.0,
        quorum: u32::MAX,
        max_processes: 0,
    };

    pub(super) fn new(plan: &Plan, region: &name::Region, mode: Mode) -> Self {
        let total: f64 = plan.regions.values().map(|row| row.weight).sum();
        let Some(row) = plan.regions.get(region) else {
            return Self::NONE;
        };
        if row.max_processes == 0 || total <= 0.0 {
            return Self::NONE;
        }
        let fraction = row.weight / total;
        let standing = match mode {
            Mode::Leases if row.max_processes >= MIN_LARGE_REGION => STANDING_FRACTION_LARGE,
            Mode::Leases if row.max_processes >= MIN_LEASE_REGION => STANDING_FRACTION,
            Mode::Static | Mode::Loans | Mode::Leases => 1.0,
        };
        Self {
            standing_fraction: standing * fraction / f64::from(row.max_processes),
            pool_fraction: (1.0 - standing) * fraction,
            quorum: row.max_processes / 2 + 1,
            max_processes: row.max_processes,
        }
    }

    /// Allocation that is safe while some hosts use `self` and others use `other`.
    pub(super) fn strictest(self, other: Self) -> Self {
        Self {
            standing_fraction: self.standing_fraction.min(other.standing_fraction),
            pool_fraction: self.pool_fraction.min(other.pool_fraction),
            quorum: self.quorum.max(other.quorum),
            max_processes: self.max_processes.min(other.max_processes),
        }
    }
}
