//! A running host: shares one [`Core`] between the tasks that serve callers, exchange reports with
//! other hosts and follow the platform's store.
//!
//! The HTTP server and the link to other hosts call it with requests, reports and readings. It asks
//! the core where each request goes, queues requests that must wait, and sends the reports and
//! announcements that the core returns.

mod origin;
mod prompt;
mod reach;
mod readiness;

use {
    super::{
        answer::{Answer, Inbound},
        brief,
        catalog::Change,
        core::{Core, Grant, Placement, Provenance, Setup},
        dialect::{Dialect, Field},
        fleet::{self, Update},
        follow::Section,
        load,
        memory::Ledger,
        place::Job,
        quarantine::Process,
        reader::{self, Reading},
        replica::Outcome,
        retry,
        revision::Era,
        sample::Sampler,
        server::wait_for_phase,
        table::Table,
        throttle::{self, Notice},
    },
    crate::{
        clock::Clock,
        entry::Phase,
        failure::{Code, Failure},
        link::{self, exchange},
        metric::{self, Metrics},
        name, panic, upstream, wire,
    },
    bytes::Bytes,
    http::{HeaderMap, StatusCode},
    prometheus_client::metrics::{
        counter::Counter, family::Family, gauge::Gauge, histogram::Histogram,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex, MutexGuard, OnceLock, PoisonError,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Notify, mpsc, oneshot, watch},
        time::sleep,
    },
};

/// How often to check for reports that are due; a fraction of the shortest interval between two
/// reports.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How often to renew connections to other regions; well below the time an idle one stays usable.
const WARM_INTERVAL: Duration = Duration::from_millis(500);
/// Rows of a configuration that can't be read whose reasons are logged.
const MAX_LOGGED_ROWS: usize = 3;
/// Upper bounds of the histogram buckets for measured over predicted time to the first byte.
const RATIO_BUCKETS: [f64; 9] = [0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 4.0, 10.0];

/// A handle to a running host. Cloning it copies a pointer.
#[derive(Debug)]
pub struct Host<D, C>(Arc<Shared<D, C>>);

impl<D, C> Clone for Host<D, C> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// State shared by the tasks of a host.
#[derive(Debug)]
pub struct Shared<D, C> {
    pub(super) dialect: D,
    pub(super) clock: C,
    pub(super) upstreams: upstream::Client,
    pub(super) exchanges: exchange::Client,
    /// Bytes that are held of answers.
    pub(super) answer_memory: Ledger,
    /// Bytes that are held of requests.
    pub(super) request_memory: Ledger,
    /// Name, location and addresses of this host.
    pub identity: fleet::Identity,
    /// Counters and histograms exported by this host.
    pub metrics: Metrics,
    link: link::Handle,
    core: Mutex<Core>,
    /// Channels to the tasks of queued requests, by priority and ticket.
    waiters: Mutex<BTreeMap<(u8, u64), oneshot::Sender<Placement>>>,
    /// Channels to the tasks that ask which build began a stream, by the number of the question.
    questions: Mutex<BTreeMap<u64, mpsc::UnboundedSender<Option<name::Build>>>>,
    last_question: AtomicU64,
    /// Streams resumed by callers, by how the build was found.
    resumed: Family<origin::Labels, Counter>,
    /// Changes in the belief of parts of prompts, by the new state.
    part_changes: Family<prompt::Labels, Counter>,
    /// Parts of prompts that are held.
    held_parts: Gauge,
    /// Changes in the belief of requests, by the new state.
    request_changes: Family<prompt::Labels, Counter>,
    /// Requests that are held.
    held_requests: Gauge,
    /// Upstreams to which no connection can be opened.
    lost_upstreams: Gauge,
    /// 1 while this host reaches no upstream.
    cut_off: Gauge,
    /// Requests that were forwarded to a host of this region.
    pub(super) relayed: Counter,
    /// Requests that were forwarded since this region is busier than another one.
    pub(super) balanced: Counter,
    /// Rests that upstreams have asked for.
    rests: Counter,
    /// Readings of upstreams' load that answers brought.
    load_readings: Counter,
    /// Answers with a load that can't be read.
    malformed_loads: Counter,
    /// Directory lookups that were answered.
    directory_answers: Counter,
    /// Those of them whose answer left hosts out for the sake of their capacities.
    weighted_answers: Counter,
    /// Hosts that the last directory answer named.
    directory_hosts: Gauge,
    /// Overloads of pools that have begun.
    overloads: Counter,
    /// Pools that are overloaded.
    overloaded_pools: Gauge,
    /// Changed when an upstream is reached no more, or again.
    reach_changes: watch::Sender<u64>,
    /// Upstreams that are being asked whether they have ended.
    probed: Mutex<BTreeSet<Process>>,
    phase: watch::Receiver<Phase>,
    running: AtomicUsize,
    /// Notified when another host reports a newer configuration.
    newer_configuration: Notify,
    /// Notified for each section when another host announces a reading.
    announcements: [Notify; 2],
    store_calls: Counter,
    store_failures: Counter,
    /// Restorations of the store that this host has heard of.
    store_restorations: Counter,
    readiness: readiness::Metrics,
    grace: Duration,
    /// When shutdown began.
    leaving_since: OnceLock<Duration>,
    sampler: Mutex<Sampler>,
    /// Measured over predicted time to the first byte.
    predicted_ratio: Histogram,
}

