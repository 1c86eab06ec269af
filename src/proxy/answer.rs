//! An answer on its way to the caller: whole answers, and streams that are taken up again.

use {
    super::{
        dialect::{Dialect, Metadata},
        host::{Head, Host, RunningGuard},
        place::Job,
        replica::{Outcome, millis},
        send::{MIN_TIME_LEFT, Source, Tries, run_attempts, upstream_failed},
        table::Kind,
    },
    crate::{
        attempt::sse::Splitter,
        clock::Clock,
        failure::{Code, Failure, Ran},
        metric, name,
    },
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, Method, StatusCode},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Silence within a stream after which it is taken up elsewhere.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A request as it came.
#[derive(Debug)]
pub struct Inbound {
    /// What its head says.
    pub metadata: Metadata,
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Its headers, without those of the connection and without the key.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

impl Inbound {
    /// The id for logs.
    pub fn id(&self) -> &str {
        self.metadata.id.as_deref().unwrap_or("-")
    }
}

/// An answer on its way to the caller. Dropping it before its end cancels the work.
#[derive(Debug)]
pub struct Answer<D: Dialect, C: Clock> {
    host: Host<D, C>,
    inbound: Arc<Inbound>,
    job: Job,
    head: Head,
    first: Option<Bytes>,
    source: Option<Source<D, C>>,
    upstream: name::Upstream,
    tries: Tries,
    splitter: Option<Splitter>,
    last_event_id: Option<u64>,
    arrived_at: Duration,
    opened_at: Duration,
    byte_count: usize,
    is_finished: bool,
    _running: RunningGuard<D, C>,
}

impl<D: Dialect, C: Clock> Answer<D, C> {
    /// Serves a request, up to the first byte of its answer.
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
        let left = job.deadline.saturating_sub(now);
        let resume = inbound.metadata.resume_after;
        let opened = timeout(
            left,
            run_attempts(&host, &inbound, &mut job, &mut tries, resume),
        )
        .await;
        let late = Failure::not_run(Code::Deadline, "no answer within the deadline");
        let opened = opened
            .unwrap_or(Err(late))
            .map_err(|failure| tries.account_for_runs(failure))?;
        let resumable =
            job.matched.route.kind == Kind::Resumable && opened.head.status.is_success();
        Ok(Self {
            splitter: resumable.then(Splitter::new),
            last_event_id: resume,
            arrived_at: job.arrived_at,
            opened_at: host.clock.now(),
            byte_count: 0,
            is_finished: false,
            head: opened.head,
            first: opened.first,
            source: opened.source,
            upstream: opened.upstream,
            host,
            inbound,
            job,
            tries,
            _running: running,
        })
    }

    /// HTTP status.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Headers that may reach the caller.
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// The upstream that answers.
    pub fn upstream(&self) -> &name::Upstream {
        &self.upstream
    }

    /// Its pool.
    pub fn pool(&self) -> &name::Pool {
        &self.job.pool
    }

    /// The whole body, if it is already here.
    pub fn take_body(&mut self) -> Option<Bytes> {
        if self.source.is_some() || self.splitter.is_some() {
            return None;
        }
        let whole = self.first.take().unwrap_or_default();
        self.byte_count = whole.len();
        self.finish("whole");
        Some(whole)
    }

