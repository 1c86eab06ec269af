//! A running host: the decisions of [`Core`] with the sockets around them.

use {
    super::{
        answer::{Answer, Inbound},
        catalog::Change,
        core::{Core, Grant, Placement, Setup},
        dialect::Dialect,
        fleet::{self, Update},
        follow::Section,
        place::Job,
        reader::{self, Reading},
        replica::Outcome,
        sample::Sampler,
        server::wait_for_phase,
        table::Table,
    },
    crate::{
        clock::Clock,
        entry::Phase,
        failure::{Code, Failure},
        link::{self, exchange},
        metric::{self, Metrics},
        name, upstream, wire,
    },
    bytes::Bytes,
    http::{HeaderMap, StatusCode},
    prometheus_client::metrics::{counter::Counter, histogram::Histogram},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, OnceLock, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Notify, mpsc, oneshot, watch},
        time::sleep,
    },
};

/// How often due reports are looked for; a fraction of the shortest time between two.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How often connections to other regions are looked after: well within the time for which an idle
/// one can be used.
const WARM_INTERVAL: Duration = Duration::from_millis(500);

/// Upper bounds of the buckets of seen over predicted time.
const RATIO_BUCKETS: [f64; 9] = [0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 4.0, 10.0];

/// A running host. Cloning it copies a pointer.
#[derive(Debug)]
pub struct Host<D, C>(Arc<Shared<D, C>>);

impl<D, C> Clone for Host<D, C> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// What the tasks of a host share.
#[derive(Debug)]
pub struct Shared<D, C> {
    pub(super) dialect: D,
    pub(super) clock: C,
    pub(super) upstreams: upstream::Client,
    pub(super) exchanges: exchange::Client,
    /// This host.
    pub identity: fleet::Identity,
    /// Counters and histograms.
    pub metrics: Metrics,
    link: link::Handle,
    core: Mutex<Core>,
    waiters: Mutex<BTreeMap<(u8, u64), oneshot::Sender<Placement>>>,
    phase: watch::Receiver<Phase>,
    running: AtomicUsize,
    newer_configuration: Notify,
    announcements: [Notify; 2],
    store_calls: Counter,
    store_failures: Counter,
    grace: Duration,
    leaving_since: OnceLock<Duration>,
    sampler: Mutex<Sampler>,
    predicted_ratio: Histogram,
}

/// What a host is made of.
#[derive(Debug)]
pub struct Parts<D, C> {
    /// Translates headers.
    pub dialect: D,
    /// The time.
    pub clock: C,
    /// Connections to upstreams.
    pub upstreams: upstream::Client,
    /// Forwarded calls.
    pub exchanges: exchange::Client,
    /// Messages to other hosts.
    pub link: link::Handle,
    /// What the host is told at its start.
    pub setup: Setup,
    /// Where the host is in its life.
    pub phase: watch::Receiver<Phase>,
    /// How long it may go on after it was told to go.
    pub grace: Duration,
    /// Counters and histograms.
    pub metrics: Metrics,
}

impl<D, C> std::ops::Deref for Host<D, C> {
    type Target = Shared<D, C>;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl<D: Dialect, C: Clock> Host<D, C> {
    /// A host that knows nothing yet.
    pub fn new(parts: Parts<D, C>) -> Self {
        let now = parts.clock.now();
        let predicted_ratio = Histogram::new(RATIO_BUCKETS);
        let sampler = Sampler::default();
        let store_calls = Counter::default();
        let store_failures = Counter::default();
        parts.metrics.register(|registry| {
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
                "predicted_ratio",
                "Time to the first byte over its prediction",
                predicted_ratio.clone(),
            );
            registry.register(
                "log_lines_sampled_out",
                "Lines of successful requests that were not logged",
                sampler.counter(),
            );
        });
        Self(Arc::new(Shared {
            identity: parts.setup.identity.clone(),
            core: Mutex::new(Core::new(now, parts.setup)),
            dialect: parts.dialect,
            clock: parts.clock,
            upstreams: parts.upstreams,
            exchanges: parts.exchanges,
            link: parts.link,
            metrics: parts.metrics,
            waiters: Mutex::default(),
            phase: parts.phase,
            running: AtomicUsize::new(0),
            newer_configuration: Notify::new(),
            announcements: Default::default(),
            store_calls,
            store_failures,
            grace: parts.grace,
            leaving_since: OnceLock::new(),
            sampler: Mutex::new(sampler),
            predicted_ratio,
        }))
    }

