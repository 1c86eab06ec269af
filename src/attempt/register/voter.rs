//! Noting the claims of other hosts, and catching up after a start, a pause or a cut.

use {
    super::{
        machine::{Fault, Phase, Register},
        message::{Action, Body, Nonce},
        record::{Claim, Entry, Key, State},
        roster::{Roster, merge},
    },
    crate::name,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Records in one message.
const PAGE: usize = 256;

/// How long one round of catching up may take.
const ROUND: Duration = Duration::from_secs(2);

/// A host's effort to catch up.
#[derive(Debug)]
pub(super) struct Recovery {
    pub(super) nonce: Nonce,
    began: Duration,
    pages: BTreeMap<name::Host, BTreeSet<u32>>,
    whole: BTreeSet<name::Host>,
    known: BTreeMap<name::Host, u64>,
}

impl Recovery {
    pub(super) fn new(nonce: Nonce, now: Duration) -> Self {
        Self {
            nonce,
            began: now,
            pages: BTreeMap::new(),
            whole: BTreeSet::new(),
            known: BTreeMap::new(),
        }
    }
}

impl Register {
    /// Notes a claim. Only an active host acknowledges; any host refuses a key that it holds.
    pub(super) fn claimed(
        &mut self,
        now: Duration,
        from: &name::Host,
        key: Key,
        claim: Claim,
        state: State,
    ) -> Vec<Action> {
        let other = self.store.other(key, Some(&claim));
        let gathering = state == State::Claimed;
        if let Some(held) = other.filter(|_| gathering) {
            // A record of this claim, if there is one, stays: the claim may have run since it was
            // noted, and only its claimant knows.
            return vec![self.send(from, Body::Nack { key, claim, held })];
        }
        let noted = self.store.note(key, &claim, state, now);
        if !noted || !self.is_active() {
            return Vec::new();
        }
        let known = self.own_roster().known();
        let body = Body::Ack {
            key,
            claim,
            state,
            known,
        };
        vec![self.send(from, body)]
    }

    /// Tells every record to a host that catches up, unless this one knows nothing itself.
    pub(super) fn asked(&mut self, now: Duration, from: &name::Host, nonce: Nonce) -> Vec<Action> {
        if matches!(self.phase, Phase::Fresh(_)) {
            return Vec::new();
        }
        let known = self.own_roster().known();
        let mut pages: Vec<Vec<Entry>> = self
            .store
            .entries(now)
            .chunks(PAGE)
            .map(<[Entry]>::to_vec)
            .collect();
        if pages.is_empty() {
            pages.push(Vec::new());
        }
        let count = pages.len() as u32;
        let body = |(page, entries)| Body::Records {
            nonce,
            page,
            pages: count,
            entries,
            known: known.clone(),
        };
        (0..)
            .zip(pages)
            .map(|page| self.send(from, body(page)))
            .collect()
    }

    pub(super) fn told(
        &mut self,
        now: Duration,
        from: &name::Host,
        nonce: Nonce,
        (page, pages): (u32, u32),
        entries: Vec<Entry>,
        known: &BTreeMap<name::Host, u64>,
    ) {
        let fault = self.setting.fault;
        let (Phase::Fresh(recovery) | Phase::Fenced(recovery)) = &mut self.phase else {
            return;
        };
        if recovery.nonce != nonce {
            return;
        }
        merge(&mut recovery.known, known);
        let seen = recovery.pages.entry(from.clone()).or_default();
        seen.insert(page);
        if seen.len() as u32 == pages {
            recovery.whole.insert(from.clone());
        }
        for entry in entries {
            if fault == Fault::NoRecords {
                continue;
            }
            let since = now.saturating_sub(entry.age);
            self.store.note(entry.key, &entry.claim, entry.state, since);
        }
        self.catch_up();
    }

    /// Starts catching up anew where it has not come to an end, so that hosts that went since are
    /// no longer waited for.
    pub(super) fn tick_recovery(&mut self, now: Duration) {
        let nonce = self.nonce();
        match &mut self.phase {
            Phase::Active => return,
            Phase::Fresh(recovery) | Phase::Fenced(recovery) => {
                if now < recovery.began + ROUND {
                    return;
                }
                *recovery = Recovery::new(nonce, now);
            }
        }
        self.catch_up();
    }

    /// Becomes active once a majority has told all that it holds. A host that has kept its memory
    /// counts itself; one that started with nothing is not counted at all.
    fn catch_up(&mut self) {
        let own = self.setting.host.clone();
        let region = self.setting.region.clone();
        let listed = self.rosters.get(&region).map(Roster::known);
        let mut known = listed.unwrap_or_default();
        let whole = match &self.phase {
            Phase::Active => return,
            Phase::Fresh(recovery) => {
                merge(&mut known, &recovery.known);
                known.remove(&own);
                recovery.whole.len()
            }
            Phase::Fenced(recovery) => {
                merge(&mut known, &recovery.known);
                recovery.whole.len() + 1
            }
        };
        if 2 * whole > known.len() {
            self.phase = Phase::Active;
        }
    }
}
