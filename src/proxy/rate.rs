//! Rate limits of customers over the whole fleet, without a shared store.
//!
//! Every host keeps a token bucket per customer, reports the units that it has admitted in total,
//! and charges the units that other hosts report to its own copy of the bucket.
//!
//! A host whose reports are overdue is charged an estimate: its last rate of use, or an even part
//! of the customer's rate where that is more. So the sides of a network partition together admit no
//! more than the rate. The next report replaces the estimate by the units really used.

use {
    super::table::Customer,
    crate::name,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Age of a host's last report, about three intervals, from which its use is estimated.
const ESTIMATE_AFTER: Duration = Duration::from_millis(900);
/// Age of the last report after which a host is taken to be replaced or removed.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Share of each rate that a host uses before the first report of another host arrives, because it
/// may be partitioned from the others.
const ISOLATED_SHARE: f64 = 0.25;
/// Weight of the newest report in the moving average of a host's rate of use.
const USE_EWMA_WEIGHT: f64 = 0.3;

/// Units that one host has admitted for a customer since it started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The customer that was charged.
    #[serde(rename = "c")]
    pub customer: name::Customer,
    /// Units admitted since the host started, refunds deducted.
    #[serde(rename = "s")]
    pub units: f64,
    /// Units left in the host's bucket; negative when other hosts have used more than it allows.
    #[serde(rename = "l")]
    pub level: f64,
}

/// The token buckets of all customers with a rate limit, and what is known of the other hosts.
#[derive(Debug, Default)]
pub struct Limiter {
    buckets: BTreeMap<name::Customer, Bucket>,
    reporters: BTreeMap<name::Host, Reporter>,
    /// Largest number of hosts reported lately, this one included, and when it was reported.
    reported_hosts: (usize, Duration),
    /// Number of hosts estimated from the failure domains in which hosts are known.
    estimated_hosts: usize,
    started_at: Duration,
    has_peer_usage: bool,
}

#[derive(Debug)]
struct Reporter {
    incarnation: u64,
    reported_at: Duration,
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
    /// Creates the limiter of a host that starts at `now`, without customers.
    pub fn new(now: Duration) -> Self {
        Self {
            started_at: now,
            ..Self::default()
        }
    }