/// What [`Host::new`] needs to build a host.
#[derive(Debug)]
pub struct Dependencies<D, C> {
    /// Translates headers between the platform and the gateway.
    pub dialect: D,
    /// Source of the current time.
    pub clock: C,
    /// HTTP connections to upstreams.
    pub upstreams: upstream::Client,
    /// Connections that carry requests forwarded to other hosts.
    pub exchanges: exchange::Client,
    /// Sends messages to other hosts.
    pub link: link::Handle,
    /// Start-up settings of the core.
    pub setup: Setup,
    /// Lifecycle phase of the process: running, leaving or closed.
    pub phase: watch::Receiver<Phase>,
    /// How long the host may keep serving after it starts to leave.
    pub grace: Duration,
    /// Most bytes that are held of all answers together, and of all requests.
    pub memory_limit: usize,
    /// Counters and histograms that the host registers its own with.
    pub metrics: Metrics,
}

impl<D, C> std::ops::Deref for Host<D, C> {
    type Target = Shared<D, C>;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl<D: Dialect, C: Clock> Host<D, C> {
    /// Creates a host with no configuration, no upstreams and no known peers.
    pub fn new(dependencies: Dependencies<D, C>) -> Self {
        let now = dependencies.clock.now();
        let predicted_ratio = Histogram::new(RATIO_BUCKETS);
        let sampler = Sampler::default();
        let resumed = Family::default();
        let part_changes = Family::default();
        let held_parts = Gauge::default();
        let request_changes = Family::default();
        let held_requests = Gauge::default();
        let lost_upstreams = Gauge::default();
        let cut_off = Gauge::default();
        let relayed = Counter::default();
        let balanced = Counter::default();
        let rests = Counter::default();
        let load_readings = Counter::default();
        let malformed_loads = Counter::default();
        let directory_answers = Counter::default();
        let weighted_answers = Counter::default();
        let directory_hosts = Gauge::default();
        let overloads = Counter::default();
        let overloaded_pools = Gauge::default();
        let answer_memory = Ledger::new(dependencies.memory_limit);
        let request_memory = Ledger::new(dependencies.memory_limit);
        let store_calls = Counter::default();
        let store_failures = Counter::default();
        let store_restorations = Counter::default();
        let readiness = readiness::Metrics::default();
        dependencies.upstreams.register(&dependencies.metrics);
        dependencies.metrics.register(|registry| {
            readiness.register(registry);
            registry.register(
                "answer_bytes_held",
                "Bytes of answers that are held until they can be passed on",
                answer_memory.held(),
            );
            registry.register(
                "answers_revoked",
                "Answers that were broken off as too many bytes were held",
                answer_memory.revoked(),
            );
            registry.register(
                "request_bytes_held",
                "Bytes of requests' bodies that are held",
                request_memory.held(),
            );
            registry.register(
                "requests_revoked",
                "Requests that were refused as too many bytes were held",
                request_memory.revoked(),
            );
            registry.register(
                "store_calls",
                "Calls to the platform's store",
                store_calls.clone(),
            );
            registry.register(
                "store_failures",
                "Calls to the platform's store that brought nothing",
                store_failures.clone(),
            );
            registry.register(
                "store_restorations",
                "Restorations of the platform's store from an older copy that this host has heard of",
                store_restorations.clone(),
            );
            registry.register(
                "predicted_ratio",
                "Time to the first byte over its prediction",
                predicted_ratio.clone(),
            );
            registry.register(
                "streams_resumed",
                "Streams resumed by callers, by how their build was found",
                resumed.clone(),
            );
            registry.register(
                "prompt_parts",
                "Changes in the belief of parts of prompts that crash upstreams, by the new state",
                part_changes.clone(),
            );
            registry.register(
                "prompt_parts_held",
                "Parts of prompts with which requests are withheld",
                held_parts.clone(),
            );
            registry.register(
                "repeated_requests",
                "Changes in the belief of requests that crash upstreams, by the new state",
                request_changes.clone(),
            );
            registry.register(
                "repeated_requests_held",
                "Requests that are withheld when they come again",
                held_requests.clone(),
            );
            registry.register(
                "unreached_upstreams",
                "Upstreams to which this host can open no connection",
                lost_upstreams.clone(),
            );
            registry.register(
                "cut_off",
                "1 while this host reaches no upstream",
                cut_off.clone(),
            );
            registry.register(
                "relayed",
                "Requests forwarded to another host of the region, for an upstream that this one can't reach",
                relayed.clone(),
            );
            registry.register(
                "balanced",
                "Requests forwarded to another region because this one is busier",
                balanced.clone(),
            );
            registry.register(
                "upstream_rests",
                "Rests that upstreams have asked this host for",
                rests.clone(),
            );
            registry.register(
                "load_readings",
                "Readings of their load that upstreams' answers to this host brought",
                load_readings.clone(),
            );
            registry.register(
                "load_readings_malformed",
                "Answers of upstreams with a load that can't be read",
                malformed_loads.clone(),
            );
            registry.register(
                "directory_answers",
                "Directory lookups that this host has answered",
                directory_answers.clone(),
            );
            registry.register(
                "directory_answers_weighted",
                "Directory answers that left hosts out for the sake of their capacities",
                weighted_answers.clone(),
            );
            registry.register(
                "directory_hosts",
                "Hosts that the last directory answer named",
                directory_hosts.clone(),
            );
            registry.register(
                "overloads",
                "Overloads of pools that have begun, as this host sees them",
                overloads.clone(),
            );
            registry.register(
                "overloaded_pools",
                "Pools that are overloaded, as this host sees them",
                overloaded_pools.clone(),
            );
            registry.register(
                "log_lines_sampled_out",
                "Lines of successful requests that were not logged",
                sampler.counter(),
            );
        });
        Self(Arc::new(Shared {
            identity: dependencies.setup.identity.clone(),
            core: Mutex::new(Core::new(now, dependencies.setup)),
            dialect: dependencies.dialect,
            clock: dependencies.clock,
            upstreams: dependencies.upstreams,
            exchanges: dependencies.exchanges,
            answer_memory,
            request_memory,
            link: dependencies.link,
            metrics: dependencies.metrics,
            waiters: Mutex::default(),
            questions: Mutex::default(),
            last_question: AtomicU64::new(0),
            resumed,
            part_changes,
            held_parts,
            request_changes,
            held_requests,
            lost_upstreams,
            cut_off,
            relayed,
            balanced,
            rests,
            load_readings,
            malformed_loads,
            directory_answers,
            weighted_answers,
            directory_hosts,
            overloads,
            overloaded_pools,
            reach_changes: watch::channel(0).0,
            probed: Mutex::default(),
            phase: dependencies.phase,
            running: AtomicUsize::new(0),
            newer_configuration: Notify::new(),
            announcements: Default::default(),
            store_calls,
            store_failures,
            store_restorations,
            readiness,
            grace: dependencies.grace,
            leaving_since: OnceLock::new(),
            sampler: Mutex::new(sampler),
            predicted_ratio,
        }))
    }

    /// Locks the core. Hold the guard for one decision only.
    pub fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether callers should use this host: it runs, has a configuration and has read a list of
    /// upstreams.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Running && self.core().is_ready()
    }

