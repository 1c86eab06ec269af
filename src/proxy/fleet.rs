//! The other hosts, from the reports that they send each other. A report is a heartbeat and
//! carries the load that its sender put on upstreams and what its region has to spare, so that
//! hosts of a region don't all choose the same idle upstream, and regions know each other's room.

use {
    super::{rate::Usage, replica::Tally},
    crate::{name, route::affinity},
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time between reports to hosts of the same region, in a small fleet.
const REGION_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time between reports to hosts of other regions that forward to the sender, and to all of them
/// in a small fleet.
const REMOTE_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Peers of the region, or of the others, up to which those times hold; beyond, they grow in
/// proportion, so that a host's messages a second stay bounded.
const SMALL_FLEET_PEERS: usize = 16;
/// Hosts of another region that one host forwards to: enough that the loss of one costs little, few
/// enough that connections to them are kept ready and that they report often.
const RELAYS_PER_REGION: usize = 3;
/// A host that was silent for longer gets no work.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_500);
/// A host that was silent for longer is not named to callers.
pub const GONE_AFTER: Duration = Duration::from_millis(3_500);
/// A host that was silent for longer is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Reports between two that name the hosts which the sender knows.
const REPORTS_PER_CONTACTS: u64 = 8;
/// Seeds that are not known yet are tried this often.
const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Where a host is and is reached.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Identity {
    /// Its name.
    pub host: name::Host,
    /// Its region.
    pub region: name::Region,
    /// Its failure domain.
    pub domain: name::Domain,
    /// For callers.
    pub callers: SocketAddr,
    /// For other hosts.
    pub peers: SocketAddr,
    /// Grows with each start of the process.
    pub incarnation: u64,
}

/// What a host tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The sender.
    pub from: Identity,
    /// Grows with each report of a process.
    pub sequence: u64,
    /// It takes callers.
    pub ready: bool,
    /// It is about to go.
    pub leaving: bool,
    /// The version of its configuration.
    pub version: u64,
    /// Hosts that it counts with, itself included.
    #[serde(default)]
    pub hosts: usize,
    /// What it has admitted of each customer's rate.
    pub spent: Vec<Usage>,
    /// Its requests at the upstreams of its region; to hosts of the same region.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tallies: Vec<(name::Upstream, Tally)>,
    /// What its region has to spare; to hosts of other regions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub spare: Vec<(name::Pool, Spare)>,
    /// Other hosts that it knows; now and then.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub contacts: Vec<(name::Host, SocketAddr)>,
}

/// What the upstreams of a pool in one region could take beside what they have.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Spare {
    /// Wait at the least loaded upstream, in milliseconds.
    #[serde(rename = "w")]
    pub wait_ms: f32,
    /// Prompt tokens that could still be read in time.
    #[serde(rename = "t")]
    pub tokens: f32,
    /// Requests for which there is a slot.
    #[serde(rename = "r")]
    pub requests: f32,
    /// Prompt tokens that one upstream reads in a millisecond.
    #[serde(rename = "s")]
    pub rate: f32,
}

/// Another host as its last report describes it.
#[derive(Debug)]
pub struct Peer {
    /// Where it is.
    pub identity: Identity,
    /// When it was last heard.
    pub last_heard_at: Duration,
    /// It takes callers.
    pub is_ready: bool,
    /// It is about to go.
    pub is_leaving: bool,
    /// The version of its configuration.
    pub version: u64,
    /// What its region has to spare, less what was forwarded there since.
    pub spare: BTreeMap<name::Pool, Spare>,
    /// Its point for rendezvous.
    pub point: u64,
    sequence: u64,
    next_report_at: Duration,
    sent_reports: u64,
}

/// The hosts that this one knows.
#[derive(Debug)]
pub struct Fleet {
    /// This host.
    pub identity: Identity,
    /// Its point for rendezvous.
    pub point: u64,
    peers: BTreeMap<name::Host, Peer>,
    contacts: BTreeMap<name::Host, (SocketAddr, Duration)>,
    seeds: Vec<SocketAddr>,
    next_seeds_at: Duration,
    sequence: u64,
    max_hosts: usize,
}

/// To whom a report is due.
#[derive(Debug, Clone, PartialEq)]
pub struct Recipient {
    /// The host, or the address by which a seed is known.
    pub host: name::Host,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Whether it is of the same region.
    pub is_same_region: bool,
    /// Whether to name other hosts.
    pub includes_contacts: bool,
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Update {
    /// It is older than one that was heard before.
    Stale,
    /// The host was not known, or has started again.
    Joined,
    /// It is leaving.
    Left,
    /// Nothing but its figures.
    Unchanged,
}

impl Fleet {
    /// A host that knows only where to ask.
    pub fn new(own: Identity, seeds: Vec<SocketAddr>) -> Self {
        let seeds = seeds
            .into_iter()
            .filter(|seed| *seed != own.peers)
            .collect();
        Self {
            point: point(&own.host),
            identity: own,
            peers: BTreeMap::new(),
            contacts: BTreeMap::new(),
            seeds,
            next_seeds_at: Duration::ZERO,
            sequence: 0,
            max_hosts: 1,
        }
    }

