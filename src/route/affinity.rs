//! Prefix affinity: rendezvous hashing, and hints about which replica holds a prefix.

use {
    super::request::Prefix,
    std::{collections::BTreeMap, mem, time::Duration},
};

/// Prefixes a generation of hints holds.
const GENERATION: usize = 4_096;
/// Replicas that are remembered for one prefix.
const HOLDERS: usize = 4;
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
pub fn admitted(key: u64, replica: u64, ramp: f64) -> bool {
    let lot = mix(weight(key, replica)) as f64 / u64::MAX as f64;
    lot <= ramp
}

/// Which replicas are believed to hold which prefixes. Only ever a hint: late, with gaps, bounded.
#[derive(Debug, Clone, Default)]
pub struct Hints {
    young: BTreeMap<u64, Holders>,
    old: BTreeMap<u64, Holders>,
}

/// The replicas of one prefix, by hash, and when each was last known to hold it.
#[derive(Debug, Clone, Default)]
struct Holders(Vec<(u64, Duration)>);

impl Hints {
    /// A replica holds a prefix.
    pub fn held(&mut self, now: Duration, prefix: u64, replica: u64) {
        if self.young.len() >= GENERATION {
            self.old = mem::take(&mut self.young);
        }
        let earlier = self.old.remove(&prefix);
        let holders = self
            .young
            .entry(prefix)
            .or_insert_with(|| earlier.unwrap_or_default());
        holders.0.retain(|(holder, _)| *holder != replica);
        if holders.0.len() == HOLDERS {
            holders.0.remove(0);
        }
        holders.0.push((replica, now));
    }

    /// A replica dropped a prefix.
    pub fn dropped(&mut self, prefix: u64, replica: u64) {
        for generation in [&mut self.young, &mut self.old] {
            if let Some(holders) = generation.get_mut(&prefix) {
                holders.0.retain(|(holder, _)| *holder != replica);
            }
        }
    }

    /// Whether any replica is believed to hold a prefix.
    pub fn known(&self, now: Duration, prefix: u64, life: Duration) -> bool {
        let holders = self.young.get(&prefix).or_else(|| self.old.get(&prefix));
        holders.is_some_and(|holders| {
            let mut times = holders.0.iter().map(|(_, at)| *at);
            times.any(|at| now.saturating_sub(at) <= life)
        })
    }

    /// Whether a replica is believed to hold a prefix.
    pub fn holds(&self, now: Duration, prefix: u64, replica: u64, life: Duration) -> bool {
        let holders = self.young.get(&prefix).or_else(|| self.old.get(&prefix));
        holders.is_some_and(|holders| {
            holders
                .0
                .iter()
                .any(|(holder, at)| *holder == replica && now.saturating_sub(*at) <= life)
        })
    }
}
