//! The caller's side of a test: an HTTP client that may be bound to a source address, and a parser
//! of server-sent events.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode,
        body::Incoming,
        header::{HeaderName, HeaderValue},
    },
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    std::{
        io,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// Limit on the time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A request that a [`Caller`] can send any number of times.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query, without scheme and authority.
    pub target: String,
    /// Request headers, without those that the client adds itself.
    pub headers: HeaderMap,
    /// Request body; empty for a GET.
    pub body: Bytes,
}

/// A response whose body has been read to its end.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// An HTTP client with its own connection pool. Clones share the pool.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Call {
    /// A GET request without headers or body.
    pub fn get(target: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            target: target.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// A POST request with a JSON body.
    pub fn post(target: impl Into<String>, body: &serde_json::Value) -> Self {
        Self {
            method: Method::POST,
            body: body.to_string().into(),
            ..Self::get(target)
        }
        .header("content-type", "application/json")
    }

    /// Sets a header. A value that is not valid in a header is ignored.
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }

    fn request(&self, to: SocketAddr) -> io::Result<Request<Full<Bytes>>> {
        let uri = format!("http://{to}{}", self.target);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(uri)
            .body(Full::new(self.body.clone()))
            .map_err(io::Error::other)?;
        *request.headers_mut() = self.headers.clone();
        Ok(request)
    }
}

impl Caller {
    /// A client that connects from the address `from`, or from the one that the system chooses.
    pub fn new(from: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_local_address(from);
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { client }
    }

    /// Sends a call and returns the response as soon as its head has arrived.
    pub async fn send(&self, to: SocketAddr, call: &Call) -> io::Result<Response<Incoming>> {
        let request = call.request(to)?;
        self.client.request(request).await.map_err(io::Error::other)
    }

    /// Sends a call and reads the response to its end.
    pub async fn whole(&self, to: SocketAddr, call: &Call) -> io::Result<Answer> {
        let (parts, body) = self.send(to, call).await?.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?;
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }
}

impl Answer {
    /// The body parsed as JSON; null when it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// An incremental parser of server-sent events. It buffers the bytes of an incomplete event.
#[derive(Debug, Default)]
pub struct Events {
    rest: Vec<u8>,
}

impl Events {
    /// Adds a piece of the body and returns the data of each event that is now complete.
    pub fn push(&mut self, piece: &[u8]) -> Vec<String> {
        self.rest.extend_from_slice(piece);
        let mut data = Vec::new();
        while let Some(end) = self.rest.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.rest.drain(..end + 2).collect();
            data.extend(Self::data(&event));
        }
        data
    }

    fn data(event: &[u8]) -> Option<String> {
        let text = String::from_utf8_lossy(event);
        let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
        let data: Vec<_> = lines.map(str::trim_start).collect();
        (!data.is_empty()).then(|| data.join("\n"))
    }
}