    /// The decisions; held for the length of one.
    pub fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether callers should come here.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Running && self.core().is_ready()
    }

    /// Whether it has been told to go.
    pub fn is_leaving(&self) -> bool {
        *self.phase.borrow() != Phase::Running
    }

    /// Notes that it has been told to go, and tells the other hosts.
    pub fn start_leaving(&self) {
        if self.leaving_since.set(self.clock.now()).is_err() {
            return;
        }
        tracing::info!(event = "stop", running = self.running(), "leaving");
        self.core().fleet.make_all_due();
        self.send_reports();
    }

    /// What is left of the grace, once it has been told to go, and the whole of it.
    pub(super) fn grace_left(&self) -> Option<(Duration, Duration)> {
        let since = self.leaving_since.get()?;
        let until = *since + self.grace;
        Some((until.saturating_sub(self.clock.now()), self.grace))
    }

    /// Requests in work.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Whether the line of a successful request is logged.
    pub(super) fn should_log(&self, request: &str) -> bool {
        let now = self.clock.now();
        let mut sampler = self.sampler.lock().unwrap_or_else(PoisonError::into_inner);
        sampler.keep(now, request)
    }

    /// Counts a request for as long as the guard lives.
    pub(super) fn track_request(&self) -> RunningGuard<D, C> {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.metrics.running.inc();
        RunningGuard(self.clone())
    }

    /// The hosts that a caller should use for requests to `authority`.
    pub fn directory(
        &self,
        authority: &str,
        region: &name::Region,
        domain: &name::Domain,
    ) -> Vec<SocketAddr> {
        let serves = self.is_ready();
        let now = self.clock.now();
        let core = self.core();
        let table = core.table().cloned();
        let suit = |region: &name::Region| {
            let table = table.as_ref();
            table.map_or(0, |table| table.suitability(authority, region))
        };
        let (named, elsewhere) = core.fleet.directory(now, region, domain, serves, suit);
        if elsewhere {
            tracing::info!(event = "directory", authority, %region, named = ?named, "no host of the region is known");
        }
        named
    }

    /// Installs a configuration unless a newer one is in force.
    pub fn configure(&self, table: Table) {
        let (version, now) = (table.version, self.clock.now());
        let before = self.core().version();
        if self.core().configure(now, table) {
            tracing::info!(
                event = "configured",
                version,
                before,
                "configuration in force"
            );
        }
        self.place_waiting();
    }

    /// Wakes once another host is known to have a newer configuration.
    pub async fn wait_for_newer_configuration(&self) {
        self.newer_configuration.notified().await;
    }

    /// Wakes once another host has announced something about a section.
    pub(super) async fn wait_for_announcement(&self, section: Section) {
        self.announcements[section as usize].notified().await;
    }

    /// Counts a call to the store.
    pub(super) fn count_store_call(&self, failed: bool) {
        self.store_calls.inc();
        if failed {
            self.store_failures.inc();
        }
    }

    /// Logs changes of belief about upstreams.
    pub fn log_changes(&self, changes: impl IntoIterator<Item = Change>) {
        for change in changes {
            tracing::info!(event = "upstream", upstream = %change.upstream(), state = change.state());
        }
    }

    /// Serves a request, up to the first byte of its answer.
    pub async fn serve(&self, inbound: Inbound, job: Job) -> Result<Answer<D, C>, Failure> {
        Answer::open(self.clone(), inbound, job).await
    }

    /// Where a request goes, after a wait if need be.
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
        let mut entry = QueueEntry {
            host: self,
            position,
            placement,
        };
        tokio::select! {
            placement = &mut entry.placement => placement.map_err(|_| shutting_down()),
            () = sleep(limit) => {
                let now = self.clock.now();
                Err(refusal(&mut self.core(), now, request, job))
            }
        }
    }

    fn waiters(&self) -> MutexGuard<'_, BTreeMap<(u8, u64), oneshot::Sender<Placement>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Places waiting requests, now that something may have become free.
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

    fn release(&self, placement: Placement) {
        if let Placement::Local(grant) = placement {
            let now = self.clock.now();
            self.core().release(now, grant.ticket, Outcome::Unknown);
        }
    }

    /// The reservation of a grant, which ends when it is dropped.
    pub(super) fn reservation(&self, grant: Grant) -> Reservation<D, C> {
        Reservation {
            host: self.clone(),
            grant,
            outcome: Outcome::Unknown,
        }
    }

    /// Sends reports as they fall due, until the host has closed.
    pub async fn run_reports(self) {
        let mut phase = self.phase.clone();
        let mut warmed = Duration::ZERO;
        loop {
            tokio::select! {
                () = sleep(REPORT_POLL_INTERVAL) => {}
                () = wait_for_phase(&mut phase, |phase| phase == Phase::Closed) => return,
            }
            self.send_reports();
            self.expire();
            self.announce();
            let now = self.clock.now();
            if now >= warmed + WARM_INTERVAL {
                warmed = now;
                let relays = self.core().relay_addresses(now);
                self.exchanges.keep_warm(relays);
            }
        }
    }

    /// Announces what was read of the platform, if that is this host's part.
    pub(super) fn announce(&self) {
        if !self.is_ready() {
            return;
        }
        let now = self.clock.now();
        let (was, announced, is) = {
            let mut core = self.core();
            let was = core.duty.is_announcing();
            (was, core.announce(now), core.duty.is_announcing())
        };
        if was != is {
            tracing::info!(
                event = "reader",
                announcing = is,
                "part in reading the platform"
            );
        }
        let Some((reading, hosts)) = announced else {
            return;
        };
        for host in hosts {
            let reading = Box::new(reading.clone());
            self.link.send(&host, wire::Message::Reading(reading));
        }
    }

    /// Takes what other hosts of the region have read until their sender closes.
    pub async fn receive_readings(self, mut mailbox: mpsc::Receiver<link::Received<Box<Reading>>>) {
        while let Some(received) = mailbox.recv().await {
            let reading = *received.message;
            let reader = reading.from.clone();
            let now = self.clock.now();
            let (news, changes) = self.core().receive_reading(now, reading);
            if news == reader::Effect::NewSource {
                tracing::info!(event = "reader", host = %reader, "relies on another host's reading");
            }
            if news != reader::Effect::Ignored {
                self.announcements.iter().for_each(Notify::notify_one);
            }
            if !changes.is_empty() {
                self.log_changes(changes);
                self.place_waiting();
            }
        }
    }

    /// Sends the reports that are due.
    pub fn send_reports(&self) {
        let (ready, leaving) = (self.is_ready(), self.is_leaving());
        let now = self.clock.now();
        let reports = self.core().due_reports(now, ready, leaving);
        for (due, report) in reports {
            self.link.peers().insert(due.host.clone(), due.address);
            self.link
                .send(&due.host, wire::Message::Report(Box::new(report)));
        }
    }

    fn expire(&self) {
        let now = self.clock.now();
        let changes = {
            let mut core = self.core();
            core.limiter.expire(now);
            let mut changes = core.catalog.expire(now);
            changes.extend(core.detect_silent(now));
            changes
        };
        self.log_changes(changes);
        if self.core().queue_len() > 0 {
            self.place_waiting();
        }
    }

    /// Takes other hosts' reports until their sender closes.
    pub async fn receive_reports(
        self,
        mut mailbox: mpsc::Receiver<link::Received<Box<fleet::Report>>>,
    ) {
        while let Some(received) = mailbox.recv().await {
            let report = *received.message;
            let (host, incarnation) = (report.from.host.clone(), report.from.incarnation);
            let (version, now) = (report.version, self.clock.now());
            let (news, own) = {
                let mut core = self.core();
                (core.receive_report(now, report), core.version())
            };
            match news {
                Update::Joined => {
                    tracing::info!(event = "host", %host, incarnation, state = "live")
                }
                Update::Left => {
                    tracing::info!(event = "host", %host, incarnation, state = "leaving")
                }
                Update::Unchanged | Update::Stale => {}
            }
            if version > own {
                self.newer_configuration.notify_one();
            }
            if self.core().queue_len() > 0 {
                self.place_waiting();
            }
        }
    }
}

