//! The voting hosts of a region: those whose acknowledgements count towards a majority.

use {
    crate::name,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// One voting host, as this host last heard from it.
#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    last_heard_at: Option<Duration>,
    /// Whether it started without records and has not recovered them yet.
    is_fresh: bool,
    /// Time until which the peer counts; `None` while it is on the host list.
    counts_until: Option<Duration>,
}

/// The voting hosts of a region as one host knows them.
///
/// Additions apply at once and removals after a delay, so that two hosts with different host lists
/// still need overlapping majorities.
#[derive(Debug, Default)]
pub(super) struct Roster {
    peers: BTreeMap<name::Host, Peer>,
}

impl Roster {
    /// Applies the host list. A host that is no longer on it counts for `removal_delay` longer.
    pub(super) fn set_listed(
        &mut self,
        now: Duration,
        hosts: &BTreeSet<name::Host>,
        removal_delay: Duration,
    ) {
        for host in hosts {
            self.peers.entry(host.clone()).or_default().counts_until = None;
        }
        for (host, peer) in &mut self.peers {
            if !hosts.contains(host) && peer.counts_until.is_none() {
                peer.counts_until = Some(now + removal_delay);
            }
        }
    }

    /// Records that a peer sent a message. False if its incarnation is an earlier one. An unlisted
    /// peer counts for `removal_delay` after its last message.
    pub(super) fn record_message(
        &mut self,
        now: Duration,
        host: &name::Host,
        incarnation: u64,
        removal_delay: Duration,
    ) -> bool {
        let peer = self.peers.entry(host.clone()).or_insert(Peer {
            counts_until: Some(now + removal_delay),
            ..Peer::default()
        });
        if incarnation < peer.incarnation {
            return false;
        }
        peer.incarnation = incarnation;
        peer.last_heard_at = Some(now);
        peer.counts_until = peer
            .counts_until
            .map(|until| until.max(now + removal_delay));
        true
    }

    pub(super) fn remove_expired(&mut self, now: Duration) {
        self.peers
            .retain(|_, peer| peer.counts_until.is_none_or(|until| now < until));
    }

    pub(super) fn incarnations(&self) -> BTreeMap<name::Host, u64> {
        self.peers
            .iter()
            .map(|(host, peer)| (host.clone(), peer.incarnation))
            .collect()
    }

    pub(super) fn hosts(&self) -> Vec<name::Host> {
        self.peers.keys().cloned().collect()
    }

    /// Sets whether a peer started without records and has not recovered them yet.
    pub(super) fn set_fresh(&mut self, host: &name::Host, fresh: bool) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.is_fresh = fresh;
        }
    }

    /// Whether a majority, with `own`, is fresh and has sent a message since `after`.
    pub(super) fn is_majority_fresh(&self, own: &name::Host, after: Duration) -> bool {
        let is_fresh = |(host, peer): &(&name::Host, &Peer)| {
            *host == own || (peer.is_fresh && peer.last_heard_at.is_some_and(|at| at > after))
        };
        let count = self.peers.iter().filter(is_fresh).count();
        2 * count > self.peers.len()
    }

    /// Whether a majority, with `own`, has sent a message since `after`.
    pub(super) fn is_majority_heard(&self, own: &name::Host, after: Duration) -> bool {
        let is_heard = |(host, peer): &(&name::Host, &Peer)| {
            *host == own || peer.last_heard_at.is_some_and(|at| at > after)
        };
        let count = self.peers.iter().filter(is_heard).count();
        2 * count > self.peers.len()
    }
}

/// Adds the hosts of `other` to `into`, with the higher incarnation of each.
pub(super) fn merge_incarnations(
    into: &mut BTreeMap<name::Host, u64>,
    other: &BTreeMap<name::Host, u64>,
) {
    for (host, &incarnation) in other {
        let known = into.entry(host.clone()).or_default();
        *known = incarnation.max(*known);
    }
}
