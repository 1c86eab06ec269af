//! The attempts at one request, until one of them returns a usable answer or the limits on attempts,
//! retries or time are reached.
//!
//! An attempt is never given up for being late: an upstream may be silent for a while and go on.
//! Where another attempt may be made, and something can take it, it is made beside the late one, and
//! the first usable answer cancels the other.

use {
    super::{
        answer::Inbound,
        cache,
        core::{Placement, Remote},
        dialect::Dialect,
        host::{Host, Reservation},
        place::Job,
        send::{Opened, forward, send, withheld_failure},
    },
    crate::{
        clock::Clock,
        failure::{Code, Failure, Ran},
        name,
    },
    futures::stream::{FuturesUnordered, StreamExt},
    std::{
        collections::BTreeMap,
        ops::ControlFlow,
        pin::pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
        time::timeout,
    },
};

/// Upper bound on the sends of one request that were refused or could not be made.
const MAX_REFUSED_SENDS: u32 = 3;
/// Upper bound on the failed forwards of one request.
const MAX_FORWARDS: u32 = 2;
/// Time that must be left until the deadline for another send to be worthwhile.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Counts and measurements over all attempts at one request.
#[derive(Debug, Default)]
pub(super) struct Tries {
    /// Upstreams at which the request may have run. Counted before a send, since the send may be
    /// cancelled.
    pub(super) runs: u32,
    /// Sends that were refused or could not be made.
    pub(super) refused: u32,
    /// Forwards to other regions that failed.
    pub(super) forwards: u32,
    /// Time to the first byte predicted by the last placement, in milliseconds.
    pub(super) predicted_ms: f64,
    /// Time from the request's arrival to its last placement.
    pub(super) placed_after: Duration,
}

impl Tries {
    /// Adjusts a failure for the caller: it may say that the request has not run only if no attempt
    /// can have run it.
    pub(super) fn account_for_runs(&self, failure: Failure) -> Failure {
        if failure.ran != Ran::No || self.runs == 0 {
            return failure;
        }
        let code = match failure.code {
            Code::Deadline => Code::Deadline,
            _ => Code::UpstreamFailed,
        };
        Failure::new(code, Ran::Unknown, failure.message)
    }
}

/// Tells when an attempt is late.
#[derive(Debug)]
pub(super) struct Patience {
    number: u32,
    late: UnboundedSender<u32>,
    is_late: Arc<AtomicBool>,
}

impl Patience {
    /// The patience with the attempt of this number. Each time that the attempt is late, its number
    /// is sent to `late`.
    pub(super) fn new(number: u32, late: UnboundedSender<u32>) -> Self {
        Self {
            number,
            late,
            is_late: Arc::default(),
        }
    }

    /// Awaits a step of the attempt, which is late whenever it has taken `limit` longer.
    pub(super) async fn watch<T>(&self, limit: Duration, step: impl Future<Output = T>) -> T {
        let mut step = pin!(step);
        loop {
            if let Ok(output) = timeout(limit.max(MIN_TIME_LEFT), &mut step).await {
                return output;
            }
            self.is_late.store(true, Ordering::Relaxed);
            // Nobody listens once another attempt has won.
            self.late.send(self.number).ok();
        }
    }

    /// Ends the watch, as the answer has begun.
    pub(super) fn end(&self) {
        self.is_late.store(false, Ordering::Relaxed);
    }

    /// Whether the attempt was late when its last step ended or was dropped.
    pub(super) fn is_late(&self) -> Arc<AtomicBool> {
        self.is_late.clone()
    }
}

/// Where an attempt is sent, with what it holds there.
#[derive(Debug)]
pub(super) enum Destination<D: Dialect, C: Clock> {
    Upstream(Reservation<D, C>),
    Host(Remote),
}

impl<D: Dialect, C: Clock> Destination<D, C> {
    /// The destination that a placement names; `None` if it names none.
    pub(super) fn new(host: &Host<D, C>, placement: Placement) -> Option<Self> {
        match placement {
            Placement::Local(grant) => Some(Self::Upstream(host.reservation(grant))),
            Placement::Remote(remote) => Some(Self::Host(remote)),
            Placement::Withheld(_) | Placement::Wait => None,
        }
    }

    /// Where it is.
    pub(super) fn target(&self) -> Target {
        match self {
            Self::Upstream(reservation) => Target::Upstream(reservation.grant.upstream.clone()),
            Self::Host(remote) => Target::Host(remote.host.clone()),
        }
    }
}

/// Names where an attempt was sent.
#[derive(Debug, Clone)]
pub(super) enum Target {
    Upstream(name::Upstream),
    Host(name::Host),
}

impl Target {
    /// Keeps further attempts from going to the same place.
    pub(super) fn exclude_from(&self, job: &mut Job) {
        match self {
            Self::Upstream(upstream) if !job.tried.contains(upstream) => {
                job.tried.push(upstream.clone());
            }
            Self::Host(host) if !job.avoided_hosts.contains(host) => {
                job.avoided_hosts.push(host.clone());
            }
            Self::Upstream(_) | Self::Host(_) => {}
        }
    }