    /// The next piece, or `None` at the end of a whole answer.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let piece = match self.first.take() {
                Some(first) => Ok(Some(first)),
                None => self.next_piece().await,
            };
            let failure = match piece {
                Ok(Some(bytes)) => match self.undelivered(bytes) {
                    Ok(bytes) if bytes.is_empty() => continue,
                    Ok(bytes) => {
                        self.byte_count += bytes.len();
                        return Ok(Some(bytes));
                    }
                    Err(failure) => failure,
                },
                Ok(None) if self.is_partial() => {
                    upstream_failed("the stream ended within an event")
                }
                Ok(None) => {
                    if let Some(Source::Upstream(_, reservation)) = &mut self.source {
                        reservation.outcome = Outcome::Success;
                    }
                    self.source = None;
                    self.finish("whole");
                    return Ok(None);
                }
                Err(failure) => failure,
            };
            if let Err(failure) = self.resume(failure).await {
                self.source = None;
                self.finish("broken");
                tracing::warn!(event = "broken", request = self.inbound.id(), upstream = %self.upstream,
                    bytes = self.byte_count, reason = %failure, "an answer broke off");
                super::host::count_failure(&self.host.metrics, &failure);
                return Err(failure);
            }
        }
    }

    fn is_partial(&self) -> bool {
        self.splitter.as_ref().is_some_and(Splitter::is_partial)
    }

    async fn next_piece(&mut self) -> Result<Option<Bytes>, Failure> {
        let left = self.job.deadline.saturating_sub(self.host.clock.now());
        let silence = if self.splitter.is_some() {
            left.min(STREAM_IDLE_TIMEOUT)
        } else {
            left
        };
        let Some(source) = &mut self.source else {
            return Ok(None);
        };
        let piece = match source {
            Source::Upstream(body, reservation) => {
                let piece = timeout(silence, body.next()).await;
                if let Ok(Ok(_)) = piece {
                    reservation.note_progress();
                }
                piece
            }
            Source::Peer(body) => timeout(silence, body.next()).await,
        };
        piece.unwrap_or_else(|_| {
            Err(Failure::new(
                Code::Deadline,
                Ran::Unknown,
                "the answer stalled",
            ))
        })
    }

    /// The bytes that may be passed on now: all of them, or whole events the caller lacks.
    fn undelivered(&mut self, bytes: Bytes) -> Result<Bytes, Failure> {
        let Some(splitter) = &mut self.splitter else {
            return Ok(bytes);
        };
        let events = splitter
            .push(&bytes)
            .map_err(|error| upstream_failed(&error.to_string()))?;
        let mut whole = BytesMut::new();
        for event in events {
            if let Some(id) = event.id() {
                if self.last_event_id.is_some_and(|last| id <= last) {
                    continue;
                }
                self.last_event_id = Some(id);
            }
            whole.extend_from_slice(&event.bytes);
        }
        Ok(whole.freeze())
    }

    /// Takes a broken stream up elsewhere, if it may be.
    async fn resume(&mut self, failure: Failure) -> Result<(), Failure> {
        if let Some(Source::Upstream(_, reservation)) = &mut self.source {
            reservation.outcome = Outcome::Broken;
            let failed = reservation.grant.upstream.clone();
            self.job.tried.push(failed);
        }
        self.source = None;
        let now = self.host.clock.now();
        let more = self.splitter.is_some() && self.tries.runs < self.job.attempts;
        if !more || self.job.deadline <= now + MIN_TIME_LEFT {
            return Err(failure);
        }
        if !self.host.core().withdraw_retry(now, &self.job.pool) {
            return Err(failure);
        }
        self.splitter = Some(Splitter::new());
        self.job.arrived_at = now;
        let left = self.job.deadline.saturating_sub(self.job.arrived_at);
        let attempts = run_attempts(
            &self.host,
            &self.inbound,
            &mut self.job,
            &mut self.tries,
            self.last_event_id,
        );
        let opened = timeout(left, attempts).await.map_err(|_| failure.clone())?;
        let opened = opened.map_err(|_| failure)?;
        if !opened.head.status.is_success() {
            return Err(upstream_failed("the stream could not be taken up"));
        }
        tracing::info!(event = "resumed", request = self.inbound.id(), after = self.last_event_id,
            from = %self.upstream, upstream = %opened.upstream, "stream taken up elsewhere");
        self.first = opened.first;
        self.source = opened.source;
        self.upstream = opened.upstream;
        Ok(())
    }

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
        if outcome == "whole" && !self.host.should_log(self.inbound.id()) {
            return;
        }
        tracing::info!(event = "answered", request = self.inbound.id(), outcome,
            route = %self.job.matched.route.name, version = self.job.matched.version,
            status = self.head.status.as_u16(), upstream = %self.upstream, first_ms, total_ms,
            bytes = self.byte_count, runs = self.tries.runs, predicted_ms = self.tries.predicted_ms as u64,
            placed_ms = self.tries.placed_after.as_millis() as u64);
    }
}

impl<D: Dialect, C: Clock> Drop for Answer<D, C> {
    fn drop(&mut self) {
        self.finish("cancelled");
    }
}
