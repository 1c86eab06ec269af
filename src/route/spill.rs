//! Spilling: when a request is forwarded to another region although this one could serve it.
//!
//! Hosts know the load of other regions only from digests, corrected by what they have forwarded
//! since. A request is spilled when waiting here takes longer than the round trip to another region
//! and the prefill of an uncached prefix there. The gain must exceed one bound for spilling to
//! begin and a lower one for it to go on. A region that returns with cold replicas reports little
//! capacity at first, so its traffic comes back gradually.

use {
    super::{
        affinity::{self, Hints},
        options::Options,
        reach::Unreached,
        replica,
    },
    crate::name,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Seconds of the bandwidth between regions that may be used in a burst.
const LINK_BURST_S: f64 = 1.0;

/// The load of a region's pools, as one of its hosts estimates it. Sent to hosts of other regions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Region that the digest describes.
    pub region: name::Region,
    /// Load of each pool in the region.
    pub pools: BTreeMap<name::Pool, Summary>,
    /// Pools of the region that some of its hosts can't connect to.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub unreached: Unreached,
}

/// The load of one pool in a digest.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of usable replicas.
    pub live: u32,
    /// Number of requests that the replicas should run at once, reduced during slow start.
    pub capacity: f32,
    /// Estimated number of requests in the replicas.
    pub outstanding: f32,
    /// Mean time of an answer, in milliseconds.
    pub service_ms: u32,
    /// How long a request waits in the host's own queue for the pool, in milliseconds.
    pub backlog_ms: u32,
}

/// What a host knows of the other regions: their digests, what it has forwarded there, the pools
/// that are being spilled, and its share of the bandwidth between regions.
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

/// A region and pool that could serve a request.
#[derive(Debug, Clone)]
pub struct Target {
    /// Region that would serve the request.
    pub region: name::Region,
    /// Pool of that region that would serve the request.
    pub pool: name::Pool,
    /// Expected delay, in seconds, including the round trip to the region.
    pub cost_s: f64,
}

impl Regions {
    /// Takes over a region's digest, and restarts the count of requests forwarded there.
    pub fn record_digest(&mut self, now: Duration, digest: Digest) {
        let state = State {
            received_at: now,
            digest: digest.clone(),
            forwarded: 0,
        };
        self.known.insert(digest.region, state);
    }

    /// Expected delay at a pool of another region; `None` if the pool is known to have no capacity.
    /// It is [`Estimate::Unknown`] for a region without a recent digest.
    pub fn estimate_delay(
        &self,
        now: Duration,
        region: &name::Region,
        pool: &name::Pool,
        hosts: u32,
        options: &Options,
    ) -> Option<Estimate> {
        let Some(state) = self.known.get(region) else {
            return Some(Estimate::Unknown);
        };
        if now.saturating_sub(state.received_at) > options.digest_ttl {
            return Some(Estimate::Unknown);
        }
        let summary = state.digest.pools.get(pool)?;
        if summary.live == 0 || summary.capacity <= 0.0 {
            return None;
        }
        let forwarded = f64::from(state.forwarded) * f64::from(hosts.max(1));
        let utilization =
            (f64::from(summary.outstanding) + forwarded) / f64::from(summary.capacity);
        let service = Duration::from_millis(u64::from(summary.service_ms));
        let wait_s = replica::wait_s(utilization, service, options);
        let backlog_s = f64::from(summary.backlog_ms) / 1_000.0;
        let cost_s = options.region_round_trip.as_secs_f64() + wait_s + backlog_s;
        Some(Estimate::Seconds(cost_s))
    }

    /// Whether a host of another region can connect to a pool there, as far as is known.
    pub fn reaches(
        &self,
        now: Duration,
        region: &name::Region,
        host: &name::Host,
        pool: &name::Pool,
        options: &Options,
    ) -> bool {
        let state = self.known.get(region);
        let state =
            state.filter(|state| now.saturating_sub(state.received_at) <= options.digest_ttl);
        let unreached = state.and_then(|state| state.digest.unreached.get(host));
        unreached.is_none_or(|pools| !pools.contains(pool))
    }

    /// Whether requests of `pool` are spilled if that gains `gain` seconds. Changes the bound for
    /// the next call: spilling goes on at a lower gain than it begins at.
    pub fn should_spill(&mut self, pool: &name::Pool, gain: f64, options: &Options) -> bool {
        let is_spilling = self.spilling.contains(pool);
        let bound = match is_spilling {
            true => options.spill_stop_gain,
            false => options.spill_start_gain,
        };
        let spills = gain > bound.as_secs_f64();
        if spills && !is_spilling {
            self.spilling.insert(pool.clone());
        } else if is_spilling && !spills {
            self.spilling.remove(pool);
        }
        spills
    }

    /// Whether a region is expected to hold a prefix, from requests forwarded there.
    pub fn is_held_by(
        &self,
        now: Duration,
        region: &name::Region,
        prefix: u64,
        ttl: Duration,
    ) -> bool {
        self.forwarded_prefixes
            .is_held_by(now, prefix, hash(region), ttl)
    }

    /// Takes `bytes` out of this host's share of the bandwidth between regions and records the
    /// request. Returns false, without recording it, if the share is used up.
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
        if let Some(state) = self.known.get_mut(region) {
            state.forwarded += 1;
        }
        if let Some(prefix) = prefix {
            self.forwarded_prefixes
                .record_held(now, prefix, hash(region));
        }
        true
    }
}

/// Expected delay at another region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Estimate {
    /// The expected delay, in seconds.
    Seconds(f64),
    /// No recent digest of the region: it is used only for requests that nothing else can serve.
    Unknown,
}

/// Token bucket for this host's share of the bandwidth between regions, kept as the bytes used.
#[derive(Debug, Clone, Copy, Default)]
struct Link {
    used_bytes: f64,
    updated_at: Duration,
}

impl Link {
    fn try_consume(&mut self, now: Duration, bytes: f64, rate: f64) -> bool {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.used_bytes = (self.used_bytes - elapsed * rate).max(0.0);
        if self.used_bytes + bytes > rate * LINK_BURST_S {
            return false;
        }
        self.used_bytes += bytes;
        true
    }
}

fn hash(region: &name::Region) -> u64 {
    affinity::hash(region.as_str().as_bytes())
}
