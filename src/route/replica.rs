//! One replica of a pool as this host sees it.

use {
    super::{
        affinity,
        eject::{Health, Standing},
        load::{Load, Prefill, Report},
        options::{Fault, Options},
    },
    crate::name,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The least part of its capacity that a cold replica is given.
const LEAST_RAMP: f64 = 0.05;
/// The weight of the newest answer in a replica's mean time.
const SERVICE_GAIN: f64 = 0.02;
/// How much slower or faster than its pool a replica is taken to be at most.
const MOST_PACE: f64 = 4.0;

/// One upstream as the tables and the host list name it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
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
    service_s: f64,
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
        listed: &Listed,
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
            service_s: service.as_secs_f64(),
            state: listed.state,
            slots: slots.max(1),
            models: Vec::new(),
            draining: false,
            cold_since,
        }
    }

    /// Takes in what a newer list says. One that was leaving and is live again is cold.
    pub fn relist(&mut self, now: Duration, listed: &Listed) {
        if self.state == State::Leaving && listed.state == State::Live {
            self.warm_up(now);
        }
        self.state = listed.state;
    }

    /// Takes in the replica's own report.
    pub fn report(&mut self, now: Duration, report: &Report, options: &Options) {
        if self.draining && !report.draining {
            self.warm_up(now);
        }
        self.draining = report.draining;
        if report.slots > 0 {
            self.slots = report.slots;
        }
        if self.models != report.models {
            self.models.clone_from(&report.models);
        }
        self.load.report(now, report, options.report_life);
    }

    /// Starts the slow start.
    pub fn warm_up(&mut self, now: Duration) {
        self.cold_since = Some(now);
    }

    /// Whether it takes work for `model` at all.
    pub fn serves(&self, model: Option<&name::Model>, fault: Fault) -> bool {
        let leaving = self.state == State::Leaving || self.draining;
        if leaving && fault != Fault::Leaving {
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
        (elapsed / options.slow_start.as_secs_f64()).clamp(LEAST_RAMP, 1.0)
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
        f64::from(self.load.outstanding(now, options.report_life))
    }

    /// Load over capacity.
    pub fn utilization(&self, now: Duration, options: &Options) -> f64 {
        self.outstanding(now, options) / self.capacity(now, options)
    }

    /// How long one more request is held up by those in it, in seconds, where an answer alone takes
    /// `service`.
    pub fn delay(&self, now: Duration, service: Duration, options: &Options) -> f64 {
        let tokens = self.prefill.left(now, options.prefill_tokens_per_s);
        let wait = delay(self.utilization(now, options), service, options);
        (wait + options.prefill(tokens)) * self.pace(service)
    }

    /// How much slower it answers than the pool.
    fn pace(&self, service: Duration) -> f64 {
        let pace = self.service_s / service.as_secs_f64();
        pace.clamp(1.0 / MOST_PACE, MOST_PACE)
    }

    /// Takes note of the time of an answer.
    pub fn answered(&mut self, took: Duration) {
        self.service_s += (took.as_secs_f64() - self.service_s) * SERVICE_GAIN;
    }
}

/// How long one more request is held up, in seconds: a fuller batch is slower, and beyond a full
/// one requests wait.
pub fn delay(utilization: f64, service: Duration, options: &Options) -> f64 {
    let batch = options.batch_slowdown * utilization.min(1.0);
    let queue = (utilization - 1.0).max(0.0);
    service.as_secs_f64() * (batch + queue)
}

/// How long a request waits at a whole pool before it starts, in seconds.
pub fn wait(utilization: f64, service: Duration, options: &Options) -> f64 {
    service.as_secs_f64() * (utilization - options.spill_from).max(0.0)
}
