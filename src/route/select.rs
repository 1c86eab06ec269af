//! Choice of a replica within a pool: compares the replicas that may hold the prompt's prefix with
//! a few random ones by expected delay.

use {
    super::{
        affinity::{self, Hints},
        eject::Standing,
        options::Options,
        reach::Contact,
        replica::{self, Replica},
        request::{Prefix, Reason, Request},
    },
    crate::name,
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Number of candidates taken in the prefix's rendezvous order.
const AFFINITY_CANDIDATES: usize = 2;
/// Number of candidates drawn at random.
const RANDOM_CANDIDATES: usize = 2;
/// Requests over the load bound that affinity always allows, so that it also works in idle pools.
const BOUND_SLACK: f64 = 1.0;
/// Share of a cached prefix's gain that is expected at the replica that the prefix hashes to, if no
/// hint says that the replica holds it.
const HASHED_PREFIX_SHARE: f64 = 0.5;

/// The replicas of one pool that this host follows.
#[derive(Debug, Clone)]
pub(super) struct Members {
    /// The replicas, sorted by name.
    pub(super) replicas: Vec<Replica>,
    /// Moving average of the time of an answer.
    pub(super) service_time: Duration,
    /// How long a request waits in this host's own queue for the pool.
    pub(super) backlog: Duration,
    /// Number of the pool's replicas for each one that is followed.
    pub(super) replica_ratio: f64,
    /// Whether this host can connect to the replicas.
    pub(super) contact: Contact,
}

impl Members {
    /// Creates a pool without replicas.
    pub(super) fn new(service: Duration) -> Self {
        Self {
            replicas: Vec::new(),
            service_time: service,
            backlog: Duration::ZERO,
            replica_ratio: 1.0,
            contact: Contact::default(),
        }
    }

    /// Index of a replica in [`Self::replicas`].
    pub(super) fn position(&self, name: &name::Upstream) -> Option<usize> {
        self.replicas
            .binary_search_by(|replica| replica.name.cmp(name))
            .ok()
    }

    /// Capacity and load of the usable replicas, extrapolated to those that are not followed.
    pub(super) fn total(
        &self,
        now: Duration,
        model: Option<&name::Model>,
        options: &Options,
    ) -> Total {
        let mut total = Total::default();
        for (_, replica) in self.usable(now, model, options) {
            total.live += 1;
            total.capacity += replica.capacity(now, options) * self.replica_ratio;
            total.outstanding += replica.outstanding(now, options) * self.replica_ratio;
        }
        total
    }

    /// Number of requests that the usable replicas can run at once, without regard to slow start.
    pub(super) fn slots(&self, now: Duration, options: &Options) -> f64 {
        let usable = self.usable(now, None, options);
        let slots: u32 = usable.map(|(_, replica)| replica.slots()).sum();
        f64::from(slots) * self.replica_ratio
    }

    /// The replicas that can take requests for `model` and are not at rest, with their indices. When
    /// too many are ejected, ejections are ignored, as the cause is then hardly the replicas themselves.
    pub(super) fn usable(
        &self,
        now: Duration,
        model: Option<&name::Model>,
        options: &Options,
    ) -> impl Iterator<Item = (usize, &Replica)> {
        let is_serving = move |replica: &&Replica| {
            replica.serves(model, options.mutant) && replica.has_rested(now)
        };
        let is_ejected = move |replica: &&Replica| replica.standing(now) == Standing::Ejected;
        let serving_count = self.replicas.iter().filter(is_serving).count();
        let ejected_count = self
            .replicas
            .iter()
            .filter(is_serving)
            .filter(is_ejected)
            .count();
        let ignored = ejected_count as f64 > serving_count as f64 * options.max_ejected_share;
        self.replicas
            .iter()
            .enumerate()
            .filter(move |(_, replica)| is_serving(replica) && (ignored || !is_ejected(replica)))
    }

    /// Expected wait of one more request before it starts, in seconds.
    pub(super) fn wait_s(&self, total: &Total, options: &Options) -> f64 {
        let utilization = total.outstanding / total.capacity;
        replica::wait_s(utilization, self.service_time, options) + self.backlog.as_secs_f64()
    }

    /// Expected delay of one more request, in seconds.
    pub(super) fn delay_s(&self, total: &Total, options: &Options) -> f64 {
        let utilization = total.outstanding / total.capacity;
        replica::delay_s(utilization, self.service_time, options) + self.backlog.as_secs_f64()
    }
}

/// Capacity and load of a pool's usable replicas.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Total {
    /// Number of usable replicas that are followed.
    pub(super) live: u32,
    /// Number of requests that the replicas should run at once.
    pub(super) capacity: f64,
    /// Estimated number of requests in the replicas.
    pub(super) outstanding: f64,
}

/// A replica that a request may be sent to.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    /// Index of the replica among the members.
    pub(super) index: usize,
    /// Reason that a choice of this candidate would have.
    pub(super) reason: Reason,
    /// Expected delay, in seconds.
    pub(super) cost_s: f64,
    weight: u64,
    utilization: f64,
    outstanding: f64,
}

