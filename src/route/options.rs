//! Tunable parameters of routing.

use std::time::Duration;

/// Tunable parameters of routing. The defaults suit language models behind a handful of hosts per
/// region.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Number of replicas of a pool up to which a host follows and uses all of them. Of a larger
    /// pool it uses one shard of about this size.
    pub max_followed: usize,
    /// Prompt tokens that a replica prefills per second, to price a prefix that is not cached.
    pub prefill_tokens_per_s: f64,
    /// Factor on the prefill time of a prompt token, as prefill delays the whole batch.
    pub prefill_weight: f64,
    /// Share by which a full batch lengthens an answer.
    pub batch_slowdown: f64,
    /// Mean time of an answer, assumed before any has been seen.
    pub initial_service_time: Duration,
    /// Factor over the pool's mean load up to which a replica is used for prefix affinity.
    pub load_bound: f64,
    /// How long a hint about a cached prefix stays valid.
    pub hint_ttl: Duration,
    /// How long a cold replica takes to reach its full capacity.
    pub slow_start: Duration,
    /// Age of a load report from which it is ignored.
    pub report_ttl: Duration,
    /// Failure score at which a replica is ejected. A failure adds one, a success halves it.
    pub ejection_threshold: f64,
    /// Length of the first ejection; each further one in a row is twice as long.
    pub ejection_time: Duration,
    /// Largest length of an ejection.
    pub max_ejection_time: Duration,
    /// Share of a pool's replicas up to which ejections count; if more are ejected, they are
    /// ignored.
    pub max_ejected_share: f64,
    /// Round-trip time between regions.
    pub region_round_trip: Duration,
    /// Age of a region's digest from which the load of the region counts as unknown.
    pub digest_ttl: Duration,
    /// Utilization of a pool, load over capacity, from which requests are expected to wait.
    pub spill_utilization: f64,
    /// Time that another region must gain over this one for spilling to begin.
    pub spill_start_gain: Duration,
    /// Time that another region must gain over this one for spilling to go on.
    pub spill_stop_gain: Duration,
    /// Bytes per second that all hosts of a region together may send to other regions.
    pub link_bytes_per_s: f64,
    /// Fault to inject in tests.
    pub mutant: Mutant,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_followed: 32,
            prefill_tokens_per_s: 8_000.0,
            prefill_weight: 6.0,
            batch_slowdown: 1.0,
            initial_service_time: Duration::from_secs(2),
            load_bound: 1.25,
            hint_ttl: Duration::from_secs(300),
            slow_start: Duration::from_secs(20),
            report_ttl: Duration::from_secs(5),
            ejection_threshold: 2.5,
            ejection_time: Duration::from_secs(2),
            max_ejection_time: Duration::from_secs(60),
            max_ejected_share: 0.5,
            region_round_trip: Duration::from_millis(100),
            digest_ttl: Duration::from_secs(10),
            spill_utilization: 0.8,
            spill_start_gain: Duration::from_millis(50),
            spill_stop_gain: Duration::ZERO,
            link_bytes_per_s: 62_500_000.0,
            mutant: Mutant::None,
        }
    }
}

impl Options {
    /// Cost of prefilling `tokens` prompt tokens, in seconds, with the delay of the batch.
    pub fn prefill_cost_s(&self, tokens: f64) -> f64 {
        self.prefill_weight * tokens / self.prefill_tokens_per_s
    }
}

/// A fault that tests inject to show that their properties detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// No fault; the setting outside tests.
    None,
    /// The residency of customers is ignored.
    Residency,
    /// Hosts and regions that the request has visited are ignored.
    Visited,
    /// Leaving and draining replicas are used.
    Leaving,
}
