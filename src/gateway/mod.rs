//! The gateway: serves callers' requests and the calls that other hosts forward.
//!
//! A call is authenticated, routed, charged and queued, then sent to an upstream of this region or
//! forwarded to a host of another. Its answer is relayed back.

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

pub use {call::Call, model::Request, relay::Relay};

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

/// Serves callers' HTTP requests and calls from other hosts. Clones share their state.
#[derive(Debug, Clone)]
pub struct Gateway<C: Clock>(Arc<Inner<C>>);

/// Settings and service handles that the gateway is given when the host starts.
#[derive(Debug)]
pub struct Dependencies<C: Clock> {
    /// This host's settings.
    pub settings: Settings,
    /// Monotonic and wall-clock time.
    pub clock: C,
    /// The configuration in force; `None` until it is confirmed.
    pub config: watch::Receiver<Option<Arc<Snapshot>>>,
    /// The members of the fleet as this host sees them.
    pub view: watch::Receiver<Arc<member::View>>,
    /// Regions of client networks, from the platform's client directory.
    pub places: watch::Receiver<Arc<directory::Places>>,
    /// Tells whether the process was paused and has not caught up yet.
    pub liveness: Liveness<C>,
    /// Lifecycle phase of this host.
    pub phase: watch::Receiver<Phase>,
    /// HTTP client for upstreams.
    pub upstreams: upstream::Client,
    /// Idempotency keys of calls that must not run twice.
    pub register: register::Handle<C>,
    /// Rate limits of the customers.
    pub limit: limit::Handle<C>,
    /// Client for calls forwarded to other hosts.
    pub exchanges: exchange::Client,
    /// Chooses the region, pool and replica of a call.
    pub router: route::Handle<C>,
    /// Fair queues, one per pool.
    pub queue: queue::Handle<C>,
    /// Addresses of the other hosts.
    pub peers: Peers,
    /// Metrics of this process.
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
    /// Creates a gateway over these services.
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

    /// The retry budget, shared by all calls of this host.
    fn budget(&self) -> budget::Shared {
        self.0.budget.clone()
    }

    /// Creates a request id that is unique across hosts and restarts.
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
