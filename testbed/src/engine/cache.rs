//! A prefix cache with least-recently-used eviction, and the log of cache events that the engine
//! publishes at `/events`.

use {
    crate::text::Fnv,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Bytes of prompt in one block. A trailing partial block is not cached.
pub const BLOCK_BYTES: usize = 256;

/// Tokens in one block, at `text::BYTES_PER_TOKEN`.
pub const BLOCK_TOKENS: u32 = 64;

/// Number of events kept. A reader that falls further behind misses the older ones.
const MAX_EVENTS: usize = 4096;

/// A change of the cache in the form in which it is published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number. It grows by one with each event, so that a reader sees the gaps of lost
    /// events.
    pub n: u64,
    /// Whether the block was stored or removed.
    pub kind: Kind,
    /// Hexadecimal FNV-1a hash of the prompt's bytes up to the end of the block.
    pub prefix: String,
}

/// What happened to a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The block is now cached.
    Stored,
    /// The block was evicted.
    Removed,
}

/// The cache. A block is identified by the hash of the prompt up to its end.
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
    /// An empty cache with room for `tokens`, rounded down to whole blocks.
    pub fn new(tokens: u32) -> Self {
        Self {
            capacity: (tokens / BLOCK_TOKENS) as usize,
            ..Self::default()
        }
    }

    /// Looks up a prompt and caches its blocks; returns how many of its leading tokens were cached.
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

    /// Events with numbers above `after` that happened by `until`, without the `gap_percent` of
    /// them that count as lost. The same events are lost for every reader.
    pub fn events(&self, after: u64, until: Duration, gap_percent: u64) -> Vec<Event> {
        self.events
            .iter()
            .take_while(|(at, _)| *at <= until)
            .filter(|(_, event)| event.n > after && !is_dropped(event.n, gap_percent))
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Drops all blocks without publishing events, as a restart of the engine does.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.by_last_use.clear();
    }
}

fn is_dropped(n: u64, gap_percent: u64) -> bool {
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32 & 0xffff < gap_percent * 0xffff / 100
}

/// The hash of the prompt up to the end of each whole block.
fn prefixes(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .scan(Fnv::new(), |hash, block| {
            *hash = hash.more(block);
            Some(hash.value())
        })
        .collect()
}
