//! Demand of a customer at this host, by which loans are sized.

use std::time::Duration;

/// Time constant of the smoothed rate.
const RATE_DECAY_SECONDS: f64 = 4.0;
/// Time constant with which the largest request size decays.
const SIZE_DECAY_SECONDS: f64 = 20.0;
/// Time constant with which refused tokens decay.
const REFUSED_DECAY_SECONDS: f64 = 0.5;

/// Smoothed demand of one customer at one host.
#[derive(Debug, Clone, Default)]
pub(super) struct Demand {
    /// Tokens per second requested, whether admitted or not.
    pub(super) rate: f64,
    /// Size of the largest recent request, in tokens.
    pub(super) largest_request: f64,
    /// Size of the largest request refused a moment ago, less what was admitted since, in tokens.
    pub(super) refused_tokens: f64,
    decayed_at: Duration,
}

impl Demand {
    pub(super) fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.decayed_at = now;
        self.rate *= (-elapsed / RATE_DECAY_SECONDS).exp();
        self.largest_request *= (-elapsed / SIZE_DECAY_SECONDS).exp();
        self.refused_tokens *= (-elapsed / REFUSED_DECAY_SECONDS).exp();
    }

    pub(super) fn record_request(&mut self, now: Duration, tokens: f64) {
        self.decay(now);
        self.rate += tokens / RATE_DECAY_SECONDS;
        self.largest_request = self.largest_request.max(tokens);
    }

    pub(super) fn record_refusal(&mut self, tokens: f64) {
        self.refused_tokens = self.refused_tokens.max(tokens);
    }

    /// Subtracts an admitted request, usually the retry of a refused one, from the refused tokens.
    pub(super) fn record_admission(&mut self, tokens: f64) {
        self.refused_tokens = (self.refused_tokens - tokens).max(0.0);
        self.rate = self.rate.max(0.0);
    }

    /// Removes the tokens that a settled request did not use from the rate.
    pub(super) fn subtract_unused(&mut self, tokens: f64) {
        self.rate = (self.rate - tokens / RATE_DECAY_SECONDS).max(0.0);
    }
}
