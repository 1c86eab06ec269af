//! A caller: an HTTP client from a chosen address, and a reader of server-sent events.

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

/// Time that opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A call as a caller makes it.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// An HTTP client with its connections.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Call {
    /// A call without a body.
    pub fn get(target: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            target: target.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// A call with a JSON body.
    pub fn post(target: impl Into<String>, body: &serde_json::Value) -> Self {
        Self {
            method: Method::POST,
            body: body.to_string().into(),
            ..Self::get(target)
        }
        .header("content-type", "application/json")
    }

    /// The call with one more header.
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
    /// A caller at `from`, or wherever the system puts it.
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

    /// Sends a call; the answer's body is still to be read.
    pub async fn send(&self, to: SocketAddr, call: &Call) -> io::Result<Response<Incoming>> {
        let request = call.request(to)?;
        self.client.request(request).await.map_err(io::Error::other)
    }

    /// Sends a call and reads its whole answer.
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
    /// The body read as JSON; null if it isn't.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Reads server-sent events from pieces of a body.
#[derive(Debug, Default)]
pub struct Events {
    rest: Vec<u8>,
}

impl Events {
    /// Takes a piece; returns the data of each event that is now complete.
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