    /// Takes over the customers of a configuration. Buckets of known customers keep their level;
    /// those of new customers start empty.
    pub fn configure<'a>(
        &mut self,
        now: Duration,
        customers: impl Iterator<Item = &'a Arc<Customer>>,
    ) {
        let mut previous = std::mem::take(&mut self.buckets);
        for customer in customers.filter(|customer| customer.rate > 0.0) {
            let bucket = match previous.remove(&customer.name) {
                Some(bucket) => Bucket {
                    level: bucket.level.min(customer.burst.max(0.0)),
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

    /// Charges a request to its customer, or returns the time after which the bucket may hold
    /// enough. Customers without a rate limit are always admitted.
    pub fn admit(
        &mut self,
        now: Duration,
        customer: &name::Customer,
        units: f64,
    ) -> Result<(), Duration> {
        let (host_count, share) = (
            self.host_count().max(self.estimated_hosts),
            self.own_share(now),
        );
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return Ok(());
        };
        bucket.advance(now, &self.reporters, host_count, share);
        let needed = units.min(bucket.burst());
        if bucket.level >= needed {
            bucket.level -= units;
            bucket.admitted_units += units;
            return Ok(());
        }
        let wait = (needed - bucket.level) / bucket.customer.rate;
        Err(Duration::from_secs_f64(wait.clamp(0.05, 60.0)))
    }

    /// Records how many hosts another host counts, this one included. The shares of hosts that have
    /// never reported here, for example because of a partition, are left to them.
    pub fn record_reported_hosts(&mut self, now: Duration, hosts: usize) {
        let (most, reported_at) = self.reported_hosts;
        if hosts >= most || now.saturating_sub(reported_at) > FORGET_AFTER {
            self.reported_hosts = (hosts, now);
        }
    }

    /// Sets the number of hosts estimated from the failure domains. Unlike the reported number, it
    /// holds only until the next estimate.
    pub fn set_estimated_hosts(&mut self, hosts: usize) {
        self.estimated_hosts = hosts;
    }

    /// Number of hosts, this one included: the larger of the reported number and the known hosts.
    pub fn host_count(&self) -> usize {
        self.reported_hosts.0.max(self.reporters.len() + 1)
    }

    /// Share of each rate that refills this host's buckets; the use of other hosts is charged to
    /// it.
    fn own_share(&self, now: Duration) -> f64 {
        let is_isolated =
            self.reporters.is_empty() && now.saturating_sub(self.started_at) < FORGET_AFTER;
        let known =
            (self.reporters.len() + 1) as f64 / self.host_count().max(self.estimated_hosts) as f64;
        if is_isolated {
            known.min(ISOLATED_SHARE)
        } else {
            known
        }
    }

    /// Returns the units of a request that was not run.
    pub fn refund(&mut self, customer: &name::Customer, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level = (bucket.level + units).min(bucket.burst());
            bucket.admitted_units -= units;
        }
    }

    /// Brings all buckets up to date and returns what this host has admitted of each customer.
    pub fn usage(&mut self, now: Duration) -> Vec<Usage> {
        let (host_count, share) = (
            self.host_count().max(self.estimated_hosts),
            self.own_share(now),
        );
        let reporters = &self.reporters;
        self.buckets
            .iter_mut()
            .map(|(customer, bucket)| {
                bucket.advance(now, reporters, host_count, share);
                Usage {
                    customer: customer.clone(),
                    units: bucket.admitted_units,
                    level: bucket.level,
                }
            })
            .collect()
    }

    /// Charges what another host reports to have admitted since its last report. The first report
    /// of a incarnation only sets the baseline. The first report after this host's start also
    /// raises a bucket to the sender's level, so that a restarted host does not begin empty.
    pub fn record_usage(
        &mut self,
        now: Duration,
        host: &name::Host,
        incarnation: u64,
        usages: &[Usage],
    ) {
        let known = self.reporters.get(host);
        let last = known
            .filter(|reporter| reporter.incarnation == incarnation)
            .map(|reporter| reporter.reported_at);
        let (hosts, share) = (
            self.host_count().max(self.estimated_hosts),
            self.own_share(now),
        );
        for usage in usages {
            let Some(bucket) = self.buckets.get_mut(&usage.customer) else {
                continue;
            };
            bucket.advance(now, &self.reporters, hosts, share);
            if !self.has_peer_usage {
                bucket.level = bucket.level.max(usage.level.min(bucket.burst()));
            }
            bucket.record_usage(now, host, last, usage.units);
        }
        self.has_peer_usage |= !usages.is_empty();
        let reporter = Reporter {
            incarnation,
            reported_at: now,
        };
        self.reporters.insert(host.clone(), reporter);
    }

    /// Removes a host that has left and admits nothing more.
    pub fn remove_host(&mut self, host: &name::Host) {
        self.reporters.remove(host);
        for bucket in self.buckets.values_mut() {
            bucket.peers.remove(host);
        }
    }

    /// Removes hosts whose last report is too old.
    pub fn expire(&mut self, now: Duration) {
        let expired: Vec<_> = self
            .reporters
            .iter()
            .filter(|(_, reporter)| now.saturating_sub(reporter.reported_at) > FORGET_AFTER)
            .map(|(host, _)| host.clone())
            .collect();
        expired.iter().for_each(|host| self.remove_host(host));
    }
}

impl Bucket {
    /// The customer's burst; a negative one, which a configuration may hold, counts as none.
    fn burst(&self) -> f64 {
        self.customer.burst.max(0.0)
    }

    fn advance(
        &mut self,
        now: Duration,
        reporters: &BTreeMap<name::Host, Reporter>,
        host_count: usize,
        share: f64,
    ) {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        if elapsed_s <= 0.0 {
            return;
        }
        self.updated_at = now;
        let even_rate = self.customer.rate / host_count as f64;
        let mut charged = 0.0;
        for (host, reporter) in reporters {
            let silence = now.saturating_sub(reporter.reported_at);
            if silence <= ESTIMATE_AFTER {
                continue;
            }
            let overdue_s = elapsed_s.min((silence - ESTIMATE_AFTER).as_secs_f64());
            let peer = self.peers.entry(host.clone()).or_default();
            let units = peer.units_per_s.max(even_rate) * overdue_s;
            peer.estimated_units += units;
            charged += units;
        }
        let level = self.level + share * self.customer.rate * elapsed_s - charged;
        self.level = level.clamp(-self.burst(), self.burst());
    }

    fn record_usage(
        &mut self,
        now: Duration,
        host: &name::Host,
        last: Option<Duration>,
        units: f64,
    ) {
        let burst = self.burst();
        let peer = self.peers.entry(host.clone()).or_default();
        let Some(last) = last else {
            peer.reported_units = units;
            peer.estimated_units = 0.0;
            return;
        };
        let used_units = (units - peer.reported_units).max(0.0);
        let elapsed_s = now.saturating_sub(last).as_secs_f64().max(0.05);
        peer.units_per_s += USE_EWMA_WEIGHT * (used_units / elapsed_s - peer.units_per_s);
        self.level = (self.level + peer.estimated_units - used_units).min(burst);
        peer.reported_units = units;
        peer.estimated_units = 0.0;
    }
}
