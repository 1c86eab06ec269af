//! Spill: when another region serves a request.
//!
//! Hosts know other regions only by digests of their load, corrected by what they have sent there
//! since. A request is spilled when waiting at home costs more than the way and a cold prefix
//! there, by one bound to begin with and by a lower one once spilling has begun. A region that
//! returns with cold caches counts little capacity at first, so its traffic comes back little by
//! little.

use {
    super::{
        affinity::{self, Hints},
        options::Options,
        replica,
    },
    crate::name,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
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
    known: BTreeMap<name::Region, State>,
    spilling: BTreeSet<name::Pool>,
    forwarded_prefixes: Hints,
    link: Link,
}

#[derive(Debug, Clone)]
struct State {
    received_at: Duration,
    digest: Digest,
    forwarded: u32,
}

/// A region that could serve a request.
#[derive(Debug, Clone)]
pub struct Target {
    /// The region.
    pub region: name::Region,
    /// The pool.
    pub pool: name::Pool,
    /// The expected delay there, in seconds, the way there and back included.
    pub cost_s: f64,
}

impl Regions {
    /// Takes in a region's digest.
    pub fn record_digest(&mut self, now: Duration, digest: Digest) {
        let known = State {
            received_at: now,
            digest: digest.clone(),
            forwarded: 0,
        };
        self.known.insert(digest.region, known);
    }

    /// The expected delay at a pool of another region; none when it is known to have no capacity.
    /// A region not heard of for long is priced by its silence.
    pub fn estimate_delay(
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
        if now.saturating_sub(known.received_at) > options.digest_ttl {
            return Some(Estimate::Unknown);
        }
        let summary = known.digest.pools.get(pool)?;
        if summary.live == 0 || summary.capacity <= 0.0 {
            return None;
        }
        let sent = f64::from(known.forwarded) * f64::from(hosts.max(1));
        let utilization = (f64::from(summary.outstanding) + sent) / f64::from(summary.capacity);
        let service = Duration::from_millis(u64::from(summary.service_ms));
        let wait = replica::wait_s(utilization, service, options);
        let backlog = f64::from(summary.backlog_ms) / 1_000.0;
        let cost = options.region_round_trip.as_secs_f64() + wait + backlog;
        Some(Estimate::Seconds(cost))
    }

    /// Whether `pool`'s requests are spilled, where that gains `gain` seconds.
    pub fn should_spill(&mut self, pool: &name::Pool, gain: f64, options: &Options) -> bool {
        let spilling = self.spilling.contains(pool);
        let bound = match spilling {
            true => options.spill_stop_gain,
            false => options.spill_start_gain,
        };
        let spills = gain > bound.as_secs_f64();
        if spills && !spilling {
            self.spilling.insert(pool.clone());
        } else if spilling && !spills {
            self.spilling.remove(pool);
        }
        spills
    }

    /// Whether a region is believed to hold a prefix, from what was forwarded there.
    pub fn is_held_by(
        &self,
        now: Duration,
        region: &name::Region,
        prefix: u64,
        life: Duration,
    ) -> bool {
        self.forwarded_prefixes
            .is_held_by(now, prefix, hash(region), life)
    }

    /// Takes `bytes` out of this host's part of the link's budget and notes the send.
    pub fn try_forward(
        &mut self,
        now: Duration,
        region: &name::Region,
        bytes: u64,
        prefix: Option<u64>,
        hosts: u32,
        options: &Options,
    ) -> bool {
        let rate = options.link_bytes_per_s / f64::from(hosts.max(1));
        if !self.link.try_consume(now, bytes as f64, rate) {
            return false;
        }
        if let Some(known) = self.known.get_mut(region) {
            known.forwarded += 1;
        }
        if let Some(prefix) = prefix {
            self.forwarded_prefixes
                .record_held(now, prefix, hash(region));
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
    fn try_consume(&mut self, now: Duration, bytes: f64, rate: f64) -> bool {
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

fn hash(region: &name::Region) -> u64 {
    affinity::hash(region.as_str().as_bytes())
}
