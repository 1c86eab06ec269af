//! Placement across regions: reports the spare capacity of this region, and chooses the region and
//! the host that a request is forwarded to.

use {
    super::{Core, Remote},
    crate::{
        name,
        proxy::{
            balance::Pressure,
            cache,
            fleet::{Peer, Spare},
            place::{self, Job, REMOTE_ON_TIME_SHARE},
            replica::millis,
            reserve,
            table::{Pool, Table},
        },
        route::affinity,
    },
    rand::RngExt,
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

/// Time that the round trip to another region adds to an answer, in milliseconds.
const REGION_ROUND_TRIP_MS: f64 = 115.0;
/// Share of the objective within which the prompt tokens that an engine could still prefill count
/// as spare capacity.
const SPARE_OBJECTIVE_SHARE: f64 = 0.45;
/// Age up to which what is known of a pool's engines is used again, as computing it looks at all.
const BUSYNESS_TTL: Duration = Duration::from_millis(100);

/// How busy a pool's engines are in this region.
#[derive(Debug, Clone, Copy)]
pub(super) struct Busyness {
    at: Duration,
    /// `None` if its routes state no longest pause, or none of its engines is open.
    pressure: Option<Pressure>,
    /// Requests that are running.
    running: u32,
}

impl Core {
    /// Spare capacity of this region's upstreams, by pool, for reports to other regions.
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
        let (tokens_per_ms, base_ms) = place::learned_speed(&self.catalog, &pool.name);
        let mut spare = Spare {
            wait_ms: f32::MAX,
            rate: tokens_per_ms as f32,
            ..Spare::default()
        };
        let (mut open, mut slots_taken, mut prefill_ms) = (0.0, 0.0, 0.0);
        let most_urgent = self.most_urgent(now, &pool.name);
        let mut unreserved = 0.0;
        let replicas = self.catalog.eligible(&pool.name).filter(|replica| {
            replica.is_available(now)
                && !replica.reach.is_lost()
                && !(pool.cold_per_s > 0.0 && replica.is_cold(now))
                && self.is_within_limit(now, replica)
                && self.has_rested(now, replica)
        });
        for replica in replicas {
            spare.builds.insert(replica.entry.build.clone());
            let running = f64::from(replica.running(now));
            let slots = pool
                .engine
                .map_or(replica.entry.slots, |engine| engine.slots);
            let free = f64::from(slots) - running;
            open += 1.0;
            slots_taken += running / f64::from(slots.max(1));
            let open_slots = reserve::open_slots(slots, u8::MAX, most_urgent);
            unreserved += (f64::from(open_slots) - running).max(0.0);
            let (wait_ms, tokens) = if pool.engine.is_some() {
                let wait_ms = replica.slowness(now)
                    * replica.prefill_ahead(now, u8::MAX, tokens_per_ms)
                    / tokens_per_ms;
                prefill_ms += wait_ms;
                (
                    wait_ms + base_ms,
                    (SPARE_OBJECTIVE_SHARE * millis(objective) - wait_ms) * tokens_per_ms,
                )
            } else {
                let service_ms = self
                    .catalog
                    .estimates(&pool.name)
                    .map_or(0.0, |estimates| estimates.service_ms);
                (
                    (1.0 - free).max(0.0) * service_ms / f64::from(slots.max(1)) + service_ms,
                    0.0,
                )
            };
            spare.wait_ms = spare.wait_ms.min(wait_ms as f32);
            if free > 0.0 {
                spare.requests += free as f32;
                spare.tokens += tokens.max(0.0) as f32;
            }
        }
        spare.unreserved = pool.engine.map(|_| unreserved as f32);
        spare.pressure = table
            .shortest_max_gap(&pool.name)
            .filter(|_| pool.engine.is_some() && open > 0.0)
            .map(|max_gap| {
                let prefill = Duration::from_secs_f64(prefill_ms / open / 1_000.0);
                Pressure::new(slots_taken / open, prefill, max_gap)
            });
        spare
    }

    /// How busy a pool is in this region, as of at most [`BUSYNESS_TTL`] ago.
    fn busyness(&mut self, now: Duration, pool: &name::Pool) -> Option<Busyness> {
        let known = self.busyness.get(pool);
        if let Some(known) = known
            && now.saturating_sub(known.at) < BUSYNESS_TTL
        {
            return Some(*known);
        }
        let table = self.table.as_ref()?;
        let pressure = self.pool_spare(now, table.pool(pool)?, table).pressure;
        let running = self
            .catalog
            .eligible(pool)
            .map(|replica| replica.running(now));
        let busyness = Busyness {
            at: now,
            pressure,
            running: running.sum(),
        };
        self.busyness.insert(pool.clone(), busyness);
        Some(busyness)
    }

    /// Chooses a host of the least busy other region, if this one is so much busier that the request is
    /// to leave; see [`crate::proxy::balance`]. `None` if it is to stay, or can't be served in this
    /// region at all.
    pub(super) fn choose_less_busy(&mut self, now: Duration, job: &Job) -> Option<Remote> {
        if !job.matched.allows(&self.setup.identity.region) {
            return None;
        }
        let busyness = self.busyness(now, &job.pool)?;
        let own = busyness.pressure.filter(|pressure| pressure.is_high())?;
        let allowed = |peer: &&Peer| job.matched.allows(&peer.identity.region);
        let spares = self.relays(now).filter(allowed).filter_map(|peer| {
            let spare = peer.spare.get(&job.pool)?;
            let pressure = spare.pressure.filter(|pressure| pressure.is_valid())?;
            let free = self.free_slots(&peer.identity.region, spare, job);
            Some((pressure, free, &peer.identity.region))
        });
        let least = |left: &Pressure, right: &Pressure| left.value().total_cmp(&right.value());
        let (other, free, region) = spares.min_by(|left, right| least(&left.0, &right.0))?;
        let region = region.clone();
        let room = free / f64::from(busyness.running.max(1));
        let leaves = self.rng.random::<f64>() < own.share_away(other, room);
        let remote = leaves.then(|| self.choose_remote(now, job, Some(&region)))??;
        Some(Remote {
            pressures: Some((own, other)),
            ..remote
        })
    }

    /// Slots that are free in another region for a request, as that region keeps some for its most
    /// urgent route.
    fn free_slots(&self, region: &name::Region, spare: &Spare, job: &Job) -> f64 {
        let table = self.table.as_ref();
        let most_urgent = table.and_then(|table| table.most_urgent(&job.pool, region));
        let is_urgent =
            most_urgent.is_none_or(|most_urgent| job.matched.route.priority <= most_urgent);
        let unreserved = spare.unreserved.filter(|_| !is_urgent);
        f64::from(unreserved.unwrap_or(spare.requests))
    }

    /// Chooses the host of another region with the shortest predicted time to the first byte.
    ///
    /// Looks only at the region `only`, if one is given.
    /// Returns `None` if no region with room is predicted to answer on time. A request that may not
    /// be served in this region goes to any region that can answer before its deadline.
    pub(super) fn choose_remote(
        &mut self,
        now: Duration,
        job: &Job,
        only: Option<&name::Region>,
    ) -> Option<Remote> {
        let own = &self.setup.identity.region;
        let prompt_tokens = f64::from(job.tokens.0);
        let elapsed_ms = job.elapsed_ms(now);
        let is_any_open = {
            let mut eligible = self.catalog.eligible_for(job);
            eligible.any(|replica| replica.rest.is_over(now))
        };
        let may_be_local =
            job.matched.allows(own) && is_any_open && !self.is_out_of_reach(now, job);
        let time_limit_ms = millis(job.deadline.saturating_sub(job.arrived_at));
        // A host with an older or another configuration would refuse the request without running it.
        let is_behind = |peer: &Peer| !peer.edition.covers(&job.matched.edition);
        let is_avoided = |peer: &Peer| job.avoided_hosts.contains(&peer.identity.host);
        let mut best: Option<(f64, name::Region)> = None;
        for peer in self.relays(now) {
            let region = &peer.identity.region;
            let is_excluded = only.is_some_and(|only| only != region);
            if is_excluded || !job.matched.allows(region) || is_behind(peer) || is_avoided(peer) {
                continue;
            }
            let Some(spare) = peer.spare.get(&job.pool) else {
                continue;
            };
            let build = job.build.as_ref();
            let is_build_there = build.is_none_or(|build| spare.builds.contains(build));
            if spare.wait_ms == f32::MAX || !is_build_there {
                continue;
            }
            let prefill_ms = prompt_tokens / f64::from(spare.rate.max(1.0));
            // A time is made of the prediction, which can't be negative.
            let wait_ms = f64::from(spare.wait_ms).clamp(0.0, f64::MAX);
            let predicted_ms = wait_ms + prefill_ms + REGION_ROUND_TRIP_MS;
            let is_on_time = elapsed_ms + predicted_ms <= REMOTE_ON_TIME_SHARE * job.objective_ms();
            let has_room = f64::from(spare.tokens) >= prompt_tokens
                && self.free_slots(region, spare, job) >= 1.0;
            // A request that can't be served in this region is better answered late than not at
            // all.
            let is_useful = if may_be_local {
                is_on_time && has_room
            } else {
                elapsed_ms + predicted_ms <= time_limit_ms
            };
            if is_useful
                && best
                    .as_ref()
                    .is_none_or(|(best_ms, _)| predicted_ms < *best_ms)
            {
                best = Some((predicted_ms, region.clone()));
            }
        }
        let (predicted_ms, region) = best?;
        let session = cache::session_prefix(&job.prefixes).map(|prefix| prefix.hash);
        let key = session.unwrap_or_else(|| self.rng.random());
        let relays = self.fleet.relays(now, &region).into_iter();
        let is_open = |peer: &Peer| {
            let spare = peer.spare.get(&job.pool);
            spare.is_some_and(|spare| spare.wait_ms < f32::MAX)
        };
        let chosen = relays
            .filter(|peer| !is_behind(peer) && !is_avoided(peer) && is_open(peer))
            .max_by_key(|peer| affinity::weight(key, peer.point))?;
        let (host, last_heard_at) = (chosen.identity.clone(), chosen.last_heard_at);
        self.deduct_spare(&region, job);
        Some(Remote {
            host: host.host,
            peers: host.peers,
            region,
            predicted_ms,
            report_age: now.saturating_sub(last_heard_at),
            pressures: None,
        })
    }

    /// Number of available hosts of this region, without this one, and of the other regions.
    pub fn peer_counts(&self, now: Duration) -> (usize, usize) {
        let in_region = self.fleet.neighbours(now).count();
        (in_region, self.fleet.available(now).count() - in_region)
    }

    /// The hosts of other regions that this host may forward requests to.
    pub(super) fn relays(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        let regions: BTreeSet<_> = self.setup.domains.values().collect();
        let others = regions
            .into_iter()
            .filter(|region| **region != self.setup.identity.region);
        others.flat_map(move |region| self.fleet.relays(now, region))
    }

    /// Peer addresses of the hosts that this host may forward requests to.
    pub fn relay_addresses(&self, now: Duration) -> BTreeSet<SocketAddr> {
        let witnesses = self.witnesses(now);
        let neighbours = self.fleet.neighbours(now);
        let neighbours = neighbours.filter(|peer| witnesses.contains(&peer.identity.host));
        let relays = self.relays(now).chain(neighbours);
        relays.map(|peer| peer.identity.peers).collect()
    }

    /// Deducts a forwarded request from a region's spare capacity, until the region reports again.
    fn deduct_spare(&mut self, region: &name::Region, job: &Job) {
        let peers = self.fleet.peers_mut();
        for peer in peers.filter(|peer| peer.identity.region == *region) {
            if let Some(spare) = peer.spare.get_mut(&job.pool) {
                spare.tokens -= job.tokens.0 as f32;
                spare.requests -= 1.0;
                spare.unreserved = spare.unreserved.map(|free| free - 1.0);
            }
        }
    }
}
