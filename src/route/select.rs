//! The choice of a replica within a pool.

use {
    super::{
        affinity::{self, Hints},
        eject::Standing,
        options::Options,
        replica::{self, Replica},
        request::{Prefix, Reason, Request},
    },
    crate::name,
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Replicas that are looked at in the prefix's rendezvous order.
const AFFINITY_CANDIDATES: usize = 2;
/// Replicas that are looked at by lot.
const RANDOM_CANDIDATES: usize = 2;
/// Requests over the bounded load that affinity always allows, so that idle pools keep it.
const BOUND_SLACK: f64 = 1.0;
/// How much of a cached prefix's worth is expected where nothing but its hash speaks for it.
const HASHED_PREFIX_SHARE: f64 = 0.5;

/// The replicas of one pool that this host follows.
#[derive(Debug, Clone)]
pub(super) struct Members {
    /// The replicas, by name.
    pub(super) replicas: Vec<Replica>,
    /// The mean time of an answer.
    pub(super) service_time: Duration,
    /// How long the host's own queue makes a request wait.
    pub(super) backlog: Duration,
    /// Replicas of the pool in all for each one that is followed.
    pub(super) replica_ratio: f64,
}

impl Members {
    /// A pool without replicas.
    pub(super) fn new(service: Duration) -> Self {
        Self {
            replicas: Vec::new(),
            service_time: service,
            backlog: Duration::ZERO,
            replica_ratio: 1.0,
        }
    }

    /// The place of a replica.
    pub(super) fn position(&self, name: &name::Upstream) -> Option<usize> {
        self.replicas
            .binary_search_by(|replica| replica.name.cmp(name))
            .ok()
    }

    /// Capacity and load of the replicas that can take work.
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

    /// Requests that the replicas which can take work run at once, cold ones in full.
    pub(super) fn slots(&self, now: Duration, options: &Options) -> f64 {
        let usable = self.usable(now, None, options);
        let slots: u32 = usable.map(|(_, replica)| replica.slots()).sum();
        f64::from(slots) * self.replica_ratio
    }

    /// The replicas that can take work for `model`, with their places. When too many are ejected,
    /// the ejected ones are among them, for then the cause is hardly theirs.
    pub(super) fn usable(
        &self,
        now: Duration,
        model: Option<&name::Model>,
        options: &Options,
    ) -> impl Iterator<Item = (usize, &Replica)> {
        let serving = move |replica: &&Replica| replica.serves(model, options.mutant);
        let ejected = move |replica: &&Replica| replica.standing(now) == Standing::Ejected;
        let all = self.replicas.iter().filter(serving).count();
        let out = self.replicas.iter().filter(serving).filter(ejected).count();
        let ignored = out as f64 > all as f64 * options.max_ejected_share;
        self.replicas
            .iter()
            .enumerate()
            .filter(move |(_, replica)| serving(replica) && (ignored || !ejected(replica)))
    }

    /// How long one more request waits before it starts, in seconds.
    pub(super) fn wait_s(&self, total: &Total, options: &Options) -> f64 {
        let utilization = total.outstanding / total.capacity;
        replica::wait_s(utilization, self.service_time, options) + self.backlog.as_secs_f64()
    }

    /// The expected delay of one more request, in seconds.
    pub(super) fn delay_s(&self, total: &Total, options: &Options) -> f64 {
        let utilization = total.outstanding / total.capacity;
        replica::delay_s(utilization, self.service_time, options) + self.backlog.as_secs_f64()
    }
}

/// Capacity and load of a pool.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Total {
    /// Replicas that can take work.
    pub(super) live: u32,
    /// Requests that they should run at once.
    pub(super) capacity: f64,
    /// Requests believed to be in them.
    pub(super) outstanding: f64,
}

/// A replica under consideration.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    /// Its place among the members.
    pub(super) index: usize,
    /// What speaks for it.
    pub(super) reason: Reason,
    /// The expected delay, in seconds.
    pub(super) cost_s: f64,
    weight: u64,
    utilization: f64,
    outstanding: f64,
}

/// Orders the usable replicas so that the best come first, into `out`.
pub(super) fn rank(
    now: Duration,
    members: &Members,
    request: &Request<'_>,
    hints: &Hints,
    options: &Options,
    rng: &mut impl Rng,
    out: &mut Vec<Candidate>,
) {
    let view = View {
        now,
        members,
        hints,
        options,
        prefix: request.prefix,
    };
    view.collect(request, out);
    if out.is_empty() {
        return;
    }
    view.shortlist(rng, out);
    out.sort_by(|one, other| one.cost_s.total_cmp(&other.cost_s));
}

