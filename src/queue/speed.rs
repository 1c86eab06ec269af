//! Service times of a pool, learnt from the requests that have ended.

use std::time::Duration;

/// Weight of the newest request in the moving averages.
const EWMA_WEIGHT: f64 = 0.05;

/// Time that one slot takes per token. Long requests are learnt separately, because most of their
/// tokens are prompt, which an engine prefills far faster than it generates an answer.
#[derive(Debug, Default)]
pub(super) struct Speed {
    all: Ratio,
    short: Ratio,
    long: Ratio,
}

impl Speed {
    /// Learns from a request of `tokens` that ended after `took`.
    pub(super) fn observe(&mut self, tokens: u64, is_long: bool, took: Duration) {
        self.all.observe(tokens, took);
        self.ratio_mut(is_long).observe(tokens, took);
    }

    /// Time that one slot takes for a request of `tokens`; zero before a request of the same kind,
    /// long or short, has ended.
    pub(super) fn service_time(&self, tokens: u64, is_long: bool) -> Duration {
        let ratio = if is_long { &self.long } else { &self.short };
        ratio.time_for(tokens as f64)
    }

    /// Time that `slots` together take for the `tokens` of many requests.
    pub(super) fn drain_time(&self, tokens: f64, slots: u32) -> Duration {
        self.all.time_for(tokens / f64::from(slots.max(1)))
    }

    fn ratio_mut(&mut self, is_long: bool) -> &mut Ratio {
        if is_long {
            &mut self.long
        } else {
            &mut self.short
        }
    }
}

/// Moving averages of the tokens and the seconds of requests, for the ratio between them.
#[derive(Debug, Default)]
struct Ratio {
    tokens: f64,
    seconds: f64,
}

impl Ratio {
    fn observe(&mut self, tokens: u64, took: Duration) {
        let gain = if self.tokens > 0.0 { EWMA_WEIGHT } else { 1.0 };
        self.tokens += (tokens as f64 - self.tokens) * gain;
        self.seconds += (took.as_secs_f64() - self.seconds) * gain;
    }

    fn time_for(&self, tokens: f64) -> Duration {
        if self.tokens <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(tokens * self.seconds / self.tokens)
    }
}
