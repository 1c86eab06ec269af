//! The other hosts of the fleet, as known from the reports that hosts send each other.
//!
//! A report serves as a heartbeat. To hosts of the same region it carries the load that its sender
//! put on upstreams, so that they do not all choose the same idle one; to hosts of other regions it
//! carries the spare capacity of the sender's region.
//!
//! [`Fleet`] decides when a report is due and to whom, which hosts can be given work, which hosts
//! of other regions are forwarded to, and which hosts callers are directed to.

use {
    super::{
        balance::Pressure,
        brief::{self, Heard},
        directory, load,
        quarantine::{Evidence, Process},
        rate::Usage,
        reach,
        replica::Tally,
        revision::Era,
        table::Edition,
        throttle,
    },
    crate::{name, natural::Natural, route::affinity},
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// Time between reports to a host of the same region, in a small fleet.
const REGION_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time between reports to a host of another region that forwards to the sender; in a small fleet,
/// to any host of another region.
const REMOTE_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Number of peers in the region, or in the other regions, up to which these intervals hold. Above
/// it they grow in proportion, so that a host's messages a second stay bounded.
const SMALL_FLEET_PEERS: usize = 16;
/// Hosts of each other region that one host forwards to: enough that the loss of one costs little,
/// few enough that connections to them stay open and that they can report often.
const RELAYS_PER_REGION: usize = 3;
/// Age of the last report from which a host gets no work.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_500);
/// Age of the last report from which callers are no longer directed to a host.
pub const GONE_AFTER: Duration = Duration::from_millis(3_500);
/// Age of the last report from which a host is removed.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// One in so many reports to a host lists the hosts that the sender knows. In a large fleet, fewer of
/// those to hosts of other regions do.
const REPORTS_PER_CONTACTS: u64 = 8;
/// Hosts of each region, the first by rendezvous weight, that tell another host of its spare
/// capacity: more than the host forwards to, because it may know fewer of them.
const INFORMANTS_PER_REGION: usize = 2 * RELAYS_PER_REGION;
/// Time between reports to seeds and contacts that have not reported themselves.
const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Age of the last report of a host of another region up to which it gets reports in short form. It
/// covers two lost reports in a fleet of 90 hosts (1.5 s apart), and bounds the time for which a
/// host that has lost the base of the short form is sent it.
const SHORT_FORM_TTL: Duration = Duration::from_secs(4);

/// Name, location and addresses of a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Identity {
    /// Unique name of the host.
    pub host: name::Host,
    /// Region that the host is in.
    pub region: name::Region,
    /// Failure domain that the host is in.
    pub domain: name::Domain,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other hosts.
    pub peers: SocketAddr,
    /// Number that grows with each start of the process, unless its clock is set back in between.
    pub incarnation: u64,
    /// Computing capacity, in thousandths of a core; `None` if the host doesn't know it, or is of a
    /// build that doesn't tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<u32>,
}

/// A message with which a host reports its state to another one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Identity of the sender.
    pub from: Identity,
    /// Number that grows with each report of a process.
    pub sequence: u64,
    /// Whether the sender serves callers.
    pub ready: bool,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Version of the sender's configuration; zero before the first. The largest number of 64 bits if
    /// it is larger.
    pub version: u64,
    /// That version if it is larger.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub long_version: Option<Natural>,
    /// Hash of the text of that configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<u64>,
    /// The newest era of the platform's store that the sender has heard of.
    #[serde(default, skip_serializing_if = "Era::is_unnamed")]
    pub era: Era,
    /// Number of hosts in the fleet as the sender counts them, itself included.
    #[serde(default)]
    pub hosts: usize,
    /// Units that the sender has admitted for each customer.
    pub spent: Vec<Usage>,
    /// The sender's requests at the upstreams of its region; only to hosts of the same region.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tallies: Vec<(name::Upstream, Tally)>,
    /// Limits that upstreams of the sender's region name; only to hosts of the same region.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<(name::Upstream, Process, throttle::Report)>,
    /// Upstreams of the sender's region that are leaving; only to hosts of the same region.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departing: Vec<(name::Upstream, Process)>,
    /// Load that upstreams of the sender's region have reported to the sender since the report before
    /// the last one; only to hosts of the same region.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<load::Report>,
    /// Upstreams that the sender or others of its region can't reach; only to hosts of the same region.
    #[serde(default, skip_serializing_if = "reach::Report::is_empty")]
    pub reach: reach::Report,
    /// Spare capacity of the sender's region by pool; only to hosts of other regions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub spare: Vec<(name::Pool, Spare)>,
    /// Builds that served in the sender's region lately.
    #[serde(default)]
    pub builds: Builds,
    /// What the sender knows of parts of prompts that crash upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<Evidence>,
    /// Hosts that the sender knows, with their addresses for peers; only in some reports.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub contacts: Vec<(name::Host, SocketAddr)>,
    /// The recipient's newest report that the sender has taken over; only to hosts of other
    /// regions. Absent from hosts that don't understand the short form, and while the recipient is
    /// not known or is shutting down.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heard: Option<Heard>,
}

