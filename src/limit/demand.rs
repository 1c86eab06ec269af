//! How much of a customer's traffic comes to this host.

use std::time::Duration;

/// Time constant of the demanded rate.
const RATE_SECONDS: f64 = 4.0;
/// Time constant by which the largest request is forgotten.
const SIZE_SECONDS: f64 = 20.0;
/// Time constant of what was refused.
const SHORT_SECONDS: f64 = 0.5;

/// Smoothed demand of one customer at one host.
#[derive(Debug, Clone, Default)]
pub(super) struct Demand {
    /// Tokens a second that were asked for, admitted or not.
    pub(super) rate: f64,
    /// Size in tokens of the largest request of late.
    pub(super) largest: f64,
    /// Tokens that were refused a moment ago.
    pub(super) short: f64,
    at: Duration,
}

impl Demand {
    pub(super) fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.at = now;
        self.rate *= (-elapsed / RATE_SECONDS).exp();
        self.largest *= (-elapsed / SIZE_SECONDS).exp();
        self.short *= (-elapsed / SHORT_SECONDS).exp();
    }

    pub(super) fn offer(&mut self, now: Duration, tokens: f64) {
        self.decay(now);
        self.rate += tokens / RATE_SECONDS;
        self.largest = self.largest.max(tokens);
    }

    pub(super) fn refuse(&mut self, tokens: f64) {
        self.short = self.short.max(tokens);
    }

    /// What remains after the request that had been refused was admitted.
    pub(super) fn admit(&mut self, tokens: f64) {
        self.short = (self.short - tokens).max(0.0);
        self.rate = self.rate.max(0.0);
    }

    /// Takes back what a settled request didn't use.
    pub(super) fn refund(&mut self, tokens: f64) {
        self.rate = (self.rate - tokens / RATE_SECONDS).max(0.0);
    }
}
