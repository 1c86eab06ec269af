//! Deterministic text generation. The answer of an engine follows from the prompt, so that a test
//! can check that an answer is complete and belongs to the prompt.

/// Bytes of prompt counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// A running 64-bit FNV-1a hash.
#[derive(Debug, Clone, Copy)]
pub struct Fnv(u64);

impl Fnv {
    /// The hash of an empty input.
    pub const fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    /// Continues the hash with more bytes.
    pub fn more(self, bytes: &[u8]) -> Self {
        let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        Self(bytes.iter().fold(self.0, step))
    }

    /// The 64-bit value.
    pub const fn value(self) -> u64 {
        self.0
    }
}

impl Default for Fnv {
    fn default() -> Self {
        Self::new()
    }
}

/// The FNV-1a hash of a text.
pub fn hash(text: &str) -> u64 {
    Fnv::new().more(text.as_bytes()).value()
}

/// Number of tokens in a prompt, at least 1.
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u32
}

/// Number of tokens, between half of `max` and `max`, that an engine generates for `prompt`.
pub fn answer_tokens(prompt: &str, max: u32) -> u32 {
    let half = max / 2;
    let spread = u64::from(max - half) + 1;
    (half + (mix(hash(prompt)) % spread) as u32).max(1)
}

/// The text of token `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: u32) -> String {
    token_of(hash(prompt), index)
}

/// The text of token `index` of the answer to the prompt that hashes to `prompt`.
pub fn token_of(prompt: u64, index: u32) -> String {
    let word = mix(prompt ^ u64::from(index).rotate_left(32)) & 0xffff;
    format!("{index}:{word:04x} ")
}

/// The whole answer to `prompt` when the engine may generate `max` tokens.
pub fn answer(prompt: &str, max: u32) -> String {
    let of = hash(prompt);
    (0..answer_tokens(prompt, max))
        .map(|index| token_of(of, index))
        .collect()
}

/// Mixes the bits of a hash with the finalizer of SplitMix64.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
