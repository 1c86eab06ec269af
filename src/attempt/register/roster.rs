//! The hosts of a region whose notes count.

use {
    crate::name,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    heard: Option<Duration>,
    fresh: bool,
    /// Until when the peer counts; `None` while it is listed.
    until: Option<Duration>,
}

/// A region's hosts as one host knows them. Additions are believed at once, removals late.
#[derive(Debug, Default)]
pub(super) struct Roster {
    peers: BTreeMap<name::Host, Peer>,
}

impl Roster {
    /// Takes the host list; one that left it counts for `hold` longer.
    pub(super) fn list(&mut self, now: Duration, hosts: &BTreeSet<name::Host>, hold: Duration) {
        for host in hosts {
            self.peers.entry(host.clone()).or_default().until = None;
        }
        for (host, peer) in &mut self.peers {
            if !hosts.contains(host) && peer.until.is_none() {
                peer.until = Some(now + hold);
            }
        }
    }

    /// Notes a message of a peer. False if it is of an earlier incarnation.
    pub(super) fn hear(
        &mut self,
        now: Duration,
        host: &name::Host,
        incarnation: u64,
        hold: Duration,
    ) -> bool {
        let peer = self.peers.entry(host.clone()).or_insert(Peer {
            until: Some(now + hold),
            ..Peer::default()
        });
        if incarnation < peer.incarnation {
            return false;
        }
        peer.incarnation = incarnation;
        peer.heard = Some(now);
        peer.until = peer.until.map(|until| until.max(now + hold));
        true
    }

    pub(super) fn expire(&mut self, now: Duration) {
        self.peers
            .retain(|_, peer| peer.until.is_none_or(|until| now < until));
    }

    pub(super) fn known(&self) -> BTreeMap<name::Host, u64> {
        self.peers
            .iter()
            .map(|(host, peer)| (host.clone(), peer.incarnation))
            .collect()
    }

    pub(super) fn hosts(&self) -> Vec<name::Host> {
        self.peers.keys().cloned().collect()
    }

    /// Notes whether a peer started with nothing and has not caught up.
    pub(super) fn set_fresh(&mut self, host: &name::Host, fresh: bool) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.fresh = fresh;
        }
    }

    /// Whether a majority, `own` included, is fresh and was heard from after `after`.
    pub(super) fn majority_fresh(&self, own: &name::Host, after: Duration) -> bool {
        let fresh = |(host, peer): &(&name::Host, &Peer)| {
            *host == own || (peer.fresh && peer.heard.is_some_and(|at| at > after))
        };
        let count = self.peers.iter().filter(fresh).count();
        2 * count > self.peers.len()
    }

    /// Whether a majority was heard from after `after`; `own` counts as heard.
    pub(super) fn majority_heard(&self, own: &name::Host, after: Duration) -> bool {
        let heard = |(host, peer): &(&name::Host, &Peer)| {
            *host == own || peer.heard.is_some_and(|at| at > after)
        };
        let count = self.peers.iter().filter(heard).count();
        2 * count > self.peers.len()
    }
}

/// Takes the higher incarnation of each host.
pub(super) fn merge(into: &mut BTreeMap<name::Host, u64>, other: &BTreeMap<name::Host, u64>) {
    for (host, &incarnation) in other {
        let known = into.entry(host.clone()).or_default();
        *known = incarnation.max(*known);
    }
}
