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
struct Held {
    state: State,
    since: Duration,
}

/// The records, bounded in number. A key may hold several claims, of which one at most ran.
#[derive(Debug)]
pub(super) struct Store {
    held: BTreeMap<(Key, Claim), Held>,
    by_age: BTreeSet<(Duration, Key, Claim)>,
    limit: usize,
}

impl Store {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            held: BTreeMap::new(),
            by_age: BTreeSet::new(),
            limit,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.held.len()
    }

    fn claims(&self, key: Key) -> impl Iterator<Item = (&Claim, &Held)> {
        let first = Claim {
            host: name::Host::from(""),
            incarnation: 0,
            number: 0,
        };
        self.held
            .range((key, first)..)
            .take_while(move |((other, _), _)| *other == key)
            .map(|((_, claim), held)| (claim, held))
    }

    /// The furthest state of the key's claims other than `own`.
    pub(super) fn other(&self, key: Key, own: Option<&Claim>) -> Option<State> {
        self.claims(key)
            .filter(|(claim, _)| Some(*claim) != own)
            .map(|(_, held)| held.state)
            .max()
    }

    /// Notes a claim's state. False if there is no space for it.
    pub(super) fn note(&mut self, key: Key, claim: &Claim, state: State, since: Duration) -> bool {
        if state == State::Released {
            self.remove(key, claim);
            return true;
        }
        if let Some(held) = self.held.get_mut(&(key, claim.clone())) {
            held.state = held.state.max(state);
            return true;
        }
        if self.held.len() >= self.limit {
            return false;
        }
        self.by_age.insert((since, key, claim.clone()));
        self.held
            .insert((key, claim.clone()), Held { state, since });
        true
    }

    fn remove(&mut self, key: Key, claim: &Claim) {
        if let Some(held) = self.held.remove(&(key, claim.clone())) {
            self.by_age.remove(&(held.since, key, claim.clone()));
        }
    }

    /// Forgets what was noted before `before`, and of what was noted before `full_before` as much
    /// as is needed to stay under nine tenths of the limit.
    pub(super) fn expire(&mut self, before: Duration, full_before: Duration) {
        while let Some((since, key, claim)) = self.by_age.first().cloned() {
            let crowded = self.held.len() * 10 > self.limit * 9;
            if since >= before && !(crowded && since < full_before) {
                return;
            }
            self.remove(key, &claim);
        }
    }

    pub(super) fn entries(&self, now: Duration) -> Vec<Entry> {
        let entry = |((key, claim), held): (&(Key, Claim), &Held)| Entry {
            key: *key,
            claim: claim.clone(),
            state: held.state,
            age: now.saturating_sub(held.since),
        };
        self.held.iter().map(entry).collect()
    }
}