    fn as_str(&self) -> &str {
        match self {
            Self::Upstream(upstream) => upstream.as_str(),
            Self::Host(host) => host.as_str(),
        }
    }

    fn upstream(&self) -> Option<&str> {
        match self {
            Self::Upstream(upstream) => Some(upstream.as_str()),
            Self::Host(_) => None,
        }
    }
}

/// Starts one attempt. Dropping the returned future cancels it.
pub(super) fn start<D: Dialect, C: Clock>(
    host: &Host<D, C>,
    inbound: &Arc<Inbound>,
    job: &Job,
    tries: &mut Tries,
    resume: Option<u64>,
    destination: Destination<D, C>,
    patience: Patience,
) -> impl Future<Output = Result<Opened<D, C>, Failure>> + Send + use<D, C> {
    tries.runs += 1;
    tries.placed_after = host.clock.now().saturating_sub(job.arrived_at);
    match &destination {
        Destination::Upstream(reservation) => {
            let grant = &reservation.grant;
            tries.predicted_ms = grant.predicted_ms;
            if host.should_log(inbound.id()) {
                tracing::info!(event = "placed", request = inbound.id(), upstream = %grant.upstream,
                    build = %grant.build,
                    predicted_ms = grant.predicted_ms as u64, uncached = grant.uncached_tokens,
                    version = job.matched.edition.version.short(), long_version = job.matched.edition.version.long(), resume_after = resume, resumes = inbound.metadata.resumes.as_deref(),
                    waited_ms = tries.placed_after.as_millis() as u64);
            }
        }
        Destination::Host(remote) => tries.predicted_ms = remote.predicted_ms,
    }
    let (host, inbound, job) = (host.clone(), inbound.clone(), job.clone());
    async move {
        match destination {
            Destination::Upstream(reservation) => {
                let reservation = reservation.with_lateness(patience.is_late());
                send(&host, &inbound, &job, reservation, resume, &patience).await
            }
            Destination::Host(remote) => {
                forward(&host, &inbound, &job, &remote, resume, &patience).await
            }
        }
    }
}

/// Places another attempt at a request whose newest one, at `late`, is late. `None` if no other may
/// be made or nothing can take it now; the late one goes on in either case.
pub(super) fn place_another<D: Dialect, C: Clock>(
    host: &Host<D, C>,
    inbound: &Inbound,
    job: &mut Job,
    tries: &Tries,
    late: &Target,
) -> Option<Destination<D, C>> {
    let now = host.clock.now();
    let may_repeat = job.matched.route.kind.is_repeatable() && tries.runs < job.max_attempts;
    if !may_repeat || job.deadline <= now + MIN_TIME_LEFT {
        return None;
    }
    late.exclude_from(job);
    let placement = host.core().place_another(now, job)?;
    tracing::info!(
        event = "late",
        request = inbound.id(),
        late = late.as_str(),
        runs = tries.runs,
        "another attempt is made beside a late one"
    );
    Destination::new(host, placement)
}

/// The attempts at a request that are under way, and the decision on what follows each.
struct Race<'a, D: Dialect, C: Clock> {
    host: &'a Host<D, C>,
    inbound: &'a Arc<Inbound>,
    job: &'a mut Job,
    tries: &'a mut Tries,
    resume: Option<u64>,
    /// Other hosts of the region that could not serve the request.
    failed_neighbours: Vec<name::Host>,
    /// Targets of the attempts under way, by number.
    targets: BTreeMap<u32, Target>,
    last_number: u32,
    late: UnboundedSender<u32>,
    /// The answer of an upstream that failed by itself while other attempts were under way.
    fallback: Option<Opened<D, C>>,
}

/// Makes attempts until one returns a usable answer, within the deadline and the limits of the route,
/// its kind and the retry budget.
pub(super) async fn run_attempts<D: Dialect, C: Clock>(
    host: &Host<D, C>,
    inbound: &Arc<Inbound>,
    job: &mut Job,
    tries: &mut Tries,
    resume: Option<u64>,
) -> Result<Opened<D, C>, Failure> {
    let (late, late_numbers) = mpsc::unbounded_channel();
    let time_left = job.deadline.saturating_sub(host.clock.now());
    let mut race = Race {
        host,
        inbound,
        job,
        tries,
        resume,
        failed_neighbours: Vec::new(),
        targets: BTreeMap::new(),
        last_number: 0,
        late,
        fallback: None,
    };
    let result = timeout(time_left, race.run(late_numbers)).await;
    let result = result.unwrap_or_else(|_| Err(missed_deadline()));
    result.or_else(|failure| race.fallback.take().ok_or(failure))
}

/// The failure of a request whose deadline passed, unless something was sent: see [`Tries::account_for_runs`].
pub(super) fn missed_deadline() -> Failure {
    Failure::not_run(Code::Deadline, "no answer within the deadline")
}

