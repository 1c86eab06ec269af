//! An entry host: the services of one process, wired together.

mod admin;
mod fleet;
mod listing;
mod liveness;
mod places;
mod status;

pub use liveness::Liveness;

use {
    crate::{
        Error, Result,
        attempt::register,
        clock::Clock,
        gateway::{Dependencies, Gateway},
        kernel::Kernel,
        limit,
        link::{self, Identity, Mailboxes, Peers, exchange},
        listen,
        metric::Metrics,
        net::{Listener, Network},
        queue, route,
        settings::Settings,
        source::http::Platform,
        upstream, wire,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, SystemTime},
    },
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, sleep, timeout_at},
    },
};

/// Largest message on an exchange connection: a body with room for the rest of the call.
const EXCHANGE_HEADROOM_BYTES: usize = 64 * 1024;
/// Digests of other regions that may wait to be read.
const DIGEST_MAILBOX_CAPACITY: usize = 256;
/// Idempotency keys that a host remembers.
const MAX_KEY_RECORDS: usize = 50_000;
/// How long an idempotency key is known.
const KEY_RETENTION: Duration = Duration::from_secs(3_600);
/// Messages about customers' capacity, or about keys, that may wait to be read.
const MAILBOX_CAPACITY: usize = 1024;
/// How often a draining host looks whether its work has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Where a host is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It serves.
    Running,
    /// It still serves, and tells callers and peers to go elsewhere.
    Leaving,
    /// It takes no new call and ends the running ones.
    Closed,
}

/// A running entry host.
#[derive(Debug)]
pub struct Entry<C: Clock> {
    settings: Settings,
    addresses: Addresses,
    phase: watch::Sender<Phase>,
    stop: Mutex<Option<watch::Sender<()>>>,
    metrics: Metrics,
    gateway: Gateway<C>,
    kernel: Mutex<Option<Kernel>>,
}

/// The addresses that a host is bound to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other hosts.
    pub peers: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

impl<C: Clock> Entry<C> {
    /// Binds the addresses and starts every service.
    pub async fn start(settings: Settings, clock: C) -> Result<Self> {
        Self::start_on(Network::Tcp, settings, clock).await
    }

    /// Binds the addresses on this network and starts every service.
    pub async fn start_on(network: Network, settings: Settings, clock: C) -> Result<Self> {
        let callers = bind(&network, "callers' address", settings.listen).await?;
        let peers = bind(&network, "peers' address", settings.peer_listen).await?;
        let admin = bind(&network, "admin address", settings.admin_listen).await?;
        let addresses = Addresses {
            callers: local_address("callers' address", &callers)?,
            peers: local_address("peers' address", &peers)?,
            admin: local_address("admin address", &admin)?,
        };
        let metrics = Metrics::new();
        let (stop, stopped) = watch::channel(());
        let (phase, phases) = watch::channel(Phase::Running);
        let mut kernel = Kernel::new();

        let platform = Platform::new(network.clone(), settings.platform);
        let peer_addresses = Peers::default();
        let listing = listing::start(&mut kernel, platform.clone(), stopped.clone());
        let places = places::start(&mut kernel, platform.clone(), stopped.clone());

        let identity = Identity {
            host: settings.name.clone(),
            secret: Arc::from(settings.peer_secret.as_str()),
            message_limit: wire::MESSAGE_LIMIT.max(settings.body_limit + EXCHANGE_HEADROOM_BYTES),
            network: network.clone(),
        };
        let link = link::Handle::new(identity.clone(), peer_addresses.clone());
        kernel.publish("link", link.clone());
        let fleet = fleet::start(
            &mut kernel,
            fleet::Dependencies {
                clock: clock.clone(),
                platform,
                link: link.clone(),
                listing: listing.clone(),
                phase: phases.clone(),
                metrics: metrics.clone(),
                stop: stopped.clone(),
            },
            &settings,
            addresses.callers,
            addresses.peers,
        );
        let home = route::Home {
            host: settings.name.clone(),
            region: settings.region.clone(),
        };
        let seed = route::affinity::hash(settings.name.as_str().as_bytes());
        let router = route::Handle::new(
            route::Router::new(home.clone(), route::Options::default(), seed),
            home.clone(),
            clock.clone(),
            fleet.snapshot.clone(),
            listing.clone(),
        );
        kernel.publish("route", router.clone());
        let queue = queue::Handle::new(queue::Options::default(), clock.clone(), router.clone());
        queue.register(&metrics);
        kernel.spawn("queue", queue.clone().run(stopped.clone()));
        let upstreams = upstream::Client::new(network);
        let (digests, arrived) = mpsc::channel(DIGEST_MAILBOX_CAPACITY);
        kernel.spawn(
            "load",
            route::follow_load(router.clone(), upstreams.clone(), stopped.clone()),
        );
        kernel.spawn(
            "route",
            route::exchange_digests(
                router.clone(),
                link.clone(),
                listing.clone(),
                home,
                arrived,
                stopped.clone(),
            ),
        );
        let (capacity, inbox) = mpsc::channel(MAILBOX_CAPACITY);
        let limit = new_limit(&settings, clock.clone(), &metrics);
        kernel.spawn(
            "limit",
            limit.clone().run(
                link.clone(),
                limit::Inputs {
                    config: fleet.snapshot.clone(),
                    view: fleet.view.clone(),
                    phase: phases.clone(),
                    mailbox: inbox,
                    stop: stopped.clone(),
                },
            ),
        );
        let (claims, claimed) = mpsc::channel(MAILBOX_CAPACITY);
        let register = new_register(&settings, link.clone(), clock.clone());
        kernel.spawn(
            "register",
            register.clone().run(register::Inputs {
                listing: listing.clone(),
                mailbox: claimed,
                stop: stopped.clone(),
            }),
        );
        let mailboxes = Mailboxes {
            register: Some(claims),
            report: None,
            limit: Some(capacity),
            route: Some(digests),
            member: Some(fleet.member_mailbox.clone()),
            config: Some(fleet.document_mailbox.clone()),
            reading: None,
        };
        let gateway = Gateway::new(Dependencies {
            settings: settings.clone(),
            clock: clock.clone(),
            config: fleet.snapshot.clone(),
            view: fleet.view.clone(),
            places,
            liveness: fleet.liveness.clone(),
            phase: phases.clone(),
            upstreams,
            router,
            queue,
            register,
            limit: limit.clone(),
            exchanges: exchange::Client::new(identity.clone()),
            peers: peer_addresses,
            metrics: metrics.clone(),
        });
        kernel.spawn(
            "link",
            link::serve(
                peers,
                identity,
                mailboxes,
                link,
                clock,
                gateway.clone(),
                stopped.clone(),
            ),
        );
        let view = admin::Admin {
            settings: settings.clone(),
            metrics: metrics.clone(),
            phase: phases,
            fleet,
            limit,
        };
        kernel.spawn(
            "admin",
            listen::serve(admin, view.router(), stopped.clone()),
        );
        kernel.spawn("gateway", listen::serve(callers, gateway.router(), stopped));
        tracing::info!(host = %settings.name, callers = %addresses.callers, peers = %addresses.peers, admin = %addresses.admin, "host started");
        Ok(Self {
            settings,
            addresses,
            phase,
            stop: Mutex::new(Some(stop)),
            metrics,
            gateway,
            kernel: Mutex::new(Some(kernel)),
        })
    }

