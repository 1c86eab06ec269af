//! Prefix affinity: rendezvous hashing, and hints about which replica holds a prefix.

use {
    super::request::Prefix,
    std::{collections::BTreeMap, mem, time::Duration},
};

/// Prefixes a generation of hints holds.
const GENERATION_PREFIXES: usize = 4_096;
/// Replicas that are remembered for one prefix.
const MAX_HOLDERS: usize = 4;
/// The characters of a prompt's start that make its prefix.
const PREFIX_BYTES: usize = 2_048;
/// Bytes of text that make a token, roughly.
const BYTES_PER_TOKEN: usize = 4;

impl Prefix {
    /// The prefix of a prompt.
    pub fn of(prompt: &[u8]) -> Self {
        let start = &prompt[..prompt.len().min(PREFIX_BYTES)];
        Self {
            hash: hash(start),
            tokens: (start.len() / BYTES_PER_TOKEN) as u32,
        }
    }
}

/// A 64-bit FNV-1a hash, finished by [`mix`]. It is the same on every host.
pub fn hash(bytes: &[u8]) -> u64 {
    let folded = bytes.iter().fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(folded)
}

/// Spreads the bits of a number, as the splitmix64 generator does.
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The rendezvous weight of a key at a replica: the highest wins.
pub fn weight(key: u64, replica: u64) -> u64 {
    mix(key ^ replica)
}

/// Whether a replica at this point of its slow start already takes the prefixes that hash to it.
/// Prefixes come over one by one as the ramp rises, the same ones on every host.
pub fn is_admitted(key: u64, replica: u64, ramp: f64) -> bool {
    let lot = mix(weight(key, replica)) as f64 / u64::MAX as f64;
    lot <= ramp
}

/// Which replicas are believed to hold which prefixes. Only ever a hint: late, with gaps, bounded.
#[derive(Debug, Clone, Default)]
pub struct Hints {
    current: BTreeMap<u64, Holders>,
    previous: BTreeMap<u64, Holders>,
}

/// The replicas of one prefix, by hash, and when each was last known to hold it.
#[derive(Debug, Clone, Default)]
struct Holders(Vec<(u64, Duration)>);

impl Hints {
    /// A replica holds a prefix.
    pub fn record_held(&mut self, now: Duration, prefix: u64, replica: u64) {
        if self.current.len() >= GENERATION_PREFIXES {
            self.previous = mem::take(&mut self.current);
        }
        let earlier = self.previous.remove(&prefix);
        let holders = self
            .current
            .entry(prefix)
            .or_insert_with(|| earlier.unwrap_or_default());
        holders.0.retain(|(holder, _)| *holder != replica);
        if holders.0.len() == MAX_HOLDERS {
            holders.0.remove(0);
        }
        holders.0.push((replica, now));
    }

    /// A replica dropped a prefix.
    pub fn record_dropped(&mut self, prefix: u64, replica: u64) {
        for generation in [&mut self.current, &mut self.previous] {
            if let Some(holders) = generation.get_mut(&prefix) {
                holders.0.retain(|(holder, _)| *holder != replica);
            }
        }
    }

    /// Whether any replica is believed to hold a prefix.
    pub fn is_held(&self, now: Duration, prefix: u64, life: Duration) -> bool {
        let holders = self
            .current
            .get(&prefix)
            .or_else(|| self.previous.get(&prefix));
        holders.is_some_and(|holders| {
            let mut times = holders.0.iter().map(|(_, at)| *at);
            times.any(|at| now.saturating_sub(at) <= life)
        })
    }

    /// Whether a replica is believed to hold a prefix.
    pub fn is_held_by(&self, now: Duration, prefix: u64, replica: u64, life: Duration) -> bool {
        let holders = self
            .current
            .get(&prefix)
            .or_else(|| self.previous.get(&prefix));
        holders.is_some_and(|holders| {
            holders
                .0
                .iter()
                .any(|(holder, at)| *holder == replica && now.saturating_sub(*at) <= life)
        })
    }
}
