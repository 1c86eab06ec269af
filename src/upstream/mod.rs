//! HTTP/1.1 client for calls to upstreams, with a pool of idle connections.
//!
//! A failure says whether the call ran: it is `ran: "no"` only if no byte of the request was sent,
//! and `ran: "unknown"` otherwise.
//!
//! A connection carries each request once. An upstream may write an answer a second time, where that
//! to a later call is due; so the id in an answer tells which call it answers only while no two calls on
//! the connection have the same.

mod carried;
mod head;
mod metered;

use {
    self::{
        carried::{Carried, Key},
        metered::{Connection, Meter},
    },
    crate::{
        failure::{Code, Failure, Ran},
        metric::Metrics,
        net::{Network, Stream},
        wire,
    },
    bytes::{Bytes, BytesMut},
    derive_more::Display,
    http::{Request, Response, header},
    http_body_util::{BodyExt, Full},
    hyper::{
        body::{Body as _, Incoming},
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    prometheus_client::metrics::counter::Counter,
    rustix::io::Errno,
    std::{
        collections::BTreeMap,
        future::Future,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        task::yield_now,
        time::{Instant, timeout},
    },
};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for which bytes of a request may lie unacknowledged. An upstream that has said that it
/// leaves takes requests for a few seconds more.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Most headers accepted in an upstream's response.
const MAX_HEADERS: usize = 64;
/// Read buffer of a connection; bounds the size of a response head.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Limits on the number and the age of idle connections.
#[derive(Debug, Clone, Copy)]
pub struct IdleLimits {
    /// Most idle connections for one upstream.
    pub max_per_upstream: usize,
    /// A connection that has been idle for longer is not used again.
    pub max_idle: Duration,
    /// Longest idle time of a connection used for a call that may not be repeated, because an
    /// idle connection can die without notice.
    pub max_idle_unrepeatable: Duration,
}

impl Default for IdleLimits {
    fn default() -> Self {
        Self {
            max_per_upstream: 64,
            max_idle: Duration::from_secs(15),
            max_idle_unrepeatable: Duration::from_secs(1),
        }
    }
}

/// The sending half of a connection.
#[derive(Debug)]
struct Sender {
    requests: SendRequest<Full<Bytes>>,
    /// What its receiving half has read.
    meter: Meter,
    /// The next exchange on the connection.
    next: Exchange,
    carried: Carried,
}

/// A request to an upstream.
#[derive(Debug)]
pub struct Call<'a> {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// The request as it is sent.
    pub request: Request<Full<Bytes>>,
    /// Id of the request, which its answer repeats. It is sent on no connection that has carried the same
    /// id before; without an id, on one of its own.
    pub id: Option<&'a str>,
    /// Whether it may be sent again after a failure. If not, it uses only connections idle for less than
    /// [`IdleLimits::max_idle_unrepeatable`], or a new one.
    pub is_repeatable: bool,
}

/// Sends calls and pools idle connections. Clones share the pool.
#[derive(Debug, Clone)]
pub struct Client {
    network: Network,
    limits: IdleLimits,
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
    /// Connections opened so far.
    opened: Counter,
}

#[derive(Debug)]
struct IdleConnection {
    sender: Box<Sender>,
    idle_since: Instant,
}

/// How the end of an answer's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Framing {
    /// The head states the length, or that there is no body.
    #[display("length")]
    Length,
    /// The body comes in chunks, of which the last one is marked.
    #[display("chunked")]
    Chunked,
    /// The body ends with its connection.
    #[display("close")]
    Close,
}

/// A call on a connection and its answer. After the first one, an answer too many to an earlier call may
/// have been read as the answer.
#[derive(Debug, Clone, Copy)]
pub struct Exchange {
    /// Number of the connection, unique within its client.
    pub connection: u64,
    /// Number of calls that the connection had carried before.
    pub position: u32,
}

impl Exchange {
    /// Whether the connection had carried no call before.
    pub fn is_first(&self) -> bool {
        self.position == 0
    }
}

/// The body of an upstream's answer. Dropping it before its end closes the connection, which
/// cancels the work.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    exchange: Exchange,
    framing: Framing,
    /// Whether the connection is closed at the end.
    is_last: bool,
    sender: Option<Box<Sender>>,
    address: SocketAddr,
    client: Client,
}

impl Client {
    /// A client with the default limits and no open connections.
    pub fn new(network: Network) -> Self {
        Self::with_limits(network, IdleLimits::default())
    }

