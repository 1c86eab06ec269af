//! Ejection of failing replicas, and their careful return.

use {super::options::Options, std::time::Duration};

/// Doublings after which the ejection's length no longer grows.
const MAX_DOUBLINGS: u32 = 16;

/// Whether a replica may be used, from what became of earlier requests.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failure_score: f64,
    ejections: u32,
    ejected_until: Option<Duration>,
    is_probing: bool,
}

/// What may be sent to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Anything.
    Healthy,
    /// One request, to see whether it works again.
    Probe,
    /// Nothing.
    Ejected,
}

impl Health {
    /// What may be sent at `now`.
    pub fn standing(&self, now: Duration) -> Standing {
        match self.ejected_until {
            None => Standing::Healthy,
            Some(until) if now < until || self.is_probing => Standing::Ejected,
            Some(_) => Standing::Probe,
        }
    }

    /// A request has been sent.
    pub fn record_sent(&mut self, now: Duration) {
        self.is_probing = self.standing(now) == Standing::Probe || self.is_probing;
    }

    /// A request ended well. Returns whether the replica has just come back.
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

    /// A request ended without saying anything about the replica.
    pub fn record_withdrawn(&mut self) {
        self.is_probing = false;
    }

    /// A request failed through the replica's fault.
    pub fn record_failure(&mut self, now: Duration, options: &Options) {
        self.failure_score += 1.0;
        let ejected = self.ejected_until.is_some();
        let again = ejected && self.is_probing;
        let first = !ejected && self.failure_score >= options.ejection_threshold;
        if !again && !first {
            return;
        }
        let doubled = 1 << self.ejections.min(MAX_DOUBLINGS);
        let length = (options.ejection_time * doubled).min(options.max_ejection_time);
        self.ejected_until = Some(now + length);
        self.ejections += 1;
        self.failure_score = 0.0;
        self.is_probing = false;
    }
}
