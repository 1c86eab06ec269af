//! Election of the host that holds the lease of its region's pool: when to poll, how to vote and
//! how to count the votes.

use {
    super::{
        event::{Action, Mutant, Report},
        machine::Limiter,
        message::{Message, Poll, Vote},
        plan::Mode,
    },
    crate::name,
    std::time::Duration,
};

impl Limiter {
    /// Starts a poll to renew this host's lease or to acquire a free one.
    pub(super) fn poll_for_lease(&mut self, now: Duration) -> Vec<Action> {
        if !self.should_poll(now) {
            return Vec::new();
        }
        let id = self.next_id();
        self.lease.start_poll(now, id);
        let host = self.setup.host.clone();
        let own_vote = self.receive_poll(now, host.clone(), Poll { id });
        if own_vote.is_empty() {
            return Vec::new();
        }
        self.receive_vote(now, host, Vote { id });
        self.region_peers()
            .map(|to| Action::Send {
                to: to.clone(),
                message: Message::Poll(Poll { id }),
            })
            .collect()
    }

    /// A leaseholder polls to renew. Another host polls when it knows of no leaseholder, delayed by
    /// its rank in the order of names, so that votes are not split.
    fn should_poll(&mut self, now: Duration) -> bool {
        let is_eligible = self.setup.mode == Mode::Leases && self.is_seated && !self.is_draining;
        if !is_eligible || self.allocation.pool_fraction <= 0.0 {
            return false;
        }
        let renewal = self.setup.timing.lease_renewal_interval;
        let polled_recently = self
            .lease
            .poll_started_at()
            .is_some_and(|started_at| now < started_at + renewal);
        if polled_recently {
            return false;
        }
        if self.lease.held_until.is_some() {
            return true;
        }
        if let Some(holder) = self.lease.promised_host(now)
            && *holder != self.setup.host
        {
            self.lease_free_at = now;
            return false;
        }
        let rank = self
            .region_peers()
            .filter(|host| **host < self.setup.host)
            .count();
        now >= self.lease_free_at + renewal * rank as u32
    }

    /// The other hosts of this host's region that are not dead.
    pub(super) fn region_peers(&self) -> impl Iterator<Item = &name::Host> {
        self.hosts_by_region
            .get(&self.setup.region)
            .into_iter()
            .flatten()
    }

    pub(super) fn receive_poll(
        &mut self,
        now: Duration,
        from: name::Host,
        poll: Poll,
    ) -> Vec<Action> {
        if !self.is_seated {
            return Vec::new();
        }
        let until = now
            + self
                .setup
                .timing
                .padded_for_drift(self.setup.timing.lease_term);
        let promised = self
            .lease
            .promise_vote(now, &from, poll.id.incarnation, until);
        if !promised && self.mutant() != Some(Mutant::VoteTwice) {
            return Vec::new();
        }
        vec![Action::Send {
            to: from,
            message: Message::Vote(Vote { id: poll.id }),
        }]
    }

    pub(super) fn receive_vote(
        &mut self,
        now: Duration,
        from: name::Host,
        vote: Vote,
    ) -> Vec<Action> {
        let Some(started_at) = self
            .lease
            .count_vote(vote.id, &from, self.allocation.quorum)
        else {
            return Vec::new();
        };
        let until = started_at + self.setup.timing.lease_term;
        if until <= now || self.is_draining {
            return Vec::new();
        }
        let previous = self.lease.held_until;
        self.lease.held_until = Some(previous.map_or(until, |previous| previous.max(until)));
        if previous.is_some() {
            return Vec::new();
        }
        self.apply_allocation(now);
        vec![Action::Report(Report::LeaseAcquired)]
    }
}