/// A request in work.
#[derive(Debug)]
pub struct RunningGuard<D: Dialect, C: Clock>(Host<D, C>);

impl<D: Dialect, C: Clock> Drop for RunningGuard<D, C> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
        self.0.metrics.running.dec();
    }
}

/// A request in the queue; leaves it when dropped.
struct QueueEntry<'a, D: Dialect, C: Clock> {
    host: &'a Host<D, C>,
    position: (u8, u64),
    placement: oneshot::Receiver<Placement>,
}

impl<D: Dialect, C: Clock> Drop for QueueEntry<'_, D, C> {
    fn drop(&mut self) {
        self.host.core().dequeue(self.position);
        self.host.waiters().remove(&self.position);
        self.placement.close();
        if let Ok(placement) = self.placement.try_recv() {
            self.host.release(placement);
        }
    }
}

/// A request's place at an upstream. Dropping it gives the place back.
#[derive(Debug)]
pub(super) struct Reservation<D: Dialect, C: Clock> {
    host: Host<D, C>,
    pub(super) grant: Grant,
    pub(super) outcome: Outcome,
}

impl<D: Dialect, C: Clock> Reservation<D, C> {
    /// A further piece of the answer came.
    pub(super) fn note_progress(&self) {
        let now = self.host.clock.now();
        self.host.core().record_progress(now, self.grant.ticket);
    }