    /// A host reports.
    pub fn record_report(&mut self, now: Duration, report: &Report) -> Update {
        if report.from.host == self.identity.host {
            return Update::Stale;
        }
        for (host, address) in &report.contacts {
            if *host != self.identity.host && !self.peers.contains_key(host) {
                self.contacts.insert(host.clone(), (*address, now));
            }
        }
        let known = self.peers.get(&report.from.host);
        let order = (report.from.incarnation, report.sequence);
        if known.is_some_and(|peer| order <= (peer.identity.incarnation, peer.sequence)) {
            return Update::Stale;
        }
        let joined = known.is_none_or(|peer| peer.identity.incarnation != report.from.incarnation);
        let left = report.leaving && known.is_none_or(|peer| !peer.is_leaving);
        let (due, sent) = known.map_or((Duration::ZERO, 0), |peer| {
            (peer.next_report_at, peer.sent_reports)
        });
        self.contacts.remove(&report.from.host);
        let peer = Peer {
            identity: report.from.clone(),
            last_heard_at: now,
            is_ready: report.ready,
            is_leaving: report.leaving,
            version: report.version,
            spare: report.spare.iter().cloned().collect(),
            point: point(&report.from.host),
            sequence: report.sequence,
            next_report_at: due,
            sent_reports: sent,
        };
        self.peers.insert(report.from.host.clone(), peer);
        self.max_hosts = self.max_hosts.max(self.peers.len() + 1);
        match (joined, left) {
            (_, true) => Update::Left,
            (true, false) => Update::Joined,
            (false, false) => Update::Unchanged,
        }
    }

    /// The reports that are due; each is noted as sent.
    pub fn due_recipients(&mut self, now: Duration) -> Vec<Recipient> {
        self.peers
            .retain(|_, peer| now.saturating_sub(peer.last_heard_at) < FORGET_AFTER);
        self.contacts
            .retain(|_, (_, since)| now.saturating_sub(*since) < FORGET_AFTER);
        let near = self.region_hosts() - 1;
        let stretch = |peers: usize| (peers as f64 / SMALL_FLEET_PEERS as f64).max(1.0);
        let near_every = REGION_REPORT_INTERVAL.mul_f64(stretch(near));
        let far_every = REMOTE_REPORT_INTERVAL.mul_f64(stretch(self.peers.len() - near));
        let near_points: Vec<_> = self.neighbours(now).map(|peer| peer.point).collect();
        let (own, own_point) = (&self.identity, self.point);
        let mut due = Vec::new();
        for (host, peer) in &mut self.peers {
            if now < peer.next_report_at
                || (peer.is_leaving && now.saturating_sub(peer.last_heard_at) > GONE_AFTER)
            {
                continue;
            }
            let near = peer.identity.region == own.region;
            let every = if near {
                near_every
            } else if is_relay(peer.point, own_point, &near_points) {
                REMOTE_REPORT_INTERVAL
            } else {
                far_every
            };
            peer.next_report_at = now + every;
            peer.sent_reports += 1;
            due.push(Recipient {
                host: host.clone(),
                address: peer.identity.peers,
                is_same_region: near,
                includes_contacts: peer.sent_reports % REPORTS_PER_CONTACTS == 1,
            });
        }
        if now >= self.next_seeds_at {
            self.next_seeds_at = now + SEED_RETRY_INTERVAL;
            due.extend(self.unreported());
        }
        due
    }

    /// The hosts of another region that this one forwards to: others for each host, so that all
    /// hosts of the region get their part.
    pub fn relays(&self, now: Duration, region: &name::Region) -> Vec<&Peer> {
        let of_region = |peer: &&Peer| peer.identity.region == *region;
        let mut working: Vec<_> = self.available(now).filter(of_region).collect();
        working.sort_by_key(|peer| Reverse(affinity::weight(self.point, peer.point)));
        working.truncate(RELAYS_PER_REGION);
        working
    }

    /// Addresses at which there may be hosts that have not reported.
    fn unreported(&self) -> Vec<Recipient> {
        let known: Vec<_> = self
            .peers
            .values()
            .map(|peer| peer.identity.peers)
            .collect();
        let first = |to: name::Host, address: SocketAddr| Recipient {
            host: to,
            address,
            is_same_region: false,
            includes_contacts: true,
        };
        let seeds = self
            .seeds
            .iter()
            .map(|seed| first(seed.to_string().into(), *seed));
        let contacts = self
            .contacts
            .iter()
            .map(|(host, (address, _))| first(host.clone(), *address));
        seeds
            .chain(contacts)
            .filter(|due| !known.contains(&due.address))
            .collect()
    }