    /// Whether shutdown has begun.
    pub fn is_leaving(&self) -> bool {
        *self.phase.borrow() != Phase::Running
    }

    /// Starts to leave: records the time and reports it to the other hosts at once. Later calls do
    /// nothing.
    pub fn start_leaving(&self) {
        if self.leaving_since.set(self.clock.now()).is_err() {
            return;
        }
        tracing::info!(
            event = "stop",
            running = self.running(),
            "starting to leave"
        );
        self.core().fleet.make_all_due();
        self.send_reports();
    }

    /// Time left of the grace and the whole grace, or `None` unless the host is leaving.
    pub(super) fn grace_left(&self) -> Option<(Duration, Duration)> {
        let since = self.leaving_since.get()?;
        let until = *since + self.grace;
        Some((until.saturating_sub(self.clock.now()), self.grace))
    }

    /// Returns once the grace of a leaving host is over.
    pub(super) async fn until_grace_ends(&self) {
        let mut phase = self.phase.clone();
        wait_for_phase(&mut phase, |phase| phase != Phase::Running).await;
        let left = self.grace_left().map_or(self.grace, |(left, _)| left);
        sleep(left).await;
    }

    /// Number of requests being served.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Whether to log the lines of a successful request, subject to sampling.
    pub(super) fn should_log(&self, request: &str) -> bool {
        let now = self.clock.now();
        let mut sampler = self.sampler.lock().unwrap_or_else(PoisonError::into_inner);
        sampler.keep(now, request)
    }

