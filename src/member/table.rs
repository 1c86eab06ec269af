//! The records of one failure domain, and which of them are still to be passed on.

use {
    super::{
        event::{Mutant, Report},
        peer::{Peer, State, Update},
    },
    crate::{name, rendezvous},
    std::{collections::BTreeMap, time::Duration},
};

/// Most news in one message.
const MAX_UPDATES: usize = 6;

/// A dead host that is no longer on the platform's list is forgotten after this.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// The records.
#[derive(Debug, Default)]
pub(super) struct Table {
    entries: BTreeMap<name::Host, Entry>,
    mutant: Option<Mutant>,
}

#[derive(Debug)]
struct Entry {
    peer: Peer,
    changed_at: Duration,
    sends_left: u32,
}

impl Table {
    /// No records.
    pub(super) fn new(mutant: Option<Mutant>) -> Self {
        Self {
            entries: BTreeMap::new(),
            mutant,
        }
    }

    /// A host's record.
    pub(super) fn get(&self, host: &name::Host) -> Option<&Peer> {
        self.entries.get(host).map(|entry| &entry.peer)
    }

    /// All records.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&name::Host, &Peer)> {
        self.entries.iter().map(|(host, entry)| (host, &entry.peer))
    }

    /// Takes a record if it replaces the one known.
    pub(super) fn merge(
        &mut self,
        now: Duration,
        host: &name::Host,
        peer: &Peer,
    ) -> Option<Report> {
        let known = self.get(host);
        let before = known.map(|known| known.state);
        let newer = known.is_none_or(|known| peer.supersedes(known));
        let believed = self.mutant == Some(Mutant::AcceptAnyIncarnation) && known != Some(peer);
        if !newer && !believed {
            return None;
        }
        let sends_left = 3 * (self.entries.len() + 2).ilog2();
        let entry = Entry {
            peer: peer.clone(),
            changed_at: now,
            sends_left,
        };
        self.entries.insert(host.clone(), entry);
        if before == Some(peer.state) {
            return None;
        }
        Some(Report::StateChanged {
            host: host.clone(),
            before,
            now: peer.state,
            incarnation: peer.incarnation,
        })
    }

    /// Changes a host's state within its incarnation.
    pub(super) fn set_state(
        &mut self,
        now: Duration,
        host: &name::Host,
        state: State,
    ) -> Option<Report> {
        let peer = Peer {
            state,
            ..self.get(host)?.clone()
        };
        self.merge(now, host, &peer)
    }

    /// News to pass on, those passed on least first.
    pub(super) fn next_updates(&mut self) -> Vec<Update> {
        let mut fresh: Vec<_> = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.sends_left > 0)
            .collect();
        fresh.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.sends_left));
        fresh
            .into_iter()
            .take(MAX_UPDATES)
            .map(|(host, entry)| {
                entry.sends_left -= 1;
                Update {
                    host: host.clone(),
                    peer: entry.peer.clone(),
                }
            })
            .collect()
    }

    /// Every record.
    pub(super) fn all_updates(&self) -> Vec<Update> {
        let update = |(host, peer): (&name::Host, &Peer)| Update {
            host: host.clone(),
            peer: peer.clone(),
        };
        self.iter().map(update).collect()
    }

    /// The same on two hosts that know the same of the hosts that are up.
    pub(super) fn checksum(&self) -> u64 {
        let hash = |(host, peer): (&name::Host, &Peer)| {
            let record = format!("{} {}", peer.incarnation, peer.state);
            rendezvous::weight(host.as_str(), &record)
        };
        self.iter()
            .filter(|(_, peer)| peer.is_up() && peer.incarnation > 0)
            .map(hash)
            .fold(0, u64::wrapping_add)
    }

    /// Forgets hosts that died long ago, but for those for which `keep` holds.
    pub(super) fn remove_dead(&mut self, now: Duration, keep: impl Fn(&name::Host) -> bool) {
        self.entries.retain(|host, entry| {
            entry.peer.is_up() || now < entry.changed_at + FORGET_AFTER || keep(host)
        });
    }
}
