//! The short form of the reports to hosts of other regions.
//!
//! A short report omits what customers have used if that has not changed since its base, an earlier
//! report that the receiver has confirmed in a report of its own. Missing entries thus mean
//! "unchanged", and a receiver without the base treats the report as lost. Nothing else depends on
//! earlier reports: the rest has a compact encoding and is complete. On each connection the first
//! report is in long form, so a process that has just started never gets the short form first.
//!
//! A host confirms the reports of its peers only if it understands the short form, so hosts of
//! older builds always get the long form.

use {
    super::{
        fleet::{self, Builds, Identity, Spare},
        quarantine::Evidence,
        rate::Usage,
        reach,
        revision::Era,
    },
    crate::{name, natural::Natural},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, SocketAddrV6},
        time::Duration,
    },
};

/// A report to a host of another region, in short form. What only hosts of the same region get is
/// not part of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    #[serde(rename = "f")]
    from: Sender,
    #[serde(rename = "n")]
    sequence: u64,
    /// Sequence number of the report since which missing entries have not changed.
    #[serde(rename = "b")]
    base: u64,
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    ready: bool,
    #[serde(rename = "v")]
    version: u64,
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    long_version: Option<Natural>,
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    digest: Option<u64>,
    #[serde(rename = "e", default, skip_serializing_if = "Era::is_unnamed")]
    era: Era,
    #[serde(rename = "h")]
    hosts: usize,
    /// Units of the customers whose units have changed since the base, each with the customer's
    /// position in the base.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    changed: Vec<(usize, f64)>,
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    spare: Vec<(name::Pool, Spare)>,
    /// For how many milliseconds the sender has followed the list of its region's upstreams.
    #[serde(rename = "w")]
    watched_ms: u64,
    #[serde(rename = "p", default, skip_serializing_if = "BTreeMap::is_empty")]
    builds: BTreeMap<name::Pool, BTreeSet<name::Build>>,
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    evidence: Vec<Evidence>,
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    contacts: Vec<(name::Host, Address)>,
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    heard: Option<Heard>,
}

/// The newest report of a host that another one has taken over, as the other one confirms it. Only
/// hosts that understand the short form confirm reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard(
    /// Incarnation of the host that sent the report.
    pub u64,
    /// Sequence number of the report.
    pub u64,
);

/// A received report in one of its forms.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// The long form, which every build understands.
    Long(Box<fleet::Report>),
    /// The short form.
    Short(Box<Report>),
}

/// What this host has admitted for each customer, and since which of its reports.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: BTreeMap<name::Customer, Entry>,
    /// Sequence number of the first report with these customers.
    customers_since: u64,
}

#[derive(Debug)]
struct Entry {
    units: f64,
    /// Sequence number of the first report with these units.
    since: u64,
}

/// An [`Identity`] as a list: host, region, domain, address for callers, address for peers,
/// incarnation, capacity.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Sender(
    name::Host,
    name::Region,
    name::Domain,
    Address,
    Address,
    u64,
    Option<u32>,
);

/// A socket address in network byte order: 6 bytes for IPv4; for IPv6 26 bytes, the last eight of
/// which are the flow information and the scope.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(into = "Bytes", try_from = "Bytes")]
struct Address(SocketAddr);

impl Ledger {
    /// Takes over what this host has admitted, as the reports from `sequence` on state it.
    pub fn observe(&mut self, sequence: u64, spent: &[Usage]) {
        if !self.lists(spent) {
            self.entries.clear();
            self.customers_since = sequence;
        }
        for usage in spent {
            let (units, since) = (usage.units, sequence);
            self.entries
                .entry(usage.customer.clone())
                .and_modify(|entry| {
                    if entry.units != units {
                        *entry = Entry { units, since };
                    }
                })
                .or_insert(Entry { units, since });
        }
    }

    /// Returns a report in short form for a receiver that has the report `base`. `None` if the
    /// customers have changed since, or if the sender is shutting down, as other hosts don't keep
    /// the use of those.
    pub fn shorten(&self, report: &fleet::Report, base: u64) -> Option<Report> {
        if report.leaving || base < self.customers_since || !self.lists(&report.spent) {
            return None;
        }
        let changed = report
            .spent
            .iter()
            .zip(self.entries.values())
            .enumerate()
            .filter(|(_, (_, entry))| entry.since > base)
            .map(|(position, (usage, _))| (position, usage.units))
            .collect();
        // Without `..`, so that a field added to the long form can't be forgotten here.
        let fleet::Report {
            from,
            sequence,
            ready,
            leaving: _,
            version,
            long_version,
            digest,
            era,
            hosts,
            spent: _,
            tallies: _,
            loads: _,
            limits: _,
            departing: _,
            reach: _,
            spare,
            builds,
            evidence,
            contacts,
            heard,
        } = report.clone();
        Some(Report {
            from: from.into(),
            sequence,
            base,
            ready,
            version,
            long_version,
            digest,
            era,
            hosts,
            changed,
            spare,
            watched_ms: builds.watched.as_millis() as u64,
            builds: builds.pools,
            evidence,
            contacts: contacts
                .into_iter()
                .map(|(host, address)| (host, Address(address)))
                .collect(),
            heard,
        })
    }