    /// Counts a request as running until the guard is dropped.
    pub(super) fn track_request(&self) -> Guard<D, C> {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.metrics.running.inc();
        Guard(self.clone())
    }

    /// Addresses of the hosts that the caller with the address `caller` in this region and failure
    /// domain should use for requests to `authority`.
    pub fn directory(
        &self,
        caller: IpAddr,
        authority: &str,
        region: &name::Region,
        domain: &name::Domain,
    ) -> Vec<SocketAddr> {
        let is_ready = self.is_ready();
        let now = self.clock.now();
        let core = self.core();
        let table = core.table().cloned();
        let suitability = |region: &name::Region| {
            let table = table.as_ref();
            table.map_or(0, |table| table.suitability(authority, region))
        };
        let answer = core
            .fleet
            .directory(now, caller, region, domain, is_ready, suitability);
        if answer.is_elsewhere {
            tracing::info!(event = "directory", authority, %region, named = ?answer.addresses, "no host of the region is known; naming hosts of other regions");
        }
        self.directory_answers.inc();
        self.weighted_answers.inc_by(u64::from(answer.is_weighted));
        self.directory_hosts.set(answer.addresses.len() as i64);
        answer.addresses
    }

    /// Installs a configuration unless the one in force is as new or newer.
    pub fn configure(&self, table: Table, provenance: Provenance) {
        let (version, digest, now) = (table.version.clone(), table.digest, self.clock.now());
        let (before, era) = (self.core().version(), provenance.era);
        let unreadable = table.unreadable.iter().map(|row| row.reason.as_str());
        let reasons: Vec<_> = unreadable
            .take(MAX_LOGGED_ROWS)
            .map(str::to_owned)
            .collect();
        let unreadable_count = table.unreadable.len();
        let is_installed = self.core().configure(now, table, provenance);
        if is_installed {
            let metrics = &self.readiness;
            metrics.record_configuration(&version, unreadable_count);
            tracing::info!(
                event = "configured",
                version = version.short(),
                long_version = version.long(),
                before = before.short(),
                %era,
                "configuration installed"
            );
            if unreadable_count > 0 {
                tracing::warn!(
                    event = "configuration",
                    version = version.short(),
                    long_version = version.long(),
                    unreadable = unreadable_count,
                    ?reasons,
                    "rows of the configuration can't be read"
                );
            }
        } else if self.core().digest() != Some(digest) {
            tracing::warn!(
                event = "configuration",
                version = version.short(),
                long_version = version.long(),
                in_force = before.short(),
                %era,
                "the store shows a configuration that is not newer than the one in force"
            );
        }
        self.place_waiting();
    }

    /// Records an era that the store or another host names. Returns the newest one that is known now.
    pub(super) fn observe_era(&self, era: Era, told_by: &str) -> Era {
        let now = self.clock.now();
        let before = self.core().reader_role.era();
        self.core().observe_era(now, era);
        self.log_era(before, told_by)
    }

    /// Logs that the newest known era is another one than `before`. Returns it.
    fn log_era(&self, before: Era, told_by: &str) -> Era {
        let (era, is_restored) = {
            let core = self.core();
            (core.reader_role.era(), core.reader_role.has_changed_era())
        };
        if era != before && is_restored {
            self.store_restorations.inc();
            tracing::warn!(event = "store", state = "restored", %era, %before, told_by,
                "the store was restored from an older copy");
        } else if era != before {
            tracing::info!(event = "store", state = "era known", %era, told_by);
        }
        era
    }

    /// Returns once another host has reported a newer configuration than the one in force.
    pub async fn wait_for_newer_configuration(&self) {
        self.newer_configuration.notified().await;
    }

    /// Returns once another host has announced a reading, which covers every section.
    pub(super) async fn wait_for_announcement(&self, section: Section) {
        self.announcements[section as usize].notified().await;
    }

    /// Counts a call to the store, and its failure.
    pub(super) fn count_store_call(&self, failed: bool) {
        self.store_calls.inc();
        if failed {
            self.store_failures.inc();
        }
    }

    /// Logs changes in the state of upstreams.
    pub fn log_changes(&self, changes: impl IntoIterator<Item = Change>) {
        for change in changes {
            tracing::info!(event = "upstream", upstream = %change.upstream(), state = change.state());
        }
    }

