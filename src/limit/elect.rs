//! The lease of the region's pool: who polls when, and how hosts vote.

use {
    super::{
        event::{Action, Fault, Report},
        machine::Limit,
        message::{Message, Poll, Vote},
        plan::Way,
    },
    crate::name,
    std::time::Duration,
};

impl Limit {
    /// Renews the lease that this host holds, or polls for one that is free.
    pub(super) fn elect(&mut self, now: Duration) -> Vec<Action> {
        if !self.may_poll(now) {
            return Vec::new();
        }
        let id = self.next_id();
        self.lease.open(now, id);
        let host = self.setup.host.clone();
        let own = self.vote(now, host.clone(), Poll { id });
        if own.is_empty() {
            return Vec::new();
        }
        self.count(now, host, Vote { id });
        self.neighbours()
            .map(|to| Action::Send {
                to: to.clone(),
                message: Message::Poll(Poll { id }),
            })
            .collect()
    }

    /// A holder renews; another host polls when it knows of no holder, in the order of names so
    /// that votes aren't split.
    fn may_poll(&mut self, now: Duration) -> bool {
        let able = self.setup.way == Way::Leases && self.seated && !self.draining;
        if !able || self.cut.pool <= 0.0 {
            return false;
        }
        let renewal = self.setup.timing.renewal;
        let recent = self
            .lease
            .asked()
            .is_some_and(|asked| now < asked + renewal);
        if recent {
            return false;
        }
        if self.lease.until.is_some() {
            return true;
        }
        if let Some(holder) = self.lease.promised(now)
            && *holder != self.setup.host
        {
            self.lease_free = now;
            return false;
        }
        let rank = self
            .neighbours()
            .filter(|host| **host < self.setup.host)
            .count();
        now >= self.lease_free + renewal * rank as u32
    }

    /// The other live hosts of the region.
    pub(super) fn neighbours(&self) -> impl Iterator<Item = &name::Host> {
        self.regions.get(&self.setup.region).into_iter().flatten()
    }

    pub(super) fn vote(&mut self, now: Duration, from: name::Host, poll: Poll) -> Vec<Action> {
        if !self.seated {
            return Vec::new();
        }
        let until = now + self.setup.timing.outlast(self.setup.timing.lease);
        let promised = self.lease.promise(now, &from, poll.id.incarnation, until);
        if !promised && self.fault() != Some(Fault::VoteTwice) {
            return Vec::new();
        }
        vec![Action::Send {
            to: from,
            message: Message::Vote(Vote { id: poll.id }),
        }]
    }

    pub(super) fn count(&mut self, now: Duration, from: name::Host, vote: Vote) -> Vec<Action> {
        let Some(asked) = self.lease.count(vote.id, &from, self.cut.quorum) else {
            return Vec::new();
        };
        let until = asked + self.setup.timing.lease;
        if until <= now || self.draining {
            return Vec::new();
        }
        let held = self.lease.until;
        self.lease.until = Some(held.map_or(until, |held| held.max(until)));
        if held.is_some() {
            return Vec::new();
        }
        self.recut(now);
        vec![Action::Report(Report::Leased)]
    }
}
