//! Prefix affinity: the rendezvous hashing that gives a prompt prefix the same replica on every
//! host, and hints about which replicas hold a prefix in their cache.

use {
    super::request::Prefix,
    std::{collections::BTreeMap, mem, time::Duration},
};

/// Number of prefixes in a generation of hints.
const GENERATION_PREFIXES: usize = 4_096;
/// Number of replicas that are remembered for a prefix.
const MAX_HOLDERS: usize = 4;
/// Length of a prefix: the bytes at the start of a prompt that are hashed.
const PREFIX_BYTES: usize = 2_048;
/// Bytes of text per token, as a rough estimate.
const BYTES_PER_TOKEN: usize = 4;

impl Prefix {
    /// The prefix of a prompt, with its estimated length in tokens.
    pub fn of(prompt: &[u8]) -> Self {
        let start = &prompt[..prompt.len().min(PREFIX_BYTES)];
        Self {
            hash: hash(start),
            tokens: (start.len() / BYTES_PER_TOKEN) as u32,
        }
    }
}

/// A 64-bit FNV-1a hash, finalized by [`mix`]. It is the same on every host.
pub fn hash(bytes: &[u8]) -> u64 {
    let folded = bytes.iter().fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(folded)
}

/// Mixes the bits of a number like the finalizer of the splitmix64 generator.
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Rendezvous weight of a key at a replica; the replica with the highest weight gets the key.
pub fn weight(key: u64, replica: u64) -> u64 {
    mix(key ^ replica)
}

/// Whether a replica whose slow start has reached `ramp`, from zero to one, takes the prefix `key`.
/// The share of prefixes that it takes grows with the ramp, and every host admits the same ones.
pub fn is_admitted(key: u64, replica: u64, ramp: f64) -> bool {
    let draw = mix(weight(key, replica)) as f64 / u64::MAX as f64;
    draw <= ramp
}

/// Hints about which replicas hold which prefixes in their caches. They lag, have gaps and are
/// bounded: when a generation is full, the one before it is dropped.
#[derive(Debug, Clone, Default)]
pub struct Hints {
    current: BTreeMap<u64, Holders>,
    previous: BTreeMap<u64, Holders>,
}

/// The replicas that hold a prefix, by hash, and when each was last known to.
#[derive(Debug, Clone, Default)]
struct Holders(Vec<(u64, Duration)>);

impl Hints {
    /// Records that a replica holds a prefix.
    pub fn record_held(&mut self, now: Duration, prefix: u64, replica: u64) {
        if self.current.len() >= GENERATION_PREFIXES {
            self.previous = mem::take(&mut self.current);
        }
        let previous = self.previous.remove(&prefix);
        let holders = self
            .current
            .entry(prefix)
            .or_insert_with(|| previous.unwrap_or_default());
        holders.0.retain(|(holder, _)| *holder != replica);
        if holders.0.len() == MAX_HOLDERS {
            holders.0.remove(0);
        }
        holders.0.push((replica, now));
    }

    /// Records that a replica has dropped a prefix.
    pub fn record_dropped(&mut self, prefix: u64, replica: u64) {
        for generation in [&mut self.current, &mut self.previous] {
            if let Some(holders) = generation.get_mut(&prefix) {
                holders.0.retain(|(holder, _)| *holder != replica);
            }
        }
    }

    /// Whether a hint not older than `ttl` says that any replica holds a prefix.
    pub fn is_held(&self, now: Duration, prefix: u64, ttl: Duration) -> bool {
        let holders = self
            .current
            .get(&prefix)
            .or_else(|| self.previous.get(&prefix));
        holders.is_some_and(|holders| {
            let mut times = holders.0.iter().map(|(_, at)| *at);
            times.any(|at| now.saturating_sub(at) <= ttl)
        })
    }

    /// Whether a hint not older than `ttl` says that a replica holds a prefix.
    pub fn is_held_by(&self, now: Duration, prefix: u64, replica: u64, ttl: Duration) -> bool {
        let holders = self
            .current
            .get(&prefix)
            .or_else(|| self.previous.get(&prefix));
        holders.is_some_and(|holders| {
            holders
                .0
                .iter()
                .any(|(holder, at)| *holder == replica && now.saturating_sub(*at) <= ttl)
        })
    }
}
