//! How the fleet's capacity is cut, and the times that the protocol keeps.

use {
    super::account::Share,
    crate::name,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// What a customer may use over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens at once.
    pub burst: f64,
}

impl Quota {
    /// The given part of the quota.
    pub(super) fn part(&self, fraction: f64) -> Share {
        Share {
            rate: self.rate * fraction,
            depth: self.burst * fraction,
        }
    }
}

/// The region's row of the plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Region {
    /// The most processes that may run at once in the region, counting one that was
    /// replaced and may still be running.
    pub max_processes: u32,
    /// The region's part of every customer's capacity, relative to the other rows.
    pub weight: f64,
}

/// How every customer's capacity is cut between the regions. All hosts hold the same
/// plan, but for the seconds in which a change spreads.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// One row for each region.
    pub regions: BTreeMap<name::Region, Region>,
}

/// Which parts of the protocol a fleet runs. All hosts of a fleet run the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mode {
    /// Each process keeps an equal part and nothing moves.
    Static,
    /// Each process keeps an equal part and lends what it doesn't need.
    Loans,
    /// A standing part for each process, and a pooled part for the holder of the region's lease,
    /// which lends it.
    Leases,
}

/// Times of the protocol, the same on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Timing {
    /// Longest term of a loan, on the borrower's clock, from when it asked.
    pub loan_term: Duration,
    /// Term of a region's lease, on the holder's clock, from when it asked.
    pub lease_term: Duration,
    /// How often a holder renews its lease.
    pub lease_renewal_interval: Duration,
    /// How long an ask waits for its grant.
    pub ask_timeout: Duration,
    /// How long a host that lent nothing is left alone.
    pub initial_backoff: Duration,
    /// How long a part that a new plan enlarges stays as it was. Every host must have the new
    /// plan in force within this time.
    pub increase_delay: Duration,
    /// Most that a host's clock gains or loses against true time, as a fraction.
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
    /// How long a giver waits on its own clock so that `term` has passed on any other.
    pub fn padded_for_drift(&self, term: Duration) -> Duration {
        term.mul_f64((1.0 + self.max_clock_drift) / (1.0 - self.max_clock_drift))
    }

    /// The longest term that ends on any other clock before `remaining` has passed on this one.
    pub fn shrunk_for_drift(&self, remaining: Duration) -> Duration {
        remaining.mul_f64((1.0 - self.max_clock_drift) / (1.0 + self.max_clock_drift))
    }

    /// How long a process that starts, or wakes, keeps out: all that an earlier one gave or
    /// promised has ended by then.
    pub fn quarantine(&self) -> Duration {
        self.padded_for_drift(self.loan_term.max(self.lease_term)) + Duration::from_millis(1)
    }
}

/// Part of a region's capacity that its processes keep without a lease.
const STANDING_FRACTION: f64 = 0.25;
/// The same in a large region, where it is spread too thin to be of use.
const STANDING_FRACTION_LARGE: f64 = 0.1;
/// Smallest large region.
const MIN_LARGE_REGION: u32 = 8;
/// Smallest region in which a lease can outlive the death of a process.
const MIN_LEASE_REGION: u32 = 3;

/// What the plan means to the processes of one region, as fractions of a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Allocation {
    /// What each process keeps.
    pub(super) standing_fraction: f64,
    /// What the holder of the lease keeps.
    pub(super) pool_fraction: f64,
    /// Votes that make a lease.
    pub(super) quorum: u32,
    /// Most processes at once.
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
        let total: f64 = plan.regions.values().map(|part| part.weight).sum();
        let Some(part) = plan.regions.get(region) else {
            return Self::NONE;
        };
        if part.max_processes == 0 || total <= 0.0 {
            return Self::NONE;
        }
        let fraction = part.weight / total;
        let kept = match mode {
            Mode::Leases if part.max_processes >= MIN_LARGE_REGION => STANDING_FRACTION_LARGE,
            Mode::Leases if part.max_processes >= MIN_LEASE_REGION => STANDING_FRACTION,
            Mode::Static | Mode::Loans | Mode::Leases => 1.0,
        };
        Self {
            standing_fraction: kept * fraction / f64::from(part.max_processes),
            pool_fraction: (1.0 - kept) * fraction,
            quorum: part.max_processes / 2 + 1,
            max_processes: part.max_processes,
        }
    }

    /// What is safe beside hosts that hold either.
    pub(super) fn strictest(self, other: Self) -> Self {
        Self {
            standing_fraction: self.standing_fraction.min(other.standing_fraction),
            pool_fraction: self.pool_fraction.min(other.pool_fraction),
            quorum: self.quorum.max(other.quorum),
            max_processes: self.max_processes.min(other.max_processes),
        }
    }
}
