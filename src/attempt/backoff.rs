//! Exponential backoff with jitter.

use {rand::RngExt, std::time::Duration};

/// Delay before the first retry, before jitter.
const BASE: Duration = Duration::from_millis(25);

/// Longest delay before a retry, before jitter.
const LIMIT: Duration = Duration::from_secs(2);

/// The delay before retry number `retry` (from zero): between half and one and a half times an
/// exponentially growing step.
pub(super) fn delay(retry: u32, rng: &mut impl RngExt) -> Duration {
    let step = BASE.saturating_mul(1 << retry.min(16)).min(LIMIT);
    step.mul_f64(rng.random_range(0.5..1.5))
}