/// Fills `candidates` with the candidates for a request, ordered by expected delay.
pub(super) fn rank(
    now: Duration,
    members: &Members,
    request: &Request<'_>,
    hints: &Hints,
    options: &Options,
    rng: &mut impl Rng,
    candidates: &mut Vec<Candidate>,
) {
    let view = View {
        now,
        members,
        hints,
        options,
        prefix: request.prefix,
    };
    view.collect(request, candidates);
    if candidates.is_empty() {
        return;
    }
    view.shortlist(rng, candidates);
    candidates.sort_by(|one, other| one.cost_s.total_cmp(&other.cost_s));
}

struct View<'a> {
    now: Duration,
    members: &'a Members,
    hints: &'a Hints,
    options: &'a Options,
    prefix: Option<Prefix>,
}

impl View<'_> {
    /// Fills `candidates` with the usable replicas that the request has not been sent to yet.
    fn collect(&self, request: &Request<'_>, candidates: &mut Vec<Candidate>) {
        candidates.clear();
        let model = request.route.model.as_ref();
        let untried = self
            .members
            .usable(self.now, model, self.options)
            .filter(|(_, replica)| !request.tried.contains(&replica.name));
        candidates.extend(untried.map(|(index, replica)| self.candidate(index, replica)));
    }

    fn candidate(&self, index: usize, replica: &Replica) -> Candidate {
        let is_probe = replica.standing(self.now) == Standing::Probe;
        let outstanding = replica.outstanding(self.now, self.options);
        let utilization = replica.utilization(self.now, self.options);
        Candidate {
            index,
            reason: if is_probe {
                Reason::Probe
            } else {
                Reason::Load
            },
            cost_s: replica.delay_s(self.now, self.members.service_time, self.options),
            weight: self
                .prefix
                .map_or(0, |prefix| affinity::weight(prefix.hash, replica.hash)),
            utilization,
            outstanding,
        }
    }

    /// Reduces the candidates to those that may hold the prefix and a few random ones, so that
    /// hosts with the same lagging view do not all choose the same replica.
    fn shortlist(&self, rng: &mut impl Rng, candidates: &mut Vec<Candidate>) {
        let sampled: [usize; RANDOM_CANDIDATES] =
            std::array::from_fn(|_| rng.random_range(0..candidates.len()));
        let Some(prefix) = self.prefix else {
            retain_at(candidates, &sampled);
            return;
        };
        let mut kept = [usize::MAX; RANDOM_CANDIDATES + AFFINITY_CANDIDATES];
        kept[..RANDOM_CANDIDATES].copy_from_slice(&sampled);
        self.affinity_order(prefix, candidates, &mut kept[RANDOM_CANDIDATES..]);
        let missing = self.options.prefill_cost_s(f64::from(prefix.tokens));
        for (index, candidate) in candidates.iter_mut().enumerate() {
            let replica = &self.members.replicas[candidate.index];
            let ttl = self.options.hint_ttl;
            if self
                .hints
                .is_held_by(self.now, prefix.hash, replica.hash, ttl)
            {
                candidate.reason = Reason::Cached;
            } else if kept.get(RANDOM_CANDIDATES) == Some(&index) {
                candidate.reason = Reason::Affinity;
                candidate.cost_s += missing * (1.0 - HASHED_PREFIX_SHARE);
            } else {
                candidate.cost_s += missing;
            }
        }
        let mut index = 0;
        candidates.retain(|candidate| {
            let chosen = kept.contains(&index) || candidate.reason == Reason::Cached;
            index += 1;
            chosen
        });
    }

    /// Fills `places` with the first candidates in the prefix's rendezvous order whose load is
    /// within the bound and whose slow start already admits the prefix.
    fn affinity_order(&self, prefix: Prefix, candidates: &[Candidate], places: &mut [usize]) {
        let mean = candidates
            .iter()
            .map(|candidate| candidate.utilization)
            .sum::<f64>()
            / candidates.len() as f64;
        let is_within_bound = |candidate: &Candidate| {
            let replica = &self.members.replicas[candidate.index];
            let ramp = replica.ramp(self.now, self.options);
            let capacity = candidate.outstanding / candidate.utilization.max(f64::MIN_POSITIVE);
            let bound = mean * self.options.load_bound * capacity + BOUND_SLACK;
            candidate.outstanding <= bound && affinity::is_admitted(prefix.hash, replica.hash, ramp)
        };
        for rank in 0..places.len() {
            let chosen = &places[..rank];
            let best = (0..candidates.len())
                .filter(|place| !chosen.contains(place) && is_within_bound(&candidates[*place]))
                .max_by_key(|place| candidates[*place].weight);
            places[rank] = best.unwrap_or(usize::MAX);
        }
    }
}

fn retain_at(candidates: &mut Vec<Candidate>, places: &[usize]) {
    let mut index = 0;
    candidates.retain(|_| {
        let chosen = places.contains(&index);
        index += 1;
        chosen
    });
}
