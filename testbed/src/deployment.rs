//! The two deployments of the demo: regions, pools, routes and customers, and the configuration
//! documents and client directory derived from them.

use {
    crate::{platform, seen::KEY_PREFIX, text},
    greengagecleat::{
        config::table::{Customer, Customers, Fencing, Kind, Payment, Pool, Pools, Route, Routes},
        key::Digest,
    },
    std::{collections::BTreeSet, net::IpAddr, time::Duration},
};

/// Requests that one engine of the demo runs at once.
pub const ENGINE_SLOTS: u32 = 8;

/// Price of a million on-demand tokens.
pub const ON_DEMAND_PRICE: f64 = 12.0;

/// Price of a million paid tokens, counted against the committed spend.
pub const PAID_PRICE: f64 = 4.0;

/// Number of entry hosts in each region.
pub const HOSTS_PER_REGION: usize = 3;

/// Deadlines of the demo's routes: digests, other model requests and plain services.
const DIGEST_DEADLINE: Duration = Duration::from_secs(60);
const ANSWER_DEADLINE: Duration = Duration::from_secs(30);
const PLAIN_DEADLINE: Duration = Duration::from_secs(5);

/// A fleet's layout and customers, from which all documents of a run are made.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name on the command line.
    pub name: &'static str,
    /// Names of the regions; elsewhere a region is an index into this array.
    pub regions: [&'static str; 3],
    /// Model that brief questions and chats request.
    pub model: &'static str,
    /// Model that digests request.
    pub digest_model: &'static str,
    /// Path of the plain route whose calls are not idempotent.
    pub post_path: &'static str,
    /// Path of the plain route whose calls are idempotent.
    pub lookup_path: &'static str,
    /// Number of engines in the paid pool of each region.
    pub paid_engines: usize,
    /// Number of engines in the on-demand pool of each region.
    pub on_demand_engines: usize,
    /// One-way network delay between regions.
    pub wan_delay: Duration,
    /// The customers; elsewhere a customer is an index into this array.
    pub customers: [Profile; 5],
}

/// A customer's location, share of the load and limits.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// Name in the customers document.
    pub name: &'static str,
    /// Index of the region that most of its requests come from.
    pub home: usize,
    /// Its share, from 0 to 1, of the fleet's ordinary load.
    pub share: f64,
    /// Factor on its ordinary load; above 1 it sends more than its rate allows.
    pub load_factor: f64,
    /// Rate limit in tokens a second.
    pub rate: f64,
    /// Burst limit in tokens.
    pub burst: f64,
    /// Whether its requests may be served only in its home region.
    pub home_only: bool,
}

/// Vartha Serve for women's institute branches across Kerala.
pub const KERALA: Deployment = Deployment {
    name: "kerala",
    regions: ["kollam", "thrissur", "kozhikode"],
    model: "vartha",
    digest_model: "vartha-digest",
    post_path: "/receipts",
    lookup_path: "/members",
    paid_engines: 3,
    on_demand_engines: 1,
    wan_delay: Duration::from_millis(50),
    customers: [
        Profile::ordinary("kollam-branches", 0, 0.34),
        Profile::ordinary("thrissur-branches", 1, 0.28),
        Profile::ordinary("kozhikode-branches", 2, 0.18).home_only(),
        Profile::ordinary("relief-desk", 0, 0.12),
        Profile::ordinary("bulletin", 1, 0.08).with_load_factor(8.0),
    ],
};

/// Balloonfind for balloon recovery crews across Egypt.
pub const EGYPT: Deployment = Deployment {
    name: "egypt",
    regions: ["cairo", "aswan", "alexandria"],
    model: "balloonfind",
    digest_model: "balloonfind-digest",
    post_path: "/dispatches",
    lookup_path: "/positions",
    paid_engines: 5,
    on_demand_engines: 1,
    wan_delay: Duration::from_millis(50),
    customers: [
        Profile::ordinary("recovery-crews", 1, 0.34),
        Profile::ordinary("ground-stations", 0, 0.28),
        Profile::ordinary("payload-owners", 2, 0.18).home_only(),
        Profile::ordinary("weather-office", 0, 0.12),
        Profile::ordinary("archive", 2, 0.08).with_load_factor(8.0),
    ],
};

impl Profile {
    /// Rate limit, in tokens a second, of a customer with the whole ordinary load: 1.5 times what
    /// that load needs.
    const RATE_PER_SHARE: f64 = 60_000.0;

    /// Burst limit, in seconds of the rate.
    const BURST_SECONDS: f64 = 20.0;

    const fn ordinary(name: &'static str, home: usize, share: f64) -> Self {
        let rate = share * Self::RATE_PER_SHARE;
        Self {
            name,
            home,
            share,
            load_factor: 1.0,
            rate,
            burst: rate * Self::BURST_SECONDS,
            home_only: false,
        }
    }

    const fn home_only(self) -> Self {
        Self {
            home_only: true,
            ..self
        }
    }

