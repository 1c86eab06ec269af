//! The configuration in force: routes by host and path prefix, pools, and customers with their
//! keys.

use {
    crate::{key::Digest, name, natural::Natural},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// One accepted version of the configuration, indexed for lookups.
#[derive(Debug, Default)]
pub struct Table {
    /// Increases with each change; a lower version never replaces a higher one.
    pub version: Natural,
    /// Hash of the published text. A store that was restored may show one version with two texts.
    pub digest: u64,
    routes: BTreeMap<String, Vec<Arc<Route>>>,
    pools: BTreeMap<name::Pool, Arc<Pool>>,
    /// The routes that each pool serves.
    pool_routes: BTreeMap<name::Pool, Vec<Arc<Route>>>,
    customers: BTreeMap<name::Customer, Arc<Customer>>,
    keys: BTreeMap<Digest, name::Customer>,
    /// Path prefixes of each host, with the name of the host, of routes that can't be read or have no pool that can.
    withheld_paths: BTreeMap<String, Vec<String>>,
    /// Keys of customers that can't be read.
    withheld_keys: BTreeSet<Digest>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// The rows that could not be decoded.
    pub unreadable: Vec<Unreadable>,
}

/// Maps requests of one host and path prefix to pools.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Unique name of the route.
    pub name: name::Route,
    /// The authority in the `Host` header of requests.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated, and whether answers are streams.
    pub kind: Kind,
    /// The pools that serve the route, each with its weight.
    pub pools: Vec<(name::Pool, u32)>,
    /// Time limit from the arrival of a request to the end of its answer.
    pub timeout: Duration,
    /// Target for the time to the first byte of the answer's body.
    pub objective: Duration,
    /// Longest pause between two events of an answer that is on time; `None` if the route states none.
    pub max_gap: Option<Duration>,
    /// Priority of the route's requests, 0 the most urgent.
    pub priority: u8,
    /// Upper bound on the upstreams to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Regions in which requests may be served; empty for all.
    pub home_regions: BTreeSet<name::Region>,
}

/// Whether a route's requests may be repeated, and whether its answers are streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// An event stream; a request runs at most once.
    Stream,
    /// An event stream that another upstream can resume after the last delivered event.
    Resumable,
}

impl Kind {
    /// Whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether answers are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A set of interchangeable upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Unique name of the pool.
    pub name: name::Pool,
    /// Requests per second that a cold upstream accepts from all hosts together; 0 for no limit.
    pub cold_per_s: f64,
    /// Present for pools of model engines, absent for pools of plain services.
    pub engine: Option<Engine>,
}

/// Properties of each model engine of a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Number of requests that an engine runs at once.
    pub slots: u32,
    /// Capacity of an engine's memory in tokens.
    pub memory_tokens: u64,
}

/// A customer and its limits, which apply across the whole fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Unique name of the customer.
    pub name: name::Customer,
    /// Overrides the route's priority if present.
    pub priority: Option<u8>,
    /// Units per second; 0 for no limit.
    pub rate: f64,
    /// Units that may be spent at once.
    pub burst: f64,
    /// Whether a unit is a token; otherwise it is a request.
    pub counts_tokens: bool,
    /// Tokens charged for a request that states no token count.
    pub plain_tokens: f64,
    /// Regions in which the customer's requests may be served; empty for all.
    pub home_regions: BTreeSet<name::Region>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Time limit for a request's body to arrive.
    pub arrival_timeout: Duration,
}

impl Default for Limits {
    /// Limits that apply before the first configuration is installed.
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            arrival_timeout: Duration::from_secs(5),
        }
    }
}

/// Identifies a configuration.
#[derive(Debug, Clone)]
pub struct Edition {
    /// Its version; zero before the first.
    pub version: Natural,
    /// Hash of its text; `None` if that is not known, as hosts of older builds don't tell it.
    pub digest: Option<u64>,
}

impl Edition {
    /// Whether it is at least as new as another one. Of two texts with the same version, none is newer.
    pub fn covers(&self, other: &Self) -> bool {
        let is_same_text = || {
            let texts = self.digest.zip(other.digest);
            texts.is_none_or(|(own, other)| own == other)
        };
        self.version > other.version || self.version == other.version && is_same_text()
    }
}

