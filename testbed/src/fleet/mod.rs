//! Runs a whole deployment on loopback: stand-ins in this process, entry hosts as child processes,
//! and relays with delay between the hosts of different regions.

pub mod daemon;
pub mod incident;
mod replica;

pub use {daemon::Daemon, replica::Replica};

use {
    crate::{
        deployment::{Deployment, ENGINE_SLOTS, HOSTS_PER_REGION},
        engine, plain, platform,
        wan::{self, Link, Relay},
        weights,
    },
    futures::future::try_join_all,
    std::{
        collections::{BTreeMap, BTreeSet},
        io,
        net::SocketAddr,
        path::PathBuf,
        time::Duration,
    },
};

/// Bandwidth between two regions, in bytes a second each way.
const WAN_BYTES_PER_SECOND: u64 = 250_000_000;

/// Delay until readers see a new host list.
const HOST_LAG: Duration = Duration::from_secs(1);

/// Settings of a fleet.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The deployment to run.
    pub deployment: Deployment,
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Existing directory for the hosts' logs.
    pub logs: PathBuf,
    /// Log filter of the hosts.
    pub log_filter: String,
}

/// A running fleet. Dropping it stops all stand-ins and kills the hosts.
#[derive(Debug)]
pub struct Fleet {
    /// The deployment that it runs.
    pub deployment: Deployment,
    /// The platform stand-in of each region; each lists the other regions' hosts behind relays.
    pub platforms: Vec<platform::Running>,
    /// The engines of all regions, in order of region.
    pub engines: Vec<Replica>,
    /// The plain service of each region.
    pub services: Vec<plain::Running>,
    /// The entry hosts, in order of region.
    pub hosts: Vec<Daemon>,
    /// The links, by the indices of the region that opens connections and of the other one.
    pub links: BTreeMap<(usize, usize), Link>,
    _relays: Vec<Relay>,
    _weights: weights::Running,
}

impl Fleet {
    /// Starts all stand-ins and hosts and waits until every host is ready.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let deployment = settings.deployment.clone();
        let weights = weights::Store::start(weights::Settings::default()).await?;
        let mut platforms = Vec::new();
        let mut services = Vec::new();
        for _ in deployment.regions {
            let lag = platform::Settings {
                host_lag: HOST_LAG,
                ..platform::Settings::default()
            };
            platforms.push(platform::Platform::start(lag).await?);
            services.push(plain::Service::start(plain::Settings::default()).await?);
        }
        let mut fleet = Self {
            engines: engines(&deployment, weights.address).await?,
            hosts: hosts(&settings, &platforms)?,
            links: links(&deployment),
            deployment,
            platforms,
            services,
            _relays: Vec::new(),
            _weights: weights,
        };
        fleet.publish_all().await?;
        try_join_all(fleet.hosts.iter_mut().map(Daemon::wait_until_ready)).await?;
        Ok(fleet)
    }

    async fn publish_all(&mut self) -> io::Result<()> {
        let deployment = &self.deployment;
        let routes = toml(&deployment.routes())?;
        let pools = toml(&deployment.pools())?;
        let customers = toml(&deployment.customers(&BTreeSet::new()))?;
        for region in 0..deployment.regions.len() {
            let listed = self.listing(region).await?;
            let platform = &self.platforms[region];
            platform.publish("routes", &routes);
            platform.publish("pools", &pools);
            platform.publish("customers", &customers);
            platform.clients(self.deployment.clients());
            platform.hosts(listed);
        }
        self.hosts.iter_mut().try_for_each(Daemon::start)
    }

    /// Publishes the customers document without the keys of the customers in `withdrawn`.
    pub fn withdraw_keys(&self, withdrawn: &BTreeSet<&str>) -> io::Result<()> {
        let customers = toml(&self.deployment.customers(withdrawn))?;
        for platform in &self.platforms {
            platform.publish("customers", &customers);
        }
        Ok(())
    }

    /// The host list for a region's platform. Hosts of other regions are listed under the address
    /// of a relay.
    async fn listing(&mut self, region: usize) -> io::Result<platform::Hosts> {
        let mut listed = Vec::new();
        for (number, host) in self.hosts.iter().enumerate() {
            let other = number / HOSTS_PER_REGION;
            let peer = match self.links.get(&(region, other)) {
                Some(link) => {
                    let relay = link.relay(host.peer).await?;
                    let address = relay.address;
                    self._relays.push(relay);
                    address
                }
                None => host.peer,
            };
            listed.push(self.entry_host(other, host, peer));
        }
        listed.extend(self.engines.iter().map(|engine| {
            self.upstream_host(engine.region, &engine.name, engine.address(), &engine.pool)
        }));
        for (other, service) in self.services.iter().enumerate() {
            let name = self.deployment.regions[other];
            let (name, pool) = (format!("{name}-records-1"), format!("{name}-records"));
            listed.push(self.upstream_host(other, &name, service.address, &pool));
        }
        Ok(platform::Hosts { hosts: listed })
    }

    fn entry_host(&self, region: usize, host: &Daemon, peer: SocketAddr) -> platform::Host {
        platform::Host {
            name: host.settings.name.clone(),
            kind: platform::Kind::Entry,
            address: host.listen,
            peer_address: Some(peer),
            region: self.deployment.regions[region].to_owned(),
            domain: self.deployment.domain(region),
            pool: None,
            state: platform::State::Live,
        }
    }

    fn upstream_host(
        &self,
        region: usize,
        name: &str,
        address: SocketAddr,
        pool: &str,
    ) -> platform::Host {
        platform::Host {
            name: name.to_owned(),
            kind: platform::Kind::Upstream,
            address,
            peer_address: None,
            region: self.deployment.regions[region].to_owned(),
            domain: self.deployment.domain(region),
            pool: Some(pool.to_owned()),
            state: platform::State::Live,
        }
    }

    /// The addresses at which a region's hosts accept callers.
    pub fn caller_addresses(&self, region: usize) -> Vec<SocketAddr> {
        let hosts = self.hosts.chunks(HOSTS_PER_REGION).nth(region);
        hosts
            .into_iter()
            .flatten()
            .map(|host| host.listen)
            .collect()
    }

    /// The links between a region and the others, in both directions.
    pub fn links_of(&self, region: usize) -> impl Iterator<Item = &Link> {
        self.links
            .iter()
            .filter(move |((from, to), _)| *from == region || *to == region)
            .map(|(_, link)| link)
    }
}

