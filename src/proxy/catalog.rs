//! The upstreams of this host's region and whether they may be used, from the platform's list, the
//! evacuations in force and how earlier requests went.

use {
    super::{
        entry::Entry,
        replica::{Outcome, Replica},
        speed::Speed,
    },
    crate::{name, route::Options},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How long after the platform's return a missing upstream may still be listed again. The
/// platform promises about two seconds.
const RELIST_GRACE: Duration = Duration::from_millis(2_200);
/// How long an upstream of a domain that was evacuated is taken for cold: until it has described
/// itself anew, which takes a heartbeat and a reading.
const COLD_AFTER_EVACUATION: Duration = Duration::from_secs(3);
/// Failures, halved by each success, at which an upstream is ejected.
const EJECT_AT: f64 = 1.9;
/// The first ejection's length.
const EJECT_FOR: Duration = Duration::from_millis(800);
/// The longest ejection; engines come back within seconds.
const EJECT_FOR_AT_MOST: Duration = Duration::from_secs(4);
/// Share of the newest answer in what is learned of a pool.
const POOL_EWMA_WEIGHT: f64 = 0.03;
/// The time of an answer of a plain service until one is seen, in milliseconds.
pub const INITIAL_SERVICE_MS: f64 = 50.0;

/// What is learned of a pool as a whole.
#[derive(Debug)]
pub struct Estimates {
    /// For engines.
    pub speed: Speed,
    /// Time of a whole answer, in milliseconds.
    pub service_ms: f64,
    /// Share of answers that are failures of the upstreams' own.
    pub error_share: f64,
}

impl Default for Estimates {
    fn default() -> Self {
        Self {
            speed: Speed::new(),
            service_ms: INITIAL_SERVICE_MS,
            error_share: 0.0,
        }
    }
}

/// A change of belief, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// An upstream was listed.
    Listed(name::Upstream),
    /// An upstream started again under its name.
    Restarted(name::Upstream),
    /// An upstream is about to go.
    Leaving(name::Upstream),
    /// An upstream is gone.
    Gone(name::Upstream),
    /// Nothing comes from an upstream that has requests to answer.
    Silent(name::Upstream),
    /// An upstream failed too often, or is back from that.
    Standing(name::Upstream),
}

impl Change {
    /// The upstream.
    pub fn upstream(&self) -> &name::Upstream {
        match self {
            Self::Listed(upstream)
            | Self::Restarted(upstream)
            | Self::Leaving(upstream)
            | Self::Gone(upstream)
            | Self::Silent(upstream)
            | Self::Standing(upstream) => upstream,
        }
    }

    /// What is believed of it now, as logs say it.
    pub fn state(&self) -> &'static str {
        match self {
            Self::Listed(_) => "listed",
            Self::Restarted(_) => "restarted",
            Self::Leaving(_) => "leaving",
            Self::Gone(_) => "gone",
            Self::Silent(_) => "silent",
            Self::Standing(_) => "standing changed",
        }
    }
}

/// The upstreams of one region.
#[derive(Debug)]
pub struct Catalog {
    domains: BTreeSet<name::Domain>,
    replicas: BTreeMap<name::Upstream, Replica>,
    evacuated: BTreeSet<name::Domain>,
    estimates: BTreeMap<name::Pool, Estimates>,
    is_unreachable: bool,
    reachable_since: Option<Duration>,
    has_list: bool,
    generation: u64,
    ejection: Options,
}

impl Catalog {
    /// No upstreams yet, of a region with these failure domains.
    pub fn new(domains: BTreeSet<name::Domain>) -> Self {
        Self {
            domains,
            replicas: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            estimates: BTreeMap::new(),
            is_unreachable: false,
            reachable_since: None,
            has_list: false,
            generation: 0,
            ejection: Options {
                ejection_threshold: EJECT_AT,
                ejection_time: EJECT_FOR,
                max_ejection_time: EJECT_FOR_AT_MOST,
                ..Options::default()
            },
        }
    }

    /// Whether a list has been read.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Grows with each change of what upstreams say of themselves that others must know.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// What the upstreams say of themselves, as of now.
    pub fn entries(&self, now: Duration) -> Vec<Entry> {
        let all = self.replicas.values();
        all.map(|replica| replica.entry_at(now)).collect()
    }

    /// The platform can't be read, or can be again.
    pub fn set_reachable(&mut self, now: Duration, reached: bool) {
        if self.is_unreachable && reached {
            self.reachable_since = Some(now);
        }
        self.is_unreachable = !reached;
    }

    /// Takes a whole list.
    pub fn replace_all(&mut self, now: Duration, entries: Vec<Entry>) -> Vec<Change> {
        self.has_list = true;
        let present: BTreeSet<_> = entries.iter().map(|entry| entry.id.clone()).collect();
        let mut changes: Vec<_> = entries
            .into_iter()
            .filter_map(|entry| self.upsert(now, entry))
            .collect();
        let missing: Vec<_> = self
            .replicas
            .keys()
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        changes.extend(missing.iter().filter_map(|id| self.remove(now, id)));
        changes
    }

