//! State and decisions of one host, without input or output.
//!
//! [`Core`] decides where a request goes, whether it waits and when it is refused. The host calls
//! it with the reports of other hosts, the listings of upstreams, the configurations and the
//! progress of answers, and sends the requests and reports that it returns.

mod load;
mod origin;
mod prompt;
mod region;
mod relay;
mod wait;

pub use self::{origin::Sole, relay::CutOff};

use {
    super::{
        balance::Pressure,
        brief,
        catalog::{Catalog, Change},
        fleet::{Fleet, GONE_AFTER, Identity, Peer, Recipient, Report, Update},
        follow::Section,
        load::news,
        origin::Ledger,
        place::{self, Choice, Job},
        quarantine::{self, Process, Quarantine, SETTLING_TIME, Suspect, Verdict, Withheld},
        rate::Limiter,
        reach,
        reader::{self, Listing, Reading, Role},
        readiness::{Cause, Obstacle, Readiness},
        replica::{ASSUMED_COLD_TIME, Outcome, Replica, millis},
        reserve,
        retry::Overload,
        revision::Era,
        table::{Match, Pool, Table},
        throttle::{self, Notice, Share},
    },
    crate::{
        attempt::budget::{self, Budget as _, TokenBucket},
        name,
        natural::Natural,
        rest::Turn,
        route::affinity,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cmp::Ordering,
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Longest silence of an engine in the middle of an answer, in milliseconds. It covers several
/// events, even when the engine prefills a long prompt between them.
const MAX_STREAM_SILENCE_MS: f64 = 700.0;
/// Silence allowed before the first byte, in milliseconds, on top of the predicted time times
/// [`FIRST_BYTE_SILENCE_FACTOR`].
const FIRST_BYTE_SILENCE_MS: f64 = 400.0;
/// Factor on the predicted time to the first byte in the silence allowed before that byte.
const FIRST_BYTE_SILENCE_FACTOR: f64 = 2.5;
/// Factor on a pool's `cold_per_s` that all hosts of a region use together. What a cold upstream
/// takes beyond that covers hosts that see different sets of hosts.
const COLD_RATE_FACTOR: f64 = 1.2;
/// Time after the start during which a host may not know the other hosts of its region yet. Until
/// it is over, the host sends a cold upstream at most one request a second.
const DISCOVERY_TIME: Duration = Duration::from_secs(5);
/// Time after the start during which a host sends nothing to a cold upstream: it has heard of few
/// hosts, and all hosts of the region may have started at once.
const FIRST_REPORTS_TIME: Duration = Duration::from_millis(1_500);
/// Time to open a connection from which the upstream may have started again meanwhile.
const SLOW_CONNECTION: Duration = Duration::from_millis(400);
/// How long a host that is not heard keeps its part of an upstream's limit.
const SHARING_TIMEOUT: Duration = Duration::from_secs(10);
/// Hosts of the region that are assumed during [`DISCOVERY_TIME`] to share an upstream's limit.
const ASSUMED_HOSTS: usize = 4;
/// Shortest time between two reports that are sent early since this host reaches other upstreams than
/// before.
const MIN_REACH_INTERVAL: Duration = Duration::from_millis(100);
/// Share of the fleet's allowed retry ratio that is used.
const RETRY_RATIO_SHARE: f64 = 0.7;
/// Share of the fleet's allowed extra retries that is used. The rest covers restarts, as a host
/// that starts again begins with a full budget.
const RETRY_SLACK_SHARE: f64 = 0.35;

/// Parameters that a host is started with.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Name, region and addresses of this host.
    pub identity: Identity,
    /// Failure domains of all regions, each with its region.
    pub domains: BTreeMap<name::Domain, name::Region>,
    /// Peer addresses at which other hosts may be found.
    pub seeds: Vec<SocketAddr>,
    /// Bound on retries that holds for the whole fleet.
    pub retries: Retries,
    /// Seed of the random number generator for weighted pools, relays and retry delays.
    pub rng_seed: u64,
}

/// Retries that the whole fleet is allowed in a window: `ratio` times the requests, and `slack`.
#[derive(Debug, Clone, Copy)]
pub struct Retries {
    /// Retries earned by each request.
    pub ratio: f64,
    /// Retries allowed on top of the earned ones.
    pub slack: f64,
}

/// A reservation at an upstream for one request, held until [`Core::release`].
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// Number of the reservation, unique within the process.
    pub ticket: u64,
    /// Upstream that the request is to be sent to.
    pub upstream: name::Upstream,
    /// Address of that upstream.
    pub address: SocketAddr,
    /// Build of that upstream.
    pub build: name::Build,
    /// Predicted time to the first byte, in milliseconds.
    pub predicted_ms: f64,
    /// Prompt tokens that the upstream is expected to prefill, because they are not in its cache.
    pub uncached_tokens: u32,
}

/// Decision on where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    /// The request is sent to an upstream of this region.
    Local(Grant),
    /// The request is forwarded to a host of another region.
    Remote(Remote),
    /// Nothing can take the request now. It may wait in the queue.
    Wait,
    /// The request must not be sent, as it or a part of its prompt crashes upstreams.
    Withheld(Withheld),
}