async fn engines(deployment: &Deployment, weights: SocketAddr) -> io::Result<Vec<Replica>> {
    let mut engines = Vec::new();
    for (region, name) in deployment.regions.iter().enumerate() {
        for number in 0..deployment.paid_engines + deployment.on_demand_engines {
            let kind = if number < deployment.paid_engines {
                "paid"
            } else {
                "on-demand"
            };
            let settings = engine::Settings {
                bind: daemon::free_address()?,
                models: vec![
                    deployment.model.to_owned(),
                    deployment.digest_model.to_owned(),
                ],
                slots: ENGINE_SLOTS as usize,
                weights: Some(weights),
                ..engine::Settings::default()
            };
            let name = (
                format!("{name}-engine-{}", number + 1),
                format!("{name}-{kind}"),
            );
            engines.push(Replica::start(name, region, settings).await?);
        }
    }
    Ok(engines)
}

fn hosts(settings: &Settings, platforms: &[platform::Running]) -> io::Result<Vec<Daemon>> {
    let deployment = &settings.deployment;
    let mut hosts = Vec::new();
    for (region, platform) in platforms.iter().enumerate() {
        for number in 0..HOSTS_PER_REGION {
            let name = deployment.host_name(region, number);
            hosts.push(Daemon::new(daemon::Settings {
                program: settings.program.clone(),
                region: deployment.regions[region].to_owned(),
                domain: deployment.domain(region),
                platform: platform.address,
                log: settings.logs.join(format!("{name}.log")),
                log_filter: settings.log_filter.clone(),
                workers: Some(2),
                name,
            })?);
        }
    }
    Ok(hosts)
}

fn links(deployment: &Deployment) -> BTreeMap<(usize, usize), Link> {
    let cost = wan::Settings {
        delay: deployment.wan_delay,
        bytes_per_second: WAN_BYTES_PER_SECOND,
    };
    let regions = 0..deployment.regions.len();
    regions
        .clone()
        .flat_map(|from| regions.clone().map(move |to| (from, to)))
        .filter(|(from, to)| from != to)
        .map(|pair| (pair, Link::new(cost)))
        .collect()
}

fn toml(document: &impl serde::Serialize) -> io::Result<String> {
    toml::to_string(document).map_err(io::Error::other)
}
