//! Pending probes: which hosts were pinged, for what purpose, and when each answer is due.

use {
    crate::name,
    std::{collections::BTreeMap, time::Duration},
};

/// Time within which a ping must be answered.
const ACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Time within which an indirect ping must be answered.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a ping on behalf of another host is kept.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);

/// Pending probes of one host, by sequence number.
#[derive(Debug, Default)]
pub(super) struct Probes {
    last_sequence: u64,
    pending: BTreeMap<u64, Probe>,
}

/// A ping without an answer yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Probe {
    /// The host that was pinged.
    pub(super) target: name::Host,
    /// Purpose of the ping, which decides what a timeout leads to.
    pub(super) purpose: Purpose,
    due_at: Duration,
}

/// Purpose of a ping, which decides what a timeout leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Detects failures; a timeout leads to indirect pings.
    Direct,
    /// Other hosts were asked to ping the target; a timeout leads to suspicion.
    Indirect,
    /// Exchanges gossip; a timeout leads to no suspicion, since the target's own failure domain
    /// detects its death.
    Exchange,
    /// On behalf of another host, which gets an `IndirectAck` if the target answers.
    Relay {
        /// Host that asked for the ping.
        from: name::Host,
        /// Sequence number of its indirect ping.
        sequence: u64,
    },
}

impl Probes {
    /// Records a ping and returns its sequence number.
    pub(super) fn start(&mut self, now: Duration, target: name::Host, purpose: Purpose) -> u64 {
        let timeout = match purpose {
            Purpose::Direct | Purpose::Exchange => ACK_TIMEOUT,
            Purpose::Indirect => INDIRECT_TIMEOUT,
            Purpose::Relay { .. } => RELAY_TIMEOUT,
        };
        self.last_sequence += 1;
        self.pending.insert(
            self.last_sequence,
            Probe {
                target,
                purpose,
                due_at: now + timeout,
            },
        );
        self.last_sequence
    }

    /// Removes and returns the ping that an answer belongs to.
    pub(super) fn take_answered(&mut self, sequence: u64, target: &name::Host) -> Option<Probe> {
        if self.pending.get(&sequence)?.target != *target {
            return None;
        }
        self.pending.remove(&sequence)
    }

    /// Removes the pings of a host that has sent a message, except those on behalf of other hosts.
    pub(super) fn cancel_own(&mut self, target: &name::Host) {
        self.pending.retain(|_, probe| {
            probe.target != *target || matches!(probe.purpose, Purpose::Relay { .. })
        });
    }

    /// Removes and returns the pings whose answers are overdue.
    pub(super) fn take_overdue(&mut self, now: Duration) -> Vec<Probe> {
        self.pending
            .extract_if(.., |_, probe| probe.due_at <= now)
            .map(|(_, probe)| probe)
            .collect()
    }

    /// Forgets all pending pings, so that none of them times out.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }
}
