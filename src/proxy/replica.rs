//! One upstream of this host's region: what it says of itself, what was sent to it, and how it did.

use {
    super::{cache::Cache, entry::Entry},
    crate::{
        name,
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

/// Ranks that an engine tells apart.
pub const PRIORITY_LEVELS: usize = 10;
/// What another host said of its own requests counts no longer than this.
const TALLY_TTL: Duration = Duration::from_secs(2);
/// How long an upstream that said it is full gets nothing.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// Share of the newest observation in the learned slowness.
const SLOWNESS_EWMA_WEIGHT: f64 = 0.2;
/// Bounds of one observed slowness, so that a single stall doesn't decide alone.
const SLOWNESS_RANGE: (f64, f64) = (0.2, 12.0);
/// An upstream is called slow from this factor on; below it is noise.
const SLOW_THRESHOLD: f64 = 1.5;
/// How long the last observation of slowness is believed.
const SLOWNESS_TTL: Duration = Duration::from_secs(4);
/// Share of the newest answer in the learned share of failed answers.
const ERROR_EWMA_WEIGHT: f64 = 0.1;
/// How far that share may lie over the pool's before the upstream counts as faulty.
const ERROR_MARGIN: f64 = 0.25;
/// The window in which requests to a cold upstream are counted: a second, and what links add.
pub const COLD_WINDOW: Duration = Duration::from_millis(1_150);

/// One host's requests at one upstream.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that were sent and have not ended.
    #[serde(rename = "r")]
    pub running: u32,
    /// Prompt tokens to be read, of requests without a first event, by rank.
    #[serde(rename = "w")]
    pub prefill_tokens: [u32; PRIORITY_LEVELS],
    /// Tokens in memory at the most.
    #[serde(rename = "m")]
    pub memory_tokens: u32,
}

impl Tally {
    fn prefill_ahead(&self, rank: u8) -> f64 {
        let upto = usize::from(rank).min(PRIORITY_LEVELS - 1);
        self.prefill_tokens[..=upto]
            .iter()
            .map(|&n| f64::from(n))
            .sum()
    }

    /// Whether there is nothing to say.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// An upstream as this host sees it.
#[derive(Debug)]
pub struct Replica {
    /// As it last described itself.
    pub entry: Entry,
    /// This host's requests.
    pub own_tally: Tally,
    /// What it is believed to hold.
    pub cache: Cache,
    /// Its point on the rendezvous circle.
    pub point: u64,
    /// Missing from the list since the platform's return, and gone if still missing by then.
    pub removal_at: Option<Duration>,
    other_tallies: BTreeMap<name::Host, (Duration, Tally)>,
    cold_until: Duration,
    assumed_cold_until: Duration,
    full_until: Duration,
    health: Health,
    last_byte_at: Duration,
    is_silent: bool,
    slowness: f64,
    slowness_observed_at: Duration,
    error_share: f64,
    send_times: VecDeque<Duration>,
}

/// How an attempt at an upstream ended, as far as it tells something of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Success,
    /// A whole answer that is a failure of the upstream's own.
    Error,
    /// It said that it is full.
    Full,
    /// It broke off, was silent or out of reach, or sent what can't be used.
    Broken,
    /// Nothing can be said.
    Unknown,
}

impl Replica {
    /// An upstream that was just listed.
    pub fn new(now: Duration, entry: Entry) -> Self {
        let mut replica = Self {
            point: crate::route::affinity::hash(entry.id.as_str().as_bytes()),
            own_tally: Tally::default(),
            cache: Cache::default(),
            removal_at: None,
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

    /// Takes what the upstream now says; returns whether this is another run of it.
    pub fn update(&mut self, now: Duration, entry: Entry) -> bool {
        if entry.incarnation == self.entry.incarnation && entry.sequence < self.entry.sequence {
            return false;
        }
        let restarted = entry.incarnation != self.entry.incarnation;
        if restarted {
            let others = std::mem::take(&mut self.other_tallies);
            *self = Self {
                own_tally: self.own_tally.clone(),
                other_tallies: others,
                ..Self::new(now, entry)
            };
        } else {
            let leaving = self.entry.leaving || entry.leaving;
            self.entry = entry;
            self.entry.leaving = leaving;
            self.set_cold_until(now);
        }
        self.removal_at = None;
        restarted
    }

    /// What it says of itself, with the rest of its time in the cold.
    pub fn entry_at(&self, now: Duration) -> Entry {
        Entry {
            cold_for: self.cold_until.saturating_sub(now),
            ..self.entry.clone()
        }
    }

    fn set_cold_until(&mut self, now: Duration) {
        self.cold_until = now + self.entry.cold_for;
    }

    /// Treats the upstream as cold for a while, as it may have become so unnoticed.
    pub fn assume_cold_until(&mut self, until: Duration) {
        self.assumed_cold_until = self.assumed_cold_until.max(until);
    }

    /// Whether it takes only a few requests a second.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until.max(self.assumed_cold_until)
    }

    /// Requests that this host sent in the last second.
    pub fn recent_sends(&self, now: Duration) -> usize {
        let since = now.saturating_sub(COLD_WINDOW);
        self.send_times.iter().filter(|at| **at >= since).count()
    }

    /// Whether its health and its own word allow a request now.
    pub fn is_available(&self, now: Duration) -> bool {
        !self.is_silent && now >= self.full_until && self.health.standing(now) != Standing::Ejected
    }

    /// Takes another host's word on its own requests.
    pub fn record_tally(&mut self, now: Duration, host: &name::Host, tally: Tally) {
        self.other_tallies.insert(host.clone(), (now, tally));
    }

    /// Forgets another host's requests.
    pub fn forget_tally(&mut self, host: &name::Host) {
        self.other_tallies.remove(host);
    }

    /// Requests of all hosts that run here.
    pub fn running(&self, now: Duration) -> u32 {
        let others = self.fresh_tallies(now).map(|(_, tally)| tally.running);
        self.own_tally.running + others.sum::<u32>()
    }

    /// Tokens of all hosts in memory here.
    pub fn memory_tokens(&self, now: Duration) -> u64 {
        let others = self
            .fresh_tallies(now)
            .map(|(_, tally)| u64::from(tally.memory_tokens));
        u64::from(self.own_tally.memory_tokens) + others.sum::<u64>()
    }

    /// Prompt tokens that are read before those of a request of this rank. What other hosts
    /// reported has been read on since at this rate, in tokens a millisecond, which all hosts'
    /// prompts share.
    pub fn prefill_ahead(&self, now: Duration, rank: u8, rate: f64) -> f64 {
        let own = self.own_tally.prefill_ahead(rank);
        let told = self
            .fresh_tallies(now)
            .map(|(_, tally)| tally.prefill_ahead(rank));
        let all = own + told.sum::<f64>();
        if all <= 0.0 {
            return 0.0;
        }
        let left = |(age, tally): (Duration, &Tally)| {
            let told = tally.prefill_ahead(rank);
            (told - rate * millis(age) * told / all).max(0.0)
        };
        own + self.fresh_tallies(now).map(left).sum::<f64>()
    }

    fn fresh_tallies(&self, now: Duration) -> impl Iterator<Item = (Duration, &Tally)> {
        self.other_tallies.values().filter_map(move |(at, tally)| {
            let age = now.saturating_sub(*at);
            (age < TALLY_TTL).then_some((age, tally))
        })
    }

    /// How much longer it takes than its pool.
    pub fn slowness(&self, now: Duration) -> f64 {
        let fresh = now.saturating_sub(self.slowness_observed_at) < SLOWNESS_TTL;
        if fresh && self.slowness >= SLOW_THRESHOLD {
            self.slowness
        } else {
            1.0
        }
    }

    /// A byte of an answer came.
    pub fn record_progress(&mut self, now: Duration) {
        self.last_byte_at = now;
        self.is_silent = false;
    }

    /// How long nothing came of the requests that this host has at it.
    pub fn silent_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_byte_at)
    }

    /// Nothing came for longer than can be explained. Returns whether that is news.
    pub fn mark_silent(&mut self, now: Duration, options: &Options) -> bool {
        if std::mem::replace(&mut self.is_silent, true) {
            return false;
        }
        self.record_outcome(now, Outcome::Broken, 0.0, options);
        self.record_outcome(now, Outcome::Broken, 0.0, options);
        true
    }

    /// A request is sent to it.
    pub fn record_send(&mut self, now: Duration) {
        if self.own_tally.running <= 1 {
            self.last_byte_at = now;
            self.is_silent = false;
        }
        let since = now.saturating_sub(COLD_WINDOW);
        while self.send_times.front().is_some_and(|at| *at < since) {
            self.send_times.pop_front();
        }
        self.send_times.push_back(now);
        self.health.record_sent(now);
    }

    /// A first byte took so many times as long as the pool's speed foretold.
    pub fn observe_slowness(&mut self, now: Duration, ratio: f64) {
        let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += SLOWNESS_EWMA_WEIGHT * (ratio - self.slowness);
        self.slowness_observed_at = now;
    }

    /// An attempt ended; `usual` is the pool's share of failed answers. Returns whether the
    /// upstream's standing changed.
    pub fn record_outcome(
        &mut self,
        now: Duration,
        outcome: Outcome,
        usual: f64,
        options: &Options,
    ) -> bool {
        let before = self.health.standing(now) == Standing::Ejected;
        match outcome {
            Outcome::Success => {
                self.error_share -= ERROR_EWMA_WEIGHT * self.error_share;
                self.health.record_success();
            }
            Outcome::Error => {
                self.error_share += ERROR_EWMA_WEIGHT * (1.0 - self.error_share);
                if self.error_share > usual + ERROR_MARGIN {
                    self.health.record_failure(now, options);
                } else {
                    self.health.record_withdrawn();
                }
            }
            Outcome::Full => {
                self.full_until = now + FULL_PAUSE;
                self.health.record_withdrawn();
            }
            Outcome::Broken => self.health.record_failure(now, options),
            Outcome::Unknown => self.health.record_withdrawn(),
        }
        let after = self.health.standing(now) == Standing::Ejected;
        if after && !before {
            self.assume_cold_until(now + options.max_ejection_time);
        }
        before != after
    }
}

/// A span in milliseconds.
pub fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
