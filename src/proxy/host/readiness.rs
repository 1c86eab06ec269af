//! Logs and metrics of the host's being ready, and of what it has read of the platform's store.

use {
    super::Host,
    crate::{
        clock::Clock,
        natural::Natural,
        proxy::{
            dialect::Dialect,
            readiness::{Notice, Obstacle},
        },
    },
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::sync::atomic::AtomicU64,
};

/// Label of what keeps a host from being ready.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: String,
}

/// Label of a configuration: its whole version, of any size.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VersionLabel {
    version: String,
}

/// Metrics of the host's being ready, and of what it has read of the platform's store.
#[derive(Debug, Default)]
pub(super) struct Metrics {
    not_ready: Family<ReasonLabel, Gauge>,
    configuration: Family<VersionLabel, Gauge>,
    version: Gauge<f64, AtomicU64>,
    unreadable_rows: Gauge,
    usable_upstreams: Gauge,
    evacuated_domains: Gauge,
}

impl Metrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "not_ready",
            "1 for what keeps the host from being ready",
            self.not_ready.clone(),
        );
        registry.register(
            "configuration",
            "1 for the version of the configuration in force",
            self.configuration.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the configuration in force, rounded to 53 bits",
            self.version.clone(),
        );
        registry.register(
            "configuration_rows_unreadable",
            "Rows of the configuration in force that can't be read",
            self.unreadable_rows.clone(),
        );
        registry.register(
            "upstreams_usable",
            "Upstreams whose entry can be read, neither leaving nor evacuated",
            self.usable_upstreams.clone(),
        );
        registry.register(
            "evacuated_domains",
            "Failure domains that are evacuated",
            self.evacuated_domains.clone(),
        );
        self.record_obstacle(Some(Obstacle::StoreUnread));
    }

    /// Records the configuration that has come into force.
    pub(super) fn record_configuration(&self, version: &Natural, unreadable_count: usize) {
        let version = version.to_string();
        self.version.set(version.parse().unwrap_or(f64::MAX));
        self.configuration.clear();
        let label = VersionLabel { version };
        self.configuration.get_or_create(&label).set(1);
        self.unreadable_rows.set(unreadable_count as i64);
    }

    fn record_obstacle(&self, obstacle: Option<Obstacle>) {
        for each in Obstacle::ALL {
            let reason = each.to_string();
            let gauge = self.not_ready.get_or_create(&ReasonLabel { reason });
            gauge.set(i64::from(obstacle == Some(each)));
        }
    }
}

impl<D: Dialect, C: Clock> Host<D, C> {
    /// What keeps callers from this host, with the reason of the failure that may explain it.
    pub fn obstacle(&self) -> Option<(Obstacle, Option<String>)> {
        let is_leaving = self.is_leaving();
        let core = self.core();
        let obstacle = if is_leaving {
            Obstacle::Leaving
        } else {
            core.obstacle()?
        };
        let reason = core.readiness.reason(obstacle);
        Some((obstacle, reason.map(str::to_owned)))
    }

    /// Records what this host knows of upstreams for the metrics page.
    pub(super) fn record_upstreams(&self) {
        let core = self.core();
        let catalog = &core.catalog;
        let usable = catalog.all().filter(|replica| catalog.is_usable(replica));
        self.readiness.usable_upstreams.set(usable.count() as i64);
        let evacuated = catalog.evacuated().len();
        self.readiness.evacuated_domains.set(evacuated as i64);
    }

    /// Says why this host is not ready, or that it is.
    pub(super) fn report_readiness(&self) {
        let (obstacle, reason) = self.obstacle().unzip();
        self.readiness.record_obstacle(obstacle);
        let now = self.clock.now();
        match self.core().readiness.observe(now, obstacle) {
            None => {}
            Some(Notice::NotReady { obstacle, lasted }) => tracing::warn!(
                event = "ready",
                state = "not ready",
                obstacle = %obstacle,
                reason = reason.flatten(),
                lasted_ms = lasted.as_millis() as u64,
            ),
            Some(Notice::Ready { lasted }) => tracing::info!(
                event = "ready",
                state = "ready",
                lasted_ms = lasted.as_millis() as u64,
            ),
        }
    }
}
