//! The upstreams of this host's region and whether they may be used.
//!
//! Combines the platform's list, the evacuations in force and the outcomes of earlier requests. The
//! host's tasks update it; [`super::place`] chooses among the upstreams that it calls eligible.

use {
    super::{
        entry::Entry,
        origin,
        place::Job,
        quarantine::{Certainty, End, Process},
        replica::{ASSUMED_COLD_TIME, Outcome, Replica},
        speed::Speed,
    },
    crate::{
        name,
        rest::Rest,
        route::{Options, affinity},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// How long after the platform becomes reachable again a missing upstream is kept, since it may
/// still be listed again. The platform promises about two seconds.
const RELIST_GRACE: Duration = Duration::from_millis(2_200);
/// How long the last state of a removed upstream is remembered.
const DEPARTED_TTL: Duration = Duration::from_secs(60);
/// How long an evacuation that a restored store lacks stays in force, unless the operator writes it
/// again or takes it back.
const EVACUATION_HOLD: Duration = Duration::from_secs(60);
/// Failure count, halved by each success, at which an upstream is ejected.
const EJECTION_THRESHOLD: f64 = 1.9;
/// Length of the first ejection.
const EJECTION_TIME: Duration = Duration::from_millis(800);
/// Upper bound on the length of an ejection; engines recover within seconds.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);
/// Least and most time between two probes of upstreams that can't be reached, while others can. It
/// is half of the time since the last of them was lost.
const PROBE_INTERVAL: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));
/// The same while none can be reached.
const CUT_OFF_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Most upstreams that are probed at once after one was reached again.
const MAX_PROBES: usize = 16;
/// Further upstreams that are in doubt when one can't be reached.
const DOUBTED_BESIDE_LOST: usize = 2;
/// Weight of the newest answer in the moving averages of a pool.
const POOL_EWMA_WEIGHT: f64 = 0.03;
/// Assumed time of an answer from a plain service before one is observed, in milliseconds.
pub const INITIAL_SERVICE_MS: f64 = 50.0;

/// Moving averages over all upstreams of a pool.
#[derive(Debug)]
pub struct Estimates {
    /// Prefill speed; used for pools of engines only.
    pub speed: Speed,
    /// Time from sending a request to its complete answer, in milliseconds; used for plain
    /// services.
    pub service_ms: f64,
    /// Share of complete answers that are server errors, from 0 to 1.
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

/// A change in the state of an upstream, to be logged.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The upstream appeared in the list.
    Listed(name::Upstream),
    /// The upstream restarted under the same name.
    Restarted(name::Upstream),
    /// The upstream announced that it will stop.
    Leaving(name::Upstream),
    /// The upstream was removed.
    Gone(name::Upstream),
    /// The entry of the upstream can't be read.
    Unreadable(name::Upstream),
    /// The upstream was not listed again in time, while the platform can't be reached.
    Lapsed(name::Upstream),
    /// The upstream sends nothing although requests are pending at it.
    Silent(name::Upstream),
    /// The upstream was ejected after failures, or its ejection ended.
    Standing(name::Upstream),
    /// No connection to the upstream can be opened.
    Lost(name::Upstream),
    /// A connection to the upstream was opened again.
    Reached(name::Upstream),
    /// The upstream may have started again unseen, so it counts as cold: several other hosts can open
    /// no connection to it, or one was long in opening.
    Missed(name::Upstream),
}

impl Change {
    /// The upstream that changed.
    pub fn upstream(&self) -> &name::Upstream {
        match self {
            Self::Listed(upstream)
            | Self::Restarted(upstream)
            | Self::Leaving(upstream)
            | Self::Gone(upstream)
            | Self::Unreadable(upstream)
            | Self::Lapsed(upstream)
            | Self::Silent(upstream)
            | Self::Standing(upstream)
            | Self::Lost(upstream)
            | Self::Reached(upstream)
            | Self::Missed(upstream) => upstream,
        }
    }

