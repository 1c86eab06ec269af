//! The fleet as one host sees it.

use {
    super::peer::State,
    crate::{config::spread, name},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// The entry hosts that are known, this one among them: all of this failure domain, and some of
/// each other one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The hosts by name.
    pub hosts: BTreeMap<name::Host, Member>,
    /// Live hosts of each failure domain.
    pub domains: BTreeMap<name::Domain, Size>,
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
pub struct Size {
    /// Its region.
    pub region: name::Region,
    /// Its live hosts.
    pub live: usize,
}

impl View {
    /// The hosts that are live, with the host of this name left out.
    pub fn live<'a>(
        &'a self,
        own: &'a name::Host,
    ) -> impl Iterator<Item = (&'a name::Host, &'a Member)> {
        self.hosts
            .iter()
            .filter(move |(host, member)| *host != own && member.state == State::Live)
    }

    /// What the spread of documents needs to know.
    pub fn spread(&self, own: &name::Host) -> spread::View {
        let domain = self.hosts.get(own).map(|member| &member.domain);
        let (near, far): (Vec<_>, Vec<_>) = self
            .live(own)
            .partition(|(_, member)| Some(&member.domain) == domain);
        let names = |hosts: Vec<(&name::Host, &Member)>| {
            hosts.into_iter().map(|(host, _)| host.clone()).collect()
        };
        let known: usize = self.domains.values().map(|size| size.live).sum();
        spread::View {
            near: names(near),
            far: names(far),
            hosts: known.max(self.hosts.len()),
            domains: self.domains.len().max(1),
        }
    }
}
