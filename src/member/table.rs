//! Records of the other hosts of this failure domain, and how often each is still passed on.

use {
    super::{
        event::{Mutant, Report},
        peer::{Peer, State, Update},
    },
    crate::{name, rendezvous},
    std::{collections::BTreeMap, time::Duration},
};

/// Maximum number of updates in one message.
const MAX_UPDATES: usize = 6;

/// Time after which a dead host that is not on the platform's list is removed.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Records of the other hosts of this failure domain, by host.
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
    /// Creates an empty table.
    pub(super) fn new(mutant: Option<Mutant>) -> Self {
        Self {
            entries: BTreeMap::new(),
            mutant,
        }
    }

    /// Record of a host, if it is known.
    pub(super) fn get(&self, host: &name::Host) -> Option<&Peer> {
        self.entries.get(host).map(|entry| &entry.peer)
    }

    /// All records, in the order of the hosts' names.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&name::Host, &Peer)> {
        self.entries.iter().map(|(host, entry)| (host, &entry.peer))
    }

    /// Stores a record if it supersedes the known one; returns a report if the state changes.
    pub(super) fn merge(
        &mut self,
        now: Duration,
        host: &name::Host,
        peer: &Peer,
    ) -> Option<Report> {
        let known = self.get(host);
        let before = known.map(|known| known.state);
        let is_newer = known.is_none_or(|known| peer.supersedes(known));
        let accepts_any = self.mutant == Some(Mutant::AcceptAnyIncarnation) && known != Some(peer);
        if !is_newer && !accepts_any {
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

    /// Updates for the next message, those passed on least first.
    pub(super) fn next_updates(&mut self) -> Vec<Update> {
        let mut pending: Vec<_> = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.sends_left > 0)
            .collect();
        pending.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.sends_left));
        pending
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

    /// All records, as updates.
    pub(super) fn all_updates(&self) -> Vec<Update> {
        let update = |(host, peer): (&name::Host, &Peer)| Update {
            host: host.clone(),
            peer: peer.clone(),
        };
        self.iter().map(update).collect()
    }

    /// Checksum of the records of hosts that are not dead, without those known only from the
    /// platform's list. It does not depend on which host computes it.
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

    /// Removes hosts that have been dead for `FORGET_AFTER`, except those that `keep` selects.
    pub(super) fn remove_dead(&mut self, now: Duration, keep: impl Fn(&name::Host) -> bool) {
        self.entries.retain(|host, entry| {
            entry.peer.is_up() || now < entry.changed_at + FORGET_AFTER || keep(host)
        });
    }
}