/// A host of another region that a request is forwarded to. That host places it there.
#[derive(Debug, Clone, PartialEq)]
pub struct Remote {
    /// Name of the host.
    pub host: name::Host,
    /// Address for peers of the host.
    pub peers: SocketAddr,
    /// Region of the host.
    pub region: name::Region,
    /// Predicted time to the first byte, in milliseconds, the way between the regions included.
    pub predicted_ms: f64,
    /// Age of the host's last report.
    pub report_age: Duration,
    /// Pressure of this region and of the host's, if the request leaves because of it.
    pub pressures: Option<(Pressure, Pressure)>,
}

/// Where in the store a configuration was read.
#[derive(Debug, Clone, Copy, Default)]
pub struct Provenance {
    /// Era of the store.
    pub era: Era,
    /// Whether it was read as a change, so that it was written in that era.
    pub is_change: bool,
}

/// What a report of another host has changed.
#[derive(Debug)]
pub struct Reception {
    /// Effect on what is known of its sender.
    pub update: Update,
    /// Changes in the limits that upstreams name.
    pub limits: Vec<(name::Upstream, throttle::Change)>,
    /// Upstreams that count as cold now, as other hosts miss them, or that are leaving.
    pub upstreams: Vec<Change>,
}

/// What a reservation counts for at its upstream, so that its release takes back the same.
#[derive(Debug)]
struct Reservation {
    upstream: name::Upstream,
    pool: name::Pool,
    priority: u8,
    uncached_tokens: u32,
    memory_tokens: u32,
    prefill_tokens: f64,
    predicted_ms: f64,
    /// Slowdown that the upstream had reported when it was chosen.
    slowdown: f64,
    sent_at: Duration,
    /// When it was last counted among the requests that a cold upstream gets.
    counted_at: Duration,
    is_engine: bool,
    process: Process,
    suspects: Arc<[Suspect]>,
    first_byte_at: Option<Duration>,
    /// Whether the answer has lasted long enough to clear the suspects of its request.
    is_sound: bool,
}

impl Reservation {
    /// Time that an answer of an upstream would have taken without the slowdown that it has reported,
    /// in milliseconds. The slowdown may have begun or ended meanwhile, so it is the mean of both.
    fn usual_ms(&self, took_ms: f64, slowdown: f64) -> f64 {
        took_ms / (0.5 * (self.slowdown + slowdown))
    }

    /// Whether the answer has lasted for [`SETTLING_TIME`].
    fn has_settled(&self, now: Duration) -> bool {
        let lasts = |at: Duration| now.saturating_sub(at) >= SETTLING_TIME;
        self.first_byte_at.is_some_and(lasts)
    }
}

/// The state of one host, and its decisions on requests.
#[derive(Debug)]
pub struct Core {
    /// The upstreams of this region.
    pub catalog: Catalog,
    /// The other hosts of all regions.
    pub fleet: Fleet,
    /// The rate limits of the customers.
    pub limiter: Limiter,
    /// Whether this host reads the platform's store for its region, and what it has read.
    pub reader_role: Role,
    /// Whether it has told why it is not ready, and what has failed.
    pub readiness: Readiness,
    /// The builds that began the streams which callers may resume.
    pub origins: Ledger,
    /// The requests and parts of prompts that crash upstreams.
    pub quarantine: Quarantine,
    /// What this host has admitted, for reports in short form.
    admitted: brief::Ledger,
    setup: Setup,
    table: Option<Arc<Table>>,
    /// The newest era in which the store has shown that configuration.
    table_era: Era,
    /// Hashes of texts that the store showed for the same version before.
    replaced_texts: BTreeSet<u64>,
    /// Era of the last list of the operator's section, and the newest version that another host had
    /// reported before it.
    listed_version: Option<(Era, Natural)>,
    /// When each pool was last asked for by its most urgent route.
    urgent_at: BTreeMap<name::Pool, Duration>,
    /// How busy this region's pools are.
    busyness: BTreeMap<name::Pool, region::Busyness>,
    reservations: BTreeMap<u64, Reservation>,
    last_ticket: u64,
    queue: BTreeMap<(u8, u64), Job>,
    /// Rejections of requests, by pool.
    overloads: BTreeMap<name::Pool, Overload>,
    retry_budgets: BTreeMap<name::Pool, TokenBucket>,
    retry_hosts: usize,
    /// What was last told of upstreams that this host or others can't reach.
    last_reach: reach::Report,
    /// When that was.
    reach_told_at: Duration,
    /// Since when this host reaches no upstream.
    cut_off_since: Option<Duration>,
    /// Whether this host's tasks have run without a pause.
    step: origin::Step,
    rng: StdRng,
    started_at: Duration,
}

