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
pub enum Fault {
    /// Correct behaviour.
    #[default]
    None,
    /// Runs after the first note.
    OneNote,
    /// A host that starts notes claims at once.
    NoQuarantine,
    /// A host that catches up keeps none of the records.
    NoRecords,
    /// Believes a removal from the host list at once.
    NoHold,
    /// Lets a request leave however long ago its claim was noted.
    NoFence,
}

/// What a register is started with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Setting {
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
    pub records: usize,
    /// Test switch.
    #[serde(default)]
    pub fault: Fault,
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
    pub(super) setting: Setting,
    pub(super) store: Store,
    pub(super) rosters: BTreeMap<name::Region, Roster>,
    pub(super) pending: BTreeMap<Key, Pending>,
    /// Claims that were given up, until every host knows.
    pub(super) released: BTreeMap<Claim, Pending>,
    pub(super) phase: Phase,
    pub(super) number: u64,
    /// Since when the quarantine runs; `None` before the first host list.
    quarantined: Option<Duration>,
    stepped: Duration,
    beat_at: Duration,
}

impl Register {
    /// How often [`Event::Tick`] is due.
    pub const TICK: Duration = Duration::from_millis(100);

    /// How long without word from a majority a host may be before it stops noting.
    const SILENCE: Duration = Duration::from_secs(3);

    const BEAT: Duration = Duration::from_millis(500);

    /// A register that starts with nothing at `now`.
    pub fn new(setting: Setting, now: Duration) -> Self {
        let mut own = Roster::default();
        own.hear(now, &setting.host, setting.incarnation, setting.quarantine);
        let nonce = Nonce {
            incarnation: setting.incarnation,
            number: 0,
        };
        Self {
            store: Store::new(setting.records),
            rosters: BTreeMap::from([(setting.region.clone(), own)]),
            setting,
            pending: BTreeMap::new(),
            released: BTreeMap::new(),
            phase: Phase::Fresh(Recovery::new(nonce, now)),
            number: 0,
            quarantined: None,
            stepped: now,
            beat_at: now,
        }
    }

