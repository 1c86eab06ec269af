//! What can be set about routing.

use std::time::Duration;

/// What can be set about routing. The defaults suit language models behind a handful of hosts a
/// region.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Replicas of one pool that a host follows and uses at most.
    pub max_followed: usize,
    /// Prompt tokens that a replica takes in a second, to price a prefix that isn't cached.
    pub prefill_tokens_per_s: f64,
    /// How much a prompt token counts beside its own time, for it delays the whole batch.
    pub prefill_weight: f64,
    /// How much a full batch lengthens an answer, as a share of the answer's time.
    pub batch_slowdown: f64,
    /// The mean time of an answer before any has been seen.
    pub initial_service_time: Duration,
    /// How far a replica's load may lie over the pool's mean before affinity passes it by.
    pub load_bound: f64,
    /// How long a hint about a cached prefix is believed.
    pub hint_ttl: Duration,
    /// How long a cold replica takes to reach its full part.
    pub slow_start: Duration,
    /// How old a load report may be before it counts for nothing.
    pub report_ttl: Duration,
    /// Failures, halved by each success, at which a replica is ejected.
    pub ejection_threshold: f64,
    /// The first ejection's length; each further one in a row is twice as long.
    pub ejection_time: Duration,
    /// The longest ejection.
    pub max_ejection_time: Duration,
    /// The share of a pool that may be ejected; beyond it ejections are ignored.
    pub max_ejected_share: f64,
    /// There and back between regions.
    pub region_round_trip: Duration,
    /// How old a region's digest may be before it is no spill target.
    pub digest_ttl: Duration,
    /// Load over capacity from which requests wait at a pool.
    pub spill_utilization: f64,
    /// How much longer home must take than another region for spilling to begin.
    pub spill_start_gain: Duration,
    /// How much longer home must take than another region for spilling to go on.
    pub spill_stop_gain: Duration,
    /// Bytes a second that all hosts of a region together may send over the links to others.
    pub link_bytes_per_s: f64,
    /// A deliberate fault, for tests.
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
    /// What taking in prompt tokens costs, in seconds.
    pub fn prefill_cost_s(&self, tokens: f64) -> f64 {
        self.prefill_weight * tokens / self.prefill_tokens_per_s
    }
}

/// A deliberate fault by which tests show that they would see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// No fault.
    None,
    /// Residency is not looked at.
    Residency,
    /// Visited regions are not looked at.
    Visited,
    /// Leaving replicas are used.
    Leaving,
}