    /// Makes every report due now.
    pub fn make_all_due(&mut self) {
        for peer in self.peers.values_mut() {
            peer.next_report_at = Duration::ZERO;
        }
    }

    /// The number of the next report.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// All other hosts that are known.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// All other hosts that are known.
    pub fn peers_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.peers.values_mut()
    }

    /// Hosts that can be given work now.
    pub fn available(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| {
            peer.is_ready
                && !peer.is_leaving
                && now.saturating_sub(peer.last_heard_at) < SILENT_AFTER
        })
    }

    /// Most hosts that were known at once, this one included.
    pub fn max_hosts(&self) -> usize {
        self.max_hosts
    }

    /// How many hosts there may be, this one included: failure domains of which none is known are
    /// taken to have as many as the others.
    pub fn estimated_hosts(&self, domains: usize) -> usize {
        let staying = self.peers.values().filter(|peer| !peer.is_leaving);
        let identities: Vec<_> = staying.map(|peer| &peer.identity).collect();
        let mut known: BTreeSet<_> = identities.iter().map(|identity| &identity.domain).collect();
        known.insert(&self.identity.domain);
        let hosts = identities.len() + 1;
        hosts.max((hosts * domains).div_ceil(known.len()))
    }

    /// Whether a host is of this one's region.
    pub fn is_same_region(&self, peer: &Peer) -> bool {
        peer.identity.region == self.identity.region
    }

    /// The other hosts of this region that can be given work now.
    pub fn neighbours(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.available(now).filter(|peer| self.is_same_region(peer))
    }

    /// How many of them come before this one by name.
    pub fn rank(&self, now: Duration) -> usize {
        let before = |peer: &&Peer| peer.identity.host < self.identity.host;
        self.neighbours(now).filter(before).count()
    }

    /// The other hosts of this region that may live.
    pub fn live_neighbours(&self, now: Duration) -> Vec<name::Host> {
        let lives =
            |peer: &&Peer| now.saturating_sub(peer.last_heard_at) < GONE_AFTER && !peer.is_leaving;
        let near = self.peers().filter(|peer| self.is_same_region(peer));
        near.filter(lives)
            .map(|peer| peer.identity.host.clone())
            .collect()
    }

    /// The newest version of the configuration that a host is known to have.
    pub fn newest_version(&self) -> u64 {
        let versions = self.peers.values().map(|peer| peer.version);
        versions.max().unwrap_or(0)
    }

    /// Hosts of this region that were heard lately or may only be silent, this one included.
    pub fn region_hosts(&self) -> usize {
        let stays = |peer: &&Peer| self.is_same_region(peer) && !peer.is_leaving;
        1 + self.peers.values().filter(stays).count()
    }

    /// The hosts that callers of a region should use, by address, this one included if it `serves`,
    /// and whether they are in other regions, for want of one there. Of other regions those are
    /// used that `suit` best.
    pub fn directory(
        &self,
        now: Duration,
        region: &name::Region,
        domain: &name::Domain,
        serves: bool,
        suit: impl Fn(&name::Region) -> usize,
    ) -> (Vec<SocketAddr>, bool) {
        let own = serves.then_some(&self.identity);
        let peers = self.peers.values().filter_map(|peer| {
            let heard = now.saturating_sub(peer.last_heard_at) < GONE_AFTER;
            (peer.is_ready && !peer.is_leaving && heard).then_some(&peer.identity)
        });
        let live: Vec<_> = own.into_iter().chain(peers).collect();
        let near: Vec<_> = live
            .iter()
            .filter(|identity| identity.region == *region || identity.domain == *domain)
            .map(|identity| identity.callers)
            .collect();
        if !near.is_empty() {
            return (near, false);
        }
        let regions: BTreeSet<_> = live.iter().map(|identity| &identity.region).collect();
        let suits: BTreeMap<_, _> = regions
            .into_iter()
            .map(|region| (region, suit(region)))
            .collect();
        let best = suits.values().max();
        let named = live
            .iter()
            .filter(|identity| suits.get(&identity.region) == best)
            .map(|identity| identity.callers);
        (named.collect(), true)
    }
}

/// Whether a host of another region at `origin` forwards to the one at `own`, if it sees the same
/// hosts of the region beside it.
fn is_relay(origin: u64, own: u64, others: &[u64]) -> bool {
    let weight = affinity::weight(origin, own);
    let before = |other: &&u64| affinity::weight(origin, **other) > weight;
    others.iter().filter(before).count() < RELAYS_PER_REGION
}

/// A host's point for rendezvous.
fn point(host: &name::Host) -> u64 {
    affinity::hash(host.as_str().as_bytes())
}
