//! The records that a host holds in memory.

use {
    crate::name,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// An idempotency key, scoped by customer and route. Holds a digest, so that its size is bounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key([u8; 32]);

impl Key {
    /// The key that a caller gave, in its scope.
    pub fn new(customer: &name::Customer, route: &name::Route, text: &str) -> Self {
        let parts = [customer.as_str(), route.as_str(), text];
        let mut digest = Sha256::new();
        for part in parts {
            digest.update(part.len().to_be_bytes());
            digest.update(part);
        }
        Self(digest.finalize().into())
    }
}

/// One host's claim of a key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claim {
    /// The host that claims.
    pub host: name::Host,
    /// The host's incarnation.
    pub incarnation: u64,
    /// Grows with each claim of the incarnation.
    pub number: u64,
}

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// The request may run or have run.
    Claimed,
    /// It was answered with this status.
    Done(u16),
    /// It has not run and never will under this claim.
    Released,
}

/// A record as hosts tell it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// The claim.
    pub claim: Claim,
    /// Its state.
    pub state: State,
    /// How long it has been held.
    pub age: Duration,
}

#[derive(Debug)]
struct Record {
    state: State,
    recorded_at: Duration,
}

/// The records, bounded in number. A key may hold several claims, of which one at most ran.
#[derive(Debug)]
pub(super) struct Store {
    records: BTreeMap<(Key, Claim), Record>,
    by_age: BTreeSet<(Duration, Key, Claim)>,
    max_records: usize,
}

impl Store {
    pub(super) fn new(max_records: usize) -> Self {
        Self {
            records: BTreeMap::new(),
            by_age: BTreeSet::new(),
            max_records,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    fn claims(&self, key: Key) -> impl Iterator<Item = (&Claim, &Record)> {
        let first = Claim {
            host: name::Host::from(""),
            incarnation: 0,
            number: 0,
        };
        self.records
            .range((key, first)..)
            .take_while(move |((other, _), _)| *other == key)
            .map(|((_, claim), record)| (claim, record))
    }

    /// The furthest state of the key's claims other than `own`.
    pub(super) fn furthest_other_state(&self, key: Key, own: Option<&Claim>) -> Option<State> {
        self.claims(key)
            .filter(|(claim, _)| Some(*claim) != own)
            .map(|(_, record)| record.state)
            .max()
    }

    /// Notes a claim's state. False if there is no space for it.
    pub(super) fn record(
        &mut self,
        key: Key,
        claim: &Claim,
        state: State,
        recorded_at: Duration,
    ) -> bool {
        if state == State::Released {
            self.remove(key, claim);
            return true;
        }
        if let Some(record) = self.records.get_mut(&(key, claim.clone())) {
            record.state = record.state.max(state);
            return true;
        }
        if self.records.len() >= self.max_records {
            return false;
        }
        self.by_age.insert((recorded_at, key, claim.clone()));
        self.records
            .insert((key, claim.clone()), Record { state, recorded_at });
        true
    }

    fn remove(&mut self, key: Key, claim: &Claim) {
        if let Some(record) = self.records.remove(&(key, claim.clone())) {
            self.by_age
                .remove(&(record.recorded_at, key, claim.clone()));
        }
    }

    /// Forgets what was noted before `before`, and of what was noted before `full_before` as much
    /// as is needed to stay under nine tenths of the limit.
    pub(super) fn expire(&mut self, before: Duration, full_before: Duration) {
        while let Some((recorded_at, key, claim)) = self.by_age.first().cloned() {
            let nearly_full = self.records.len() * 10 > self.max_records * 9;
            if recorded_at >= before && !(nearly_full && recorded_at < full_before) {
                return;
            }
            self.remove(key, &claim);
        }
    }

    pub(super) fn entries(&self, now: Duration) -> Vec<Entry> {
        let entry = |((key, claim), record): (&(Key, Claim), &Record)| Entry {
            key: *key,
            claim: claim.clone(),
            state: record.state,
            age: now.saturating_sub(record.recorded_at),
        };
        self.records.iter().map(entry).collect()
    }
}