    /// The first byte of the answer's body came.
    pub(super) fn note_first_byte(&self) {
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
        let ended = self
            .host
            .core()
            .release(now, self.grant.ticket, self.outcome);
        self.host.log_changes(ended);
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
            pool: answer.pool().clone(),
        };
        Ok((head, answer))
    }

    async fn next(&self, body: &mut Self::Body) -> Result<Option<Bytes>, Failure> {
        body.next().await
    }
}

/// The head of an answer.
#[derive(Debug, Clone)]
pub struct Head {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers that may reach the caller.
    pub headers: HeaderMap,
}

fn refusal(core: &mut Core, now: Duration, request: &str, job: &Job) -> Failure {
    let wait = core.retry_after(now, &job.pool);
    let eligible = core.catalog.eligible(&job.pool);
    let (upstreams, open) = eligible.fold((0, 0), |(all, open), replica| {
        (all + 1, open + usize::from(replica.is_available(now)))
    });
    let (hosts, away) = core.peer_counts(now);
    tracing::info!(event = "unplaced", request, pool = %job.pool, version = job.matched.version,
        upstreams, open, waiting = core.queue_len(), hosts, hosts_away = away, may_leave = job.may_forward,
        waited_ms = now.saturating_sub(job.arrived_at).as_millis() as u64);
    Failure::not_run(Code::NoCapacity, "no upstream can answer in time").retry_after(wait)
}

fn shutting_down() -> Failure {
    Failure::not_run(Code::NotReady, "the host is shutting down")
}

/// Counts a failure by its code.
pub(super) fn count_failure(metrics: &Metrics, failure: &Failure) {
    metrics
        .failed
        .get_or_create(&metric::FailedLabels { code: failure.code })
        .inc();
}