    /// Logs a change in the limit that an upstream names.
    fn log_limit(&self, upstream: &name::Upstream, change: throttle::Change) {
        match change {
            throttle::Change::Limit(limit) => {
                let per_second = limit.map(throttle::Rate::per_second);
                tracing::info!(event = "limit", %upstream, per_second);
            }
            throttle::Change::Malformed => {
                tracing::warn!(event = "limit", %upstream, "the upstream names a limit that can't be read");
            }
        }
    }

    /// Serves a request and returns once the first piece of its answer has arrived.
    pub async fn serve(&self, inbound: Inbound, job: Job) -> Result<Answer<D, C>, Failure> {
        Answer::open(self.clone(), inbound, job).await
    }

    /// Decides where a request goes. Queues it if no upstream is free, and fails with `NoCapacity`
    /// if none becomes free within the time it may wait.
    pub(super) async fn place(&self, request: &str, job: &Job) -> Result<Placement, Failure> {
        let now = self.clock.now();
        let (position, placement, limit, before) = {
            let mut core = self.core();
            match core.place(now, job) {
                Placement::Wait => {}
                placement => return Ok(placement),
            }
            let limit = core.wait_limit(now, job);
            if limit.is_zero() {
                return Err(refusal(&mut core, now, request, job));
            }
            let before = core.queue_len();
            let position = core.enqueue(job.clone());
            let (sender, placement) = oneshot::channel();
            self.waiters().insert(position, sender);
            (position, placement, limit, before)
        };
        if self.should_log(request) {
            tracing::info!(event = "queued", request, pool = %job.pool, priority = job.matched.priority,
                before, limit_ms = limit.as_millis() as u64);
        }
        let mut waiter = Waiter {
            host: self,
            position,
            placement,
        };
        tokio::select! {
            placement = &mut waiter.placement => placement.map_err(|_| shutting_down()),
            () = sleep(limit) => {
                let now = self.clock.now();
                Err(refusal(&mut self.core(), now, request, job))
            }
        }
    }

    /// Locks the channels to the tasks of queued requests.
    fn waiters(&self) -> MutexGuard<'_, BTreeMap<(u8, u64), oneshot::Sender<Placement>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Places queued requests after capacity may have become free, and wakes their tasks.
    pub(super) fn place_waiting(&self) {
        let now = self.clock.now();
        let placed = self.core().place_waiting(now);
        for (position, placement) in placed {
            let Some(waiter) = self.waiters().remove(&position) else {
                self.release(placement);
                continue;
            };
            if let Err(placement) = waiter.send(placement) {
                self.release(placement);
            }
        }
    }

    /// Frees the capacity of a placement that no task received.
    fn release(&self, placement: Placement) {
        if let Placement::Local(grant) = placement {
            let now = self.clock.now();
            self.core().release(now, grant.ticket, Outcome::Unknown);
        }
    }

    /// Wraps a grant in a guard that ends the reservation when dropped.
    pub(super) fn reservation(&self, grant: Grant) -> Reservation<D, C> {
        Reservation {
            host: self.clone(),
            grant,
            outcome: Outcome::Unknown,
            is_late: Arc::default(),
        }
    }

    /// Whether the request of a reservation may still be sent; asked just before its first byte.
    pub(super) fn confirm_send(&self, ticket: u64) -> bool {
        let now = self.clock.now();
        let (may_send, change) = self.core().confirm_send(now, ticket);
        self.log_changes(change);
        may_send
    }

    /// Sends due reports, expires old state and announces readings, until the host has closed.
    pub async fn run_reports(self) {
        let mut phase = self.phase.clone();
        let mut warmed_at = Duration::ZERO;
        loop {
            tokio::select! {
                () = sleep(REPORT_POLL_INTERVAL) => {}
                () = wait_for_phase(&mut phase, |phase| phase == Phase::Closed) => return,
            }
            // Each step goes on without the others, so that one that fails each time doesn't keep
            // reports back.
            panic::contain(|| self.core().record_step(self.clock.now()));
            panic::contain(|| self.send_reports());
            panic::contain(|| self.tell_origins());
            panic::contain(|| self.expire());
            panic::contain(|| self.announce());
            panic::contain(|| self.report_readiness());
            panic::contain(|| self.record_upstreams());
            panic::contain(|| self.warm_connections(&mut warmed_at));
        }
    }

    /// Renews the connections to other regions every [`WARM_INTERVAL`].
    fn warm_connections(&self, warmed_at: &mut Duration) {
        let now = self.clock.now();
        if now >= *warmed_at + WARM_INTERVAL {
            *warmed_at = now;
            let relays = self.core().relay_addresses(now);
            self.exchanges.keep_warm(relays);
        }
    }

