//! The records of claims that a host holds in memory.

use {
    crate::name,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// An idempotency key, scoped by customer and route. Stored as a SHA-256 digest, so that its size
/// is fixed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key([u8; 32]);

impl Key {
    /// The key with the text that the caller sent, in the scope of `customer` and `route`.
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
    /// Host that made the claim.
    pub host: name::Host,
    /// The host's incarnation when it claimed.
    pub incarnation: u64,
    /// Increases with each claim of the incarnation.
    pub number: u64,
}

/// The state of a claim, in the order in which one state supersedes another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// The request may be running or have run.
    Claimed,
    /// The request was answered with this HTTP status.
    Done(u16),
    /// The request has not run and never will under this claim.
    Released,
}

/// A record as hosts send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Idempotency key that the claim is for.
    pub key: Key,
    /// The claim of the key.
    pub claim: Claim,
    /// The latest state of the claim that the sender knows.
    pub state: State,
    /// Time since the record was made.
    pub age: Duration,
}

/// The state of one claim.
#[derive(Debug)]
struct Record {
    state: State,
    recorded_at: Duration,
}

/// The records of one host, bounded in number. A key may have several claims, of which at most one
/// ran.
#[derive(Debug)]
pub(super) struct Store {
    records: BTreeMap<(Key, Claim), Record>,
    /// The same claims, oldest first.
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

    /// The highest [`State`] among the key's claims other than `own`.
    pub(super) fn furthest_other_state(&self, key: Key, own: Option<&Claim>) -> Option<State> {
        self.claims(key)
            .filter(|(claim, _)| Some(*claim) != own)
            .map(|(_, record)| record.state)
            .max()
    }

    /// Records a claim's state; `Released` removes the record. False if the store is full.
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

    /// Removes the records older than `before`, and the oldest ones older than `full_before` as
    /// long as the store is more than nine tenths full.
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
