//! Inputs and results of the router: requests, choices and refusals.

use {
    crate::{config::table, name},
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Number of times that a request may be forwarded between hosts.
pub const MAX_HOPS: u8 = 2;

/// The properties of a request that routing depends on.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// Route that the request matched.
    pub route: &'a table::Route,
    /// Customer that sent the request; `None` on an open route.
    pub customer: Option<&'a table::Customer>,
    /// Prefix of the prompt, which other requests may share; `None` for requests without a prompt.
    pub prefix: Option<Prefix>,
    /// Estimated length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// Estimated size of request and answer together, in bytes.
    pub bytes: u64,
    /// When the answer must have ended.
    pub deadline: Duration,
    /// Regions that the request was forwarded from.
    pub visited: &'a [name::Region],
    /// Hosts that the request was forwarded from.
    pub hosts: &'a [name::Host],
    /// Number of times that the request may still be forwarded.
    pub hops_left: u8,
    /// Whether pools that are paid for by use are considered from the start.
    pub on_demand: bool,
    /// Upstreams that the request was sent to already.
    pub tried: &'a [name::Upstream],
}

/// The start of a prompt, by which requests are sent to a replica with a warm cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// Hash of the text.
    pub hash: u64,
    /// Estimated length in tokens.
    pub tokens: u32,
}

/// Decision on where a request goes, with its reason.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Region that serves the request.
    pub region: name::Region,
    /// Pool that serves the request; for another region, the pool for which that region was chosen.
    pub pool: name::Pool,
    /// Replica; `None` when the request is to be forwarded to a host of `region`, which chooses
    /// one.
    pub upstream: Option<name::Upstream>,
    /// Reason for the choice.
    pub reason: Reason,
    /// Next best candidates, best first.
    pub runners_up: Vec<RunnerUp>,
}

/// Reason for a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// A cache hint says that the replica holds the prefix.
    #[display("cached")]
    Cached,
    /// The replica is the first in the prefix's rendezvous order.
    #[display("affinity")]
    Affinity,
    /// The replica has the least expected delay of the candidates.
    #[display("load")]
    Load,
    /// The request probes a replica whose ejection is over.
    #[display("probe")]
    Probe,
    /// The request is forwarded, as the customer's residency excludes this region.
    #[display("residency")]
    Residency,
    /// The request is forwarded, as this region has no pool for the route or no usable replica.
    #[display("absent")]
    Absent,
    /// The request is forwarded, as this host can't connect to the upstreams of its region.
    #[display("unreached")]
    Unreached,
    /// The request is forwarded, as waiting here takes longer than the way to another region.
    #[display("spill")]
    Spill,
}

/// A candidate that was not chosen, for the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerUp {
    /// Region of the candidate.
    pub region: name::Region,
    /// Replica; `None` for a pool as a whole.
    pub upstream: Option<name::Upstream>,
    /// Expected delay at the candidate, in milliseconds.
    pub cost_ms: u64,
}

/// Why no choice could be made. The request has not been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The route is not open, and the request has no customer or one that the route does not name.
    #[display("the route is closed to this customer")]
    Closed,
    /// No region within the customer's residency serves the route.
    #[display("no region within the customer's residency serves the route")]
    Residency,
    /// The request has been at this host before.
    #[display("the request came back to a host that it had left")]
    Loop,
    /// The request has no hops left and cannot be served here.
    #[display("no hops left")]
    Hops,
    /// No upstream that could serve the request is live. A later retry may succeed.
    #[display("no live upstream serves the route")]
    Unavailable,
    /// This host can't connect to the upstreams of its region, and knows of no host that serves the
    /// route instead. A later retry may succeed.
    #[display("no upstream that serves the route can be reached")]
    Unreached,
    /// The host's share of the bandwidth between regions is used up for now.
    #[display("the link between regions is busy")]
    Link,
}

impl Refusal {
    /// Delay after which the caller should retry; `None` if a retry would not help.
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Closed | Self::Residency | Self::Loop | Self::Hops => None,
            Self::Unavailable | Self::Unreached => Some(Duration::from_secs(2)),
            Self::Link => Some(Duration::from_secs(1)),
        }
    }
}
