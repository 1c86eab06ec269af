//! How fast a pool works, learnt from what has ended.

use std::time::Duration;

/// The weight of the newest answer.
const EWMA_WEIGHT: f64 = 0.05;

/// How fast one slot works. Long requests are learnt apart, for most of their tokens are prompt,
/// which an engine takes in far faster than it answers.
#[derive(Debug, Default)]
pub(super) struct Speed {
    all: Ratio,
    brief: Ratio,
    long: Ratio,
}

impl Speed {
    /// A request of `tokens` has ended after `took`.
    pub(super) fn observe(&mut self, tokens: u64, long: bool, took: Duration) {
        self.all.observe(tokens, took);
        self.ratio_mut(long).observe(tokens, took);
    }

    /// The time that one slot takes for a request; none before one of its kind has ended.
    pub(super) fn service_time(&self, tokens: u64, long: bool) -> Duration {
        let ratio = if long { &self.long } else { &self.brief };
        ratio.time_for(tokens as f64)
    }

    /// The time that `slots` take for tokens of many requests.
    pub(super) fn drain_time(&self, tokens: f64, slots: u32) -> Duration {
        self.all.time_for(tokens / f64::from(slots.max(1)))
    }

    fn ratio_mut(&mut self, long: bool) -> &mut Ratio {
        if long {
            &mut self.long
        } else {
            &mut self.brief
        }
    }
}

/// Smoothed tokens over smoothed seconds.
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
