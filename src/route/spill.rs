//! Spill: when another region serves a request.
//!
//! Hosts know other regions only by digests of their load. A share of the requests is spilled; it
//! grows step by step while home is slower by more than one bound and shrinks step by step once it
//! isn't slower by another, lower one. So a region that lost capacity and returns with cold caches
//! gets its traffic back little by little.

use {
    super::{options::Options, replica},
    crate::{config::table, name},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Seconds of the link's budget that may be used at once.
const LINK_BURST_S: f64 = 1.0;

/// The load of a region's pools, as one of its hosts sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The region.
    pub region: name::Region,
    /// Its pools.
    pub pools: BTreeMap<name::Pool, Summary>,
}

/// The load of one pool.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Replicas that can take work.
    pub live: u32,
    /// Requests that they should run at once, less while they are cold.
    pub capacity: f32,
    /// Requests in them.
    pub outstanding: f32,
    /// The mean time of an answer, in milliseconds.
    pub service_ms: u32,
    /// How long the host's own queue makes a request wait, in milliseconds.
    pub backlog_ms: u32,
}

/// What a host knows about the other regions.
#[derive(Debug, Clone, Default)]
pub struct Regions {
    known: BTreeMap<name::Region, Known>,
    shares: BTreeMap<name::Pool, Share>,
    link: Link,
}

#[derive(Debug, Clone)]
struct Known {
    at: Duration,
    digest: Digest,
    sent: u32,
}

/// The share of one pool's requests that is spilled.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    part: f64,
    adapted: Duration,
}

/// A region that could serve a request.
#[derive(Debug, Clone)]
pub struct Target {
    /// The region.
    pub region: name::Region,
    /// The pool.
    pub pool: name::Pool,
    /// The expected delay there, in seconds, the way there and back included.
    pub cost: f64,
}

impl Regions {
    /// Takes in a region's digest.
    pub fn learn(&mut self, now: Duration, digest: Digest) {
        let known = Known {
            at: now,
            digest: digest.clone(),
            sent: 0,
        };
        self.known.insert(digest.region, known);
    }

    /// The expected delay at a pool of another region; none when it is known to have no capacity.
    /// A region not heard of for long is priced by its silence.
    pub fn cost(
        &self,
        now: Duration,
        region: &name::Region,
        pool: &name::Pool,
        hosts: u32,
        options: &Options,
    ) -> Option<Estimate> {
        let Some(known) = self.known.get(region) else {
            return Some(Estimate::Unknown);
        };
        if now.saturating_sub(known.at) > options.digest_life {
            return Some(Estimate::Unknown);
        }
        let summary = known.digest.pools.get(pool)?;
        if summary.live == 0 || summary.capacity <= 0.0 {
            return None;
        }
        let sent = f64::from(known.sent) * f64::from(hosts.max(1));
        let utilization = (f64::from(summary.outstanding) + sent) / f64::from(summary.capacity);
        let service = Duration::from_millis(u64::from(summary.service_ms));
        let wait = replica::delay(utilization, service, options);
        let backlog = f64::from(summary.backlog_ms) / 1_000.0;
        let cost = options.region_round_trip.as_secs_f64() + wait + backlog;
        Some(Estimate::Seconds(cost))
    }

    /// Adapts and returns the share of `pool`'s requests to spill, where home takes `home` and the
    /// best other region `away` seconds.
    pub fn share(
        &mut self,
        now: Duration,
        pool: &name::Pool,
        home: f64,
        away: Option<f64>,
        options: &Options,
    ) -> f64 {
        let share = self.shares.entry(pool.clone()).or_default();
        if now.saturating_sub(share.adapted) < options.spill_every {
            return share.part;
        }
        share.adapted = now;
        let gain = away.map_or(f64::NEG_INFINITY, |away| home - away);
        if gain > options.spill_enter.as_secs_f64() {
            share.part = (share.part + options.spill_grow).min(1.0);
        } else if gain < options.spill_exit.as_secs_f64() {
            share.part = (share.part - options.spill_shrink).max(0.0);
        }
        share.part
    }

    /// Notes that home has no capacity for a route, so that its return begins from none.
    pub fn spill_all(&mut self, route: &table::Route) {
        for pool in &route.pools {
            self.shares.entry(pool.clone()).or_default().part = 1.0;
        }
    }

    /// Takes `bytes` out of this host's part of the link's budget and notes the send.
    pub fn forward(
        &mut self,
        now: Duration,
        region: &name::Region,
        bytes: u64,
        hosts: u32,
        options: &Options,
    ) -> bool {
        let rate = options.link_bytes_per_s / f64::from(hosts.max(1));
        if !self.link.take(now, bytes as f64, rate) {
            return false;
        }
        if let Some(known) = self.known.get_mut(region) {
            known.sent += 1;
        }
        true
    }
}

/// What is expected of another region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Estimate {
    /// The delay, in seconds.
    Seconds(f64),
    /// Nothing has been heard of it for long: only for what can go nowhere else.
    Unknown,
}

/// A token bucket over this host's part of the link's budget.
#[derive(Debug, Clone, Copy, Default)]
struct Link {
    used: f64,
    at: Duration,
}

impl Link {
    fn take(&mut self, now: Duration, bytes: f64, rate: f64) -> bool {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.used = (self.used - elapsed * rate).max(0.0);
        if self.used + bytes > rate * LINK_BURST_S {
            return false;
        }
        self.used += bytes;
        true
    }
}
