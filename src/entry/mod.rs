//! An entry host: starts the services of one process, connects them to each other, and drains them
//! at shutdown.

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
        net::{
            Listener, Network,
            room::{Evictions, Room},
        },
        queue, resource, route,
        settings::Settings,
        source::http::Platform,
        start::address::Claim,
        task::{Failure, closed},
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

/// Room in a message for the rest of a forwarded call, beside its body.
const EXCHANGE_HEADROOM_BYTES: usize = 64 * 1024;
/// Digests of other regions' load that may wait to be handled.
const DIGEST_MAILBOX_CAPACITY: usize = 256;
/// Most idempotency keys that a host remembers.
const MAX_KEY_RECORDS: usize = 50_000;
/// How long an idempotency key is remembered.
const KEY_RETENTION: Duration = Duration::from_secs(3_600);
/// Messages that may wait to be handled by the limit service, and as many by the register.
const MAILBOX_CAPACITY: usize = 1024;
/// How often a draining host checks whether its calls have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Lifecycle phase of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Serves calls.
    Running,
    /// Still serves calls, but tells callers and peers to use other hosts.
    Leaving,
    /// Refuses new calls and finishes the running ones.
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
    failure: Failure,
    kernel: Mutex<Option<Kernel>>,
}

/// The addresses that a host is bound to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers' HTTP requests.
    pub callers: SocketAddr,
    /// For connections from other hosts.
    pub peers: SocketAddr,
    /// For operators' HTTP requests.
    pub admin: SocketAddr,
}

impl<C: Clock> Entry<C> {
    /// Binds the addresses over TCP and starts every service, see [`Entry::start_on`].
    pub async fn start(settings: Settings, clock: C) -> Result<Self> {
        Self::start_on(Network::Tcp, Network::Tcp, settings, clock).await
    }

