//! Claiming a key for a request of this host.

use {
    super::{
        machine::{Fault, Register},
        message::{Action, Body, Outcome, Reason},
        record::{Claim, Key, State},
        roster::{Roster, merge},
    },
    crate::name,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How long a claim may take.
const CLAIM_LIMIT: Duration = Duration::from_secs(1);

/// How often a claim is told again to hosts that have not noted it.
const RESEND: Duration = Duration::from_millis(200);

/// How long it is told again after its last change.
const RESEND_FOR: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Gathering,
    Running,
    Over,
}

/// A claim of this host.
#[derive(Debug)]
pub(super) struct Pending {
    key: Key,
    ticket: u64,
    claim: Claim,
    home: name::Region,
    step: Step,
    state: State,
    started: Duration,
    changed: Duration,
    resend_at: Duration,
    /// Who noted the claim, at which incarnation.
    acks: BTreeMap<name::Host, u64>,
    /// Who noted its present state.
    told: BTreeSet<name::Host>,
    known: BTreeMap<name::Host, u64>,
}

impl Pending {
    /// Whether its state is to be told again.
    fn due(&self, now: Duration) -> bool {
        now >= self.resend_at && now < self.changed + RESEND_FOR
    }

    /// Whether a majority of all hosts that anyone counts has noted the claim, each in its latest
    /// incarnation.
    fn has_majority(&self, roster: &Roster) -> bool {
        let mut known = self.known.clone();
        merge(&mut known, &roster.known());
        let valid = |(host, incarnation): &(&name::Host, &u64)| {
            known.get(*host).is_some_and(|latest| latest <= incarnation)
        };
        let count = self.acks.iter().filter(valid).count();
        2 * count > known.len()
    }
}

impl Register {
    pub(super) fn request(
        &mut self,
        now: Duration,
        ticket: u64,
        key: Key,
        home: name::Region,
    ) -> Vec<Action> {
        let earlier = self.pending.get(&key).map(|pending| pending.state);
        let held = self.store.other(key, None);
        let held = held.max(earlier);
        if let Some(state) = held {
            return vec![self.refuse(now, ticket, state.into())];
        }
        let at_home = home == self.setting.region;
        let unknown = !self.rosters.contains_key(&home);
        if unknown || (at_home && !self.is_active()) {
            return vec![self.refuse(now, ticket, Reason::Doubtful)];
        }
        let claim = Claim {
            host: self.setting.host.clone(),
            incarnation: self.setting.incarnation,
            number: self.next_number(),
        };
        let mut acks = BTreeMap::new();
        if at_home {
            if !self.store.note(key, &claim, State::Claimed, now) {
                return vec![self.refuse(now, ticket, Reason::Doubtful)];
            }
            acks.insert(self.setting.host.clone(), self.setting.incarnation);
        }
        let pending = Pending {
            key,
            ticket,
            claim,
            home,
            step: Step::Gathering,
            state: State::Claimed,
            started: now,
            changed: now,
            resend_at: now,
            acks,
            told: BTreeSet::new(),
            known: BTreeMap::new(),
        };
        self.pending.insert(key, pending);
        let mut actions = self.tell(now, key);
        actions.extend(self.decide(now, key));
        actions
    }

    fn tell(&mut self, now: Duration, key: Key) -> Vec<Action> {
        let Some(pending) = self.pending.get_mut(&key) else {
            return Vec::new();
        };
        pending.resend_at = now + RESEND;
        self.pending
            .get(&key)
            .map(|pending| self.untold(pending))
            .unwrap_or_default()
    }

    /// Tells the home region's hosts the claim's state, but for those that have noted it.
    fn untold(&self, pending: &Pending) -> Vec<Action> {
        let body = Body::Claim {
            key: pending.key,
            claim: pending.claim.clone(),
            state: pending.state,
        };
        let untold = |action: &Action| match action {
            Action::Send { to, .. } => !pending.told.contains(to),
            _ => true,
        };
        let mut actions = self.broadcast(&pending.home, &body);
        actions.retain(untold);
        actions
    }

    fn decide(&mut self, now: Duration, key: Key) -> Vec<Action> {
        let one_note = self.setting.fault == Fault::OneNote;
        let Some(pending) = self.pending.get_mut(&key) else {
            return Vec::new();
        };
        let Some(roster) = self.rosters.get(&pending.home) else {
            return Vec::new();
        };
        if pending.step != Step::Gathering {
            return Vec::new();
        }
        if now >= pending.started + CLAIM_LIMIT {
            return self.give_up(now, key, Reason::Doubtful);
        }
        let enough = one_note && !pending.acks.is_empty();
        if !enough && !pending.has_majority(roster) {
            return Vec::new();
        }
        pending.step = Step::Running;
        vec![Action::Run {
            ticket: pending.ticket,
        }]
    }