    /// A client with these limits and no open connections.
    pub fn with_limits(network: Network, limits: IdleLimits) -> Self {
        Self {
            network,
            limits,
            idle: Arc::default(),
            opened: Counter::default(),
        }
    }

    /// Registers the client's metrics.
    pub fn register(&self, metrics: &Metrics) {
        metrics.register(|registry| {
            registry.register(
                "upstream_connections",
                "Connections opened to upstreams for calls",
                self.opened.clone(),
            );
        });
    }

    /// Sends a request whose answer doesn't say what it answers, and waits for the head of that. The
    /// request has a connection of its own, which is closed after the answer.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Body>, Failure> {
        let sender = Box::new(self.connect(address).await?);
        let sending = self.send_on(address, sender, request, None);
        sending.await.map_err(|error| error.failure)
    }

    /// Sends a call and waits for the head of the answer. Gives up opening a connection once `abandoned`
    /// is ready, and asks `may_send` before a byte is sent. The call has not run if either ends it; the
    /// failure is [`Code::NotReady`] where `may_send` does.
    pub async fn send_unless(
        &self,
        call: Call<'_>,
        abandoned: impl Future<Output = ()>,
        may_send: impl Fn() -> bool,
    ) -> Result<Response<Body>, Failure> {
        let Call {
            address,
            mut request,
            id,
            is_repeatable,
        } = call;
        let limit = if is_repeatable {
            self.limits.max_idle
        } else {
            self.limits.max_idle_unrepeatable
        };
        let key = id.map(Key::new);
        let next = || self.checkout(address, limit, key?);
        let check = || {
            let withdrawn =
                || Failure::not_run(Code::NotReady, "the upstream may get no request any more");
            may_send().then_some(()).ok_or_else(withdrawn)
        };
        while let Some(sender) = next() {
            check()?;
            match self.send_on(address, sender, request, key).await {
                Ok(response) => return Ok(response),
                Err(SendError {
                    request: Some(unsent),
                    ..
                }) => request = unsent,
                Err(SendError { failure, .. }) => return Err(failure),
            }
        }
        let sender = tokio::select! {
            sender = self.connect(address) => sender?,
            () = abandoned => {
                let reason = "the upstream can't be reached";
                return Err(Failure::not_run(Code::Unreachable, reason));
            }
        };
        check()?;
        self.send_on(address, Box::new(sender), request, key)
            .await
            .map_err(|error| error.failure)
    }

    /// Whether a connection to an address can be opened within a time. It is closed again.
    pub async fn can_connect(&self, address: SocketAddr, limit: Duration) -> bool {
        let connected = timeout(limit, self.network.connect(address)).await;
        matches!(connected, Ok(Ok(_)))
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }

    fn close_all_idle(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
    }

    /// Whether the address refuses a new connection, which means that nothing listens there.
    pub async fn is_refused(&self, address: SocketAddr) -> bool {
        let connected = timeout(CONNECT_TIMEOUT, self.network.connect(address)).await;
        matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    async fn send_on(
        &self,
        address: SocketAddr,
        mut sender: Box<Sender>,
        request: Request<Full<Bytes>>,
        key: Option<Key>,
    ) -> Result<Response<Body>, SendError> {
        sender.meter.begin_head();
        key.into_iter().for_each(|key| sender.carried.insert(key));
        let exchange = sender.next;
        sender.next.position = exchange.position.saturating_add(1);
        match sender.requests.try_send_request(request).await {
            Ok(response) if !wire::ANSWER_STATUSES.contains(&response.status().as_u16()) => {
                let reason = format!("the upstream's status {} is not valid", response.status());
                Err(SendError {
                    failure: Failure::new(Code::UpstreamFailed, Ran::Unknown, reason),
                    request: None,
                })
            }
            Ok(response) => {
                let framing = framing(&response);
                sender.meter.begin_body();
                Ok(response.map(|incoming| Body {
                    incoming,
                    exchange,
                    framing,
                    is_last: key.is_none(),
                    sender: Some(sender),
                    address,
                    client: self.clone(),
                }))
            }
            Err(mut error) => Err(match error.take_message() {
                Some(request) => SendError {
                    failure: Failure::not_run(Code::Unreachable, "the connection had closed"),
                    request: Some(request),
                },
                None => SendError {
                    failure: upstream_failed(&error.into_error()),
                    request: None,
                },
            }),
        }
    }

    /// Opens a stream. Without a free descriptor it closes the idle connections first.
    async fn open_stream(&self, address: SocketAddr) -> io::Result<Stream> {
        match self.network.connect(address).await {
            Err(error) if error.raw_os_error() == Some(Errno::MFILE.raw_os_error()) => {
                tracing::warn!(%error, "idle connections are closed for a new one");
                self.close_all_idle();
                // The connections' tasks close them.
                yield_now().await;
                self.network.connect(address).await
            }
            opened => opened,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, Failure> {
        let unreachable = |reason: String| {
            Failure::not_run(
                Code::Unreachable,
                format!("connecting to the upstream: {reason}"),
            )
        };
        let stream = timeout(CONNECT_TIMEOUT, self.open_stream(address))
            .await
            .map_err(|_| unreachable("timed out".into()))?
            .map_err(|error| unreachable(error.to_string()))?;
        // A request that is given up must not arrive later, as after a partition.
        if let Err(error) = stream.set_reset_on_close() {
            tracing::warn!(%address, %error, "the connection is closed without a reset");
        }
        if let Err(error) = stream.set_acknowledgement_timeout(ACKNOWLEDGEMENT_TIMEOUT) {
            tracing::warn!(%address, %error, "bytes on the connection may arrive late");
        }
        let meter = Meter::default();
        let stream = Connection::new(stream, meter.clone());
        let (requests, connection) = http1::Builder::new()
            .max_headers(MAX_HEADERS)
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "upstream connection ended");
            }
        });
        let next = Exchange {
            connection: self.opened.inc(),
            position: 0,
        };
        Ok(Sender {
            requests,
            meter,
            next,
            carried: Carried::default(),
        })
    }

    /// Takes the connection to an address that was used last, if it has been idle for less than `limit`.
    /// Closes those that have carried a request with this key, or requests of one id would each leave
    /// another connection behind.
    fn checkout(&self, address: SocketAddr, limit: Duration, key: Key) -> Option<Box<Sender>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&address)?;
        senders.retain(|idle| {
            let is_usable = !idle.sender.requests.is_closed() && !idle.sender.carried.contains(key);
            is_usable && idle.idle_since.elapsed() < self.limits.max_idle
        });
        if senders.last()?.idle_since.elapsed() >= limit {
            return None;
        }
        senders.pop().map(|idle| idle.sender)
    }

    fn add_idle(&self, address: SocketAddr, sender: Box<Sender>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.entry(address).or_default();
        if senders.len() < self.limits.max_per_upstream {
            senders.push(IdleConnection {
                sender,
                idle_since: Instant::now(),
            });
        }
    }
}

