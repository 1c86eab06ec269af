//! Ejection of failing replicas: how long one gets no requests, and how a single probe request
//! decides on its return.

use {super::options::Options, std::time::Duration};

/// Number of ejections in a row after which their length is no longer doubled.
const MAX_DOUBLINGS: u32 = 16;

/// Health of a replica, from the outcomes of earlier requests to it.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failure_score: f64,
    ejections: u32,
    ejected_until: Option<Duration>,
    is_probing: bool,
}

/// What may be sent to a replica, by its health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Any number of requests.
    Healthy,
    /// One request, to test whether the replica works again.
    Probe,
    /// No requests.
    Ejected,
}

impl Health {
    /// Returns what may be sent at `now`.
    pub fn standing(&self, now: Duration) -> Standing {
        match self.ejected_until {
            None => Standing::Healthy,
            Some(until) if now < until || self.is_probing => Standing::Ejected,
            Some(_) => Standing::Probe,
        }
    }

    /// Records that a request was sent. It is the probe if the ejection is over.
    pub fn record_sent(&mut self, now: Duration) {
        self.is_probing = self.standing(now) == Standing::Probe || self.is_probing;
    }

    /// Records that a request was answered. Returns whether this ends an ejection.
    pub fn record_success(&mut self) -> bool {
        self.failure_score /= 2.0;
        if !self.is_probing {
            return false;
        }
        *self = Self {
            ejections: self.ejections.saturating_sub(1),
            ..Self::default()
        };
        true
    }

    /// Records that a request ended without an outcome for the replica, as when its caller left.
    pub fn record_withdrawn(&mut self) {
        self.is_probing = false;
    }

    /// Records that a request failed through the replica's fault, and ejects the replica if its
    /// score is too high or the request was the probe.
    pub fn record_failure(&mut self, now: Duration, options: &Options) {
        self.failure_score += 1.0;
        let is_ejected = self.ejected_until.is_some();
        let probe_failed = is_ejected && self.is_probing;
        let reaches_threshold = !is_ejected && self.failure_score >= options.ejection_threshold;
        if !probe_failed && !reaches_threshold {
            return;
        }
        let factor = 1 << self.ejections.min(MAX_DOUBLINGS);
        let length = (options.ejection_time * factor).min(options.max_ejection_time);
        self.ejected_until = Some(now + length);
        self.ejections += 1;
        self.failure_score = 0.0;
        self.is_probing = false;
    }
}
