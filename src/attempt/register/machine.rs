//! The machine: its phases, its timers and what it shares between claiming and noting.

use {
    super::{
        claimant::Pending,
        message::{Action, Body, Event, Message, Nonce, Reason},
        record::{Claim, Key, State, Store},
        roster::Roster,
        voter::Recovery,
    },
    crate::{machine::Machine, name},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// A deliberate fault, by which tests show that they would notice one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mutant {
    /// Correct behaviour.
    #[default]
    None,
    /// Runs after the first note.
    FirstAck,
    /// A host that starts notes claims at once.
    NoQuarantine,
    /// A host that catches up keeps none of the records.
    NoRecords,
    /// Believes a removal from the host list at once.
    NoRemovalDelay,
    /// Lets a request leave however long ago its claim was noted.
    NoFence,
}

/// What a register is started with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// This host.
    pub host: name::Host,
    /// Its region.
    pub region: name::Region,
    /// Grows with each start of the host.
    pub incarnation: u64,
    /// How long a host that starts with nobody to catch up from refuses keys, and how long a host
    /// that left the host list still counts. Within it a key never runs twice, whatever fails.
    pub quarantine: Duration,
    /// How long a record is kept.
    pub retention: Duration,
    /// Most records kept.
    pub max_records: usize,
    /// Test switch.
    #[serde(default)]
    pub mutant: Mutant,
}

/// Whether this host may note claims.
#[derive(Debug)]
pub(super) enum Phase {
    /// Started with nothing.
    Fresh(Recovery),
    /// Was cut off or paused; has its memory.
    Fenced(Recovery),
    /// Notes claims.
    Active,
}

/// The machine of one host's register.
#[derive(Debug)]
pub struct Register {
    pub(super) settings: Settings,
    pub(super) store: Store,
    pub(super) rosters: BTreeMap<name::Region, Roster>,
    pub(super) pending: BTreeMap<Key, Pending>,
    /// Claims that were given up, until every host knows.
    pub(super) released: BTreeMap<Claim, Pending>,
    pub(super) phase: Phase,
    pub(super) last_number: u64,
    /// Since when the quarantine runs; `None` before the first host list.
    quarantine_started_at: Option<Duration>,
    last_step_at: Duration,
    next_beat_at: Duration,
}

impl Register {
    /// How often [`Event::Tick`] is due.
    pub const TICK: Duration = Duration::from_millis(100);

    /// How long without word from a majority a host may be before it stops noting.
    const MAJORITY_TIMEOUT: Duration = Duration::from_secs(3);

    const BEAT_INTERVAL: Duration = Duration::from_millis(500);

    /// A register that starts with nothing at `now`.
    pub fn new(settings: Settings, now: Duration) -> Self {
        let mut own = Roster::default();
        own.record_message(
            now,
            &settings.host,
            settings.incarnation,
            settings.quarantine,
        );
        let nonce = Nonce {
            incarnation: settings.incarnation,
            number: 0,
        };
        Self {
            store: Store::new(settings.max_records),
            rosters: BTreeMap::from([(settings.region.clone(), own)]),
            settings,
            pending: BTreeMap::new(),
            released: BTreeMap::new(),
            phase: Phase::Fresh(Recovery::new(nonce, now)),
            last_number: 0,
            quarantine_started_at: None,
            last_step_at: now,
            next_beat_at: now,
        }
    }

