//! The voter's side of the register: records the claims of other hosts, and recovers the records
//! after a start, a pause or a partition.

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

/// Most records in one message.
const RECORDS_PER_PAGE: usize = 256;

/// Time after which an incomplete recovery round is started again.
const ROUND_TIMEOUT: Duration = Duration::from_secs(2);

/// One recovery round of a host.
#[derive(Debug)]
pub(super) struct Recovery {
    pub(super) nonce: Nonce,
    started_at: Duration,
    /// Pages received from each host.
    pages: BTreeMap<name::Host, BTreeSet<u32>>,
    /// Hosts that have sent all their pages.
    complete: BTreeSet<name::Host>,
    /// Voters that the sending hosts know.
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
    /// Records a claim. Any host refuses a key that another claim holds; only an active host
    /// acknowledges.
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
            // An existing record of this claim stays: the claim may have run since it was recorded,
            // and only its claimant knows.
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

    /// Sends all records to a recovering host, unless this host has not recovered since its start.
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

    /// Stores a page of records of a host in the present recovery round.
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

    /// Starts a recovery round again when it times out, so that it stops waiting for hosts that
    /// have left since.
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

    /// Becomes active once a majority has sent all its records. A host that kept its own records
    /// counts itself; one that started without records is counted neither as a voter nor as sender.
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