impl Core {
    /// Creates the state of a host without a configuration, upstreams or peers.
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
            reader_role: Role::new(now, setup.identity.host.clone()),
            readiness: Readiness::new(now),
            origins: Ledger::default(),
            quarantine: Quarantine::default(),
            admitted: brief::Ledger::default(),
            table: None,
            table_era: Era::default(),
            replaced_texts: BTreeSet::new(),
            listed_version: None,
            urgent_at: BTreeMap::new(),
            busyness: BTreeMap::new(),
            reservations: BTreeMap::new(),
            last_ticket: 0,
            queue: BTreeMap::new(),
            overloads: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            retry_hosts: 0,
            last_reach: reach::Report::default(),
            reach_told_at: Duration::ZERO,
            cut_off_since: None,
            step: origin::Step::default(),
            rng: StdRng::seed_from_u64(setup.rng_seed),
            started_at: now,
            setup,
        }
    }

    /// The configuration in force; `None` before the first.
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Whether callers can be served: a configuration is in force and the upstreams were listed.
    pub fn is_ready(&self) -> bool {
        self.obstacle().is_none()
    }

    /// What keeps callers from being served.
    pub fn obstacle(&self) -> Option<Obstacle> {
        if self.table.is_some() {
            return (!self.catalog.has_list()).then_some(Obstacle::UpstreamsUnread);
        }
        let is_read = self.reader_role.revision(Section::Operator).is_some();
        Some(if self.readiness.failure(Cause::Configuration).is_some() {
            Obstacle::ConfigurationUnreadable
        } else if is_read {
            Obstacle::ConfigurationMissing
        } else {
            Obstacle::StoreUnread
        })
    }

    /// Installs a configuration if it is newer than the one in force. Returns whether it did.
    ///
    /// One with the same version and another text is newer if a later era of the store shows it, unless
    /// it was replaced before and only a copy may show it again.
    pub fn configure(&mut self, now: Duration, table: Table, provenance: Provenance) -> bool {
        if let Some(known) = &self.table {
            match known.version.cmp(&table.version) {
                Ordering::Greater => return false,
                Ordering::Less => self.replaced_texts.clear(),
                Ordering::Equal if known.digest == table.digest => {
                    self.table_era = self.table_era.max(provenance.era);
                    return false;
                }
                Ordering::Equal => {
                    let was_replaced = self.replaced_texts.contains(&table.digest);
                    let is_written = provenance.is_change || !was_replaced;
                    if provenance.era <= self.table_era || !is_written {
                        return false;
                    }
                    self.replaced_texts.insert(known.digest);
                }
            }
        }
        self.table_era = provenance.era;
        self.readiness.succeed(Cause::Configuration);
        self.limiter.configure(now, table.customers());
        self.table = Some(Arc::new(table));
        true
    }

    /// The version of the configuration in force; zero before the first.
    pub fn version(&self) -> Natural {
        let version = self.table.as_ref().map(|table| table.version.clone());
        version.unwrap_or_default()
    }

    /// Hash of the text of the configuration in force; `None` before the first.
    pub fn digest(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.digest)
    }

    /// Records that the operator's section was listed in an era, after another host had reported this
    /// version of the configuration.
    pub fn record_list(&mut self, era: Era, reported_version: Natural) {
        self.listed_version = Some((era, reported_version));
    }

    /// Whether the store may have a version of the configuration that another host reports and this one
    /// lacks. A restored store may lack it as well; it is not asked for it again and again.
    pub fn lacks_version(&self, version: &Natural) -> bool {
        let listed = self.listed_version.as_ref();
        let was_listed =
            |(era, listed): &(Era, Natural)| *era == self.reader_role.era() && version <= listed;
        *version > self.version() && !listed.is_some_and(was_listed)
    }

    /// Records an era that the store or another host names. Returns how it compares with the newest
    /// one known until now.
    pub fn observe_era(&mut self, now: Duration, era: Era) -> Ordering {
        let before = self.reader_role.era();
        let order = self.reader_role.observe_era(era);
        self.follow_era(now, before);
        order
    }

    /// Begins a new era in what is known of the upstreams, if the reader's is another one than before.
    fn follow_era(&mut self, now: Duration, before: Era) {
        if self.reader_role.era() != before && self.reader_role.has_changed_era() {
            self.catalog.start_era(now);
        }
    }

    /// Records a report of another host: its load, its spare capacity and what it has admitted.
    pub fn receive_report(&mut self, now: Duration, report: Report) -> Reception {
        let has_told = self.fleet.has_told_of_reach(&report.from.host);
        let mut reception = Reception {
            update: self.fleet.record_report(now, &report),
            limits: Vec::new(),
            upstreams: Vec::new(),
        };
        if reception.update == Update::Stale {
            return reception;
        }
        self.observe_era(now, report.era);
        let host = &report.from.host;
        if report.leaving {
            self.limiter.remove_host(host);
        } else {
            let incarnation = report.from.incarnation;
            self.limiter
                .record_usage(now, host, incarnation, &report.spent);
        }
        self.limiter.record_reported_hosts(now, report.hosts);
        let source = if report.from.region == self.setup.identity.region {
            quarantine::Source::Region
        } else {
            quarantine::Source::Remote
        };
        self.quarantine
            .record_evidence(now, source, &report.evidence);
        let domains = self.setup.domains.len();
        self.limiter
            .set_estimated_hosts(self.fleet.estimated_hosts(domains));
        if report.from.region == self.setup.identity.region {
            if has_told || !report.reach.is_empty() {
                reception.upstreams = self.receive_reach(now, host, &report.reach);
            }
            for (upstream, process) in &report.departing {
                let change = self.catalog.mark_leaving(upstream, *process);
                reception.upstreams.extend(change);
            }
            for replica in self.catalog.all_mut() {
                replica.forget_tally(host);
            }
            for (upstream, tally) in report.tallies {
                if let Some(replica) = self.catalog.get_mut(&upstream) {
                    replica.record_tally(now, host, tally);
                }
            }
            for (upstream, process, limit) in &report.limits {
                if let Some(replica) = self.catalog.get_mut(upstream)
                    && replica.process() == *process
                {
                    let change = replica.throttle.record_report(now, limit);
                    let change = change.map(|change| (upstream.clone(), change));
                    reception.limits.extend(change);
                }
            }
            self.receive_loads(now, host, &report.loads);
        }
        reception
    }

    /// Builds the reports that are due now, each with its recipient.
    pub fn due_reports(
        &mut self,
        now: Duration,
        ready: bool,
        leaving: bool,
    ) -> Vec<(Recipient, Report)> {
        let reach = self.reach_report(now);
        if reach != self.last_reach && now >= self.reach_told_at + MIN_REACH_INTERVAL {
            self.fleet.make_region_due();
            self.reach_told_at = now;
            self.last_reach = reach.clone();
        }
        self.fleet.is_cut_off = reach.is_cut_off;
        let recipients = self.fleet.due_recipients(now);
        if recipients.is_empty() {
            return Vec::new();
        }
        let spent = self.limiter.usage(now);
        self.admitted.observe(self.fleet.sequence() + 1, &spent);
        let hosts = self.limiter.host_count();
        let spare = self.region_spare(now);
        let builds = self.region_builds(now);
        let tallies: Vec<_> = self
            .catalog
            .all()
            .filter(|replica| !replica.own_tally.is_empty())
            .map(|replica| (replica.entry.id.clone(), replica.own_tally.clone()))
            .collect();
        let limits: Vec<_> = self
            .catalog
            .all()
            .filter_map(|replica| {
                let limit = replica.throttle.report(now)?;
                Some((replica.entry.id.clone(), replica.process(), limit))
            })
            .collect();
        let departing: Vec<_> = self.catalog.leaving().collect();
        let loads = self.loads(now);
        let contacts: Vec<_> = self
            .fleet
            .peers()
            .map(|peer| (peer.identity.host.clone(), peer.identity.peers))
            .collect();
        let ((version, long_version), digest) = (self.version().split(), self.digest());
        let era = self.reader_role.era();
        let mut reports = Vec::with_capacity(recipients.len());
        for recipient in recipients {
            let report = Report {
                from: self.setup.identity.clone(),
                sequence: self.fleet.next_sequence(),
                ready,
                leaving,
                version,
                long_version: long_version.clone(),
                digest,
                era,
                hosts,
                spent: spent.clone(),
                tallies: if recipient.is_same_region {
                    tallies.clone()
                } else {
                    Vec::new()
                },
                limits: if recipient.is_same_region {
                    limits.clone()
                } else {
                    Vec::new()
                },
                departing: if recipient.is_same_region {
                    departing.clone()
                } else {
                    Vec::new()
                },
                loads: if recipient.is_same_region {
                    news(&loads, now.saturating_sub(recipient.news_since))
                } else {
                    Vec::new()
                },
                spare: if recipient.includes_spare {
                    spare.clone()
                } else {
                    Vec::new()
                },
                reach: if recipient.is_same_region {
                    reach.clone()
                } else {
                    reach::Report::default()
                },
                builds: builds.clone(),
                evidence: self.quarantine.evidence(
                    now,
                    recipient.news_since,
                    recipient.is_same_region,
                ),
                contacts: if recipient.includes_contacts {
                    contacts.clone()
                } else {
                    Vec::new()
                },
                heard: recipient.heard,
            };
            reports.push((recipient, report));
        }
        reports
    }

    /// Returns a report that is due in short form, if its recipient can get that.
    pub fn shorten(&self, recipient: &Recipient, report: &Report) -> Option<brief::Report> {
        self.admitted.shorten(report, recipient.base?)
    }

    /// Removes the upstream of a reservation, as its address turned out to belong to another one. The
    /// list of upstreams is then out of date and is read again.
    pub fn remove_misdirected(&mut self, now: Duration, ticket: u64) -> Option<Change> {
        self.reader_role.invalidate(now, Section::Upstreams);
        let reservation = self.reservations.get(&ticket)?;
        let replica = self.catalog.get(&reservation.upstream)?;
        if replica.process() != reservation.process {
            return None;
        }
        self.catalog.remove_misdirected(now, &reservation.upstream)
    }

    /// Returns the announcement that is due now of what this host has read from the platform's
    /// store, and the hosts that it goes to.
    pub fn announce(&mut self, now: Duration) -> Option<(Reading, Vec<name::Host>)> {
        let generation = self.catalog.generation();
        self.reader_role
            .set_generation(Section::Upstreams, generation);
        let own = &self.setup.identity;
        let earlier_hosts = self.fleet.rank(now);
        let announcement = self.reader_role.announce(now, earlier_hosts)?;
        let listing = announcement.listing.map(|revision| Listing {
            revision,
            entries: self.catalog.entries(now),
        });
        let reading = Reading {
            from: own.host.clone(),
            incarnation: own.incarnation,
            era: announcement.era,
            operator: announcement.operator,
            upstreams: announcement.upstreams,
            listing,
        };
        Some((reading, self.fleet.live_neighbours(now)))
    }

    /// Records another host's announcement of what it has read from the platform's store.
    pub fn receive_reading(
        &mut self,
        now: Duration,
        reading: Reading,
    ) -> (reader::Update, Vec<Change>) {
        let era_before = self.reader_role.era();
        let update = self.reader_role.receive(now, &reading);
        self.follow_era(now, era_before);
        if update.is_relied_on() {
            self.catalog.set_reachable(now, true);
        }
        let listing = reading.listing.as_ref();
        if !listing.is_some_and(|listing| self.reader_role.accept_listing(&reading, listing)) {
            return (update, Vec::new());
        }
        let entries = reading.listing.map(|listing| listing.entries);
        (
            update,
            self.catalog.replace_all(now, entries.unwrap_or_default()),
        )
    }

    /// Decides where a request goes. An upstream of this region that answers on time is preferred, then
    /// one that only other hosts of the region reach, then another region if the request may be
    /// forwarded, then an upstream of this region that answers late.
    fn decide(&mut self, now: Duration, job: &Job) -> Placement {
        let trial = match self.judge_request(now, job) {
            Verdict::Clear => None,
            Verdict::Trial(suspect) => Some(suspect),
            Verdict::Withheld(withheld) => return Placement::Withheld(withheld),
        };
        self.record_urgent(now, job);
        if let Some(suspect) = trial {
            // Only this host makes the trial, so the request must not leave its region.
            let local = self.choose_local(now, job);
            return local.map_or(Placement::Wait, |choice| {
                self.quarantine.start_trial(now, suspect);
                Placement::Local(self.reserve(now, job, choice))
            });
        }
        if job.may_forward
            && !job.prefixes.is_empty()
            && let Some(remote) = self.choose_less_busy(now, job)
        {
            return Placement::Remote(remote);
        }
        let local = self.choose_local(now, job);
        if let Some(choice) = &local
            && choice.is_on_time
        {
            return Placement::Local(self.reserve(now, job, local.expect("it was just seen")));
        }
        let relayed = self.choose_relayed(now, job);
        let relay = relayed.and_then(|choice| {
            let remote = self.relay(now, job, &choice)?;
            Some((remote, choice.is_on_time))
        });
        if let Some((remote, true)) = relay {
            return Placement::Remote(remote);
        }
        if job.may_forward
            && let Some(remote) = self.choose_remote(now, job, None)
        {
            return Placement::Remote(remote);
        }
        match (local, relay) {
            (Some(choice), _) => Placement::Local(self.reserve(now, job, choice)),
            (None, Some((remote, _))) => Placement::Remote(remote),
            (None, None) => Placement::Wait,
        }
    }

    /// Places another attempt at a request whose last one is late, and takes it out of the retry
    /// budget. `None` if nothing can take the request now or it must not be sent once more.
    pub fn place_another(&mut self, now: Duration, job: &Job) -> Option<Placement> {
        let is_clear = self.judge_request(now, job) == Verdict::Clear
            && !self.quarantine.is_suspect(&job.suspects);
        if !is_clear || !self.retry_budget(now, &job.pool).has_retry(now) {
            return None;
        }
        let placement = self.place(now, job);
        let is_placed = matches!(placement, Placement::Local(_) | Placement::Remote(_));
        (is_placed && self.withdraw_retry(now, &job.pool)).then_some(placement)
    }

    fn choose_local(&self, now: Duration, job: &Job) -> Option<Choice> {
        if !job.matched.allows(&self.setup.identity.region) {
            return None;
        }
        let pool = self.table.as_ref()?.pool(&job.pool)?;
        let hosts = self.fleet.region_hosts();
        let most_urgent = self.most_urgent(now, &job.pool);
        let may_send = |replica: &Replica, pool: &Pool| self.may_send(now, replica, pool);
        place::choose(&self.catalog, pool, job, now, hosts, most_urgent, may_send)
    }

    /// Slots of each engine that a request may not take, as they are kept for more urgent ones; `None`
    /// for plain services.
    pub fn reserved_slots(&self, now: Duration, job: &Job) -> Option<u32> {
        let engine = self.table.as_ref()?.pool(&job.pool)?.engine?;
        let most_urgent = self.most_urgent(now, &job.pool);
        let open = reserve::open_slots(engine.slots, job.matched.route.priority, most_urgent);
        Some(engine.slots - open)
    }

    /// Priority of the most urgent route that a pool serves in this region, if the route is in use.
    pub(super) fn most_urgent(&self, now: Duration, pool: &name::Pool) -> Option<u8> {
        let used_at = self.urgent_at.get(pool)?;
        let table = self.table.as_ref()?;
        let is_used = now.saturating_sub(*used_at) < reserve::KEPT_FOR;
        is_used.then(|| table.most_urgent(pool, &self.setup.identity.region))?
    }

    /// Records that a request is to be placed, which may be one that slots are kept for.
    fn record_urgent(&mut self, now: Duration, job: &Job) {
        let region = &self.setup.identity.region;
        let table = self.table.as_ref();
        let most_urgent = table.and_then(|table| table.most_urgent(&job.pool, region));
        if most_urgent == Some(job.matched.route.priority) && job.matched.allows(region) {
            self.urgent_at.insert(job.pool.clone(), now);
        }
    }

    /// Whether an upstream is reached and, if it is cold, names a limit or has asked for rest, takes
    /// another request of this host.
    fn may_send(&self, now: Duration, replica: &Replica, pool: &Pool) -> bool {
        if replica.reach.is_lost() {
            return false;
        }
        self.is_within_cold_limit(now, replica, pool)
            && self.is_within_limit(now, replica)
            && self.has_rested(now, replica)
    }

    /// Whether an upstream that had asked for rest takes another request of this host.
    pub(super) fn has_rested(&self, now: Duration, replica: &Replica) -> bool {
        if replica.rest.is_proven() {
            return true;
        }
        let (hosts, rank) = self.rank(replica, self.region_peers());
        replica.rest.may_send(now, Turn::new(rank, hosts))
    }

    /// Whether an upstream, if it is cold, takes another request of this host.
    fn is_within_cold_limit(&self, now: Duration, replica: &Replica, pool: &Pool) -> bool {
        let is_warm = pool.cold_per_s <= 0.0 || !replica.is_cold(now);
        is_warm || replica.recent_sends(now) < self.cold_limit(now, replica, pool)
    }

    /// Whether the limit that an upstream names allows another request of this host.
    fn is_within_limit(&self, now: Duration, replica: &Replica) -> bool {
        let share = self.limit_share(now, replica);
        share.is_none_or(|share| replica.throttle.may_send(now, &share))
    }

    /// Requests a second that this host may send to a cold upstream, as its part among the hosts of
    /// the region. Where there are more hosts than requests, only the first hosts by rendezvous
    /// weight send one; all hosts compute the same order for an upstream.
    fn cold_limit(&self, now: Duration, replica: &Replica, pool: &Pool) -> usize {
        let age = now.saturating_sub(self.started_at);
        if age < FIRST_REPORTS_TIME || self.fleet.is_isolated() {
            return 0;
        }
        let limit = (pool.cold_per_s * COLD_RATE_FACTOR).floor() as usize;
        // Hosts that leave still send what they have.
        let sending = self
            .region_peers()
            .filter(|peer| !peer.is_leaving || now.saturating_sub(peer.last_heard_at) < GONE_AFTER);
        let (hosts, rank) = self.rank(replica, sending);
        if hosts > limit {
            return usize::from(rank < limit);
        }
        if age < DISCOVERY_TIME {
            return 1;
        }
        (limit / hosts.max(2)).max(1)
    }

    /// This host's part of the limit that an upstream names; `None` if it names none.
    fn limit_share(&self, now: Duration, replica: &Replica) -> Option<Share> {
        let limit = replica.throttle.limit()?;
        // A host that leaves still sends what it has.
        let sharing = self
            .region_peers()
            .filter(|peer| now.saturating_sub(peer.last_heard_at) < SHARING_TIMEOUT);
        let (hosts, rank) = self.rank(replica, sharing);
        let mut share = Share::new(limit, rank, hosts);
        if hosts < ASSUMED_HOSTS && now.saturating_sub(self.started_at) < DISCOVERY_TIME {
            share.per_second *= hosts as f64 / ASSUMED_HOSTS as f64;
        }
        Some(share)
    }

    /// The other hosts of this region.
    fn region_peers(&self) -> impl Iterator<Item = &Peer> {
        let peers = self.fleet.peers();
        peers.filter(|peer| self.fleet.is_same_region(peer))
    }

    /// Number of hosts, these peers and this one, and how many of them come before this one at an
    /// upstream by rendezvous weight.
    fn rank<'a>(&self, replica: &Replica, peers: impl Iterator<Item = &'a Peer>) -> (usize, usize) {
        let own = affinity::weight(self.fleet.point, replica.point);
        peers.fold((1, 0), |(hosts, rank), peer| {
            let is_before = affinity::weight(peer.point, replica.point) > own;
            (hosts + 1, rank + usize::from(is_before))
        })
    }

    fn reserve(&mut self, now: Duration, job: &Job, choice: Choice) -> Grant {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let pool = self.table.as_ref().and_then(|table| table.pool(&job.pool));
        let engine = pool.and_then(|pool| pool.engine);
        let memory_tokens = job.tokens.0.saturating_add(job.tokens.1);
        let priority = job.matched.priority.min(9);
        let share = self
            .catalog
            .get(&choice.upstream)
            .and_then(|replica| self.limit_share(now, replica));
        let replica = self
            .catalog
            .get_mut(&choice.upstream)
            .expect("the choice is one of the catalog's");
        if let Some(share) = share {
            replica.throttle.record_send(now, &share);
        }
        let tally = &mut replica.own_tally;
        tally.running += 1;
        tally.memory_tokens = tally.memory_tokens.saturating_add(memory_tokens);
        let prefill_tokens = &mut tally.prefill_tokens[usize::from(priority)];
        *prefill_tokens = prefill_tokens.saturating_add(choice.uncached_tokens);
        replica.record_send(now);
        if let Some(engine) = engine {
            replica
                .cache
                .record_prompt(now, &job.prefixes, engine.memory_tokens);
        }
        let (address, build) = (replica.entry.address, replica.entry.build.clone());
        let (process, slowdown) = (replica.process(), replica.slowdown(now));
        self.quarantine.record_sent(now, &job.suspects);
        let reservation = Reservation {
            upstream: choice.upstream.clone(),
            pool: job.pool.clone(),
            priority,
            uncached_tokens: choice.uncached_tokens,
            memory_tokens,
            prefill_tokens: choice.prefill_tokens,
            predicted_ms: choice.predicted_ms,
            slowdown,
            sent_at: now,
            counted_at: now,
            is_engine: engine.is_some(),
            process,
            suspects: job.suspects.clone(),
            first_byte_at: None,
            is_sound: false,
        };
        self.reservations.insert(ticket, reservation);
        Grant {
            ticket,
            upstream: choice.upstream,
            address,
            build,
            predicted_ms: choice.predicted_ms,
            uncached_tokens: choice.uncached_tokens,
        }
    }

    /// Whether a request may still be sent to the upstream of its reservation. To be asked just before
    /// its first byte is sent, as the upstream may have left, started again or become cold while a
    /// connection was opened. Returns a change too if the time that it took makes the upstream cold.
    pub fn confirm_send(&mut self, now: Duration, ticket: u64) -> (bool, Option<Change>) {
        let Some(reservation) = self.reservations.get_mut(&ticket) else {
            return (false, None);
        };
        let counted_at = std::mem::replace(&mut reservation.counted_at, now);
        let upstream = reservation.upstream.clone();
        let (pool, process) = (reservation.pool.clone(), reservation.process);
        let Some(replica) = self.catalog.get_mut(&upstream) else {
            return (false, None);
        };
        let waited = now.saturating_sub(counted_at);
        let mut change = None;
        if waited >= SLOW_CONNECTION && !replica.reach.has_sign_within(now, waited) {
            let is_new = !replica.is_cold(now);
            change = is_new.then(|| Change::Missed(upstream.clone()));
            replica.assume_cold_until(now + ASSUMED_COLD_TIME);
        }
        replica.withdraw_send(counted_at);
        let may_send = self.may_confirm(now, &upstream, &pool, process);
        if may_send && let Some(replica) = self.catalog.get_mut(&upstream) {
            replica.count_send(now);
        }
        (may_send, change)
    }

    fn may_confirm(
        &self,
        now: Duration,
        upstream: &name::Upstream,
        pool: &name::Pool,
        process: Process,
    ) -> bool {
        let replica = self.catalog.get(upstream);
        let Some(replica) = replica.filter(|replica| replica.process() == process) else {
            return false;
        };
        let pool = self.table.as_ref().and_then(|table| table.pool(pool));
        self.catalog.is_usable(replica)
            && replica.rest.is_over(now)
            && pool.is_none_or(|pool| self.is_within_cold_limit(now, replica, pool))
    }

    /// Records the first byte of an answer's body. Returns the time that it took as a multiple of
    /// the predicted time; `None` if the first byte was recorded before or the reservation is gone.
    pub fn record_first_byte(&mut self, now: Duration, ticket: u64) -> Option<f64> {
        let reservation = self.reservations.get_mut(&ticket)?;
        if reservation.first_byte_at.is_some() {
            return None;
        }
        reservation.first_byte_at = Some(now);
        self.quarantine.retract_end(reservation.process);
        let took_ms = millis(now.saturating_sub(reservation.sent_at));
        let ratio = took_ms / reservation.predicted_ms.max(1.0);
        let replica = self.catalog.get(&reservation.upstream);
        let slowdown = replica.map_or(1.0, |replica| replica.slowdown(now));
        let usual_ms = reservation.usual_ms(took_ms, slowdown);
        let (prefill_tokens, is_engine) = (reservation.prefill_tokens, reservation.is_engine);
        let (pool, upstream) = (reservation.pool.clone(), reservation.upstream.clone());
        let (priority, uncached_tokens) = (
            usize::from(reservation.priority),
            reservation.uncached_tokens,
        );
        let estimates = self.catalog.estimates_mut(&pool);
        let predicted_ms = if is_engine {
            estimates.speed.base_ms() + prefill_tokens / estimates.speed.tokens_per_ms()
        } else {
            estimates.service_ms
        };
        if is_engine {
            estimates.speed.observe(prefill_tokens, usual_ms);
        }
        if let Some(replica) = self.catalog.get_mut(&upstream) {
            replica.record_progress(now);
            replica.own_tally.prefill_tokens[priority] =
                replica.own_tally.prefill_tokens[priority].saturating_sub(uncached_tokens);
            replica.rest.record_answer(now);
            replica.observe_slowness(now, usual_ms / predicted_ms.max(1.0));
        }
        Some(ratio)
    }

    /// Records what the head of an answer says of its upstream's limit.
    pub fn record_notice(
        &mut self,
        now: Duration,
        ticket: u64,
        notice: Notice,
    ) -> Option<throttle::Change> {
        let reservation = self.reservations.get(&ticket)?;
        let replica = self.catalog.get_mut(&reservation.upstream)?;
        if replica.process() != reservation.process {
            return None;
        }
        replica.throttle.record(now, reservation.sent_at, notice)
    }

    /// Records that the head of an answer asks for rest. Returns how long the upstream gets, unless it
    /// has as much already.
    pub fn record_rest(&mut self, now: Duration, ticket: u64, asked: Duration) -> Option<Duration> {
        let reservation = self.reservations.get(&ticket)?;
        let replica = self.catalog.get_mut(&reservation.upstream)?;
        if replica.process() != reservation.process {
            return None;
        }
        replica.rest.record(now, asked)
    }

    /// Records that the head of an answer says that its upstream is leaving.
    pub fn record_leaving(&mut self, ticket: u64) -> Option<Change> {
        let reservation = self.reservations.get(&ticket)?;
        self.catalog
            .mark_leaving(&reservation.upstream, reservation.process)
    }

    /// Records a further piece of an answer, so that the upstream does not count as silent.
    pub fn record_progress(&mut self, now: Duration, ticket: u64) {
        let Some(reservation) = self.reservations.get_mut(&ticket) else {
            return;
        };
        if reservation.has_settled(now) && !reservation.is_sound {
            reservation.is_sound = true;
            self.quarantine.record_sound(now, &reservation.suspects);
        }
        self.quarantine.retract_end(reservation.process);
        if let Some(replica) = self.catalog.get_mut(&reservation.upstream) {
            replica.record_progress(now);
        }
    }

    /// Marks the upstreams as silent that send nothing although they have requests to answer: the
    /// next event of a stream, or the first byte of a request that should have begun by now.
    pub fn detect_silent(&mut self, now: Duration) -> Vec<Change> {
        let mut limits: BTreeMap<&name::Upstream, f64> = BTreeMap::new();
        for reservation in self.reservations.values() {
            let limit = if reservation.first_byte_at.is_some() && reservation.is_engine {
                MAX_STREAM_SILENCE_MS
            } else {
                FIRST_BYTE_SILENCE_MS + FIRST_BYTE_SILENCE_FACTOR * reservation.predicted_ms
            };
            let shortest = limits.entry(&reservation.upstream).or_insert(f64::INFINITY);
            *shortest = shortest.min(limit);
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

    /// Ends a reservation and records how the attempt went.
    pub fn release(&mut self, now: Duration, ticket: u64, outcome: Outcome) -> Option<Change> {
        let reservation = self.reservations.remove(&ticket)?;
        let mut slowdown = 1.0;
        if let Some(replica) = self.catalog.get_mut(&reservation.upstream) {
            slowdown = replica.slowdown(now);
            if replica.process() == reservation.process {
                replica.load.record_end(now);
            }
            let own = &mut replica.own_tally;
            own.running = own.running.saturating_sub(1);
            own.memory_tokens = own.memory_tokens.saturating_sub(reservation.memory_tokens);
            if reservation.first_byte_at.is_none() {
                let prefill_tokens = &mut own.prefill_tokens[usize::from(reservation.priority)];
                *prefill_tokens = prefill_tokens.saturating_sub(reservation.uncached_tokens);
            }
        }
        self.record_suspects_outcome(now, &reservation, outcome);
        if outcome == Outcome::Success && !reservation.is_engine {
            let took_ms = millis(now.saturating_sub(reservation.sent_at));
            self.catalog
                .observe_service_time(&reservation.pool, reservation.usual_ms(took_ms, slowdown));
        }
        self.catalog
            .record_outcome(now, &reservation.upstream, outcome)
    }

    /// Counts a request for a pool, which earns the pool a fraction of a retry.
    pub fn record_request(&mut self, now: Duration, pool: &name::Pool) {
        self.retry_budget(now, pool).deposit(now);
    }

    /// Takes one retry out of the pool's budget. Returns false if there is none left.
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

    /// Draws the pool that serves a request, at random by the weights of the route. All requests of
    /// a session get the same pool. Returns `None` for a route without pools.
    pub fn draw_pool(&mut self, matched: &Match, session: Option<u64>) -> Option<name::Pool> {
        let pools = &matched.route.pools;
        let total: u64 = pools.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 || pools.len() == 1 {
            return pools.first().map(|(pool, _)| pool.clone());
        }
        let draw = session.unwrap_or_else(|| self.rng.random());
        let mut point = affinity::mix(draw) % total;
        for (pool, weight) in pools {
            let weight = u64::from(*weight);
            if point < weight {
                return Some(pool.clone());
            }
            point -= weight;
        }
        None
    }
}
