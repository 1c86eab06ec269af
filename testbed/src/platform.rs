//! Stand-in for the platform: the configuration service, the host list and the client directory,
//! with modes in which the configuration service is down, outdated or slow. Tests control it by
//! methods or over HTTP under `/control/`.

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

/// Limit on the time that a watch may ask to wait.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Settings of the platform.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Address to listen on.
    pub bind: SocketAddr,
    /// Delay until readers see a new host list.
    #[serde(with = "millis", rename = "host_lag_ms")]
    pub host_lag: Duration,
    /// Delay of each response in [`Mode::Slow`].
    #[serde(with = "millis", rename = "slowness_ms")]
    pub slowness: Duration,
    /// Size limit in bytes of a document put over HTTP.
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

/// State of the configuration service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Requests are answered normally.
    #[default]
    Up,
    /// Requests for documents are answered 503.
    Down,
    /// Documents are served as they were when this mode began.
    Stale,
    /// Every response is delayed by [`Settings::slowness`].
    Slow,
}

/// A document and its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Starts at 1 and grows by 1 with each publication of this document.
    pub revision: u64,
    /// Content of the document, normally TOML.
    pub text: String,
}

/// The host list, as served at `/v1/hosts`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// Entry hosts and upstreams.
    pub hosts: Vec<Host>,
}

/// One entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name, unique in the list.
    pub name: String,
    /// Whether it is an entry host or an upstream.
    pub kind: Kind,
    /// Address for callers of an entry host, or the only address of an upstream.
    pub address: SocketAddr,
    /// Address for other hosts; absent for an upstream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// Region of the host.
    pub region: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Pool of an upstream; absent for an entry host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// Whether it accepts new work.
    pub state: State,
}

/// The kinds of hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An entry host.
    Entry,
    /// A model engine or a plain service.
    Upstream,
}

/// Whether a host accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It accepts new work.
    Live,
    /// It is about to stop and must get no new work.
    Leaving,
}

/// The client directory, as served at `/v1/clients`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clients {
    /// The networks of callers.
    pub clients: Vec<Client>,
}

/// Location of the callers of one network.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Client {
    /// Network as address and prefix length, such as `127.0.1.0/24`.
    pub network: String,
    /// Region of its callers.
    pub region: String,
    /// Failure domain of its callers.
    pub domain: String,
}

/// Number of requests since the start, without those to `/control/`. A watch counts once, however
/// long it waits.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// All requests.
    pub total: u64,
    /// Requests by path.
    pub paths: BTreeMap<String, u64>,
}

/// Namespace of [`Platform::start`].
#[derive(Debug)]
pub struct Platform;

/// Handle of a running platform; dropping it stops the platform.
#[derive(Debug)]
pub struct Running {
    /// Address that it listens on.
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
    /// Starts a platform without documents, hosts or clients on `settings.bind`.
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
    /// Publishes a new revision of a document; returns its number.
    pub fn publish(&self, name: &str, text: &str) -> u64 {
        self.inner.publish(name, text.to_owned())
    }

    /// Sets the mode of the configuration service.
    pub fn mode(&self, mode: Mode) {
        self.inner.set_mode(mode);
    }

    /// Sets the host list. Readers see the first list at once and later ones after `host_lag`.
    pub fn hosts(&self, hosts: Hosts) {
        self.inner.push_hosts(hosts);
    }

    /// Sets the client directory.
    pub fn clients(&self, clients: Clients) {
        *self.inner.clients.lock().unwrap() = clients;
    }

    /// Number of requests since the start.
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

/// Serves a document. With `after` in the query, waits up to `wait` seconds for a later revision
/// and otherwise answers 304.
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

/// Handles requests to `/control/`, which are not counted as calls.
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