    /// Binds the addresses on `network` and starts every service; upstreams are reached on
    /// `upstream_network`. Waits for the callers' address while it is in use or not there yet. The
    /// others may come later: without the peers' address the host is as one that its peers can't
    /// connect to, and callers need no admin address.
    ///
    /// # Errors
    ///
    /// The callers' address, or another one with port 0, can't be bound for a reason that lasts.
    pub async fn start_on(
        network: Network,
        upstream_network: Network,
        settings: Settings,
        clock: C,
    ) -> Result<Self> {
        let claim = |step, address| Claim::new(network.clone(), step, address, clock.clone());
        // First, so that the host is announced to nobody before callers can reach it.
        let callers = claim("binding the callers' address", settings.listen);
        let callers = callers.await.listener().await?;
        let peers = claim("binding the peers' address", settings.peer_listen);
        let peers = peers.await.with_known_port().await?;
        let admin = claim("binding the admin address", settings.admin_listen);
        let admin = admin.await.with_known_port().await?;
        let addresses = Addresses {
            callers: local_address("callers' address", &callers)?,
            peers: peers.address(),
            admin: admin.address(),
        };
        let metrics = Metrics::new();
        let limits = resource::Limits::read(resource::Setting::default());
        let shares = limits.shares();
        limits.register(&metrics, clock.wall());
        let evictions = Evictions::default();
        evictions.register(&metrics);
        let room = |connections| Room::new(connections, evictions.clone());
        let (stop, stopped) = watch::channel(());
        let (phase, phase_reader) = watch::channel(Phase::Running);
        let mut kernel = Kernel::new(&metrics);

        let platform = Platform::new(network.clone(), settings.platform);
        let peer_addresses = Peers::default();
        let listing = listing::start(&mut kernel, platform.clone(), stopped.clone());
        let places = places::start(&mut kernel, platform.clone(), stopped.clone());

        let identity = Identity {
            host: settings.name.clone(),
            secret: Arc::from(settings.peer_secret.as_str()),
            message_limit: wire::MESSAGE_LIMIT.max(settings.body_limit + EXCHANGE_HEADROOM_BYTES),
            network,
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
                phase: phase_reader.clone(),
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
        let (running, stop_queue) = (queue.clone(), stopped.clone());
        kernel.keep("queue", move || running.clone().run(stop_queue.clone()));
        let upstreams = upstream::Client::new(upstream_network.clone());
        upstreams.register(&metrics);
        let (digest_mailbox, digest_inbox) = mpsc::channel(DIGEST_MAILBOX_CAPACITY);
        kernel.keep("load", {
            let (router, network) = (router.clone(), upstream_network.clone());
            let stopped = stopped.clone();
            move || {
                let client = upstream::Client::new(network.clone());
                route::follow_load(router.clone(), client, stopped.clone())
            }
        });
        kernel.keep("reach", {
            let (router, link, listing) = (router.clone(), link.clone(), listing.clone());
            let (home, metrics, stopped) = (home.clone(), metrics.clone(), stopped.clone());
            move || {
                route::follow_reach(
                    router.clone(),
                    upstream_network.clone(),
                    link.clone(),
                    listing.clone(),
                    home.clone(),
                    metrics.clone(),
                    stopped.clone(),
                )
            }
        });
        kernel.spawn(
            "route",
            route::exchange_digests(
                router.clone(),
                link.clone(),
                listing.clone(),
                home,
                digest_inbox,
                stopped.clone(),
            ),
        );
        let (limit_mailbox, limit_inbox) = mpsc::channel(MAILBOX_CAPACITY);
        let limit = new_limit(&settings, clock.clone(), &metrics);
        kernel.spawn(
            "limit",
            limit.clone().run(
                link.clone(),
                limit::Dependencies {
                    config: fleet.snapshot.clone(),
                    view: fleet.view.clone(),
                    phase: phase_reader.clone(),
                    mailbox: limit_inbox,
                    stop: stopped.clone(),
                },
            ),
        );
        let (register_mailbox, register_inbox) = mpsc::channel(MAILBOX_CAPACITY);
        let register = new_register(&settings, link.clone(), clock.clone());
        kernel.spawn(
            "register",
            register.clone().run(register::Dependencies {
                listing: listing.clone(),
                mailbox: register_inbox,
                stop: stopped.clone(),
            }),
        );
        let mailboxes = Mailboxes {
            register: Some(register_mailbox),
            report: None,
            limit: Some(limit_mailbox),
            route: Some(digest_mailbox),
            member: Some(fleet.member_mailbox.clone()),
            config: Some(fleet.document_mailbox.clone()),
            reading: None,
            origin: None,
        };
        let gateway = Gateway::new(Dependencies {
            settings: settings.clone(),
            clock: clock.clone(),
            config: fleet.snapshot.clone(),
            view: fleet.view.clone(),
            places,
            liveness: fleet.liveness.clone(),
            phase: phase_reader.clone(),
            upstreams,
            router,
            queue,
            register,
            limit: limit.clone(),
            exchanges: exchange::Client::new(identity),
            peers: peer_addresses,
            metrics: metrics.clone(),
        });
        kernel.spawn("link", {
            let (stopped, gateway) = (stopped.clone(), gateway.clone());
            let limits = link::Limits::new(&shares, &evictions, &metrics);
            async move {
                let Some(peers) = peers.listener_until(closed(stopped.clone())).await else {
                    return;
                };
                link::serve(peers, mailboxes, link, clock, gateway, limits, stopped).await;
            }
        });
        let pages = admin::Admin {
            settings: settings.clone(),
            metrics: metrics.clone(),
            phase: phase_reader,
            fleet,
            limit,
        };
        kernel.spawn("admin", {
            let (stopped, room) = (stopped.clone(), room(shares.pages));
            async move {
                if let Some(admin) = admin.listener_until(closed(stopped.clone())).await {
                    listen::serve(admin, pages.router(), room, stopped).await;
                }
            }
        });
        kernel.spawn(
            "gateway",
            listen::serve(callers, gateway.router(), room(shares.callers), stopped),
        );
        tracing::info!(host = %settings.name, callers = %addresses.callers, peers = %addresses.peers, admin = %addresses.admin, "host started");
        Ok(Self {
            settings,
            addresses,
            phase,
            stop: Mutex::new(Some(stop)),
            metrics,
            gateway,
            failure: kernel.failure(),
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

    /// Returns the name of a task that has ended and that the host can't go on without, once there is
    /// one. The host should then be drained.
    pub async fn failed_task(&self) -> &'static str {
        self.failure.clone().wait().await
    }

    /// The metrics of the host.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Number of calls that are running now.
    pub fn running_calls(&self) -> usize {
        usize::try_from(self.metrics.running.get()).unwrap_or(0)
    }

    /// Shuts the host down: announces that it leaves, serves on for the grace time, then refuses
    /// new calls and waits for the running ones, up to the drain limit. Returns how many calls
    /// were cut off.
    pub async fn drain(&self) -> usize {
        let limit = Instant::now() + self.settings.drain_limit;
        tracing::info!(running = self.running_calls(), "draining");
        self.phase.send_replace(Phase::Leaving);
        sleep(self.settings.drain_grace).await;
        self.phase.send_replace(Phase::Closed);
        while self.running_calls() > 0 && Instant::now() < limit {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        let kernel = self
            .kernel
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        kernel.as_ref().inspect(|kernel| kernel.stop());
        self.stop
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(kernel) = kernel {
            timeout_at(limit, kernel.join()).await.ok();
        }
        self.running_calls()
    }
}

/// Creates the idempotency register of this process.
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
        mutant: register::Mutant::None,
    };
    register::Handle::new(setting, link, clock)
}

/// Creates the rate limiter of this process.
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

fn local_address(step: &'static str, listener: &Listener) -> Result<SocketAddr> {
    listener.local_addr().map_err(|source| Error::Io {
        step,
        peer: "the listener".into(),
        source,
    })
}
