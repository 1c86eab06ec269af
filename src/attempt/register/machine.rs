//! The register's state machine: its phases and timers, and the state that the claimant's and the
//! voter's side share.

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

/// A deliberate fault, which proves that a test can fail.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mutant {
    /// Correct behaviour.
    #[default]
    None,
    /// Runs a request after the first acknowledgement.
    FirstAck,
    /// A host that starts is active at once.
    NoQuarantine,
    /// A recovering host discards the records that it receives.
    NoRecords,
    /// Applies a removal from the host list at once.
    NoRemovalDelay,
    /// Allows a request to be sent however old its claim is.
    NoFence,
}

/// The settings of a register.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Name of this host.
    pub host: name::Host,
    /// Region of this host.
    pub region: name::Region,
    /// Increases with each start of the host.
    pub incarnation: u64,
    /// How long a starting host refuses keys if no host can send it records, and how long a host
    /// that left the host list still counts as a voter. Within this time a key never runs twice,
    /// whatever fails.
    pub quarantine: Duration,
    /// Time after which a record is removed.
    pub retention: Duration,
    /// Most records that the host holds.
    pub max_records: usize,
    /// Deliberate fault; [`Mutant::None`] outside tests.
    #[serde(default)]
    pub mutant: Mutant,
}

/// Whether this host acknowledges claims.
#[derive(Debug)]
pub(super) enum Phase {
    /// Started without records and has not recovered them yet.
    Fresh(Recovery),
    /// Was partitioned or paused, and kept its records; recovers those that it missed.
    Fenced(Recovery),
    /// Acknowledges claims.
    Active,
}

/// The state machine of one host's register.
#[derive(Debug)]
pub struct Register {
    pub(super) settings: Settings,
    pub(super) store: Store,
    pub(super) rosters: BTreeMap<name::Region, Roster>,
    pub(super) pending: BTreeMap<Key, Pending>,
    /// Released claims, announced for some time so that hosts remove their records.
    pub(super) released: BTreeMap<Claim, Pending>,
    pub(super) phase: Phase,
    /// The last number of a claim or nonce of this incarnation.
    pub(super) last_number: u64,
    /// Start of the quarantine; `None` before the first host list.
    quarantine_started_at: Option<Duration>,
    /// Time of the last event, to detect pauses of the process.
    last_step_at: Duration,
    next_beat_at: Duration,
}

impl Register {
    /// Interval of [`Event::Tick`].
    pub const TICK: Duration = Duration::from_millis(100);

    /// A host that hears nothing from a majority for this long stops acknowledging claims. A longer
    /// gap between two steps counts as a pause of the process.
    const MAJORITY_TIMEOUT: Duration = Duration::from_secs(3);

    /// Interval of heartbeats, and of recovery requests while this host recovers.
    const BEAT_INTERVAL: Duration = Duration::from_millis(500);

    /// Creates a register without records that starts at `now`.
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

    /// Whether this host acknowledges claims, and so may claim keys of its own region.
    pub fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Active)
    }

    /// The number of records that this host holds.
    pub fn record_count(&self) -> usize {
        self.store.len()
    }

    /// How long a host that left the host list still counts as a voter.
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

    /// Sends a message to every other host of a region.
    pub(super) fn broadcast(&self, region: &name::Region, body: &Body) -> Vec<Action> {
        let hosts = self.rosters.get(region).map(Roster::hosts);
        hosts
            .unwrap_or_default()
            .iter()
            .filter(|host| **host != self.settings.host)
            .map(|host| self.send(host, body.clone()))
            .collect()
    }

    /// Delay after which a [`Reason::Doubtful`] request may be decided.
    pub(super) fn doubt_retry_after(&self, now: Duration) -> Duration {
        let from = self.quarantine_started_at.unwrap_or(now);
        let quarantine_left = (from + self.settings.quarantine).saturating_sub(now);
        match self.phase {
            Phase::Fresh(_) => quarantine_left.max(Duration::from_secs(1)),
            _ => Duration::from_secs(1),
        }
    }

    /// Fences this host when it hears nothing from a majority, and restarts the quarantine after a
    /// pause of the process.
    fn fence_if_isolated(&mut self, now: Duration) {
        let has_paused = now > self.last_step_at + Self::MAJORITY_TIMEOUT;
        self.last_step_at = now;
        if has_paused {
            self.quarantine_started_at = self.quarantine_started_at.map(|_| now);
        }
        let own = self.settings.host.clone();
        let (incarnation, removal_delay) = (self.settings.incarnation, self.removal_delay());
        let roster = self.own_roster();
        roster.record_message(now, &own, incarnation, removal_delay);
        roster.remove_expired(now);
        let after = now.checked_sub(Self::MAJORITY_TIMEOUT);
        let has_contact = after.is_none_or(|after| roster.is_majority_heard(&own, after));
        if self.is_active() && !has_contact {
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

    /// Activates a fresh host after the quarantine if a majority is fresh too, since then no host
    /// can send it records.
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

    /// The heartbeat to the hosts of this region; asks for records while this host recovers.
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
        // Heartbeats and recovery requests come from this region, also from hosts not listed yet.
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