    /// Announces this host's reading of the platform to its region, if this host is the reader and
    /// an announcement is due.
    pub(super) fn announce(&self) {
        if !self.is_ready() {
            return;
        }
        let now = self.clock.now();
        let (was_announcing, announcement, is_announcing) = {
            let mut core = self.core();
            let was_announcing = core.reader_role.is_announcing();
            (
                was_announcing,
                core.announce(now),
                core.reader_role.is_announcing(),
            )
        };
        if was_announcing != is_announcing {
            tracing::info!(
                event = "reader",
                announcing = is_announcing,
                "role in reading the platform's store changed"
            );
        }
        let Some((reading, hosts)) = announcement else {
            return;
        };
        for host in hosts {
            let reading = Box::new(reading.clone());
            self.link.send(&host, wire::Message::Reading(reading));
        }
    }

    /// Handles readings announced by other hosts of the region until the channel closes.
    pub async fn receive_readings(self, mut mailbox: mpsc::Receiver<link::Received<Box<Reading>>>) {
        // The host whose readings were last found to be of an earlier era.
        let mut outdated = None;
        while let Some(received) = mailbox.recv().await {
            panic::contain(|| self.receive_reading(*received.message, &mut outdated));
        }
    }

    fn receive_reading(&self, reading: Reading, outdated: &mut Option<name::Host>) {
        let reader = reading.from.clone();
        let now = self.clock.now();
        let era = reading.era;
        let (before, update, changes) = {
            let mut core = self.core();
            let before = core.reader_role.era();
            let (update, changes) = core.receive_reading(now, reading);
            (before, update, changes)
        };
        self.log_era(before, reader.as_str());
        let is_earlier = update == reader::Update::EarlierEra;
        if is_earlier && outdated.replace(reader.clone()).as_ref() != Some(&reader) {
            tracing::warn!(event = "reader", host = %reader, %era, "its readings are of an earlier era");
        }
        if update == reader::Update::NewSource {
            tracing::info!(event = "reader", host = %reader, "relying on another host's readings");
        }
        if update.is_relied_on() {
            *outdated = None;
            self.announcements.iter().for_each(Notify::notify_one);
        }
        if !changes.is_empty() {
            self.log_changes(changes);
            self.place_waiting();
        }
    }

    /// Sends every report that is due.
    pub fn send_reports(&self) {
        let (ready, leaving) = (self.is_ready(), self.is_leaving());
        let now = self.clock.now();
        let messages: Vec<_> = {
            let mut core = self.core();
            let reports = core.due_reports(now, ready, leaving).into_iter();
            reports
                .map(|(recipient, report)| {
                    let short = core.shorten(&recipient, &report);
                    (recipient, report, short)
                })
                .collect()
        };
        for (recipient, report, short) in messages {
            self.link
                .peers()
                .insert(recipient.host.clone(), recipient.address);
            let long = wire::Message::Report(Box::new(report));
            match short {
                Some(short) => {
                    let short = wire::Message::Brief(Box::new(short));
                    self.link.send_after(&recipient.host, long, short);
                }
                None => self.link.send(&recipient.host, long),
            }
        }
    }

    /// Removes expired state, finds silent upstreams and places queued requests.
    fn expire(&self) {
        let now = self.clock.now();
        let changes = {
            let mut core = self.core();
            core.limiter.expire(now);
            for domain in core.catalog.expire_evacuations(now) {
                tracing::warn!(event = "evacuation", %domain, "ended, as the restored store lacks it");
            }
            let mut changes = core.catalog.expire(now);
            changes.extend(core.detect_silent(now));
            changes
        };
        self.log_changes(changes);
        self.log_overloads();
        // Upstreams may have been removed or started again.
        self.log_cut_off();
        self.probe_upstreams();
        self.judge_suspects();
        if self.core().queue_len() > 0 {
            self.place_waiting();
        }
    }

    /// Logs the overloads of pools that have begun or ended.
    fn log_overloads(&self) {
        let now = self.clock.now();
        let changes = self.core().take_overload_changes(now);
        for (pool, change) in changes {
            match change {
                retry::Change::Began { rejected, placed } => {
                    self.overloads.inc();
                    self.overloaded_pools.inc();
                    tracing::warn!(event = "overload", %pool, state = "began", rejected, placed);
                }
                retry::Change::Ended { lasted } => {
                    self.overloaded_pools.dec();
                    tracing::warn!(event = "overload", %pool, state = "ended", lasted_ms = lasted.as_millis() as u64);
                }
            }
        }
    }

