//! The platform: configuration service, host list and client directory.

use {
    crate::{
        millis,
        serve::{self, Body, EPHEMERAL, Server},
    },
    hyper::{Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{Instant, sleep, timeout_at},
    },
};

/// Longest wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// How the platform behaves.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Where it listens.
    pub bind: SocketAddr,
    /// Time by which the host list is late.
    #[serde(with = "millis", rename = "host_lag_ms")]
    pub host_lag: Duration,
    /// Time that an answer takes in the slow mode.
    #[serde(with = "millis", rename = "slowness_ms")]
    pub slowness: Duration,
    /// Largest document in bytes.
    pub largest_document: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bind: EPHEMERAL,
            host_lag: Duration::from_secs(2),
            slowness: Duration::from_secs(5),
            largest_document: 1 << 20,
        }
    }
}

/// How the configuration service fares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Well.
    #[default]
    Up,
    /// Each call of it is answered 503.
    Down,
    /// It shows the documents as they were when this mode began.
    Stale,
    /// Each answer comes late.
    Slow,
}

/// A document with its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Grows with every change of this document.
    pub revision: u64,
    /// The document's text.
    pub text: String,
}

/// The host list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// All hosts.
    pub hosts: Vec<Host>,
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Unique name.
    pub name: String,
    /// What it is.
    pub kind: Kind,
    /// For an entry host the callers' address, for an upstream the only one.
    pub address: SocketAddr,
    /// Where its peers reach an entry host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub domain: String,
    /// The pool of an upstream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// Whether it stays.
    pub state: State,
}

/// What a host is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An entry host.
    Entry,
    /// A model engine or a plain service.
    Upstream,
}

/// Whether a host stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It stays.
    Live,
    /// It is to get no new work.
    Leaving,
}

/// The client directory.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clients {
    /// All networks of callers.
    pub clients: Vec<Client>,
}

/// Where the callers of a network are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Client {
    /// The network as address and prefix length.
    pub network: String,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub domain: String,
}

/// Calls of the platform since it started, by path; a waiting watch counts as one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// All calls.
    pub total: u64,
    /// By path.
    pub paths: BTreeMap<String, u64>,
}

/// The platform.
#[derive(Debug)]
pub struct Platform;

/// A platform that runs until it is dropped.
#[derive(Debug)]
pub struct Running {
    /// Where it listens.
    pub address: SocketAddr,
    inner: Arc<Inner>,
    _server: Server,
}

type Documents = BTreeMap<String, Document>;

#[derive(Debug)]
struct Inner {
    settings: Settings,
    documents: watch::Sender<Documents>,
    stale_documents: Mutex<Documents>,
    mode: Mutex<Mode>,
    hosts: Mutex<VecDeque<(Instant, Hosts)>>,
    clients: Mutex<Clients>,
    calls: Mutex<Calls>,
}

impl Platform {
    /// Starts a platform without documents, hosts or clients.
    pub async fn start(settings: Settings) -> io::Result<Running> {
        let inner = Arc::new(Inner {
            settings,
            documents: watch::Sender::default(),
            stale_documents: Mutex::default(),
            mode: Mutex::default(),
            hosts: Mutex::default(),
            clients: Mutex::default(),
            calls: Mutex::default(),
        });
        let served = inner.clone();
        let server = Server::start(inner.settings.bind, move |request| {
            answer(served.clone(), request)
        })
        .await?;
        Ok(Running {
            address: server.address(),
            inner,
            _server: server,
        })
    }
}

impl Running {
    /// Publishes a document; returns its revision.
    pub fn publish(&self, name: &str, text: &str) -> u64 {
        self.inner.publish(name, text.to_owned())
    }

    /// Sets how the configuration service fares.
    pub fn mode(&self, mode: Mode) {
        self.inner.set_mode(mode);
    }

    /// Sets the host list, which readers see after the lag; the first one they see at once.
    pub fn hosts(&self, hosts: Hosts) {
        self.inner.push_hosts(hosts);
    }

    /// Sets the client directory.
    pub fn clients(&self, clients: Clients) {
        *self.inner.clients.lock().unwrap() = clients;
    }

    /// Calls since the start.
    pub fn calls(&self) -> Calls {
        self.inner.calls.lock().unwrap().clone()
    }
}

impl Inner {
    fn publish(&self, name: &str, text: String) -> u64 {
        let mut revision = 0;
        self.documents.send_modify(|documents| {
            revision = documents.get(name).map_or(1, |old| old.revision + 1);
            documents.insert(name.to_owned(), Document { revision, text });
        });
        revision
    }

    fn set_mode(&self, mode: Mode) {
        if mode == Mode::Stale {
            *self.stale_documents.lock().unwrap() = self.documents.borrow().clone();
        }
        *self.mode.lock().unwrap() = mode;
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap()
    }

    fn push_hosts(&self, hosts: Hosts) {
        let mut lists = self.hosts.lock().unwrap();
        let lag = if lists.is_empty() {
            Duration::ZERO
        } else {
            self.settings.host_lag
        };
        lists.push_back((Instant::now() + lag, hosts));
    }

