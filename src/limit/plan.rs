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
pub struct Part {
    /// The most processes that may run at once in the region, counting one that was
    /// replaced and may still be running.
    pub hosts: u32,
    /// The region's part of every customer's capacity, relative to the other rows.
    pub weight: f64,
}

/// How every customer's capacity is cut between the regions. All hosts hold the same
/// plan, but for the seconds in which a change spreads.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// One row for each region.
    pub regions: BTreeMap<name::Region, Part>,
}

/// Which parts of the protocol a fleet runs. All hosts of a fleet run the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Way {
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
    pub term: Duration,
    /// Term of a region's lease, on the holder's clock, from when it asked.
    pub lease: Duration,
    /// How often a holder renews its lease.
    pub renewal: Duration,
    /// How long an ask waits for its grant.
    pub patience: Duration,
    /// How long a host that lent nothing is left alone.
    pub backoff: Duration,
    /// How long a part that a new plan enlarges stays as it was. Every host must have the new
    /// plan in force within this time.
    pub hold: Duration,
    /// Most that a host's clock gains or loses against true time, as a fraction.
    pub drift: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(3),
            lease: Duration::from_secs(4),
            renewal: Duration::from_secs(1),
            patience: Duration::from_secs(1),
            backoff: Duration::from_millis(250),
            hold: Duration::from_secs(30),
            drift: 0.001,
        }
    }
}

impl Timing {
    /// How long a giver waits on its own clock so that `term` has passed on any other.
    pub fn outlast(&self, term: Duration) -> Duration {
        term.mul_f64((1.0 + self.drift) / (1.0 - self.drift))
    }

    /// The longest term that ends on any other clock before `remaining` has passed on this one.
    pub fn within(&self, remaining: Duration) -> Duration {
        remaining.mul_f64((1.0 - self.drift) / (1.0 + self.drift))
    }

    /// How long a process that starts, or wakes, keeps out: all that an earlier one gave or
    /// promised has ended by then.
    pub fn quarantine(&self) -> Duration {
        self.outlast(self.term.max(self.lease)) + Duration::from_millis(1)
    }
}

/// Part of a region's capacity that its processes keep without a lease.
const STANDING: f64 = 0.25;
/// The same in a large region, where it is spread too thin to be of use.
const STANDING_LARGE: f64 = 0.1;
/// Smallest large region.
const LARGE: u32 = 8;
/// Smallest region in which a lease can outlive the death of a process.
const SMALLEST_VOTE: u32 = 3;

/// What the plan means to the processes of one region, as fractions of a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Cut {
    /// What each process keeps.
    pub(super) standing: f64,
    /// What the holder of the lease keeps.
    pub(super) pool: f64,
    /// Votes that make a lease.
    pub(super) quorum: u32,
    /// Most processes at once.
    pub(super) hosts: u32,
}

impl Cut {
    pub(super) const NONE: Self = Self {
        standing: 0.0,
        pool: 0.0,
        quorum: u32::MAX,
        hosts: 0,
    };

    pub(super) fn new(plan: &Plan, region: &name::Region, way: Way) -> Self {
        let total: f64 = plan.regions.values().map(|part| part.weight).sum();
        let Some(part) = plan.regions.get(region) else {
            return Self::NONE;
        };
        if part.hosts == 0 || total <= 0.0 {
            return Self::NONE;
        }
        let fraction = part.weight / total;
        let kept = match way {
            Way::Leases if part.hosts >= LARGE => STANDING_LARGE,
            Way::Leases if part.hosts >= SMALLEST_VOTE => STANDING,
            Way::Static | Way::Loans | Way::Leases => 1.0,
        };
        Self {
            standing: kept * fraction / f64::from(part.hosts),
            pool: (1.0 - kept) * fraction,
            quorum: part.hosts / 2 + 1,
            hosts: part.hosts,
        }
    }

    /// What is safe beside hosts that hold either.
    pub(super) fn meet(self, other: Self) -> Self {
        Self {
            standing: self.standing.min(other.standing),
            pool: self.pool.min(other.pool),
            quorum: self.quorum.max(other.quorum),
            hosts: self.hosts.min(other.hosts),
        }
    }
}
