//! Stand-in for a plain (non-model) upstream. It answers every call with a receipt and counts
//! executions by idempotency key, so that a test can find calls that ran twice.

use {
    crate::{
        engine::{set_fault, with_request_id},
        fault::{self, Fault},
        millis, seen,
        serve::{self, Body, EPHEMERAL, Server},
        text,
    },
    bytes::Bytes,
    futures::{StreamExt, stream},
    hyper::{Method, Request, Response, StatusCode, body::Incoming, http::request::Parts},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Interval between the pieces of a body that never ends.
const ENDLESS_INTERVAL: Duration = Duration::from_millis(10);

/// Settings of the service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Address to listen on.
    pub bind: SocketAddr,
    /// Time between the execution of a call and its response.
    #[serde(with = "millis", rename = "delay_ms")]
    pub delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bind: EPHEMERAL,
            delay: Duration::from_millis(5),
        }
    }
}

/// The JSON body of a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The call's method.
    pub method: String,
    /// The call's path and query.
    pub target: String,
    /// The call's idempotency key.
    pub key: Option<String>,
    /// Number of executions of this key so far, this one included; without a key, of this method
    /// and target.
    pub run: u32,
    /// Hash of the call's body (`text::Fnv`).
    pub body_hash: u64,
}

/// Number of executions of each call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// Calls with a key, by idempotency key.
    pub keyed: BTreeMap<String, u32>,
    /// Calls without a key, by method and target.
    pub plain: BTreeMap<String, u32>,
}

/// Namespace of [`Service::start`].
#[derive(Debug)]
pub struct Service;

/// Handle of a running service; dropping it stops the service.
#[derive(Debug)]
pub struct Running {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<State>,
    _server: Server,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    executions: Mutex<Executions>,
    fault: fault::Switch,
    seen: seen::Journal,
}

impl Service {
    /// Starts a service on `settings.bind`.
    pub async fn start(settings: Settings) -> io::Result<Running> {
        let state = Arc::new(State {
            settings,
            executions: Mutex::default(),
            fault: fault::Switch::default(),
            seen: seen::Journal::default(),
        });
        let served = state.clone();
        let server = Server::start(state.settings.bind, move |request| {
            answer(served.clone(), request)
        })
        .await?;
        Ok(Running {
            address: server.address(),
            state,
            _server: server,
        })
    }
}

impl Running {
    /// Sets the fault to inject, or clears it with none.
    pub fn fault(&self, order: Option<fault::Order>) {
        self.state.fault.set(order);
    }

    /// The most recent requests that it received.
    pub fn seen(&self) -> Vec<seen::Seen> {
        self.state.seen.all()
    }

    /// Number of executions of each call.
    pub fn executions(&self) -> Executions {
        self.state.executions.lock().unwrap().clone()
    }
}

impl State {
    /// Executes a call, that is, counts it and makes its receipt.
    fn execute(&self, parts: &Parts, body: &[u8]) -> Receipt {
        let key = parts
            .headers
            .get("idempotency-key")
            .map(|key| String::from_utf8_lossy(key.as_bytes()).into_owned());
        let target = parts.uri.to_string();
        let mut executions = self.executions.lock().unwrap();
        let run = match &key {
            Some(key) => executions.keyed.entry(key.clone()).or_default(),
            None => {
                let call = format!("{} {target}", parts.method);
                executions.plain.entry(call).or_default()
            }
        };
        *run += 1;
        Receipt {
            method: parts.method.to_string(),
            target,
            key,
            run: *run,
            body_hash: text::Fnv::new().more(body).value(),
        }
    }
}

async fn answer(state: Arc<State>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/control/executions") => {
            let executions = state.executions.lock().unwrap().clone();
            Ok(serve::json(StatusCode::OK, &executions))
        }
        (&Method::GET, "/control/seen") => Ok(serve::json(StatusCode::OK, &state.seen.all())),
        (&Method::PUT, "/control/fault") => set_fault(&state.fault, request).await,
        (&Method::DELETE, "/control/fault") => {
            state.fault.set(None);
            Ok(serve::empty(StatusCode::NO_CONTENT))
        }
        _ => call(state, request).await,
    }
}

async fn call(state: Arc<State>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let (parts, body) = request.into_parts();
    let body = serve::read_body(body).await?;
    state.seen.record(&parts, &body);
    let fault = state.fault.strike();
    if fault == Some(Fault::Error) {
        let refusal = serve::empty(StatusCode::INTERNAL_SERVER_ERROR);
        return Ok(with_request_id(refusal, &parts, fault));
    }
    let receipt = state.execute(&parts, &body);
    sleep(state.settings.delay * state.fault.factor()).await;
    let whole = serde_json::to_vec(&receipt).unwrap_or_default();
    let kind = "application/json";
    let response = match fault {
        Some(Fault::Stall { .. }) => std::future::pending().await,
        Some(Fault::Cut { after: 0 }) => return Err(serve::cut_error()),
        Some(Fault::Cut { .. }) => serve::stream(kind, stream::iter(first_half_then_cut(whole))),
        Some(Fault::Garbage) => serve::answer(StatusCode::OK, kind, "{]\u{7}"),
        Some(Fault::Endless) => serve::stream(kind, stream::unfold((), endless).boxed()),
        _ => serve::answer(StatusCode::OK, kind, whole),
    };
    Ok(with_request_id(response, &parts, fault))
}

/// The first half of a body, followed by an error that breaks the connection.
fn first_half_then_cut(mut whole: Vec<u8>) -> [io::Result<Bytes>; 2] {
    whole.truncate(whole.len() / 2);
    [Ok(whole.into()), Err(serve::cut_error())]
}

async fn endless(state: ()) -> Option<(io::Result<Bytes>, ())> {
    sleep(ENDLESS_INTERVAL).await;
    Some((Ok(Bytes::from_static(b"still answering ")), state))
}