    /// Whether these are the usages of the known customers, in the same order.
    fn lists(&self, spent: &[Usage]) -> bool {
        self.entries
            .keys()
            .eq(spent.iter().map(|usage| &usage.customer))
    }
}

impl Report {
    /// Name of the sender.
    pub fn host(&self) -> &name::Host {
        &self.from.0
    }

    /// Incarnation of the sender.
    pub fn incarnation(&self) -> u64 {
        self.from.5
    }

    /// The sender's address for peers.
    pub fn address(&self) -> SocketAddr {
        self.from.4.0
    }

    /// Sequence number of the report since which missing entries have not changed.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// Returns the long form, given the usages of the base or of a later report. `None` if an entry
    /// has no place in them.
    pub fn expand(self, mut spent: Vec<Usage>) -> Option<fleet::Report> {
        for (position, units) in &self.changed {
            // The level stays that of the base: the limiter reads it only in the first usages that
            // it gets, and those are never in short form.
            spent.get_mut(*position)?.units = *units;
        }
        Some(fleet::Report {
            from: self.from.into(),
            sequence: self.sequence,
            ready: self.ready,
            leaving: false,
            version: self.version,
            long_version: self.long_version,
            digest: self.digest,
            era: self.era,
            hosts: self.hosts,
            spent,
            tallies: Vec::new(),
            loads: Vec::new(),
            limits: Vec::new(),
            departing: Vec::new(),
            reach: reach::Report::default(),
            spare: self.spare,
            builds: Builds {
                watched: Duration::from_millis(self.watched_ms),
                pools: self.builds,
            },
            evidence: self.evidence,
            contacts: self
                .contacts
                .into_iter()
                .map(|(host, Address(address))| (host, address))
                .collect(),
            heard: self.heard,
        })
    }
}

impl From<Identity> for Sender {
    fn from(identity: Identity) -> Self {
        let Identity {
            host,
            region,
            domain,
            callers,
            peers,
            incarnation,
            capacity,
        } = identity;
        let (callers, peers) = (Address(callers), Address(peers));
        Self(host, region, domain, callers, peers, incarnation, capacity)
    }
}

impl From<Sender> for Identity {
    fn from(sender: Sender) -> Self {
        let Sender(host, region, domain, Address(callers), Address(peers), incarnation, capacity) =
            sender;
        Self {
            host,
            region,
            domain,
            callers,
            peers,
            incarnation,
            capacity,
        }
    }
}

impl From<Address> for Bytes {
    fn from(Address(address): Address) -> Self {
        let mut bytes = match address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        bytes.extend(address.port().to_be_bytes());
        if let SocketAddr::V6(address) = address {
            bytes.extend(address.flowinfo().to_be_bytes());
            bytes.extend(address.scope_id().to_be_bytes());
        }
        bytes.into()
    }
}

impl TryFrom<Bytes> for Address {
    type Error = &'static str;

    fn try_from(bytes: Bytes) -> Result<Self, Self::Error> {
        let mut rest = &bytes[..];
        let address = if bytes.len() == 6 {
            let ip = Ipv4Addr::from(take(&mut rest)?);
            SocketAddr::from((ip, u16::from_be_bytes(take(&mut rest)?)))
        } else {
            SocketAddr::V6(SocketAddrV6::new(
                Ipv6Addr::from(take::<16>(&mut rest)?),
                u16::from_be_bytes(take(&mut rest)?),
                u32::from_be_bytes(take(&mut rest)?),
                u32::from_be_bytes(take(&mut rest)?),
            ))
        };
        if rest.is_empty() {
            Ok(Self(address))
        } else {
            Err(ADDRESS_LENGTH)
        }
    }
}

const ADDRESS_LENGTH: &str = "an address must have 6 or 26 bytes";

/// Removes the first `N` bytes of `rest`.
fn take<const N: usize>(rest: &mut &[u8]) -> Result<[u8; N], &'static str> {
    let (first, after) = rest.split_first_chunk().ok_or(ADDRESS_LENGTH)?;
    *rest = after;
    Ok(*first)
}