    fn current_hosts(&self) -> Hosts {
        let now = Instant::now();
        let mut lists = self.hosts.lock().unwrap();
        while lists.get(1).is_some_and(|(due, _)| *due <= now) {
            lists.pop_front();
        }
        lists
            .front()
            .map(|(_, hosts)| hosts.clone())
            .unwrap_or_default()
    }

    fn document(&self, name: &str) -> Option<Document> {
        if self.mode() == Mode::Stale {
            return self.stale_documents.lock().unwrap().get(name).cloned();
        }
        self.documents.borrow().get(name).cloned()
    }

    fn count(&self, path: &str) {
        let mut calls = self.calls.lock().unwrap();
        calls.total += 1;
        *calls.paths.entry(path.to_owned()).or_default() += 1;
    }
}

async fn answer(inner: Arc<Inner>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let path = request.uri().path().to_owned();
    if let Some(control) = path.strip_prefix("/control/") {
        return handle_control(&inner, control, request).await;
    }
    inner.count(&path);
    let mode = inner.mode();
    if mode == Mode::Slow {
        sleep(inner.settings.slowness).await;
    }
    if request.method() != Method::GET {
        return Ok(serve::empty(StatusCode::METHOD_NOT_ALLOWED));
    }
    match path.as_str() {
        "/v1/hosts" => Ok(serve::json(StatusCode::OK, &inner.current_hosts())),
        "/v1/clients" => {
            let clients = inner.clients.lock().unwrap().clone();
            Ok(serve::json(StatusCode::OK, &clients))
        }
        _ => match path.strip_prefix("/v1/documents/") {
            Some(_) if mode == Mode::Down => Ok(serve::empty(StatusCode::SERVICE_UNAVAILABLE)),
            Some(name) => Ok(read_document(&inner, name, &request).await),
            None => Ok(serve::empty(StatusCode::NOT_FOUND)),
        },
    }
}

/// Answers a read of a document, or a watch when the request names a revision and a time to wait.
async fn read_document(inner: &Inner, name: &str, request: &Request<Incoming>) -> Response<Body> {
    let Some(after) = serve::query_number(request, "after") else {
        return document_response(inner.document(name));
    };
    let wait =
        Duration::from_secs(serve::query_number(request, "wait").unwrap_or(0)).min(MAX_WATCH_WAIT);
    let deadline = Instant::now() + wait;
    let mut changes = inner.documents.subscribe();
    loop {
        changes.borrow_and_update();
        let newer = inner.document(name).filter(|held| held.revision > after);
        if newer.is_some() {
            return document_response(newer);
        }
        let changed = timeout_at(deadline, changes.changed()).await;
        if changed.is_err() {
            return serve::empty(StatusCode::NOT_MODIFIED);
        }
        if inner.mode() == Mode::Down {
            return serve::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
}

fn document_response(document: Option<Document>) -> Response<Body> {
    let Some(document) = document else {
        return serve::empty(StatusCode::NOT_FOUND);
    };
    let mut response = serve::answer(StatusCode::OK, "application/toml", document.text);
    response
        .headers_mut()
        .insert("x-revision", HeaderValue::from(document.revision));
    response
}

/// The control surface, which is not counted.
async fn handle_control(
    inner: &Inner,
    control: &str,
    request: Request<Incoming>,
) -> io::Result<Response<Body>> {
    let method = request.method().clone();
    match (method, control) {
        (Method::GET, "calls") => {
            let calls = inner.calls.lock().unwrap().clone();
            Ok(serve::json(StatusCode::OK, &calls))
        }
        (Method::PUT, "hosts") => match serve::read_json(request.into_body()).await? {
            Ok(hosts) => {
                inner.push_hosts(hosts);
                Ok(serve::empty(StatusCode::NO_CONTENT))
            }
            Err(refusal) => Ok(refusal),
        },
        (Method::PUT, "clients") => match serve::read_json(request.into_body()).await? {
            Ok(clients) => {
                *inner.clients.lock().unwrap() = clients;
                Ok(serve::empty(StatusCode::NO_CONTENT))
            }
            Err(refusal) => Ok(refusal),
        },
        (Method::POST, _) if control.starts_with("mode/") => {
            let name = serde_json::Value::from(&control["mode/".len()..]);
            let Ok(mode) = serde_json::from_value(name) else {
                return Ok(serve::empty(StatusCode::NOT_FOUND));
            };
            inner.set_mode(mode);
            Ok(serve::empty(StatusCode::NO_CONTENT))
        }
        (Method::PUT, _) if control.starts_with("documents/") => {
            let name = control["documents/".len()..].to_owned();
            let body = serve::read_body(request.into_body()).await?;
            Ok(put_document(inner, &name, &body))
        }
        _ => Ok(serve::empty(StatusCode::NOT_FOUND)),
    }
}

fn put_document(inner: &Inner, name: &str, body: &[u8]) -> Response<Body> {
    if body.len() > inner.settings.largest_document {
        return serve::empty(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let Ok(text) = std::str::from_utf8(body) else {
        return serve::empty(StatusCode::BAD_REQUEST);
    };
    let revision = inner.publish(name, text.to_owned());
    serve::json(StatusCode::OK, &serde_json::json!({ "revision": revision }))
}