    /// Whether this host notes claims.
    pub fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Active)
    }

    /// How many records are held.
    pub fn record_count(&self) -> usize {
        self.store.len()
    }

    pub(super) fn removal_delay(&self) -> Duration {
        match self.settings.mutant {
            Mutant::NoRemovalDelay => Duration::ZERO,
            _ => self.settings.quarantine,
        }
    }

    pub(super) fn own_roster(&mut self) -> &mut Roster {
        self.rosters
            .entry(self.settings.region.clone())
            .or_default()
    }

    pub(super) fn send(&self, to: &name::Host, body: Body) -> Action {
        let incarnation = self.settings.incarnation;
        Action::Send {
            to: to.clone(),
            message: Message { incarnation, body },
        }
    }

    /// To every other host of a region.
    pub(super) fn broadcast(&self, region: &name::Region, body: &Body) -> Vec<Action> {
        let hosts = self.rosters.get(region).map(Roster::hosts);
        hosts
            .unwrap_or_default()
            .iter()
            .filter(|host| **host != self.settings.host)
            .map(|host| self.send(host, body.clone()))
            .collect()
    }

    /// When a refusal for doubt may end.
    pub(super) fn doubt_retry_after(&self, now: Duration) -> Duration {
        let from = self.quarantine_started_at.unwrap_or(now);
        let left = (from + self.settings.quarantine).saturating_sub(now);
        match self.phase {
            Phase::Fresh(_) => left.max(Duration::from_secs(1)),
            _ => Duration::from_secs(1),
        }
    }

    /// Stops noting when this host was paused or cut off from the majority.
    fn fence_if_isolated(&mut self, now: Duration) {
        let paused = now > self.last_step_at + Self::MAJORITY_TIMEOUT;
        self.last_step_at = now;
        if paused {
            self.quarantine_started_at = self.quarantine_started_at.map(|_| now);
        }
        let own = self.settings.host.clone();
        let (incarnation, removal_delay) = (self.settings.incarnation, self.removal_delay());
        let roster = self.own_roster();
        roster.record_message(now, &own, incarnation, removal_delay);
        roster.remove_expired(now);
        let after = now.checked_sub(Self::MAJORITY_TIMEOUT);
        let heard = after.is_none_or(|after| roster.is_majority_heard(&own, after));
        if self.is_active() && !heard {
            let nonce = self.next_nonce();
            self.phase = Phase::Fenced(Recovery::new(nonce, now));
        }
    }

    pub(super) fn next_nonce(&mut self) -> Nonce {
        Nonce {
            incarnation: self.settings.incarnation,
            number: self.next_number(),
        }
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn on_tick(&mut self, now: Duration) -> Vec<Action> {
        let retention = self.settings.retention;
        self.store.expire(
            now.saturating_sub(retention),
            now.saturating_sub(self.settings.quarantine),
        );
        self.tick_quarantine(now);
        self.tick_recovery(now);
        let mut actions = self.tick_pending(now);
        if now >= self.next_beat_at {
            self.next_beat_at = now + Self::BEAT_INTERVAL;
            actions.extend(self.beat_messages());
        }
        actions
    }

    /// After the quarantine a host may note claims although it has caught up with nobody, if the
    /// majority started with nothing too, so that there is nobody to catch up with.
    fn tick_quarantine(&mut self, now: Duration) {
        if !matches!(self.phase, Phase::Fresh(_)) {
            return;
        }
        if self.settings.mutant == Mutant::NoQuarantine {
            self.phase = Phase::Active;
            return;
        }
        let quarantine_passed = self
            .quarantine_started_at
            .is_some_and(|from| now >= from + self.settings.quarantine);
        let own = self.settings.host.clone();
        let after = now.saturating_sub(Self::MAJORITY_TIMEOUT);
        if quarantine_passed && self.own_roster().is_majority_fresh(&own, after) {
            self.phase = Phase::Active;
        }
    }

    fn beat_messages(&self) -> Vec<Action> {
        let body = match &self.phase {
            Phase::Active => Body::Beat,
            Phase::Fresh(recovery) | Phase::Fenced(recovery) => Body::Recover {
                nonce: recovery.nonce,
                fresh: matches!(self.phase, Phase::Fresh(_)),
            },
        };
        self.broadcast(&self.settings.region, &body)
    }

    fn on_received(&mut self, now: Duration, from: &name::Host, message: Message) -> Vec<Action> {
        let removal_delay = self.removal_delay();
        let listed = |roster: &Roster| roster.incarnations().contains_key(from);
        let region = self
            .rosters
            .iter()
            .find(|(_, roster)| listed(roster))
            .map(|(region, _)| region.clone());
        // A host that asks to catch up is of this region, whether or not it is listed yet.
        let region = match message.body {
            Body::Recover { .. } | Body::Beat => Some(self.settings.region.clone()),
            _ => region,
        };
        let roster = region.and_then(|region| self.rosters.get_mut(&region));
        if roster.is_some_and(|roster| {
            !roster.record_message(now, from, message.incarnation, removal_delay)
        }) {
            return Vec::new();
        }
        match message.body {
            Body::Claim { key, claim, state } => self.on_claim(now, from, key, claim, state),
            Body::Ack {
                key,
                claim,
                state,
                known,
            } => self.on_ack(now, from, message.incarnation, key, &claim, state, &known),
            Body::Nack { key, claim, held } => self.on_nack(now, key, &claim, held),
            Body::Beat => {
                self.own_roster().set_fresh(from, false);
                Vec::new()
            }
            Body::Recover { nonce, fresh } => {
                self.own_roster().set_fresh(from, fresh);
                self.on_recover(now, from, nonce)
            }
            Body::Records {
                nonce,
                page,
                pages,
                entries,
                known,
            } => {
                self.on_records(now, from, nonce, (page, pages), entries, &known);
                Vec::new()
            }
        }
    }

    pub(super) fn refuse(&self, now: Duration, ticket: u64, reason: Reason) -> Action {
        let retry_after = match reason {
            Reason::Done(_) => None,
            Reason::Claimed => Some(Duration::from_secs(1)),
            Reason::Doubtful => Some(self.doubt_retry_after(now)),
        };
        Action::Refuse {
            ticket,
            reason,
            retry_after,
        }
    }
}

impl From<State> for Reason {
    fn from(state: State) -> Self {
        match state {
            State::Done(status) => Reason::Done(status),
            State::Claimed => Reason::Claimed,
            State::Released => Reason::Doubtful,
        }
    }
}

impl Machine for Register {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.fence_if_isolated(now);
        match event {
            Event::HostList { region, mut hosts } => {
                let removal_delay = self.removal_delay();
                if region == self.settings.region {
                    hosts.insert(self.settings.host.clone());
                    self.quarantine_started_at.get_or_insert(now);
                }
                self.rosters
                    .entry(region)
                    .or_default()
                    .set_listed(now, &hosts, removal_delay);
                Vec::new()
            }
            Event::Request { ticket, key, home } => self.on_request(now, ticket, key, home),
            Event::Finished { key, outcome } => self.on_finished(now, key, outcome),
            Event::Received { from, message } => self.on_received(now, &from, message),
            Event::Tick => self.on_tick(now),
        }
    }
}