    /// Handles reports from other hosts until the channel closes.
    pub async fn receive_reports(
        self,
        mut mailbox: mpsc::Receiver<link::Received<brief::Message>>,
    ) {
        while let Some(received) = mailbox.recv().await {
            panic::contain(|| self.receive_report(received.message));
        }
    }

    fn receive_report(&self, message: brief::Message) {
        let report = match message {
            brief::Message::Long(report) => *report,
            brief::Message::Short(report) => {
                let (host, now) = (report.host().clone(), self.clock.now());
                let Some(report) = self.core().fleet.expand(now, *report) else {
                    return tracing::debug!(event = "host", %host, "its short report has no base here");
                };
                report
            }
        };
        let (host, incarnation) = (report.from.host.clone(), report.from.incarnation);
        let (version, now) = (report.version(), self.clock.now());
        let (before, reception, lacks_version) = {
            let mut core = self.core();
            let before = core.reader_role.era();
            let reception = core.receive_report(now, report);
            (before, reception, core.lacks_version(&version))
        };
        self.log_era(before, host.as_str());
        for (upstream, change) in reception.limits {
            self.log_limit(&upstream, change);
        }
        self.log_changes(reception.upstreams);
        match reception.update {
            Update::Joined => {
                tracing::info!(event = "host", %host, incarnation, state = "live")
            }
            Update::Left => {
                tracing::info!(event = "host", %host, incarnation, state = "leaving")
            }
            Update::Unchanged | Update::Stale => {}
        }
        if lacks_version {
            self.newer_configuration.notify_one();
        }
        if self.core().queue_len() > 0 {
            self.place_waiting();
        }
    }
}

/// Counts one request as running; dropping it ends the count.
#[derive(Debug)]
pub struct Guard<D: Dialect, C: Clock>(Host<D, C>);

impl<D: Dialect, C: Clock> Drop for Guard<D, C> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
        self.0.metrics.running.dec();
    }
}

/// A queued request. Dropping it removes the request from the queue and releases a placement that
/// arrived too late.
struct Waiter<'a, D: Dialect, C: Clock> {
    host: &'a Host<D, C>,
    /// Priority and ticket, by which the queue is ordered.
    position: (u8, u64),
    placement: oneshot::Receiver<Placement>,
}

impl<D: Dialect, C: Clock> Drop for Waiter<'_, D, C> {
    fn drop(&mut self) {
        self.host.core().dequeue(self.position);
        self.host.waiters().remove(&self.position);
        self.placement.close();
        if let Ok(placement) = self.placement.try_recv() {
            self.host.release(placement);
        }
    }
}

/// A reservation of capacity at an upstream. Dropping it frees the capacity and records `outcome`.
#[derive(Debug)]
pub(super) struct Reservation<D: Dialect, C: Clock> {
    host: Host<D, C>,
    pub(super) grant: Grant,
    pub(super) outcome: Outcome,
    /// Whether the attempt is late, which makes the upstream fail if it is cancelled.
    is_late: Arc<AtomicBool>,
}

impl<D: Dialect, C: Clock> Reservation<D, C> {
    /// Sets what tells whether the attempt is late.
    pub(super) fn with_lateness(mut self, is_late: Arc<AtomicBool>) -> Self {
        self.is_late = is_late;
        self
    }

    /// Records that another piece of the answer arrived.
    pub(super) fn record_progress(&self) {
        let now = self.host.clock.now();
        self.host.core().record_progress(now, self.grant.ticket);
    }

    /// Records that no connection to the upstream could be opened.
    pub(super) fn record_unreachable(&mut self) {
        self.outcome = Outcome::Unreachable;
        self.host.record_connection(&self.grant.upstream, false);
    }

    /// Records what the head of the answer says of the upstream's limit.
    pub(super) fn record_notice(&self, notice: Notice) {
        let now = self.host.clock.now();
        let ticket = self.grant.ticket;
        let change = self.host.core().record_notice(now, ticket, notice);
        if let Some(change) = change {
            self.host.log_limit(&self.grant.upstream, change);
        }
    }

    /// Records that the head of the answer asks for rest.
    pub(super) fn record_rest(&self, asked: Duration) {
        let now = self.host.clock.now();
        let ticket = self.grant.ticket;
        let granted = self.host.core().record_rest(now, ticket, asked);
        if let Some(rest) = granted {
            self.host.rests.inc();
            tracing::info!(event = "rest", upstream = %self.grant.upstream, rest_ms = rest.as_millis() as u64,
                is_cut = rest < asked);
        }
    }

