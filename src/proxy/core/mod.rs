//! What one host knows and decides, without input or output: where a request goes, whether it
//! waits, and when it is refused.

mod region;
mod wait;

use {
    super::{
        catalog::{Catalog, Change},
        fleet::{Due, Fleet, Identity, News, Report},
        follow::Section,
        place::{self, Choice, Job},
        rate::Limiter,
        reader::{self, Listing, Reading, Role},
        replica::{Outcome, Replica, millis},
        table::{Match, Pool, Table},
    },
    crate::{
        attempt::budget::{self, Budget, Grant as _},
        name,
        route::affinity,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Longest silence of an engine that is in the middle of an answer, in milliseconds: several
/// events' time, even while it reads a long prompt between them.
const SILENT_STREAM_MS: f64 = 700.0;
/// Longest silence before the first byte, in milliseconds, beside the predicted time.
const SILENT_BASE_MS: f64 = 400.0;
/// The predicted time counts so many times in it.
const SILENT_FACTOR: f64 = 2.5;
/// Share of a cold upstream's bound that all hosts together use; the rest covers differing views.
const COLD_SHARE: f64 = 1.2;
/// A host that runs for less may not know its neighbours yet.
const SETTLED: Duration = Duration::from_secs(5);
/// Share of the fleet's allowed ratio of retries that is used.
const RETRY_RATIO_SHARE: f64 = 0.7;
/// Share of the fleet's allowed extra retries that is used; a restart begins with a new budget.
const RETRY_SLACK_SHARE: f64 = 0.35;

/// What a host is told at its start.
#[derive(Debug, Clone)]
pub struct Setup {
    /// This host.
    pub own: Identity,
    /// Failure domains of all regions.
    pub domains: BTreeMap<name::Domain, name::Region>,
    /// Where other hosts may be asked.
    pub seeds: Vec<SocketAddr>,
    /// Retries allowed over the whole fleet.
    pub retries: Retries,
    /// Seeds the choices among equals.
    pub seed: u64,
}

/// Retries allowed over the whole fleet, in a window.
#[derive(Debug, Clone, Copy)]
pub struct Retries {
    /// For each request.
    pub ratio: f64,
    /// Besides.
    pub slack: f64,
}

/// A request's reservation at an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// Names the reservation.
    pub ticket: u64,
    /// The upstream.
    pub upstream: name::Upstream,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Predicted time to the first byte, in milliseconds.
    pub predicted_ms: f64,
    /// Prompt tokens that it must read for this request.
    pub uncached: u32,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    /// To an upstream of this region.
    Here(Grant),
    /// To a host of another region.
    Away(Away),
    /// Nowhere yet; it may wait.
    Wait,
}

/// A host of another region that should place a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Away {
    /// The host.
    pub host: name::Host,
    /// Where it is reached.
    pub peers: SocketAddr,
    /// Its region.
    pub region: name::Region,
    /// Predicted time to the first byte, in milliseconds.
    pub predicted_ms: f64,
    /// Age of the report that told what the region has to spare.
    pub report_age: Duration,
}

#[derive(Debug)]
struct Held {
    upstream: name::Upstream,
    pool: name::Pool,
    rank: u8,
    uncached: u32,
    memory: u32,
    reading: f64,
    predicted_ms: f64,
    sent: Duration,
    engine: bool,
    started: bool,
}

/// The state of one host.
#[derive(Debug)]
pub struct Core {
    /// The upstreams of this region.
    pub catalog: Catalog,
    /// The other hosts.
    pub fleet: Fleet,
    /// The customers' rates.
    pub limiter: Limiter,
    /// This host's part in reading the platform.
    pub duty: Role,
    setup: Setup,
    table: Option<Arc<Table>>,
    held: BTreeMap<u64, Held>,
    tickets: u64,
    waiting: BTreeMap<(u8, u64), Job>,
    retries: BTreeMap<name::Pool, Budget>,
    retry_hosts: usize,
    rng: StdRng,
    started: Duration,
}

