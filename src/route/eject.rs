//! Ejection of failing replicas, and their careful return.

use {super::options::Options, std::time::Duration};

/// Doublings after which the ejection's length no longer grows.
const DOUBLINGS: u32 = 16;

/// Whether a replica may be used, from what became of earlier requests.
#[derive(Debug, Clone, Default)]
pub struct Health {
    score: f64,
    ejections: u32,
    ejected_until: Option<Duration>,
    probing: bool,
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
            Some(until) if now < until || self.probing => Standing::Ejected,
            Some(_) => Standing::Probe,
        }
    }

    /// A request has been sent.
    pub fn sent(&mut self, now: Duration) {
        self.probing = self.standing(now) == Standing::Probe || self.probing;
    }

    /// A request ended well. Returns whether the replica has just come back.
    pub fn succeeded(&mut self) -> bool {
        self.score /= 2.0;
        if !self.probing {
            return false;
        }
        *self = Self {
            ejections: self.ejections.saturating_sub(1),
            ..Self::default()
        };
        true
    }

    /// A request ended without saying anything about the replica.
    pub fn withdrawn(&mut self) {
        self.probing = false;
    }

    /// A request failed through the replica's fault.
    pub fn failed(&mut self, now: Duration, options: &Options) {
        self.score += 1.0;
        let ejected = self.ejected_until.is_some();
        let again = ejected && self.probing;
        let first = !ejected && self.score >= options.eject_at;
        if !again && !first {
            return;
        }
        let doubled = 1 << self.ejections.min(DOUBLINGS);
        let length = (options.eject_for * doubled).min(options.eject_for_at_most);
        self.ejected_until = Some(now + length);
        self.ejections += 1;
        self.score = 0.0;
        self.probing = false;
    }
}
