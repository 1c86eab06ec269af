//! View of the fleet at one host: hosts of its failure domain from heartbeats, others from digests,
//! and the rest from the platform's list.

use {
    super::{event::Listing, machine::Machine, peer::State},
    crate::{config::spread, name},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The known hosts, including this one: all of this failure domain, and some of each other one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Known hosts, including this one, by name.
    pub hosts: BTreeMap<name::Host, Member>,
    /// Known failure domains, with their numbers of live hosts.
    pub domains: BTreeMap<name::Domain, Summary>,
}

/// One host of the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Region of the host.
    pub region: name::Region,
    /// Failure domain of the host.
    pub domain: name::Domain,
    /// Address at which callers reach the host.
    pub address: SocketAddr,
    /// Address at which other hosts reach the host.
    pub peer_address: SocketAddr,
    /// State of the host, as `source` reports it.
    pub state: State,
    /// Incarnation of the host; zero when it is not known.
    pub incarnation: u64,
    /// Source of the state.
    pub source: Source,
    /// Load of the host, in percent of its capacity; zero when it is not known.
    pub load: u8,
}

/// Source of what is known of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// Heartbeats within the failure domain.
    Heartbeat,
    /// The digest of the host's failure domain.
    Digest,
    /// Only the platform's list.
    List,
}

/// Region and size of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Region of the failure domain.
    pub region: name::Region,
    /// Number of live hosts; zero for a domain that is only known from the platform's list.
    pub live: usize,
}

impl View {
    /// The live hosts, without the host named `own`.
    pub fn live_others<'a>(
        &'a self,
        own: &'a name::Host,
    ) -> impl Iterator<Item = (&'a name::Host, &'a Member)> {
        self.hosts
            .iter()
            .filter(move |(host, member)| *host != own && member.state == State::Live)
    }

    /// View of the host named `own` for the spread of documents.
    pub fn spread_view(&self, own: &name::Host) -> spread::View {
        let domain = self.hosts.get(own).map(|member| &member.domain);
        let (same_domain, other_domains): (Vec<_>, Vec<_>) = self
            .live_others(own)
            .partition(|(_, member)| Some(&member.domain) == domain);
        let names = |hosts: Vec<(&name::Host, &Member)>| {
            hosts.into_iter().map(|(host, _)| host.clone()).collect()
        };
        let live: usize = self.domains.values().map(|summary| summary.live).sum();
        spread::View {
            same_domain: names(same_domain),
            other_domains: names(other_domains),
            host_count: live.max(self.hosts.len()),
            domain_count: self.domains.len().max(1),
        }
    }
}

impl Machine {
    /// Current view of the fleet.
    pub fn view(&self, now: Duration) -> View {
        let mut view = View::default();
        self.add_own_domain(&mut view);
        self.add_digests(now, &mut view);
        self.add_listed(now, &mut view);
        view
    }

    fn add_own_domain(&self, view: &mut View) {
        let own = (&self.settings.host, &self.own);
        for (host, peer) in self.table.iter().chain([own]) {
            let is_leaving = self.listed.get(host).is_some_and(|row| row.is_leaving);
            let load = match *host == self.settings.host {
                true => self.load,
                false => self.loads.get(host).copied().unwrap_or(0),
            };
            let state = match peer.state {
                State::Live if is_leaving => State::Leaving,
                state => state,
            };
            let source = match peer.incarnation {
                0 => Source::List,
                _ => Source::Heartbeat,
            };
            view.hosts.insert(
                host.clone(),
                Member {
                    region: peer.region.clone(),
                    domain: peer.domain.clone(),
                    address: peer.address,
                    peer_address: peer.peer_address,
                    state,
                    incarnation: peer.incarnation,
                    source,
                    load,
                },
            );
        }
        let live = view.hosts.values().filter(|host| host.state == State::Live);
        let summary = Summary {
            region: self.own.region.clone(),
            live: live.count(),
        };
        view.domains.insert(self.own.domain.clone(), summary);
    }

    fn add_digests(&self, now: Duration, view: &mut View) {
        for digest in self.domains.fresh(now) {
            let summary = Summary {
                region: digest.region.clone(),
                live: digest.live as usize,
            };
            view.domains.insert(digest.domain.clone(), summary);
            for contact in self.domains.usable_contacts(now, digest) {
                let is_leaving = self
                    .listed
                    .get(&contact.host)
                    .is_some_and(|row| row.is_leaving);
                let member = Member {
                    region: digest.region.clone(),
                    domain: digest.domain.clone(),
                    address: contact.address,
                    peer_address: contact.peer_address,
                    state: if is_leaving {
                        State::Leaving
                    } else {
                        State::Live
                    },
                    incarnation: 0,
                    source: Source::Digest,
                    load: 0,
                };
                view.hosts.insert(contact.host.clone(), member);
            }
        }
    }

    /// Adds the listed hosts of other failure domains, except those of a domain whose digest names
    /// all its live hosts.
    fn add_listed(&self, now: Duration, view: &mut View) {
        let complete_domains: BTreeSet<_> = self
            .domains
            .fresh(now)
            .filter(|digest| digest.contacts.len() >= digest.live as usize)
            .map(|digest| &digest.domain)
            .collect();
        for row in self.listed.values() {
            let is_covered =
                row.domain == self.own.domain || complete_domains.contains(&row.domain);
            if is_covered || view.hosts.contains_key(&row.host) {
                continue;
            }
            let state = match row.is_leaving {
                true => State::Leaving,
                false if self.domains.is_avoided(now, &row.host) => State::Suspect,
                false => State::Live,
            };
            view.hosts
                .insert(row.host.clone(), listed_member(row, state));
            let summary = Summary {
                region: row.region.clone(),
                live: 0,
            };
            view.domains.entry(row.domain.clone()).or_insert(summary);
        }
    }
}

fn listed_member(row: &Listing, state: State) -> Member {
    Member {
        region: row.region.clone(),
        domain: row.domain.clone(),
        address: row.address,
        peer_address: row.peer_address,
        state,
        incarnation: 0,
        source: Source::List,
        load: 0,
    }
}
