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
const QUIET: Duration = Duration::from_millis(900);
/// A host that is silent for longer has been replaced or removed.
const FORGET: Duration = Duration::from_secs(30);
/// Share of each rate that a host uses before it has heard of any other, as it may be cut off.
const ALONE: f64 = 0.25;
/// Share of the newest report in the estimate of a host's use.
const USE_STEP: f64 = 0.3;

/// What one host has admitted of a customer's requests since it started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Spent {
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
    hosts: BTreeMap<name::Host, Heard>,
    /// Hosts that there may be, this one included, and when that was last said.
    fleet: (usize, Duration),
    /// Hosts that there are by what is now known of the failure domains.
    guess: usize,
    started: Duration,
    informed: bool,
}

#[derive(Debug)]
struct Heard {
    incarnation: u64,
    at: Duration,
}

#[derive(Debug)]
struct Bucket {
    customer: Arc<Customer>,
    level: f64,
    at: Duration,
    spent: f64,
    others: BTreeMap<name::Host, Use>,
}

#[derive(Debug, Default)]
struct Use {
    counted: f64,
    charged: f64,
    per_s: f64,
}

impl Limiter {
    /// Empty buckets of a host that starts at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            started: now,
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
                    at: now,
                    spent: 0.0,
                    others: BTreeMap::new(),
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
        let (all, share) = (self.hosts().max(self.guess), self.share(now));
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return Ok(());
        };
        bucket.advance(now, &self.hosts, all, share);
        let needed = units.min(bucket.customer.burst);
        if bucket.level >= needed {
            bucket.level -= units;
            bucket.spent += units;
            return Ok(());
        }
        let wait = (needed - bucket.level) / bucket.customer.rate;
        Err(Duration::from_secs_f64(wait.clamp(0.05, 60.0)))
    }

    /// There may be so many hosts, this one included. The parts of those that this host has never
    /// heard, as a cut hides them, are left to them.
    pub fn expect(&mut self, now: Duration, hosts: usize) {
        let (most, said) = self.fleet;
        if hosts >= most || now.saturating_sub(said) > FORGET {
            self.fleet = (hosts, now);
        }
    }

    /// By the failure domains of which a host is known, there are so many hosts. Unlike what hosts
    /// say, this holds only until it is guessed anew.
    pub fn guess(&mut self, hosts: usize) {
        self.guess = hosts;
    }

    /// Hosts that this one knows of, itself included.
    pub fn hosts(&self) -> usize {
        self.fleet.0.max(self.hosts.len() + 1)
    }

    /// The part of each rate that is free to this host, but for what others are charged.
    fn share(&self, now: Duration) -> f64 {
        let alone = self.hosts.is_empty() && now.saturating_sub(self.started) < FORGET;
        let known = (self.hosts.len() + 1) as f64 / self.hosts().max(self.guess) as f64;
        if alone { known.min(ALONE) } else { known }
    }

    /// Gives back what a request that has not run was charged.
    pub fn refund(&mut self, customer: &name::Customer, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level = (bucket.level + units).min(bucket.customer.burst);
            bucket.spent -= units;
        }
    }

    /// What this host has admitted.
    pub fn spent(&mut self, now: Duration) -> Vec<Spent> {
        let (all, share) = (self.hosts().max(self.guess), self.share(now));
        let hosts = &self.hosts;
        self.buckets
            .iter_mut()
            .map(|(customer, bucket)| {
                bucket.advance(now, hosts, all, share);
                Spent {
                    customer: customer.clone(),
                    units: bucket.spent,
                    level: bucket.level,
                }
            })
            .collect()
    }

    /// Another host says what it has admitted.
    pub fn hear(&mut self, now: Duration, host: &name::Host, incarnation: u64, spent: &[Spent]) {
        let known = self.hosts.get(host);
        let last = known
            .filter(|heard| heard.incarnation == incarnation)
            .map(|heard| heard.at);
        let (all, share) = (self.hosts().max(self.guess), self.share(now));
        for said in spent {
            let Some(bucket) = self.buckets.get_mut(&said.customer) else {
                continue;
            };
            bucket.advance(now, &self.hosts, all, share);
            if !self.informed {
                bucket.level = bucket.level.max(said.level.min(bucket.customer.burst));
            }
            bucket.hear(now, host, last, said.units);
        }
        self.informed |= !spent.is_empty();
        let heard = Heard {
            incarnation,
            at: now,
        };
        self.hosts.insert(host.clone(), heard);
    }

    /// A host has left and admits nothing more.
    pub fn leave(&mut self, host: &name::Host) {
        self.hosts.remove(host);
        for bucket in self.buckets.values_mut() {
            bucket.others.remove(host);
        }
    }

    /// Forgets hosts that have been silent for long.
    pub fn expire(&mut self, now: Duration) {
        let gone: Vec<_> = self
            .hosts
            .iter()
            .filter(|(_, heard)| now.saturating_sub(heard.at) > FORGET)
            .map(|(host, _)| host.clone())
            .collect();
        gone.iter().for_each(|host| self.leave(host));
    }
}

impl Bucket {
    fn advance(
        &mut self,
        now: Duration,
        hosts: &BTreeMap<name::Host, Heard>,
        all: usize,
        share: f64,
    ) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        self.at = now;
        let even = self.customer.rate / all as f64;
        let mut charged = 0.0;
        for (host, heard) in hosts {
            let silent = now.saturating_sub(heard.at);
            if silent <= QUIET {
                continue;
            }
            let since = passed.min((silent - QUIET).as_secs_f64());
            let of_host = self.others.entry(host.clone()).or_default();
            let units = of_host.per_s.max(even) * since;
            of_host.charged += units;
            charged += units;
        }
        let level = self.level + share * self.customer.rate * passed - charged;
        self.level = level.clamp(-self.customer.burst, self.customer.burst);
    }

    fn hear(&mut self, now: Duration, host: &name::Host, last: Option<Duration>, units: f64) {
        let of_host = self.others.entry(host.clone()).or_default();
        let Some(last) = last else {
            of_host.counted = units;
            of_host.charged = 0.0;
            return;
        };
        let used = (units - of_host.counted).max(0.0);
        let span = now.saturating_sub(last).as_secs_f64().max(0.05);
        of_host.per_s += USE_STEP * (used / span - of_host.per_s);
        self.level = (self.level + of_host.charged - used).min(self.customer.burst);
        of_host.counted = units;
        of_host.charged = 0.0;
    }
}
