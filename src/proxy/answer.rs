//! An answer on its way to the caller.
//!
//! A complete answer is passed on at once, a stream piece by piece. A resumable stream that breaks
//! off is resumed at another upstream after the last event that was delivered, so the caller sees one
//! continuous stream. Where one is silent, another upstream is asked to take it over; the stream goes
//! on at whichever brings an event first.

use {
    super::{
        cache,
        dialect::{Dialect, Metadata},
        host::{Guard, Head, Host},
        memory::Lease,
        origin::{self, Key, Record},
        place::Job,
        race::{
            Destination, MIN_TIME_LEFT, Patience, Target, Tries, missed_deadline, place_another,
            run_attempts, start,
        },
        replica::{Outcome, millis},
        send::{Opened, Source, upstream_failed},
        table::Kind,
    },
    crate::{
        attempt::{
            LATE_DELIVERY,
            sse::{Boundary, Splitter},
        },
        clock::Clock,
        failure::{Code, Failure, Ran},
        metric, name, upstream,
    },
    bytes::{Bytes, BytesMut},
    futures::stream::{FuturesUnordered, StreamExt},
    http::{HeaderMap, Method, StatusCode, header},
    std::{pin::pin, sync::Arc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// How long a resumable stream may bring no event before another upstream is asked to take it over.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A request received from a caller or forwarded by another host, with its body read in full.
#[derive(Debug)]
pub struct Inbound {
    /// Fields that the dialect parsed from the head.
    pub metadata: Metadata,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers without hop-by-hop headers and without the caller's key.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Inbound {
    /// The caller's request id for logs, or `-` if it sent none.
    pub fn id(&self) -> &str {
        self.metadata.id.as_deref().unwrap_or("-")
    }
}

/// How a body is relayed.
#[derive(Debug)]
enum Relay {
    /// Piece by piece, as it arrives.
    Pieces,
    /// Piece by piece, as it arrives; the body is an event stream.
    Stream(Boundary),
    /// As whole events, after any of which another upstream can resume the stream.
    Events(Splitter),
}

impl Relay {
    /// Whether the body so far ends within an event.
    fn is_within_event(&self) -> bool {
        match self {
            Self::Pieces => false,
            Self::Stream(boundary) => boundary.is_within_event(),
            Self::Events(splitter) => splitter.is_partial(),
        }
    }
}

/// An answer being relayed to the caller. Dropping it before its end cancels the request.
#[derive(Debug)]
pub struct Answer<D: Dialect, C: Clock> {
    host: Host<D, C>,
    inbound: Arc<Inbound>,
    job: Job,
    head: Head,
    /// The first piece of the body, or all of it, until it is passed on.
    first: Option<Bytes>,
    /// Where the rest of the body comes from; `None` once it has been read.
    source: Option<Source<D, C>>,
    upstream: name::Upstream,
    /// The host that forwards the answer; `None` if the upstream is one of this region.
    peer: Option<name::Host>,
    /// Build of that upstream; `None` if a peer doesn't tell it.
    build: Option<name::Build>,
    /// How that upstream marks the end of the body; `None` if a peer forwards the answer.
    framing: Option<upstream::Framing>,
    tries: Tries,
    relay: Relay,
    /// What is held of an event that is not complete.
    lease: Lease,
    /// The last event that was delivered.
    last_event_id: Option<u64>,
    /// Time for which the upstream was waited for since the last event that was delivered.
    waited: Duration,
    /// When the source last brought a piece, or the answer was opened.
    heard_at: Duration,
    arrived_at: Duration,
    /// Whether the caller reached this host itself.
    is_entry: bool,
    /// Until when the caller may resume the stream.
    resumable_until: Duration,
    opened_at: Duration,
    byte_count: usize,
    /// Length of the body, if the head states it.
    length: Option<usize>,
    is_origin_recorded: bool,
    is_finished: bool,
    _running: Guard<D, C>,
}

impl<D: Dialect, C: Clock> Answer<D, C> {
    /// Serves a request and returns once the first piece of its answer has arrived.
    pub(super) async fn open(
        host: Host<D, C>,
        inbound: Inbound,
        mut job: Job,
    ) -> Result<Self, Failure> {
        let running = host.track_request();
        let inbound = Arc::new(inbound);
        let mut tries = Tries::default();
        let now = host.clock.now();
        host.core().record_request(now, &job.pool);
        let resume = inbound.metadata.resume_after;
        let is_entry = job.may_forward;
        let lifetime = inbound.metadata.timeout.unwrap_or(origin::MAX_TTL);
        let resumable_until = job.arrived_at.saturating_add(lifetime);
        if resume.is_some() && job.matched.route.kind == Kind::Resumable {
            let time_left = job.deadline.saturating_sub(now);
            let build = timeout(time_left, required_build(&host, &inbound, &job)).await;
            job.build = Some(build.unwrap_or_else(|_| Err(missed_deadline()))?);
        }
        let opened = run_attempts(&host, &inbound, &mut job, &mut tries, resume).await;
        let opened = opened.map_err(|failure| {
            let failure = tries.account_for_runs(failure);
            if failure.code == Code::NoCapacity {
                let now = host.clock.now();
                host.core().record_rejection(now, &job.pool);
            }
            failure
        })?;
        let relay = match job.matched.route.kind {
            _ if !opened.head.status.is_success() => Relay::Pieces,
            Kind::Resumable => Relay::Events(Splitter::new()),
            Kind::Stream => Relay::Stream(Boundary::default()),
            Kind::Idempotent | Kind::NonIdempotent => Relay::Pieces,
        };
        Ok(Self {
            relay,
            lease: host.answer_memory.lease(opened.upstream.as_str()),
            last_event_id: resume,
            waited: Duration::ZERO,
            heard_at: host.clock.now(),
            arrived_at: job.arrived_at,
            is_entry,
            resumable_until,
            opened_at: host.clock.now(),
            byte_count: 0,
            length: content_length(&opened.head.headers),
            is_origin_recorded: false,
            is_finished: false,
            head: opened.head,
            first: opened.first,
            source: opened.source,
            upstream: opened.upstream,
            peer: opened.peer,
            build: opened.build,
            framing: opened.framing,
            host,
            inbound,
            job,
            tries,
            _running: running,
        })
    }

    /// HTTP status of the answer.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Headers that may be passed on to the caller.
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// The upstream that sends the answer.
    pub fn upstream(&self) -> &name::Upstream {
        &self.upstream
    }

    /// Build of that upstream; `None` if a peer doesn't tell it.
    pub fn build(&self) -> Option<&name::Build> {
        self.build.as_ref()
    }

    /// The pool of that upstream.
    pub fn pool(&self) -> &name::Pool {
        &self.job.pool
    }

    /// Takes the complete body if it has already been received; `None` for streams.
    pub fn take_body(&mut self) -> Option<Bytes> {
        if self.source.is_some() || self.is_resumable() {
            return None;
        }
        let body = self.first.take().unwrap_or_default();
        self.byte_count = body.len();
        self.finish("whole");
        Some(body)
    }

    /// Returns the next piece of the body, or `None` after the last one.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let delivery = match self.first.take() {
                Some(first) => self.deliver(Ok(Some(first))),
                None => self.read().await,
            };
            let failure = match delivery {
                Ok(Some(bytes)) if bytes.is_empty() => continue,
                Ok(Some(bytes)) => {
                    self.byte_count += bytes.len();
                    if self.is_whole() {
                        self.record_success();
                    }
                    return Ok(Some(bytes));
                }
                Ok(None) => {
                    self.record_success();
                    self.source = None;
                    self.finish("whole");
                    return Ok(None);
                }
                Err(failure) => failure,
            };
            let silent_for = self.host.clock.now().saturating_sub(self.heard_at);
            if let Err((failure, obstacle)) = self.resume(failure).await {
                self.source = None;
                self.finish("broken");
                tracing::warn!(event = "broken", request = self.inbound.id(), upstream = %self.upstream,
                    parts = cache::format_parts(&self.job.prefixes), fingerprint = %self.job.fingerprint,
                    bytes = self.byte_count, silent_ms = silent_for.as_millis() as u64, reason = %failure,
                    obstacle, "answer ended early");
                super::host::count_failure(&self.host.metrics, &failure);
                return Err(failure);
            }
        }
    }

    fn record_success(&mut self) {
        if let Some(Source::Upstream(_, reservation)) = &mut self.source {
            reservation.outcome = Outcome::Success;
        }
    }

    /// Whether the head states the length of the body and all of it was passed on, up to the end of
    /// an event. The caller's connection asks for nothing more then.
    fn is_whole(&self) -> bool {
        self.length == Some(self.byte_count) && !self.relay.is_within_event()
    }

    /// Whether another upstream can resume the answer if it breaks off.
    fn is_resumable(&self) -> bool {
        matches!(self.relay, Relay::Events(_))
    }

    /// Reads from the source what can be passed on next. Returns no bytes where a piece completes no
    /// event, or the source has changed.
    async fn read(&mut self) -> Result<Option<Bytes>, Failure> {
        if !self.is_resumable() {
            let piece = self.next_piece().await;
            return self.deliver(piece);
        }
        let started_at = self.host.clock.now();
        let limit = STREAM_IDLE_TIMEOUT.saturating_sub(self.waited);
        let piece = timeout(limit, self.next_piece()).await;
        self.waited += self.host.clock.now().saturating_sub(started_at);
        match piece {
            Ok(piece) => self.deliver(piece),
            Err(_) => self.ask_for_takeover().await,
        }
    }

    /// Reads the next piece from the source, within the deadline.
    async fn next_piece(&mut self) -> Result<Option<Bytes>, Failure> {
        let now = self.host.clock.now();
        let time_left = self.job.deadline.saturating_sub(now);
        let Some(source) = &mut self.source else {
            return Ok(None);
        };
        // A piece that is there already is returned however short the limit is.
        if now >= self.job.deadline + LATE_DELIVERY {
            return Err(stalled());
        }
        let piece = match source {
            Source::Upstream(body, reservation) => {
                let piece = timeout(time_left, self.lease.unless_revoked(body.next())).await;
                if let Ok(Ok(Ok(_))) = piece {
                    reservation.record_progress();
                }
                piece
            }
            Source::Peer(body) => timeout(time_left, self.lease.unless_revoked(body.next())).await,
        };
        let piece = piece.map(|piece| piece.map_err(upstream_failed).flatten());
        if let Ok(Ok(_)) = piece {
            self.heard_at = self.host.clock.now();
        }
        piece.unwrap_or_else(|_| Err(stalled()))
    }

    /// What a piece of the source lets pass: see [`Self::undelivered`]. The end of the source within
    /// an event is a failure.
    fn deliver(&mut self, piece: Result<Option<Bytes>, Failure>) -> Result<Option<Bytes>, Failure> {
        match piece? {
            Some(bytes) => self.undelivered(bytes).map(Some),
            None if self.relay.is_within_event() => {
                Err(upstream_failed("the stream ended within an event"))
            }
            None => Ok(None),
        }
    }

    /// Asks another upstream to take a silent stream over, and reads on meanwhile. The stream goes on
    /// at whichever brings something first; if the other one fails, at the silent one.
    async fn ask_for_takeover(&mut self) -> Result<Option<Bytes>, Failure> {
        let unchanged = Ok(Some(Bytes::new()));
        self.waited = Duration::ZERO;
        let Some(destination) = self.place_successor() else {
            return unchanged;
        };
        let (late, mut late_numbers) = mpsc::unbounded_channel();
        let mut newest = (0, destination.target());
        let mut successors = FuturesUnordered::new();
        successors.push(self.start_successor(destination, Patience::new(0, late.clone())));
        let time_left = self.job.deadline.saturating_sub(self.host.clock.now());
        let mut deadline = pin!(sleep(time_left));
        let mut failure = None;
        loop {
            tokio::select! {
                biased;
                piece = self.next_piece(), if failure.is_none() => match self.deliver(piece) {
                    Ok(Some(bytes)) if bytes.is_empty() => {}
                    Err(broken) => failure = Some(broken),
                    delivery => return delivery,
                },
                Some(opened) = successors.next() => {
                    let Err(obstacle) = self.adopt(opened) else {
                        return unchanged;
                    };
                    if obstacle.ran == Ran::No {
                        self.tries.runs -= 1;
                    }
                    tracing::info!(event = "attempt failed", request = self.inbound.id(),
                        route = %self.job.matched.route.name, runs = self.tries.runs,
                        ran = %obstacle.ran, reason = %obstacle.message);
                    if successors.is_empty() {
                        return failure.map_or(unchanged, Err);
                    }
                }
                Some(number) = late_numbers.recv() => if number == newest.0 {
                    let another = place_another(
                        &self.host, &self.inbound, &mut self.job, &self.tries, &newest.1,
                    );
                    if let Some(destination) = another {
                        newest = (number + 1, destination.target());
                        let patience = Patience::new(newest.0, late.clone());
                        successors.push(self.start_successor(destination, patience));
                    }
                },
                () = &mut deadline => return Err(failure.unwrap_or_else(stalled)),
            }
        }
    }

    /// Starts an attempt at which the stream may go on.
    fn start_successor(
        &mut self,
        destination: Destination<D, C>,
        patience: Patience,
    ) -> impl Future<Output = Result<Opened<D, C>, Failure>> + Send + use<D, C> {
        start(
            &self.host,
            &self.inbound,
            &self.job,
            &mut self.tries,
            self.last_event_id,
            destination,
            patience,
        )
    }

    /// Places the attempt at which a silent stream is to go on; `None` if it may not go on elsewhere,
    /// or nothing can take it now.
    fn place_successor(&mut self) -> Option<Destination<D, C>> {
        if !self.is_build_known() {
            return None;
        }
        let silent = match &self.peer {
            Some(peer) => Target::Host(peer.clone()),
            None => Target::Upstream(self.upstream.clone()),
        };
        self.job.arrived_at = self.host.clock.now();
        place_another(
            &self.host,
            &self.inbound,
            &mut self.job,
            &self.tries,
            &silent,
        )
    }

    /// Goes on with the answer of another attempt.
    fn adopt(&mut self, opened: Result<Opened<D, C>, Failure>) -> Result<(), Failure> {
        let opened = opened?;
        if !opened.head.status.is_success() {
            return Err(upstream_failed("the stream could not be taken up"));
        }
        tracing::info!(event = "resumed", request = self.inbound.id(), after = self.last_event_id,
            from = %self.upstream, from_build = self.build.as_ref().map(name::Build::as_str),
            upstream = %opened.upstream, build = opened.build.as_ref().map(name::Build::as_str), "stream resumed at another upstream");
        self.give_up_source();
        self.waited = Duration::ZERO;
        self.heard_at = self.host.clock.now();
        self.first = opened.first;
        self.source = opened.source;
        self.upstream = opened.upstream;
        self.discard_partial_event();
        self.peer = opened.peer;
        self.build = opened.build;
        self.framing = opened.framing;
        Ok(())
    }

    /// Drops what is held of an event that is not complete.
    fn discard_partial_event(&mut self) {
        if let Relay::Events(splitter) = &mut self.relay {
            *splitter = Splitter::new();
            self.lease = self.host.answer_memory.lease(self.upstream.as_str());
        }
    }

    /// Closes the source as one that has failed.
    fn give_up_source(&mut self) {
        if let Some(Source::Upstream(_, reservation)) = &mut self.source {
            reservation.outcome = Outcome::Broken;
        }
        self.source = None;
    }

    /// Returns the bytes to pass on: all of them, or for a resumable stream the complete events
    /// that the caller has not received yet.
    fn undelivered(&mut self, bytes: Bytes) -> Result<Bytes, Failure> {
        let splitter = match &mut self.relay {
            Relay::Pieces => return Ok(bytes),
            Relay::Stream(boundary) => {
                boundary.push(&bytes);
                return Ok(bytes);
            }
            Relay::Events(splitter) => splitter,
        };
        let events = splitter.push(&bytes).map_err(upstream_failed)?;
        self.lease
            .resize(splitter.capacity())
            .map_err(upstream_failed)?;
        let mut complete = BytesMut::new();
        for event in events {
            if let Some(id) = event.id() {
                if self.last_event_id.is_some_and(|last| id <= last) {
                    continue;
                }
                self.last_event_id = Some(id);
            }
            complete.extend_from_slice(&event.bytes);
        }
        if !complete.is_empty() {
            self.waited = Duration::ZERO;
            if !self.is_origin_recorded {
                self.record_origin();
            }
        }
        Ok(complete.freeze())
    }

    /// Pins the stream to the build that made its first event, and records that build for hosts at
    /// which the caller may resume the stream.
    fn record_origin(&mut self) {
        self.is_origin_recorded = true;
        if self.job.build.is_none() {
            self.job.build = self.build.clone();
        }
        let metadata = &self.inbound.metadata;
        let resumes = metadata
            .resumes
            .as_ref()
            .filter(|_| metadata.resume_after.is_some());
        let request = resumes.or(metadata.id.as_ref());
        if let (Some(request), Some(build)) = (request, &self.job.build) {
            let record = Record {
                key: Key::new(request),
                build: build.clone(),
                ttl: self.resumable_until.saturating_sub(self.host.clock.now()),
            };
            self.host.record_origin(record, self.is_entry);
        }
    }

    /// Resumes a broken stream at another upstream, or returns `failure` and what stands in the way
    /// of that.
    async fn resume(&mut self, failure: Failure) -> Result<(), (Failure, String)> {
        if let Some(Source::Upstream(..)) = &self.source {
            Target::Upstream(self.upstream.clone()).exclude_from(&mut self.job);
        }
        self.give_up_source();
        self.discard_partial_event();
        let now = self.host.clock.now();
        if let Some(obstacle) = self.resume_obstacle(now) {
            return Err((failure, obstacle.to_owned()));
        }
        self.job.arrived_at = now;
        let opened = run_attempts(
            &self.host,
            &self.inbound,
            &mut self.job,
            &mut self.tries,
            self.last_event_id,
        )
        .await;
        let adopted = self.adopt(opened);
        adopted.map_err(|obstacle| (failure, obstacle.to_string()))
    }

    /// Whether it is known which build must go on with the answer: once an event was delivered, only
    /// the one that made it.
    fn is_build_known(&self) -> bool {
        self.byte_count == 0 || self.job.build.is_some()
    }

    /// Why another upstream may not go on with the answer; `None` if one may. Takes a retry out of
    /// the budget in that case.
    fn resume_obstacle(&self, now: Duration) -> Option<&'static str> {
        if !self.is_resumable() {
            Some("the kind of route")
        } else if !self.is_build_known() {
            Some("the build is not known")
        } else if self.tries.runs >= self.job.max_attempts {
            Some("no attempt is left")
        } else if self.job.deadline <= now + MIN_TIME_LEFT {
            Some("the deadline")
        } else if !self.host.core().withdraw_retry(now, &self.job.pool) {
            Some("the retry budget")
        } else {
            None
        }
    }

    /// Counts and logs the end of the answer, once.
    fn finish(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let now = self.host.clock.now();
        let first_ms = millis(self.opened_at.saturating_sub(self.arrived_at)) as u64;
        let total_ms = millis(now.saturating_sub(self.arrived_at)) as u64;
        self.host
            .metrics
            .head_seconds
            .observe(self.opened_at.saturating_sub(self.arrived_at).as_secs_f64());
        self.host
            .metrics
            .answered
            .get_or_create(&metric::AnsweredLabels {
                route: self.job.matched.route.name.to_string(),
                status: self.head.status.as_u16(),
            })
            .inc();
        let within_event = self.relay.is_within_event();
        if outcome == "whole" && !within_event && !self.host.should_log(self.inbound.id()) {
            return;
        }
        let framing = self
            .framing
            .map_or_else(|| "link".into(), |framing| framing.to_string());
        tracing::info!(event = "answered", request = self.inbound.id(), outcome,
            route = %self.job.matched.route.name, version = self.job.matched.edition.version.short(), long_version = self.job.matched.edition.version.long(),
            status = self.head.status.as_u16(), upstream = %self.upstream, framing, within_event, first_ms, total_ms,
            bytes = self.byte_count, runs = self.tries.runs, predicted_ms = self.tries.predicted_ms as u64,
            placed_ms = self.tries.placed_after.as_millis() as u64);
    }
}

/// The length of a body that its head states.
fn content_length(headers: &HeaderMap) -> Option<usize> {
    let length = headers.get(header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// The failure of an answer that brings nothing more in time.
fn stalled() -> Failure {
    Failure::new(Code::Deadline, Ran::Unknown, "the answer stalled")
}

/// The build that must serve a stream which a caller resumes. Fails if nobody knows it.
async fn required_build<D: Dialect, C: Clock>(
    host: &Host<D, C>,
    inbound: &Inbound,
    job: &Job,
) -> Result<name::Build, Failure> {
    if let Some(build) = &job.build {
        return Ok(build.clone());
    }
    let resumes = inbound.metadata.resumes.as_deref();
    let found = host.find_origin(inbound.id(), resumes, &job.pool).await;
    found.ok_or_else(|| {
        let wait = host.core().retry_after(host.clock.now(), job);
        let reason = "the build that began the stream is not known";
        Failure::not_run(Code::NoCapacity, reason).retry_after(wait)
    })
}

impl<D: Dialect, C: Clock> Drop for Answer<D, C> {
    fn drop(&mut self) {
        self.finish(if self.is_whole() {
            "whole"
        } else {
            "cancelled"
        });
    }
}