impl Core {
    /// A host that knows nothing yet.
    pub fn new(now: Duration, setup: Setup) -> Self {
        let own_region = setup.own.region.clone();
        let domains = setup
            .domains
            .iter()
            .filter(|(_, region)| **region == own_region)
            .map(|(domain, _)| domain.clone())
            .chain([setup.own.domain.clone()])
            .collect();
        Self {
            catalog: Catalog::new(domains),
            fleet: Fleet::new(setup.own.clone(), setup.seeds.clone()),
            limiter: Limiter::new(now),
            duty: Role::new(now, setup.own.host.clone()),
            table: None,
            held: BTreeMap::new(),
            tickets: 0,
            waiting: BTreeMap::new(),
            retries: BTreeMap::new(),
            retry_hosts: 0,
            rng: StdRng::seed_from_u64(setup.seed),
            started: now,
            setup,
        }
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Whether callers can be served.
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && self.catalog.has_list()
    }

    /// Installs a configuration, unless a newer one is in force.
    pub fn configure(&mut self, now: Duration, table: Table) -> bool {
        if self.version() >= table.version {
            return false;
        }
        self.limiter.configure(now, table.customers());
        self.table = Some(Arc::new(table));
        true
    }

    /// The version of the configuration in force; zero before the first.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Another host reports.
    pub fn hear(&mut self, now: Duration, report: Report) -> News {
        let news = self.fleet.hear(now, &report);
        if news == News::Stale {
            return news;
        }
        let host = &report.from.host;
        if report.leaving {
            self.limiter.leave(host);
        } else {
            let incarnation = report.from.incarnation;
            self.limiter.hear(now, host, incarnation, &report.spent);
        }
        self.limiter.expect(now, report.hosts);
        let domains = self.setup.domains.len();
        self.limiter.guess(self.fleet.estimate(domains));
        if report.from.region == self.setup.own.region {
            for replica in self.catalog.all_mut() {
                replica.forget_tally(host);
            }
            for (upstream, tally) in report.tallies {
                if let Some(replica) = self.catalog.get_mut(&upstream) {
                    replica.record_tally(now, host, tally);
                }
            }
        }
        news
    }

    /// The reports that are due now.
    pub fn reports(&mut self, now: Duration, ready: bool, leaving: bool) -> Vec<(Due, Report)> {
        let due = self.fleet.due(now);
        if due.is_empty() {
            return Vec::new();
        }
        let spent = self.limiter.spent(now);
        let hosts = self.limiter.hosts();
        let spare = self.spare(now);
        let tallies: Vec<_> = self
            .catalog
            .all()
            .filter(|replica| !replica.own_tally.is_empty())
            .map(|replica| (replica.entry.id.clone(), replica.own_tally.clone()))
            .collect();
        let contacts: Vec<_> = self
            .fleet
            .peers()
            .map(|peer| (peer.identity.host.clone(), peer.identity.peers))
            .collect();
        let version = self.version();
        let mut reports = Vec::with_capacity(due.len());
        for due in due {
            let report = Report {
                from: self.setup.own.clone(),
                sequence: self.fleet.next_sequence(),
                ready,
                leaving,
                version,
                hosts,
                spent: spent.clone(),
                tallies: if due.near {
                    tallies.clone()
                } else {
                    Vec::new()
                },
                spare: if due.near { Vec::new() } else { spare.clone() },
                contacts: if due.contacts {
                    contacts.clone()
                } else {
                    Vec::new()
                },
            };
            reports.push((due, report));
        }
        reports
    }

    /// An upstream's address belongs to another one: the list is out of date.
    pub fn misdirected(&mut self, now: Duration, upstream: &name::Upstream) -> Option<Change> {
        self.duty.invalidate(now, Section::Upstreams);
        self.catalog.remove_misdirected(upstream)
    }

    /// What to announce now of what was read of the platform, and to whom.
    pub fn announce(&mut self, now: Duration) -> Option<(Reading, Vec<name::Host>)> {
        let generation = self.catalog.generation();
        self.duty.set_generation(Section::Upstreams, generation);
        let own = &self.setup.own;
        let before = self.fleet.before(now);
        let announcement = self.duty.announce(now, before)?;
        let listing = announcement.listing.map(|revision| Listing {
            revision,
            entries: self.catalog.entries(now),
        });
        let reading = Reading {
            from: own.host.clone(),
            incarnation: own.incarnation,
            operator: announcement.operator,
            upstreams: announcement.upstreams,
            listing,
        };
        Some((reading, self.fleet.audience(now)))
    }