/// The rows of a configuration before [`Table::new`] indexes them.
#[derive(Debug, Default)]
pub struct Rows {
    /// Version of the configuration.
    pub version: Natural,
    /// Hash of the published text.
    pub digest: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// All customers, each with the digests of its keys.
    pub customers: Vec<(Customer, Vec<Digest>)>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Rows that could not be decoded.
    pub unreadable: Vec<Unreadable>,
}

/// A row that could not be decoded as a whole.
#[derive(Debug, Clone, PartialEq)]
pub struct Unreadable {
    /// What is known of it.
    pub row: Row,
    /// Which row it is, and why it could not be decoded.
    pub reason: String,
}

/// What is known of a row that could not be decoded as a whole.
#[derive(Debug, Clone, PartialEq)]
pub enum Row {
    /// A route, by the requests that it takes.
    Route {
        /// The authority in the `Host` header of requests.
        host: String,
        /// Path prefix.
        prefix: String,
    },
    /// A pool, by its name.
    Pool(name::Pool),
    /// A customer, by its keys.
    Customer(Vec<Digest>),
    /// Nothing that requests could be told by.
    Unknown,
}

/// Why the configuration does not allow a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// No route matches the host and path.
    RouteUnknown,
    /// The route needs a key and the request has none or an unknown one.
    KeyUnknown,
    /// No region is a home of both the route and the customer.
    NoHome,
    /// The row of the route, of its pools or of the customer can't be read.
    Unreadable,
}

/// The result of looking up a request in the configuration.
#[derive(Debug, Clone)]
pub struct Match {
    /// The route that the request matches.
    pub route: Arc<Route>,
    /// The customer that sent the request; `None` if it came without a known key.
    pub customer: Option<Arc<Customer>>,
    /// Regions in which the request may be served; empty for all.
    pub home_regions: BTreeSet<name::Region>,
    /// Priority of the request, 0 the most urgent.
    pub priority: u8,
    /// The configuration that was used.
    pub edition: Edition,
}

impl Table {
    /// Identifies the configuration.
    pub fn edition(&self) -> Edition {
        Edition {
            version: self.version.clone(),
            digest: Some(self.digest),
        }
    }

    /// Builds the indexes of one version. Requests that need a row that can't be read are rejected, even
    /// where a route with a shorter prefix would take them; all others are served.
    pub fn new(rows: Rows) -> Self {
        let mut table = Self {
            version: rows.version,
            digest: rows.digest,
            limits: rows.limits,
            ..Self::default()
        };
        let mut withheld_pools = BTreeSet::new();
        for unreadable in &rows.unreadable {
            match &unreadable.row {
                Row::Route { host, prefix } => table.withhold(host, prefix),
                Row::Pool(pool) => {
                    withheld_pools.insert(pool);
                }
                Row::Customer(keys) => table.withheld_keys.extend(keys.iter().copied()),
                Row::Unknown => {}
            }
        }
        for mut route in rows.routes {
            let pool_count = route.pools.len();
            route
                .pools
                .retain(|(pool, _)| !withheld_pools.contains(pool));
            if route.pools.is_empty() && pool_count > 0 {
                table.withhold(&route.host, &route.prefix);
                continue;
            }
            let route = Arc::new(route);
            let pools: BTreeSet<_> = route.pools.iter().map(|(pool, _)| pool).collect();
            for pool in pools {
                let pool_routes = table.pool_routes.entry(pool.clone()).or_default();
                pool_routes.push(route.clone());
            }
            let host_routes = table.routes.entry(route.host.clone()).or_default();
            host_routes.push(route);
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
        table.unreadable = rows.unreadable;
        table
    }

    fn withhold(&mut self, host: &str, prefix: &str) {
        let paths = self.withheld_paths.entry(host.to_owned()).or_default();
        paths.push(prefix.to_owned());
    }

    /// Whether a request belongs to a route that can't be read: none that can be read has a prefix that is
    /// as long.
    fn is_withheld(&self, host: &str, path: &str) -> bool {
        let Some(prefixes) = self.withheld_paths.get(host) else {
            return false;
        };
        let prefixes = prefixes
            .iter()
            .filter(|prefix| path.starts_with(&***prefix));
        let length = self.route(host, path).map(|route| route.prefix.len());
        prefixes.map(String::len).max() > length
    }

    /// Whether anybody may send requests, as there are no customers.
    fn is_open(&self) -> bool {
        let mut unreadable = self.unreadable.iter();
        self.customers.is_empty()
            && !unreadable.any(|unreadable| matches!(unreadable.row, Row::Customer(_)))
    }

    /// The route of a host with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns a pool by name.
    pub fn pool(&self, name: &name::Pool) -> Option<&Arc<Pool>> {
        self.pools.get(name)
    }

    /// All pools of the configuration.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        self.pools.values()
    }

