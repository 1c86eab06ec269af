//! Which prompt prefixes an engine is believed to hold, from what was sent to it.

use {
    super::dialect::Part,
    crate::route::affinity::mix,
    std::{collections::BTreeMap, time::Duration},
};

/// One prefix of a prompt: a part with all parts before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix {
    /// Names the prefix.
    pub hash: u64,
    /// Tokens of its last part.
    pub tokens: u32,
}

/// The prefixes of a prompt, from the shortest.
pub fn prefixes(parts: &[Part]) -> Vec<Prefix> {
    let mut hash = 0;
    parts
        .iter()
        .map(|part| {
            hash = mix(hash ^ part.id);
            Prefix {
                hash,
                tokens: part.tokens,
            }
        })
        .collect()
}

/// The prefix that later requests of the same session share: all parts but the last.
pub fn session_prefix(prompt: &[Prefix]) -> Option<&Prefix> {
    prompt.iter().rev().nth(1)
}

/// The prefixes that one engine is believed to hold, the least recently used forgotten first.
#[derive(Debug, Clone, Default)]
pub struct Cache {
    prefixes: BTreeMap<u64, Entry>,
    tokens: u64,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    tokens: u32,
    last_used_at: Duration,
}

impl Cache {
    /// Tokens at the start of a prompt that need not be read again.
    pub fn cached_tokens(&self, prompt: &[Prefix]) -> u32 {
        prompt
            .iter()
            .take_while(|prefix| self.prefixes.contains_key(&prefix.hash))
            .map(|prefix| prefix.tokens)
            .sum()
    }

    /// A prompt was sent to the engine, whose memory has room for so many tokens.
    pub fn record_prompt(&mut self, now: Duration, prompt: &[Prefix], room: u64) {
        for prefix in prompt {
            let held = Entry {
                tokens: prefix.tokens,
                last_used_at: now,
            };
            if self.prefixes.insert(prefix.hash, held).is_none() {
                self.tokens += u64::from(prefix.tokens);
            }
        }
        if self.tokens > room {
            self.evict_until(room * 9 / 10);
        }
    }

    /// Forgets the least recently used prefixes until the rest fits.
    fn evict_until(&mut self, room: u64) {
        let mut by_age: Vec<_> = self
            .prefixes
            .iter()
            .map(|(hash, held)| (held.last_used_at, *hash))
            .collect();
        by_age.sort_unstable();
        for (_, hash) in by_age {
            if self.tokens <= room {
                return;
            }
            if let Some(held) = self.prefixes.remove(&hash) {
                self.tokens -= u64::from(held.tokens);
            }
        }
    }
}
