//! The router: state of the region's pools and replicas as known to one host, and the decisions
//! that follow from it.
//!
//! [`Router::choose`] applies the eligibility rules, compares the best pool of this region with the
//! other regions, and either spills the request or chooses a replica. The other methods feed it
//! with configuration, lists, load reports, digests and the outcomes of requests.

use {
    super::{
        affinity::{self, Hints},
        eject::Health,
        eligible,
        load::Report,
        options::Options,
        reach::{Change, Neighbours, Unreached},
        replica::{Replica, Upstream},
        request::{Choice, Reason, Refusal, Request, RunnerUp},
        select::{self, Candidate, Members, Total},
        spill::{Digest, Estimate, Regions, Summary, Target},
    },
    crate::{config::Snapshot, name, queue::Engines, rest::Turn},
    rand::{SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Number of runners-up that a choice lists.
const MAX_RUNNERS_UP: usize = 2;
/// Weight of the newest answer in the moving average of a pool's service time.
const SERVICE_EWMA_WEIGHT: f64 = 0.05;
/// Number of shards of a large pool that each replica is in.
const SHARDS_PER_REPLICA: usize = 2;
/// Number of upstreams that a trial of a pool connects to.
const TRIAL_UPSTREAMS: usize = 8;

/// Name and location of this host.
#[derive(Debug, Clone)]
pub struct Home {
    /// Name of the host.
    pub host: name::Host,
    /// Region that the host is in.
    pub region: name::Region,
}

/// Chooses region, pool and replica for requests. Does no input or output.
#[derive(Debug)]
pub struct Router {
    home: Home,
    options: Options,
    snapshot: Arc<Snapshot>,
    pools: BTreeMap<name::Pool, Members>,
    pool_by_upstream: BTreeMap<name::Upstream, name::Pool>,
    hints: Hints,
    regions: Regions,
    neighbours: Neighbours,
    trial_count: usize,
    rank: u32,
    host_count: u32,
    has_list: bool,
    rng: StdRng,
    candidates: Vec<Candidate>,
}

impl Router {
    /// Creates a router without configuration or upstreams; `seed` is that of its random choices.
    pub fn new(home: Home, options: Options, seed: u64) -> Self {
        Self {
            home,
            options,
            snapshot: Arc::default(),
            pools: BTreeMap::new(),
            pool_by_upstream: BTreeMap::new(),
            hints: Hints::default(),
            regions: Regions::default(),
            neighbours: Neighbours::default(),
            trial_count: 0,
            rank: 0,
            host_count: 1,
            has_list: false,
            rng: StdRng::seed_from_u64(seed),
            candidates: Vec::new(),
        }
    }

    /// Puts a configuration in force.
    pub fn set_config(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = snapshot;
    }

    /// Sets the number of hosts in the region and the rank of this one among them.
    pub fn set_hosts(&mut self, rank: u32, count: u32) {
        self.rank = rank;
        self.host_count = count.max(1);
    }

    /// Sets the other hosts of the region.
    pub fn set_neighbours(&mut self, hosts: Vec<name::Host>) {
        self.neighbours.set_hosts(hosts);
    }

    /// Takes over the whole list of upstreams, from the configuration and the host list together.
    /// Upstreams of other regions are ignored. An upstream that is new after the first list is
    /// cold.
    pub fn set_upstreams(&mut self, now: Duration, list: &[Upstream]) {
        let cold_since = self.has_list.then_some(now);
        self.has_list = self.has_list || !list.is_empty();
        let mut old = std::mem::take(&mut self.pools);
        self.pool_by_upstream.clear();
        for (name, listed) in self.by_pool(list) {
            let slots = self.snapshot.pools[&name].slots;
            let service = self.options.initial_service_time;
            let known = old.remove(&name).unwrap_or_else(|| Members::new(service));
            let followed = self.own_shard(&listed);
            let replicas = followed
                .iter()
                .map(|listed| match known.position(&listed.name) {
                    Some(index) => {
                        let mut replica = known.replicas[index].clone();
                        replica.update_listing(now, listed);
                        replica
                    }
                    None => Replica::new(listed, slots, known.service_time, cold_since),
                })
                .collect();
            for listed in &followed {
                self.pool_by_upstream
                    .insert(listed.name.clone(), name.clone());
            }
            let members = Members {
                replicas,
                replica_ratio: listed.len() as f64 / followed.len() as f64,
                ..known
            };
            self.pools.insert(name, members);
        }
    }

    /// Groups the upstreams of this region by pool, sorted by name and without duplicates.
    fn by_pool<'a>(&self, list: &'a [Upstream]) -> BTreeMap<name::Pool, Vec<&'a Upstream>> {
        let mut pools: BTreeMap<name::Pool, Vec<&Upstream>> = BTreeMap::new();
        for listed in list {
            let pool = self.snapshot.pools.get(&listed.pool);
            if pool.is_some_and(|pool| pool.region == self.home.region) {
                pools.entry(listed.pool.clone()).or_default().push(listed);
            }
        }
        for listed in pools.values_mut() {
            listed.sort_by(|one, other| one.name.cmp(&other.name));
            listed.dedup_by(|one, other| one.name == other.name);
        }
        pools
    }

    /// The upstreams of a pool that this host follows: all of a small pool, one shard of a large
    /// one. Every replica is in [`SHARDS_PER_REPLICA`] shards and hosts take the shards in turn, so
    /// that the load of the shards evens out.
    fn own_shard<'a>(&self, listed: &[&'a Upstream]) -> Vec<&'a Upstream> {
        let shard_size = self.options.max_followed;
        if listed.len() <= shard_size {
            return listed.to_vec();
        }
        let shards = (listed.len() * SHARDS_PER_REPLICA).div_ceil(shard_size) as u64;
        let shard = u64::from(self.rank) % shards;
        let is_in_shard = |listed: &&&Upstream| {
            let hash = affinity::hash(listed.name.as_str().as_bytes());
            let own_weight = affinity::weight(affinity::mix(shard), hash);
            let higher = (0..shards)
                .filter(|other| affinity::weight(affinity::mix(*other), hash) > own_weight)
                .count();
            higher < SHARDS_PER_REPLICA
        };
        listed.iter().filter(is_in_shard).copied().collect()
    }

    /// The upstreams that this host follows, with their pools.
    pub fn followed(&self) -> impl Iterator<Item = (&name::Upstream, &name::Pool)> {
        self.pool_by_upstream.iter()
    }

    /// Takes over an upstream's load report.
    pub fn apply_report(&mut self, now: Duration, upstream: &name::Upstream, report: &Report) {
        let options = self.options.clone();
        if let Some((replica, _)) = self.replica_mut(upstream) {
            replica.apply_report(now, report, &options);
        }
    }

    /// Records a cache event: an upstream holds a prefix, or has dropped it.
    pub fn apply_cache_event(
        &mut self,
        now: Duration,
        upstream: &name::Upstream,
        prefix: u64,
        is_held: bool,
    ) {
        let hash = affinity::hash(upstream.as_str().as_bytes());
        if is_held {
            self.hints.record_held(now, prefix, hash);
        } else {
            self.hints.record_dropped(prefix, hash);
        }
    }

    /// Takes over the digest of another region, or what a neighbour says that it can't reach.
    pub fn apply_digest(&mut self, now: Duration, digest: Digest) {
        if digest.region != self.home.region {
            self.regions.record_digest(now, digest);
            return;
        }
        for (host, pools) in digest.unreached {
            self.neighbours.record(now, host, pools);
        }
    }

    /// Whether a host of any region can connect to a pool there, as far as is known.
    pub fn reaches(
        &self,
        now: Duration,
        region: &name::Region,
        host: &name::Host,
        pool: &name::Pool,
    ) -> bool {
        if *region == self.home.region {
            self.neighbours.reaches(now, host, pool)
        } else {
            let regions = &self.regions;
            regions.reaches(now, region, host, pool, &self.options)
        }
    }

    /// The pools of this region that this host can't connect to.
    pub fn unreached_pools(&self) -> BTreeSet<name::Pool> {
        let pools = self.pools.iter();
        let lost = pools.filter(|(_, members)| !members.contact.is_held());
        lost.map(|(pool, _)| pool.clone()).collect()
    }

    /// The hosts of this region that can't connect to some pool of it, with these pools.
    pub fn unreached(&self, now: Duration) -> Unreached {
        let mut unreached = self.neighbours.unreached(now);
        let own = self.unreached_pools();
        if !own.is_empty() {
            unreached.insert(self.home.host.clone(), own);
        }
        unreached
    }

    /// The message that tells the neighbours what this host can't connect to.
    pub fn own_statement(&self) -> Digest {
        Digest {
            region: self.home.region.clone(),
            pools: BTreeMap::new(),
            unreached: BTreeMap::from([(self.home.host.clone(), self.unreached_pools())]),
        }
    }

    /// The pools to try to connect to now, with upstreams of each.
    pub fn begin_trials(&mut self, now: Duration) -> Vec<(name::Pool, Vec<name::Upstream>)> {
        let mut trials = Vec::new();
        for (pool, members) in &mut self.pools {
            if !members.contact.begin_trial(now) {
                continue;
            }
            let serving: Vec<_> = members
                .replicas
                .iter()
                .filter(|replica| replica.serves(None, self.options.mutant))
                .collect();
            if serving.is_empty() {
                continue;
            }
            self.trial_count += 1;
            let count = serving.len().min(TRIAL_UPSTREAMS);
            let first = self.trial_count * TRIAL_UPSTREAMS % serving.len();
            let tried = serving.iter().cycle().skip(first).take(count);
            let upstreams = tried.map(|replica| replica.name.clone()).collect();
            trials.push((pool.clone(), upstreams));
        }
        trials
    }

    /// Records whether a trial of a pool has opened a connection.
    pub fn record_trial(
        &mut self,
        now: Duration,
        pool: &name::Pool,
        is_reached: bool,
    ) -> Option<Change> {
        let members = self.pools.get_mut(pool)?;
        let change = members.contact.record_trial(now, is_reached);
        if matches!(change, Some(Change::Regained { .. })) {
            // The failures were not the replicas' fault.
            let replicas = members.replicas.iter_mut();
            replicas.for_each(|replica| replica.health = Health::default());
        }
        change
    }

    /// Sets how long a request waits in this host's own queue for a pool.
    pub fn set_backlog(&mut self, pool: &name::Pool, wait: Duration) {
        if let Some(members) = self.pools.get_mut(pool) {
            members.backlog = wait;
        }
    }

    /// Slots and load of a pool's engines together, as estimated by this host.
    pub fn engines(&self, now: Duration, pool: &name::Pool) -> Engines {
        let members = self.pools.get(pool);
        let members = members.filter(|members| members.contact.is_usable(now));
        let slots = members.map_or(0.0, |members| members.slots(now, &self.options));
        let total = members.map(|members| members.total(now, None, &self.options));
        Engines {
            slots,
            outstanding: total.map_or(0.0, |total| total.outstanding),
        }
    }

    /// Number of hosts in the region.
    pub fn host_count(&self) -> u32 {
        self.host_count
    }

    /// Builds the digest of this region for the other regions.
    pub fn own_digest(&self, now: Duration) -> Digest {
        let pools = self.pools.iter().map(|(name, members)| {
            let total = match members.contact.is_held() {
                true => members.total(now, None, &self.options),
                false => Total::default(),
            };
            let summary = Summary {
                live: total.live,
                capacity: total.capacity as f32,
                outstanding: total.outstanding as f32,
                service_ms: members.service_time.as_millis() as u32,
                backlog_ms: members.backlog.as_millis() as u32,
            };
            (name.clone(), summary)
        });
        Digest {
            region: self.home.region.clone(),
            pools: pools.collect(),
            unreached: self.unreached(now),
        }
    }

    /// Records that a request was sent to an upstream.
    pub fn record_sent(&mut self, now: Duration, upstream: &name::Upstream, request: &Request<'_>) {
        let hash = affinity::hash(upstream.as_str().as_bytes());
        let tokens = self.uncached_tokens(now, hash, request);
        let prefill_rate = self.options.prefill_tokens_per_s;
        let Some((replica, _)) = self.replica_mut(upstream) else {
            return;
        };
        replica.load.record_sent(now);
        replica.health.record_sent(now);
        replica.rest.record_send(now);
        replica.prefill.add(now, tokens, prefill_rate);
        if let Some(prefix) = request.prefix {
            self.hints.record_held(now, prefix.hash, hash);
        }
        if let Some(members) = self.members_mut(upstream) {
            members.contact.record_sent(now);
        }
    }

    /// Whether an upstream is listed, not leaving and not at rest.
    pub fn accepts(&self, now: Duration, upstream: &name::Upstream) -> bool {
        let pool = self.pool_by_upstream.get(upstream);
        let members = pool.and_then(|pool| self.pools.get(pool));
        members.is_some_and(|members| {
            let replica = members.position(upstream).map(|at| &members.replicas[at]);
            replica.is_some_and(|replica| {
                replica.serves(None, self.options.mutant) && replica.rest.is_over(now)
            })
        })
    }

    /// Records that an upstream has turned a request away and asks for rest. Returns how long it gets,
    /// unless it has as much already.
    pub fn record_rest(
        &mut self,
        now: Duration,
        upstream: &name::Upstream,
        asked: Duration,
    ) -> Option<Duration> {
        let own = affinity::hash(self.home.host.as_str().as_bytes());
        let (replica, _) = self.replica_mut(upstream)?;
        let turn = Turn::from_hash(affinity::weight(own, replica.hash));
        replica.record_rest(now, asked, turn)
    }

    /// Records that the head of a request's answer arrived.
    pub fn record_head(&mut self, now: Duration, upstream: &name::Upstream) {
        if let Some(members) = self.members_mut(upstream) {
            members.contact.record_head(now);
        }
    }

    /// Records that a request ended without the head of an answer.
    pub fn record_headless(&mut self, upstream: &name::Upstream, has_failed: bool) {
        if let Some(members) = self.members_mut(upstream) {
            members.contact.record_headless(has_failed);
        }
    }

    /// Records that a request was answered, `took` after it was sent.
    pub fn record_finished(&mut self, now: Duration, upstream: &name::Upstream, took: Duration) {
        let Some((replica, service)) = self.replica_mut(upstream) else {
            return;
        };
        replica.load.record_ended(now);
        replica.rest.record_answer(now);
        replica.record_answer(took);
        if replica.health.record_success() {
            replica.begin_slow_start(now);
        }
        let mean = service.as_secs_f64() * (1.0 - SERVICE_EWMA_WEIGHT);
        *service = Duration::from_secs_f64(mean + took.as_secs_f64() * SERVICE_EWMA_WEIGHT);
    }

    /// Records that a request failed through the upstream's fault.
    pub fn record_failed(&mut self, now: Duration, upstream: &name::Upstream) {
        let options = self.options.clone();
        if let Some((replica, _)) = self.replica_mut(upstream) {
            replica.load.record_ended(now);
            replica.health.record_failure(now, &options);
        }
    }

    /// Records that a request ended without an outcome for the upstream, as when its caller left.
    pub fn record_withdrawn(&mut self, now: Duration, upstream: &name::Upstream) {
        if let Some((replica, _)) = self.replica_mut(upstream) {
            replica.load.record_ended(now);
            replica.health.record_withdrawn();
        }
    }

    /// Prompt tokens that are not expected in a replica's cache.
    fn uncached_tokens(&self, now: Duration, replica: u64, request: &Request<'_>) -> u32 {
        let ttl = self.options.hint_ttl;
        let cached_prefix = request
            .prefix
            .filter(|prefix| self.hints.is_held_by(now, prefix.hash, replica, ttl));
        let cached_tokens = cached_prefix.map_or(0, |prefix| prefix.tokens);
        request.prompt_tokens.saturating_sub(cached_tokens)
    }

    fn replica_mut(&mut self, upstream: &name::Upstream) -> Option<(&mut Replica, &mut Duration)> {
        let members = self.members_mut(upstream)?;
        let index = members.position(upstream)?;
        Some((&mut members.replicas[index], &mut members.service_time))
    }

    fn members_mut(&mut self, upstream: &name::Upstream) -> Option<&mut Members> {
        self.pools.get_mut(self.pool_by_upstream.get(upstream)?)
    }

    /// Chooses the region, pool and replica for a request. On-demand pools are considered if the
    /// request allows them, or if nothing else is available.
    pub fn choose(&mut self, now: Duration, request: &Request<'_>) -> Result<Choice, Refusal> {
        let mutant = self.options.mutant;
        eligible::check_access(request)?;
        eligible::check_loop(request, &self.home.host, mutant)?;
        let paid = self.choose_among(now, request, request.on_demand);
        match paid {
            Err(Refusal::Unavailable | Refusal::Unreached) if !request.on_demand => {
                self.choose_among(now, request, true)
            }
            other => other,
        }
    }

    fn choose_among(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        on_demand: bool,
    ) -> Result<Choice, Refusal> {
        let is_resident = eligible::is_resident(request, &self.home.region, self.options.mutant);
        if !is_resident {
            return self.forward(now, request, on_demand, Reason::Residency);
        }
        let Some(local) = self.best_local(now, request, on_demand) else {
            let Some(pool) = self.lost_pool(request, on_demand) else {
                return self.forward(now, request, on_demand, Reason::Absent);
            };
            return match self.choose_neighbour(now, request, pool) {
                Some(choice) => Ok(choice),
                None => self.choose_without_neighbours(now, request, on_demand),
            };
        };
        if let Some(choice) = self.try_spill(now, request, on_demand, &local) {
            return Ok(choice);
        }
        self.choose_replica(now, request, &local.pool)
            .ok_or(Refusal::Unavailable)
    }

    /// Chooses another region for a request that no neighbour can serve. If there is none, a pool
    /// that has only just gone out of reach is still used.
    pub fn choose_without_neighbours(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        on_demand: bool,
    ) -> Result<Choice, Refusal> {
        let remote = self.forward(now, request, on_demand, Reason::Unreached);
        if remote != Err(Refusal::Unreached) {
            return remote;
        }
        let pool = self.lost_pool(request, on_demand);
        let usable = pool.filter(|pool| self.pools[pool].contact.is_usable(now));
        usable
            .and_then(|pool| self.choose_replica(now, request, &pool))
            .ok_or(Refusal::Unreached)
    }

    /// A pool of this region for a request, to which this host can't connect.
    fn lost_pool(&self, request: &Request<'_>, on_demand: bool) -> Option<name::Pool> {
        eligible::usable_pools(request, &self.snapshot, on_demand)
            .find(|pool| {
                let members = self.pools.get(&pool.name);
                members.is_some_and(|members| !members.contact.is_held())
            })
            .map(|pool| pool.name.clone())
    }

    /// Leaves a request to a neighbour that can connect to the pool, if there is one.
    fn choose_neighbour(
        &self,
        now: Duration,
        request: &Request<'_>,
        pool: name::Pool,
    ) -> Option<Choice> {
        let is_new = |host: &&name::Host| !request.hosts.contains(host);
        let is_left = self
            .neighbours
            .reaching(now, &pool)
            .any(|host| is_new(&host));
        (request.hops_left > 0 && is_left).then(|| Choice {
            region: self.home.region.clone(),
            pool,
            upstream: None,
            reason: Reason::Unreached,
            runners_up: Vec::new(),
        })
    }

    /// The pool of this region with the least expected delay that is in reach and has a replica not tried yet.
    fn best_local(&self, now: Duration, request: &Request<'_>, on_demand: bool) -> Option<Target> {
        let model = request.route.model.as_ref();
        eligible::usable_pools(request, &self.snapshot, on_demand)
            .filter_map(|pool| {
                let members = self.pools.get(&pool.name)?;
                if !members.contact.is_held() {
                    return None;
                }
                let total = members.total(now, model, &self.options);
                let has_untried = self.has_untried(now, request, members);
                let target = || Target {
                    region: self.home.region.clone(),
                    pool: pool.name.clone(),
                    cost_s: members.wait_s(&total, &self.options),
                };
                let delay = members.delay_s(&total, &self.options);
                (total.live > 0 && has_untried).then(|| (delay, target()))
            })
            .min_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(_, target)| target)
    }

    fn has_untried(&self, now: Duration, request: &Request<'_>, members: &Members) -> bool {
        let model = request.route.model.as_ref();
        request.tried.is_empty()
            || members
                .usable(now, model, &self.options)
                .any(|(_, replica)| !request.tried.contains(&replica.name))
    }

    /// Spills the request if another region gains enough time over the `local` pool. A request that
    /// was forwarded here is not spilled again.
    fn try_spill(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        on_demand: bool,
        local: &Target,
    ) -> Option<Choice> {
        let is_forwarded = !request.visited.is_empty() || !request.hosts.is_empty();
        if is_forwarded || request.hops_left == 0 {
            return None;
        }
        let (best, _) = self.best_remote(now, request, on_demand);
        let best = best?;
        let gain = local.cost_s + self.local_prefill_s(now, request) - best.cost_s;
        if !self.regions.should_spill(&local.pool, gain, &self.options) {
            return None;
        }
        self.forward_to(now, request, best, Reason::Spill, vec![runner_up(local)])
            .ok()
    }

    /// Cost of prefilling the request's prefix in this region, in seconds; zero if it is cached.
    fn local_prefill_s(&self, now: Duration, request: &Request<'_>) -> f64 {
        let ttl = self.options.hint_ttl;
        request.prefix.map_or(0.0, |prefix| {
            match self.hints.is_held(now, prefix.hash, ttl) {
                true => 0.0,
                false => self.options.prefill_cost_s(f64::from(prefix.tokens)),
            }
        })
    }

    /// Cost of prefilling the request's prefix in another region, in seconds; zero if it is cached.
    fn remote_prefill_s(&self, now: Duration, request: &Request<'_>, region: &name::Region) -> f64 {
        let ttl = self.options.hint_ttl;
        request.prefix.map_or(0.0, |prefix| {
            match self.regions.is_held_by(now, region, prefix.hash, ttl) {
                true => 0.0,
                false => self.options.prefill_cost_s(f64::from(prefix.tokens)),
            }
        })
    }

    /// Forwards a request that this region cannot serve.
    fn forward(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        on_demand: bool,
        reason: Reason,
    ) -> Result<Choice, Refusal> {
        let (known, unknown) = self.best_remote(now, request, on_demand);
        if let Some(target) = known.or(unknown) {
            return self.forward_to(now, request, target, reason, Vec::new());
        }
        if reason == Reason::Unreached {
            return Err(Refusal::Unreached);
        }
        if request.hops_left == 0 {
            return Err(Refusal::Hops);
        }
        let has_resident_pool = eligible::usable_pools(request, &self.snapshot, true)
            .any(|pool| eligible::is_resident(request, &pool.region, self.options.mutant));
        Err(match has_resident_pool {
            true => Refusal::Unavailable,
            false => Refusal::Residency,
        })
    }

    fn forward_to(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        target: Target,
        reason: Reason,
        runners_up: Vec<RunnerUp>,
    ) -> Result<Choice, Refusal> {
        let bytes = request.bytes;
        let prefix = request.prefix.map(|prefix| prefix.hash);
        let region = &target.region;
        let is_within_budget =
            self.regions
                .try_forward(now, region, bytes, prefix, self.host_count, &self.options);
        if !is_within_budget {
            return Err(Refusal::Link);
        }
        Ok(Choice {
            region: target.region,
            pool: target.pool,
            upstream: None,
            reason,
            runners_up,
        })
    }

    /// The best other region whose load is known, and the first one whose load is not.
    fn best_remote(
        &self,
        now: Duration,
        request: &Request<'_>,
        on_demand: bool,
    ) -> (Option<Target>, Option<Target>) {
        let mutant = self.options.mutant;
        let mut known: Option<Target> = None;
        let mut unknown = None;
        for pool in eligible::usable_pools(request, &self.snapshot, on_demand) {
            let region = &pool.region;
            let is_eligible = eligible::is_resident(request, region, mutant)
                && eligible::is_reachable(request, &self.home.region, region, mutant);
            if !is_eligible {
                continue;
            }
            let estimate = self.regions.estimate_delay(
                now,
                region,
                &pool.name,
                self.host_count,
                &self.options,
            );
            let target = |cost| Target {
                region: region.clone(),
                pool: pool.name.clone(),
                cost_s: cost,
            };
            match estimate {
                Some(Estimate::Seconds(cost)) => {
                    let cost = cost + self.remote_prefill_s(now, request, region);
                    if known.as_ref().is_none_or(|best| cost < best.cost_s) {
                        known = Some(target(cost));
                    }
                }
                Some(Estimate::Unknown) if unknown.is_none() => {
                    unknown = Some(target(f64::INFINITY));
                }
                _ => {}
            }
        }
        (known, unknown)
    }

    /// Chooses a replica of a pool of this region; `None` if no usable one is left.
    pub fn choose_replica(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        pool: &name::Pool,
    ) -> Option<Choice> {
        let members = self.pools.get(pool)?;
        select::rank(
            now,
            members,
            request,
            &self.hints,
            &self.options,
            &mut self.rng,
            &mut self.candidates,
        );
        let best = self.candidates.first()?;
        let upstream = |candidate: &Candidate| members.replicas[candidate.index].name.clone();
        let runners_up = self.candidates[1..]
            .iter()
            .take(MAX_RUNNERS_UP)
            .map(|candidate| RunnerUp {
                region: self.home.region.clone(),
                upstream: Some(upstream(candidate)),
                cost_ms: (candidate.cost_s * 1_000.0) as u64,
            });
        Some(Choice {
            region: self.home.region.clone(),
            pool: pool.clone(),
            upstream: Some(upstream(best)),
            reason: best.reason,
            runners_up: runners_up.collect(),
        })
    }
}

fn runner_up(target: &Target) -> RunnerUp {
    RunnerUp {
        region: target.region.clone(),
        upstream: None,
        cost_ms: (target.cost_s * 1_000.0) as u64,
    }
}
