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
const HEADERS_LIMIT: usize = 64;
/// Read buffer of a connection, in bytes: bounds the head that an upstream can send.
const READ_BUFFER: usize = 16 * 1024;

/// Which idle connections are kept.
#[derive(Debug, Clone, Copy)]
pub struct Keep {
    /// Most of them for one upstream.
    pub per_upstream: usize,
    /// One older than this is not used again.
    pub idle: Duration,
    /// For a call that may not be repeated it must be younger than this, lest it has gone silent
    /// unnoticed.
    pub fresh: Duration,
}

impl Default for Keep {
    fn default() -> Self {
        Self {
            per_upstream: 64,
            idle: Duration::from_secs(15),
            fresh: Duration::from_secs(1),
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// Sends calls and keeps idle connections.
#[derive(Debug, Clone)]
pub struct Client {
    network: Network,
    keep: Keep,
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<Idle>>>>,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
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
        Self::keeping(network, Keep::default())
    }

    /// A client without connections that keeps idle ones by these bounds.
    pub fn keeping(network: Network, keep: Keep) -> Self {
        Self {
            network,
            keep,
            idle: Arc::default(),
        }
    }

    /// Sends a request to the upstream at `address` and waits for the head of the answer.
    /// `repeatable` says that the call may be sent again.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        repeatable: bool,
    ) -> Result<Response<Body>, Failure> {
        let limit = if repeatable {
            self.keep.idle
        } else {
            self.keep.fresh
        };
        let mut request = request;
        while let Some(sender) = self.take(address, limit) {
            match self.send_on(address, sender, request).await {
                Ok(response) => return Ok(response),
                Err(Unsent {
                    request: Some(back),
                    ..
                }) => request = back,
                Err(Unsent { failure, .. }) => return Err(failure),
            }
        }
        let sender = connect(&self.network, address).await?;
        self.send_on(address, sender, request)
            .await
            .map_err(|unsent| unsent.failure)
    }

    async fn send_on(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Body>, Unsent> {
        match sender.try_send_request(request).await {
            Ok(response) => Ok(response.map(|incoming| Body {
                incoming,
                sender: Some(sender),
                address,
                client: self.clone(),
            })),
            Err(mut error) => Err(match error.take_message() {
                Some(request) => Unsent {
                    failure: Failure::not_run(Code::Unreachable, "the connection had closed"),
                    request: Some(request),
                },
                None => Unsent {
                    failure: broken(&error.into_error()),
                    request: None,
                },
            }),
        }
    }

    fn take(&self, address: SocketAddr, limit: Duration) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&address)?;
        senders.retain(|idle| idle.since.elapsed() < self.keep.idle && !idle.sender.is_closed());
        if senders.last()?.since.elapsed() >= limit {
            return None;
        }
        senders.pop().map(|idle| idle.sender)
    }

    fn put(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.entry(address).or_default();
        if senders.len() < self.keep.per_upstream {
            senders.push(Idle {
                sender,
                since: Instant::now(),
            });
        }
    }
}

/// A request that failed on one connection, given back if no byte of it had left.
struct Unsent {
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
                Some(Err(error)) => return Err(broken(&error)),
                None => {
                    self.keep();
                    return Ok(None);
                }
            }
        }
    }

    fn keep(&mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if !sender.is_closed() {
            self.client.put(self.address, sender);
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
        .max_headers(HEADERS_LIMIT)
        .max_buf_size(READ_BUFFER)
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

fn broken(error: &hyper::Error) -> Failure {
    Failure::new(
        Code::UpstreamFailed,
        Ran::Unknown,
        format!("the upstream broke off: {error}"),
    )
}