impl Report {
    /// Version of the sender's configuration; zero before the first.
    pub fn version(&self) -> Natural {
        Natural::join(self.version, self.long_version.clone())
    }
}

/// Spare capacity of a pool's upstreams in one region.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Spare {
    /// Predicted time to the first byte at the least loaded upstream, without the prefill of the
    /// request itself, in milliseconds; `f32::MAX` if no upstream is open.
    #[serde(rename = "w")]
    pub wait_ms: f32,
    /// Prompt tokens that the upstreams could still prefill in time.
    #[serde(rename = "t")]
    pub tokens: f32,
    /// Number of free slots.
    #[serde(rename = "r")]
    pub requests: f32,
    /// Prompt tokens that one upstream prefills per millisecond.
    #[serde(rename = "s")]
    pub rate: f32,
    /// Number of free slots that are not kept for the most urgent requests; `None` from hosts of older
    /// builds.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub unreserved: Option<f32>,
    /// How busy the engines are; `None` for plain services, and from hosts of older builds.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub pressure: Option<Pressure>,
    /// Builds of the upstreams that are open.
    #[serde(rename = "b", default)]
    pub builds: BTreeSet<name::Build>,
}

/// Builds that served in a region within the life of a stream.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Builds {
    /// For how long the host has followed the list of the region's upstreams without a gap.
    #[serde(rename = "w")]
    pub watched: Duration,
    /// The builds of each pool.
    #[serde(rename = "p")]
    pub pools: BTreeMap<name::Pool, BTreeSet<name::Build>>,
}

/// Another host as its last report describes it.
#[derive(Debug)]
pub struct Peer {
    /// Name, location and addresses.
    pub identity: Identity,
    /// When the last report arrived.
    pub last_heard_at: Duration,
    /// Whether the host serves callers.
    pub is_ready: bool,
    /// Whether the host is shutting down.
    pub is_leaving: bool,
    /// The host's configuration.
    pub edition: Edition,
    /// Spare capacity of the host's region, less what was forwarded there since the report.
    pub spare: BTreeMap<name::Pool, Spare>,
    /// Upstreams that the host can't reach; of hosts of the same region only.
    pub reach: reach::Report,
    /// Builds that served in the host's region lately.
    pub builds: Builds,
    /// Hash of the host's name for rendezvous hashing.
    pub point: u64,
    sequence: u64,
    /// What the last report states as admitted; `None` while the host is shutting down.
    spent: Option<Vec<Usage>>,
    /// Sequence number of this process's newest report that the host has confirmed.
    confirmed: Option<u64>,
    next_report_at: Duration,
    sent_reports: u64,
    /// Times of the last two reports to the host, the older one first.
    last_reports_at: [Duration; 2],
}

