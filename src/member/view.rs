//! The fleet as one host sees it.

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

/// The entry hosts that are known, this one among them: all of this failure domain, and some of
/// each other one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The hosts by name.
    pub hosts: BTreeMap<name::Host, Member>,
    /// Live hosts of each failure domain.
    pub domains: BTreeMap<name::Domain, Summary>,
}

/// One host of the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its region.
    pub region: name::Region,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Its state.
    pub state: State,
    /// Its incarnation; zero when it is not known.
    pub incarnation: u64,
    /// How its state is known.
    pub source: Source,
    /// How much of what it can take it has, in percent; zero when it is not known.
    pub load: u8,
}

/// How a host's state is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// From heartbeats within the failure domain.
    Heartbeat,
    /// From the digest of its failure domain.
    Digest,
    /// From the platform's list only.
    List,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Its region.
    pub region: name::Region,
    /// Its live hosts.
    pub live: usize,
}

impl View {
    /// The hosts that are live, with the host of this name left out.
    pub fn live_others<'a>(
        &'a self,
        own: &'a name::Host,
    ) -> impl Iterator<Item = (&'a name::Host, &'a Member)> {
        self.hosts
            .iter()
            .filter(move |(host, member)| *host != own && member.state == State::Live)
    }

    /// What the spread of documents needs to know.
    pub fn spread_view(&self, own: &name::Host) -> spread::View {
        let domain = self.hosts.get(own).map(|member| &member.domain);
        let (near, far): (Vec<_>, Vec<_>) = self
            .live_others(own)
            .partition(|(_, member)| Some(&member.domain) == domain);
        let names = |hosts: Vec<(&name::Host, &Member)>| {
            hosts.into_iter().map(|(host, _)| host.clone()).collect()
        };
        let known: usize = self.domains.values().map(|size| size.live).sum();
        spread::View {
            same_domain: names(near),
            other_domains: names(far),
            host_count: known.max(self.hosts.len()),
            domain_count: self.domains.len().max(1),
        }
    }
}

impl Machine {
    /// The fleet as this host sees it.
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
            let listed = self.listed.get(host).is_some_and(|row| row.is_leaving);
            let load = match *host == self.settings.host {
                true => self.load,
                false => self.loads.get(host).copied().unwrap_or(0),
            };
            let state = match peer.state {
                State::Live if listed => State::Leaving,
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
        let size = Summary {
            region: self.own.region.clone(),
            live: live.count(),
        };
        view.domains.insert(self.own.domain.clone(), size);
    }

    fn add_digests(&self, now: Duration, view: &mut View) {
        for digest in self.domains.fresh(now) {
            let size = Summary {
                region: digest.region.clone(),
                live: digest.live as usize,
            };
            view.domains.insert(digest.domain.clone(), size);
            for contact in self.domains.usable_contacts(now, digest) {
                let leaving = self
                    .listed
                    .get(&contact.host)
                    .is_some_and(|row| row.is_leaving);
                let member = Member {
                    region: digest.region.clone(),
                    domain: digest.domain.clone(),
                    address: contact.address,
                    peer_address: contact.peer_address,
                    state: if leaving { State::Leaving } else { State::Live },
                    incarnation: 0,
                    source: Source::Digest,
                    load: 0,
                };
                view.hosts.insert(contact.host.clone(), member);
            }
        }
    }

    /// Listed hosts of other failure domains of which no digest tells more.
    fn add_listed(&self, now: Duration, view: &mut View) {
        let complete: BTreeSet<_> = self
            .domains
            .fresh(now)
            .filter(|digest| digest.contacts.len() >= digest.live as usize)
            .map(|digest| &digest.domain)
            .collect();
        for row in self.listed.values() {
            let told = row.domain == self.own.domain || complete.contains(&row.domain);
            if told || view.hosts.contains_key(&row.host) {
                continue;
            }
            let state = match row.is_leaving {
                true => State::Leaving,
                false if self.domains.is_avoided(now, &row.host) => State::Suspect,
                false => State::Live,
            };
            view.hosts.insert(row.host.clone(), member(row, state));
            let size = Summary {
                region: row.region.clone(),
                live: 0,
            };
            view.domains.entry(row.domain.clone()).or_insert(size);
        }
    }
}

fn member(row: &Listing, state: State) -> Member {
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
