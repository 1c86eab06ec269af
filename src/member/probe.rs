//! Probes under way: whom this host has pinged and what it does when no answer comes.

use {
    crate::name,
    std::{collections::BTreeMap, time::Duration},
};

/// An answer to a heartbeat is due by then.
const ACK_TIMEOUT: Duration = Duration::from_millis(500);

/// An answer through others is due by then.
const VOUCH_TIMEOUT: Duration = Duration::from_millis(700);

/// A request of another host is remembered for this long.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);

/// The probes of one host, by sequence number.
#[derive(Debug, Default)]
pub(super) struct Probes {
    next: u64,
    pending: BTreeMap<u64, Probe>,
}

/// A ping that waits for its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Probe {
    /// The host that was pinged.
    pub(super) target: name::Host,
    /// On whose behalf.
    pub(super) purpose: Purpose,
    due: Duration,
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
    pub(super) fn begin(&mut self, now: Duration, target: name::Host, purpose: Purpose) -> u64 {
        let timeout = match purpose {
            Purpose::Direct | Purpose::Exchange => ACK_TIMEOUT,
            Purpose::Indirect => VOUCH_TIMEOUT,
            Purpose::Relay { .. } => RELAY_TIMEOUT,
        };
        self.next += 1;
        self.pending.insert(
            self.next,
            Probe {
                target,
                purpose,
                due: now + timeout,
            },
        );
        self.next
    }

    /// The ping that an answer belongs to.
    pub(super) fn answered(&mut self, sequence: u64, target: &name::Host) -> Option<Probe> {
        if self.pending.get(&sequence)?.target != *target {
            return None;
        }
        self.pending.remove(&sequence)
    }

    /// Forgets every ping to a host that was heard of, but for those on behalf of others.
    pub(super) fn heard(&mut self, target: &name::Host) {
        self.pending.retain(|_, probe| {
            probe.target != *target || matches!(probe.purpose, Purpose::Relay { .. })
        });
    }

    /// The pings whose answers are overdue.
    pub(super) fn overdue(&mut self, now: Duration) -> Vec<Probe> {
        self.pending
            .extract_if(.., |_, probe| probe.due <= now)
            .map(|(_, probe)| probe)
            .collect()
    }

    /// Forgets all pings.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }
}
