//! A prefix cache with limited memory, and the events that it publishes.

use {
    crate::text::Fnv,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Bytes of prompt in one block; a block is cached whole or not at all.
pub const BLOCK_BYTES: usize = 256;

/// Tokens in one block.
pub const BLOCK_TOKENS: u32 = 64;

/// Events kept; older ones are lost to readers.
const MAX_EVENTS: usize = 4096;

/// A change of the cache, as it is published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Its number; numbers grow, and some are missing.
    pub n: u64,
    /// What happened.
    pub kind: Kind,
    /// Hexadecimal FNV-1a hash of the prompt's bytes up to the end of the block.
    pub prefix: String,
}

/// What happened to a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// It is cached now.
    Stored,
    /// It was dropped.
    Removed,
}

/// The cache: blocks by the hash of everything up to their end, least recently used first out.
#[derive(Debug, Default)]
pub struct Cache {
    blocks: BTreeMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    clock: u64,
    capacity: usize,
    published: u64,
    events: VecDeque<(Duration, Event)>,
}

impl Cache {
    /// An empty cache of `tokens`.
    pub fn new(tokens: u32) -> Self {
        Self {
            capacity: (tokens / BLOCK_TOKENS) as usize,
            ..Self::default()
        }
    }

    /// Looks a prompt up and caches it; returns the tokens of it that were cached already.
    pub fn prefill(&mut self, now: Duration, prompt: &str) -> u32 {
        let blocks = prefixes(prompt);
        let cached = blocks
            .iter()
            .take_while(|block| self.blocks.contains_key(block))
            .count();
        for block in blocks {
            self.touch(now, block);
        }
        self.evict(now);
        cached as u32 * BLOCK_TOKENS
    }

    fn touch(&mut self, now: Duration, block: u64) {
        self.clock += 1;
        match self.blocks.insert(block, self.clock) {
            Some(old) => {
                self.by_last_use.remove(&old);
            }
            None => self.publish(now, Kind::Stored, block),
        }
        self.by_last_use.insert(self.clock, block);
    }

    fn evict(&mut self, now: Duration) {
        while self.blocks.len() > self.capacity {
            let Some((_, block)) = self.by_last_use.pop_first() else {
                return;
            };
            self.blocks.remove(&block);
            self.publish(now, Kind::Removed, block);
        }
    }

    fn publish(&mut self, now: Duration, kind: Kind, block: u64) {
        self.published += 1;
        let event = Event {
            n: self.published,
            kind,
            prefix: format!("{block:016x}"),
        };
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((now, event));
    }

    /// Events after number `after` that happened by `until`, with `gap_percent` of them missing.
    pub fn events(&self, after: u64, until: Duration, gap_percent: u64) -> Vec<Event> {
        self.events
            .iter()
            .take_while(|(at, _)| *at <= until)
            .filter(|(_, event)| event.n > after && !is_dropped(event.n, gap_percent))
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Forgets everything, as a restart does.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.by_last_use.clear();
    }
}

fn is_dropped(n: u64, gap_percent: u64) -> bool {
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32 & 0xffff < gap_percent * 0xffff / 100
}

/// The hashes of the prompt up to the end of each whole block.
fn prefixes(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .scan(Fnv::new(), |hash, block| {
            *hash = hash.more(block);
            Some(hash.value())
        })
        .collect()
}
