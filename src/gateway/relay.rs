//! An answer's body on its way to the caller or to the host that forwarded the call.

use {
    super::{
        Call,
        attempts::{Attempts, Begun},
        charge::Charge,
        events::{Events, Item},
    },
    crate::{
        attempt::Event,
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

/// Longest answer that is held until it is whole, in bytes.
const WHOLE_LIMIT: usize = 8 * 1024 * 1024;
/// How long an upstream may take to close a stream whose end mark has come.
const CLOSE_PAUSE: Duration = Duration::from_millis(200);

/// Where the body comes from.
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
}

/// How a body is relayed.
#[derive(Debug)]
enum Mode {
    /// Event by event.
    Events(Events),
    /// Held until it is whole, so that a broken one can be had again.
    Whole(Vec<u8>),
    /// Piece by piece.
    Pieces,
}

/// A body being relayed. It is pulled piece by piece, so that a slow reader slows the upstream;
/// dropping it cancels the work.
#[derive(Debug)]
pub struct Flow<C: Clock> {
    attempts: Attempts<C>,
    begun: Begun<C>,
    mode: Mode,
    ready: VecDeque<Bytes>,
    /// Bytes that are still to come, where the head says how many.
    left: Option<u64>,
    ended: bool,
    charge: Option<Charge<C>>,
    config: watch::Receiver<Option<Arc<Snapshot>>>,
}

impl<C: Clock> Flow<C> {
    pub(super) fn new(attempts: Attempts<C>, begun: Begun<C>) -> Self {
        Self {
            config: attempts.gateway.parts().config.clone(),
            mode: mode(&attempts.call, &begun.head),
            left: length(&begun.head),
            attempts,
            begun,
            ready: VecDeque::new(),
            ended: false,
            charge: None,
        }
    }

    /// The same, with what the call was charged.
    pub(super) fn charged(mut self, charge: Option<Charge<C>>) -> Self {
        self.charge = charge;
        self.settle_if_ended();
        self
    }

    /// The call that is answered.
    pub fn call(&self) -> &Call {
        &self.attempts.call
    }

    /// The head of the answer, once its first piece is there where the piece could still fail
    /// unseen by the caller.
    pub(super) async fn head(&mut self) -> Result<Head, Failure> {
        if !matches!(self.mode, Mode::Pieces) || self.left == Some(0) {
            self.fill().await?;
            self.settle_if_ended();
        }
        Ok(self.begun.head.clone())
    }

    /// The next piece, or `None` at the end of a whole body. Ends with a failure at the deadline,
    /// after a long pause, and when the key is withdrawn.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        self.fill().await?;
        let piece = self.ready.pop_front();
        if let Some(bytes) = &piece {
            self.pass(bytes).await?;
        }
        self.settle_if_ended();
        Ok(piece)
    }

    /// Notes a piece that goes out. Once the length that the head told is reached nobody asks for
    /// the end any more, so it is looked for here.
    async fn pass(&mut self, bytes: &Bytes) -> Result<(), Failure> {
        if let Some(charge) = &mut self.charge {
            charge.observe(bytes);
        }
        let left = self.left.as_mut();
        let Some(left) = left else {
            return Ok(());
        };
        *left = left.saturating_sub(bytes.len() as u64);
        if *left == 0 {
            self.fill().await?;
        }
        Ok(())
    }

    /// Settles the call once its whole answer has gone out.
    fn settle_if_ended(&mut self) {
        if !self.ended || !self.ready.is_empty() {
            return;
        }
        self.begun
            .sent
            .take()
            .into_iter()
            .for_each(InFlight::finished);
        self.attempts.settle_done(self.begun.head.status);
        let used = self.charge.take().and_then(Charge::finish);
        if let (Some(slot), Some(used)) = (&mut self.begun.slot, used) {
            slot.settle(used as u64);
        }
    }

    /// Pulls until a piece is ready or the body has ended.
    async fn fill(&mut self) -> Result<(), Failure> {
        while self.ready.is_empty() && !self.ended {
            self.pull().await?;
        }
        Ok(())
    }

    async fn pull(&mut self) -> Result<(), Failure> {
        let pause = self.attempts.pause();
        let piece = tokio::select! {
            biased;
            failure = withdrawn(&mut self.config, &self.attempts.call) => {
                drop(self.begun.sent.take());
                return Err(self.attempts.withdraw(failure));
            }
            piece = self.begun.source.next() => piece,
            () = sleep(pause) => return self.tick().await,
        };
        match piece {
            Ok(Some(bytes)) => self.take(bytes).await,
            Ok(None) => self.end().await,
            Err(failure) => self.broken(failure).await,
        }
    }

    async fn tick(&mut self) -> Result<(), Failure> {
        let actions = self.attempts.tick();
        if actions.is_empty() {
            return Ok(());
        }
        self.begun
            .sent
            .take()
            .into_iter()
            .for_each(InFlight::failed);
        let begun = self.attempts.proceed(actions).await?;
        self.go_on(begun);
        Ok(())
    }

    async fn take(&mut self, bytes: Bytes) -> Result<(), Failure> {
        let attempt = self.begun.attempt;
        match &mut self.mode {
            Mode::Pieces => {
                let tokens = bytes.len() as u64;
                self.ready.push_back(bytes);
                self.attempts.step(Event::Chunk { attempt, tokens });
                Ok(())
            }
            Mode::Whole(held) if held.len() + bytes.len() > WHOLE_LIMIT => {
                self.broken(unusable("the answer is too long")).await
            }
            Mode::Whole(held) => {
                held.extend_from_slice(&bytes);
                // Keeps the progress deadline moving without opening the answer.
                self.attempts.step(Event::Chunk { attempt, tokens: 0 });
                Ok(())
            }
            Mode::Events(events) => match events.push(&bytes) {
                Ok(items) => {
                    for item in items {
                        self.item(item).await;
                    }
                    Ok(())
                }
                Err(error) => self.broken(unusable(&error.to_string())).await,
            },
        }
    }

    async fn item(&mut self, item: Item) {
        let attempt = self.begun.attempt;
        match item {
            Item::Token(bytes) => {
                self.attempts.step(Event::Chunk { attempt, tokens: 1 });
                self.ready.push_back(bytes);
            }
            Item::Other(bytes) => self.ready.push_back(bytes),
            Item::Done(bytes) => {
                self.attempts.step(Event::End { attempt });
                self.ready.push_back(bytes);
                self.ended = true;
                // Reads to the end, so that the connection can be kept.
                timeout(CLOSE_PAUSE, self.begun.source.next()).await.ok();
            }
        }
    }

    async fn end(&mut self) -> Result<(), Failure> {
        let attempt = self.begun.attempt;
        match &mut self.mode {
            Mode::Events(_) => {
                return self
                    .broken(unusable("the stream ended without its end mark"))
                    .await;
            }
            Mode::Whole(held) => self.ready.push_back(std::mem::take(held).into()),
            Mode::Pieces => {}
        }
        self.attempts.step(Event::End { attempt });
        self.ended = true;
        Ok(())
    }

    async fn broken(&mut self, failure: Failure) -> Result<(), Failure> {
        self.begun
            .sent
            .take()
            .into_iter()
            .for_each(InFlight::failed);
        self.begun.slot = None;
        let begun = self.attempts.broken(self.begun.attempt, failure).await?;
        self.go_on(begun);
        Ok(())
    }

    /// Goes on with another attempt, which takes up the answer where the last one left it.
    fn go_on(&mut self, begun: Begun<C>) {
        self.mode = mode(&self.attempts.call, &begun.head);
        self.begun = begun;
    }
}

fn mode(call: &Call, head: &Head) -> Mode {
    match (&call.ask, head.status) {
        (Some(ask), 200) if ask.stream => Mode::Events(Events::default()),
        (Some(_), _) => Mode::Whole(Vec::new()),
        (None, _) => Mode::Pieces,
    }
}

fn unusable(message: &str) -> Failure {
    Failure::new(Code::UpstreamFailed, Ran::Unknown, message)
}

/// Waits until the call's key is withdrawn.
pub(super) async fn withdrawn(
    config: &mut watch::Receiver<Option<Arc<Snapshot>>>,
    call: &Call,
) -> Failure {
    loop {
        let holds = match &*config.borrow_and_update() {
            Some(snapshot) => call.key_holds(snapshot),
            None => true,
        };
        if !holds {
            let message = "the key was withdrawn while the work ran";
            return Failure::new(Code::KeyWithdrawn, Ran::Yes, message);
        }
        if config.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// The body's length, where the head tells it.
fn length(head: &Head) -> Option<u64> {
    let header = head
        .headers
        .iter()
        .find(|header| header.name == "content-length")?;
    std::str::from_utf8(&header.value).ok()?.parse().ok()
}
