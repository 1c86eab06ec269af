//! Decides which entry hosts a caller should use, in which order, and for how long.
//!
//! [`resolve`] is a pure function of the answering host's view of the fleet. Two hosts with the
//! same view return the same order for a caller. A change of the fleet moves only the callers of
//! the hosts that changed, so that other callers keep their connections. [`Places`] maps callers'
//! addresses to regions.

use {
    crate::{
        member::{Member, State, View},
        name, rendezvous, source,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// Most hosts listed in an answer.
const MAX_HOSTS: usize = 8;

/// How long an answer is valid while the fleet is stable, without jitter of up to half of it.
const BASE_TTL: Duration = Duration::from_secs(10);

/// The same while a host of the caller's region is suspect or leaving.
const UNSETTLED_TTL: Duration = Duration::from_secs(3);

/// A host with a load above this percentage is listed after the others of its region.
const BUSY_LOAD_PERCENT: u8 = 85;

/// The caller that an answer is for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// A stable identifier of this caller, such as its address.
    pub key: String,
    /// The region it is in; absent if the client directory has no row for it.
    pub region: Option<name::Region>,
    /// Regions in which its requests may be served; empty if there is no restriction.
    pub residency: BTreeSet<name::Region>,
}

/// The hosts for one caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The hosts to use, the preferred one first.
    pub hosts: Vec<Entry>,
    /// How long the answer is valid.
    #[serde(rename = "hold")]
    pub ttl: Duration,
}

/// One entry host in an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The name of the host.
    pub name: name::Host,
    /// The address at which callers reach it.
    pub address: SocketAddr,
    /// The region that it runs in.
    pub region: name::Region,
    /// The failure domain that it belongs to.
    pub domain: name::Domain,
}

/// Whether a host is in the caller's region; lower values are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Nearness {
    Home,
    Elsewhere,
}

/// How well a host suits a caller; lower values are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    condition: Condition,
    nearness: Nearness,
    is_busy: bool,
}

/// The membership state of a host that may be listed; lower values are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Condition {
    Live,
    Suspect,
    Leaving,
}

/// The hosts that a caller should use, as seen by a host in `local_region`, which also stands in
/// for an unknown region of the caller.
///
/// Hosts outside the caller's residency are left out. Hosts of the caller's region come before
/// others, and busy hosts of a region last. Suspect hosts are listed only if no host is live, and
/// leaving ones only if no host is live or suspect. Among equal hosts the order depends on the
/// caller, and the failure domains alternate.
pub fn resolve(view: &View, local_region: &name::Region, caller: &Caller) -> Answer {
    let home = caller.region.as_ref().unwrap_or(local_region);
    let mut ranks: BTreeMap<Rank, Vec<(&name::Host, &Member)>> = BTreeMap::new();
    for (host, member) in &view.hosts {
        if !caller.residency.is_empty() && !caller.residency.contains(&member.region) {
            continue;
        }
        if let Some(rank) = rank(member, home) {
            ranks.entry(rank).or_default().push((host, member));
        }
    }
    let best = ranks.keys().next().map(|rank| rank.condition);
    let hosts = ranks
        .into_iter()
        .filter(|(rank, _)| Some(rank.condition) == best)
        .flat_map(|(_, hosts)| interleave_domains(&caller.key, hosts))
        .take(MAX_HOSTS)
        .map(to_entry)
        .collect();
    Answer {
        hosts,
        ttl: ttl(view, home, &caller.key),
    }
}

fn rank(member: &Member, home: &name::Region) -> Option<Rank> {
    let condition = match member.state {
        State::Live => Condition::Live,
        State::Suspect => Condition::Suspect,
        State::Leaving => Condition::Leaving,
        State::Dead => return None,
    };
    let nearness = match member.region == *home {
        true => Nearness::Home,
        false => Nearness::Elsewhere,
    };
    Some(Rank {
        condition,
        nearness,
        is_busy: member.load > BUSY_LOAD_PERCENT,
    })
}

/// Orders equally ranked hosts by rendezvous weight for the caller's key, then alternates between
/// their failure domains.
fn interleave_domains<'a>(
    key: &str,
    hosts: Vec<(&'a name::Host, &'a Member)>,
) -> Vec<(&'a name::Host, &'a Member)> {
    let members: BTreeMap<_, _> = hosts
        .into_iter()
        .map(|(host, member)| (host.as_str(), (host, member)))
        .collect();
    let mut domains: Vec<(&name::Domain, VecDeque<_>)> = Vec::new();
    for name in rendezvous::order(key, members.keys()) {
        let (host, member) = members[name];
        match domains
            .iter_mut()
            .find(|(domain, _)| **domain == member.domain)
        {
            Some((_, queue)) => queue.push_back((host, member)),
            None => domains.push((&member.domain, VecDeque::from([(host, member)]))),
        }
    }
    let mut order = Vec::new();
    while order.len() < members.len() {
        order.extend(
            domains
                .iter_mut()
                .filter_map(|(_, queue)| queue.pop_front()),
        );
    }
    order
}

fn to_entry((host, member): (&name::Host, &Member)) -> Entry {
    Entry {
        name: host.clone(),
        address: member.address,
        region: member.region.clone(),
        domain: member.domain.clone(),
    }
}

/// How long an answer is valid. Jitter by caller keeps callers from asking all at once.
fn ttl(view: &View, home: &name::Region, key: &str) -> Duration {
    let unsettled = view.hosts.values().any(|member| {
        member.region == *home && matches!(member.state, State::Suspect | State::Leaving)
    });
    let ttl = if unsettled { UNSETTLED_TTL } else { BASE_TTL };
    let jitter_permille = rendezvous::weight("hold", key) % 500;
    ttl + ttl * jitter_permille as u32 / 1000
}

/// The regions of callers' networks, from the platform's client directory.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Places {
    subnets: Vec<Subnet>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Subnet {
    network: IpAddr,
    prefix_len: u32,
    region: name::Region,
}

impl Places {
    /// Reads the directory's rows; a row whose network is not in CIDR notation is left out.
    pub fn new(directory: &source::Directory) -> Self {
        let subnet = |client: &source::Client| {
            let (network, prefix_len) = client.network.split_once('/')?;
            let network: IpAddr = network.parse().ok()?;
            let prefix_len = prefix_len
                .parse()
                .ok()
                .filter(|prefix_len| *prefix_len <= address_bits(network))?;
            Some(Subnet {
                network,
                prefix_len,
                region: client.region.clone(),
            })
        };
        Self {
            subnets: directory.clients.iter().filter_map(subnet).collect(),
        }
    }

    /// The region of the network with the longest prefix that contains an address.
    pub fn region(&self, address: IpAddr) -> Option<&name::Region> {
        self.subnets
            .iter()
            .filter(|subnet| subnet.contains(address))
            .max_by_key(|subnet| subnet.prefix_len)
            .map(|subnet| &subnet.region)
    }
}

impl Subnet {
    fn contains(&self, address: IpAddr) -> bool {
        if address.is_ipv4() != self.network.is_ipv4() {
            return false;
        }
        let shift = address_bits(address) - self.prefix_len;
        let prefix = |address| address_value(address).checked_shr(shift).unwrap_or(0);
        prefix(address) == prefix(self.network)
    }
}

fn address_bits(address: IpAddr) -> u32 {
    match address {
        IpAddr::V4(_) => 32,
        IpAddr::V6(_) => 128,
    }
}

fn address_value(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(address) => u128::from(address.to_bits()),
        IpAddr::V6(address) => address.to_bits(),
    }
}
