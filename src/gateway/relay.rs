//! Relays the body of an answer to the caller or to the host that forwarded the call, and repeats
//! or resumes a broken answer where the exchange allows it.

use {
    super::{
        Call,
        attempts::{Answer, Attempts, Next},
        charge::Charge,
        events::{Decoder, Event as StreamEvent},
    },
    crate::{
        attempt::{Event, sse::Boundary},
        clock::Clock,
        config::Snapshot,
        failure::{Code, Failure, Ran},
        link::exchange::{self, Head},
        route::InFlight,
        upstream,
    },
    bytes::Bytes,
    std::{collections::VecDeque, sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Largest answer that is buffered until it is whole.
const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;
/// How long to wait for an upstream to close a stream after its end mark.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Media type of a stream of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Source of the body of an answer.
#[derive(Debug)]
pub(super) enum Source {
    Upstream(upstream::Body),
    Peer(Box<exchange::Body>),
}

impl Source {
    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        match self {
            Self::Upstream(body) => body.next().await,
            Self::Peer(body) => body.next().await,
        }
    }

    /// Whether only the end of the connection marks the end of the body.
    fn is_ended_by_close(&self) -> bool {
        match self {
            Self::Upstream(body) => body.framing() == upstream::Framing::Close,
            Self::Peer(_) => false,
        }
    }
}

/// How a body is relayed.
#[derive(Debug)]
enum Mode {
    /// As whole server-sent events.
    Events(Decoder),
    /// Buffered until it is whole, so that a broken answer can be requested again.
    Buffered(Vec<u8>),
    /// Chunk by chunk, as it arrives.
    Passthrough,
    /// Chunk by chunk, as it arrives; the body is a stream of server-sent events.
    Stream(Boundary),
}

impl Mode {
    /// Whether chunks are relayed as they arrive.
    fn is_immediate(&self) -> bool {
        matches!(self, Self::Passthrough | Self::Stream(_))
    }
}

/// Relay of one answer. The body is pulled chunk by chunk, so that a slow reader slows down the
/// upstream. Dropping the relay cancels the call.
#[derive(Debug)]
pub struct Relay<C: Clock> {
    attempts: Attempts<C>,
    answer: Answer<C>,
    mode: Mode,
    ready_chunks: VecDeque<Bytes>,
    /// Bytes of the body still to be relayed, if the head has a content length.
    bytes_left: Option<u64>,
    has_ended: bool,
    /// Whether an event of a stream was relayed, after which nothing but its events may follow.
    has_begun: bool,
    charge: Option<Charge<C>>,
    config: watch::Receiver<Option<Arc<Snapshot>>>,
}

impl<C: Clock> Relay<C> {
    pub(super) fn new(mut attempts: Attempts<C>, answer: Answer<C>) -> Self {
        attempts.keep_slot(&answer.head.pool);
        Self {
            config: attempts.gateway.dependencies().config.clone(),
            mode: relay_mode(&attempts.call, &answer.head),
            bytes_left: content_length(&answer.head),
            attempts,
            answer,
            ready_chunks: VecDeque::new(),
            has_ended: false,
            has_begun: false,
            charge: None,
        }
    }

    /// Adds the charge of the call, which is settled when the answer ends.
    pub(super) fn with_charge(mut self, charge: Option<Charge<C>>) -> Self {
        self.charge = charge;
        self.settle_if_ended();
        self
    }

    /// The call that is being answered.
    pub fn call(&self) -> &Call {
        &self.attempts.call
    }

    /// Returns the head of the answer. Unless the body is passed through, it waits for the first
    /// chunk: until then a failed attempt can be repeated without the caller seeing it.
    pub(super) async fn head(&mut self) -> Result<Head, Failure> {
        if !self.mode.is_immediate() || self.bytes_left == Some(0) {
            self.fill().await?;
            self.settle_if_ended();
        }
        Ok(self.answer.head.clone())
    }

    /// Returns the next chunk, or `None` at the end of a whole body. Fails at the deadline and when
    /// the key is withdrawn.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        self.fill().await?;
        let chunk = self.ready_chunks.pop_front();
        if let Some(bytes) = &chunk {
            self.record_relayed(bytes).await?;
        }
        self.settle_if_ended();
        Ok(chunk)
    }

    /// Accounts for a chunk that is relayed. Once the content length is reached, the reader asks
    /// for no further chunk, so this waits for the end of the body itself.
    async fn record_relayed(&mut self, bytes: &Bytes) -> Result<(), Failure> {
        if let Some(charge) = &mut self.charge {
            charge.record_chunk(bytes);
        }
        let bytes_left = self.bytes_left.as_mut();
        let Some(bytes_left) = bytes_left else {
            return Ok(());
        };
        *bytes_left = bytes_left.saturating_sub(bytes.len() as u64);
        if *bytes_left == 0 {
            self.fill().await?;
        }
        Ok(())
    }

    /// Settles the call once its whole answer has been relayed.
    fn settle_if_ended(&mut self) {
        if !self.has_ended || !self.ready_chunks.is_empty() {
            return;
        }
        self.answer
            .in_flight
            .take()
            .into_iter()
            .for_each(InFlight::finish);
        self.attempts.settle_done(self.answer.head.status);
        let used = self.charge.take().and_then(Charge::finish);
        self.attempts.settle_slot(&self.answer.head.pool, used);
    }

    /// Pulls until a chunk is ready or the body has ended.
    async fn fill(&mut self) -> Result<(), Failure> {
        while self.ready_chunks.is_empty() && !self.has_ended {
            self.pull().await?;
        }
        Ok(())
    }

    /// Waits for the next chunk, the next tick of the exchange or the withdrawal of the key.
    async fn pull(&mut self) -> Result<(), Failure> {
        let wait = self.attempts.time_until_wake();
        // A chunk that is there already goes before the deadline.
        if self.attempts.is_overdue() && self.tick().await? {
            return Ok(());
        }
        let chunk = tokio::select! {
            biased;
            failure = wait_for_withdrawal(&mut self.config, &self.attempts.call) => {
                drop(self.answer.in_flight.take());
                return Err(self.attempts.fail_withdrawn(failure));
            }
            chunk = self.answer.source.next() => chunk,
            () = sleep(wait) => return self.tick().await.map(drop),
        };
        match chunk {
            Ok(chunk) => self.receive_chunk(chunk).await,
            Err(failure) => self.retry_broken(failure).await,
        }
    }

    async fn receive_chunk(&mut self, chunk: Option<Bytes>) -> Result<(), Failure> {
        match chunk {
            Some(bytes) => self.receive(bytes).await,
            None => self.receive_end().await,
        }
    }

    /// Handles the timers of the exchange that are due. Returns whether there was anything to do.
    async fn tick(&mut self) -> Result<bool, Failure> {
        let actions = self.attempts.tick();
        if actions.is_empty() {
            return Ok(false);
        }
        let attempt = self.answer.attempt;
        let rest = self.answer.source.next();
        match self.attempts.run(actions, Some(attempt), rest).await {
            Ok(Next::Rest(chunk)) => {
                self.attempts.keep_slot(&self.answer.head.pool);
                self.receive_chunk(chunk).await?;
            }
            Ok(Next::Answer(answer)) => {
                self.fail_in_flight();
                self.continue_with(*answer).await?;
            }
            Err(failure) => {
                if failure.code != Code::KeyWithdrawn {
                    self.fail_in_flight();
                }
                return Err(failure);
            }
        }
        Ok(true)
    }

    /// Counts the present answer as a failure of its upstream.
    fn fail_in_flight(&mut self) {
        let in_flight = self.answer.in_flight.take();
        in_flight.into_iter().for_each(InFlight::fail);
    }

    async fn receive(&mut self, bytes: Bytes) -> Result<(), Failure> {
        let attempt = self.answer.attempt;
        if let Mode::Stream(boundary) = &mut self.mode {
            boundary.push(&bytes);
        }
        match &mut self.mode {
            Mode::Passthrough | Mode::Stream(_) => {
                let tokens = bytes.len() as u64;
                self.ready_chunks.push_back(bytes);
                self.attempts.step(Event::Chunk { attempt, tokens });
                Ok(())
            }
            Mode::Buffered(buffer) if buffer.len() + bytes.len() > MAX_BUFFERED_BYTES => {
                self.retry_broken(upstream_failure("the answer is too long"))
                    .await
            }
            Mode::Buffered(buffer) => {
                buffer.extend_from_slice(&bytes);
                // Counts as progress for the idle timeout, but nothing is relayed yet.
                self.attempts.step(Event::Chunk { attempt, tokens: 0 });
                Ok(())
            }
            Mode::Events(events) => match events.push(&bytes) {
                Ok(decoded) => {
                    for event in decoded {
                        self.receive_event(event).await;
                    }
                    Ok(())
                }
                Err(error) => {
                    self.retry_broken(upstream_failure(&error.to_string()))
                        .await
                }
            },
        }
    }

    async fn receive_event(&mut self, event: StreamEvent) {
        self.has_begun = true;
        let attempt = self.answer.attempt;
        match event {
            StreamEvent::Token(bytes) => {
                self.attempts.step(Event::Chunk { attempt, tokens: 1 });
                self.ready_chunks.push_back(bytes);
            }
            StreamEvent::Other(bytes) => self.ready_chunks.push_back(bytes),
            StreamEvent::Done(bytes) => {
                self.attempts.step(Event::End { attempt });
                self.ready_chunks.push_back(bytes);
                self.has_ended = true;
                // Reads the body to its end, so that the connection can be reused.
                timeout(CLOSE_TIMEOUT, self.answer.source.next()).await.ok();
            }
        }
    }

    async fn receive_end(&mut self) -> Result<(), Failure> {
        let attempt = self.answer.attempt;
        match &mut self.mode {
            Mode::Events(_) => {
                return self
                    .retry_broken(upstream_failure("the stream ended without its end mark"))
                    .await;
            }
            Mode::Stream(boundary) if boundary.is_within_event() => {
                return self
                    .retry_broken(upstream_failure("the stream ended within an event"))
                    .await;
            }
            // The format of an error is not known.
            Mode::Buffered(buffer)
                if self.answer.head.status == 200
                    && self.answer.source.is_ended_by_close()
                    && !is_json(buffer) =>
            {
                return self
                    .retry_broken(upstream_failure("the answer ended within its JSON"))
                    .await;
            }
            Mode::Buffered(buffer) => self.ready_chunks.push_back(std::mem::take(buffer).into()),
            Mode::Passthrough | Mode::Stream(_) => {}
        }
        self.attempts.step(Event::End { attempt });
        self.has_ended = true;
        Ok(())
    }

    async fn retry_broken(&mut self, failure: Failure) -> Result<(), Failure> {
        self.fail_in_flight();
        let answer = self
            .attempts
            .retry_broken(self.answer.attempt, failure)
            .await?;
        self.continue_with(answer).await
    }

    /// Continues with the answer of another attempt, which follows on what is already relayed. An error
    /// can't follow on a stream that has begun, so it is a failed attempt.
    async fn continue_with(&mut self, mut answer: Answer<C>) -> Result<(), Failure> {
        while self.has_begun && answer.head.status != 200 {
            let status = answer.head.status;
            let in_flight = answer.in_flight.take();
            in_flight.into_iter().for_each(InFlight::fail);
            let failure = upstream_failure(&format!("the stream could not go on: status {status}"));
            answer = self.attempts.retry_broken(answer.attempt, failure).await?;
        }
        self.attempts.keep_slot(&answer.head.pool);
        self.mode = relay_mode(&self.attempts.call, &answer.head);
        self.answer = answer;
        Ok(())
    }
}

