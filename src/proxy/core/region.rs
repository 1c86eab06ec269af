//! What regions have to spare, and which of their hosts is asked to place a request.

use {
    super::{Core, Remote},
    crate::{
        name,
        proxy::{
            cache,
            fleet::{Peer, Spare},
            place::{self, Job, REMOTE_ON_TIME_SHARE},
            replica::millis,
            table::{Pool, Table},
        },
        route::affinity,
    },
    rand::RngExt,
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

/// Time that the way to another region and back adds to an answer, in milliseconds.
const REGION_ROUND_TRIP_MS: f64 = 115.0;
/// Share of the objective up to which a region's spare room is counted.
const SPARE_OBJECTIVE_SHARE: f64 = 0.45;

impl Core {
    /// What this region's upstreams could take beside what they have.
    pub(super) fn region_spare(&self, now: Duration) -> Vec<(name::Pool, Spare)> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        table
            .pools()
            .map(|pool| (pool.name.clone(), self.pool_spare(now, pool, table)))
            .collect()
    }

    fn pool_spare(&self, now: Duration, pool: &Pool, table: &Table) -> Spare {
        let objective = table.longest_objective(&pool.name);
        let (rate, base) = place::learned_speed(&self.catalog, &pool.name);
        let mut spare = Spare {
            wait_ms: f32::MAX,
            rate: rate as f32,
            ..Spare::default()
        };
        let open = self.catalog.eligible(&pool.name).filter(|replica| {
            replica.is_available(now) && !(pool.cold_per_s > 0.0 && replica.is_cold(now))
        });
        for replica in open {
            let running = f64::from(replica.running(now));
            let slots = pool
                .engine
                .map_or(replica.entry.slots, |engine| engine.slots);
            let free = f64::from(slots) - running;
            let (wait, tokens) = if pool.engine.is_some() {
                let wait = replica.slowness(now) * replica.prefill_ahead(now, u8::MAX, rate) / rate;
                (
                    wait + base,
                    (SPARE_OBJECTIVE_SHARE * millis(objective) - wait) * rate,
                )
            } else {
                let service = self
                    .catalog
                    .estimates(&pool.name)
                    .map_or(0.0, |model| model.service_ms);
                (
                    (1.0 - free).max(0.0) * service / f64::from(slots.max(1)) + service,
                    0.0,
                )
            };
            spare.wait_ms = spare.wait_ms.min(wait as f32);
            if free > 0.0 {
                spare.requests += free as f32;
                spare.tokens += tokens.max(0.0) as f32;
            }
        }
        spare
    }

    /// The best host of another region, if one can answer in time.
    pub(super) fn choose_remote(&mut self, now: Duration, job: &Job) -> Option<Remote> {
        let own = &self.setup.identity.region;
        let prompt = f64::from(job.tokens.0);
        let elapsed = job.elapsed_ms(now);
        let at_home = job.matched.allows(own);
        let patience = millis(job.deadline.saturating_sub(job.arrived_at));
        // A host with an older configuration would only say that it has not run the request.
        let is_behind = |peer: &Peer| peer.version < job.matched.version;
        let mut best: Option<(f64, name::Region)> = None;
        for peer in self.relays(now) {
            let region = &peer.identity.region;
            if !job.matched.allows(region) || is_behind(peer) {
                continue;
            }
            let Some(spare) = peer.spare.get(&job.pool) else {
                continue;
            };
            if spare.wait_ms == f32::MAX {
                continue;
            }
            let reading = prompt / f64::from(spare.rate.max(1.0));
            let predicted = f64::from(spare.wait_ms) + reading + REGION_ROUND_TRIP_MS;
            let on_time = elapsed + predicted <= REMOTE_ON_TIME_SHARE * job.objective_ms();
            let room = f64::from(spare.tokens) >= prompt && spare.requests >= 1.0;
            // A request that may not be served here has no better choice than a late answer.
            let useful = if at_home {
                on_time && room
            } else {
                elapsed + predicted <= patience
            };
            if useful && best.as_ref().is_none_or(|(least, _)| predicted < *least) {
                best = Some((predicted, region.clone()));
            }
        }
        let (predicted_ms, region) = best?;
        let session = cache::session_prefix(&job.chain).map(|link| link.hash);
        let key = session.unwrap_or_else(|| self.rng.random());
        let relays = self.fleet.relays(now, &region).into_iter();
        let chosen = relays
            .filter(|peer| !is_behind(peer))
            .max_by_key(|peer| affinity::weight(key, peer.point))?;
        let (host, heard) = (chosen.identity.clone(), chosen.last_heard_at);
        self.deduct_spare(&region, job);
        Some(Remote {
            host: host.host,
            peers: host.peers,
            region,
            predicted_ms,
            report_age: now.saturating_sub(heard),
        })
    }

    /// Working hosts of this region beside this one, and of other regions.
    pub fn peer_counts(&self, now: Duration) -> (usize, usize) {
        let near = self.fleet.neighbours(now).count();
        (near, self.fleet.available(now).count() - near)
    }

    /// The hosts of other regions to which requests of this one may be forwarded.
    fn relays(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        let regions: BTreeSet<_> = self.setup.domains.values().collect();
        let others = regions
            .into_iter()
            .filter(|region| **region != self.setup.identity.region);
        others.flat_map(move |region| self.fleet.relays(now, region))
    }

    /// Where they are reached.
    pub fn relay_addresses(&self, now: Duration) -> BTreeSet<SocketAddr> {
        let relays = self.relays(now);
        relays.map(|peer| peer.identity.peers).collect()
    }

    /// Takes a forwarded request off what a region has to spare, until it reports again.
    fn deduct_spare(&mut self, region: &name::Region, job: &Job) {
        let peers = self.fleet.peers_mut();
        for peer in peers.filter(|peer| peer.identity.region == *region) {
            if let Some(spare) = peer.spare.get_mut(&job.pool) {
                spare.tokens -= job.tokens.0 as f32;
                spare.requests -= 1.0;
            }
        }
    }
}
