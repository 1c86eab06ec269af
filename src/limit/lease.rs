//! State of the lease of a region's pool at one host: the lease it holds, the vote it has
//! promised, and the votes of its own poll. A majority of votes grants the lease.

use {
    super::message::Id,
    crate::name,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, time::Duration},
};

/// What a host knows about its region's lease.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// End of this host's lease on its own clock; `None` when it holds none.
    pub held_until: Option<Duration>,
    promise: Option<Promise>,
    poll: Option<Tally>,
}

/// A voter's promise to vote for no other process until a given time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Promise {
    host: name::Host,
    incarnation: u64,
    until: Duration,
}

/// Votes in this host's latest poll.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Tally {
    id: Id,
    started_at: Duration,
    votes: BTreeSet<name::Host>,
}

impl Lease {
    /// Host to which this one has promised its vote, until the promise ends.
    pub fn promised_host(&self, now: Duration) -> Option<&name::Host> {
        let promise = self.promise.as_ref()?;
        (now < promise.until).then_some(&promise.host)
    }

    /// Promises the vote until `until`, unless another process has the promise; returns whether it
    /// is given.
    pub(super) fn promise_vote(
        &mut self,
        now: Duration,
        host: &name::Host,
        incarnation: u64,
        until: Duration,
    ) -> bool {
        if let Some(promise) = &self.promise {
            let is_same_process = promise.host == *host && promise.incarnation == incarnation;
            if now < promise.until && !is_same_process {
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

    /// Starts a poll, which replaces an earlier one.
    pub(super) fn start_poll(&mut self, now: Duration, id: Id) {
        self.poll = Some(Tally {
            id,
            started_at: now,
            votes: BTreeSet::new(),
        });
    }

    /// Start of the latest poll.
    pub(super) fn poll_started_at(&self) -> Option<Duration> {
        self.poll.as_ref().map(|poll| poll.started_at)
    }

    /// Counts a vote. Once `quorum` hosts have voted, returns the start of the poll.
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
