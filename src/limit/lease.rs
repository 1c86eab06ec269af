//! The lease of a region's pool: voters promise, a majority makes a holder.

use {
    super::message::Id,
    crate::name,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, time::Duration},
};

/// What a host knows of its region's lease.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Until when this host holds the lease, on its own clock.
    pub held_until: Option<Duration>,
    promise: Option<Promise>,
    poll: Option<Tally>,
}

/// A voter's promise to vote for no other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Promise {
    host: name::Host,
    incarnation: u64,
    until: Duration,
}

/// The votes of this host's own poll.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Tally {
    id: Id,
    started_at: Duration,
    votes: BTreeSet<name::Host>,
}

impl Lease {
    /// Whom this host has promised its vote, while the promise holds.
    pub fn promised_host(&self, now: Duration) -> Option<&name::Host> {
        let promise = self.promise.as_ref()?;
        (now < promise.until).then_some(&promise.host)
    }

    /// Promises the vote until `until`, unless another has it.
    pub(super) fn promise_vote(
        &mut self,
        now: Duration,
        host: &name::Host,
        incarnation: u64,
        until: Duration,
    ) -> bool {
        if let Some(promise) = &self.promise {
            let same = promise.host == *host && promise.incarnation == incarnation;
            if now < promise.until && !same {
                return false;
            }
        }
        self.promise = Some(Promise {
            host: host.clone(),
            incarnation,
            until,
        });
        true
    }

    /// Starts a poll of this host's own.
    pub(super) fn start_poll(&mut self, now: Duration, id: Id) {
        self.poll = Some(Tally {
            id,
            started_at: now,
            votes: BTreeSet::new(),
        });
    }

    /// When the running poll was asked.
    pub(super) fn poll_started_at(&self) -> Option<Duration> {
        self.poll.as_ref().map(|poll| poll.started_at)
    }

    /// Counts a vote; with a majority, returns when the poll was asked.
    pub(super) fn count_vote(
        &mut self,
        id: Id,
        from: &name::Host,
        quorum: u32,
    ) -> Option<Duration> {
        let poll = self.poll.as_mut().filter(|poll| poll.id == id)?;
        poll.votes.insert(from.clone());
        (poll.votes.len() as u64 >= u64::from(quorum)).then_some(poll.started_at)
    }

    /// Gives up the lease and any poll.
    pub(super) fn resign(&mut self) {
        self.held_until = None;
        self.poll = None;
    }
}
