//! Shared access to the router. [`Handle`] updates the router when the configuration or the host
//! list has changed, answers the request path, and counts the requests in flight.

use {
    super::{
        replica::{State as UpstreamState, Upstream},
        request::{Choice, Refusal, Request},
        router::{Home, Router},
        spill::Digest,
    },
    crate::{
        clock::Clock,
        config::Snapshot,
        name,
        source::{Kind, Listing, State},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::watch,
};

/// A shared router, with the configuration, the host list and the clock that it works with.
#[derive(Debug, Clone)]
pub struct Handle<C>(Arc<Shared<C>>);

#[derive(Debug)]
struct Shared<C> {
    clock: C,
    home: Home,
    config: watch::Receiver<Option<Arc<Snapshot>>>,
    listing: watch::Receiver<Arc<Listing>>,
    view: Mutex<View>,
}

#[derive(Debug)]
struct View {
    router: Router,
    snapshot: Option<Arc<Snapshot>>,
    listing: Option<Arc<Listing>>,
    addresses: BTreeMap<name::Upstream, SocketAddr>,
}

/// Result of [`Handle::choose_replica`]: a replica of this region and the request counted there.
#[derive(Debug)]
pub struct Routed<C: Clock> {
    /// The choice, for the log.
    pub choice: Choice,
    /// The request, counted at the replica until it ends.
    pub in_flight: InFlight<C>,
}

/// A request that is counted at a replica. If it is dropped without [`InFlight::finish`] or
/// [`InFlight::fail`], the request counts as withdrawn.
#[derive(Debug)]
pub struct InFlight<C: Clock> {
    /// Address of the replica.
    pub address: SocketAddr,
    upstream: name::Upstream,
    sent_at: Duration,
    has_head: bool,
    has_ended: bool,
    handle: Handle<C>,
}

impl<C: Clock> Handle<C> {
    /// Creates a handle of `router` that follows the configuration and the host list.
    pub fn new(
        router: Router,
        home: Home,
        clock: C,
        config: watch::Receiver<Option<Arc<Snapshot>>>,
        listing: watch::Receiver<Arc<Listing>>,
    ) -> Self {
        Self(Arc::new(Shared {
            clock,
            home,
            config,
            listing,
            view: Mutex::new(View {
                router,
                snapshot: None,
                listing: None,
                addresses: BTreeMap::new(),
            }),
        }))
    }

    /// Chooses where a request goes, without counting it anywhere.
    pub fn choose(&self, request: &Request<'_>) -> Result<Choice, Refusal> {
        self.with(|router, now| router.choose(now, request))
    }

    /// Chooses a replica of a pool of this region and counts the request there.
    pub fn choose_replica(
        &self,
        request: &Request<'_>,
        pool: &name::Pool,
    ) -> Result<Routed<C>, Refusal> {
        let now = self.0.clock.now();
        let mut view = self.view();
        let choice = view.router.choose_replica(now, request, pool);
        let choice = choice.ok_or(Refusal::Unavailable)?;
        let upstream = choice.upstream.clone().ok_or(Refusal::Unavailable)?;
        let address = view.addresses.get(&upstream).copied();
        let address = address.ok_or(Refusal::Unavailable)?;
        view.router.record_sent(now, &upstream, request);
        let in_flight = InFlight {
            address,
            upstream,
            sent_at: now,
            has_head: false,
            has_ended: false,
            handle: self.clone(),
        };
        Ok(Routed { choice, in_flight })
    }

    /// Chooses where a request goes that no neighbour can serve.
    pub fn choose_without_neighbours(&self, request: &Request<'_>) -> Result<Choice, Refusal> {
        self.with(|router, now| router.choose_without_neighbours(now, request, true))
    }

    /// The pools to try to connect to now, with addresses of upstreams of each.
    pub fn begin_trials(&self) -> Vec<(name::Pool, Vec<SocketAddr>)> {
        let mut view = self.view();
        let trials = view.router.begin_trials(self.0.clock.now());
        let address = |upstream: name::Upstream| view.addresses.get(&upstream).copied();
        trials
            .into_iter()
            .map(|(pool, upstreams)| (pool, upstreams.into_iter().filter_map(address).collect()))
            .filter(|(_, addresses): &(_, Vec<_>)| !addresses.is_empty())
            .collect()
    }

    /// Calls `ask` with the router, after changes of the configuration and the host list.
    pub fn with<T>(&self, ask: impl FnOnce(&mut Router, Duration) -> T) -> T {
        ask(&mut self.view().router, self.0.clock.now())
    }

    /// Takes over the digest of another region.
    pub fn apply_digest(&self, digest: Digest) {
        self.with(|router, now| router.apply_digest(now, digest));
    }

    /// The followed replicas of pools that serve a model, with their addresses.
    pub fn followed(&self) -> Vec<(name::Upstream, SocketAddr)> {
        let view = self.view();
        let Some(snapshot) = &view.snapshot else {
            return Vec::new();
        };
        let models = snapshot.routes.values().filter(|row| row.model.is_some());
        let pools: std::collections::BTreeSet<_> = models.flat_map(|row| &row.pools).collect();
        view.router
            .followed()
            .filter(|(_, pool)| pools.contains(pool))
            .filter_map(|(upstream, _)| Some((upstream.clone(), *view.addresses.get(upstream)?)))
            .collect()
    }

    /// Locks the view and brings it up to date with the configuration and the host list.
    fn view(&self) -> MutexGuard<'_, View> {
        let mut view = self.0.view.lock().unwrap_or_else(PoisonError::into_inner);
        let snapshot = self.0.config.borrow().clone();
        let listing = self.0.listing.borrow().clone();
        let Some(snapshot) = snapshot else {
            return view;
        };
        let same_tables = view
            .snapshot
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, &snapshot));
        let same_list = view
            .listing
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, &listing));
        if !same_tables || !same_list {
            view.update(self.0.clock.now(), snapshot, listing, &self.0.home);
        }
        view
    }
}

