//! Settings of the engine stand-in: its speed, its limits and the lag and loss of its reports.

use {
    crate::{millis, serve::EPHEMERAL},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Settings of an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Address to listen on.
    pub bind: SocketAddr,
    /// Models loaded at the start.
    pub models: Vec<String>,
    /// Version of these models.
    pub version: String,
    /// Largest number of running sequences.
    pub slots: usize,
    /// Base duration of a decoding step.
    #[serde(with = "millis", rename = "step_ms")]
    pub step: Duration,
    /// Time that each running sequence adds to a decoding step.
    #[serde(with = "millis", rename = "step_per_sequence_ms")]
    pub step_per_sequence: Duration,
    /// Prefill time of one prompt token that is not cached.
    #[serde(with = "millis", rename = "prefill_per_token_ms")]
    pub prefill_per_token: Duration,
    /// Capacity of the prefix cache in prompt tokens.
    pub cache_tokens: u32,
    /// Token limit of an answer when the request sets none.
    pub max_tokens: u32,
    /// Interval at which the load report is refreshed, and so its largest age.
    #[serde(with = "millis", rename = "load_lag_ms")]
    pub load_lag: Duration,
    /// Delay until a cache event is published.
    #[serde(with = "millis", rename = "event_lag_ms")]
    pub event_lag: Duration,
    /// Percentage of cache events that are lost.
    pub event_gap_percent: u64,
    /// Whether orders with an outdated fencing number are refused.
    pub fencing: bool,
    /// Whether streams can be resumed at an offset.
    pub resume: bool,
    /// Address of the weight store; absent, loading fetches nothing.
    pub weights: Option<SocketAddr>,
    /// Time to load a model after its weights were fetched, and pause between two fetch attempts.
    #[serde(with = "millis", rename = "load_time_ms")]
    pub load_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bind: EPHEMERAL,
            models: vec!["small".to_owned()],
            version: "1".to_owned(),
            slots: 16,
            step: Duration::from_millis(8),
            step_per_sequence: Duration::from_micros(500),
            prefill_per_token: Duration::from_micros(100),
            cache_tokens: 32_768,
            max_tokens: 64,
            load_lag: Duration::from_secs(1),
            event_lag: Duration::from_secs(2),
            event_gap_percent: 10,
            fencing: true,
            resume: true,
            weights: None,
            load_time: Duration::from_secs(1),
        }
    }
}

impl Settings {
    /// Settings without simulated compute time, for tests and for measuring overhead.
    pub fn instant() -> Self {
        Self {
            step: Duration::ZERO,
            step_per_sequence: Duration::ZERO,
            prefill_per_token: Duration::ZERO,
            slots: 4096,
            ..Self::default()
        }
    }
}
