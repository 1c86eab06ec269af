//! The lease of the region's pool: who polls when, and how hosts vote.

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
    /// Renews the lease that this host holds, or polls for one that is free.
    pub(super) fn poll_for_lease(&mut self, now: Duration) -> Vec<Action> {
        if !self.should_poll(now) {
            return Vec::new();
        }
        let id = self.next_id();
        self.lease.start_poll(now, id);
        let host = self.setup.host.clone();
        let own = self.receive_poll(now, host.clone(), Poll { id });
        if own.is_empty() {
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

    /// A holder renews; another host polls when it knows of no holder, in the order of names so
    /// that votes aren't split.
    fn should_poll(&mut self, now: Duration) -> bool {
        let able = self.setup.mode == Mode::Leases && self.is_seated && !self.is_draining;
        if !able || self.allocation.pool_fraction <= 0.0 {
            return false;
        }
        let renewal = self.setup.timing.lease_renewal_interval;
        let recent = self
            .lease
            .poll_started_at()
            .is_some_and(|asked| now < asked + renewal);
        if recent {
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

    /// The other live hosts of the region.
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
        let Some(asked) = self
            .lease
            .count_vote(vote.id, &from, self.allocation.quorum)
        else {
            return Vec::new();
        };
        let until = asked + self.setup.timing.lease_term;
        if until <= now || self.is_draining {
            return Vec::new();
        }
        let held = self.lease.held_until;
        self.lease.held_until = Some(held.map_or(until, |held| held.max(until)));
        if held.is_some() {
            return Vec::new();
        }
        self.apply_allocation(now);
        vec![Action::Report(Report::LeaseAcquired)]
    }
}