impl View {
    fn update(
        &mut self,
        now: Duration,
        snapshot: Arc<Snapshot>,
        listing: Arc<Listing>,
        home: &Home,
    ) {
        let mut hosts: Vec<_> = listing
            .hosts
            .iter()
            .filter(|host| host.kind == Kind::Entry && host.region == home.region)
            .filter(|host| host.state == State::Live)
            .map(|host| host.name.as_str())
            .collect();
        hosts.sort_unstable();
        let rank = hosts.iter().position(|host| *host == home.host.as_str());
        let upstreams = merge_upstreams(&snapshot, &listing);
        let list: Vec<_> = upstreams
            .values()
            .map(|(listed, _)| listed.clone())
            .collect();
        self.addresses = upstreams
            .into_iter()
            .map(|(name, (_, address))| (name, address))
            .collect();
        self.router.set_config(snapshot.clone());
        self.router
            .set_hosts(rank.unwrap_or(0) as u32, hosts.len() as u32);
        hosts.retain(|host| *host != home.host.as_str());
        let neighbours = hosts.into_iter().map(name::Host::from);
        self.router.set_neighbours(neighbours.collect());
        self.router.set_upstreams(now, &list);
        self.snapshot = Some(snapshot);
        self.listing = Some(listing);
    }
}

/// Merges the upstreams of the configuration and of the host list, with their addresses. The host
/// list decides whether an upstream is leaving.
fn merge_upstreams(
    snapshot: &Snapshot,
    listing: &Listing,
) -> BTreeMap<name::Upstream, (Upstream, SocketAddr)> {
    let configured = snapshot.pools.values().flat_map(|pool| {
        pool.upstream.iter().map(|row| {
            let listed = Upstream {
                name: row.name.clone(),
                pool: pool.name.clone(),
                state: UpstreamState::Live,
            };
            (row.name.clone(), (listed, row.address))
        })
    });
    let mut merged: BTreeMap<_, _> = configured.collect();
    for host in &listing.hosts {
        if host.kind != Kind::Upstream {
            continue;
        }
        let name = name::Upstream::from(host.name.as_str());
        let state = match host.state {
            State::Live => UpstreamState::Live,
            State::Leaving => UpstreamState::Leaving,
        };
        if let Some((known, _)) = merged.get_mut(&name) {
            known.state = state;
        }
        if let Some(pool) = &host.pool {
            let listed = Upstream {
                name: name.clone(),
                pool: pool.clone(),
                state,
            };
            merged.insert(name, (listed, host.address));
        }
    }
    merged
}

impl<C: Clock> InFlight<C> {
    /// Records that the head of the answer has arrived.
    pub fn record_head(&mut self) {
        self.has_head = true;
        self.handle
            .with(|router, now| router.record_head(now, &self.upstream));
    }

    /// Ends the request as answered in full.
    pub fn finish(mut self) {
        self.has_ended = true;
        let took = self.handle.0.clock.now().saturating_sub(self.sent_at);
        self.handle
            .with(|router, now| router.record_finished(now, &self.upstream, took));
    }

    /// Ends the request as turned away by a replica that asks for rest, which is no fault.
    pub fn rest(self, asked: Duration) {
        let granted = self
            .handle
            .with(|router, now| router.record_rest(now, &self.upstream, asked));
        if let Some(rest) = granted {
            tracing::info!(event = "rest", upstream = %self.upstream, rest_ms = rest.as_millis() as u64,
                is_cut = rest < asked);
        }
    }

    /// Ends the request as failed through the replica's fault.
    pub fn fail(mut self) {
        self.has_ended = true;
        self.handle.with(|router, now| {
            router.record_failed(now, &self.upstream);
            if !self.has_head {
                router.record_headless(&self.upstream, true);
            }
        });
    }
}

impl<C: Clock> Drop for InFlight<C> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        self.handle.with(|router, now| {
            router.record_withdrawn(now, &self.upstream);
            if !self.has_head {
                router.record_headless(&self.upstream, false);
            }
        });
    }
}