    /// The new state, as written to the log.
    pub fn state(&self) -> &'static str {
        match self {
            Self::Listed(_) => "listed",
            Self::Restarted(_) => "restarted",
            Self::Leaving(_) => "leaving",
            Self::Gone(_) => "gone",
            Self::Unreadable(_) => "unreadable",
            Self::Lapsed(_) => "lapsed",
            Self::Silent(_) => "silent",
            Self::Standing(_) => "standing changed",
            Self::Lost(_) => "unreached",
            Self::Reached(_) => "reached",
            Self::Missed(_) => "missed",
        }
    }
}

/// What the store tells of one upstream.
#[derive(Debug)]
pub enum News {
    /// Its published state.
    Entry(Entry),
    /// Something that is no published state was written in its place.
    Unreadable(name::Upstream),
    /// It is no longer listed.
    Removed(name::Upstream),
}

/// The last published state of an upstream that was removed.
#[derive(Debug)]
struct Departed {
    order: (u64, u64),
    is_leaving: bool,
    rest: Rest,
    at: Duration,
    /// Whether the store still shows that state, as one restored from an older copy does.
    is_shown: bool,
}

/// The upstreams of one region.
#[derive(Debug)]
pub struct Catalog {
    /// Failure domains of the region.
    domains: BTreeSet<name::Domain>,
    replicas: BTreeMap<name::Upstream, Replica>,
    departed: BTreeMap<name::Upstream, Departed>,
    evacuated: BTreeSet<name::Domain>,
    /// Evacuations in force that the restored store lacks, with the time until which they are held.
    held_evacuations: BTreeMap<name::Domain, Duration>,
    estimates: BTreeMap<name::Pool, Estimates>,
    /// Whether the platform cannot be reached.
    is_unreachable: bool,
    /// When the platform became reachable after its last outage.
    reachable_since: Option<Duration>,
    has_list: bool,
    /// Since when the list was followed without a gap; `None` while the platform is unreachable or
    /// before the first list.
    watched_since: Option<Duration>,
    /// When an upstream of a build was last removed, or restarted with another build.
    retired_builds: BTreeMap<(name::Pool, name::Build), Duration>,
    generation: u64,
    /// Processes that ended without a notice, since they were last taken.
    ended: Vec<End>,
    /// When and for how long failing upstreams are ejected.
    ejection: Options,
    /// When an upstream that could not be reached is to be probed next.
    next_probe_at: Duration,
    /// Whether such an upstream was reached again, and none has failed since.
    is_returning: bool,
}

impl Catalog {
    /// Creates an empty catalog for a region with these failure domains.
    pub fn new(domains: BTreeSet<name::Domain>) -> Self {
        Self {
            domains,
            replicas: BTreeMap::new(),
            departed: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            held_evacuations: BTreeMap::new(),
            estimates: BTreeMap::new(),
            is_unreachable: false,
            reachable_since: None,
            has_list: false,
            watched_since: None,
            retired_builds: BTreeMap::new(),
            generation: 0,
            ended: Vec::new(),
            ejection: Options {
                ejection_threshold: EJECTION_THRESHOLD,
                ejection_time: EJECTION_TIME,
                max_ejection_time: MAX_EJECTION_TIME,
                ..Options::default()
            },
            next_probe_at: Duration::ZERO,
            is_returning: false,
        }
    }

    /// Whether a complete list of upstreams has been received.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Counter of the changes to published state that other hosts must learn of.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The published state of all upstreams that can be read, with the remaining cold time as of `now`.
    pub fn entries(&self, now: Duration) -> Vec<Entry> {
        let all = self.replicas.values();
        let all = all.filter(|replica| !replica.is_unreadable);
        all.map(|replica| replica.entry_at(now)).collect()
    }

    /// Records whether the platform can be reached.
    pub fn set_reachable(&mut self, now: Duration, is_reachable: bool) {
        if self.is_unreachable && is_reachable {
            self.reachable_since = Some(now);
        }
        self.is_unreachable = !is_reachable;
        if self.is_unreachable {
            self.watched_since = None;
        } else if self.has_list {
            self.watched_since.get_or_insert(now);
        }
    }

    /// Records that the store was restored from an older copy, which may lack what upstreams wrote last:
    /// they get the same time to be listed again as after an outage.
    pub fn start_era(&mut self, now: Duration) {
        self.reachable_since = Some(now);
        if self.watched_since.is_some() {
            self.watched_since = Some(now);
        }
    }

