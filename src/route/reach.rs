//! Reach: which pools of the region this host and its neighbours, the other hosts of the region,
//! can connect to.
//!
//! Calls that fail without an answer, or wait too long for one, put a pool in doubt. Then a trial
//! opens connections to several of its upstreams. If none opens, the pool is out of reach until one
//! does, and calls go to hosts that reach it.

use {
    crate::name,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How long a neighbour's statement holds.
const STATEMENT_TTL: Duration = Duration::from_secs(3);
/// Time without the head of an answer after which a pool that calls wait for is in doubt.
const MAX_SILENCE: Duration = Duration::from_secs(1);
/// How long calls that no other host can serve are still sent to a pool that is out of reach.
const GRACE_TIME: Duration = Duration::from_secs(1);
/// Shortest time between two trials of a pool.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// Pools that hosts can't connect to, by host.
pub type Unreached = BTreeMap<name::Host, BTreeSet<name::Pool>>;

/// Whether this host can connect to the upstreams of one pool.
#[derive(Debug, Clone, Default)]
pub struct Contact {
    /// Number of calls without the head of an answer that were sent since a connection last opened.
    awaited: u32,
    /// When the last head arrived, or the first of these calls was sent.
    heard_at: Duration,
    is_doubtful: bool,
    tried_at: Option<Duration>,
    lost_at: Option<Duration>,
}

/// What a trial has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The pool is out of reach.
    Lost,
    /// The pool is in reach again.
    Regained {
        /// How long it was out of reach.
        after: Duration,
    },
}

impl Contact {
    /// Whether the pool is in reach.
    pub fn is_held(&self) -> bool {
        self.lost_at.is_none()
    }

    /// Whether the pool may be used if nothing else can be. An outage of a moment, such as a
    /// restart, is bridged by attempts.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.lost_at
            .is_none_or(|at| now.saturating_sub(at) < GRACE_TIME)
    }

    /// Records that a call was sent.
    pub fn record_sent(&mut self, now: Duration) {
        if self.awaited == 0 {
            self.heard_at = now;
        }
        self.awaited += 1;
    }

    /// Records that the head of a call's answer arrived.
    pub fn record_head(&mut self, now: Duration) {
        self.awaited = self.awaited.saturating_sub(1);
        self.heard_at = now;
    }

    /// Records that a call ended without a head.
    pub fn record_headless(&mut self, has_failed: bool) {
        self.awaited = self.awaited.saturating_sub(1);
        self.is_doubtful |= has_failed;
    }

    /// Whether to try now to connect. It counts as tried if so.
    pub fn begin_trial(&mut self, now: Duration) -> bool {
        let is_silent = self.awaited > 0 && now.saturating_sub(self.heard_at) >= MAX_SILENCE;
        let may_try = self
            .tried_at
            .is_none_or(|at| now.saturating_sub(at) >= TRIAL_INTERVAL);
        let begins = may_try && (is_silent || self.is_doubtful || !self.is_held());
        if begins {
            self.tried_at = Some(now);
            self.is_doubtful = false;
        }
        begins
    }

    /// Records whether a trial has opened a connection.
    pub fn record_trial(&mut self, now: Duration, is_reached: bool) -> Option<Change> {
        if !is_reached {
            let is_new = self.lost_at.is_none();
            self.lost_at.get_or_insert(now);
            return is_new.then_some(Change::Lost);
        }
        self.awaited = 0;
        let lost_at = self.lost_at.take()?;
        let after = now.saturating_sub(lost_at);
        Some(Change::Regained { after })
    }
}

/// What the neighbours say that they can't reach.
#[derive(Debug, Clone, Default)]
pub struct Neighbours {
    hosts: Vec<name::Host>,
    statements: BTreeMap<name::Host, (Duration, BTreeSet<name::Pool>)>,
}

impl Neighbours {
    /// Sets the neighbours that are listed.
    pub fn set_hosts(&mut self, hosts: Vec<name::Host>) {
        self.statements.retain(|host, _| hosts.contains(host));
        self.hosts = hosts;
    }

    /// Takes over a neighbour's statement.
    pub fn record(&mut self, now: Duration, host: name::Host, pools: BTreeSet<name::Pool>) {
        if self.hosts.contains(&host) {
            self.statements.insert(host, (now, pools));
        }
    }

    /// Whether a neighbour reaches a pool, as far as is known.
    pub fn reaches(&self, now: Duration, host: &name::Host, pool: &name::Pool) -> bool {
        let statement = self.statements.get(host);
        statement.is_none_or(|(at, pools)| !is_current(now, *at) || !pools.contains(pool))
    }

    /// The listed neighbours that reach a pool, as far as is known.
    pub fn reaching<'a>(
        &'a self,
        now: Duration,
        pool: &'a name::Pool,
    ) -> impl Iterator<Item = &'a name::Host> {
        let hosts = self.hosts.iter();
        hosts.filter(move |host| self.reaches(now, host, pool))
    }

    /// The neighbours that say now that they can't reach some pool.
    pub fn unreached(&self, now: Duration) -> Unreached {
        let current = self
            .statements
            .iter()
            .filter(|(_, (at, pools))| is_current(now, *at) && !pools.is_empty());
        current
            .map(|(host, (_, pools))| (host.clone(), pools.clone()))
            .collect()
    }
}

fn is_current(now: Duration, at: Duration) -> bool {
    now.saturating_sub(at) <= STATEMENT_TTL
}
