//! Estimated load of a replica: its own reports, which lag, corrected by the requests that this
//! host has sent and seen end since a report was taken.

use {
    crate::name,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
};

/// Number of changes of this host's own count that are kept, to find the count at a report's time.
const MAX_HISTORY: usize = 64;
/// Largest drift between two clocks, as a share of the time that passes.
const MAX_CLOCK_DRIFT: f64 = 200e-6;

/// A replica's report of its load, read from its `/load`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// When the report was taken, in milliseconds of the replica's own clock.
    pub at_ms: u64,
    /// Number of requests that the replica runs.
    pub running: u32,
    /// Number of requests that wait in the replica's queue.
    pub waiting: u32,
    /// Number of requests that the replica can run at once; zero if not reported.
    pub slots: u32,
    /// Models that the replica has loaded; empty if not reported.
    #[serde(default)]
    pub models: Vec<name::Model>,
    /// Whether the replica finishes its requests and takes no new ones.
    #[serde(default)]
    pub draining: bool,
}

/// The load of one replica as this host estimates it.
#[derive(Debug, Clone, Default)]
pub struct Load {
    own_outstanding: u32,
    history: VecDeque<(Duration, u32)>,
    others_outstanding: u32,
    reported_at: Option<Duration>,
    at_ms: u64,
    min_offset_s: Option<f64>,
}

impl Load {
    /// Takes over a report that arrived at `now`. A report older than the last one is dropped. If
    /// it is older by more than `ttl`, the replica's clock has started anew and the report counts.
    pub fn apply_report(&mut self, now: Duration, report: &Report, ttl: Duration) {
        let has_restarted = self.at_ms.saturating_sub(report.at_ms) > ttl.as_millis() as u64;
        if has_restarted {
            self.min_offset_s = None;
        } else if report.at_ms < self.at_ms {
            return;
        }
        self.at_ms = report.at_ms;
        let taken_at = self.taken_at(now, report.at_ms);
        let total = report.running.saturating_add(report.waiting);
        self.others_outstanding = total.saturating_sub(self.own_at(taken_at));
        self.reported_at = Some(now);
    }

    /// When a report was taken, by this host's clock. The least difference seen between the two
    /// clocks, with an allowance for drift, is taken for that of a report without lag.
    fn taken_at(&mut self, now: Duration, at_ms: u64) -> Duration {
        let offset_s = now.as_secs_f64() - at_ms as f64 / 1_000.0;
        let since = now.saturating_sub(self.reported_at.unwrap_or(now));
        let drift_s = since.as_secs_f64() * MAX_CLOCK_DRIFT;
        let min_s = self.min_offset_s.unwrap_or(offset_s);
        let min_s = offset_s.min(min_s + drift_s);
        self.min_offset_s = Some(min_s);
        now.saturating_sub(Duration::from_secs_f64(offset_s - min_s))
    }

    fn own_at(&self, then: Duration) -> u32 {
        let change = self.history.iter().find(|(at, _)| *at > then);
        change.map_or(self.own_outstanding, |(_, count)| *count)
    }

    /// Records that this host sent a request.
    pub fn record_sent(&mut self, now: Duration) {
        self.push_history(now);
        self.own_outstanding += 1;
    }

    /// Records that a request of this host ended.
    pub fn record_ended(&mut self, now: Duration) {
        self.push_history(now);
        self.own_outstanding = self.own_outstanding.saturating_sub(1);
    }

    /// Keeps this host's count as it was before a change at `now`.
    fn push_history(&mut self, now: Duration) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, self.own_outstanding));
    }

    /// Number of this host's requests in the replica.
    pub fn own(&self) -> u32 {
        self.own_outstanding
    }

    /// Estimated number of requests of all hosts in the replica. Requests of other hosts count only
    /// while the last report is not older than `ttl`.
    pub fn outstanding(&self, now: Duration, ttl: Duration) -> u32 {
        let is_fresh = self
            .reported_at
            .is_some_and(|at| now.saturating_sub(at) <= ttl);
        if is_fresh {
            self.own_outstanding.saturating_add(self.others_outstanding)
        } else {
            self.own_outstanding
        }
    }
}

/// Prompt tokens that this host sent to a replica and that are probably not prefilled yet. They
/// decrease at the replica's usual prefill rate.
#[derive(Debug, Clone, Copy, Default)]
pub struct Prefill {
    tokens: f64,
    updated_at: Duration,
}

impl Prefill {
    /// Adds a prompt of `tokens`, prefilled at `rate` tokens per second.
    pub fn add(&mut self, now: Duration, tokens: u32, rate: f64) {
        self.tokens = self.remaining(now, rate) + f64::from(tokens);
        self.updated_at = now;
    }

    /// Tokens that are left at `now`, at `rate` tokens per second.
    pub fn remaining(&self, now: Duration, rate: f64) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.tokens - elapsed * rate).max(0.0)
    }
}
