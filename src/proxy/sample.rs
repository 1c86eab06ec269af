//! Which lines of successful requests are logged under load: all up to a number a second, beyond
//! that a sample by request id, so that a request which is kept on one host is kept on every host.

use {crate::route::affinity, prometheus_client::metrics::counter::Counter, std::time::Duration};

/// Lines a second up to which all are kept.
const UNSAMPLED_PER_SECOND: u32 = 60;
/// Beyond that, one request in so many.
const ONE_IN: u64 = 16;

/// Chooses lines.
#[derive(Debug, Default)]
pub struct Sampler {
    second: u64,
    kept_in_second: u32,
    dropped: Counter,
}

impl Sampler {
    /// Whether the line of a request is kept.
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

    /// Lines that were left out, in all.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Their counter, for the metrics.
    pub fn counter(&self) -> Counter {
        self.dropped.clone()
    }
}
