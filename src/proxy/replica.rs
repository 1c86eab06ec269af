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
pub const RANKS: usize = 10;
/// What another host said of its own requests counts no longer than this.
const TALLY_LIFE: Duration = Duration::from_secs(2);
/// How long an upstream that said it is full gets nothing.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// Share of the newest observation in the learned slowness.
const SLOWNESS_STEP: f64 = 0.2;
/// Bounds of one observed slowness, so that a single stall doesn't decide alone.
const SLOWNESS: (f64, f64) = (0.2, 12.0);
/// An upstream is called slow from this factor on; below it is noise.
const SLOW_FROM: f64 = 1.5;
/// How long the last observation of slowness is believed.
const SLOW_LIFE: Duration = Duration::from_secs(4);
/// Share of the newest answer in the learned share of failed answers.
const ERROR_STEP: f64 = 0.1;
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
    pub waiting: [u32; RANKS],
    /// Tokens in memory at the most.
    #[serde(rename = "m")]
    pub memory: u32,
}

impl Tally {
    fn ahead(&self, rank: u8) -> f64 {
        let upto = usize::from(rank).min(RANKS - 1);
        self.waiting[..=upto].iter().map(|&n| f64::from(n)).sum()
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
    pub own: Tally,
    /// What it is believed to hold.
    pub cache: Cache,
    /// Its point on the rendezvous circle.
    pub point: u64,
    /// Missing from the list since the platform's return, and gone if still missing by then.
    pub missing_until: Option<Duration>,
    others: BTreeMap<name::Host, (Duration, Tally)>,
    cold_until: Duration,
    cautious_until: Duration,
    full_until: Duration,
    health: Health,
    heard: Duration,
    silent: bool,
    slowness: f64,
    slow_seen: Duration,
    errors: f64,
    sent: VecDeque<Duration>,
}

/// How an attempt at an upstream ended, as far as it tells something of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Whole,
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
            own: Tally::default(),
            cache: Cache::default(),
            missing_until: None,
            others: BTreeMap::new(),
            cold_until: Duration::ZERO,
            cautious_until: Duration::ZERO,
            full_until: Duration::ZERO,
            health: Health::default(),
            heard: now,
            silent: false,
            slowness: 1.0,
            slow_seen: Duration::ZERO,
            errors: 0.0,
            sent: VecDeque::new(),
            entry,
        };
        replica.cool(now);
        replica
    }

    /// Takes what the upstream now says; returns whether this is another run of it.
    pub fn describe(&mut self, now: Duration, entry: Entry) -> bool {
        if entry.incarnation == self.entry.incarnation && entry.sequence < self.entry.sequence {
            return false;
        }
        let restarted = entry.incarnation != self.entry.incarnation;
        if restarted {
            let others = std::mem::take(&mut self.others);
            *self = Self {
                own: self.own.clone(),
                others,
                ..Self::new(now, entry)
            };
        } else {
            let leaving = self.entry.leaving || entry.leaving;
            self.entry = entry;
            self.entry.leaving = leaving;
            self.cool(now);
        }
        self.missing_until = None;
        restarted
    }

    /// What it says of itself, with the rest of its time in the cold.
    pub fn entry_at(&self, now: Duration) -> Entry {
        Entry {
            cold_for: self.cold_until.saturating_sub(now),
            ..self.entry.clone()
        }
    }

    fn cool(&mut self, now: Duration) {
        self.cold_until = now + self.entry.cold_for;
    }

    /// Treats the upstream as cold for a while, as it may have become so unnoticed.
    pub fn caution(&mut self, until: Duration) {
        self.cautious_until = self.cautious_until.max(until);
    }

    /// Whether it takes only a few requests a second.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until.max(self.cautious_until)
    }

    /// Requests that this host sent in the last second.
    pub fn sent_lately(&self, now: Duration) -> usize {
        let since = now.saturating_sub(COLD_WINDOW);
        self.sent.iter().filter(|at| **at >= since).count()
    }

    /// Whether its health and its own word allow a request now.
    pub fn is_open(&self, now: Duration) -> bool {
        !self.silent && now >= self.full_until && self.health.standing(now) != Standing::Ejected
    }

    /// Takes another host's word on its own requests.
    pub fn hear(&mut self, now: Duration, host: &name::Host, tally: Tally) {
        self.others.insert(host.clone(), (now, tally));
    }

    /// Forgets another host's requests.
    pub fn silence(&mut self, host: &name::Host) {
        self.others.remove(host);
    }

    /// Requests of all hosts that run here.
    pub fn running(&self, now: Duration) -> u32 {
        let others = self.fresh(now).map(|(_, tally)| tally.running);
        self.own.running + others.sum::<u32>()
    }

    /// Tokens of all hosts in memory here.
    pub fn memory(&self, now: Duration) -> u64 {
        let others = self.fresh(now).map(|(_, tally)| u64::from(tally.memory));
        u64::from(self.own.memory) + others.sum::<u64>()
    }

    /// Prompt tokens that are read before those of a request of this rank. What other hosts
    /// reported has been read on since at this rate, in tokens a millisecond, which all hosts'
    /// prompts share.
    pub fn ahead(&self, now: Duration, rank: u8, rate: f64) -> f64 {
        let own = self.own.ahead(rank);
        let told = self.fresh(now).map(|(_, tally)| tally.ahead(rank));
        let all = own + told.sum::<f64>();
        if all <= 0.0 {
            return 0.0;
        }
        let left = |(age, tally): (Duration, &Tally)| {
            let told = tally.ahead(rank);
            (told - rate * millis(age) * told / all).max(0.0)
        };
        own + self.fresh(now).map(left).sum::<f64>()
    }

    fn fresh(&self, now: Duration) -> impl Iterator<Item = (Duration, &Tally)> {
        self.others.values().filter_map(move |(at, tally)| {
            let age = now.saturating_sub(*at);
            (age < TALLY_LIFE).then_some((age, tally))
        })
    }

    /// How much longer it takes than its pool.
    pub fn slowness(&self, now: Duration) -> f64 {
        let fresh = now.saturating_sub(self.slow_seen) < SLOW_LIFE;
        if fresh && self.slowness >= SLOW_FROM {
            self.slowness
        } else {
            1.0
        }
    }

    /// A byte of an answer came.
    pub fn touch(&mut self, now: Duration) {
        self.heard = now;
        self.silent = false;
    }

    /// How long nothing came of the requests that this host has at it.
    pub fn quiet(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard)
    }

    /// Nothing came for longer than can be explained. Returns whether that is news.
    pub fn mark_silent(&mut self, now: Duration, options: &Options) -> bool {
        if std::mem::replace(&mut self.silent, true) {
            return false;
        }
        self.end(now, Outcome::Broken, 0.0, options);
        self.end(now, Outcome::Broken, 0.0, options);
        true
    }

    /// A request is sent to it.
    pub fn send(&mut self, now: Duration) {
        if self.own.running <= 1 {
            self.heard = now;
            self.silent = false;
        }
        let since = now.saturating_sub(COLD_WINDOW);
        while self.sent.front().is_some_and(|at| *at < since) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        self.health.record_sent(now);
    }

    /// A first byte took so many times as long as the pool's speed foretold.
    pub fn observe(&mut self, now: Duration, ratio: f64) {
        let ratio = ratio.clamp(SLOWNESS.0, SLOWNESS.1);
        self.slowness += SLOWNESS_STEP * (ratio - self.slowness);
        self.slow_seen = now;
    }

    /// An attempt ended; `usual` is the pool's share of failed answers. Returns whether the
    /// upstream's standing changed.
    pub fn end(&mut self, now: Duration, outcome: Outcome, usual: f64, options: &Options) -> bool {
        let before = self.health.standing(now) == Standing::Ejected;
        match outcome {
            Outcome::Whole => {
                self.errors -= ERROR_STEP * self.errors;
                self.health.record_success();
            }
            Outcome::Error => {
                self.errors += ERROR_STEP * (1.0 - self.errors);
                if self.errors > usual + ERROR_MARGIN {
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
            self.caution(now + options.max_ejection_time);
        }
        before != after
    }
}

/// A span in milliseconds.
pub fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