    /// For how long the list has been followed without a gap.
    pub fn watched(&self, now: Duration) -> Duration {
        self.watched_since
            .map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Builds of each pool that are listed or were within this time.
    pub fn recent_builds(
        &self,
        now: Duration,
        within: Duration,
    ) -> BTreeMap<name::Pool, BTreeSet<name::Build>> {
        let listed = self.replicas.values().map(|replica| &replica.entry);
        let listed = listed.map(|entry| (&entry.pool, &entry.build));
        let retired = self.retired_builds.iter();
        let retired = retired.filter(|(_, at)| now.saturating_sub(**at) <= within);
        let retired = retired.map(|((pool, build), _)| (pool, build));
        let mut builds: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        for (pool, build) in listed.chain(retired) {
            let pool = builds.entry(pool.clone()).or_default();
            pool.insert(build.clone());
        }
        builds
    }

    fn retire_build(&mut self, now: Duration, entry: &Entry) {
        let build = (entry.pool.clone(), entry.build.clone());
        self.retired_builds
            .retain(|_, at| now.saturating_sub(*at) <= origin::MAX_TTL);
        self.retired_builds.insert(build, now);
    }

    /// Replaces the whole list of upstreams.
    pub fn replace_all(&mut self, now: Duration, entries: Vec<Entry>) -> Vec<Change> {
        self.has_list = true;
        if !self.is_unreachable {
            self.watched_since.get_or_insert(now);
        }
        for departed in self.departed.values_mut() {
            departed.is_shown = false;
        }
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

    /// Replaces the whole list of upstreams with what was read.
    pub fn replace_listed(&mut self, now: Duration, news: Vec<News>) -> Vec<Change> {
        let (mut entries, mut unreadable) = (Vec::new(), Vec::new());
        for news in news {
            match news {
                News::Entry(entry) => entries.push(entry),
                News::Unreadable(id) => unreadable.push(id),
                News::Removed(_) => {}
            }
        }
        let mut changes = self.replace_all(now, entries);
        let unreadable = unreadable.iter();
        changes.extend(unreadable.filter_map(|id| self.mark_unreadable(id)));
        changes
    }

    /// Applies changes in the order in which they were made. An upstream that was added and removed
    /// again is passed over.
    pub fn apply(&mut self, now: Duration, news: Vec<News>) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut news = news.into_iter();
        while let Some(next) = news.next() {
            changes.extend(match next {
                News::Entry(entry) => {
                    let is_its_removal =
                        |later: &News| matches!(later, News::Removed(id) if *id == entry.id);
                    let is_known = self.replicas.contains_key(&entry.id);
                    let is_passed = !is_known && news.as_slice().iter().any(is_its_removal);
                    (!is_passed).then(|| self.upsert(now, entry)).flatten()
                }
                News::Unreadable(id) => self.mark_unreadable(&id),
                News::Removed(id) => self.remove(now, &id),
            });
        }
        changes
    }

    /// Marks an upstream whose entry can't be read, so that it is not used until one can.
    fn mark_unreadable(&mut self, id: &name::Upstream) -> Option<Change> {
        let replica = self.replicas.get_mut(id)?;
        if std::mem::replace(&mut replica.is_unreadable, true) {
            return None;
        }
        self.generation += 1;
        Some(Change::Unreadable(id.clone()))
    }

    /// Records that a process of an upstream says that it is leaving. It holds for that process until
    /// it has ended, whatever is published of it.
    pub fn mark_leaving(&mut self, id: &name::Upstream, process: Process) -> Option<Change> {
        let point = affinity::hash(id.as_str().as_bytes());
        if let Some(departed) = self.departed.get_mut(id)
            && Process::new(point, departed.order.0) == process
        {
            departed.is_leaving = true;
        }
        let replica = self.replicas.get_mut(id)?;
        if replica.process() != process || std::mem::replace(&mut replica.entry.leaving, true) {
            return None;
        }
        self.generation += 1;
        Some(Change::Leaving(id.clone()))
    }

    /// Processes of upstreams that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = (name::Upstream, Process)> {
        let leaving = self.all().filter(|replica| replica.entry.leaving);
        leaving.map(|replica| (replica.entry.id.clone(), replica.process()))
    }