    /// All customers of the configuration.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.customers.values()
    }

    /// The longest time objective among the routes that a pool serves.
    pub fn longest_objective(&self, pool: &name::Pool) -> Duration {
        let routes = self.routes_of(pool);
        let objectives = routes.map(|route| route.objective);
        objectives.max().unwrap_or_default()
    }

    /// The shortest of the pauses that the routes of a pool allow in an answer; `None` if no route of it
    /// states one.
    pub fn shortest_max_gap(&self, pool: &name::Pool) -> Option<Duration> {
        self.routes_of(pool).filter_map(|route| route.max_gap).min()
    }

    /// Priority of the most urgent route that a pool serves in a region, 0 the most urgent.
    pub fn most_urgent(&self, pool: &name::Pool, region: &name::Region) -> Option<u8> {
        let is_served = |route: &&Arc<Route>| {
            route.home_regions.is_empty() || route.home_regions.contains(region)
        };
        let routes = self.routes_of(pool).filter(is_served);
        routes.map(|route| route.priority).min()
    }

    fn routes_of(&self, pool: &name::Pool) -> impl Iterator<Item = &Arc<Route>> {
        self.pool_routes.get(pool).into_iter().flatten()
    }

    /// Longest time limit of a stream that callers may resume.
    pub fn longest_stream(&self) -> Duration {
        let routes = self.routes.values().flatten();
        let resumable = routes.filter(|route| route.kind == Kind::Resumable);
        let limits = resumable.map(|route| route.timeout);
        limits.max().unwrap_or_default()
    }

    /// Number of routes of a host plus number of customers that a region may serve. Callers without
    /// a host in their region are sent to regions with the highest number.
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

    /// Looks up a caller's request by host, path and key.
    pub fn resolve(&self, host: &str, path: &str, key: Option<&[u8]>) -> Result<Match, Denial> {
        if self.is_withheld(host, path) {
            return Err(Denial::Unreadable);
        }
        let route = self.route(host, path).ok_or(Denial::RouteUnknown)?;
        let key = key.map(Digest::of);
        let known = key.and_then(|key| self.keys.get(&key));
        let customer = known.and_then(|name| self.customers.get(name));
        if customer.is_none() && !route.is_public && !self.is_open() {
            let is_withheld = key.is_some_and(|key| self.withheld_keys.contains(&key));
            return Err(if is_withheld {
                Denial::Unreadable
            } else {
                Denial::KeyUnknown
            });
        }
        self.join(route, customer).ok_or(Denial::NoHome)
    }

    /// Looks up a request that another host has admitted; `None` if its route or customer no longer
    /// exists or they have no home region in common.
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

    /// Combines a route with a customer; `None` if they have no home region in common.
    fn join(&self, route: &Arc<Route>, customer: Option<&Arc<Customer>>) -> Option<Match> {
        let mut home_regions = route.home_regions.clone();
        if let Some(customer) = customer
            && !customer.home_regions.is_empty()
        {
            if home_regions.is_empty() {
                home_regions.clone_from(&customer.home_regions);
            } else {
                home_regions.retain(|region| customer.home_regions.contains(region));
                if home_regions.is_empty() {
                    return None;
                }
            }
        }
        let customer_priority = customer.and_then(|customer| customer.priority);
        Some(Match {
            route: route.clone(),
            priority: customer_priority.unwrap_or(route.priority),
            customer: customer.cloned(),
            home_regions,
            edition: self.edition(),
        })
    }
}

impl Match {
    /// Whether the request may be served in a region.
    pub fn allows(&self, region: &name::Region) -> bool {
        self.home_regions.is_empty() || self.home_regions.contains(region)
    }

    /// Units that the request costs of the customer's rate, given its prompt and output tokens.
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
