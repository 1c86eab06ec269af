//! Decisions on streams that callers resume: which hosts hold the record of a stream, and whether
//! its build is known without one.

use {
    super::Core,
    crate::{
        name,
        proxy::{
            fleet::{Builds, GONE_AFTER, Peer, SILENT_AFTER},
            origin::{Key, Message, Record},
        },
        route::affinity,
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Regions whose hosts hold the record of a stream, besides the region of the host that began it:
/// the loss of a region, or of the way to it, leaves others.
const REGIONS_PER_RECORD: usize = 3;
/// Hosts of each such region that hold the record.
const HOSTS_PER_REGION: usize = 2;
/// Hosts of each such region that are asked. One more than hold it, since the host that began the
/// stream may be among the first.
const ASKED_PER_REGION: usize = HOSTS_PER_REGION + 1;

/// Time without a sign of this host's tasks after which it has stood still.
const MAX_STEP: Duration = Duration::from_millis(500);
/// Time after a standstill within which what arrived meanwhile is read.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// What is known of a stream's build from the builds that have served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sole {
    /// Only this one has served.
    Known(name::Build),
    /// Only one was known when the other hosts were heard last.
    Unconfirmed,
    /// Several have served, or a region was not watched for long enough.
    Unknown,
}

/// Whether this host's tasks have run without a pause.
#[derive(Debug, Default)]
pub(super) struct Step {
    last_at: Option<Duration>,
    paused_at: Option<Duration>,
}

impl Step {
    fn record(&mut self, now: Duration) {
        if self.is_pause(now) {
            self.paused_at = Some(now);
        }
        self.last_at = Some(now);
    }

    fn is_pause(&self, now: Duration) -> bool {
        let pause = self.last_at.map(|at| now.saturating_sub(at));
        pause.is_some_and(|pause| pause >= MAX_STEP)
    }

    fn is_in_step(&self, now: Duration) -> bool {
        let is_caught_up = |at: Duration| now.saturating_sub(at) >= CATCH_UP_TIME;
        !self.is_pause(now) && self.paused_at.is_none_or(is_caught_up)
    }
}

impl Core {
    /// The hosts to tell of streams that began here, each with the records that it is to hold.
    pub fn untold_streams(&mut self, now: Duration) -> Vec<(name::Host, Message)> {
        self.origins.expire(now);
        let mut records: BTreeMap<name::Host, Vec<Record>> = BTreeMap::new();
        for record in self.origins.take_untold(now) {
            for host in self.holders(now, record.key, HOSTS_PER_REGION) {
                records.entry(host).or_default().push(record.clone());
            }
        }
        let messages = records.into_iter();
        messages
            .map(|(host, records)| (host, Message::Began(records)))
            .collect()
    }

    /// The hosts to ask which build began a stream.
    pub fn hosts_to_ask(&self, now: Duration, key: Key) -> Vec<name::Host> {
        self.holders(now, key, ASKED_PER_REGION)
    }

    /// The first hosts of each region by rendezvous weight for a stream, this one left out.
    fn holders(&self, now: Duration, key: Key, per_region: usize) -> Vec<name::Host> {
        let own_region = &self.setup.identity.region;
        let regions: BTreeSet<_> = self.setup.domains.values().collect();
        let mut regions: Vec<_> = regions.into_iter().collect();
        let weight = |region: &name::Region| {
            affinity::weight(key.hash(), affinity::hash(region.as_str().as_bytes()))
        };
        regions.sort_by_key(|region| Reverse(weight(region)));
        regions.truncate(REGIONS_PER_RECORD);
        if !regions.contains(&own_region) {
            regions.push(own_region);
        }
        let mut holders = Vec::new();
        for region in regions {
            let peers = self.fleet.peers().filter(|peer| {
                peer.identity.region == *region
                    && now.saturating_sub(peer.last_heard_at) < GONE_AFTER
            });
            let mut peers: Vec<_> = peers.collect();
            peers.sort_by_key(|peer| Reverse(affinity::weight(key.hash(), peer.point)));
            let first = peers.into_iter().take(per_region);
            holders.extend(first.map(|peer| peer.identity.host.clone()));
        }
        holders
    }

    /// Builds of each pool that served in this region within the life of a stream.
    pub(super) fn region_builds(&self, now: Duration) -> Builds {
        let lifetime = self.stream_lifetime();
        Builds {
            watched: self.catalog.watched(now),
            pools: self.catalog.recent_builds(now, lifetime),
        }
    }

    /// The build that began any stream of a pool which a caller may still resume, if there was only
    /// one in the whole fleet. To be asked about a stream that is taken up at `asked_at`.
    ///
    /// What this host knew before says nothing of a build that has joined since the others were heard
    /// last, so a host of each region must have reported after that.
    pub fn only_build(&self, now: Duration, asked_at: Duration, pool: &name::Pool) -> Sole {
        let Some(build) = self.presumed_build(now, pool) else {
            return Sole::Unknown;
        };
        if self.step.is_in_step(now) && self.is_confirmed(now, asked_at) {
            Sole::Known(build)
        } else {
            Sole::Unconfirmed
        }
    }

    /// Records that this host's tasks run.
    pub fn record_step(&mut self, now: Duration) {
        self.step.record(now);
    }

    /// Whether each region was heard of since a time. The own one needs no other host if none is live.
    fn is_confirmed(&self, now: Duration, since: Duration) -> bool {
        let lifetime = self.stream_lifetime();
        let own = &self.setup.identity.region;
        let regions: BTreeSet<_> = self.setup.domains.values().collect();
        regions.into_iter().all(|region| {
            let peers = || {
                let peers = self.fleet.peers();
                peers.filter(|peer| peer.identity.region == *region)
            };
            let is_confirmed = peers().any(|peer| {
                let is_watched = region == own || peer.builds.watched >= lifetime;
                peer.last_heard_at >= since && is_watched
            });
            let is_live = |peer: &Peer| {
                !peer.is_leaving && now.saturating_sub(peer.last_heard_at) < SILENT_AFTER
            };
            is_confirmed || (region == own && !peers().any(is_live))
        })
    }

    /// The only build that this host has heard of, if a host of each region that is heard of has watched
    /// that region for the life of a stream.
    fn presumed_build(&self, now: Duration, pool: &name::Pool) -> Option<name::Build> {
        let lifetime = self.stream_lifetime();
        let own = (&self.setup.identity.region, &self.region_builds(now));
        let peers = self.fleet.peers();
        let heard = peers.filter(|peer| now.saturating_sub(peer.last_heard_at) < GONE_AFTER);
        let heard = heard.map(|peer| (&peer.identity.region, &peer.builds));
        let mut unwatched: BTreeSet<_> = self.setup.domains.values().collect();
        let mut builds = BTreeSet::new();
        for (region, seen) in heard.chain([own]) {
            builds.extend(seen.pools.get(pool).into_iter().flatten());
            if seen.watched >= lifetime {
                unwatched.remove(region);
            }
        }
        let first = builds.first().map(|build| (*build).clone());
        first.filter(|_| unwatched.is_empty() && builds.len() == 1)
    }

    /// Longest time from the beginning of a stream until its caller may resume it.
    fn stream_lifetime(&self) -> Duration {
        let table = self.table.as_ref();
        table.map_or(Duration::MAX, |table| table.longest_stream())
    }
}