    /// Records the load that the head of the answer to a request reports.
    pub(super) fn record_load(&self, request: &str, load: Field<load::Reading>) {
        let (now, ticket) = (self.host.clock.now(), self.grant.ticket);
        match load {
            Field::Absent => {}
            Field::Value(reading) => {
                if self.host.core().record_load(now, ticket, reading) {
                    self.host.load_readings.inc();
                }
            }
            Field::Malformed => {
                self.host.malformed_loads.inc();
                let is_due = self.host.core().record_malformed_load(now, ticket);
                if is_due && self.host.should_log(request) {
                    tracing::warn!(event = "load", request, upstream = %self.grant.upstream,
                        "the upstream reports a load that can't be read");
                }
            }
        }
    }

    /// Records that the head of the answer says that the upstream is leaving.
    pub(super) fn record_leaving(&self) {
        let change = self.host.core().record_leaving(self.grant.ticket);
        self.host.log_changes(change);
    }

    /// Records that the first byte of the answer's body arrived.
    pub(super) fn record_first_byte(&self) {
        let now = self.host.clock.now();
        let ratio = self.host.core().record_first_byte(now, self.grant.ticket);
        if let Some(ratio) = ratio {
            self.host.predicted_ratio.observe(ratio);
        }
        self.host.place_waiting();
    }
}

impl<D: Dialect, C: Clock> Drop for Reservation<D, C> {
    fn drop(&mut self) {
        let now = self.host.clock.now();
        let outcome = match self.outcome {
            Outcome::Unknown if self.is_late.load(Ordering::Relaxed) => Outcome::Broken,
            outcome => outcome,
        };
        let change = self.host.core().release(now, self.grant.ticket, outcome);
        self.host.log_changes(change);
        if matches!(outcome, Outcome::Broken | Outcome::Unreachable) {
            self.host.detect_end(&self.grant);
        }
        self.host.place_waiting();
    }
}

impl<D: Dialect, C: Clock> link::Handler for Host<D, C> {
    type Body = Answer<D, C>;

    async fn call(
        &self,
        from: &name::Host,
        call: wire::Call,
    ) -> Result<(exchange::Head, Self::Body), Failure> {
        self.metrics.taken.inc();
        let (inbound, job) = super::intake::accept_forwarded(self, from, call)?;
        let answer = self.serve(inbound, job).await?;
        let head = exchange::Head {
            status: answer.status().as_u16(),
            headers: super::headers::to_wire(answer.headers()),
            upstream: answer.upstream().clone(),
            build: answer.build().cloned(),
            pool: answer.pool().clone(),
        };
        Ok((head, answer))
    }

    async fn next(&self, body: &mut Self::Body) -> Result<Option<Bytes>, Failure> {
        body.next().await
    }
}

/// Status and headers of an answer.
#[derive(Debug, Clone)]
pub struct Head {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Headers that may be passed on to the caller.
    pub headers: HeaderMap,
}

/// Logs why a request could not be placed and returns the failure with a retry time.
fn refusal(core: &mut Core, now: Duration, request: &str, job: &Job) -> Failure {
    let wait = core.retry_after(now, job);
    let eligible = core.catalog.eligible_for(job);
    let (upstreams, open, resting) = eligible.fold((0, 0, 0), |(all, open, resting), replica| {
        let is_resting = !replica.rest.is_over(now);
        let is_open = replica.is_available(now) && !replica.reach.is_lost() && !is_resting;
        (
            all + 1,
            open + usize::from(is_open),
            resting + usize::from(is_resting),
        )
    });
    let (hosts, remote_hosts) = core.peer_counts(now);
    let reserved = core.reserved_slots(now, job);
    tracing::info!(event = "unplaced", request, pool = %job.pool, version = job.matched.edition.version.short(), long_version = job.matched.edition.version.long(),
        build = job.build.as_ref().map(name::Build::as_str),
        upstreams, open, resting, reserved, waiting = core.queue_len(), hosts, hosts_away = remote_hosts, may_leave = job.may_forward,
        waited_ms = now.saturating_sub(job.arrived_at).as_millis() as u64);
    Failure::not_run(Code::NoCapacity, "no upstream can answer in time").retry_after(wait)
}

/// The failure of a queued request whose channel was dropped.
fn shutting_down() -> Failure {
    Failure::not_run(Code::NotReady, "the host is shutting down")
}

/// Increments the failure counter of the failure's code.
pub(super) fn count_failure(metrics: &Metrics, failure: &Failure) {
    metrics
        .failed
        .get_or_create(&metric::FailedLabels { code: failure.code })
        .inc();
}
