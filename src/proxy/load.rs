//! The load that an upstream reports in its answers: how many requests it has, and by how much its
//! machine slows work down at present.
//!
//! Each answer holds figures of the time at which it was sent. Hosts of a region share them, because
//! the slowdown changes several times a second, and one host sends too little to one upstream to
//! follow it.

use {
    super::quarantine::Process,
    crate::name,
    serde::{Deserialize, Serialize},
    std::{cmp::Ordering, collections::VecDeque, time::Duration},
};

/// Age up to which a reading's slowdown is used. It changes several times a second.
pub const SLOWDOWN_TTL: Duration = Duration::from_millis(600);
/// Age up to which a reading's numbers of requests are used.
pub const REQUESTS_TTL: Duration = Duration::from_secs(1);
/// Most readings in a report to another host.
pub const MAX_REPORTED: usize = 64;
/// Bounds of the factor that is taken from a reading, so that a wrong figure neither draws all
/// requests to an upstream nor keeps its predictions from being finite.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 12.0);
/// Power of the predicted time to which the chance of an upstream in a draw is inversely proportional.
/// A higher one keeps more requests from a slow upstream, but lets hosts with the same readings choose
/// the same upstream more often.
const DRAW_POWER: i32 = 3;
/// Shortest time between two log lines on figures of one upstream that can't be read.
const MALFORMED_INTERVAL: Duration = Duration::from_secs(10);

/// The figures that one answer reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// Requests that the upstream works on.
    #[serde(rename = "r")]
    pub running: u32,
    /// Requests that wait at the upstream.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Requests that it can work on at once.
    #[serde(rename = "n")]
    pub slots: u32,
    /// How long work takes at present, in percent of the usual time; `None` if it isn't reported.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub slowdown_percent: Option<u32>,
}

/// What a host of the region reports of one upstream's load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The process of the upstream that sent the reading.
    #[serde(rename = "p")]
    pub process: Process,
    /// Time since the reading arrived at the sender of the report.
    #[serde(rename = "a")]
    pub age: Duration,
    /// The reading.
    #[serde(rename = "f")]
    pub reading: Reading,
}

/// Orders reports from the newest reading to the oldest.
pub fn order(left: &Report, right: &Report) -> Ordering {
    left.age.cmp(&right.age)
}

/// The first [`MAX_REPORTED`] of reports in [`order`] whose readings are not older than `max_age`.
pub fn news(reports: &[Report], max_age: Duration) -> Vec<Report> {
    let fresh = reports.iter().take_while(|report| report.age <= max_age);
    fresh.take(MAX_REPORTED).cloned().collect()
}

/// The result of an upstream in a draw, from its predicted time and a random number; the least wins.
///
/// Hosts that all chose the upstream with the shortest predicted time by the same readings would
/// overload it before the next readings arrive.
pub fn score(predicted_ms: f64, random: u64) -> f64 {
    let share = (random as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -share.ln() * predicted_ms.powi(DRAW_POWER)
}

/// A reading with its origin.
#[derive(Debug)]
struct Sample {
    reading: Reading,
    taken_at: Duration,
    /// The host that took it; `None` if this one did.
    taken_by: Option<name::Host>,
}

/// The load of one process of an upstream, as of its newest reading.
#[derive(Debug, Default)]
pub struct Estimate {
    newest: Option<Sample>,
    /// When requests of this host were sent (1) or ended (-1), within [`REQUESTS_TTL`].
    changes: VecDeque<(Duration, i64)>,
    /// When figures that can't be read were last told.
    malformed_at: Option<Duration>,
}

impl Estimate {
    /// Records the reading of an answer that arrived at `now`.
    pub fn record(&mut self, now: Duration, reading: Reading) {
        self.changes.clear();
        self.newest = Some(Sample {
            reading,
            taken_at: now,
            taken_by: None,
        });
    }

    /// Records a reading that another host reports. Of several readings the newest one counts.
    pub fn record_report(&mut self, now: Duration, host: &name::Host, report: &Report) {
        let taken_at = now.saturating_sub(report.age);
        let is_newest = |known: &Sample| taken_at > known.taken_at;
        if report.age <= REQUESTS_TTL && self.newest.as_ref().is_none_or(is_newest) {
            self.newest = Some(Sample {
                reading: report.reading,
                taken_at,
                taken_by: Some(host.clone()),
            });
        }
    }

    /// Records figures that can't be read, which change nothing. Returns whether to log that.
    pub fn record_malformed(&mut self, now: Duration) -> bool {
        let is_due = |at: Duration| now.saturating_sub(at) >= MALFORMED_INTERVAL;
        let is_logged = self.malformed_at.is_none_or(is_due);
        if is_logged {
            self.malformed_at = Some(now);
        }
        is_logged
    }

    /// Records that this host sends a request to the upstream.
    pub fn record_send(&mut self, now: Duration) {
        self.record_change(now, 1);
    }

    /// Records that a request of this host at the upstream ended.
    pub fn record_end(&mut self, now: Duration) {
        self.record_change(now, -1);
    }

    fn record_change(&mut self, now: Duration, change: i64) {
        let since = now.saturating_sub(REQUESTS_TTL);
        while self.changes.front().is_some_and(|(at, _)| *at < since) {
            self.changes.pop_front();
        }
        self.changes.push_back((now, change));
    }

    /// Factor by which work takes longer than usual at present; 1 if it isn't known.
    pub fn slowdown(&self, now: Duration) -> f64 {
        let reading = self.fresh(now, SLOWDOWN_TTL).map(|sample| &sample.reading);
        let percent = reading.and_then(|reading| reading.slowdown_percent);
        percent.map_or(1.0, |percent| {
            (f64::from(percent) / 100.0).clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1)
        })
    }

    /// Requests that run or wait at the upstream: those of the newest reading, and what this host has
    /// sent and seen end since. `None` if that isn't known.
    pub fn requests(&self, now: Duration) -> Option<u32> {
        let sample = self.fresh(now, REQUESTS_TTL)?;
        let read = i64::from(sample.reading.running) + i64::from(sample.reading.waiting);
        let since = self.changes.iter().filter(|(at, _)| *at >= sample.taken_at);
        let requests = read + since.map(|(_, change)| change).sum::<i64>();
        Some(u32::try_from(requests.max(0)).unwrap_or(u32::MAX))
    }

    /// Requests that the upstream can work on at once; `None` if that isn't known.
    pub fn slots(&self, now: Duration) -> Option<u32> {
        let slots = self.fresh(now, REQUESTS_TTL)?.reading.slots;
        (slots > 0).then_some(slots)
    }

    /// The newest reading with its age, if this host took it and it can still be used.
    pub fn own(&self, now: Duration) -> Option<(Duration, Reading)> {
        let sample = self.fresh(now, REQUESTS_TTL)?;
        let age = now.saturating_sub(sample.taken_at);
        sample.taken_by.is_none().then_some((age, sample.reading))
    }

    fn fresh(&self, now: Duration, ttl: Duration) -> Option<&Sample> {
        let sample = self.newest.as_ref()?;
        (now.saturating_sub(sample.taken_at) <= ttl).then_some(sample)
    }
}
