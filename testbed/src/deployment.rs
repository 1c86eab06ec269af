//! The two deployments of the demo: regions, pools, routes, customers and their mixed work.

use {
    crate::{platform, seen::KEY_PREFIX, text},
    greengagecleat::{
        config::table::{Customer, Customers, Fencing, Kind, Payment, Pool, Pools, Route, Routes},
        key::Digest,
    },
    std::{collections::BTreeSet, net::IpAddr, time::Duration},
};

/// Requests at once that one engine runs in the demo.
pub const ENGINE_SLOTS: u32 = 8;

/// Price of on-demand tokens, for a million.
pub const ON_DEMAND_PRICE: f64 = 12.0;

/// Price at which paid tokens count against the committed spend, for a million.
pub const PAID_PRICE: f64 = 4.0;

/// Entry hosts in each region.
pub const HOSTS_PER_REGION: usize = 3;

/// How long one kind of work may take in the demo's tables.
const DIGEST_DEADLINE: Duration = Duration::from_secs(60);
const ANSWER_DEADLINE: Duration = Duration::from_secs(30);
const PLAIN_DEADLINE: Duration = Duration::from_secs(5);

/// A deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Its name on the command line.
    pub name: &'static str,
    /// Its regions.
    pub regions: [&'static str; 3],
    /// Model that brief questions and chats name.
    pub model: &'static str,
    /// Model that digests name.
    pub digest_model: &'static str,
    /// Path under which calls that may not be repeated are posted.
    pub post_path: &'static str,
    /// Path under which look-ups are read.
    pub lookup_path: &'static str,
    /// Engines of the paid pool in each region.
    pub paid_engines: usize,
    /// Engines of the on-demand pool in each region.
    pub on_demand_engines: usize,
    /// Delay one way between regions.
    pub wan_delay: Duration,
    /// Its customers.
    pub customers: [Profile; 5],
}

/// A customer of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// Its name.
    pub name: &'static str,
    /// Number of the region in which most of its callers are.
    pub home: usize,
    /// Its share of the fleet's ordinary work.
    pub share: f64,
    /// How many times its ordinary work it sends.
    pub load_factor: f64,
    /// Tokens a second.
    pub rate: f64,
    /// Tokens at once.
    pub burst: f64,
    /// Whether its requests may only be served in its home.
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
    /// Tokens a second that a customer with all of the ordinary work would be given: half as much
    /// again as that work needs.
    const RATE_PER_SHARE: f64 = 60_000.0;

    /// Seconds of its rate that a customer may use at once.
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

    /// The key that the demo gives its callers.
    pub fn key(&self) -> String {
        format!("{KEY_PREFIX}{}", self.name)
    }
}

impl Deployment {
    /// The deployment of that name.
    pub fn by_name(name: &str) -> Option<Self> {
        [KERALA, EGYPT]
            .into_iter()
            .find(|deployment| deployment.name == name)
    }

    /// The failure domain of a region.
    pub fn domain(&self, region: usize) -> String {
        format!("{}-a", self.regions[region])
    }

    /// The name of an entry host.
    pub fn host_name(&self, region: usize, number: usize) -> String {
        format!("{}-{}", self.regions[region], number + 1)
    }

    /// The address that the callers of a customer have in a region.
    pub fn caller_address(&self, region: usize, customer: usize) -> IpAddr {
        IpAddr::from([127, 0, 1 + region as u8, 1 + customer as u8])
    }

    /// The client directory.
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

    /// The customers document, without the keys of those named in `withdrawn`.
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