    /// Whether this host notes claims.
    pub fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Active)
    }

    /// How many records are held.
    pub fn records(&self) -> usize {
        self.store.len()
    }

    pub(super) fn hold(&self) -> Duration {
        match self.setting.fault {
            Fault::NoHold => Duration::ZERO,
            _ => self.setting.quarantine,
        }
    }

    pub(super) fn own_roster(&mut self) -> &mut Roster {
        self.rosters.entry(self.setting.region.clone()).or_default()
    }

    pub(super) fn send(&self, to: &name::Host, body: Body) -> Action {
        let incarnation = self.setting.incarnation;
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
            .filter(|host| **host != self.setting.host)
            .map(|host| self.send(host, body.clone()))
            .collect()
    }

    /// When a refusal for doubt may end.
    pub(super) fn doubt_ends(&self, now: Duration) -> Duration {
        let from = self.quarantined.unwrap_or(now);
        let left = (from + self.setting.quarantine).saturating_sub(now);
        match self.phase {
            Phase::Fresh(_) => left.max(Duration::from_secs(1)),
            _ => Duration::from_secs(1),
        }
    }

    /// Stops noting when this host was paused or cut off from the majority.
    fn fence(&mut self, now: Duration) {
        let paused = now > self.stepped + Self::SILENCE;
        self.stepped = now;
        if paused {
            self.quarantined = self.quarantined.map(|_| now);
        }
        let own = self.setting.host.clone();
        let (incarnation, hold) = (self.setting.incarnation, self.hold());
        let roster = self.own_roster();
        roster.hear(now, &own, incarnation, hold);
        roster.expire(now);
        let after = now.checked_sub(Self::SILENCE);
        let heard = after.is_none_or(|after| roster.majority_heard(&own, after));
        if self.is_active() && !heard {
            let nonce = self.nonce();
            self.phase = Phase::Fenced(Recovery::new(nonce, now));
        }
    }

    pub(super) fn nonce(&mut self) -> Nonce {
        Nonce {
            incarnation: self.setting.incarnation,
            number: self.next_number(),
        }
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        let retention = self.setting.retention;
        self.store.expire(
            now.saturating_sub(retention),
            now.saturating_sub(self.setting.quarantine),
        );
        self.tick_quarantine(now);
        self.tick_recovery(now);
        let mut actions = self.tick_pending(now);
        if now >= self.beat_at {
            self.beat_at = now + Self::BEAT;
            actions.extend(self.beat());
        }
        actions
    }

    /// After the quarantine a host may note claims although it has caught up with nobody, if the
    /// majority started with nothing too, so that there is nobody to catch up with.
    fn tick_quarantine(&mut self, now: Duration) {
        if !matches!(self.phase, Phase::Fresh(_)) {
            return;
        }
        if self.setting.fault == Fault::NoQuarantine {
            self.phase = Phase::Active;
            return;
        }
        let waited = self
            .quarantined
            .is_some_and(|from| now >= from + self.setting.quarantine);
        let own = self.setting.host.clone();
        let after = now.saturating_sub(Self::SILENCE);
        if waited && self.own_roster().majority_fresh(&own, after) {
            self.phase = Phase::Active;
        }
    }

    fn beat(&self) -> Vec<Action> {
        let body = match &self.phase {
            Phase::Active => Body::Beat,
            Phase::Fresh(recovery) | Phase::Fenced(recovery) => Body::Recover {
                nonce: recovery.nonce,
                fresh: matches!(self.phase, Phase::Fresh(_)),
            },
        };
        self.broadcast(&self.setting.region, &body)
    }

    fn received(&mut self, now: Duration, from: &name::Host, message: Message) -> Vec<Action> {
        let hold = self.hold();
        let listed = |roster: &Roster| roster.known().contains_key(from);
        let region = self
            .rosters
            .iter()
            .find(|(_, roster)| listed(roster))
            .map(|(region, _)| region.clone());
        // A host that asks to catch up is of this region, whether or not it is listed yet.
        let region = match message.body {
            Body::Recover { .. } | Body::Beat => Some(self.setting.region.clone()),
            _ => region,
        };
        let roster = region.and_then(|region| self.rosters.get_mut(&region));
        if roster.is_some_and(|roster| !roster.hear(now, from, message.incarnation, hold)) {
            return Vec::new();
        }
        match message.body {
            Body::Claim { key, claim, state } => self.claimed(now, from, key, claim, state),
            Body::Ack {
                key,
                claim,
                state,
                known,
            } => self.acked(now, from, message.incarnation, key, &claim, state, &known),
            Body::Nack { key, claim, held } => self.nacked(now, key, &claim, held),
            Body::Beat => {
                self.own_roster().set_fresh(from, false);
                Vec::new()
            }
            Body::Recover { nonce, fresh } => {
                self.own_roster().set_fresh(from, fresh);
                self.asked(now, from, nonce)
            }
            Body::Records {
                nonce,
                page,
                pages,
                entries,
                known,
            } => {
                self.told(now, from, nonce, (page, pages), entries, &known);
                Vec::new()
            }
        }
    }

    pub(super) fn refuse(&self, now: Duration, ticket: u64, reason: Reason) -> Action {
        let retry_after = match reason {
            Reason::Done(_) => None,
            Reason::Claimed => Some(Duration::from_secs(1)),
            Reason::Doubtful => Some(self.doubt_ends(now)),
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
        self.fence(now);
        match event {
            Event::Listed { region, mut hosts } => {
                let hold = self.hold();
                if region == self.setting.region {
                    hosts.insert(self.setting.host.clone());
                    self.quarantined.get_or_insert(now);
                }
                self.rosters
                    .entry(region)
                    .or_default()
                    .list(now, &hosts, hold);
                Vec::new()
            }
            Event::Request { ticket, key, home } => self.request(now, ticket, key, home),
            Event::Finished { key, outcome } => self.finished(now, key, outcome),
            Event::Received { from, message } => self.received(now, &from, message),
            Event::Tick => self.tick(now),
        }
    }
}
