//! How much of a customer's traffic comes to this host.

use std::time::Duration;

/// Time constant of the demanded rate.
const RATE_DECAY_SECONDS: f64 = 4.0;
/// Time constant by which the largest request is forgotten.
const SIZE_DECAY_SECONDS: f64 = 20.0;
/// Time constant of what was refused.
const REFUSED_DECAY_SECONDS: f64 = 0.5;

/// Smoothed demand of one customer at one host.
#[derive(Debug, Clone, Default)]
pub(super) struct Demand {
    /// Tokens a second that were asked for, admitted or not.
    pub(super) rate: f64,
    /// Size in tokens of the largest request of late.
    pub(super) largest_request: f64,
    /// Tokens that were refused a moment ago.
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

    /// What remains after the request that had been refused was admitted.
    pub(super) fn record_admission(&mut self, tokens: f64) {
        self.refused_tokens = (self.refused_tokens - tokens).max(0.0);
        self.rate = self.rate.max(0.0);
    }

    /// Takes back what a settled request didn't use.
    pub(super) fn subtract_unused(&mut self, tokens: f64) {
        self.rate = (self.rate - tokens / RATE_DECAY_SECONDS).max(0.0);
    }
}
