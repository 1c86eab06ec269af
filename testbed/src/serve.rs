//! The HTTP server under every stand-in.

use {
    bytes::Bytes,
    futures::stream::Stream,
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::{
        Request, Response, StatusCode,
        body::{Frame, Incoming},
        header,
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    serde::{Serialize, de::DeserializeOwned},
    std::{
        future::Future,
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::atomic::{AtomicU8, Ordering},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::{AbortHandle, JoinSet},
    },
};

/// The body of every answer; an error in it cuts the connection.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Where a stand-in listens unless it is told otherwise.
pub const EPHEMERAL: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A server that runs until it is dropped; its connections end with it.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: AbortHandle,
}

impl Server {
    /// Listens on `bind` and answers each request by `handler`. An error from the handler cuts the
    /// connection without an answer.
    pub async fn start<H, F>(bind: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = io::Result<Response<Body>>> + Send + 'static,
    {
        let listener = TcpListener::bind(bind).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, handler)).abort_handle();
        Ok(Self { address, task })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = io::Result<Response<Body>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(connection(stream, handler.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = io::Result<Response<Body>>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let served = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service_fn(handler))
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "connection ended");
    }
}

/// An answer with a whole body.
pub fn answer(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Response<Body> {
    let whole = Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(whole.boxed_unsync());
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    response
}

/// An answer in JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    answer(status, "application/json", body)
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    answer(status, "text/plain", Bytes::new())
}

/// An answer whose body comes piece by piece; an error in it cuts the connection.
pub fn stream<S>(kind: &'static str, pieces: S) -> Response<Body>
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    let frames = futures::StreamExt::map(pieces, |piece| piece.map(Frame::data));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    response
}

/// The whole body of a request.
pub async fn read_body(body: Incoming) -> io::Result<Bytes> {
    let collected = body.collect().await.map_err(io::Error::other)?;
    Ok(collected.to_bytes())
}

/// The whole body of a request, read as JSON; else the answer that says what was wrong.
pub async fn read_json<T: DeserializeOwned>(
    body: Incoming,
) -> io::Result<Result<T, Response<Body>>> {
    let bytes = read_body(body).await?;
    Ok(serde_json::from_slice(&bytes)
        .map_err(|error| answer(StatusCode::BAD_REQUEST, "text/plain", error.to_string())))
}

/// A number in a request's query.
pub fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// The error by which a handler or a body cuts its connection.
pub fn cut_error() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "cut by a fault switch")
}

/// A loopback address that this process has to itself: whatever listens there with a fixed port
/// meets nobody else's, unlike with a port that was free a moment ago.
pub fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 64 + (process >> 8) as u8 % 128, process as u8, last)
}
