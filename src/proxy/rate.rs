//! The customers' rates over the whole fleet, without a shared store: every host tells the others
//! what it has admitted in all, and charges what they have admitted to its own copy of each bucket.
//!
//! While a host is not heard, it is charged what it last used, or an even part of the rate where
//! that is more, so that the sides of a cut admit no more than the rate between them. What it
//! really used replaces the estimate when it is heard again.

use {
    super::table::Customer,
    crate::name,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// A host is charged by estimate when its last word is older than this: three reports.
const ESTIMATE_AFTER: Duration = Duration::from_millis(900);
/// A host that is silent for longer has been replaced or removed.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Share of each rate that a host uses before it has heard of any other, as it may be cut off.
const ISOLATED_SHARE: f64 = 0.25;
/// Share of the newest report in the estimate of a host's use.
const USE_EWMA_WEIGHT: f64 = 0.3;

/// What one host has admitted of a customer's requests since it started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Whose.
    #[serde(rename = "c")]
    pub customer: name::Customer,
    /// Units, in all.
    #[serde(rename = "s")]
    pub units: f64,
    /// What its bucket holds.
    #[serde(rename = "l")]
    pub level: f64,
}

/// The buckets of all customers.
#[derive(Debug, Default)]
pub struct Limiter {
    buckets: BTreeMap<name::Customer, Bucket>,
    reporters: BTreeMap<name::Host, Reporter>,
    /// Hosts that there may be, this one included, and when that was last said.
    reported_hosts: (usize, Duration),
    /// Hosts that there are by what is now known of the failure domains.
    estimated_hosts: usize,
    started_at: Duration,
    has_peer_usage: bool,
}

#[derive(Debug)]
struct Reporter {
    incarnation: u64,
    heard_at: Duration,
}

#[derive(Debug)]
struct Bucket {
    customer: Arc<Customer>,
    level: f64,
    updated_at: Duration,
    admitted_units: f64,
    peers: BTreeMap<name::Host, Peer>,
}

#[derive(Debug, Default)]
struct Peer {
    reported_units: f64,
    estimated_units: f64,
    units_per_s: f64,
}