    /// Another host of the region announces what it has read.
    pub fn take_reading(
        &mut self,
        now: Duration,
        reading: Reading,
    ) -> (reader::Effect, Vec<Change>) {
        let news = self.duty.receive(now, &reading);
        if news != reader::Effect::Ignored {
            self.catalog.set_reachable(now, true);
        }
        let listing = reading.listing.as_ref();
        if !listing.is_some_and(|listing| self.duty.accept_listing(&reading, listing)) {
            return (news, Vec::new());
        }
        let entries = reading.listing.map(|listing| listing.entries);
        (
            news,
            self.catalog.replace_all(now, entries.unwrap_or_default()),
        )
    }

    /// Where a request goes now. An upstream of this region that answers on time goes first; then
    /// another region, if it may be used; then one of this region that answers late.
    pub fn place(&mut self, now: Duration, job: &Job) -> Placement {
        let here = self.choose(now, job);
        if let Some(choice) = &here
            && choice.on_time
        {
            return Placement::Here(self.reserve(now, job, here.expect("it was just seen")));
        }
        if job.may_leave
            && let Some(away) = self.away(now, job)
        {
            return Placement::Away(away);
        }
        match here {
            Some(choice) => Placement::Here(self.reserve(now, job, choice)),
            None => Placement::Wait,
        }
    }

    fn choose(&self, now: Duration, job: &Job) -> Option<Choice> {
        if !job.matched.allows(&self.setup.own.region) {
            return None;
        }
        let pool = self.table.as_ref()?.pool(&job.pool)?;
        place::choose(&self.catalog, pool, job, now, |replica, pool| {
            self.cold_share(now, replica, pool)
        })
    }

    /// Requests a second that this host may send to a cold upstream: its part among the hosts of
    /// the region, which all order themselves alike for each upstream.
    fn cold_share(&self, now: Duration, replica: &Replica, pool: &Pool) -> usize {
        let all = (pool.cold_per_s * COLD_SHARE).floor() as usize;
        let hosts = self.fleet.near();
        if hosts > all {
            let own = affinity::weight(self.fleet.point, replica.point);
            let before = self
                .fleet
                .peers()
                .filter(|peer| self.fleet.is_near(peer) && !peer.leaving)
                .filter(|peer| affinity::weight(peer.point, replica.point) > own)
                .count();
            return usize::from(before < all);
        }
        if now.saturating_sub(self.started) < SETTLED {
            return 1;
        }
        (all / hosts.max(2)).max(1)
    }

    fn reserve(&mut self, now: Duration, job: &Job, choice: Choice) -> Grant {
        self.tickets += 1;
        let ticket = self.tickets;
        let pool = self.table.as_ref().and_then(|table| table.pool(&job.pool));
        let engine = pool.and_then(|pool| pool.engine);
        let memory = job.tokens.0 + job.tokens.1;
        let rank = job.matched.priority.min(9);
        let replica = self
            .catalog
            .get_mut(&choice.upstream)
            .expect("the choice is one of the catalog's");
        replica.own_tally.running += 1;
        replica.own_tally.memory_tokens += memory;
        replica.own_tally.prefill_tokens[usize::from(rank)] += choice.uncached;
        replica.record_send(now);
        if let Some(engine) = engine {
            replica
                .cache
                .record_prompt(now, &job.chain, engine.memory_tokens);
        }
        let address = replica.entry.address;
        let held = Held {
            upstream: choice.upstream.clone(),
            pool: job.pool.clone(),
            rank,
            uncached: choice.uncached,
            memory,
            reading: choice.reading,
            predicted_ms: choice.predicted_ms,
            sent: now,
            engine: engine.is_some(),
            started: false,
        };
        self.held.insert(ticket, held);
        Grant {
            ticket,
            upstream: choice.upstream,
            address,
            predicted_ms: choice.predicted_ms,
            uncached: choice.uncached,
        }
    }

    /// The first byte of an answer's body came. Returns the time that it took over the predicted.
    pub fn begin(&mut self, now: Duration, ticket: u64) -> Option<f64> {
        let held = self.held.get_mut(&ticket)?;
        if held.started {
            return None;
        }
        held.started = true;
        let took = millis(now.saturating_sub(held.sent));
        let ratio = took / held.predicted_ms.max(1.0);
        let (reading, engine) = (held.reading, held.engine);
        let (pool, upstream) = (held.pool.clone(), held.upstream.clone());
        let (rank, uncached) = (usize::from(held.rank), held.uncached);
        let model = self.catalog.estimates_mut(&pool);
        let foretold = if engine {
            model.speed.base_ms() + reading / model.speed.tokens_per_ms()
        } else {
            model.service_ms
        };
        if engine {
            model.speed.observe(reading, took);
        }
        if let Some(replica) = self.catalog.get_mut(&upstream) {
            replica.note_progress(now);
            replica.own_tally.prefill_tokens[rank] =
                replica.own_tally.prefill_tokens[rank].saturating_sub(uncached);
            replica.observe_slowness(now, took / foretold.max(1.0));
        }
        Some(ratio)
    }