fn relay_mode(call: &Call, head: &Head) -> Mode {
    match (&call.model_request, head.status) {
        (Some(model_request), 200) if model_request.stream => Mode::Events(Decoder::default()),
        (Some(_), _) => Mode::Buffered(Vec::new()),
        (None, 200..300) if is_event_stream(head) => Mode::Stream(Boundary::default()),
        (None, _) => Mode::Passthrough,
    }
}

fn is_json(body: &[u8]) -> bool {
    serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
}

fn upstream_failure(message: &str) -> Failure {
    Failure::new(Code::UpstreamFailed, Ran::Unknown, message)
}

/// Waits until the call's key is withdrawn, and returns the failure for the caller.
pub(super) async fn wait_for_withdrawal(
    config: &mut watch::Receiver<Option<Arc<Snapshot>>>,
    call: &Call,
) -> Failure {
    loop {
        let is_valid = match &*config.borrow_and_update() {
            Some(snapshot) => call.has_valid_key(snapshot),
            None => true,
        };
        if !is_valid {
            let message = "the key was withdrawn while the work ran";
            return Failure::new(Code::KeyWithdrawn, Ran::Yes, message);
        }
        if config.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Content length of the body, if the head has one.
fn content_length(head: &Head) -> Option<u64> {
    header(head, "content-length")?.parse().ok()
}

fn is_event_stream(head: &Head) -> bool {
    let media_type = header(head, "content-type").and_then(|value| value.split(';').next());
    media_type.is_some_and(|media_type| media_type.trim().eq_ignore_ascii_case(EVENT_STREAM))
}

fn header<'a>(head: &'a Head, name: &str) -> Option<&'a str> {
    let header = head.headers.iter().find(|header| header.name == name)?;
    std::str::from_utf8(&header.value).ok()
}