/// The hosts that this one knows, and the schedule of the reports to them.
#[derive(Debug)]
pub struct Fleet {
    /// Identity of this host.
    pub identity: Identity,
    /// Hash of this host's name for rendezvous hashing.
    pub point: u64,
    /// Whether this host reaches no upstream.
    pub is_cut_off: bool,
    peers: BTreeMap<name::Host, Peer>,
    contacts: BTreeMap<name::Host, (SocketAddr, Duration)>,
    seeds: Vec<SocketAddr>,
    next_seeds_at: Duration,
    sequence: u64,
    max_hosts: usize,
}

/// A host that a report is due to.
#[derive(Debug, Clone, PartialEq)]
pub struct Recipient {
    /// Name of the host; for a seed that has not reported yet, its address.
    pub host: name::Host,
    /// Address for peers.
    pub address: SocketAddr,
    /// Whether the host is of the sender's region; false for a host that has not reported yet.
    pub is_same_region: bool,
    /// Whether the report should tell of the spare capacity of the sender's region.
    pub includes_spare: bool,
    /// Whether the report should list the hosts that the sender knows.
    pub includes_contacts: bool,
    /// Time of the report before the last one; what is newer is told, so that one report may be
    /// lost. Zero for a host that has got fewer.
    pub news_since: Duration,
    /// The sender's newest report that the host has confirmed, if it can get the short form.
    pub base: Option<u64>,
    /// The host's newest report, to be confirmed to it.
    pub heard: Option<Heard>,
}

/// Effect of a report on what is known of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Update {
    /// The report is older than one received before, or this host's own; its figures were dropped.
    Stale,
    /// The sender was not known, or has started again.
    Joined,
    /// The sender has begun to shut down.
    Left,
    /// The sender was known; only its figures may have changed.
    Unchanged,
}

impl Peer {
    /// Whether a report is older than the last one of this peer. Once the peer has been silent for
    /// [`GONE_AFTER`], a report of another incarnation counts as newer: the clock that numbers the
    /// incarnations may have been set back between two starts.
    fn is_newer_than(&self, report: &Report, now: Duration) -> bool {
        let (known, other) = (self.identity.incarnation, report.from.incarnation);
        let is_gone = now.saturating_sub(self.last_heard_at) >= GONE_AFTER;
        (other, report.sequence) <= (known, self.sequence) && !(is_gone && other != known)
    }
}

impl Fleet {
    /// Creates the view of a host that knows no other host yet, but the addresses of `seeds`.
    pub fn new(identity: Identity, seeds: Vec<SocketAddr>) -> Self {
        let seeds = seeds
            .into_iter()
            .filter(|seed| *seed != identity.peers)
            .collect();
        Self {
            point: point(&identity.host),
            is_cut_off: false,
            identity,
            peers: BTreeMap::new(),
            contacts: BTreeMap::new(),
            seeds,
            next_seeds_at: Duration::ZERO,
            sequence: 0,
            max_hosts: 1,
        }
    }

    /// Takes over a report of another host, unless it is out of date.
    pub fn record_report(&mut self, now: Duration, report: &Report) -> Update {
        if report.from.host == self.identity.host {
            return Update::Stale;
        }
        for (host, address) in &report.contacts {
            if *host != self.identity.host && !self.peers.contains_key(host) {
                self.contacts.insert(host.clone(), (*address, now));
            }
        }
        let peer = self.peers.get(&report.from.host);
        if peer.is_some_and(|peer| peer.is_newer_than(report, now)) {
            return Update::Stale;
        }
        let has_joined =
            peer.is_none_or(|peer| peer.identity.incarnation != report.from.incarnation);
        let begins_leaving = report.leaving && peer.is_none_or(|peer| !peer.is_leaving);
        let (next_report_at, sent_reports) = peer.map_or((Duration::ZERO, 0), |peer| {
            (peer.next_report_at, peer.sent_reports)
        });
        let last_reports_at = peer
            .filter(|_| !has_joined)
            .map_or([Duration::ZERO; 2], |peer| peer.last_reports_at);
        self.contacts.remove(&report.from.host);
        let peer = Peer {
            identity: report.from.clone(),
            last_heard_at: now,
            is_ready: report.ready,
            is_leaving: report.leaving,
            edition: Edition {
                version: report.version(),
                digest: report.digest,
            },
            spare: report.spare.iter().cloned().collect(),
            reach: report.reach.clone(),
            builds: report.builds.clone(),
            point: point(&report.from.host),
            sequence: report.sequence,
            spent: (!report.leaving).then(|| report.spent.clone()),
            confirmed: report
                .heard
                .filter(|heard| heard.0 == self.identity.incarnation && heard.1 <= self.sequence)
                .map(|heard| heard.1),
            next_report_at,
            sent_reports,
            last_reports_at,
        };
        self.peers.insert(report.from.host.clone(), peer);
        self.max_hosts = self.max_hosts.max(self.peers.len() + 1);
        match (has_joined, begins_leaving) {
            (_, true) => Update::Left,
            (true, false) => Update::Joined,
            (false, false) => Update::Unchanged,
        }
    }

