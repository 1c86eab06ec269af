//! One replica of a pool as this host sees it.

use {
    super::{
        affinity,
        eject::{Health, Standing},
        load::{Load, Prefill, Report},
        options::{Mutant, Options},
    },
    crate::name,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The least part of its capacity that a cold replica is given.
const MIN_RAMP: f64 = 0.05;
/// The weight of the newest answer in a replica's mean time.
const SERVICE_EWMA_WEIGHT: f64 = 0.02;
/// How much slower or faster than its pool a replica is taken to be at most.
const MAX_PACE: f64 = 4.0;

/// One upstream as the tables and the host list name it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its name.
    pub name: name::Upstream,
    /// The pool that it belongs to.
    pub pool: name::Pool,
    /// Whether it still takes work.
    pub state: State,
}

/// Whether an upstream still takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes work.
    Live,
    /// It finishes what it has.
    Leaving,
}

/// One replica of a pool as this host sees it.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Its name.
    pub name: name::Upstream,
    /// The name's hash.
    pub hash: u64,
    /// Its load.
    pub load: Load,
    /// Prompts on their way into it.
    pub prefill: Prefill,
    /// Its standing.
    pub health: Health,
    mean_service_s: f64,
    state: State,
    slots: u32,
    models: Vec<name::Model>,
    draining: bool,
    cold_since: Option<Duration>,
}

impl Replica {
    /// A replica seen for the first time, in a pool whose answers take `service`, cold from
    /// `cold_since` on.
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
            mean_service_s: service.as_secs_f64(),
            state: listed.state,
            slots: slots.max(1),
            models: Vec::new(),
            draining: false,
            cold_since,
        }
    }

    /// Takes in what a newer list says. One that was leaving and is live again is cold.
    pub fn update_listing(&mut self, now: Duration, listed: &Upstream) {
        if self.state == State::Leaving && listed.state == State::Live {
            self.begin_slow_start(now);
        }
        self.state = listed.state;
    }

    /// Takes in the replica's own report.
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

    /// Starts the slow start.
    pub fn begin_slow_start(&mut self, now: Duration) {
        self.cold_since = Some(now);
    }

    /// Whether it takes work for `model` at all.
    pub fn serves(&self, model: Option<&name::Model>, mutant: Mutant) -> bool {
        let leaving = self.state == State::Leaving || self.draining;
        if leaving && mutant != Mutant::Leaving {
            return false;
        }
        match model {
            Some(model) => self.models.is_empty() || self.models.contains(model),
            None => true,
        }
    }

    /// What may be sent to it.
    pub fn standing(&self, now: Duration) -> Standing {
        self.health.standing(now)
    }

    /// The part of its capacity that it is given during the slow start, up to one.
    pub fn ramp(&self, now: Duration, options: &Options) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        let elapsed = now.saturating_sub(since).as_secs_f64();
        (elapsed / options.slow_start.as_secs_f64()).clamp(MIN_RAMP, 1.0)
    }

    /// The requests that it runs at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// The requests that it should run at once, fewer while it is cold.
    pub fn capacity(&self, now: Duration, options: &Options) -> f64 {
        f64::from(self.slots) * self.ramp(now, options)
    }

    /// The requests believed to be in it.
    pub fn outstanding(&self, now: Duration, options: &Options) -> f64 {
        f64::from(self.load.outstanding(now, options.report_ttl))
    }

    /// Load over capacity.
    pub fn utilization(&self, now: Duration, options: &Options) -> f64 {
        self.outstanding(now, options) / self.capacity(now, options)
    }

    /// How long one more request is held up by those in it, in seconds, where an answer alone takes
    /// `service`.
    pub fn delay_s(&self, now: Duration, service: Duration, options: &Options) -> f64 {
        let tokens = self.prefill.remaining(now, options.prefill_tokens_per_s);
        let wait = delay_s(self.utilization(now, options), service, options);
        (wait + options.prefill_cost_s(tokens)) * self.pace(service)
    }

    /// How much slower it answers than the pool.
    fn pace(&self, service: Duration) -> f64 {
        let pace = self.mean_service_s / service.as_secs_f64();
        pace.clamp(1.0 / MAX_PACE, MAX_PACE)
    }

    /// Takes note of the time of an answer.
    pub fn record_answer(&mut self, took: Duration) {
        self.mean_service_s += (took.as_secs_f64() - self.mean_service_s) * SERVICE_EWMA_WEIGHT;
    }
}

/// How long one more request is held up, in seconds: a fuller batch is slower, and beyond a full
/// one requests wait.
pub fn delay_s(utilization: f64, service: Duration, options: &Options) -> f64 {
    let batch = options.batch_slowdown * utilization.min(1.0);
    let queue = (utilization - 1.0).max(0.0);
    service.as_secs_f64() * (batch + queue)
}

/// How long a request waits at a whole pool before it starts, in seconds.
pub fn wait_s(utilization: f64, service: Duration, options: &Options) -> f64 {
    service.as_secs_f64() * (utilization - options.spill_utilization).max(0.0)
}