impl Limiter {
    /// Empty buckets of a host that starts at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            started_at: now,
            ..Self::default()
        }
    }

    /// Takes the customers of a configuration.
    pub fn configure<'a>(
        &mut self,
        now: Duration,
        customers: impl Iterator<Item = &'a Arc<Customer>>,
    ) {
        let mut before = std::mem::take(&mut self.buckets);
        for customer in customers.filter(|customer| customer.rate > 0.0) {
            let bucket = match before.remove(&customer.name) {
                Some(bucket) => Bucket {
                    level: bucket.level.min(customer.burst),
                    customer: customer.clone(),
                    ..bucket
                },
                None => Bucket {
                    level: 0.0,
                    customer: customer.clone(),
                    updated_at: now,
                    admitted_units: 0.0,
                    peers: BTreeMap::new(),
                },
            };
            self.buckets.insert(customer.name.clone(), bucket);
        }
    }

    /// Charges a request, or says when there may be room for it.
    pub fn admit(
        &mut self,
        now: Duration,
        customer: &name::Customer,
        units: f64,
    ) -> Result<(), Duration> {
        let (all, share) = (
            self.host_count().max(self.estimated_hosts),
            self.own_share(now),
        );
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return Ok(());
        };
        bucket.advance(now, &self.reporters, all, share);
        let needed = units.min(bucket.customer.burst);
        if bucket.level >= needed {
            bucket.level -= units;
            bucket.admitted_units += units;
            return Ok(());
        }
        let wait = (needed - bucket.level) / bucket.customer.rate;
        Err(Duration::from_secs_f64(wait.clamp(0.05, 60.0)))
    }

    /// There may be so many hosts, this one included. The parts of those that this host has never
    /// heard, as a cut hides them, are left to them.
    pub fn record_reported_hosts(&mut self, now: Duration, hosts: usize) {
        let (most, said) = self.reported_hosts;
        if hosts >= most || now.saturating_sub(said) > FORGET_AFTER {
            self.reported_hosts = (hosts, now);
        }
    }

    /// By the failure domains of which a host is known, there are so many hosts. Unlike what hosts
    /// say, this holds only until it is guessed anew.
    pub fn set_estimated_hosts(&mut self, hosts: usize) {
        self.estimated_hosts = hosts;
    }

    /// Hosts that this one knows of, itself included.
    pub fn host_count(&self) -> usize {
        self.reported_hosts.0.max(self.reporters.len() + 1)
    }

    /// The part of each rate that is free to this host, but for what others are charged.
    fn own_share(&self, now: Duration) -> f64 {
        let alone = self.reporters.is_empty() && now.saturating_sub(self.started_at) < FORGET_AFTER;
        let known =
            (self.reporters.len() + 1) as f64 / self.host_count().max(self.estimated_hosts) as f64;
        if alone {
            known.min(ISOLATED_SHARE)
        } else {
            known
        }
    }

    /// Gives back what a request that has not run was charged.
    pub fn refund(&mut self, customer: &name::Customer, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level = (bucket.level + units).min(bucket.customer.burst);
            bucket.admitted_units -= units;
        }
    }

    /// What this host has admitted.
    pub fn usage(&mut self, now: Duration) -> Vec<Usage> {
        let (all, share) = (
            self.host_count().max(self.estimated_hosts),
            self.own_share(now),
        );
        let hosts = &self.reporters;
        self.buckets
            .iter_mut()
            .map(|(customer, bucket)| {
                bucket.advance(now, hosts, all, share);
                Usage {
                    customer: customer.clone(),
                    units: bucket.admitted_units,
                    level: bucket.level,
                }
            })
            .collect()
    }

    /// Another host says what it has admitted.
    pub fn record_usage(
        &mut self,
        now: Duration,
        host: &name::Host,
        incarnation: u64,
        spent: &[Usage],
    ) {
        let known = self.reporters.get(host);
        let last = known
            .filter(|heard| heard.incarnation == incarnation)
            .map(|heard| heard.heard_at);
        let (all, share) = (
            self.host_count().max(self.estimated_hosts),
            self.own_share(now),
        );
        for said in spent {
            let Some(bucket) = self.buckets.get_mut(&said.customer) else {
                continue;
            };
            bucket.advance(now, &self.reporters, all, share);
            if !self.has_peer_usage {
                bucket.level = bucket.level.max(said.level.min(bucket.customer.burst));
            }
            bucket.record_usage(now, host, last, said.units);
        }
        self.has_peer_usage |= !spent.is_empty();
        let heard = Reporter {
            incarnation,
            heard_at: now,
        };
        self.reporters.insert(host.clone(), heard);
    }

    /// A host has left and admits nothing more.
    pub fn remove_host(&mut self, host: &name::Host) {
        self.reporters.remove(host);
        for bucket in self.buckets.values_mut() {
            bucket.peers.remove(host);
        }
    }

    /// Forgets hosts that have been silent for long.
    pub fn expire(&mut self, now: Duration) {
        let gone: Vec<_> = self
            .reporters
            .iter()
            .filter(|(_, heard)| now.saturating_sub(heard.heard_at) > FORGET_AFTER)
            .map(|(host, _)| host.clone())
            .collect();
        gone.iter().for_each(|host| self.remove_host(host));
    }
}

impl Bucket {
    fn advance(
        &mut self,
        now: Duration,
        hosts: &BTreeMap<name::Host, Reporter>,
        all: usize,
        share: f64,
    ) {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        self.updated_at = now;
        let even = self.customer.rate / all as f64;
        let mut charged = 0.0;
        for (host, heard) in hosts {
            let silent = now.saturating_sub(heard.heard_at);
            if silent <= ESTIMATE_AFTER {
                continue;
            }
            let since = passed.min((silent - ESTIMATE_AFTER).as_secs_f64());
            let of_host = self.peers.entry(host.clone()).or_default();
            let units = of_host.units_per_s.max(even) * since;
            of_host.estimated_units += units;
            charged += units;
        }
        let level = self.level + share * self.customer.rate * passed - charged;
        self.level = level.clamp(-self.customer.burst, self.customer.burst);
    }

    fn record_usage(
        &mut self,
        now: Duration,
        host: &name::Host,
        last: Option<Duration>,
        units: f64,
    ) {
        let of_host = self.peers.entry(host.clone()).or_default();
        let Some(last) = last else {
            of_host.reported_units = units;
            of_host.estimated_units = 0.0;
            return;
        };
        let used = (units - of_host.reported_units).max(0.0);
        let span = now.saturating_sub(last).as_secs_f64().max(0.05);
        of_host.units_per_s += USE_EWMA_WEIGHT * (used / span - of_host.units_per_s);
        self.level = (self.level + of_host.estimated_units - used).min(self.customer.burst);
        of_host.reported_units = units;
        of_host.estimated_units = 0.0;
    }
}
