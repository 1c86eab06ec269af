//! The limit that an upstream in need names in its answers: the requests a second that it takes
//! from all hosts together.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Hosts that use a limit: so many for each request a second, and [`MIN_SENDERS`].
const SENDERS_PER_RATE: f64 = 1.5;
/// Hosts that use a limit, however small it is.
const MIN_SENDERS: usize = 2;
/// Requests a second that all hosts together send whatever the limit, so that an upstream can tell
/// when it is over.
const MIN_RATE: f64 = 0.2;
/// Time for which a host saves up its part of the limit.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Time without news of a limit after which hosts that don't use it may ask, one after the other.
/// More than a request takes at [`MIN_RATE`].
const NEWS_TIMEOUT: Duration = Duration::from_secs(6);
/// Time by which each such host is later than the one before it.
const NEWS_STAGGER: Duration = Duration::from_secs(1);
/// How long hosts report that a limit was lifted.
const LIFTED_TTL: Duration = Duration::from_secs(10);

/// Requests a second; positive and finite.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

impl Rate {
    /// A rate of so many requests a second, or `None` if that is no positive number.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second > 0.0).then_some(Self(per_second))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = &'static str;

    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        Self::new(per_second).ok_or("a rate is not positive")
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> Self {
        rate.0
    }
}

/// What an answer says of its upstream's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Notice {
    /// The upstream names no limit.
    #[default]
    Absent,
    /// The upstream names this limit.
    Limit(Rate),
    /// The upstream names something that is no limit.
    Malformed,
}

/// This host's part of an upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Requests a second that this host may send; zero if others use the whole limit.
    pub per_second: f64,
    /// Number of hosts of the region that come before this one in using the limit.
    pub rank: usize,
    /// Number of hosts of the region.
    pub hosts: usize,
}

impl Share {
    /// The part of the host with this rank.
    ///
    /// A host can send no less than one request at a time, and all may do so at once, so a small
    /// limit is used by the first hosts only.
    pub fn new(limit: Rate, rank: usize, hosts: usize) -> Self {
        let senders = (limit.0 * SENDERS_PER_RATE) as usize;
        let senders = senders.saturating_add(MIN_SENDERS).min(hosts).max(1);
        let per_second = if rank < senders {
            limit.0.max(MIN_RATE) / senders as f64
        } else {
            0.0
        };
        Self {
            per_second,
            rank,
            hosts,
        }
    }
}

/// What a host of the region reports of an upstream's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The limit; `None` if it was lifted.
    #[serde(rename = "l")]
    pub limit: Option<Rate>,
    /// Time since the news.
    #[serde(rename = "a")]
    pub age: Duration,
}

/// The limit of one upstream, as of the last answer that told it, and what this host sends.
#[derive(Debug, Default)]
pub struct Throttle {
    limit: Option<Rate>,
    /// When the last answer that named the limit arrived.
    named_at: Duration,
    /// When the last request was sent whose answer named none.
    absent_at: Duration,
    /// Whether something that is no limit was named, which is logged once.
    has_malformed: bool,
    /// Requests that this host has saved up, as of `filled_at`.
    tokens: f64,
    filled_at: Duration,
    /// When this host last sent a request.
    sent_at: Option<Duration>,
}

/// A change in what is known of an upstream's limit, to be logged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The limit has another value; `None` if there is no limit any more.
    Limit(Option<Rate>),
    /// An answer named something that is no limit. What was known before holds.
    Malformed,
}

impl Throttle {
    /// The limit in force.
    pub fn limit(&self) -> Option<Rate> {
        self.limit
    }

    /// Records what an answer says, which arrived at `now` for a request sent at `sent_at`.
    ///
    /// Answers overtake each other, so one to a request that was sent before the limit was last
    /// named does not lift or raise it.
    pub fn record(&mut self, now: Duration, sent_at: Duration, notice: Notice) -> Option<Change> {
        match notice {
            Notice::Malformed => {
                let is_first = !std::mem::replace(&mut self.has_malformed, true);
                is_first.then_some(Change::Malformed)
            }
            Notice::Absent => {
                self.absent_at = self.absent_at.max(sent_at);
                self.lift()
            }
            Notice::Limit(rate) => {
                if self.limit.is_some_and(|known| rate > known) && sent_at < self.named_at {
                    return None;
                }
                self.named_at = now;
                self.set(now, rate)
            }
        }
    }

    /// Records what another host of the region reports.
    pub fn record_report(&mut self, now: Duration, report: &Report) -> Option<Change> {
        let at = now.saturating_sub(report.age);
        match report.limit {
            None => {
                self.absent_at = self.absent_at.max(at);
                self.lift()
            }
            Some(rate) if at > self.named_at.max(self.absent_at) => {
                self.named_at = at;
                self.set(now, rate)
            }
            Some(_) => None,
        }
    }

    /// What this host reports to the others of its region, if there is news.
    pub fn report(&self, now: Duration) -> Option<Report> {
        let at = match self.limit {
            Some(_) => self.named_at,
            None => self.absent_at,
        };
        let was_named = self.named_at > Duration::ZERO;
        let age = now.saturating_sub(at);
        let is_news = self.limit.is_some() || (was_named && age < LIFTED_TTL);
        let limit = self.limit;
        is_news.then_some(Report { limit, age })
    }

    fn set(&mut self, now: Duration, rate: Rate) -> Option<Change> {
        let before = self.limit.replace(rate);
        if before.is_none() {
            self.tokens = 0.0;
            self.filled_at = now;
        }
        (before != Some(rate)).then_some(Change::Limit(Some(rate)))
    }

    fn lift(&mut self) -> Option<Change> {
        if self.limit.is_none() || self.absent_at < self.named_at {
            return None;
        }
        self.limit = None;
        Some(Change::Limit(None))
    }

    /// Whether this host may send a request now.
    pub fn may_send(&self, now: Duration, share: &Share) -> bool {
        if self.limit.is_none() {
            return true;
        }
        if share.per_second > 0.0 {
            return self.tokens(now, share) >= 1.0;
        }
        let news_at = self.named_at.max(self.absent_at);
        let turn = NEWS_TIMEOUT + NEWS_STAGGER * share.rank as u32;
        let pause = Duration::from_secs_f64(share.hosts as f64 / MIN_RATE);
        now >= news_at + turn && self.sent_at.is_none_or(|at| now >= at + pause)
    }

    /// Requests that this host may send at once.
    pub fn tokens(&self, now: Duration, share: &Share) -> f64 {
        let age = now.saturating_sub(self.filled_at).as_secs_f64();
        let most = (share.per_second * BURST_TIME.as_secs_f64()).max(1.0);
        (self.tokens + age * share.per_second).min(most)
    }

    /// Records that this host sends a request.
    pub fn record_send(&mut self, now: Duration, share: &Share) {
        self.tokens = (self.tokens(now, share) - 1.0).max(0.0);
        self.filled_at = now;
        self.sent_at = Some(now);
    }
}
