//! Sampling of the log lines of successful requests under load.
//!
//! All lines up to a fixed number per second are kept. Beyond that, requests are sampled by a hash
//! of their id, so that a request kept on one host is kept on every host.

use {crate::route::affinity, prometheus_client::metrics::counter::Counter, std::time::Duration};

/// Number of lines per second that are kept without sampling.
const UNSAMPLED_PER_SECOND: u32 = 60;
/// Beyond that number, one request in this many is kept.
const ONE_IN: u64 = 16;

/// Decides which lines are kept.
#[derive(Debug, Default)]
pub struct Sampler {
    /// The second that `kept_in_second` counts.
    second: u64,
    kept_in_second: u32,
    dropped: Counter,
}

impl Sampler {
    /// Whether to keep the line of a request. Counts the line if it is dropped.
    pub fn keep(&mut self, now: Duration, request: &str) -> bool {
        if now.as_secs() != self.second {
            self.second = now.as_secs();
            self.kept_in_second = 0;
        }
        if self.kept_in_second < UNSAMPLED_PER_SECOND {
            self.kept_in_second += 1;
            return true;
        }
        let keep = affinity::hash(request.as_bytes()).is_multiple_of(ONE_IN);
        self.dropped.inc_by(u64::from(!keep));
        keep
    }

    /// Number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// The counter of dropped lines, to be registered with the metrics.
    pub fn counter(&self) -> Counter {
        self.dropped.clone()
    }
}