    /// The addresses that the host is bound to.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The gateway, for embedders that serve requests without a socket.
    pub fn gateway(&self) -> &Gateway<C> {
        &self.gateway
    }

    /// Calls that run now.
    pub fn running_calls(&self) -> usize {
        usize::try_from(self.metrics.running.get()).unwrap_or(0)
    }

    /// Leaves: tells everyone, serves on for the grace time, then takes no new call and waits for
    /// the running ones, up to the drain limit. Returns how many were cut.
    pub async fn drain(&self) -> usize {
        let limit = Instant::now() + self.settings.drain_limit;
        tracing::info!(running = self.running_calls(), "draining");
        self.phase.send_replace(Phase::Leaving);
        sleep(self.settings.drain_grace).await;
        self.phase.send_replace(Phase::Closed);
        while self.running_calls() > 0 && Instant::now() < limit {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.stop
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let kernel = self
            .kernel
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(kernel) = kernel {
            timeout_at(limit, kernel.join()).await.ok();
        }
        self.running_calls()
    }
}

/// The idempotency register of a process that starts.
fn new_register<C: Clock>(
    settings: &Settings,
    link: link::Handle,
    clock: C,
) -> register::Handle<C> {
    let since = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    let setting = register::Settings {
        host: settings.name.clone(),
        region: settings.region.clone(),
        incarnation: since.map_or(0, |since| since.as_millis() as u64),
        quarantine: settings.limit.quarantine(),
        retention: KEY_RETENTION,
        max_records: MAX_KEY_RECORDS,
        fault: register::Fault::None,
    };
    register::Handle::new(setting, link, clock)
}

/// The limit of a process that starts.
fn new_limit<C: Clock>(settings: &Settings, clock: C, metrics: &Metrics) -> limit::Handle<C> {
    let setup = limit::Setup {
        host: settings.name.clone(),
        region: settings.region.clone(),
        incarnation: rand::random(),
        mode: limit::Mode::Leases,
        timing: settings.limit,
        mutant: None,
    };
    limit::Handle::new(setup, settings.region_hosts, clock, metrics)
}

async fn bind(network: &Network, step: &'static str, address: SocketAddr) -> Result<Listener> {
    network.bind(address).await.map_err(|source| Error::Io {
        step,
        peer: address.to_string(),
        source,
    })
}

fn local_address(step: &'static str, listener: &Listener) -> Result<SocketAddr> {
    listener.local_addr().map_err(|source| Error::Io {
        step,
        peer: "the listener".into(),
        source,
    })
}
