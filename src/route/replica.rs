//! State of one replica of a pool: whether it takes work, its capacity during slow start, and the
//! expected delay of one more request.

use {
    super::{
        affinity,
        eject::{Health, Standing},
        load::{Load, Prefill, Report},
        options::{Mutant, Options},
    },
    crate::{
        name,
        rest::{Rest, Turn},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Smallest share of its capacity that a cold replica is given.
const MIN_RAMP: f64 = 0.05;
/// Weight of the newest answer in the moving average of a replica's service time.
const SERVICE_EWMA_WEIGHT: f64 = 0.02;
/// Largest factor by which a replica is assumed to be slower or faster than its pool.
const MAX_PACE: f64 = 4.0;

/// An upstream as listed in the configuration or the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Unique name of the upstream.
    pub name: name::Upstream,
    /// Pool that the upstream belongs to.
    pub pool: name::Pool,
    /// Whether the upstream takes new requests.
    pub state: State,
}

/// Whether a listed upstream takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes new requests.
    Live,
    /// It finishes its requests and takes no new ones.
    Leaving,
}

/// One replica of a pool, as known to this host.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Name of the upstream.
    pub name: name::Upstream,
    /// Hash of the name, for rendezvous hashing and cache hints.
    pub hash: u64,
    /// Estimated load.
    pub load: Load,
    /// Prompt tokens sent to the replica that are not prefilled yet.
    pub prefill: Prefill,
    /// Health, from the outcomes of earlier requests.
    pub health: Health,
    /// The rest that it has asked this host for.
    pub rest: Rest,
    /// This host's turn to return after it.
    turn: Turn,
    mean_service_s: f64,
    state: State,
    slots: u32,
    models: Vec<name::Model>,
    draining: bool,
    cold_since: Option<Duration>,
}

impl Replica {
    /// Creates a replica that is seen for the first time, in a pool with the mean service time
    /// `service`. Its slow start begins at `cold_since`; `None` if it is warm.
    pub fn new(
        listed: &Upstream,
        slots: u32,
        service: Duration,
        cold_since: Option<Duration>,
    ) -> Self {
        Self {
            name: listed.name.clone(),
            hash: affinity::hash(listed.name.as_str().as_bytes()),
            load: Load::default(),
            prefill: Prefill::default(),
            health: Health::default(),
            rest: Rest::default(),
            turn: Turn::default(),
            mean_service_s: service.as_secs_f64(),
            state: listed.state,
            slots: slots.max(1),
            models: Vec::new(),
            draining: false,
            cold_since,
        }
    }

    /// Takes over a newer listing. A replica that was leaving and is live again starts slowly.
    pub fn update_listing(&mut self, now: Duration, listed: &Upstream) {
        if self.state == State::Leaving && listed.state == State::Live {
            self.begin_slow_start(now);
        }
        self.state = listed.state;
    }

    /// Takes over the replica's own report. A replica that was draining and no longer is starts
    /// slowly.
    pub fn apply_report(&mut self, now: Duration, report: &Report, options: &Options) {
        if self.draining && !report.draining {
            self.begin_slow_start(now);
        }
        self.draining = report.draining;
        if report.slots > 0 {
            self.slots = report.slots;
        }
        if self.models != report.models {
            self.models.clone_from(&report.models);
        }
        self.load.apply_report(now, report, options.report_ttl);
    }

    /// Begins the slow start at `now`.
    pub fn begin_slow_start(&mut self, now: Duration) {
        self.cold_since = Some(now);
    }

    /// Whether the replica takes new requests for `model`; any model if `None`.
    pub fn serves(&self, model: Option<&name::Model>, mutant: Mutant) -> bool {
        let is_leaving = self.state == State::Leaving || self.draining;
        if is_leaving && mutant != Mutant::Leaving {
            return false;
        }
        match model {
            Some(model) => self.models.is_empty() || self.models.contains(model),
            None => true,
        }
    }

    /// Records that the replica asks for rest, after which it is this host's turn to return. Returns
    /// how long it gets, unless it has as much already.
    pub fn record_rest(&mut self, now: Duration, asked: Duration, turn: Turn) -> Option<Duration> {
        self.turn = turn;
        self.rest.record(now, asked)
    }

    /// Whether the replica, if it had asked for rest, takes another request of this host.
    pub fn has_rested(&self, now: Duration) -> bool {
        self.rest.may_send(now, self.turn)
    }

    /// What may be sent to the replica, by its health.
    pub fn standing(&self, now: Duration) -> Standing {
        self.health.standing(now)
    }

    /// Share of its capacity that the replica is given during slow start, up to one.
    pub fn ramp(&self, now: Duration, options: &Options) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        let elapsed = now.saturating_sub(since).as_secs_f64();
        (elapsed / options.slow_start.as_secs_f64()).clamp(MIN_RAMP, 1.0)
    }

    /// Number of requests that the replica can run at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Number of requests that the replica should run at once, reduced during slow start.
    pub fn capacity(&self, now: Duration, options: &Options) -> f64 {
        f64::from(self.slots) * self.ramp(now, options)
    }

    /// Estimated number of requests in the replica, of all hosts.
    pub fn outstanding(&self, now: Duration, options: &Options) -> f64 {
        f64::from(self.load.outstanding(now, options.report_ttl))
    }

    /// Estimated load over capacity.
    pub fn utilization(&self, now: Duration, options: &Options) -> f64 {
        self.outstanding(now, options) / self.capacity(now, options)
    }

    /// Expected delay of one more request through those in the replica, in seconds, where `service`
    /// is the pool's mean service time.
    pub fn delay_s(&self, now: Duration, service: Duration, options: &Options) -> f64 {
        let tokens = self.prefill.remaining(now, options.prefill_tokens_per_s);
        let wait = delay_s(self.utilization(now, options), service, options);
        (wait + options.prefill_cost_s(tokens)) * self.pace(service)
    }

    /// Factor by which the replica answers slower than its pool.
    fn pace(&self, service: Duration) -> f64 {
        let pace = self.mean_service_s / service.as_secs_f64();
        pace.clamp(1.0 / MAX_PACE, MAX_PACE)
    }

    /// Records the time of an answer.
    pub fn record_answer(&mut self, took: Duration) {
        self.mean_service_s += (took.as_secs_f64() - self.mean_service_s) * SERVICE_EWMA_WEIGHT;
    }
}

/// Expected delay of one more request, in seconds: a fuller batch is slower, and beyond a full one
/// requests wait.
pub fn delay_s(utilization: f64, service: Duration, options: &Options) -> f64 {
    let batch = options.batch_slowdown * utilization.min(1.0);
    let queue = (utilization - 1.0).max(0.0);
    service.as_secs_f64() * (batch + queue)
}

/// Expected wait of a request at a pool before it starts, in seconds.
pub fn wait_s(utilization: f64, service: Duration, options: &Options) -> f64 {
    service.as_secs_f64() * (utilization - options.spill_utilization).max(0.0)
}