    /// Adds or updates one upstream from its published state. Ignores upstreams of other regions.
    pub fn upsert(&mut self, now: Duration, entry: Entry) -> Option<Change> {
        if !self.domains.contains(&entry.domain) {
            return None;
        }
        let id = entry.id.clone();
        let Some(replica) = self.replicas.get_mut(&id) else {
            return self.list(now, entry);
        };
        let was_leaving = replica.entry.leaving;
        let was_unreadable = replica.is_unreadable;
        let end = replica.end(Certainty::Certain);
        let before = replica.entry_at(now);
        let restarted = replica.update(now, entry);
        let is_readable_again = was_unreadable && !replica.is_unreadable;
        if is_readable_again || !replica.entry_at(now).is_equivalent(&before) {
            self.generation += 1;
        }
        let is_leaving = replica.entry.leaving;
        if replica.entry.build != before.build {
            self.retire_build(now, &before);
        }
        if restarted {
            if !was_leaving {
                self.ended.push(end);
            }
            return Some(Change::Restarted(id));
        }
        (is_leaving && !was_leaving).then_some(Change::Leaving(id))
    }

    /// Adds an upstream, unless its entry is no newer than its removal. A process that was leaving or
    /// at rest when it was removed goes on so.
    fn list(&mut self, now: Duration, mut entry: Entry) -> Option<Change> {
        let id = entry.id.clone();
        if let Some(departed) = self.departed.get_mut(&id)
            && entry.order() <= departed.order
        {
            departed.is_shown = true;
            return None;
        }
        let departed = self.departed.remove(&id);
        let same = departed.filter(|departed| entry.incarnation == departed.order.0);
        entry.leaving |= same.as_ref().is_some_and(|departed| departed.is_leaving);
        let mut replica = Replica::new(now, entry);
        replica.rest = same.map(|departed| departed.rest).unwrap_or_default();
        self.replicas.insert(id.clone(), replica);
        self.generation += 1;
        Some(Change::Listed(id))
    }

    /// Removes an upstream that is no longer listed. While the platform is unreachable and shortly
    /// after, its entry may only have lapsed, so it is kept until it had time to be listed again.
    pub fn remove(&mut self, now: Duration, id: &name::Upstream) -> Option<Change> {
        if let Some(departed) = self.departed.get_mut(id) {
            departed.is_shown = false;
        }
        let grace_end = self.reachable_since.map(|back| back + RELIST_GRACE);
        let replica = self.replicas.get_mut(id)?;
        if self.is_unreachable || grace_end.is_some_and(|grace_end| now < grace_end) {
            replica.removal_at = Some(grace_end.unwrap_or(now + RELIST_GRACE).max(now));
            return None;
        }
        self.forget(now, id)
    }

    /// Removes upstreams that were not listed again in time. While the platform is unreachable they
    /// only lapse, since all entries may be missing for its outage.
    pub fn expire(&mut self, now: Duration) -> Vec<Change> {
        let is_expired = |replica: &Replica| replica.removal_at.is_some_and(|until| now >= until);
        if self.is_unreachable {
            let replicas = self.replicas.values_mut();
            let lapsed = replicas.filter(|replica| !replica.has_lapsed && is_expired(replica));
            let lapse = |replica: &mut Replica| {
                replica.has_lapsed = true;
                Change::Lapsed(replica.entry.id.clone())
            };
            return lapsed.map(lapse).collect();
        }
        let expired = self.replicas.iter();
        let expired = expired.filter(|(_, replica)| is_expired(replica));
        let expired: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
        let gone = expired.iter().filter_map(|id| self.forget(now, id));
        gone.collect()
    }

    /// Removes an upstream whose address was found to belong to another one.
    pub fn remove_misdirected(&mut self, now: Duration, id: &name::Upstream) -> Option<Change> {
        self.forget(now, id)
    }