    /// Returns the long form of a report in short form. `None` if this host lacks the base of the
    /// report, which must then be treated as lost; its sender becomes a contact, as it will send the
    /// long form when it hears of this process.
    pub fn expand(&mut self, now: Duration, report: brief::Report) -> Option<Report> {
        let peer = self.peers.get(report.host());
        let base = peer.filter(|peer| {
            peer.identity.incarnation == report.incarnation() && peer.sequence >= report.base()
        });
        if let Some(spent) = base.and_then(|peer| peer.spent.clone()) {
            return report.expand(spent);
        }
        if peer.is_none() && *report.host() != self.identity.host {
            self.contacts
                .insert(report.host().clone(), (report.address(), now));
        }
        None
    }

    /// Returns the hosts that a report is due to now, and schedules the next reports to them.
    /// Removes hosts and contacts that were not heard of for long.
    pub fn due_recipients(&mut self, now: Duration) -> Vec<Recipient> {
        self.peers
            .retain(|_, peer| now.saturating_sub(peer.last_heard_at) < FORGET_AFTER);
        self.contacts
            .retain(|_, (_, since)| now.saturating_sub(*since) < FORGET_AFTER);
        let region_peers = self.region_hosts() - 1;
        let scale = |peers: usize| (peers as f64 / SMALL_FLEET_PEERS as f64).max(1.0);
        let region_interval = REGION_REPORT_INTERVAL.mul_f64(scale(region_peers));
        let remote_interval =
            REMOTE_REPORT_INTERVAL.mul_f64(scale(self.peers.len() - region_peers));
        let remote_contacts = REPORTS_PER_CONTACTS * scale(self.peers.len()) as u64;
        let neighbour_points: Vec<_> = self.neighbours(now).map(|peer| peer.point).collect();
        let (own, own_point) = (&self.identity, self.point);
        let mut recipients = Vec::new();
        for (host, peer) in &mut self.peers {
            if now < peer.next_report_at
                || (peer.is_leaving && now.saturating_sub(peer.last_heard_at) > GONE_AFTER)
            {
                continue;
            }
            let is_same_region = peer.identity.region == own.region;
            let rank =
                (!is_same_region).then(|| relay_rank(peer.point, own_point, &neighbour_points));
            let (interval, contacts) = match rank {
                None => (region_interval, REPORTS_PER_CONTACTS),
                Some(rank) if rank < RELAYS_PER_REGION => (REMOTE_REPORT_INTERVAL, remote_contacts),
                Some(_) => (remote_interval, remote_contacts),
            };
            peer.next_report_at = now + interval;
            peer.sent_reports += 1;
            let [news_since, last_report_at] = peer.last_reports_at;
            peer.last_reports_at = [last_report_at, now];
            recipients.push(Recipient {
                host: host.clone(),
                address: peer.identity.peers,
                is_same_region,
                includes_spare: rank.is_some_and(|rank| rank < INFORMANTS_PER_REGION),
                includes_contacts: peer.sent_reports % contacts == 1,
                news_since,
                base: peer.confirmed.filter(|_| {
                    let silence = now.saturating_sub(peer.last_heard_at);
                    !is_same_region && !peer.is_leaving && silence < SHORT_FORM_TTL
                }),
                heard: (!is_same_region && peer.spent.is_some())
                    .then_some(Heard(peer.identity.incarnation, peer.sequence)),
            });
        }
        if now >= self.next_seeds_at {
            self.next_seeds_at = now + SEED_RETRY_INTERVAL;
            recipients.extend(self.unreported());
        }
        recipients
    }

