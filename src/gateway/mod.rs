//! The way of a request: authenticate, route, choose, send or forward, relay.

mod admit;
mod attempts;
mod call;
mod charge;
mod choose;
mod claim;
mod events;
mod forward;
mod headers;
mod inbound;
mod model;
mod relay;
mod reply;
mod run;
mod send;
mod taken;

pub use {call::Call, model::ModelRequest, relay::Relay};

use {
    crate::{
        attempt::{TokenBucket, budget, register},
        clock::Clock,
        config::Snapshot,
        directory,
        entry::{Liveness, Phase},
        failure::Failure,
        limit,
        link::{Peers, exchange},
        member,
        metric::{FailedLabels, Metrics},
        queue, route,
        settings::Settings,
        upstream,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::SystemTime,
    },
    tokio::sync::watch,
};

/// Serves callers and other hosts.
#[derive(Debug, Clone)]
pub struct Gateway<C: Clock>(Arc<Inner<C>>);

/// What the gateway uses: the handles of the services it found at start-up.
#[derive(Debug)]
pub struct Dependencies<C: Clock> {
    /// This host's settings.
    pub settings: Settings,
    /// The time.
    pub clock: C,
    /// The configuration in force; `None` until there is one.
    pub config: watch::Receiver<Option<Arc<Snapshot>>>,
    /// The fleet as this host sees it.
    pub view: watch::Receiver<Arc<member::View>>,
    /// Where callers are.
    pub places: watch::Receiver<Arc<directory::Places>>,
    /// Whether the process was stopped.
    pub liveness: Liveness<C>,
    /// Whether this host is draining.
    pub phase: watch::Receiver<Phase>,
    /// Calls to upstreams.
    pub upstreams: upstream::Client,
    /// Keys of requests that may not repeat.
    pub register: register::Handle<C>,
    /// The customers' rates and bursts.
    pub limit: limit::Handle<C>,
    /// Calls forwarded to other hosts.
    pub exchanges: exchange::Client,
    /// The choice of region, pool and replica.
    pub router: route::Handle<C>,
    /// Fair admission.
    pub queue: queue::Handle<C>,
    /// Where peers are reached.
    pub peers: Peers,
    /// Counters.
    pub metrics: Metrics,
}

#[derive(Debug)]
struct Inner<C: Clock> {
    dependencies: Dependencies<C>,
    started_at_ms: u64,
    sequence: AtomicU64,
    budget: budget::Shared,
}

impl<C: Clock> Gateway<C> {
    /// A gateway over these parts.
    pub fn new(dependencies: Dependencies<C>) -> Self {
        let started_at_ms = dependencies
            .clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        let budget = TokenBucket::new(budget::Limit::default(), dependencies.clock.now());
        Self(Arc::new(Inner {
            budget: budget::Shared::new(budget),
            dependencies,
            started_at_ms,
            sequence: AtomicU64::new(0),
        }))
    }

    fn dependencies(&self) -> &Dependencies<C> {
        &self.0.dependencies
    }

    /// The retry budget of this host.
    fn budget(&self) -> budget::Shared {
        self.0.budget.clone()
    }

    /// A request id, unique over hosts and restarts.
    fn request_id(&self) -> String {
        let sequence = self.0.sequence.fetch_add(1, Ordering::Relaxed);
        format!(
            "{}-{:x}-{sequence:x}",
            self.dependencies().settings.name,
            self.0.started_at_ms
        )
    }

    fn count_failure(&self, failure: &Failure) {
        let label = FailedLabels { code: failure.code };
        self.dependencies()
            .metrics
            .failed
            .get_or_create(&label)
            .inc();
    }
}