struct View<'a> {
    now: Duration,
    members: &'a Members,
    hints: &'a Hints,
    options: &'a Options,
    prefix: Option<Prefix>,
}

impl View<'_> {
    /// The usable replicas that the request hasn't tried.
    fn collect(&self, request: &Request<'_>, out: &mut Vec<Candidate>) {
        out.clear();
        let model = request.route.model.as_ref();
        let untried = self
            .members
            .usable(self.now, model, self.options)
            .filter(|(_, replica)| !request.tried.contains(&replica.name));
        out.extend(untried.map(|(at, replica)| self.candidate(at, replica)));
    }

    fn candidate(&self, at: usize, replica: &Replica) -> Candidate {
        let probe = replica.standing(self.now) == Standing::Probe;
        let outstanding = replica.outstanding(self.now, self.options);
        let utilization = replica.utilization(self.now, self.options);
        Candidate {
            index: at,
            reason: if probe { Reason::Probe } else { Reason::Load },
            cost_s: replica.delay_s(self.now, self.members.service_time, self.options),
            weight: self
                .prefix
                .map_or(0, |prefix| affinity::weight(prefix.hash, replica.hash)),
            utilization,
            outstanding,
        }
    }

    /// Leaves the candidates that are worth comparing: those that may hold the prefix, and a few
    /// by lot so that hosts with the same lagging view don't all choose the same replica.
    fn shortlist(&self, rng: &mut impl Rng, out: &mut Vec<Candidate>) {
        let sampled: [usize; RANDOM_CANDIDATES] =
            std::array::from_fn(|_| rng.random_range(0..out.len()));
        let Some(prefix) = self.prefix else {
            retain_at(out, &sampled);
            return;
        };
        let mut kept = [usize::MAX; RANDOM_CANDIDATES + AFFINITY_CANDIDATES];
        kept[..RANDOM_CANDIDATES].copy_from_slice(&sampled);
        self.affinity_order(prefix, out, &mut kept[RANDOM_CANDIDATES..]);
        let missing = self.options.prefill_cost_s(f64::from(prefix.tokens));
        for (place, candidate) in out.iter_mut().enumerate() {
            let replica = &self.members.replicas[candidate.index];
            let life = self.options.hint_ttl;
            if self
                .hints
                .is_held_by(self.now, prefix.hash, replica.hash, life)
            {
                candidate.reason = Reason::Cached;
            } else if kept.get(RANDOM_CANDIDATES) == Some(&place) {
                candidate.reason = Reason::Affinity;
                candidate.cost_s += missing * (1.0 - HASHED_PREFIX_SHARE);
            } else {
                candidate.cost_s += missing;
            }
        }
        let mut place = 0;
        out.retain(|candidate| {
            let chosen = kept.contains(&place) || candidate.reason == Reason::Cached;
            place += 1;
            chosen
        });
    }

    /// The first replicas in rendezvous order that lie within the bounded load and are far enough
    /// through their slow start.
    fn affinity_order(&self, prefix: Prefix, out: &[Candidate], places: &mut [usize]) {
        let mean = out.iter().map(|one| one.utilization).sum::<f64>() / out.len() as f64;
        let within = |one: &Candidate| {
            let replica = &self.members.replicas[one.index];
            let ramp = replica.ramp(self.now, self.options);
            let capacity = one.outstanding / one.utilization.max(f64::MIN_POSITIVE);
            let bound = mean * self.options.load_bound * capacity + BOUND_SLACK;
            one.outstanding <= bound && affinity::is_admitted(prefix.hash, replica.hash, ramp)
        };
        for rank in 0..places.len() {
            let taken = &places[..rank];
            let best = (0..out.len())
                .filter(|place| !taken.contains(place) && within(&out[*place]))
                .max_by_key(|place| out[*place].weight);
            places[rank] = best.unwrap_or(usize::MAX);
        }
    }
}

fn retain_at(out: &mut Vec<Candidate>, places: &[usize]) {
    let mut place = 0;
    out.retain(|_| {
        let chosen = places.contains(&place);
        place += 1;
        chosen
    });
}