    /// The hosts of another region that this host forwards to. Rendezvous hashing gives each host
    /// different ones, so that all hosts of that region get their part.
    pub fn relays(&self, now: Duration, region: &name::Region) -> Vec<&Peer> {
        let is_in_region = |peer: &&Peer| peer.identity.region == *region;
        let mut relays: Vec<_> = self.available(now).filter(is_in_region).collect();
        relays.sort_by_key(|peer| Reverse(affinity::weight(self.point, peer.point)));
        relays.truncate(RELAYS_PER_REGION);
        relays
    }

    /// Seeds and contacts at whose addresses no host has reported yet.
    fn unreported(&self) -> Vec<Recipient> {
        let known: Vec<_> = self
            .peers
            .values()
            .map(|peer| peer.identity.peers)
            .collect();
        let recipient = |host: name::Host, address: SocketAddr| Recipient {
            host,
            address,
            is_same_region: false,
            includes_spare: true,
            includes_contacts: true,
            news_since: Duration::ZERO,
            base: None,
            heard: None,
        };
        let seeds = self
            .seeds
            .iter()
            .map(|seed| recipient(seed.to_string().into(), *seed));
        let contacts = self
            .contacts
            .iter()
            .map(|(host, (address, _))| recipient(host.clone(), *address));
        seeds
            .chain(contacts)
            .filter(|recipient| !known.contains(&recipient.address))
            .collect()
    }

    /// Makes the reports to all known hosts due now.
    pub fn make_all_due(&mut self) {
        for peer in self.peers.values_mut() {
            peer.next_report_at = Duration::ZERO;
        }
    }

    /// Makes the reports to the hosts of this region due now.
    pub fn make_region_due(&mut self) {
        let region = &self.identity.region;
        let peers = self.peers.values_mut();
        for peer in peers.filter(|peer| peer.identity.region == *region) {
            peer.next_report_at = Duration::ZERO;
        }
    }

    /// Whether a host has last told of upstreams that it or others can't reach.
    pub fn has_told_of_reach(&self, host: &name::Host) -> bool {
        let peer = self.peers.get(host);
        peer.is_some_and(|peer| !peer.reach.is_empty())
    }

