//! Forwards calls to other hosts and reads their answers.
//!
//! A connection carries one exchange at a time, so that TCP flow control propagates back-pressure
//! from a slow caller to the upstream, and closing the connection cancels the work. [`Client`]
//! reuses idle connections and keeps some open in advance; [`super::serve`] is the other end.

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

/// Most idle connections kept for one peer.
const MAX_IDLE_PER_PEER: usize = 32;
/// Connections kept ready for each peer that calls are forwarded to. Opening one takes two round
/// trips; this covers the calls that begin in that time, except in bursts.
const READY_PER_PEER: usize = 3;
/// An idle connection on which nothing arrived for this long is pinged.
const PING_AFTER: Duration = Duration::from_secs(2);
/// An idle connection on which nothing arrived for this long is closed.
const MAX_SILENCE: Duration = Duration::from_secs(20);
/// A call that may not be repeated needs a connection on which something arrived within this
/// time, because a connection can die without notice. It covers [`PING_AFTER`], the ping's round
/// trip, and the delay until the pong is read.
const MAX_SILENCE_UNREPEATABLE: Duration = Duration::from_secs(4);

/// Largest body of a call whose connection is used again. Both ends of a connection keep a buffer of the
/// size of its largest message.
const MAX_POOLED_BODY_BYTES: usize = 256 * 1024;

/// Opens exchanges and pools idle connections. Clones share the pool.
#[derive(Debug, Clone)]
pub struct Client {
    identity: Identity,
    connections: Arc<Mutex<Connections>>,
    next_id: Arc<AtomicU64>,
    mismatched_answers: Arc<AtomicU64>,
}

/// Idle connections and the number being opened, by peer address.
#[derive(Debug, Default)]
struct Connections {
    idle: BTreeMap<SocketAddr, Vec<IdleConnection>>,
    /// Peers for which [`READY_PER_PEER`] connections are kept ready.
    warm_peers: BTreeSet<SocketAddr>,
    /// Connections being opened in the background.
    connecting: BTreeMap<SocketAddr, usize>,
}

#[derive(Debug)]
struct IdleConnection {
    socket: Socket,
    /// When something last arrived on it.
    last_heard_at: Instant,
    /// A ping was sent and nothing has arrived since.
    ping_pending: bool,
}

/// The head of a forwarded call's answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on to the caller.
    pub headers: Vec<wire::Header>,
    /// The upstream that produces the answer.
    pub upstream: name::Upstream,
    /// Build of that upstream, where builds are told apart.
    pub build: Option<name::Build>,
    /// The pool of that upstream.
    pub pool: name::Pool,
}

/// The body of a forwarded call's answer. Dropping it before its end closes the connection, which
/// cancels the work.
#[derive(Debug)]
pub struct Body {
    socket: Option<Socket>,
    id: wire::ExchangeId,
    address: SocketAddr,
    client: Client,
    /// Whether the connection is closed at the end.
    is_last: bool,
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

    /// Number of answers dropped because they carried another exchange's id.
    pub fn mismatched_answers(&self) -> u64 {
        self.mismatched_answers.load(Ordering::Relaxed)
    }

    /// Forwards a call to the peer at `address` and waits for the head of its answer. Unless the
    /// call `is_repeatable`, only a recently verified or a new connection is used.
    pub async fn open(
        &self,
        address: SocketAddr,
        call: wire::Call,
        is_repeatable: bool,
    ) -> Result<(Head, Body), Failure> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let is_last = call.body.len() > MAX_POOLED_BODY_BYTES;
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
            is_last,
        };
        match body.next_answer().await? {
            // A host of an older build passes such an answer of its upstream on.
            wire::Answer::Head { status, .. } if !wire::ANSWER_STATUSES.contains(&status) => Err(
                broken_exchange(&format!("the answer's status {status} is not valid")),
            ),
            wire::Answer::Head {
                status,
                headers,
                upstream,
                build,
                pool,
                ..
            } => {
                let head = Head {
                    status,
                    headers,
                    upstream,
                    build,
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

    /// Keeps connections ready for these peers and no others, because opening one takes two round
    /// trips. To be called periodically: each call also closes connections that can't be used any
    /// more and pings quiet ones.
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

    /// Opens in the background the ready connections that a peer lacks.
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
                    Err(error) => tracing::debug!(%error, "failed to open a connection in advance"),
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

    /// Number of idle connections to a peer.
    pub fn ready_count(&self, address: SocketAddr) -> usize {
        self.connections().idle.get(&address).map_or(0, Vec::len)
    }
}

impl Connections {
    /// Sets the peers for which connections are kept ready, closes connections that can't be used,
    /// and pings quiet ones of these peers.
    fn set_warm_peers(&mut self, warm_peers: BTreeSet<SocketAddr>) {
        self.warm_peers = warm_peers;
        self.idle.retain(|_, sockets| {
            sockets.retain_mut(IdleConnection::is_usable);
            !sockets.is_empty()
        });
        for address in &self.warm_peers {
            let sockets = self.idle.get_mut(address).into_iter().flatten();
            sockets.for_each(IdleConnection::ping);
        }
    }

    /// The number of connections to open to a peer, 0 unless it is kept warm. They are counted as
    /// being opened from here on.
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

    /// Removes and returns the idle connection on which something arrived most recently, if that
    /// is less than `limit` ago.
    fn checkout(&mut self, address: SocketAddr, limit: Duration) -> Option<Socket> {
        let sockets = self.idle.get_mut(&address)?;
        sockets.retain_mut(IdleConnection::is_usable);
        let candidates = sockets.iter().enumerate();
        let (index, idle) = candidates.max_by_key(|(_, idle)| idle.last_heard_at)?;
        let usable = idle.last_heard_at.elapsed() < limit;
        usable.then(|| sockets.swap_remove(index).socket)
    }

    fn add_idle(&mut self, address: SocketAddr, socket: Socket) {
        let sockets = self.idle.entry(address).or_default();
        if sockets.len() < MAX_IDLE_PER_PEER {
            sockets.push(IdleConnection {
                socket,
                last_heard_at: Instant::now(),
                ping_pending: false,
            });
        }
    }
}

impl IdleConnection {
    /// Whether the connection is open and something arrived on it within [`MAX_SILENCE`].
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

    /// Sends a ping if nothing arrived for [`PING_AFTER`] and no ping is pending.
    fn ping(&mut self) {
        if !self.ping_pending && self.last_heard_at.elapsed() >= PING_AFTER {
            self.ping_pending = true;
            self.socket.try_ping();
        }
    }
}

impl Body {
    /// The next piece, or `None` at the end of a complete body.
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

    /// The next answer of this exchange; answers of other exchanges are dropped and counted.
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

    /// Returns the connection to the pool for the next exchange.
    fn release(&mut self) {
        if let Some(socket) = self.socket.take()
            && !self.is_last
        {
            self.client.connections().add_idle(self.address, socket);
        }
    }
}

fn broken_exchange(reason: &str) -> Failure {
    Failure::new(Code::UpstreamFailed, Ran::Unknown, reason)
}
