//! A model of each engine's prefix cache, built from the prompts that were sent to it.

use {
    super::dialect::Part,
    crate::route::affinity::mix,
    std::{collections::BTreeMap, time::Duration},
};

/// Most parts of a prompt that a log line names.
const LOGGED_PARTS: usize = 16;

/// A prefix of a prompt: one part together with all parts before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix {
    /// Id of the last part, the same in all prompts that hold the part.
    pub part: u64,
    /// Hash of all parts up to and including the last one.
    pub hash: u64,
    /// Tokens of the last part alone.
    pub tokens: u32,
}

/// Returns the prefixes of a prompt, shortest first.
pub fn prefixes(parts: &[Part]) -> Vec<Prefix> {
    let mut hash = 0;
    parts
        .iter()
        .map(|part| {
            hash = mix(hash ^ part.id);
            Prefix {
                part: part.id,
                hash,
                tokens: part.tokens,
            }
        })
        .collect()
}

/// The parts of a prompt that other prompts may hold: all but the last, which is the request's own.
pub fn shared_parts(prompt: &[Prefix]) -> impl Iterator<Item = u64> {
    let shared = prompt.len().saturating_sub(1);
    prompt[..shared].iter().map(|prefix| prefix.part)
}

/// Formats the first [`LOGGED_PARTS`] shared parts of a prompt for the log, as callers send them.
pub fn format_parts(prompt: &[Prefix]) -> String {
    let parts: Vec<_> = shared_parts(prompt)
        .take(LOGGED_PARTS)
        .map(|part| format!("{part:x}"))
        .collect();
    parts.join(",")
}

/// Returns the prefix that later requests of the same session share: all parts but the last. `None`
/// if the prompt has fewer than two parts.
pub fn session_prefix(prompt: &[Prefix]) -> Option<&Prefix> {
    prompt.iter().rev().nth(1)
}

/// Tokens of these parts of a prompt, as far as a number holds what callers claim.
pub fn total_tokens<'a>(prefixes: impl Iterator<Item = &'a Prefix>) -> u32 {
    prefixes.fold(0, |total, prefix| total.saturating_add(prefix.tokens))
}

/// The prefixes that one engine is expected to have cached, evicted in least recently used order.
#[derive(Debug, Clone, Default)]
pub struct Cache {
    /// Cached prefixes by hash.
    prefixes: BTreeMap<u64, Entry>,
    /// Tokens of all cached prefixes.
    tokens: u64,
}

/// A cached prefix.
#[derive(Debug, Clone, Copy)]
struct Entry {
    tokens: u32,
    last_used_at: Duration,
}

impl Cache {
    /// Tokens at the start of a prompt that the engine has cached and need no prefill.
    pub fn cached_tokens(&self, prompt: &[Prefix]) -> u32 {
        let cached = prompt.iter();
        total_tokens(cached.take_while(|prefix| self.prefixes.contains_key(&prefix.hash)))
    }

    /// Records that a prompt was sent to the engine, whose cache holds `capacity` tokens.
    pub fn record_prompt(&mut self, now: Duration, prompt: &[Prefix], capacity: u64) {
        for prefix in prompt {
            let cached = Entry {
                tokens: prefix.tokens,
                last_used_at: now,
            };
            // Callers may give a prefix another number of tokens than before.
            let before = self.prefixes.insert(prefix.hash, cached);
            let before = before.map_or(0, |cached| u64::from(cached.tokens));
            self.tokens = self.tokens - before + u64::from(prefix.tokens);
        }
        if self.tokens > capacity {
            self.evict_until(capacity * 9 / 10);
        }
    }

    /// Evicts the least recently used prefixes until the rest fits into `capacity` tokens.
    fn evict_until(&mut self, capacity: u64) {
        let mut by_age: Vec<_> = self
            .prefixes
            .iter()
            .map(|(hash, cached)| (cached.last_used_at, *hash))
            .collect();
        by_age.sort_unstable();
        for (_, hash) in by_age {
            if self.tokens <= capacity {
                return;
            }
            if let Some(cached) = self.prefixes.remove(&hash) {
                self.tokens -= u64::from(cached.tokens);
            }
        }
    }
}
