//! One upstream of this host's region: its published state, the requests that hosts have sent to
//! it, and its health as observed from their outcomes.

use {
    super::{
        cache::Cache,
        entry::Entry,
        load::Estimate,
        quarantine::{Certainty, End, Process},
        reach::Reach,
        throttle::Throttle,
    },
    crate::{
        name,
        rest::Rest,
        route::{
            Options,
            eject::{Health, Standing},
        },
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Number of priorities that an engine distinguishes.
pub const PRIORITY_LEVELS: usize = 10;
/// How long another host's report of its own requests is counted.
const TALLY_TTL: Duration = Duration::from_secs(2);
/// Share of the prompt tokens in a host's report that still count when the engine has had the time to
/// prefill them, because the host goes on sending. Holds for [`RECURRING_TIME`].
const RECURRING_SHARE: f64 = 0.6;
/// Age of a report until which its sender is taken to go on sending; about the time between two
/// reports in a large region.
const RECURRING_TIME: Duration = Duration::from_millis(600);
/// Pause after an upstream answered that it is full.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// Weight of the newest observation in the moving average of slowness.
const SLOWNESS_EWMA_WEIGHT: f64 = 0.2;
/// Bounds of one observed slowness, so that a single stall does not dominate the average.
const SLOWNESS_RANGE: (f64, f64) = (0.2, 12.0);
/// Slowness from which an upstream counts as slow; smaller values are noise.
const SLOW_THRESHOLD: f64 = 1.5;
/// How long the last observation of slowness is used.
const SLOWNESS_TTL: Duration = Duration::from_secs(4);
/// Weight of the newest answer in the moving average of server errors.
const ERROR_EWMA_WEIGHT: f64 = 0.1;
/// How far the share of server errors may exceed the pool's before such errors count as failures of
/// this upstream.
const ERROR_MARGIN: f64 = 0.25;
/// How long an upstream that may have become cold is treated so: until it has published its state
/// again, which takes a heartbeat and a read of the store.
pub const ASSUMED_COLD_TIME: Duration = Duration::from_secs(3);
/// Window for counting the requests sent to a cold upstream: one second plus the delay that links
/// add.
pub const COLD_WINDOW: Duration = Duration::from_millis(1_150);

/// The requests of one host at one upstream.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that have been sent and have not ended.
    #[serde(rename = "r")]
    pub running: u32,
    /// Prompt tokens awaiting prefill, by priority: those of requests that have not sent a first
    /// event.
    #[serde(rename = "w")]
    pub prefill_tokens: [u32; PRIORITY_LEVELS],
    /// Upper bound on the tokens that the requests occupy in the engine's memory.
    #[serde(rename = "m")]
    pub memory_tokens: u32,
}

impl Tally {
    /// Tokens awaiting prefill at this and more urgent priorities.
    fn prefill_ahead(&self, priority: u8) -> f64 {
        let last = usize::from(priority).min(PRIORITY_LEVELS - 1);
        self.prefill_tokens[..=last]
            .iter()
            .map(|&n| f64::from(n))
            .sum()
    }

    /// Whether the host has no requests at the upstream.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// An upstream as this host sees it.
#[derive(Debug)]
pub struct Replica {
    /// The state that the upstream published last.
    pub entry: Entry,
    /// Requests that this host has at the upstream.
    pub own_tally: Tally,
    /// Prompt prefixes that the engine is expected to have cached.
    pub cache: Cache,
    /// Hash of the name, used for rendezvous hashing.
    pub point: u64,
    /// When to remove the upstream unless it is listed again; set when it goes missing around an
    /// outage of the platform.
    pub removal_at: Option<Duration>,
    /// Whether it was not listed again in time, while the platform could not be reached.
    pub has_lapsed: bool,
    /// Whether something that can't be read was written in place of its entry.
    pub is_unreadable: bool,
    /// The limit that the upstream names.
    pub throttle: Throttle,
    /// The rest that it has asked this host for.
    pub rest: Rest,
    /// The load that it reports.
    pub load: Estimate,
    /// Whether this host and others reach it.
    pub reach: Reach,
    /// Requests that other hosts report to have at the upstream, with the time of the report.
    other_tallies: BTreeMap<name::Host, (Duration, Tally)>,
    /// Until when the upstream is cold according to its published state.
    cold_until: Duration,
    /// Until when this host treats it as cold in any case.
    assumed_cold_until: Duration,
    /// Until when it gets no requests after refusing one as full.
    full_until: Duration,
    health: Health,
    /// When it last sent a byte, or got a request while it had no other.
    last_byte_at: Duration,
    is_silent: bool,
    /// Moving average of the observed slowness.
    slowness: f64,
    slowness_observed_at: Duration,
    /// Moving average of the share of server errors.
    error_share: f64,
    /// When this host sent its requests of the last [`COLD_WINDOW`].
    send_times: VecDeque<Duration>,
}

/// The outcome of an attempt, as far as it says something about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer that is not a server error.
    Success,
    /// A complete answer that is a server error.
    Error,
    /// The upstream refused the request because it is full.
    Full,
    /// The answer broke off, stalled or was unusable.
    Broken,
    /// No connection could be opened, so the request has not run.
    Unreachable,
    /// The request has not run, for a reason that says nothing about the upstream.
    NotRun,
    /// The outcome says nothing about the upstream.
    Unknown,
}

impl Replica {
    /// Creates the record of an upstream that was just listed.
    pub fn new(now: Duration, entry: Entry) -> Self {
        let mut replica = Self {
            point: crate::route::affinity::hash(entry.id.as_str().as_bytes()),
            own_tally: Tally::default(),
            cache: Cache::default(),
            removal_at: None,
            has_lapsed: false,
            is_unreadable: false,
            throttle: Throttle::default(),
            rest: Rest::default(),
            load: Estimate::default(),
            reach: Reach::default(),
            other_tallies: BTreeMap::new(),
            cold_until: Duration::ZERO,
            assumed_cold_until: Duration::ZERO,
            full_until: Duration::ZERO,
            health: Health::default(),
            last_byte_at: now,
            is_silent: false,
            slowness: 1.0,
            slowness_observed_at: Duration::ZERO,
            error_share: 0.0,
            send_times: VecDeque::new(),
            entry,
        };
        replica.set_cold_until(now);
        replica
    }

    /// Applies newly published state, unless it is older than what is known. Returns whether the
    /// upstream has restarted.
    pub fn update(&mut self, now: Duration, entry: Entry) -> bool {
        if entry.order() < self.entry.order() {
            return false;
        }
        // The last entry that could be read tells nothing of the one written since.
        let is_unreadable = self.is_unreadable && entry.order() == self.entry.order();
        let restarted = entry.incarnation != self.entry.incarnation;
        if restarted {
            *self = Self {
                own_tally: self.own_tally.clone(),
                other_tallies: std::mem::take(&mut self.other_tallies),
                // What was sent a moment ago may have reached the new process.
                send_times: std::mem::take(&mut self.send_times),
                ..Self::new(now, entry)
            };
        } else {
            let leaving = self.entry.leaving || entry.leaving;
            self.entry = entry;
            self.entry.leaving = leaving;
            self.set_cold_until(now);
        }
        self.removal_at = None;
        self.has_lapsed = false;
        self.is_unreadable = is_unreadable;
        restarted
    }

    /// The published state with the remaining cold time as of `now`.
    pub fn entry_at(&self, now: Duration) -> Entry {
        Entry {
            cold_for: self.cold_until.saturating_sub(now),
            ..self.entry.clone()
        }
    }

    /// Sets the end of the cold time from the published state.
    fn set_cold_until(&mut self, now: Duration) {
        self.cold_until = now.saturating_add(self.entry.cold_for);
    }

    /// Treats the upstream as cold until the given time, as it may have become cold unnoticed.
    pub fn assume_cold_until(&mut self, until: Duration) {
        self.assumed_cold_until = self.assumed_cold_until.max(until);
    }

    /// Whether the upstream is cold and so accepts only a few requests per second.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until.max(self.assumed_cold_until)
    }

    /// Number of requests that this host sent within [`COLD_WINDOW`].
    pub fn recent_sends(&self, now: Duration) -> usize {
        let since = now.saturating_sub(COLD_WINDOW);
        self.send_times.iter().filter(|at| **at >= since).count()
    }

    /// Whether the upstream may get a request now: it is not silent, not ejected and has not just
    /// refused one as full.
    pub fn is_available(&self, now: Duration) -> bool {
        !self.is_silent && now >= self.full_until && self.health.standing(now) != Standing::Ejected
    }

    /// Records the requests that another host reports to have at the upstream.
    pub fn record_tally(&mut self, now: Duration, host: &name::Host, tally: Tally) {
        self.other_tallies.insert(host.clone(), (now, tally));
    }

    /// Forgets the requests that another host reported.
    pub fn forget_tally(&mut self, host: &name::Host) {
        self.other_tallies.remove(host);
    }

    /// Requests of all hosts that are running at the upstream.
    pub fn running(&self, now: Duration) -> u32 {
        let others = self.fresh_tallies(now).map(|(_, tally)| tally.running);
        self.own_tally.running + others.sum::<u32>()
    }

    /// Tokens that the requests of all hosts occupy in the engine's memory.
    pub fn memory_tokens(&self, now: Duration) -> u64 {
        let others = self
            .fresh_tallies(now)
            .map(|(_, tally)| u64::from(tally.memory_tokens));
        u64::from(self.own_tally.memory_tokens) + others.sum::<u64>()
    }

    /// Prompt tokens that the engine must prefill before it starts a request of this priority.
    /// Tokens reported by other hosts are reduced by what the engine has processed since, at `rate`
    /// tokens per millisecond, which all hosts' prompts share, but for [`RECURRING_TIME`] not below
    /// [`RECURRING_SHARE`].
    pub fn prefill_ahead(&self, now: Duration, priority: u8, rate: f64) -> f64 {
        let own = self.own_tally.prefill_ahead(priority);
        let reported = self
            .fresh_tallies(now)
            .map(|(_, tally)| tally.prefill_ahead(priority));
        let all = own + reported.sum::<f64>();
        if all <= 0.0 {
            return 0.0;
        }
        let remaining = |(age, tally): (Duration, &Tally)| {
            let reported = tally.prefill_ahead(priority);
            let left = (reported - rate * millis(age) * reported / all).max(0.0);
            if age < RECURRING_TIME {
                left.max(RECURRING_SHARE * reported)
            } else {
                left
            }
        };
        own + self.fresh_tallies(now).map(remaining).sum::<f64>()
    }

    fn fresh_tallies(&self, now: Duration) -> impl Iterator<Item = (Duration, &Tally)> {
        self.other_tallies.values().filter_map(move |(at, tally)| {
            let age = now.saturating_sub(*at);
            (age < TALLY_TTL).then_some((age, tally))
        })
    }

    /// Factor by which the upstream is slower than its pool usually is: what it reports itself, times
    /// what was observed beyond that, which is 1 unless it clearly and recently was slower.
    pub fn slowness(&self, now: Duration) -> f64 {
        let is_fresh = now.saturating_sub(self.slowness_observed_at) < SLOWNESS_TTL;
        let observed = if is_fresh && self.slowness >= SLOW_THRESHOLD {
            self.slowness
        } else {
            1.0
        };
        self.slowdown(now) * observed
    }

    /// Factor by which the upstream reports that work takes longer than usual; 1 if it reports none, or
    /// none that is recent.
    pub fn slowdown(&self, now: Duration) -> f64 {
        self.load.slowdown(now)
    }

    /// Requests that run or wait at the upstream: its own figure, but no less than hosts have there.
    pub fn requests(&self, now: Duration) -> u32 {
        let running = self.running(now);
        running.max(self.load.requests(now).unwrap_or(running))
    }

    /// Requests that the upstream can work on at once: its own figure, but no more than published.
    pub fn slots(&self, now: Duration) -> u32 {
        let published = self.entry.slots.max(1);
        published.min(self.load.slots(now).unwrap_or(published))
    }

    /// Records that a piece of an answer arrived.
    pub fn record_progress(&mut self, now: Duration) {
        self.last_byte_at = now;
        self.is_silent = false;
        self.reach.record_heard(now);
    }

    /// Records that a connection to the upstream was opened. If none could be before, its failures
    /// until now say nothing about it; it may have started again and be cold, unless another host
    /// reached it meanwhile. Returns whether that is so.
    pub fn record_opened(&mut self, now: Duration) -> bool {
        let is_vouched = self.reach.is_vouched();
        let was_lost = self.reach.record_opened(now);
        if was_lost {
            self.health = Health::default();
            self.last_byte_at = now;
            self.is_silent = false;
            if !is_vouched {
                self.assume_cold_until(now + ASSUMED_COLD_TIME);
            }
        }
        was_lost
    }

    /// The process of the upstream, as other hosts name it too.
    pub fn process(&self) -> Process {
        Process::new(self.point, self.entry.incarnation)
    }

    /// How long nothing has arrived from the upstream for this host's requests.
    pub fn silent_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_byte_at)
    }

    /// The end of the upstream, should it have ended when it last sent a byte.
    pub fn end(&self, certainty: Certainty) -> End {
        End {
            process: self.process(),
            at: self.last_byte_at,
            certainty,
        }
    }

    /// Whether the upstream was marked as silent and has sent nothing since.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Marks the upstream as silent, which ejects it. Returns false if it already was silent.
    pub fn mark_silent(&mut self, now: Duration, options: &Options) -> bool {
        if std::mem::replace(&mut self.is_silent, true) {
            return false;
        }
        self.record_outcome(now, Outcome::Broken, 0.0, options);
        self.record_outcome(now, Outcome::Broken, 0.0, options);
        true
    }

    /// Records that a request is sent to the upstream.
    pub fn record_send(&mut self, now: Duration) {
        if self.own_tally.running <= 1 {
            self.last_byte_at = now;
            self.is_silent = false;
        }
        self.count_send(now);
        self.rest.record_send(now);
        self.load.record_send(now);
        self.health.record_sent(now);
    }

    /// Takes a request that was counted at this time out of the recent ones.
    pub fn withdraw_send(&mut self, counted_at: Duration) {
        if let Some(place) = self.send_times.iter().position(|at| *at == counted_at) {
            self.send_times.remove(place);
        }
    }

    /// Counts a request among the recent ones.
    pub fn count_send(&mut self, now: Duration) {
        let since = now.saturating_sub(COLD_WINDOW);
        while self.send_times.front().is_some_and(|at| *at < since) {
            self.send_times.pop_front();
        }
        self.send_times.push_back(now);
    }

    /// Adds an observed slowness: the time to a first byte, without the slowdown that the upstream
    /// reports, over the time that the pool's averages predict.
    pub fn observe_slowness(&mut self, now: Duration, ratio: f64) {
        let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += SLOWNESS_EWMA_WEIGHT * (ratio - self.slowness);
        self.slowness_observed_at = now;
    }

    /// Records the outcome of an attempt. `pool_error_share` is the share of server errors in the
    /// whole pool. Returns whether the attempt ejected the upstream or ended its ejection.
    pub fn record_outcome(
        &mut self,
        now: Duration,
        outcome: Outcome,
        pool_error_share: f64,
        options: &Options,
    ) -> bool {
        let was_ejected = self.health.standing(now) == Standing::Ejected;
        match outcome {
            Outcome::Success => {
                self.error_share -= ERROR_EWMA_WEIGHT * self.error_share;
                self.health.record_success();
            }
            Outcome::Error => {
                self.error_share += ERROR_EWMA_WEIGHT * (1.0 - self.error_share);
                if self.error_share > pool_error_share + ERROR_MARGIN {
                    self.health.record_failure(now, options);
                } else {
                    self.health.record_withdrawn();
                }
            }
            Outcome::Full => {
                self.full_until = now + FULL_PAUSE;
                self.health.record_withdrawn();
            }
            Outcome::Broken | Outcome::Unreachable => self.health.record_failure(now, options),
            Outcome::NotRun | Outcome::Unknown => self.health.record_withdrawn(),
        }
        let is_ejected = self.health.standing(now) == Standing::Ejected;
        if is_ejected && !was_ejected {
            self.assume_cold_until(now + options.max_ejection_time);
        }
        was_ejected != is_ejected
    }
}

/// Converts a duration to milliseconds.
pub fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
