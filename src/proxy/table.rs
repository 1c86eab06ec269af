//! The configuration in force: routes by host and path prefix, pools, customers and their keys.

use {
    crate::{key::Digest, name},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// One accepted version of the configuration.
#[derive(Debug, Default)]
pub struct Table {
    /// Grows with each change; a lower one never replaces a higher one.
    pub version: u64,
    routes: BTreeMap<String, Vec<Arc<Route>>>,
    pools: BTreeMap<name::Pool, Arc<Pool>>,
    customers: BTreeMap<name::Customer, Arc<Customer>>,
    keys: BTreeMap<Digest, name::Customer>,
    /// What callers may send.
    pub limits: Limits,
}

/// Where requests of a host and path prefix go.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: name::Route,
    /// The authority that callers ask for.
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The pools that serve it, with their weights.
    pub pools: Vec<(name::Pool, u32)>,
    /// Longest time until the end of an answer.
    pub timeout: Duration,
    /// Time to the first byte of the answer's body within which it is on time.
    pub objective: Duration,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// Upstreams to which one request may be sent.
    pub max_attempts: u32,
    /// Needs no key.
    pub is_public: bool,
    /// Regions in which its requests may be served; empty for all.
    pub home_regions: BTreeSet<name::Region>,
}

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// An event stream that runs at most once.
    Stream,
    /// An event stream that another upstream can take up after the last event that was delivered.
    Resumable,
}

impl Kind {
    /// Whether a request may run again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// Upstreams that do the same work.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Unique name.
    pub name: name::Pool,
    /// Requests a second that a cold upstream takes from all hosts together; zero for no bound.
    pub cold_per_s: f64,
    /// Set for pools of model engines.
    pub engine: Option<Engine>,
}

/// A pool's model engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
}

/// A customer with its share of the whole fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Unique name.
    pub name: name::Customer,
    /// Takes precedence over the route's priority.
    pub priority: Option<u8>,
    /// Units a second; zero for no limit.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
    /// Whether a unit is a token; else it is a request.
    pub counts_tokens: bool,
    /// Tokens that a request without a token count stands for.
    pub plain_tokens: f64,
    /// Regions in which its requests may be served; empty for all.
    pub home_regions: BTreeSet<name::Region>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request to arrive.
    pub arrival_timeout: Duration,
}

impl Default for Limits {
    /// What applies before a configuration is known.
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            arrival_timeout: Duration::from_secs(5),
        }
    }
}

/// The rows of a configuration, before they are joined.
#[derive(Debug, Default)]
pub struct Rows {
    /// Its version.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The customers, each with its keys' digests.
    pub customers: Vec<(Customer, Vec<Digest>)>,
    /// What callers may send.
    pub limits: Limits,
}

/// Why a request is not served under a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// No route has its host and path.
    RouteUnknown,
    /// The route needs a key, and none that is known came.
    KeyUnknown,
    /// The homes of route and customer have no region in common.
    NoHome,
}

/// What the configuration says of one request.
#[derive(Debug, Clone)]
pub struct Match {
    /// Its route.
    pub route: Arc<Route>,
    /// Whose it is; none on an open route.
    pub customer: Option<Arc<Customer>>,
    /// Regions in which it may be served; empty for all.
    pub home_regions: BTreeSet<name::Region>,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// The version that says so.
    pub version: u64,
}

impl Table {
    /// Joins the rows of one version.
    pub fn new(rows: Rows) -> Self {
        let mut table = Self {
            version: rows.version,
            limits: rows.limits,
            ..Self::default()
        };
        for route in rows.routes {
            let of_host = table.routes.entry(route.host.clone()).or_default();
            of_host.push(Arc::new(route));
        }
        for routes in table.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        for pool in rows.pools {
            table.pools.insert(pool.name.clone(), Arc::new(pool));
        }
        for (customer, keys) in rows.customers {
            for key in keys {
                table.keys.insert(key, customer.name.clone());
            }
            table
                .customers
                .insert(customer.name.clone(), Arc::new(customer));
        }
        table
    }

    /// The route with the longest prefix among those of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// A pool by name.
    pub fn pool(&self, name: &name::Pool) -> Option<&Arc<Pool>> {
        self.pools.get(name)
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        self.pools.values()
    }

    /// All customers.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.customers.values()
    }

    /// The longest objective of the routes that a pool serves.
    pub fn longest_objective(&self, pool: &name::Pool) -> Duration {
        let serves = |route: &&Arc<Route>| route.pools.iter().any(|(name, _)| name == pool);
        let routes = self.routes.values().flatten().filter(serves);
        routes
            .map(|route| route.objective)
            .max()
            .unwrap_or_default()
    }

    /// How many routes of a host and how many customers allow a region.
    pub fn suitability(&self, host: &str, region: &name::Region) -> usize {
        let allows = |homes: &BTreeSet<name::Region>| homes.is_empty() || homes.contains(region);
        let routes = self.routes.get(host).into_iter().flatten();
        let routes = routes.filter(|route| allows(&route.home_regions)).count();
        let customers = self.customers.values();
        routes
            + customers
                .filter(|customer| allows(&customer.home_regions))
                .count()
    }

    /// What this version says of a request.
    pub fn resolve(&self, host: &str, path: &str, key: Option<&[u8]>) -> Result<Match, Denial> {
        let route = self.route(host, path).ok_or(Denial::RouteUnknown)?;
        let known = key.and_then(|key| self.keys.get(&Digest::of(key)));
        let customer = known.and_then(|name| self.customers.get(name));
        if customer.is_none() && !route.is_public && !self.customers.is_empty() {
            return Err(Denial::KeyUnknown);
        }
        self.join(route, customer).ok_or(Denial::NoHome)
    }

    /// What this version says of a request that another host has admitted, if it still may run.
    pub fn match_forwarded(
        &self,
        route: &name::Route,
        customer: Option<&name::Customer>,
    ) -> Option<Match> {
        let mut routes = self.routes.values().flatten();
        let route = routes.find(|known| known.name == *route)?;
        let customer = match customer {
            Some(name) => Some(self.customers.get(name)?),
            None => None,
        };
        self.join(route, customer)
    }

    /// A route with a customer; `None` if their homes have no region in common.
    fn join(&self, route: &Arc<Route>, customer: Option<&Arc<Customer>>) -> Option<Match> {
        let mut homes = route.home_regions.clone();
        if let Some(customer) = customer
            && !customer.home_regions.is_empty()
        {
            if homes.is_empty() {
                homes.clone_from(&customer.home_regions);
            } else {
                homes.retain(|region| customer.home_regions.contains(region));
                if homes.is_empty() {
                    return None;
                }
            }
        }
        let of_customer = customer.and_then(|customer| customer.priority);
        Some(Match {
            route: route.clone(),
            priority: of_customer.unwrap_or(route.priority),
            customer: customer.cloned(),
            home_regions: homes,
            version: self.version,
        })
    }
}

impl Match {
    /// Whether it may be served in a region.
    pub fn allows(&self, region: &name::Region) -> bool {
        self.home_regions.is_empty() || self.home_regions.contains(region)
    }

    /// What it counts against the customer's rate, given its prompt and output tokens.
    pub fn cost(&self, tokens: Option<(u32, u32)>) -> f64 {
        match &self.customer {
            None => 0.0,
            Some(customer) if !customer.counts_tokens => 1.0,
            Some(customer) => tokens.map_or(customer.plain_tokens, |(input, output)| {
                f64::from(input) + f64::from(output)
            }),
        }
    }
}
