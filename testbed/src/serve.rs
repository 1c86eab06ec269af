//! The HTTP/1 server that all stand-ins use, and helpers to read requests and build responses.

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
        sync::atomic::{AtomicUsize, Ordering},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::{AbortHandle, JoinSet},
    },
};

/// Body of every response; an error in it breaks the connection.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Default address of stand-ins: an ephemeral port on loopback.
pub const EPHEMERAL: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A running server. Dropping it stops the server and breaks its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: AbortHandle,
}

impl Server {
    /// Listens on `bind` and answers each request with `handler`. An error from the handler breaks
    /// the connection without a response.
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

    /// The address that it listens on, with the actual port.
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

/// A response with a complete body of content type `kind`.
pub fn answer(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Response<Body> {
    let whole = Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(whole.boxed_unsync());
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    response
}

/// A response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    answer(status, "application/json", body)
}

/// A response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    answer(status, "text/plain", Bytes::new())
}

/// A streamed response with status 200; an error among the pieces breaks the connection.
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

/// Reads the body of a request to its end.
pub async fn read_body(body: Incoming) -> io::Result<Bytes> {
    let collected = body.collect().await.map_err(io::Error::other)?;
    Ok(collected.to_bytes())
}

/// Reads the body of a request as JSON. The inner error is the response to send when it does not
/// parse.
pub async fn read_json<T: DeserializeOwned>(
    body: Incoming,
) -> io::Result<Result<T, Response<Body>>> {
    let bytes = read_body(body).await?;
    Ok(serde_json::from_slice(&bytes)
        .map_err(|error| answer(StatusCode::BAD_REQUEST, "text/plain", error.to_string())))
}

/// The value of a parameter in a request's query, if it is a number.
pub fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// The error with which a handler or a body breaks its connection on purpose.
pub fn cut_error() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "connection broken by an injected fault",
    )
}

/// Loopback addresses of a process in one block, without those that end in 0 or 255.
const BLOCK_ADDRESSES: usize = 254;
/// Blocks of loopback addresses: the first number after 127, and how many follow for processes.
const BLOCKS: [(u8, u8); 8] = [
    (1, 31),
    (32, 32),
    (64, 32),
    (96, 32),
    (128, 32),
    (160, 32),
    (192, 32),
    (224, 31),
];

/// A loopback address that only this process uses, so that a listener with a fixed port on it
/// cannot conflict with another process. A port that was found free a moment ago may be taken by
/// then. After all addresses of the blocks the first ones are given again.
pub fn own_address() -> Ipv4Addr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let process = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let (first, count) = BLOCKS[number / BLOCK_ADDRESSES % BLOCKS.len()];
    let second = first + ((process >> 8) % u32::from(count)) as u8;
    let last = 1 + (number % BLOCK_ADDRESSES) as u8;
    Ipv4Addr::new(127, second, process as u8, last)
}
