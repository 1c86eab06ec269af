//! How fast a pool's upstreams work, learned from what answers took.

/// How much one observation's weight falls with each later one.
const DECAY: f64 = 0.99;
/// Milliseconds before the first event that don't depend on the prompt, until any is seen.
const INITIAL_BASE_MS: f64 = 60.0;
/// Prompt tokens read in a millisecond, until any are seen; low, so that a start is careful.
const INITIAL_RATE: f64 = 40.0;
/// Tokens of the imagined observation that stands for [`INITIAL_RATE`].
const INITIAL_TOKENS: f64 = 10_000.0;
/// Weight of each imagined observation.
const INITIAL_WEIGHT: f64 = 5.0;
/// Bounds of the rate, in tokens a millisecond.
const RATE_RANGE: (f64, f64) = (2.0, 1_000.0);
/// Bounds of the base, in milliseconds.
const BASE_RANGE_MS: (f64, f64) = (2.0, 500.0);

/// A line fitted to times to the first event over prompt tokens that had to be read before it.
#[derive(Debug, Clone)]
pub struct Speed {
    weight: f64,
    tokens: f64,
    millis: f64,
    tokens_squared: f64,
    product: f64,
}

impl Speed {
    /// Nothing seen yet.
    pub fn new() -> Self {
        let mut speed = Self {
            weight: 0.0,
            tokens: 0.0,
            millis: 0.0,
            tokens_squared: 0.0,
            product: 0.0,
        };
        let late = INITIAL_BASE_MS + INITIAL_TOKENS / INITIAL_RATE;
        speed.add(INITIAL_WEIGHT, 0.0, INITIAL_BASE_MS);
        speed.add(INITIAL_WEIGHT, INITIAL_TOKENS, late);
        speed
    }

    /// A first event came after so many milliseconds, with so many tokens to read before it.
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

    /// Prompt tokens read in a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        let spread = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let slope = (self.weight * self.product - self.tokens * self.millis) / spread.max(1.0);
        (1.0 / slope.max(1.0 / RATE_RANGE.1)).clamp(RATE_RANGE.0, RATE_RANGE.1)
    }

    /// Milliseconds that don't depend on the prompt.
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