    /// Returns the sequence number of the next report.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Sequence number of the last report.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The other hosts that are known, the leaving and silent ones included.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// The other hosts that are known, to change their figures.
    pub fn peers_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.peers.values_mut()
    }

    /// The other hosts that can be given work now: ready, not leaving and heard of lately.
    pub fn available(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| {
            peer.is_ready
                && !peer.is_leaving
                && now.saturating_sub(peer.last_heard_at) < SILENT_AFTER
        })
    }

    /// Whether no other host is known though there should be some: this host has started and hears
    /// none of them.
    pub fn is_isolated(&self) -> bool {
        self.peers.is_empty() && !self.seeds.is_empty()
    }

    /// Largest number of hosts that were known at the same time, this one included.
    pub fn max_hosts(&self) -> usize {
        self.max_hosts
    }

    /// Estimated number of hosts, this one included. A failure domain without a known host is
    /// assumed to have as many hosts as the others have on average.
    pub fn estimated_hosts(&self, domains: usize) -> usize {
        let staying = self.peers.values().filter(|peer| !peer.is_leaving);
        let identities: Vec<_> = staying.map(|peer| &peer.identity).collect();
        let mut known: BTreeSet<_> = identities.iter().map(|identity| &identity.domain).collect();
        known.insert(&self.identity.domain);
        let hosts = identities.len() + 1;
        hosts.max((hosts * domains).div_ceil(known.len()))
    }

    /// Whether a host is in the region of this one.
    pub fn is_same_region(&self, peer: &Peer) -> bool {
        peer.identity.region == self.identity.region
    }

    /// The other hosts of this region that can be given work now; see [`Self::available`].
    pub fn neighbours(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.available(now).filter(|peer| self.is_same_region(peer))
    }

    /// Rank of this host by name among the available hosts of its region, from zero.
    pub fn rank(&self, now: Duration) -> usize {
        let before = |peer: &&Peer| peer.identity.host < self.identity.host;
        self.neighbours(now).filter(before).count()
    }

    /// The other hosts of this region that announcements go to: not leaving, and not silent for so
    /// long that they count as gone.
    pub fn live_neighbours(&self, now: Duration) -> Vec<name::Host> {
        let is_live =
            |peer: &&Peer| now.saturating_sub(peer.last_heard_at) < GONE_AFTER && !peer.is_leaving;
        let in_region = self.peers().filter(|peer| self.is_same_region(peer));
        in_region
            .filter(is_live)
            .map(|peer| peer.identity.host.clone())
            .collect()
    }

    /// The newest version of the configuration that another host has; zero if none is known.
    pub fn newest_version(&self) -> Natural {
        let versions = self.peers.values().map(|peer| &peer.edition.version);
        versions.max().cloned().unwrap_or_default()
    }

    /// Number of hosts of this region that are known and not leaving, this one included.
    pub fn region_hosts(&self) -> usize {
        let is_staying = |peer: &&Peer| self.is_same_region(peer) && !peer.is_leaving;
        1 + self.peers.values().filter(is_staying).count()
    }

    /// Returns the hosts that the caller with the address `caller` in a region should use; hosts in
    /// other regions if there is none in the caller's region or domain. This host is included if it
    /// `serves`. Hosts that reach no upstream are left out where others are named. Of the other
    /// regions, those with the highest `suit` are used.
    pub fn directory(
        &self,
        now: Duration,
        caller: IpAddr,
        region: &name::Region,
        domain: &name::Domain,
        serves: bool,
        suit: impl Fn(&name::Region) -> usize,
    ) -> directory::Answer {
        let own = serves.then_some((&self.identity, self.is_cut_off));
        let peers = self.peers.values().filter_map(|peer| {
            let is_live = now.saturating_sub(peer.last_heard_at) < GONE_AFTER;
            let is_named = peer.is_ready && !peer.is_leaving && is_live;
            is_named.then_some((&peer.identity, peer.reach.is_cut_off))
        });
        let live: Vec<_> = own.into_iter().chain(peers).collect();
        let is_in_region =
            |identity: &Identity| identity.region == *region || identity.domain == *domain;
        let (cut_off, reaching): (Vec<_>, Vec<_>) = live
            .iter()
            .filter(|(identity, _)| is_in_region(identity))
            .partition(|(_, is_cut_off)| *is_cut_off);
        let in_region = if reaching.is_empty() {
            cut_off
        } else {
            reaching
        };
        if !in_region.is_empty() {
            let hosts: Vec<_> = in_region.iter().map(|(identity, _)| *identity).collect();
            return directory::Answer::new(caller, &hosts, false);
        }
        let live: Vec<_> = live.into_iter().map(|(identity, _)| identity).collect();
        let regions: BTreeSet<_> = live.iter().map(|identity| &identity.region).collect();
        let scores: BTreeMap<_, _> = regions
            .into_iter()
            .map(|region| (region, suit(region)))
            .collect();
        let best = scores.values().max();
        let chosen = live
            .iter()
            .copied()
            .filter(|identity| scores.get(&identity.region) == best);
        directory::Answer::new(caller, &chosen.collect::<Vec<_>>(), true)
    }
}

/// How many of the `others` of its region a host of another region with the hash `origin` prefers to
/// forward to before the one with the hash `own`.
fn relay_rank(origin: u64, own: u64, others: &[u64]) -> usize {
    let weight = affinity::weight(origin, own);
    let before = |other: &&u64| affinity::weight(origin, **other) > weight;
    others.iter().filter(before).count()
}

/// Hash of a host's name for rendezvous hashing.
fn point(host: &name::Host) -> u64 {
    affinity::hash(host.as_str().as_bytes())
}
