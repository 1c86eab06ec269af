//! Forwarded calls: one exchange at a time on a connection, so that TCP's flow control carries
//! back-pressure from a slow caller to the upstream, and closing it cancels the work.

use {
    super::socket::{Identity, Purpose, Socket},
    crate::{
        failure::{Code, Failure, Ran},
        name, wire,
    },
    bytes::Bytes,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::Instant,
};

/// Idle connections kept for one peer.
const IDLE_PER_PEER: usize = 32;
/// An idle connection older than this is not used again.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// For a call that may not be repeated an idle connection must be younger than this, lest it has
/// gone silent unnoticed.
const FRESH_LIMIT: Duration = Duration::from_secs(1);

/// Opens exchanges and keeps idle connections.
#[derive(Debug, Clone)]
pub struct Client {
    identity: Identity,
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<Idle>>>>,
    next: Arc<AtomicU64>,
    crossed: Arc<AtomicU64>,
}

#[derive(Debug)]
struct Idle {
    socket: Socket,
    since: Instant,
}

/// The head of a forwarded call's answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Headers that may reach the caller.
    pub headers: Vec<wire::Header>,
    /// The upstream that answers.
    pub upstream: name::Upstream,
    /// The pool it belongs to.
    pub pool: name::Pool,
}

/// The body of a forwarded call's answer. Dropping it before its end cancels the work.
#[derive(Debug)]
pub struct Body {
    socket: Option<Socket>,
    id: wire::Id,
    address: SocketAddr,
    client: Client,
}

impl Client {
    /// A client without connections.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            idle: Arc::default(),
            next: Arc::default(),
            crossed: Arc::default(),
        }
    }

    /// Answers that came late or crossed and were dropped.
    pub fn crossed(&self) -> u64 {
        self.crossed.load(Ordering::Relaxed)
    }

    /// Forwards a call to the peer at `address` and waits for the head of its answer.
    pub async fn open(
        &self,
        address: SocketAddr,
        call: wire::Call,
        repeatable: bool,
    ) -> Result<(Head, Body), Failure> {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let mut socket = self.socket(address, repeatable).await?;
        let ask = wire::Ask::Call {
            id,
            call: Box::new(call),
        };
        socket
            .send(&ask)
            .await
            .map_err(|error| Failure::not_run(Code::Unreachable, format!("forwarding: {error}")))?;
        let mut body = Body {
            socket: Some(socket),
            id,
            address,
            client: self.clone(),
        };
        match body.answer().await? {
            wire::Answer::Head {
                status,
                headers,
                upstream,
                pool,
                ..
            } => {
                let head = Head {
                    status,
                    headers,
                    upstream,
                    pool,
                };
                Ok((head, body))
            }
            wire::Answer::Fail { failure, .. } => {
                body.keep();
                Err(failure)
            }
            wire::Answer::Data { .. } | wire::Answer::End { .. } => {
                Err(broken("the peer's answer has no head"))
            }
        }
    }

    async fn socket(&self, address: SocketAddr, repeatable: bool) -> Result<Socket, Failure> {
        let limit = if repeatable { IDLE_LIMIT } else { FRESH_LIMIT };
        if let Some(socket) = self.take(address, limit) {
            return Ok(socket);
        }
        Socket::connect(address, Purpose::Exchange, &self.identity)
            .await
            .map_err(|error| Failure::not_run(Code::Unreachable, error.to_string()))
    }

    /// The youngest idle connection, if it is younger than `limit`; all older ones are closed
    /// when they pass the idle limit.
    fn take(&self, address: SocketAddr, limit: Duration) -> Option<Socket> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let sockets = idle.get_mut(&address)?;
        sockets.retain(|idle| idle.since.elapsed() < IDLE_LIMIT);
        if sockets.last()?.since.elapsed() >= limit {
            return None;
        }
        sockets.pop().map(|idle| idle.socket)
    }

    fn put(&self, address: SocketAddr, socket: Socket) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let sockets = idle.entry(address).or_default();
        if sockets.len() < IDLE_PER_PEER {
            sockets.push(Idle {
                socket,
                since: Instant::now(),
            });
        }
    }
}

impl Body {
    /// The next piece, or `None` at the end of a whole body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        match self.answer().await? {
            wire::Answer::Data { bytes, .. } => Ok(Some(bytes)),
            wire::Answer::End { .. } => {
                self.keep();
                Ok(None)
            }
            wire::Answer::Fail { failure, .. } => {
                self.keep();
                Err(failure)
            }
            wire::Answer::Head { .. } => Err(broken("the peer's answer has two heads")),
        }
    }

    /// The next answer of this exchange; others are dropped and counted.
    async fn answer(&mut self) -> Result<wire::Answer, Failure> {
        let socket = self
            .socket
            .as_mut()
            .ok_or_else(|| broken("the exchange has ended"))?;
        loop {
            match socket.receive::<wire::Answer>().await {
                Ok(Some(answer)) if answer.id() == self.id => return Ok(answer),
                Ok(Some(_)) => {
                    self.client.crossed.fetch_add(1, Ordering::Relaxed);
                }
                Ok(None) => {
                    self.socket = None;
                    return Err(broken("the peer closed the connection"));
                }
                Err(error) => {
                    self.socket = None;
                    return Err(broken(&error.to_string()));
                }
            }
        }
    }

    /// Gives the connection back for the next exchange.
    fn keep(&mut self) {
        if let Some(socket) = self.socket.take() {
            self.client.put(self.address, socket);
        }
    }
}

fn broken(reason: &str) -> Failure {
    Failure::new(Code::UpstreamFailed, Ran::Unknown, reason)
}
