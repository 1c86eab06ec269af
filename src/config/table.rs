//! The schema of the documents that operators write in TOML. An unknown field is an error.

use {
    crate::name,
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// The routes document: which calls are served, and by which pools.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Routes {
    /// Rows, each a `[[route]]` table, in the order of the document.
    #[serde(default)]
    pub route: Vec<Route>,
}

/// One row of the routes table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name, unique among routes.
    pub name: name::Route,
    /// Whether the route serves a model or a plain service.
    pub kind: Kind,
    /// The model's name in calls. Required for a model route, absent for a plain one.
    #[serde(default)]
    pub model: Option<name::Model>,
    /// Path prefix of its calls, with a leading slash. Required for a plain route, absent for a
    /// model one.
    #[serde(default)]
    pub path: Option<String>,
    /// Names of the pools that serve it. Among equally good pools an earlier one is preferred.
    pub pools: Vec<name::Pool>,
    /// Whether calls need no API key.
    #[serde(default)]
    pub open: bool,
    /// Customers that may use it; empty to admit every customer.
    #[serde(default)]
    pub customers: BTreeSet<name::Customer>,
    /// Whether calls of a plain route may be retried. Model calls may always be retried before
    /// their first token.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether calls may wait for a time of low load, such as those that compute digests.
    #[serde(default)]
    pub deferrable: bool,
    /// Longest time from the arrival of a call to the end of its answer, in milliseconds.
    #[serde(default = "Route::default_deadline_ms")]
    pub deadline_ms: u64,
    /// Fewest bytes per token over a whole prompt. Before a call runs, its prompt tokens are
    /// estimated and charged by this value; 1 is safe for every tokenizer.
    #[serde(default = "Route::default_bytes_per_token")]
    pub bytes_per_token: f64,
}

impl Route {
    const fn default_deadline_ms() -> u64 {
        120_000
    }

    const fn default_bytes_per_token() -> f64 {
        1.0
    }
}

/// The kind of calls that a route serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Chat and completion calls to model engines.
    Model,
    /// HTTP calls to a plain service.
    Plain,
}

/// The pools document: groups of upstreams in one region, with their payment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pools {
    /// Rows, each a `[[pool]]` table, in the order of the document.
    #[serde(default)]
    pub pool: Vec<Pool>,
}

/// One row of the pools table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name, by which routes refer to it.
    pub name: name::Pool,
    /// Region of its upstreams.
    pub region: name::Region,
    /// How its use is paid for.
    #[serde(default)]
    pub payment: Payment,
    /// Price of a million tokens, in the operator's currency. A call of a plain service counts as
    /// one token.
    #[serde(default)]
    pub price_per_million: f64,
    /// Committed spend per calendar month, in the operator's currency; zero for none.
    #[serde(default)]
    pub committed_per_month: f64,
    /// Correction by the operator: the amount spent this month when this row was written, in the
    /// operator's currency.
    #[serde(default)]
    pub spent_this_month: Option<f64>,
    /// Requests that one upstream can run in parallel without slowing down.
    #[serde(default = "Pool::default_slots")]
    pub slots: u32,
    /// Whether its engines check the fencing numbers of orders.
    #[serde(default)]
    pub fencing: Fencing,
    /// Whether its engines can resume a stream at a token offset.
    #[serde(default)]
    pub resume: bool,
    /// Upstreams listed in the document. The host list may add more to this pool.
    #[serde(default)]
    pub upstream: Vec<Upstream>,
}

impl Pool {
    const fn default_slots() -> u32 {
        16
    }
}

/// How use of a pool is paid for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Payment {
    /// Covered by the committed spend, whether it is used or not.
    #[default]
    Paid,
    /// Billed by use, in addition to the committed spend.
    OnDemand,
}

/// What a pool's engines do with an order whose fencing number is old.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Engines refuse such an order.
    Checked,
    /// Engines execute such an order nevertheless.
    #[default]
    Ignored,
}

/// One upstream of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name, unique among all upstreams of the document.
    pub name: name::Upstream,
    /// IP address and port, not shared with another upstream.
    pub address: std::net::SocketAddr,
    /// Failure domain of the upstream.
    pub domain: name::Domain,
}

/// The customers document: who may call, with which keys and limits.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customers {
    /// Rows, each a `[[customer]]` table, in the order of the document.
    #[serde(default)]
    pub customer: Vec<Customer>,
}

/// One row of the customers table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name, unique among customers.
    pub name: name::Customer,
    /// Digests of its API keys, as printed by `greengagecleat key digest`; at most two, for
    /// rotation.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Sustained rate limit over the whole fleet, in tokens per second.
    pub rate: f64,
    /// Burst limit over the whole fleet, in tokens.
    pub burst: f64,
    /// Regions that may serve its requests; empty for all.
    #[serde(default)]
    pub residency: BTreeSet<name::Region>,
    /// Relative share of a busy pool.
    #[serde(default = "Customer::default_weight")]
    pub weight: u32,
}

impl Customer {
    const fn default_weight() -> u32 {
        1
    }
}
