//! Forwarded calls: one exchange at a time on a connection, so that TCP's flow control carries
//! back-pressure from a slow caller to the upstream, and closing it cancels the work.

use {
    super::socket::{Identity, IdleState, Purpose, Socket},
    crate::{
        failure::{Code, Failure, Ran},
        name, wire,
    },
    bytes::Bytes,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::Instant,
};

/// Idle connections kept for one peer.
const MAX_IDLE_PER_PEER: usize = 32;
/// Connections that are kept ready for each peer that calls are forwarded to: as many as begin
/// within the two round trips that another one takes, but for bursts.
const READY_PER_PEER: usize = 3;
/// How long after a peer was heard on an idle connection it is asked for a sign of life.
const PING_AFTER: Duration = Duration::from_secs(2);
/// An idle connection on which the peer was silent for longer is not used again.
const MAX_SILENCE: Duration = Duration::from_secs(20);
/// For a call that may not be repeated the peer must have been heard within this, lest the
/// connection has gone silent unnoticed: the time until a ping, its way and back, and a look at it.
const MAX_SILENCE_UNREPEATABLE: Duration = Duration::from_secs(4);

/// Opens exchanges and keeps idle connections.
#[derive(Debug, Clone)]
pub struct Client {
    identity: Identity,
    connections: Arc<Mutex<Connections>>,
    next_id: Arc<AtomicU64>,
    mismatched_answers: Arc<AtomicU64>,
}

/// Connections that wait for a call.
#[derive(Debug, Default)]
struct Connections {
    idle: BTreeMap<SocketAddr, Vec<Idle>>,
    /// Peers for which some are kept ready.
    warm_peers: BTreeSet<SocketAddr>,
    /// How many are being opened in the background.
    connecting: BTreeMap<SocketAddr, usize>,
}

#[derive(Debug)]
struct Idle {
    socket: Socket,
    /// When the peer was last heard on it.
    last_heard_at: Instant,
    /// It was asked for a sign of life last_heard_at.
    ping_pending: bool,
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
    id: wire::ExchangeId,
    address: SocketAddr,
    client: Client,
}

impl Client {
    /// A client without connections.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            connections: Arc::default(),
            next_id: Arc::default(),
            mismatched_answers: Arc::default(),
        }
    }

    /// Answers that came late or mismatched_answers and were dropped.
    pub fn mismatched_answers(&self) -> u64 {
        self.mismatched_answers.load(Ordering::Relaxed)
    }

    /// Forwards a call to the peer at `address` and waits for the head of its answer.
    pub async fn open(
        &self,
        address: SocketAddr,
        call: wire::Call,
        is_repeatable: bool,
    ) -> Result<(Head, Body), Failure> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let mut socket = self.acquire(address, is_repeatable).await?;
        let request = wire::Request::Call {
            id,
            call: Box::new(call),
        };
        socket
            .send(&request)
            .await
            .map_err(|error| Failure::not_run(Code::Unreachable, format!("forwarding: {error}")))?;
        let mut body = Body {
            socket: Some(socket),
            id,
            address,
            client: self.clone(),
        };
        match body.next_answer().await? {
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
                body.release();
                Err(failure)
            }
            wire::Answer::Data { .. } | wire::Answer::End { .. } => {
                Err(broken_exchange("the peer's answer has no head"))
            }
        }
    }

    /// Keeps connections ready for these peers and no others: opening one takes two round trips.
    /// Called again and again, it also closes those that can't be used any more.
    pub fn keep_warm(&self, peers: BTreeSet<SocketAddr>) {
        let addresses: Vec<_> = peers.iter().copied().collect();
        self.connections().set_warm_peers(peers);
        for address in addresses {
            self.replenish(address);
        }
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens in the background what is missing of a peer's ready connections.
    fn replenish(&self, address: SocketAddr) {
        let missing = self.connections().reserve_missing(address);
        for _ in 0..missing {
            let client = self.clone();
            tokio::spawn(async move {
                let connect = Socket::connect(address, Purpose::Exchange, &client.identity);
                let connected = connect.await;
                let mut connections = client.connections();
                connections
                    .connecting
                    .entry(address)
                    .and_modify(|count| *count -= 1);
                match connected {
                    Ok(socket) => connections.add_idle(address, socket),
                    Err(error) => tracing::debug!(%error, "no connection is kept ready"),
                }
            });
        }
    }

    async fn acquire(&self, address: SocketAddr, is_repeatable: bool) -> Result<Socket, Failure> {
        let limit = if is_repeatable {
            MAX_SILENCE
        } else {
            MAX_SILENCE_UNREPEATABLE
        };
        let idle = self.connections().checkout(address, limit);
        self.replenish(address);
        if let Some(socket) = idle {
            return Ok(socket);
        }
        Socket::connect(address, Purpose::Exchange, &self.identity)
            .await
            .map_err(|error| Failure::not_run(Code::Unreachable, error.to_string()))
    }

    /// Connections that are ready for a peer.
    pub fn ready_count(&self, address: SocketAddr) -> usize {
        self.connections().idle.get(&address).map_or(0, Vec::len)
    }
}

