//! The rest that an upstream asks a host for when it turns a request away.
//!
//! Each refusal asks for a rest of its own, and the longest one holds. Other hosts are asked by refusals
//! of their own. After a rest the hosts return one after the other, and each with single requests until
//! one is answered: many hosts are asked for rests that end together.

use std::time::Duration;

/// Longest rest that is granted. An upstream that asks for more has most likely got the unit wrong, and
/// must not be lost until it starts again.
const MAX_REST: Duration = Duration::from_secs(300);
/// Longest time after a rest within which all hosts return.
const MAX_RETURN_TIME: Duration = Duration::from_millis(500);
/// The same as a share of the rest.
const RETURN_SHARE: f64 = 0.25;
/// Time between two requests to an upstream that has answered none since its rest.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// A host's turn to return, as the part of all hosts of the region that return before it: 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Turn(f64);

impl Turn {
    /// The turn of the host with this rank among all hosts.
    pub fn new(rank: usize, hosts: usize) -> Self {
        Self((rank as f64 / hosts.max(1) as f64).min(1.0))
    }

    /// The turn of a host that doesn't know its rank, from a hash of its name and the upstream's.
    pub fn from_hash(hash: u64) -> Self {
        Self(hash as f64 / u64::MAX as f64)
    }
}

/// Parses a number of seconds: digits with at most one point, without sign, exponent or the name of a
/// number. What is longer than any time is the longest one.
pub fn parse_seconds(text: &str) -> Option<Duration> {
    let text = text.trim();
    let is_decimal = text
        .chars()
        .all(|sign| sign.is_ascii_digit() || sign == '.');
    let seconds = text.parse().ok().filter(|_| is_decimal)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// The rest of one upstream, as this host was asked for it.
#[derive(Debug, Clone, Default)]
pub struct Rest {
    until: Duration,
    /// Time after the end within which all hosts return.
    return_time: Duration,
    /// Whether nothing but refusals was heard since the rest was asked for.
    is_unproven: bool,
    /// When a request was last sent since.
    tried_at: Option<Duration>,
}

impl Rest {
    /// Records that the upstream asks for rest. Returns how long it gets, or `None` if that ends no
    /// later than what it has.
    pub fn record(&mut self, now: Duration, asked: Duration) -> Option<Duration> {
        let length = asked.min(MAX_REST);
        let until = now.saturating_add(length);
        if until <= self.until.max(now) {
            return None;
        }
        self.until = until;
        self.return_time = length.mul_f64(RETURN_SHARE).min(MAX_RETURN_TIME);
        self.is_unproven = true;
        self.tried_at = None;
        Some(length)
    }

    /// Records that the upstream has begun to answer a request.
    pub fn record_answer(&mut self, now: Duration) {
        if now >= self.until {
            self.is_unproven = false;
        }
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, now: Duration) {
        if self.is_unproven && now >= self.until {
            self.tried_at = Some(now);
        }
    }

    /// Time until the end of the rest; zero without one.
    pub fn left(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }

    /// Whether the upstream has answered a request since its last rest.
    pub fn is_proven(&self) -> bool {
        !self.is_unproven
    }

    /// Whether the upstream rests no more.
    pub fn is_over(&self, now: Duration) -> bool {
        now >= self.until
    }

    /// Whether the host whose turn it is may send another request now.
    pub fn may_send(&self, now: Duration, turn: Turn) -> bool {
        let is_due = |at: Duration| now.saturating_sub(at) >= TRIAL_INTERVAL;
        let returns_at = self.until.saturating_add(self.return_time.mul_f64(turn.0));
        !self.is_unproven || (now >= returns_at && self.tried_at.is_none_or(is_due))
    }
}
