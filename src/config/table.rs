//! The documents as operators write them, in TOML. An unknown field is an error.

use {
    crate::name,
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// The routes document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Routes {
    /// The rows, each `[[route]]`.
    #[serde(default)]
    pub route: Vec<Route>,
}

/// One row of the routes table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: name::Route,
    /// What the route carries.
    pub kind: Kind,
    /// For a model route the model as callers name it; for a plain route absent.
    #[serde(default)]
    pub model: Option<name::Model>,
    /// For a plain route the path prefix under which callers reach it, with a leading slash; for a
    /// model route absent.
    #[serde(default)]
    pub path: Option<String>,
    /// The pools that serve it, by name, in order of preference among equals.
    pub pools: Vec<name::Pool>,
    /// Open to all: needs no key.
    #[serde(default)]
    pub open: bool,
    /// The customers that may use it; empty for every customer.
    #[serde(default)]
    pub customers: BTreeSet<name::Customer>,
    /// Whether a call of a plain route may be repeated. Model calls always may, before their
    /// first token.
    #[serde(default)]
    pub idempotent: bool,
    /// Work that may wait for a trough, such as digests.
    #[serde(default)]
    pub deferrable: bool,
    /// Longest time from a call's arrival to its answer's end, in milliseconds.
    #[serde(default = "Route::default_deadline_ms")]
    pub deadline_ms: u64,
    /// Fewest bytes of a whole prompt that one token of the model stands for. A call is charged by
    /// it before it runs; one is safe for every tokenizer.
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

/// What a route carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Chat and completions calls to model engines.
    Model,
    /// Calls to a plain service.
    Plain,
}

/// The pools document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pools {
    /// The rows, each `[[pool]]`.
    #[serde(default)]
    pub pool: Vec<Pool>,
}

/// One row of the pools table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name, by which routes join.
    pub name: name::Pool,
    /// The region its upstreams are in.
    pub region: name::Region,
    /// How its use is paid for.
    #[serde(default)]
    pub payment: Payment,
    /// Price in the operator's currency for a million tokens; calls of plain services count one
    /// token each.
    #[serde(default)]
    pub price_per_million: f64,
    /// Committed spend for a calendar month, in the operator's currency; zero for none.
    #[serde(default)]
    pub committed_per_month: f64,
    /// An operator's correction: what had been spent this month when this row was written, in the
    /// operator's currency.
    #[serde(default)]
    pub spent_this_month: Option<f64>,
    /// Requests that one upstream runs at once without loss of speed.
    #[serde(default = "Pool::default_slots")]
    pub slots: u32,
    /// Whether its engines refuse an order with an old fencing number.
    #[serde(default)]
    pub fencing: Fencing,
    /// Whether its engines can resume a stream at an offset.
    #[serde(default)]
    pub resume: bool,
    /// The upstreams written by hand; the host list may name more for this pool.
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
    /// Covered by the committed spend, used or not.
    #[default]
    Paid,
    /// Paid for by use, beside the committed spend.
    OnDemand,
}

/// What a pool's engines do with an order whose fencing number is old.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// They refuse it.
    Checked,
    /// They carry it out all the same.
    #[default]
    Ignored,
}

/// One upstream of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Unique name.
    pub name: name::Upstream,
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// Its failure domain.
    pub domain: name::Domain,
}

/// The customers document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customers {
    /// The rows, each `[[customer]]`.
    #[serde(default)]
    pub customer: Vec<Customer>,
}

/// One customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Unique name.
    pub name: name::Customer,
    /// Digests of its keys, as `greengagecleat key digest` prints them; at most two, for rotation.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Tokens a second over the whole fleet.
    pub rate: f64,
    /// Tokens at once over the whole fleet.
    pub burst: f64,
    /// Regions in which its requests may be served; empty for all.
    #[serde(default)]
    pub residency: BTreeSet<name::Region>,
    /// Its share beside others at a busy pool.
    #[serde(default = "Customer::default_weight")]
    pub weight: u32,
}

impl Customer {
    const fn default_weight() -> u32 {
        1
    }
}
