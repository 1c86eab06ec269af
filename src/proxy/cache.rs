//! Which prompt prefixes an engine is believed to hold, from what was sent to it.

use {
    super::dialect::Part,
    crate::route::affinity::mix,
    std::{collections::BTreeMap, time::Duration},
};

/// One prefix of a prompt: a part with all parts before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link {
    /// Names the prefix.
    pub hash: u64,
    /// Tokens of its last part.
    pub tokens: u32,
}

/// The prefixes of a prompt, from the shortest.
pub fn chain(parts: &[Part]) -> Vec<Link> {
    let mut hash = 0;
    parts
        .iter()
        .map(|part| {
            hash = mix(hash ^ part.id);
            Link {
                hash,
                tokens: part.tokens,
            }
        })
        .collect()
}

/// The prefix that later requests of the same session share: all parts but the last.
pub fn session(chain: &[Link]) -> Option<&Link> {
    chain.iter().rev().nth(1)
}

/// The prefixes that one engine is believed to hold, the least recently used forgotten first.
#[derive(Debug, Clone, Default)]
pub struct Cache {
    held: BTreeMap<u64, Held>,
    tokens: u64,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    tokens: u32,
    used: Duration,
}

impl Cache {
    /// Tokens at the start of a prompt that need not be read again.
    pub fn cached(&self, chain: &[Link]) -> u32 {
        chain
            .iter()
            .take_while(|link| self.held.contains_key(&link.hash))
            .map(|link| link.tokens)
            .sum()
    }

    /// A prompt was sent to the engine, whose memory has room for so many tokens.
    pub fn note(&mut self, now: Duration, chain: &[Link], room: u64) {
        for link in chain {
            let held = Held {
                tokens: link.tokens,
                used: now,
            };
            if self.held.insert(link.hash, held).is_none() {
                self.tokens += u64::from(link.tokens);
            }
        }
        if self.tokens > room {
            self.shrink(room * 9 / 10);
        }
    }

    /// Forgets the least recently used prefixes until the rest fits.
    fn shrink(&mut self, room: u64) {
        let mut by_age: Vec<_> = self
            .held
            .iter()
            .map(|(hash, held)| (held.used, *hash))
            .collect();
        by_age.sort_unstable();
        for (_, hash) in by_age {
            if self.tokens <= room {
                return;
            }
            if let Some(held) = self.held.remove(&hash) {
                self.tokens -= u64::from(held.tokens);
            }
        }
    }
}
