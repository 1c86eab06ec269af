//! A replica's load: its own lagging reports, corrected by what this host sent and saw end.

use {
    crate::name,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
};

/// Changes of this host's own count that are remembered, to look back to a report's time.
const MAX_HISTORY: usize = 64;
/// How much two clocks may drift apart, as a share of the time that passes.
const MAX_CLOCK_DRIFT: f64 = 200e-6;

/// What a replica reports about itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// When it was taken, in milliseconds of the replica's own clock.
    pub at_ms: u64,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// The models that it has loaded; empty where it doesn't say.
    #[serde(default)]
    pub models: Vec<name::Model>,
    /// Whether it finishes what it has and takes nothing new.
    #[serde(default)]
    pub draining: bool,
}

/// The load of one replica as this host believes it.
#[derive(Debug, Clone, Default)]
pub struct Load {
    own_outstanding: u32,
    history: VecDeque<(Duration, u32)>,
    others_outstanding: u32,
    reported_at: Option<Duration>,
    at_ms: u64,
    least_offset_s: Option<f64>,
}

impl Load {
    /// Takes in a report that arrived at `now`. An older one than the last is dropped, unless the
    /// replica's clock started anew.
    pub fn apply_report(&mut self, now: Duration, report: &Report, life: Duration) {
        let restarted = self.at_ms.saturating_sub(report.at_ms) > life.as_millis() as u64;
        if restarted {
            self.least_offset_s = None;
        } else if report.at_ms < self.at_ms {
            return;
        }
        self.at_ms = report.at_ms;
        let taken = self.taken_at(now, report.at_ms);
        let total = report.running + report.waiting;
        self.others_outstanding = total.saturating_sub(self.own_at(taken));
        self.reported_at = Some(now);
    }

    /// When the report was taken on this host's clock: the least difference seen between the
    /// clocks, drift allowed for, stands for a report without lag.
    fn taken_at(&mut self, now: Duration, at_ms: u64) -> Duration {
        let offset = now.as_secs_f64() - at_ms as f64 / 1_000.0;
        let since = now.saturating_sub(self.reported_at.unwrap_or(now));
        let drift = since.as_secs_f64() * MAX_CLOCK_DRIFT;
        let least = self.least_offset_s.unwrap_or(offset);
        let least = offset.min(least + drift);
        self.least_offset_s = Some(least);
        now.saturating_sub(Duration::from_secs_f64(offset - least))
    }

    fn own_at(&self, then: Duration) -> u32 {
        let after = self.history.iter().find(|(at, _)| *at > then);
        after.map_or(self.own_outstanding, |(_, before)| *before)
    }

    /// One request has been sent.
    pub fn record_sent(&mut self, now: Duration) {
        self.push_history(now);
        self.own_outstanding += 1;
    }

    /// One request has ended.
    pub fn record_ended(&mut self, now: Duration) {
        self.push_history(now);
        self.own_outstanding = self.own_outstanding.saturating_sub(1);
    }

    /// Keeps the count as it was before a change at `now`.
    fn push_history(&mut self, now: Duration) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, self.own_outstanding));
    }

    /// Requests of this host that are under way.
    pub fn own(&self) -> u32 {
        self.own_outstanding
    }

    /// Requests of all hosts that are believed to be running or waiting.
    pub fn outstanding(&self, now: Duration, life: Duration) -> u32 {
        let fresh = self
            .reported_at
            .is_some_and(|at| now.saturating_sub(at) <= life);
        if fresh {
            self.own_outstanding + self.others_outstanding
        } else {
            self.own_outstanding
        }
    }
}

/// Prompt tokens that this host sent to a replica and that it has probably not yet taken in. They
/// run off at the replica's usual speed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Prefill {
    tokens: f64,
    updated_at: Duration,
}

impl Prefill {
    /// A prompt has been sent.
    pub fn add(&mut self, now: Duration, tokens: u32, rate: f64) {
        self.tokens = self.remaining(now, rate) + f64::from(tokens);
        self.updated_at = now;
    }

    /// The tokens left.
    pub fn remaining(&self, now: Duration, rate: f64) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.tokens - elapsed * rate).max(0.0)
    }
}
