//! Noting the claims of other hosts, and catching up after a start, a pause or a cut.

use {
    super::{
        machine::{Mutant, Phase, Register},
        message::{Action, Body, Nonce},
        record::{Claim, Entry, Key, State},
        roster::{Roster, merge_incarnations},
    },
    crate::name,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Records in one message.
const RECORDS_PER_PAGE: usize = 256;

/// How long one round of catching up may take.
const ROUND_TIMEOUT: Duration = Duration::from_secs(2);

/// A host's effort to catch up.
#[derive(Debug)]
pub(super) struct Recovery {
    pub(super) nonce: Nonce,
    started_at: Duration,
    pages: BTreeMap<name::Host, BTreeSet<u32>>,
    complete: BTreeSet<name::Host>,
    known: BTreeMap<name::Host, u64>,
}

impl Recovery {
    pub(super) fn new(nonce: Nonce, now: Duration) -> Self {
        Self {
            nonce,
            started_at: now,
            pages: BTreeMap::new(),
            complete: BTreeSet::new(),
            known: BTreeMap::new(),
        }
    }
}

impl Register {
    /// Notes a claim. Only an active host acknowledges; any host refuses a key that it holds.
    pub(super) fn on_claim(
        &mut self,
        now: Duration,
        from: &name::Host,
        key: Key,
        claim: Claim,
        state: State,
    ) -> Vec<Action> {
        let other = self.store.furthest_other_state(key, Some(&claim));
        let is_new_claim = state == State::Claimed;
        if let Some(held) = other.filter(|_| is_new_claim) {
            // A record of this claim, if there is one, stays: the claim may have run since it was
            // noted, and only its claimant knows.
            return vec![self.send(from, Body::Nack { key, claim, held })];
        }
        let recorded = self.store.record(key, &claim, state, now);
        if !recorded || !self.is_active() {
            return Vec::new();
        }
        let known = self.own_roster().incarnations();
        let body = Body::Ack {
            key,
            claim,
            state,
            known,
        };
        vec![self.send(from, body)]
    }

    /// Tells every record to a host that catches up, unless this one knows nothing itself.
    pub(super) fn on_recover(
        &mut self,
        now: Duration,
        from: &name::Host,
        nonce: Nonce,
    ) -> Vec<Action> {
        if matches!(self.phase, Phase::Fresh(_)) {
            return Vec::new();
        }
        let known = self.own_roster().incarnations();
        let mut pages: Vec<Vec<Entry>> = self
            .store
            .entries(now)
            .chunks(RECORDS_PER_PAGE)
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

    pub(super) fn on_records(
        &mut self,
        now: Duration,
        from: &name::Host,
        nonce: Nonce,
        (page, pages): (u32, u32),
        entries: Vec<Entry>,
        known: &BTreeMap<name::Host, u64>,
    ) {
        let mutant = self.settings.mutant;
        let (Phase::Fresh(recovery) | Phase::Fenced(recovery)) = &mut self.phase else {
            return;
        };
        if recovery.nonce != nonce {
            return;
        }
        merge_incarnations(&mut recovery.known, known);
        let received_pages = recovery.pages.entry(from.clone()).or_default();
        received_pages.insert(page);
        if received_pages.len() as u32 == pages {
            recovery.complete.insert(from.clone());
        }
        for entry in entries {
            if mutant == Mutant::NoRecords {
                continue;
            }
            let since = now.saturating_sub(entry.age);
            self.store
                .record(entry.key, &entry.claim, entry.state, since);
        }
        self.activate_if_recovered();
    }

    /// Starts catching up anew where it has not come to an end, so that hosts that went since are
    /// no longer waited for.
    pub(super) fn tick_recovery(&mut self, now: Duration) {
        let nonce = self.next_nonce();
        match &mut self.phase {
            Phase::Active => return,
            Phase::Fresh(recovery) | Phase::Fenced(recovery) => {
                if now < recovery.started_at + ROUND_TIMEOUT {
                    return;
                }
                *recovery = Recovery::new(nonce, now);
            }
        }
        self.activate_if_recovered();
    }

    /// Becomes active once a majority has told all that it holds. A host that has kept its memory
    /// counts itself; one that started with nothing is not counted at all.
    fn activate_if_recovered(&mut self) {
        let own = self.settings.host.clone();
        let region = self.settings.region.clone();
        let listed = self.rosters.get(&region).map(Roster::incarnations);
        let mut known = listed.unwrap_or_default();
        let complete = match &self.phase {
            Phase::Active => return,
            Phase::Fresh(recovery) => {
                merge_incarnations(&mut known, &recovery.known);
                known.remove(&own);
                recovery.complete.len()
            }
            Phase::Fenced(recovery) => {
                merge_incarnations(&mut known, &recovery.known);
                recovery.complete.len() + 1
            }
        };
        if 2 * complete > known.len() {
            self.phase = Phase::Active;
        }
    }
}
