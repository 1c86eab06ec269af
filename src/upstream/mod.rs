//! Calls to upstreams over HTTP/1.1, with connections kept between calls. What is known of
//! whether a failed call ran is kept exact: only a call that never left is `ran: "no"`.

use {
    crate::{
        failure::{Code, Failure, Ran},
        net::Network,
    },
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::{BodyExt, Full},
    hyper::{
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, timeout},
};

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Most headers taken from an upstream.
const MAX_HEADERS: usize = 64;
/// Read buffer of a connection, in bytes: bounds the head that an upstream can send.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Which idle connections are kept.
#[derive(Debug, Clone, Copy)]
pub struct IdleLimits {
    /// Most of them for one upstream.
    pub max_per_upstream: usize,
    /// One older than this is not used again.
    pub max_idle: Duration,
    /// For a call that may not be repeated it must be younger than this, lest it has gone silent
    /// unnoticed.
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

type Sender = SendRequest<Full<Bytes>>;

/// Sends calls and keeps idle connections.
#[derive(Debug, Clone)]
pub struct Client {
    network: Network,
    limits: IdleLimits,
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<Idle>>>>,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    idle_since: Instant,
}

/// The body of an answer. Dropping it before its end closes the connection, which cancels the
/// work.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    sender: Option<Sender>,
    address: SocketAddr,
    client: Client,
}

impl Client {
    /// A client without connections.
    pub fn new(network: Network) -> Self {
        Self::with_limits(network, IdleLimits::default())
    }

    /// A client without connections that keeps idle ones by these bounds.
    pub fn with_limits(network: Network, limits: IdleLimits) -> Self {
        Self {
            network,
            limits,
            idle: Arc::default(),
        }
    }

    /// Sends a request to the upstream at `address` and waits for the head of the answer.
    /// `is_repeatable` says that the call may be sent again.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        is_repeatable: bool,
    ) -> Result<Response<Body>, Failure> {
        let limit = if is_repeatable {
            self.limits.max_idle
        } else {
            self.limits.max_idle_unrepeatable
        };
        let mut request = request;
        while let Some(sender) = self.checkout(address, limit) {
            match self.send_on(address, sender, request).await {
                Ok(response) => return Ok(response),
                Err(SendError {
                    request: Some(unsent),
                    ..
                }) => request = unsent,
                Err(SendError { failure, .. }) => return Err(failure),
            }
        }
        let sender = connect(&self.network, address).await?;
        self.send_on(address, sender, request)
            .await
            .map_err(|error| error.failure)
    }

    async fn send_on(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Body>, SendError> {
        match sender.try_send_request(request).await {
            Ok(response) => Ok(response.map(|incoming| Body {
                incoming,
                sender: Some(sender),
                address,
                client: self.clone(),
            })),
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

    fn checkout(&self, address: SocketAddr, limit: Duration) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&address)?;
        senders.retain(|idle| {
            idle.idle_since.elapsed() < self.limits.max_idle && !idle.sender.is_closed()
        });
        if senders.last()?.idle_since.elapsed() >= limit {
            return None;
        }
        senders.pop().map(|idle| idle.sender)
    }

    fn add_idle(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.entry(address).or_default();
        if senders.len() < self.limits.max_per_upstream {
            senders.push(Idle {
                sender,
                idle_since: Instant::now(),
            });
        }
    }
}

/// A request that failed on one connection, given back if no byte of it had left.
struct SendError {
    failure: Failure,
    request: Option<Request<Full<Bytes>>>,
}

impl Body {
    /// The next piece, or `None` at the end of a whole body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            match self.incoming.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
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

    fn release(&mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if !sender.is_closed() {
            self.client.add_idle(self.address, sender);
        }
    }
}

async fn connect(network: &Network, address: SocketAddr) -> Result<Sender, Failure> {
    let unreachable = |reason: String| {
        Failure::not_run(
            Code::Unreachable,
            format!("connecting to the upstream: {reason}"),
        )
    };
    let stream = timeout(CONNECT_TIMEOUT, network.connect(address))
        .await
        .map_err(|_| unreachable("timed out".into()))?
        .map_err(|error| unreachable(error.to_string()))?;
    let (sender, connection) = http1::Builder::new()
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
    Ok(sender)
}

fn upstream_failed(error: &hyper::Error) -> Failure {
    Failure::new(
        Code::UpstreamFailed,
        Ran::Unknown,
        format!("the upstream broke off: {error}"),
    )
}