    fn forget(&mut self, now: Duration, id: &name::Upstream) -> Option<Change> {
        self.generation += 1;
        let replica = self.replicas.remove(id)?;
        if !replica.entry.leaving {
            // One that leaves without a notice goes on for a while after it was removed.
            self.ended.push(replica.end(Certainty::Presumed));
        }
        let entry = replica.entry;
        self.retire_build(now, &entry);
        self.departed.retain(|_, departed| {
            let is_recent = now.saturating_sub(departed.at) < DEPARTED_TTL;
            is_recent || departed.is_shown || !departed.rest.is_over(now)
        });
        let departed = Departed {
            order: entry.order(),
            is_leaving: entry.leaving,
            rest: replica.rest,
            at: now,
            is_shown: false,
        };
        self.departed.insert(entry.id.clone(), departed);
        Some(Change::Gone(entry.id))
    }

    /// Takes the processes that were found to have ended without a notice.
    pub fn take_ended(&mut self) -> Vec<End> {
        std::mem::take(&mut self.ended)
    }

    /// Records that a failure domain is evacuated.
    pub fn evacuate(&mut self, now: Duration, domain: name::Domain) {
        self.held_evacuations.remove(&domain);
        let mut evacuated = self.evacuated.clone();
        evacuated.insert(domain);
        self.set_evacuated(now, evacuated);
    }

    /// Records that the evacuation of a failure domain was taken back.
    pub fn restore(&mut self, now: Duration, domain: &name::Domain) {
        self.held_evacuations.remove(domain);
        let mut evacuated = self.evacuated.clone();
        evacuated.remove(domain);
        self.set_evacuated(now, evacuated);
    }

    /// Replaces the evacuations by all that the store lists. Those in force that are missing from the
    /// first list of a restored store are held for a while. Returns the ones held since now.
    pub fn list_evacuated(
        &mut self,
        now: Duration,
        listed: BTreeSet<name::Domain>,
        is_restored: bool,
    ) -> Vec<name::Domain> {
        let missing = self.evacuated.difference(&listed).cloned();
        let held: Vec<_> = missing.filter(|_| is_restored).collect();
        for domain in &held {
            let until = now + EVACUATION_HOLD;
            self.held_evacuations.insert(domain.clone(), until);
        }
        self.held_evacuations
            .retain(|domain, _| !listed.contains(domain));
        let held_before = self.held_evacuations.keys().cloned();
        let evacuated = listed.into_iter().chain(held_before).collect();
        self.set_evacuated(now, evacuated);
        held
    }

    /// Ends the evacuations that were held for long enough. Returns those.
    pub fn expire_evacuations(&mut self, now: Duration) -> Vec<name::Domain> {
        let held = self.held_evacuations.iter();
        let expired = held.filter(|(_, until)| now >= **until);
        let expired: Vec<_> = expired.map(|(domain, _)| domain.clone()).collect();
        for domain in &expired {
            self.restore(now, domain);
        }
        expired
    }

    /// Sets the failure domains that are evacuated. Upstreams of a domain whose evacuation ends may
    /// have become cold meanwhile and are treated as cold.
    pub fn set_evacuated(&mut self, now: Duration, domains: BTreeSet<name::Domain>) {
        for replica in self.replicas.values_mut() {
            let domain = &replica.entry.domain;
            if self.evacuated.contains(domain) && !domains.contains(domain) {
                replica.assume_cold_until(now + ASSUMED_COLD_TIME);
            }
        }
        self.evacuated = domains;
    }

    /// The failure domains that are evacuated.
    pub fn evacuated(&self) -> &BTreeSet<name::Domain> {
        &self.evacuated
    }

    /// The estimates of a pool, created with defaults if there are none.
    pub fn estimates_mut(&mut self, pool: &name::Pool) -> &mut Estimates {
        if !self.estimates.contains_key(pool) {
            self.estimates.insert(pool.clone(), Estimates::default());
        }
        self.estimates.get_mut(pool).expect("inserted above")
    }

    /// The estimates of a pool, or `None` before anything was observed.
    pub fn estimates(&self, pool: &name::Pool) -> Option<&Estimates> {
        self.estimates.get(pool)
    }

