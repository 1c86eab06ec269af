//! Estimates how fast a pool's engines prefill prompts, from the measured times to the first event.

/// Factor by which the weight of an observation falls with each later one.
const DECAY: f64 = 0.99;
/// Time to the first event without any prefill, in milliseconds, before the first observation.
const INITIAL_BASE_MS: f64 = 60.0;
/// Prefill rate before the first observation, in tokens per millisecond; low, so that a new host
/// starts cautiously.
const INITIAL_RATE: f64 = 40.0;
/// Prompt tokens of the prior observation that sets [`INITIAL_RATE`].
const INITIAL_TOKENS: f64 = 10_000.0;
/// Weight of each of the two prior observations.
const INITIAL_WEIGHT: f64 = 5.0;
/// Bounds of the estimated rate, in tokens per millisecond.
const RATE_RANGE: (f64, f64) = (2.0, 1_000.0);
/// Bounds of the estimated base time, in milliseconds.
const BASE_RANGE_MS: (f64, f64) = (2.0, 500.0);

/// A line fitted by weighted least squares: time to the first event over the prompt tokens that had
/// to be prefilled before it. Holds the sums that the fit needs.
#[derive(Debug, Clone)]
pub struct Speed {
    weight: f64,
    tokens: f64,
    millis: f64,
    tokens_squared: f64,
    /// Sum of tokens times milliseconds.
    product: f64,
}

impl Speed {
    /// Creates an estimate from the prior observations alone.
    pub fn new() -> Self {
        let mut speed = Self {
            weight: 0.0,
            tokens: 0.0,
            millis: 0.0,
            tokens_squared: 0.0,
            product: 0.0,
        };
        let millis = INITIAL_BASE_MS + INITIAL_TOKENS / INITIAL_RATE;
        speed.add(INITIAL_WEIGHT, 0.0, INITIAL_BASE_MS);
        speed.add(INITIAL_WEIGHT, INITIAL_TOKENS, millis);
        speed
    }

    /// Adds an observation: a first event arrived after `millis`, with `tokens` to prefill before
    /// it.
    pub fn observe(&mut self, tokens: f64, millis: f64) {
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.millis,
            &mut self.tokens_squared,
            &mut self.product,
        ] {
            *sum *= DECAY;
        }
        self.add(1.0, tokens, millis);
    }

    fn add(&mut self, weight: f64, tokens: f64, millis: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.millis += weight * millis;
        self.tokens_squared += weight * tokens * tokens;
        self.product += weight * tokens * millis;
    }

    /// Estimated prefill rate, in tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        let denominator = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let slope = (self.weight * self.product - self.tokens * self.millis) / denominator.max(1.0);
        (1.0 / slope.max(1.0 / RATE_RANGE.1)).clamp(RATE_RANGE.0, RATE_RANGE.1)
    }

    /// Estimated time to the first event without any prefill, in milliseconds.
    pub fn base_ms(&self) -> f64 {
        let mean = (self.millis - self.tokens / self.tokens_per_ms()) / self.weight;
        mean.clamp(BASE_RANGE_MS.0, BASE_RANGE_MS.1)
    }
}

impl Default for Speed {
    fn default() -> Self {
        Self::new()
    }
}