    fn give_up(&mut self, now: Duration, key: Key, reason: Reason) -> Vec<Action> {
        let Some(pending) = self.pending.get(&key) else {
            return Vec::new();
        };
        let mut actions = vec![self.refuse(now, pending.ticket, reason)];
        actions.extend(self.settle(now, key, State::Released));
        actions
    }

    fn settle(&mut self, now: Duration, key: Key, state: State) -> Vec<Action> {
        let Some(pending) = self.pending.get_mut(&key) else {
            return Vec::new();
        };
        pending.step = Step::Over;
        pending.state = state;
        pending.changed = now;
        pending.told.clear();
        if pending.home == self.setting.region {
            self.store.note(key, &pending.claim, state, now);
        }
        let actions = self.tell(now, key);
        if state == State::Released {
            let released = self.pending.remove(&key);
            self.released
                .extend(released.map(|pending| (pending.claim.clone(), pending)));
        }
        actions
    }

    /// Whether the first byte of a request that was let run may still leave.
    pub fn may_send(&self, now: Duration, key: Key) -> bool {
        let limit = self.setting.quarantine / 4;
        self.pending.get(&key).is_some_and(|pending| {
            let timely = now < pending.started + limit;
            pending.step == Step::Running && (timely || self.setting.fault == Fault::NoFence)
        })
    }

    pub(super) fn finished(&mut self, now: Duration, key: Key, outcome: Outcome) -> Vec<Action> {
        let running = |pending: &Pending| pending.step == Step::Running;
        if !self.pending.get(&key).is_some_and(running) {
            return Vec::new();
        }
        let state = match outcome {
            Outcome::Done(status) => State::Done(status),
            Outcome::NotRun => State::Released,
            Outcome::Unknown => State::Claimed,
        };
        self.settle(now, key, state)
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn acked(
        &mut self,
        now: Duration,
        from: &name::Host,
        incarnation: u64,
        key: Key,
        claim: &Claim,
        state: State,
        known: &BTreeMap<name::Host, u64>,
    ) -> Vec<Action> {
        if let Some(released) = self.released.get_mut(claim) {
            if state == State::Released {
                released.told.insert(from.clone());
            }
            return Vec::new();
        }
        let Some(pending) = self.pending.get_mut(&key) else {
            return Vec::new();
        };
        if pending.claim != *claim {
            return Vec::new();
        }
        if state == pending.state {
            pending.told.insert(from.clone());
        }
        if state == State::Claimed {
            pending.acks.insert(from.clone(), incarnation);
            merge(&mut pending.known, known);
        }
        self.decide(now, key)
    }

    pub(super) fn nacked(
        &mut self,
        now: Duration,
        key: Key,
        claim: &Claim,
        held: State,
    ) -> Vec<Action> {
        let gathering =
            |pending: &Pending| pending.claim == *claim && pending.step == Step::Gathering;
        if !self.pending.get(&key).is_some_and(gathering) {
            return Vec::new();
        }
        self.give_up(now, key, held.into())
    }

    pub(super) fn tick_pending(&mut self, now: Duration) -> Vec<Action> {
        let retention = self.setting.retention;
        self.pending.retain(|_, pending| {
            let told = pending.step == Step::Over && now >= pending.changed + RESEND_FOR;
            !told && now < pending.started + retention
        });
        let keys: Vec<Key> = self.pending.keys().copied().collect();
        let mut actions = Vec::new();
        for key in keys {
            actions.extend(self.decide(now, key));
            if self
                .pending
                .get(&key)
                .is_some_and(|pending| pending.due(now))
            {
                actions.extend(self.tell(now, key));
            }
        }
        actions.extend(self.tick_released(now));
        actions
    }

    fn tick_released(&mut self, now: Duration) -> Vec<Action> {
        self.released
            .retain(|_, pending| now < pending.changed + RESEND_FOR);
        let mut due = Vec::new();
        for (claim, pending) in &mut self.released {
            if pending.due(now) {
                pending.resend_at = now + RESEND;
                due.push(claim.clone());
            }
        }
        due.iter()
            .filter_map(|claim| self.released.get(claim))
            .flat_map(|pending| self.untold(pending))
            .collect()
    }
}