    /// Returns an upstream by name.
    pub fn get(&self, id: &name::Upstream) -> Option<&Replica> {
        self.replicas.get(id)
    }

    /// Returns an upstream by name, for changes.
    pub fn get_mut(&mut self, id: &name::Upstream) -> Option<&mut Replica> {
        self.replicas.get_mut(id)
    }

    /// All upstreams, including those that may not be used.
    pub fn all(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }

    /// The upstreams to which no connection can be opened.
    pub fn lost(&self) -> impl Iterator<Item = &Replica> {
        self.all().filter(|replica| replica.reach.is_lost())
    }

    /// All upstreams, for changes.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut Replica> {
        self.replicas.values_mut()
    }

    /// Upstreams of a pool whose entry can be read, neither leaving nor in an evacuated failure domain.
    /// Those that have lapsed are among them only if there are no others.
    pub fn eligible(&self, pool: &name::Pool) -> impl Iterator<Item = &Replica> {
        let is_usable =
            move |replica: &&Replica| replica.entry.pool == *pool && self.is_usable(replica);
        let mut replicas = self.replicas.values().filter(is_usable);
        let is_any_listed = replicas.any(|replica| !replica.has_lapsed);
        let replicas = self.replicas.values().filter(is_usable);
        replicas.filter(move |replica| !replica.has_lapsed || !is_any_listed)
    }

    /// Whether an upstream's entry can be read, and it is neither leaving nor in an evacuated failure
    /// domain.
    pub fn is_usable(&self, replica: &Replica) -> bool {
        let entry = &replica.entry;
        !entry.leaving && !replica.is_unreadable && !self.evacuated.contains(&entry.domain)
    }

    /// Eligible upstreams that may serve a request.
    pub fn eligible_for<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = &'a Replica> {
        let eligible = self.eligible(&job.pool);
        eligible.filter(|replica| job.allows_build(replica))
    }

    /// Records the outcome of an attempt at an upstream. Returns a change if it ejects the upstream
    /// or ends its ejection.
    pub fn record_outcome(
        &mut self,
        now: Duration,
        id: &name::Upstream,
        outcome: Outcome,
    ) -> Option<Change> {
        let pool = self.replicas.get(id)?.entry.pool.clone();
        let estimates = self.estimates_mut(&pool);
        match outcome {
            Outcome::Success => estimates.error_share -= POOL_EWMA_WEIGHT * estimates.error_share,
            Outcome::Error => {
                estimates.error_share += POOL_EWMA_WEIGHT * (1.0 - estimates.error_share)
            }
            Outcome::Full
            | Outcome::Broken
            | Outcome::Unreachable
            | Outcome::NotRun
            | Outcome::Unknown => {}
        }
        let pool_error_share = estimates.error_share;
        let replica = self.replicas.get_mut(id)?;
        replica
            .record_outcome(now, outcome, pool_error_share, &self.ejection)
            .then(|| Change::Standing(id.clone()))
    }

    /// Marks an upstream as silent. Returns a change unless it already was.
    pub fn mark_silent(&mut self, now: Duration, id: &name::Upstream) -> Option<Change> {
        let replica = self.replicas.get_mut(id)?;
        let is_new = replica.mark_silent(now, &self.ejection);
        if is_new {
            replica.reach.doubt(now);
        }
        is_new.then(|| Change::Silent(id.clone()))
    }

    /// Records that a connection to an upstream was opened. Upstreams that could not be reached are
    /// probed at once then.
    pub fn record_opened(&mut self, now: Duration, id: &name::Upstream) -> Option<Change> {
        let was_lost = self.replicas.get_mut(id)?.record_opened(now);
        if !was_lost {
            return None;
        }
        self.next_probe_at = now;
        self.is_returning = true;
        Some(Change::Reached(id.clone()))
    }

    /// Records that no connection to an upstream could be opened. If that makes it unreached, some
    /// others are in doubt too.
    pub fn record_unopened(&mut self, now: Duration, id: &name::Upstream) -> Option<Change> {
        self.is_returning = false;
        let replica = self.replicas.get_mut(id)?;
        if !replica.reach.record_failed(now) {
            return None;
        }
        let doubted_at = replica.reach.doubted_at().unwrap_or(now);
        self.doubt_others(now, doubted_at);
        Some(Change::Lost(id.clone()))
    }

    /// Records that an upstream refused a connection, which alone makes it unreached. Some others are
    /// in doubt too, as only a connection opened since tells whether the fault is this host's.
    pub fn record_refused(&mut self, now: Duration, id: &name::Upstream) -> Option<Change> {
        self.is_returning = false;
        let replica = self.replicas.get_mut(id)?;
        replica.reach.doubt(now);
        let is_new = replica.reach.record_failed(now);
        self.doubt_others(now, now);
        is_new.then(|| Change::Lost(id.clone()))
    }

    /// Puts some upstreams in doubt that are not, so that they are probed now, unless a connection to
    /// one of these was opened since a time.
    fn doubt_others(&mut self, now: Duration, since: Duration) {
        let is_undoubted = |replica: &&mut Replica| !replica.reach.is_doubted();
        let others = self.replicas.values_mut().filter(is_undoubted);
        let (mut others, opened): (Vec<_>, Vec<_>) =
            others.partition(|replica| replica.reach.opened_at() < Some(since));
        if !opened.is_empty() {
            return;
        }
        others.sort_by_key(|replica| affinity::mix(replica.point ^ since.as_nanos() as u64));
        for replica in others.into_iter().take(DOUBTED_BESIDE_LOST) {
            replica.reach.doubt_at_once(now);
        }
    }

    /// The upstreams to which a connection is to be opened now, to find out whether that is possible.
    /// Those that could not be reached are tried in turn, and all of them once one was reached.
    pub fn due_probes(&mut self, now: Duration) -> Vec<(name::Upstream, SocketAddr)> {
        let mut due = Vec::new();
        let is_any_reached = self
            .replicas
            .values()
            .any(|replica| !replica.reach.is_lost());
        for replica in self.replicas.values_mut() {
            if replica.reach.is_probe_due(now) {
                replica.reach.start_probe(now);
                due.push((replica.entry.id.clone(), replica.entry.address));
            }
        }
        if now < self.next_probe_at {
            return due;
        }
        let lost = self.replicas.values_mut();
        let lost = lost.filter(|replica| replica.reach.is_lost() && !replica.reach.is_probing());
        let mut lost: Vec<_> = lost.collect();
        if lost.is_empty() {
            return due;
        }
        let lost_for = lost
            .iter()
            .filter_map(|replica| replica.reach.lost_for(now));
        let lost_for = lost_for.min().unwrap_or_default();
        lost.sort_by_key(|replica| replica.reach.probed_at());
        lost.truncate(if self.is_returning { MAX_PROBES } else { 1 });
        for replica in lost {
            replica.reach.start_probe(now);
            due.push((replica.entry.id.clone(), replica.entry.address));
        }
        let interval = if is_any_reached {
            (lost_for / 2).clamp(PROBE_INTERVAL.0, PROBE_INTERVAL.1)
        } else {
            CUT_OFF_PROBE_INTERVAL
        };
        self.next_probe_at = now + interval;
        due
    }

    /// Whether upstreams are known, and no connection to any of them can be opened.
    pub fn is_cut_off(&self) -> bool {
        let mut replicas = self.replicas.values().peekable();
        replicas.peek().is_some() && replicas.all(|replica| replica.reach.is_lost())
    }

    /// Whether a connection to another upstream than this one was opened since a time. True where
    /// there is no other.
    pub fn has_opened_another_since(&self, at: Duration, id: &name::Upstream) -> bool {
        let is_other = |replica: &&Replica| replica.entry.id != *id;
        let mut others = self.replicas.values().filter(is_other).peekable();
        others.peek().is_none() || others.any(|replica| replica.reach.opened_at() >= Some(at))
    }

    /// Adds the time of a complete answer of a plain service to its pool's average.
    pub fn observe_service_time(&mut self, pool: &name::Pool, millis: f64) {
        let estimates = self.estimates_mut(pool);
        estimates.service_ms += POOL_EWMA_WEIGHT * (millis - estimates.service_ms);
    }
}
