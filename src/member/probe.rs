//! Probes under way: whom this host has pinged and what it does when no answer comes.

use {
    crate::name,
    std::{collections::BTreeMap, time::Duration},
};

/// An answer to a heartbeat is due by then.
const ACK_TIMEOUT: Duration = Duration::from_millis(500);

/// An answer through others is due by then.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(700);

/// A request of another host is remembered for this long.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);

/// The probes of one host, by sequence number.
#[derive(Debug, Default)]
pub(super) struct Probes {
    last_sequence: u64,
    pending: BTreeMap<u64, Probe>,
}

/// A ping that waits for its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Probe {
    /// The host that was pinged.
    pub(super) target: name::Host,
    /// On whose behalf.
    pub(super) purpose: Purpose,
    due_at: Duration,
}

/// Why a host was pinged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Purpose {
    /// To see that it lives; others are asked next.
    Direct,
    /// Others have been asked.
    Indirect,
    /// To exchange digests; its death is for its own failure domain to find.
    Exchange,
    /// Another host asked.
    Relay {
        /// Who asked.
        from: name::Host,
        /// Under which number.
        sequence: u64,
    },
}

impl Probes {
    /// Notes a ping and gives its number.
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

    /// The ping that an answer belongs to.
    pub(super) fn take_answered(&mut self, sequence: u64, target: &name::Host) -> Option<Probe> {
        if self.pending.get(&sequence)?.target != *target {
            return None;
        }
        self.pending.remove(&sequence)
    }

    /// Forgets every ping to a host that was heard of, but for those on behalf of others.
    pub(super) fn cancel_own(&mut self, target: &name::Host) {
        self.pending.retain(|_, probe| {
            probe.target != *target || matches!(probe.purpose, Purpose::Relay { .. })
        });
    }

    /// The pings whose answers are overdue.
    pub(super) fn take_overdue(&mut self, now: Duration) -> Vec<Probe> {
        self.pending
            .extract_if(.., |_, probe| probe.due_at <= now)
            .map(|(_, probe)| probe)
            .collect()
    }

    /// Forgets all pings.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }
}
