//! How an engine behaves.

use {
    crate::{millis, serve::EPHEMERAL},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// How an engine behaves.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Where it listens.
    pub bind: SocketAddr,
    /// Models that it has loaded.
    pub models: Vec<String>,
    /// Version of the models.
    pub version: String,
    /// Sequences that run at once.
    pub slots: usize,
    /// Time of a step with an empty batch.
    #[serde(with = "millis", rename = "step_ms")]
    pub step: Duration,
    /// Time that each running sequence adds to a step.
    #[serde(with = "millis", rename = "step_per_sequence_ms")]
    pub step_per_sequence: Duration,
    /// Time to compute one prompt token that is not cached.
    #[serde(with = "millis", rename = "prefill_per_token_ms")]
    pub prefill_per_token: Duration,
    /// Prompt tokens that the prefix cache holds.
    pub cache_tokens: u32,
    /// Tokens that an answer may have when the request names none.
    pub max_tokens: u32,
    /// Age up to which load reports are stale.
    #[serde(with = "millis", rename = "load_lag_ms")]
    pub load_lag: Duration,
    /// Time by which cache events are late.
    #[serde(with = "millis", rename = "event_lag_ms")]
    pub event_lag: Duration,
    /// Percentage of cache events that are lost.
    pub event_gap_percent: u64,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Whether streams can be resumed at an offset.
    pub resume: bool,
    /// Where weights are fetched from when a model is to be loaded.
    pub weights: Option<SocketAddr>,
    /// Time that loading takes besides fetching the weights.
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
    /// An engine that answers as fast as the machine can, for tests and overhead.
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