/// A failure to send on one connection, with the request if no byte of it was sent.
struct SendError {
    failure: Failure,
    request: Option<Request<Full<Bytes>>>,
}

impl Body {
    /// The exchange that the answer belongs to, or was read in.
    pub fn exchange(&self) -> Exchange {
        self.exchange
    }

    /// Closes the connection at the end of the body, rather than use it again. For an answer that
    /// doesn't say what it answers.
    pub fn close_at_end(&mut self) {
        self.is_last = true;
    }

    /// How the end of the body is marked.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Least number of bytes that are still to come, as far as the head states a length.
    pub fn min_length(&self) -> u64 {
        self.incoming.size_hint().lower()
    }

    /// The next piece, or `None` at the end of a complete body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            match self.incoming.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.sender.iter().for_each(|sender| sender.meter.reset());
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(error)) => return Err(upstream_failed(&error)),
                None => {
                    self.release();
                    return Ok(None);
                }
            }
        }
    }

    /// The rest of the body, or a failure if that is larger than `limit` bytes.
    pub async fn collect(mut self, limit: usize) -> Result<Bytes, Failure> {
        let mut collected = BytesMut::new();
        while let Some(piece) = self.next().await? {
            if collected.len() + piece.len() > limit {
                return Err(Failure::new(
                    Code::UpstreamFailed,
                    Ran::Unknown,
                    format!("the answer is larger than {limit} bytes"),
                ));
            }
            collected.extend_from_slice(&piece);
        }
        Ok(collected.freeze())
    }

    fn release(&mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if !self.is_last && !sender.requests.is_closed() && !sender.carried.is_full() {
            self.client.add_idle(self.address, sender);
        }
    }
}

fn framing(response: &Response<Incoming>) -> Framing {
    if response.body().size_hint().exact().is_some() {
        Framing::Length
    } else if response.headers().contains_key(header::TRANSFER_ENCODING) {
        Framing::Chunked
    } else {
        Framing::Close
    }
}

fn upstream_failed(error: &hyper::Error) -> Failure {
    Failure::new(
        Code::UpstreamFailed,
        Ran::Unknown,
        format!("the upstream broke off: {error}"),
    )
}