impl Connections {
    /// Sets the peers for which connections are kept ready, closes what can't be used, and pings
    /// the wanted ones that were not heard for a while.
    fn set_warm_peers(&mut self, warm_peers: BTreeSet<SocketAddr>) {
        self.warm_peers = warm_peers;
        self.idle.retain(|_, sockets| {
            sockets.retain_mut(Idle::is_usable);
            !sockets.is_empty()
        });
        for address in &self.warm_peers {
            let sockets = self.idle.get_mut(address).into_iter().flatten();
            sockets.for_each(Idle::ping);
        }
    }

    /// How many connections to a wanted peer are to be opened; they count as begun.
    fn reserve_missing(&mut self, address: SocketAddr) -> usize {
        if !self.warm_peers.contains(&address) {
            return 0;
        }
        let ready = self.idle.get(&address).map_or(0, Vec::len);
        let connecting = self.connecting.entry(address).or_default();
        let missing = READY_PER_PEER.saturating_sub(ready + *connecting);
        *connecting += missing;
        missing
    }

    /// The idle connection on which the peer was heard last, if that is less than `limit` ago.
    fn checkout(&mut self, address: SocketAddr, limit: Duration) -> Option<Socket> {
        let sockets = self.idle.get_mut(&address)?;
        sockets.retain_mut(Idle::is_usable);
        let candidates = sockets.iter().enumerate();
        let (index, idle) = candidates.max_by_key(|(_, idle)| idle.last_heard_at)?;
        let usable = idle.last_heard_at.elapsed() < limit;
        usable.then(|| sockets.swap_remove(index).socket)
    }

    fn add_idle(&mut self, address: SocketAddr, socket: Socket) {
        let sockets = self.idle.entry(address).or_default();
        if sockets.len() < MAX_IDLE_PER_PEER {
            sockets.push(Idle {
                socket,
                last_heard_at: Instant::now(),
                ping_pending: false,
            });
        }
    }
}

impl Idle {
    /// Whether the peer has been heard lately and has not closed the connection.
    fn is_usable(&mut self) -> bool {
        match self.socket.poll_idle() {
            IdleState::Closed => return false,
            IdleState::Heard => {
                self.last_heard_at = Instant::now();
                self.ping_pending = false;
            }
            IdleState::Quiet => {}
        }
        self.last_heard_at.elapsed() < MAX_SILENCE
    }

    /// Asks the peer for a sign of life, if it was not heard for a while.
    fn ping(&mut self) {
        if !self.ping_pending && self.last_heard_at.elapsed() >= PING_AFTER {
            self.ping_pending = true;
            self.socket.try_ping();
        }
    }
}

impl Body {
    /// The next piece, or `None` at the end of a whole body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        match self.next_answer().await? {
            wire::Answer::Data { bytes, .. } => Ok(Some(bytes)),
            wire::Answer::End { .. } => {
                self.release();
                Ok(None)
            }
            wire::Answer::Fail { failure, .. } => {
                self.release();
                Err(failure)
            }
            wire::Answer::Head { .. } => Err(broken_exchange("the peer's answer has two heads")),
        }
    }

    /// The next answer of this exchange; others are dropped and counted.
    async fn next_answer(&mut self) -> Result<wire::Answer, Failure> {
        let socket = self
            .socket
            .as_mut()
            .ok_or_else(|| broken_exchange("the exchange has ended"))?;
        loop {
            match socket.receive::<wire::Answer>().await {
                Ok(Some(answer)) if answer.id() == self.id => return Ok(answer),
                Ok(Some(_)) => {
                    self.client
                        .mismatched_answers
                        .fetch_add(1, Ordering::Relaxed);
                }
                Ok(None) => {
                    self.socket = None;
                    return Err(broken_exchange("the peer closed the connection"));
                }
                Err(error) => {
                    self.socket = None;
                    return Err(broken_exchange(&error.to_string()));
                }
            }
        }
    }

    /// Gives the connection back for the next exchange.
    fn release(&mut self) {
        if let Some(socket) = self.socket.take() {
            self.client.connections().add_idle(self.address, socket);
        }
    }
}

fn broken_exchange(reason: &str) -> Failure {
    Failure::new(Code::UpstreamFailed, Ran::Unknown, reason)
}
