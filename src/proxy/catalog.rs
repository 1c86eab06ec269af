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
const RELIST: Duration = Duration::from_millis(2_200);
/// How long an upstream of a domain that was evacuated is taken for cold: until it has described
/// itself anew, which takes a heartbeat and a reading.
const AFTER_EVACUATION: Duration = Duration::from_secs(3);
/// Failures, halved by each success, at which an upstream is ejected.
const EJECT_AT: f64 = 1.9;
/// The first ejection's length.
const EJECT_FOR: Duration = Duration::from_millis(800);
/// The longest ejection; engines come back within seconds.
const EJECT_FOR_AT_MOST: Duration = Duration::from_secs(4);
/// Share of the newest answer in what is learned of a pool.
const POOL_STEP: f64 = 0.03;
/// The time of an answer of a plain service until one is seen, in milliseconds.
pub const FIRST_SERVICE_MS: f64 = 50.0;

/// What is learned of a pool as a whole.
#[derive(Debug)]
pub struct Model {
    /// For engines.
    pub speed: Speed,
    /// Time of a whole answer, in milliseconds.
    pub service_ms: f64,
    /// Share of answers that are failures of the upstreams' own.
    pub errors: f64,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            speed: Speed::new(),
            service_ms: FIRST_SERVICE_MS,
            errors: 0.0,
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
    models: BTreeMap<name::Pool, Model>,
    away: bool,
    back_at: Option<Duration>,
    listed: bool,
    generation: u64,
    options: Options,
}

impl Catalog {
    /// No upstreams yet, of a region with these failure domains.
    pub fn new(domains: BTreeSet<name::Domain>) -> Self {
        Self {
            domains,
            replicas: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            models: BTreeMap::new(),
            away: false,
            back_at: None,
            listed: false,
            generation: 0,
            options: Options {
                ejection_threshold: EJECT_AT,
                ejection_time: EJECT_FOR,
                max_ejection_time: EJECT_FOR_AT_MOST,
                ..Options::default()
            },
        }
    }

    /// Whether a list has been read.
    pub fn is_listed(&self) -> bool {
        self.listed
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
    pub fn reach(&mut self, now: Duration, reached: bool) {
        if self.away && reached {
            self.back_at = Some(now);
        }
        self.away = !reached;
    }

    /// Takes a whole list.
    pub fn list(&mut self, now: Duration, entries: Vec<Entry>) -> Vec<Change> {
        self.listed = true;
        let present: BTreeSet<_> = entries.iter().map(|entry| entry.id.clone()).collect();
        let mut changes: Vec<_> = entries
            .into_iter()
            .filter_map(|entry| self.put(now, entry))
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
    pub fn put(&mut self, now: Duration, entry: Entry) -> Option<Change> {
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
        let restarted = replica.describe(now, entry);
        if !replica.entry_at(now).agrees(&before) {
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
        let until = self.back_at.map(|back| back + RELIST);
        let replica = self.replicas.get_mut(id)?;
        if self.away || until.is_some_and(|until| now < until) {
            replica.missing_until = Some(until.unwrap_or(now + RELIST).max(now));
            return None;
        }
        self.forget(id)
    }

    /// Forgets upstreams that did not come back in time.
    pub fn expire(&mut self, now: Duration) -> Vec<Change> {
        let over: Vec<_> = self
            .replicas
            .iter()
            .filter(|(_, replica)| replica.missing_until.is_some_and(|until| now >= until))
            .map(|(id, _)| id.clone())
            .collect();
        if self.away {
            return Vec::new();
        }
        over.iter().filter_map(|id| self.forget(id)).collect()
    }

    /// The address of an upstream belongs to another one.
    pub fn misdirected(&mut self, id: &name::Upstream) -> Option<Change> {
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
    pub fn evacuate(&mut self, now: Duration, domains: BTreeSet<name::Domain>) {
        for replica in self.replicas.values_mut() {
            let domain = &replica.entry.domain;
            if self.evacuated.contains(domain) && !domains.contains(domain) {
                replica.caution(now + AFTER_EVACUATION);
            }
        }
        self.evacuated = domains;
    }

    /// The failure domains that are evacuated.
    pub fn evacuated(&self) -> &BTreeSet<name::Domain> {
        &self.evacuated
    }

    /// What is learned of a pool.
    pub fn model(&mut self, pool: &name::Pool) -> &mut Model {
        if !self.models.contains_key(pool) {
            self.models.insert(pool.clone(), Model::default());
        }
        self.models.get_mut(pool).expect("it was just put there")
    }

    /// What is learned of a pool, if anything.
    pub fn learned(&self, pool: &name::Pool) -> Option<&Model> {
        self.models.get(pool)
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
    pub fn end(&mut self, now: Duration, id: &name::Upstream, outcome: Outcome) -> Option<Change> {
        let pool = self.replicas.get(id)?.entry.pool.clone();
        let model = self.model(&pool);
        match outcome {
            Outcome::Whole => model.errors -= POOL_STEP * model.errors,
            Outcome::Error => model.errors += POOL_STEP * (1.0 - model.errors),
            Outcome::Full | Outcome::Broken | Outcome::Unknown => {}
        }
        let usual = model.errors;
        let replica = self.replicas.get_mut(id)?;
        replica
            .end(now, outcome, usual, &self.options)
            .then(|| Change::Standing(id.clone()))
    }

    /// Nothing comes from an upstream any more.
    pub fn silent(&mut self, now: Duration, id: &name::Upstream) -> Option<Change> {
        let replica = self.replicas.get_mut(id)?;
        replica
            .mark_silent(now, &self.options)
            .then(|| Change::Silent(id.clone()))
    }

    /// A whole answer of a plain service took so long.
    pub fn served(&mut self, pool: &name::Pool, millis: f64) {
        let model = self.model(pool);
        model.service_ms += POOL_STEP * (millis - model.service_ms);
    }
}
