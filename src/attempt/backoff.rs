//! Exponential backoff with jitter.

use {rand::RngExt, std::time::Duration};

/// Delay before the first retry, before jitter.
const BASE_DELAY: Duration = Duration::from_millis(25);

/// Longest delay before a retry, before jitter.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// The delay before retry number `retry` (from zero): [`BASE_DELAY`] doubled with each retry, up to
/// [`MAX_DELAY`], times a random factor from 0.5 to 1.5.
pub(super) fn delay(retry: u32, rng: &mut impl RngExt) -> Duration {
    let step = BASE_DELAY.saturating_mul(1 << retry.min(16)).min(MAX_DELAY);
    step.mul_f64(rng.random_range(0.5..1.5))
}
