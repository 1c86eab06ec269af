//! The claimant's side of the register: claims a key for a request of this host, and sends the
//! claim's state to the home region until its hosts confirm it.

use {
    super::{
        machine::{Mutant, Register},
        message::{Action, Body, Outcome, Reason},
        record::{Claim, Key, State},
        roster::{Roster, merge_incarnations},
    },
    crate::name,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Time in which a majority must acknowledge a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a claim is sent again to hosts that have not confirmed it.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// How long a claim is sent again after its state last changed.
const RESEND_PERIOD: Duration = Duration::from_secs(10);

/// The progress of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Waits until a majority of the home region's voters has acknowledged the claim.
    Claiming,
    /// A majority has acknowledged; the request may run.
    Running,
    /// The request has ended or was refused.
    Over,
}

/// A claim of this host that is being made, runs, or is still announced.
#[derive(Debug)]
pub(super) struct Pending {
    key: Key,
    ticket: u64,
    claim: Claim,
    home: name::Region,
    step: Step,
    state: State,
    started_at: Duration,
    changed_at: Duration,
    resend_at: Duration,
    /// Hosts that acknowledged the claim, with their incarnations.
    acks: BTreeMap<name::Host, u64>,
    /// Hosts that confirmed the present state.
    confirmed_by: BTreeSet<name::Host>,
    /// Voters that the acknowledging hosts know.
    known: BTreeMap<name::Host, u64>,
}

impl Pending {
    /// Whether the state is to be sent again.
    fn is_resend_due(&self, now: Duration) -> bool {
        now >= self.resend_at && now < self.changed_at + RESEND_PERIOD
    }

    /// Whether a majority has acknowledged the claim, each host in its latest incarnation. The
    /// majority is of all voters that this host or any acknowledging one knows.
    fn has_majority(&self, roster: &Roster) -> bool {
        let mut known = self.known.clone();
        merge_incarnations(&mut known, &roster.incarnations());
        let is_current = |(host, incarnation): &(&name::Host, &u64)| {
            known.get(*host).is_some_and(|latest| latest <= incarnation)
        };
        let count = self.acks.iter().filter(is_current).count();
        2 * count > known.len()
    }
}

impl Register {
    /// Claims a key for a request, or refuses the request. A host of the home region records its
    /// own claim and counts it as an acknowledgement.
    pub(super) fn on_request(
        &mut self,
        now: Duration,
        ticket: u64,
        key: Key,
        home: name::Region,
    ) -> Vec<Action> {
        let earlier = self.pending.get(&key).map(|pending| pending.state);
        let recorded_state = self.store.furthest_other_state(key, None);
        let furthest_state = recorded_state.max(earlier);
        if let Some(state) = furthest_state {
            return vec![self.refuse(now, ticket, state.into())];
        }
        let at_home = home == self.settings.region;
        let is_unknown_region = !self.rosters.contains_key(&home);
        if is_unknown_region || (at_home && !self.is_active()) {
            return vec![self.refuse(now, ticket, Reason::Doubtful)];
        }
        let claim = Claim {
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            number: self.next_number(),
        };
        let mut acks = BTreeMap::new();
        if at_home {
            if !self.store.record(key, &claim, State::Claimed, now) {
                return vec![self.refuse(now, ticket, Reason::Doubtful)];
            }
            acks.insert(self.settings.host.clone(), self.settings.incarnation);
        }
        let pending = Pending {
            key,
            ticket,
            claim,
            home,
            step: Step::Claiming,
            state: State::Claimed,
            started_at: now,
            changed_at: now,
            resend_at: now,
            acks,
            confirmed_by: BTreeSet::new(),
            known: BTreeMap::new(),
        };
        self.pending.insert(key, pending);
        let mut actions = self.send_state(now, key);
        actions.extend(self.run_if_claimed(now, key));
        actions
    }

    /// Sends a claim's state and schedules its repetition.
    fn send_state(&mut self, now: Duration, key: Key) -> Vec<Action> {
        let Some(pending) = self.pending.get_mut(&key) else {
            return Vec::new();
        };
        pending.resend_at = now + RESEND_INTERVAL;
        self.pending
            .get(&key)
            .map(|pending| self.state_messages(pending))
            .unwrap_or_default()
    }

    /// Messages with the claim's state to the home region's hosts that have not confirmed it.
    fn state_messages(&self, pending: &Pending) -> Vec<Action> {
        let body = Body::Claim {
            key: pending.key,
            claim: pending.claim.clone(),
            state: pending.state,
        };
        let unconfirmed = |action: &Action| match action {
            Action::Send { to, .. } => !pending.confirmed_by.contains(to),
            _ => true,
        };
        let mut actions = self.broadcast(&pending.home, &body);
        actions.retain(unconfirmed);
        actions
    }

