//! Metrics of a host, exported in the Prometheus text format.

use {
    crate::{failure::Code, panic::Panics},
    prometheus_client::{
        encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder, text},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::Registry,
    },
    std::{
        fmt::{self, Write},
        sync::{Arc, Mutex, PoisonError},
    },
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0,
];

/// Labels of an answered call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnsweredLabels {
    /// Name of the route.
    pub route: String,
    /// HTTP status of the answer.
    pub status: u16,
}

/// Label of a failed call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FailedLabels {
    /// The failure's code.
    pub code: Code,
}

impl EncodeLabelValue for Code {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        write!(encoder, "{self}")
    }
}

/// The metrics of a host; services add their own with [`Metrics::register`].
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
    /// Calls answered, by route and status.
    pub answered: Family<AnsweredLabels, Counter>,
    /// Failed calls, by code.
    pub failed: Family<FailedLabels, Counter>,
    /// Calls forwarded to another host.
    pub forwarded: Counter,
    /// Calls that other hosts forwarded to this one.
    pub taken: Counter,
    /// Calls running now.
    pub running: Gauge,
    /// Pools of the region that the host can't connect to.
    pub unreached_pools: Gauge,
    /// Answers that carried another exchange's id and were dropped.
    pub crossed: Counter,
    /// Time from a call's arrival to the head of its answer, in seconds.
    pub head_seconds: Histogram,
}

impl Metrics {
    /// All metrics at zero.
    pub fn new() -> Self {
        let metrics = Self {
            registry: Arc::new(Mutex::new(Registry::with_prefix("greengagecleat"))),
            answered: Family::default(),
            failed: Family::default(),
            forwarded: Counter::default(),
            taken: Counter::default(),
            running: Gauge::default(),
            unreached_pools: Gauge::default(),
            crossed: Counter::default(),
            head_seconds: Histogram::new(LATENCY_BUCKETS),
        };
        metrics.register(|registry| {
            registry.register("answered", "Calls answered", metrics.answered.clone());
            registry.register("failed", "Calls that got no answer", metrics.failed.clone());
            registry.register(
                "forwarded",
                "Calls forwarded to another host",
                metrics.forwarded.clone(),
            );
            registry.register(
                "taken",
                "Calls taken from other hosts",
                metrics.taken.clone(),
            );
            registry.register("running", "Calls running", metrics.running.clone());
            registry.register(
                "unreached_pools",
                "Pools of the region that the host can't connect to",
                metrics.unreached_pools.clone(),
            );
            registry.register(
                "crossed",
                "Answers of another exchange, dropped",
                metrics.crossed.clone(),
            );
            registry.register(
                "head_seconds",
                "From arrival to the answer's head",
                metrics.head_seconds.clone(),
            );
            registry.register_collector(Box::new(Panics));
        });
        metrics
    }

    /// Registers further metrics of a service.
    pub fn register(&self, add: impl FnOnce(&mut Registry)) {
        add(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Registers the count of the lines that a log's writer dropped.
    pub fn register_lost_lines(&self, lost: Gauge) {
        self.register(|registry| {
            registry.register(
                "log_lines_lost",
                "Log lines that the writer was too slow for",
                lost,
            );
        });
    }

    /// The current values in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut page = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        text::encode(&mut page, &registry).expect("writing to memory does not fail");
        page
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