impl<D: Dialect, C: Clock> Race<'_, D, C> {
    async fn run(
        &mut self,
        mut late_numbers: UnboundedReceiver<u32>,
    ) -> Result<Opened<D, C>, Failure> {
        let mut running = FuturesUnordered::new();
        loop {
            if running.is_empty() {
                self.job.avoided_hosts.clone_from(&self.failed_neighbours);
                let destination = self.place().await?;
                running.push(self.start(destination));
            }
            tokio::select! {
                biased;
                Some((number, result)) = running.next() => {
                    let decision = self.judge(number, result, !running.is_empty());
                    if let ControlFlow::Break(result) = decision {
                        return result;
                    }
                }
                Some(number) = late_numbers.recv() => {
                    let newest = self.targets.last_key_value();
                    let newest = newest.filter(|(newest, _)| **newest == number);
                    if let Some(late) = newest.map(|(_, target)| target.clone()) {
                        let another =
                            place_another(self.host, self.inbound, self.job, self.tries, &late);
                        running.extend(another.map(|destination| self.start(destination)));
                    }
                }
            }
        }
    }

    /// Places an attempt while no other is under way. It may wait for that.
    async fn place(&mut self) -> Result<Destination<D, C>, Failure> {
        let id = self.inbound.id();
        let placement = self.host.place(id, self.job).await?;
        if let Placement::Withheld(withheld) = &placement {
            return Err(withheld_failure(id, withheld));
        }
        let destination = Destination::new(self.host, placement);
        destination.ok_or_else(|| Failure::not_run(Code::NoCapacity, "no upstream is free"))
    }

    fn start(
        &mut self,
        destination: Destination<D, C>,
    ) -> impl Future<Output = (u32, Result<Opened<D, C>, Failure>)> + Send + use<D, C> {
        self.last_number += 1;
        let number = self.last_number;
        self.targets.insert(number, destination.target());
        let patience = Patience::new(number, self.late.clone());
        let (host, inbound, job) = (self.host, self.inbound, &*self.job);
        let attempt = start(
            host,
            inbound,
            job,
            self.tries,
            self.resume,
            destination,
            patience,
        );
        async move { (number, attempt.await) }
    }

    /// Decides what follows the end of an attempt: its result is that of all attempts, or the others
    /// under way may yet answer, or a new one is made.
    fn judge(
        &mut self,
        number: u32,
        result: Result<Opened<D, C>, Failure>,
        are_others_running: bool,
    ) -> ControlFlow<Result<Opened<D, C>, Failure>> {
        let (host, pool) = (self.host, self.job.pool.clone());
        let is_repeatable = self.job.matched.route.kind.is_repeatable();
        let mut is_retry_granted = false;
        let failure = match result {
            Err(failure) => failure,
            Ok(opened) => {
                if !opened.head.status.is_server_error() || !is_repeatable {
                    return ControlFlow::Break(Ok(opened));
                }
                is_retry_granted = !are_others_running
                    && self.tries.runs < self.job.max_attempts
                    && host.core().withdraw_retry(host.clock.now(), &pool);
                if !are_others_running && !is_retry_granted {
                    return ControlFlow::Break(Ok(opened));
                }
                self.fallback = Some(opened);
                let reason = "the upstream failed by itself";
                Failure::new(Code::UpstreamFailed, Ran::Yes, reason)
            }
        };
        let target = self.targets.remove(&number);
        if let Some(Target::Host(peer)) = &target {
            if host.core().is_neighbour(peer) {
                self.failed_neighbours.push(peer.clone());
            }
            self.tries.forwards += 1;
            self.job.may_forward &= self.tries.forwards < MAX_FORWARDS;
        } else if let Some(upstream) = &target {
            upstream.exclude_from(self.job);
        }
        if failure.ran == Ran::No {
            self.tries.runs -= 1;
        }
        tracing::info!(event = "attempt failed", request = self.inbound.id(), route = %self.job.matched.route.name,
            upstream = target.as_ref().and_then(Target::upstream), parts = cache::format_parts(&self.job.prefixes),
            fingerprint = %self.job.fingerprint,
            runs = self.tries.runs, refused = self.tries.refused, ran = %failure.ran, reason = %failure.message);
        if are_others_running {
            return ControlFlow::Continue(());
        }
        let now = host.clock.now();
        let is_withheld = matches!(failure.code, Code::PromptWithheld | Code::RequestWithheld);
        if is_withheld || self.job.deadline <= now + MIN_TIME_LEFT {
            return ControlFlow::Break(Err(failure));
        }
        if failure.ran == Ran::No {
            self.tries.refused += 1;
            if self.tries.refused > MAX_REFUSED_SENDS {
                return ControlFlow::Break(Err(failure));
            }
            if failure.code == Code::NoCapacity && !host.core().withdraw_retry(now, &pool) {
                return ControlFlow::Break(Err(failure));
            }
            return ControlFlow::Continue(());
        }
        let is_suspect = host.core().quarantine.is_suspect(&self.job.suspects);
        let may_repeat = is_repeatable && !is_suspect && self.tries.runs < self.job.max_attempts;
        if !may_repeat || !(is_retry_granted || host.core().withdraw_retry(now, &pool)) {
            return ControlFlow::Break(Err(failure));
        }
        let core = host.core();
        self.job
            .allow_tried_upstreams_if_none_is_left(&core.catalog);
        ControlFlow::Continue(())
    }
}