    /// Allows a request to run once a majority has acknowledged its claim, and refuses it when that
    /// takes too long.
    fn run_if_claimed(&mut self, now: Duration, key: Key) -> Vec<Action> {
        let first_ack_suffices = self.settings.mutant == Mutant::FirstAck;
        let Some(pending) = self.pending.get_mut(&key) else {
            return Vec::new();
        };
        let Some(roster) = self.rosters.get(&pending.home) else {
            return Vec::new();
        };
        if pending.step != Step::Claiming {
            return Vec::new();
        }
        if now >= pending.started_at + CLAIM_TIMEOUT {
            return self.release_and_refuse(now, key, Reason::Doubtful);
        }
        let has_first_ack = first_ack_suffices && !pending.acks.is_empty();
        if !has_first_ack && !pending.has_majority(roster) {
            return Vec::new();
        }
        pending.step = Step::Running;
        vec![Action::Run {
            ticket: pending.ticket,
        }]
    }

    /// Releases a claim and refuses its request.
    fn release_and_refuse(&mut self, now: Duration, key: Key, reason: Reason) -> Vec<Action> {
        let Some(pending) = self.pending.get(&key) else {
            return Vec::new();
        };
        let mut actions = vec![self.refuse(now, pending.ticket, reason)];
        actions.extend(self.set_final_state(now, key, State::Released));
        actions
    }

    /// Ends a claim and sends its final state.
    fn set_final_state(&mut self, now: Duration, key: Key, state: State) -> Vec<Action> {
        let Some(pending) = self.pending.get_mut(&key) else {
            return Vec::new();
        };
        pending.step = Step::Over;
        pending.state = state;
        pending.changed_at = now;
        pending.confirmed_by.clear();
        if pending.home == self.settings.region {
            self.store.record(key, &pending.claim, state, now);
        }
        let actions = self.send_state(now, key);
        if state == State::Released {
            let released = self.pending.remove(&key);
            self.released
                .extend(released.map(|pending| (pending.claim.clone(), pending)));
        }
        actions
    }

    /// Whether the first byte of a request that was allowed to run may still be sent: not after a
    /// quarter of the quarantine, since hosts that recorded the claim may be replaced by then.
    pub fn may_send(&self, now: Duration, key: Key) -> bool {
        let limit = self.settings.quarantine / 4;
        self.pending.get(&key).is_some_and(|pending| {
            let is_timely = now < pending.started_at + limit;
            pending.step == Step::Running && (is_timely || self.settings.mutant == Mutant::NoFence)
        })
    }

    pub(super) fn on_finished(&mut self, now: Duration, key: Key, outcome: Outcome) -> Vec<Action> {
        let running = |pending: &Pending| pending.step == Step::Running;
        if !self.pending.get(&key).is_some_and(running) {
            return Vec::new();
        }
        let state = match outcome {
            Outcome::Done(status) => State::Done(status),
            Outcome::NotRun => State::Released,
            Outcome::Unknown => State::Claimed,
        };
        self.set_final_state(now, key, state)
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn on_ack(
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
                released.confirmed_by.insert(from.clone());
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
            pending.confirmed_by.insert(from.clone());
        }
        if state == State::Claimed {
            pending.acks.insert(from.clone(), incarnation);
            merge_incarnations(&mut pending.known, known);
        }
        self.run_if_claimed(now, key)
    }

    pub(super) fn on_nack(
        &mut self,
        now: Duration,
        key: Key,
        claim: &Claim,
        held_state: State,
    ) -> Vec<Action> {
        let is_claiming =
            |pending: &Pending| pending.claim == *claim && pending.step == Step::Claiming;
        if !self.pending.get(&key).is_some_and(is_claiming) {
            return Vec::new();
        }
        self.release_and_refuse(now, key, held_state.into())
    }

    /// Removes old claims, refuses late ones and repeats unconfirmed states.
    pub(super) fn tick_pending(&mut self, now: Duration) -> Vec<Action> {
        let retention = self.settings.retention;
        self.pending.retain(|_, pending| {
            let is_settled =
                pending.step == Step::Over && now >= pending.changed_at + RESEND_PERIOD;
            !is_settled && now < pending.started_at + retention
        });
        let keys: Vec<Key> = self.pending.keys().copied().collect();
        let mut actions = Vec::new();
        for key in keys {
            actions.extend(self.run_if_claimed(now, key));
            if self
                .pending
                .get(&key)
                .is_some_and(|pending| pending.is_resend_due(now))
            {
                actions.extend(self.send_state(now, key));
            }
        }
        actions.extend(self.tick_released(now));
        actions
    }

    fn tick_released(&mut self, now: Duration) -> Vec<Action> {
        self.released
            .retain(|_, pending| now < pending.changed_at + RESEND_PERIOD);
        let mut due = Vec::new();
        for (claim, pending) in &mut self.released {
            if pending.is_resend_due(now) {
                pending.resend_at = now + RESEND_INTERVAL;
                due.push(claim.clone());
            }
        }
        due.iter()
            .filter_map(|claim| self.released.get(claim))
            .flat_map(|pending| self.state_messages(pending))
            .collect()
    }
}