    /// Takes what one upstream says of itself.
    pub fn upsert(&mut self, now: Duration, entry: Entry) -> Option<Change> {
        if !self.domains.contains(&entry.domain) {
            return None;
        }
        let id = entry.id.clone();
        let Some(replica) = self.replicas.get_mut(&id) else {
            self.replicas.insert(id.clone(), Replica::new(now, entry));
            self.generation += 1;
            return Some(Change::Listed(id));
        };
        let left = replica.entry.leaving;
        let before = replica.entry_at(now);
        let restarted = replica.update(now, entry);
        if !replica.entry_at(now).is_equivalent(&before) {
            self.generation += 1;
        }
        if restarted {
            return Some(Change::Restarted(id));
        }
        (replica.entry.leaving && !left).then_some(Change::Leaving(id))
    }

    /// An upstream is not listed any more. Just after an outage of the platform it may only have
    /// lapsed, so it is kept until it had time to come back.
    pub fn remove(&mut self, now: Duration, id: &name::Upstream) -> Option<Change> {
        let until = self.reachable_since.map(|back| back + RELIST_GRACE);
        let replica = self.replicas.get_mut(id)?;
        if self.is_unreachable || until.is_some_and(|until| now < until) {
            replica.removal_at = Some(until.unwrap_or(now + RELIST_GRACE).max(now));
            return None;
        }
        self.forget(id)
    }

    /// Forgets upstreams that did not come back in time.
    pub fn expire(&mut self, now: Duration) -> Vec<Change> {
        let over: Vec<_> = self
            .replicas
            .iter()
            .filter(|(_, replica)| replica.removal_at.is_some_and(|until| now >= until))
            .map(|(id, _)| id.clone())
            .collect();
        if self.is_unreachable {
            return Vec::new();
        }
        over.iter().filter_map(|id| self.forget(id)).collect()
    }

    /// The address of an upstream belongs to another one.
    pub fn remove_misdirected(&mut self, id: &name::Upstream) -> Option<Change> {
        self.forget(id)
    }

    fn forget(&mut self, id: &name::Upstream) -> Option<Change> {
        self.generation += 1;
        self.replicas
            .remove(id)
            .map(|replica| Change::Gone(replica.entry.id))
    }

    /// The failure domains that are evacuated now. Upstreams of one that is given back may have
    /// become cold meanwhile.
    pub fn set_evacuated(&mut self, now: Duration, domains: BTreeSet<name::Domain>) {
        for replica in self.replicas.values_mut() {
            let domain = &replica.entry.domain;
            if self.evacuated.contains(domain) && !domains.contains(domain) {
                replica.assume_cold_until(now + COLD_AFTER_EVACUATION);
            }
        }
        self.evacuated = domains;
    }

    /// The failure domains that are evacuated.
    pub fn evacuated(&self) -> &BTreeSet<name::Domain> {
        &self.evacuated
    }

    /// What is learned of a pool.
    pub fn estimates_mut(&mut self, pool: &name::Pool) -> &mut Estimates {
        if !self.estimates.contains_key(pool) {
            self.estimates.insert(pool.clone(), Estimates::default());
        }
        self.estimates.get_mut(pool).expect("it was just put there")
    }

    /// What is learned of a pool, if anything.
    pub fn estimates(&self, pool: &name::Pool) -> Option<&Estimates> {
        self.estimates.get(pool)
    }

    /// An upstream by name.
    pub fn get(&self, id: &name::Upstream) -> Option<&Replica> {
        self.replicas.get(id)
    }

    /// An upstream by name.
    pub fn get_mut(&mut self, id: &name::Upstream) -> Option<&mut Replica> {
        self.replicas.get_mut(id)
    }

    /// Every upstream.
    pub fn all(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }

    /// Every upstream.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut Replica> {
        self.replicas.values_mut()
    }

    /// Upstreams of a pool that neither leave nor are evacuated.
    pub fn eligible(&self, pool: &name::Pool) -> impl Iterator<Item = &Replica> {
        self.replicas.values().filter(move |replica| {
            replica.entry.pool == *pool
                && !replica.entry.leaving
                && !self.evacuated.contains(&replica.entry.domain)
        })
    }

    /// An attempt at an upstream ended.
    pub fn record_outcome(
        &mut self,
        now: Duration,
        id: &name::Upstream,
        outcome: Outcome,
    ) -> Option<Change> {
        let pool = self.replicas.get(id)?.entry.pool.clone();
        let model = self.estimates_mut(&pool);
        match outcome {
            Outcome::Success => model.error_share -= POOL_EWMA_WEIGHT * model.error_share,
            Outcome::Error => model.error_share += POOL_EWMA_WEIGHT * (1.0 - model.error_share),
            Outcome::Full | Outcome::Broken | Outcome::Unknown => {}
        }
        let usual = model.error_share;
        let replica = self.replicas.get_mut(id)?;
        replica
            .record_outcome(now, outcome, usual, &self.ejection)
            .then(|| Change::Standing(id.clone()))
    }

    /// Nothing comes from an upstream any more.
    pub fn mark_silent(&mut self, now: Duration, id: &name::Upstream) -> Option<Change> {
        let replica = self.replicas.get_mut(id)?;
        replica
            .mark_silent(now, &self.ejection)
            .then(|| Change::Silent(id.clone()))
    }

    /// A whole answer of a plain service took so long.
    pub fn observe_service_time(&mut self, pool: &name::Pool, millis: f64) {
        let model = self.estimates_mut(pool);
        model.service_ms += POOL_EWMA_WEIGHT * (millis - model.service_ms);
    }
}
