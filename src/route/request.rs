//! What is asked of the router and what it answers.

use {
    crate::{config::table, name},
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Hops that a request may take between hosts, counted from the one that it reached first.
pub const MAX_HOPS: u8 = 2;

/// One request, as far as routing looks at it.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// The route that it came by.
    pub route: &'a table::Route,
    /// Whose it is; none on a route open to all.
    pub customer: Option<&'a table::Customer>,
    /// The start of its prompt, which others may share.
    pub prefix: Option<Prefix>,
    /// Its whole prompt's estimated length in tokens.
    pub prompt_tokens: u32,
    /// Its estimated size in bytes, there and back.
    pub bytes: u64,
    /// When its answer must have ended.
    pub deadline: Duration,
    /// Regions that it has been in before this one.
    pub visited: &'a [name::Region],
    /// Hosts that it has been at before this one.
    pub hosts: &'a [name::Host],
    /// How often it may still be forwarded.
    pub hops_left: u8,
    /// Whether its deadline is worth pools paid for by use.
    pub on_demand: bool,
    /// Upstreams that it has tried already.
    pub tried: &'a [name::Upstream],
}

/// The start of a prompt, by which requests find a warm cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// A hash of the text.
    pub hash: u64,
    /// Its estimated length in tokens.
    pub tokens: u32,
}

/// Where a request goes, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The region that serves it.
    pub region: name::Region,
    /// The pool; in another region, the pool that made that region look best.
    pub pool: name::Pool,
    /// The replica; none when the request is to be forwarded to a host of `region`, which chooses.
    pub upstream: Option<name::Upstream>,
    /// What decided it.
    pub reason: Reason,
    /// The next best, best first.
    pub runners_up: Vec<RunnerUp>,
}

/// What decided a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The replica is believed to hold the prefix.
    #[display("cached")]
    Cached,
    /// The prefix hashes to the replica.
    #[display("affinity")]
    Affinity,
    /// The replica is the least loaded of those looked at.
    #[display("load")]
    Load,
    /// An ejected replica is tried again.
    #[display("probe")]
    Probe,
    /// The customer's residency excludes this region.
    #[display("residency")]
    Residency,
    /// This region has no pool for the route, or no live replica in one.
    #[display("absent")]
    Absent,
    /// Waiting here costs more than the way to another region.
    #[display("spill")]
    Spill,
}

/// A candidate that was not chosen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerUp {
    /// Its region.
    pub region: name::Region,
    /// The replica, when it is in this region.
    pub upstream: Option<name::Upstream>,
    /// The estimated delay there, in milliseconds.
    pub cost_ms: u64,
}

/// Why no choice could be made. Nothing has been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The route isn't open and names other customers.
    #[display("the route is closed to this customer")]
    Closed,
    /// No region that the residency allows serves the route.
    #[display("no region within the customer's residency serves the route")]
    Residency,
    /// The request has been at this host before.
    #[display("the request came back to a host that it had left")]
    Loop,
    /// The request may not be forwarded again and can't be served here.
    #[display("no hops left")]
    Hops,
    /// Nothing that could serve it is live; it may come again after a while.
    #[display("no live upstream serves the route")]
    Unavailable,
    /// The share of the link between regions is used up for now.
    #[display("the link between regions is busy")]
    Link,
}

impl Refusal {
    /// When the caller should come back, if that helps.
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Closed | Self::Residency | Self::Loop | Self::Hops => None,
            Self::Unavailable => Some(Duration::from_secs(2)),
            Self::Link => Some(Duration::from_secs(1)),
        }
    }
}