    /// A further piece of an answer came.
    pub fn touch(&mut self, now: Duration, ticket: u64) {
        if let Some(held) = self.held.get(&ticket)
            && let Some(replica) = self.catalog.get_mut(&held.upstream)
        {
            replica.note_progress(now);
        }
    }

    /// Finds upstreams of which nothing comes although they have requests to answer: a stream's
    /// next event, or the first byte of a request that was predicted to be begun by now.
    pub fn find_silent(&mut self, now: Duration) -> Vec<Change> {
        let mut limits: BTreeMap<&name::Upstream, f64> = BTreeMap::new();
        for held in self.held.values() {
            let limit = if held.started && held.engine {
                SILENT_STREAM_MS
            } else {
                SILENT_BASE_MS + SILENT_FACTOR * held.predicted_ms
            };
            let least = limits.entry(&held.upstream).or_insert(f64::INFINITY);
            *least = least.min(limit);
        }
        let silent: Vec<_> = limits
            .into_iter()
            .filter(|(upstream, limit)| {
                let replica = self.catalog.get(upstream);
                replica.is_some_and(|replica| millis(replica.silent_for(now)) > *limit)
            })
            .map(|(upstream, _)| upstream.clone())
            .collect();
        silent
            .iter()
            .filter_map(|upstream| self.catalog.mark_silent(now, upstream))
            .collect()
    }

    /// A reservation ends.
    pub fn end(&mut self, now: Duration, ticket: u64, outcome: Outcome) -> Option<Change> {
        let held = self.held.remove(&ticket)?;
        if let Some(replica) = self.catalog.get_mut(&held.upstream) {
            let own = &mut replica.own_tally;
            own.running = own.running.saturating_sub(1);
            own.memory_tokens = own.memory_tokens.saturating_sub(held.memory);
            if !held.started {
                let waiting = &mut own.prefill_tokens[usize::from(held.rank)];
                *waiting = waiting.saturating_sub(held.uncached);
            }
        }
        if outcome == Outcome::Success && !held.engine {
            let took = millis(now.saturating_sub(held.sent));
            self.catalog.observe_service_time(&held.pool, took);
        }
        self.catalog.record_outcome(now, &held.upstream, outcome)
    }

    /// Notes a request for a pool, which earns a part of a retry.
    pub fn note_request(&mut self, now: Duration, pool: &name::Pool) {
        self.budget(now, pool).deposit(now);
    }

    /// Whether a request may be sent to one more upstream.
    pub fn may_retry(&mut self, now: Duration, pool: &name::Pool) -> bool {
        self.budget(now, pool).withdraw(now)
    }

    fn budget(&mut self, now: Duration, pool: &name::Pool) -> &mut Budget {
        let hosts = self.fleet.most().max(self.setup.domains.len());
        if hosts != self.retry_hosts {
            self.retry_hosts = hosts;
            self.retries.clear();
        }
        let retries = self.setup.retries;
        let limit = budget::Limit {
            ratio: retries.ratio * RETRY_RATIO_SHARE,
            per_second: 0.0,
            burst: (retries.slack * RETRY_SLACK_SHARE / hosts as f64).max(1.0),
        };
        self.retries
            .entry(pool.clone())
            .or_insert_with(|| Budget::new(limit, now))
    }

    /// The pool that serves a request, drawn by weight; the same for all requests of a session.
    pub fn draw_pool(&mut self, matched: &Match, session: Option<u64>) -> Option<name::Pool> {
        let pools = &matched.route.pools;
        let total: u64 = pools.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 || pools.len() == 1 {
            return pools.first().map(|(pool, _)| pool.clone());
        }
        let lot = session.unwrap_or_else(|| self.rng.random());
        let mut at = affinity::mix(lot) % total;
        for (pool, weight) in pools {
            let weight = u64::from(*weight);
            if at < weight {
                return Some(pool.clone());
            }
            at -= weight;
        }
        None
    }
}
