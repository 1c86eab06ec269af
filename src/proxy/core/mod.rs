//! What one host knows and decides, without input or output: where a request goes, whether it
//! waits, and when it is refused.

mod region;
mod wait;

use {
    super::{
        catalog::{Catalog, Change},
        fleet::{Fleet, Identity, Recipient, Report, Update},
        follow::Section,
        place::{self, Choice, Job},
        rate::Limiter,
        reader::{self, Listing, Reading, Role},
        replica::{Outcome, Replica, millis},
        table::{Match, Pool, Table},
    },
    crate::{
        attempt::budget::{self, Budget as _, TokenBucket},
        name,
        route::affinity,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Longest silence of an engine that is in the middle of an answer, in milliseconds: several
/// events' time, even while it reads a long prompt between them.
const MAX_STREAM_SILENCE_MS: f64 = 700.0;
/// Longest silence before the first byte, in milliseconds, beside the predicted time.
const FIRST_BYTE_SILENCE_MS: f64 = 400.0;
/// The predicted time counts so many times in it.
const FIRST_BYTE_SILENCE_FACTOR: f64 = 2.5;
/// Share of a cold upstream's bound that all hosts together use; the rest covers differing views.
const COLD_RATE_FACTOR: f64 = 1.2;
/// A host that runs for less may not know its neighbours yet.
const DISCOVERY_TIME: Duration = Duration::from_secs(5);
/// Share of the fleet's allowed ratio of retries that is used.
const RETRY_RATIO_SHARE: f64 = 0.7;
/// Share of the fleet's allowed extra retries that is used; a restart begins with a new budget.
const RETRY_SLACK_SHARE: f64 = 0.35;

/// What a host is told at its start.
#[derive(Debug, Clone)]
pub struct Setup {
    /// This host.
    pub identity: Identity,
    /// Failure domains of all regions.
    pub domains: BTreeMap<name::Domain, name::Region>,
    /// Where other hosts may be asked.
    pub seeds: Vec<SocketAddr>,
    /// Retries allowed over the whole fleet.
    pub retries: Retries,
    /// Seeds the choices among equals.
    pub rng_seed: u64,
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
    pub uncached_tokens: u32,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    /// To an upstream of this region.
    Local(Grant),
    /// To a host of another region.
    Remote(Remote),
    /// Nowhere yet; it may wait.
    Wait,
}

/// A host of another region that should place a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Remote {
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
struct Reservation {
    upstream: name::Upstream,
    pool: name::Pool,
    rank: u8,
    uncached_tokens: u32,
    memory_tokens: u32,
    prefill_tokens: f64,
    predicted_ms: f64,
    sent_at: Duration,
    is_engine: bool,
    has_first_byte: bool,
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
    reservations: BTreeMap<u64, Reservation>,
    last_ticket: u64,
    queue: BTreeMap<(u8, u64), Job>,
    retry_budgets: BTreeMap<name::Pool, TokenBucket>,
    retry_hosts: usize,
    rng: StdRng,
    started_at: Duration,
}

impl Core {
    /// A host that knows nothing yet.
    pub fn new(now: Duration, setup: Setup) -> Self {
        let own_region = setup.identity.region.clone();
        let domains = setup
            .domains
            .iter()
            .filter(|(_, region)| **region == own_region)
            .map(|(domain, _)| domain.clone())
            .chain([setup.identity.domain.clone()])
            .collect();
        Self {
            catalog: Catalog::new(domains),
            fleet: Fleet::new(setup.identity.clone(), setup.seeds.clone()),
            limiter: Limiter::new(now),
            duty: Role::new(now, setup.identity.host.clone()),
            table: None,
            reservations: BTreeMap::new(),
            last_ticket: 0,
            queue: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            retry_hosts: 0,
            rng: StdRng::seed_from_u64(setup.rng_seed),
            started_at: now,
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
    pub fn receive_report(&mut self, now: Duration, report: Report) -> Update {
        let news = self.fleet.record_report(now, &report);
        if news == Update::Stale {
            return news;
        }
        let host = &report.from.host;
        if report.leaving {
            self.limiter.remove_host(host);
        } else {
            let incarnation = report.from.incarnation;
            self.limiter
                .record_usage(now, host, incarnation, &report.spent);
        }
        self.limiter.note_reported_hosts(now, report.hosts);
        let domains = self.setup.domains.len();
        self.limiter
            .set_estimated_hosts(self.fleet.estimated_hosts(domains));
        if report.from.region == self.setup.identity.region {
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
    pub fn due_reports(
        &mut self,
        now: Duration,
        ready: bool,
        leaving: bool,
    ) -> Vec<(Recipient, Report)> {
        let due = self.fleet.due_recipients(now);
        if due.is_empty() {
            return Vec::new();
        }
        let spent = self.limiter.usage(now);
        let hosts = self.limiter.host_count();
        let spare = self.region_spare(now);
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
                from: self.setup.identity.clone(),
                sequence: self.fleet.next_sequence(),
                ready,
                leaving,
                version,
                hosts,
                spent: spent.clone(),
                tallies: if due.is_same_region {
                    tallies.clone()
                } else {
                    Vec::new()
                },
                spare: if due.is_same_region {
                    Vec::new()
                } else {
                    spare.clone()
                },
                contacts: if due.includes_contacts {
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
    pub fn remove_misdirected(
        &mut self,
        now: Duration,
        upstream: &name::Upstream,
    ) -> Option<Change> {
        self.duty.invalidate(now, Section::Upstreams);
        self.catalog.remove_misdirected(upstream)
    }

    /// What to announce now of what was read of the platform, and to whom.
    pub fn announce(&mut self, now: Duration) -> Option<(Reading, Vec<name::Host>)> {
        let generation = self.catalog.generation();
        self.duty.set_generation(Section::Upstreams, generation);
        let own = &self.setup.identity;
        let before = self.fleet.rank(now);
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
        Some((reading, self.fleet.live_neighbours(now)))
    }

    /// Another host of the region announces what it has read.
    pub fn receive_reading(
        &mut self,
        now: Duration,
        reading: Reading,
    ) -> (reader::Update, Vec<Change>) {
        let news = self.duty.receive(now, &reading);
        if news != reader::Update::Ignored {
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
        let here = self.choose_local(now, job);
        if let Some(choice) = &here
            && choice.is_on_time
        {
            return Placement::Local(self.reserve(now, job, here.expect("it was just seen")));
        }
        if job.may_forward
            && let Some(away) = self.choose_remote(now, job)
        {
            return Placement::Remote(away);
        }
        match here {
            Some(choice) => Placement::Local(self.reserve(now, job, choice)),
            None => Placement::Wait,
        }
    }

    fn choose_local(&self, now: Duration, job: &Job) -> Option<Choice> {
        if !job.matched.allows(&self.setup.identity.region) {
            return None;
        }
        let pool = self.table.as_ref()?.pool(&job.pool)?;
        place::choose(&self.catalog, pool, job, now, |replica, pool| {
            self.cold_limit(now, replica, pool)
        })
    }

    /// Requests a second that this host may send to a cold upstream: its part among the hosts of
    /// the region, which all order themselves alike for each upstream.
    fn cold_limit(&self, now: Duration, replica: &Replica, pool: &Pool) -> usize {
        let all = (pool.cold_per_s * COLD_RATE_FACTOR).floor() as usize;
        let hosts = self.fleet.region_hosts();
        if hosts > all {
            let own = affinity::weight(self.fleet.point, replica.point);
            let before = self
                .fleet
                .peers()
                .filter(|peer| self.fleet.is_same_region(peer) && !peer.is_leaving)
                .filter(|peer| affinity::weight(peer.point, replica.point) > own)
                .count();
            return usize::from(before < all);
        }
        if now.saturating_sub(self.started_at) < DISCOVERY_TIME {
            return 1;
        }
        (all / hosts.max(2)).max(1)
    }

    fn reserve(&mut self, now: Duration, job: &Job, choice: Choice) -> Grant {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
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
        replica.own_tally.prefill_tokens[usize::from(rank)] += choice.uncached_tokens;
        replica.record_send(now);
        if let Some(engine) = engine {
            replica
                .cache
                .record_prompt(now, &job.chain, engine.memory_tokens);
        }
        let address = replica.entry.address;
        let held = Reservation {
            upstream: choice.upstream.clone(),
            pool: job.pool.clone(),
            rank,
            uncached_tokens: choice.uncached_tokens,
            memory_tokens: memory,
            prefill_tokens: choice.prefill_tokens,
            predicted_ms: choice.predicted_ms,
            sent_at: now,
            is_engine: engine.is_some(),
            has_first_byte: false,
        };
        self.reservations.insert(ticket, held);
        Grant {
            ticket,
            upstream: choice.upstream,
            address,
            predicted_ms: choice.predicted_ms,
            uncached_tokens: choice.uncached_tokens,
        }
    }

    /// The first byte of an answer's body came. Returns the time that it took over the predicted.
    pub fn record_first_byte(&mut self, now: Duration, ticket: u64) -> Option<f64> {
        let held = self.reservations.get_mut(&ticket)?;
        if held.has_first_byte {
            return None;
        }
        held.has_first_byte = true;
        let took = millis(now.saturating_sub(held.sent_at));
        let ratio = took / held.predicted_ms.max(1.0);
        let (reading, engine) = (held.prefill_tokens, held.is_engine);
        let (pool, upstream) = (held.pool.clone(), held.upstream.clone());
        let (rank, uncached) = (usize::from(held.rank), held.uncached_tokens);
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
            replica.record_progress(now);
            replica.own_tally.prefill_tokens[rank] =
                replica.own_tally.prefill_tokens[rank].saturating_sub(uncached);
            replica.observe_slowness(now, took / foretold.max(1.0));
        }
        Some(ratio)
    }

    /// A further piece of an answer came.
    pub fn record_progress(&mut self, now: Duration, ticket: u64) {
        if let Some(held) = self.reservations.get(&ticket)
            && let Some(replica) = self.catalog.get_mut(&held.upstream)
        {
            replica.record_progress(now);
        }
    }

    /// Finds upstreams of which nothing comes although they have requests to answer: a stream's
    /// next event, or the first byte of a request that was predicted to be begun by now.
    pub fn detect_silent(&mut self, now: Duration) -> Vec<Change> {
        let mut limits: BTreeMap<&name::Upstream, f64> = BTreeMap::new();
        for held in self.reservations.values() {
            let limit = if held.has_first_byte && held.is_engine {
                MAX_STREAM_SILENCE_MS
            } else {
                FIRST_BYTE_SILENCE_MS + FIRST_BYTE_SILENCE_FACTOR * held.predicted_ms
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
    pub fn release(&mut self, now: Duration, ticket: u64, outcome: Outcome) -> Option<Change> {
        let held = self.reservations.remove(&ticket)?;
        if let Some(replica) = self.catalog.get_mut(&held.upstream) {
            let own = &mut replica.own_tally;
            own.running = own.running.saturating_sub(1);
            own.memory_tokens = own.memory_tokens.saturating_sub(held.memory_tokens);
            if !held.has_first_byte {
                let waiting = &mut own.prefill_tokens[usize::from(held.rank)];
                *waiting = waiting.saturating_sub(held.uncached_tokens);
            }
        }
        if outcome == Outcome::Success && !held.is_engine {
            let took = millis(now.saturating_sub(held.sent_at));
            self.catalog.observe_service_time(&held.pool, took);
        }
        self.catalog.record_outcome(now, &held.upstream, outcome)
    }

    /// Notes a request for a pool, which earns a part of a retry.
    pub fn record_request(&mut self, now: Duration, pool: &name::Pool) {
        self.retry_budget(now, pool).deposit(now);
    }

    /// Whether a request may be sent to one more upstream.
    pub fn withdraw_retry(&mut self, now: Duration, pool: &name::Pool) -> bool {
        self.retry_budget(now, pool).withdraw(now)
    }

    fn retry_budget(&mut self, now: Duration, pool: &name::Pool) -> &mut TokenBucket {
        let hosts = self.fleet.max_hosts().max(self.setup.domains.len());
        if hosts != self.retry_hosts {
            self.retry_hosts = hosts;
            self.retry_budgets.clear();
        }
        let retries = self.setup.retries;
        let limit = budget::Limit {
            ratio: retries.ratio * RETRY_RATIO_SHARE,
            per_second: 0.0,
            burst: (retries.slack * RETRY_SLACK_SHARE / hosts as f64).max(1.0),
        };
        self.retry_budgets
            .entry(pool.clone())
            .or_insert_with(|| TokenBucket::new(limit, now))
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
