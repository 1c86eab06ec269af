//! Which of the hosts that serve a region a directory answer names.
//!
//! A caller opens each connection to one of the named hosts, drawn evenly. Hosts of different sizes
//! get new connections in proportion to their capacities if each is named with a probability in that
//! proportion. Every host gives a caller the same answer from the same view of the fleet.

use {
    super::fleet::Identity,
    crate::route::affinity,
    std::{
        collections::BTreeSet,
        net::{IpAddr, SocketAddr},
    },
};

/// Largest number of hosts that an answer names: its format allows no more addresses.
pub const MAX_HOSTS: usize = 64;
/// Number of hosts that an answer names at least, where there are as many. With fewer, the failure of
/// one host breaks more than an eighth of a caller's connections.
const MIN_HOSTS: usize = 8;

/// An answer to a caller's directory lookup.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// Addresses of the named hosts, for callers.
    pub addresses: Vec<SocketAddr>,
    /// Whether these are in other regions than the caller.
    pub is_elsewhere: bool,
    /// Whether hosts were left out for the sake of their capacities.
    pub is_weighted: bool,
}

impl Answer {
    /// Names some of the `hosts` that can serve the caller with the address `caller`.
    ///
    /// All are named, up to [`MAX_HOSTS`], if they have the same capacity or that of any is unknown.
    pub fn new(caller: IpAddr, hosts: &[&Identity], is_elsewhere: bool) -> Self {
        let known = hosts.iter().map(|host| host.capacity.filter(|it| *it > 0));
        let capacities: Option<Vec<_>> = known.collect();
        let capacities = capacities.filter(|all| all.windows(2).any(|pair| pair[0] != pair[1]));
        let named = capacities.map(|capacities| select(caller, hosts, &capacities));
        let addresses = hosts.iter().enumerate();
        let addresses =
            addresses.filter(|(at, _)| named.as_ref().is_none_or(|named| named.contains(at)));
        Self {
            addresses: addresses
                .map(|(_, host)| host.callers)
                .take(MAX_HOSTS)
                .collect(),
            is_elsewhere,
            is_weighted: named.is_some_and(|named| named.len() < hosts.len()),
        }
    }
}

/// Selects hosts for a caller, by their positions in `hosts`.
///
/// This is Pareto sampling: hosts are ranked by their odds of being named and by a rendezvous weight,
/// and the first ones are named. A host that goes changes little for the rest.
fn select(caller: IpAddr, hosts: &[&Identity], capacities: &[u32]) -> BTreeSet<usize> {
    let caller = hash(caller);
    let size = size(capacities);
    // The fraction of the size is the share of callers that get one host more.
    let count = (size + unit(affinity::mix(caller))) as usize;
    let mut ranked: Vec<_> = probabilities(capacities, size)
        .into_iter()
        .map(|(at, probability)| {
            let point = affinity::hash(hosts[at].host.as_str().as_bytes());
            let draw = unit(affinity::weight(caller, point));
            let rank = draw * (1.0 - probability) / ((1.0 - draw) * probability);
            (rank, at)
        })
        .collect();
    ranked.sort_by(|(left, a), (right, b)| {
        let by_name = || hosts[*a].host.cmp(&hosts[*b].host);
        left.total_cmp(right).then_with(by_name)
    });
    let mut ranked: Vec<_> = ranked.into_iter().map(|(_, at)| at).collect();
    let rest = ranked.split_off(count.min(ranked.len()));
    let domains: BTreeSet<_> = ranked.iter().map(|at| &hosts[*at].domain).collect();
    let is_other = |at: &&usize| !domains.contains(&hosts[**at].domain);
    let other = rest.iter().find(is_other).filter(|_| domains.len() == 1);
    if let Some(other) = other {
        ranked.truncate(MAX_HOSTS - 1);
        ranked.push(*other);
    }
    ranked.into_iter().collect()
}

/// Mean number of hosts to name, so that the largest ones are in every answer where the bounds allow.
fn size(capacities: &[u32]) -> f64 {
    let largest = capacities.iter().max().copied().unwrap_or(1);
    let sum: u64 = capacities.iter().copied().map(u64::from).sum();
    let least = MIN_HOSTS.min(capacities.len());
    (sum as f64 / f64::from(largest)).clamp(least as f64, MAX_HOSTS as f64)
}

/// The probability with which each host is named, by falling capacity: in proportion to the
/// capacities and `size` in sum. Where that exceeds one, the host is in every answer, and the others
/// share the rest in proportion.
fn probabilities(capacities: &[u32], size: f64) -> Vec<(usize, f64)> {
    let mut falling: Vec<_> = capacities.iter().copied().enumerate().collect();
    falling.sort_by_key(|(_, capacity)| std::cmp::Reverse(*capacity));
    let mut left = size;
    let mut sum: f64 = capacities.iter().copied().map(f64::from).sum();
    let shares = falling.into_iter().map(|(at, capacity)| {
        let capacity = f64::from(capacity);
        let share = capacity * left / sum;
        if share >= 1.0 {
            left -= 1.0;
            sum -= capacity;
        }
        (at, share.min(1.0))
    });
    shares.collect()
}

/// Hash of a caller's address. One that reaches the host as an IPv4 address mapped to IPv6 is the
/// same caller.
fn hash(caller: IpAddr) -> u64 {
    match caller.to_canonical() {
        IpAddr::V4(address) => affinity::hash(&address.octets()),
        IpAddr::V6(address) => affinity::hash(&address.octets()),
    }
}

/// A hash as a number between zero and one, both excluded.
fn unit(hash: u64) -> f64 {
    // 52 bits and the half are exact in a double; the half keeps the ends out.
    ((hash >> 12) as f64 + 0.5) / (1_u64 << 52) as f64
}
