//! Which build began a stream, so that a caller may resume it at any host of the fleet.
//!
//! An upstream continues a stream without asking which build began it, and the caller's host may be
//! gone by then. So each host tells a few others which build began which stream, and the host at
//! which a caller resumes one asks them. Rendezvous hashing gives both the same hosts for a stream.
//!
//! [`Ledger`] holds the records of one host; [`Core`](super::core::Core) decides whom to tell and
//! whom to ask.

use {
    crate::{name, route::affinity},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Most records that a host holds: a few MB. Those that expire first are dropped.
const MAX_RECORDS: usize = 65_536;
/// Longest time for which a record is held, whatever deadline a caller states.
pub const MAX_TTL: Duration = Duration::from_secs(60);

/// Identifies a stream by the request that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(u64);

impl Key {
    /// The key of the stream whose first event came with the request of this id.
    pub fn new(request: &str) -> Self {
        Self(affinity::hash(request.as_bytes()))
    }

    /// The hash by which the hosts that hold the record are chosen.
    pub fn hash(self) -> u64 {
        self.0
    }
}

/// Tells which build began a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The stream.
    #[serde(rename = "k")]
    pub key: Key,
    /// The build that began it.
    #[serde(rename = "b")]
    pub build: name::Build,
    /// For how long a caller may still resume it.
    #[serde(rename = "t")]
    pub ttl: Duration,
}

/// What hosts tell each other about streams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// These streams began at the sender.
    Began(Vec<Record>),
    /// Asks which build began a stream.
    Ask {
        /// Number of the question, unique on the host that asks.
        ticket: u64,
        /// The stream.
        key: Key,
    },
    /// Answers a question.
    Told {
        /// Number of the question.
        ticket: u64,
        /// The build; `None` if the sender has no record of the stream.
        build: Option<name::Build>,
    },
}

/// The records that a host holds: of streams that began here, and of those that others told of.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Builds by stream, with the time until which they are held.
    records: BTreeMap<Key, (Duration, name::Build)>,
    /// The keys of `records` in the order in which they expire.
    expiries: BTreeSet<(Duration, Key)>,
    /// Streams that began here and that no other host was told of yet.
    untold: Vec<Key>,
}

impl Ledger {
    /// Records a stream that began here, and that others are to be told of.
    pub fn begin(&mut self, now: Duration, record: Record) {
        self.untold.push(record.key);
        self.insert(now, record);
    }

    /// Records a stream.
    pub fn insert(&mut self, now: Duration, record: Record) {
        let until = now + record.ttl.min(MAX_TTL);
        let value = (until, record.build);
        if let Some((replaced, _)) = self.records.insert(record.key, value) {
            self.expiries.remove(&(replaced, record.key));
        }
        self.expiries.insert((until, record.key));
        if self.records.len() > MAX_RECORDS
            && let Some((_, key)) = self.expiries.pop_first()
        {
            self.records.remove(&key);
        }
    }

    /// The build that began a stream, if it is known.
    pub fn build(&self, now: Duration, key: Key) -> Option<&name::Build> {
        let (until, build) = self.records.get(&key)?;
        (now < *until).then_some(build)
    }

    /// Takes the records that no other host was told of yet.
    pub fn take_untold(&mut self, now: Duration) -> Vec<Record> {
        let keys = std::mem::take(&mut self.untold);
        let records = keys.into_iter().filter_map(|key| {
            let (until, build) = self.records.get(&key)?;
            let ttl = until.saturating_sub(now);
            let build = build.clone();
            (!ttl.is_zero()).then_some(Record { key, build, ttl })
        });
        records.collect()
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: Duration) {
        while self
            .expiries
            .first()
            .is_some_and(|(until, _)| *until <= now)
        {
            if let Some((_, key)) = self.expiries.pop_first() {
                self.records.remove(&key);
            }
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