    const fn with_load_factor(self, load_factor: f64) -> Self {
        Self {
            load_factor,
            ..self
        }
    }

    /// The API key of its callers.
    pub fn key(&self) -> String {
        format!("{KEY_PREFIX}{}", self.name)
    }
}

impl Deployment {
    /// The deployment with this name, if there is one.
    pub fn by_name(name: &str) -> Option<Self> {
        [KERALA, EGYPT]
            .into_iter()
            .find(|deployment| deployment.name == name)
    }

    /// Name of the region's only failure domain.
    pub fn domain(&self, region: usize) -> String {
        format!("{}-a", self.regions[region])
    }

    /// Name of an entry host; `number` counts from 0 within the region.
    pub fn host_name(&self, region: usize, number: usize) -> String {
        format!("{}-{}", self.regions[region], number + 1)
    }

    /// Loopback address from which a customer's callers in a region connect. The client directory
    /// maps it to the region.
    pub fn caller_address(&self, region: usize, customer: usize) -> IpAddr {
        IpAddr::from([127, 0, 1 + region as u8, 1 + customer as u8])
    }

    /// The client directory: one network for each region.
    pub fn clients(&self) -> platform::Clients {
        let networks = (0..self.regions.len()).map(|region| platform::Client {
            network: format!("127.0.{}.0/24", 1 + region),
            region: self.regions[region].to_owned(),
            domain: self.domain(region),
        });
        platform::Clients {
            clients: networks.collect(),
        }
    }

    /// The routes document.
    pub fn routes(&self) -> Routes {
        let engines: Vec<String> = ["paid", "on-demand"]
            .iter()
            .flat_map(|kind| self.pool_names(kind))
            .collect();
        let records = self.pool_names("records");
        let model = |name: &str, deferrable, deadline: Duration| Route {
            name: name.into(),
            kind: Kind::Model,
            model: Some(name.into()),
            path: None,
            deferrable,
            deadline_ms: deadline.as_millis() as u64,
            ..route(&engines)
        };
        let plain = |path: &str, idempotent| Route {
            name: path.trim_start_matches('/').into(),
            kind: Kind::Plain,
            model: None,
            path: Some(path.to_owned()),
            idempotent,
            deadline_ms: PLAIN_DEADLINE.as_millis() as u64,
            ..route(&records)
        };
        Routes {
            route: vec![
                model(self.model, false, ANSWER_DEADLINE),
                model(self.digest_model, true, DIGEST_DEADLINE),
                plain(self.post_path, false),
                plain(self.lookup_path, true),
            ],
        }
    }

    /// The pools document.
    pub fn pools(&self) -> Pools {
        let rows = self.regions.iter().flat_map(|region| {
            [
                Pool {
                    name: format!("{region}-paid").as_str().into(),
                    payment: Payment::Paid,
                    price_per_million: PAID_PRICE,
                    committed_per_month: 100_000.0,
                    ..pool(region)
                },
                Pool {
                    name: format!("{region}-on-demand").as_str().into(),
                    payment: Payment::OnDemand,
                    price_per_million: ON_DEMAND_PRICE,
                    ..pool(region)
                },
                Pool {
                    name: format!("{region}-records").as_str().into(),
                    slots: 256,
                    resume: false,
                    ..pool(region)
                },
            ]
        });
        Pools {
            pool: rows.collect(),
        }
    }

    /// The customers document. Customers in `withdrawn` are listed without keys.
    pub fn customers(&self, withdrawn: &BTreeSet<&str>) -> Customers {
        let rows = self.customers.iter().map(|profile| Customer {
            name: profile.name.into(),
            keys: if withdrawn.contains(profile.name) {
                Vec::new()
            } else {
                vec![Digest::of(profile.key().as_bytes()).to_string()]
            },
            rate: profile.rate,
            burst: profile.burst,
            residency: if profile.home_only {
                BTreeSet::from([self.regions[profile.home].into()])
            } else {
                BTreeSet::new()
            },
            weight: 1,
        });
        Customers {
            customer: rows.collect(),
        }
    }

    fn pool_names(&self, kind: &str) -> Vec<String> {
        let names = self.regions.iter().map(|region| format!("{region}-{kind}"));
        names.collect()
    }
}

fn route(pools: &[String]) -> Route {
    Route {
        name: "".into(),
        kind: Kind::Model,
        model: None,
        path: None,
        pools: pools.iter().map(|pool| pool.as_str().into()).collect(),
        open: false,
        customers: BTreeSet::new(),
        idempotent: false,
        deferrable: false,
        deadline_ms: 0,
        bytes_per_token: text::BYTES_PER_TOKEN as f64,
    }
}

fn pool(region: &str) -> Pool {
    Pool {
        name: "".into(),
        region: region.into(),
        payment: Payment::Paid,
        price_per_million: 0.0,
        committed_per_month: 0.0,
        spent_this_month: None,
        slots: ENGINE_SLOTS,
        fencing: Fencing::Checked,
        resume: true,
        upstream: Vec::new(),
    }
}
