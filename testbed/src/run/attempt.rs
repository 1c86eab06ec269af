//! The caller's side of one request: chooses a host, sends the call, retries at another host where
//! that is safe, and checks that the answer is whole and correct.

use {
    super::{
        Directory,
        outcome::{Outcome, Status},
    },
    crate::{
        client::{Call, Caller, Events},
        deployment::Deployment,
        fleet::Fleet,
        plain::Receipt,
        workload::{Item, Kind},
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{Response, body::Incoming},
    serde_json::Value,
    std::{io, net::SocketAddr, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// Largest number of hosts that a caller tries.
const MAX_TRIES: u32 = 3;

/// Time after which a caller gives up, for digests and for all other requests.
const DIGEST_TIMEOUT: Duration = Duration::from_secs(65);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(35);

/// Sends requests on behalf of all callers of a fleet.
#[derive(Debug)]
pub struct Sender {
    deployment: Deployment,
    clients: Vec<Vec<CustomerClient>>,
}

/// The client and host directory of one customer's callers in one region.
#[derive(Debug)]
struct CustomerClient {
    caller: Caller,
    directory: Directory,
}

/// Result of one try at one host.
#[derive(Debug)]
struct TryResult {
    status: Status,
    code: String,
    ran: Option<String>,
    first: Option<Instant>,
}

impl Sender {
    /// Creates the clients of a fleet. Each starts with the hosts of its own region.
    pub async fn start(fleet: &Fleet) -> Self {
        let deployment = fleet.deployment.clone();
        let mut clients = Vec::new();
        for region in 0..deployment.regions.len() {
            let mut row = Vec::new();
            for customer in 0..deployment.customers.len() {
                let caller = Caller::new(Some(deployment.caller_address(region, customer)));
                let known = fleet.caller_addresses(region);
                let directory = Directory::start(caller.clone(), known).await;
                row.push(CustomerClient { caller, directory });
            }
            clients.push(row);
        }
        Self {
            deployment,
            clients,
        }
    }

    /// Sends the request when it is due, trying other hosts where that can do no harm, and returns
    /// its outcome. A repeated item is sent once more afterwards and the second answer is ignored.
    pub async fn send(&self, item: &Item, start: Instant) -> Outcome {
        let client = &self.clients[item.region][item.customer];
        let call = item.call(&self.deployment);
        let max_wait = if item.kind == Kind::Digest {
            DIGEST_TIMEOUT
        } else {
            ANSWER_TIMEOUT
        };
        let due = start + item.at;
        let hosts = client.directory.hosts();
        let mut tries = 0;
        let end = loop {
            let host = hosts[tries as usize % hosts.len()];
            tries += 1;
            let end = attempt(&client.caller, host, item, &call, due + max_wait).await;
            if tries == MAX_TRIES || !end.should_try_next_host() {
                break end;
            }
        };
        let whole = due.elapsed();
        if item.is_repeated {
            let other = hosts[tries as usize % hosts.len()];
            attempt(&client.caller, other, item, &call, due + max_wait).await;
        }
        Outcome {
            number: item.number,
            at: item.at,
            kind: item.kind,
            customer: item.customer,
            status: end.status,
            code: end.code,
            ran: end.ran,
            first: end.first.map(|at| at - due),
            whole,
            tries,
        }
    }
}

impl TryResult {
    fn failed(code: impl Into<String>, first: Option<Instant>) -> Self {
        Self {
            status: Status::Failed,
            code: code.into(),
            ran: None,
            first,
        }
    }

    /// Whether the caller tries another host: when the host can't be reached or answers that it is
    /// not ready, and when the connection breaks before an answer has begun. Posts carry an
    /// idempotency key, so that they too may be sent again.
    fn should_try_next_host(&self) -> bool {
        match self.code.as_str() {
            "connect" | "not_ready" => true,
            "broken" => self.first.is_none(),
            _ => false,
        }
    }
}

async fn attempt(
    caller: &Caller,
    host: SocketAddr,
    item: &Item,
    call: &Call,
    deadline: Instant,
) -> TryResult {
    let trying = async {
        match caller.send(host, call).await {
            Ok(response) => read_response(item, response).await,
            Err(error) if is_connect(&error) => TryResult::failed("connect", None),
            Err(_) => TryResult::failed("broken", None),
        }
    };
    let ended = timeout_at(deadline, trying).await;
    ended.unwrap_or_else(|_| TryResult::failed("no-answer", None))
}

/// Whether the connection could not be opened.
fn is_connect(error: &io::Error) -> bool {
    let inner = error.get_ref();
    inner
        .and_then(|inner| inner.downcast_ref::<hyper_util::client::legacy::Error>())
        .is_some_and(hyper_util::client::legacy::Error::is_connect)
}

async fn read_response(item: &Item, response: Response<Incoming>) -> TryResult {
    if response.status().is_success() && item.kind.is_streamed() {
        return read_stream(item, response.into_body()).await;
    }
    let status = response.status();
    let first = Some(Instant::now());
    let Ok(body) = response.into_body().collect().await else {
        return TryResult::failed("broken", first);
    };
    let body = body.to_bytes();
    if !status.is_success() {
        return error_result(&body, status.as_u16());
    }
    if is_answer(item, &body) {
        return TryResult::whole(first);
    }
    TryResult {
        status: Status::Wrong,
        ..TryResult::failed("not the answer", first)
    }
}

impl TryResult {
    /// Turns a refusal into a failure when the first token had already arrived.
    fn failed_if_started(self) -> Self {
        let status = if self.first.is_some() {
            Status::Failed
        } else {
            self.status
        };
        Self { status, ..self }
    }

    fn whole(first: Option<Instant>) -> Self {
        Self {
            status: Status::Whole,
            ..Self::failed("", first)
        }
    }
}

/// The result for an error body of the gateway: a refusal if it says that the call did not run,
/// otherwise a failure.
fn error_result(body: &Bytes, status: u16) -> TryResult {
    let error: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = |name: &str| error.get(name).and_then(Value::as_str).map(str::to_owned);
    let ran = text("ran");
    let outcome = if ran.as_deref() == Some("no") {
        Status::Refused
    } else {
        Status::Failed
    };
    TryResult {
        status: outcome,
        ran,
        ..TryResult::failed(
            text("code").unwrap_or_else(|| format!("status-{status}")),
            None,
        )
    }
}

/// Whether the body is the complete and correct answer to the item.
fn is_answer(item: &Item, body: &Bytes) -> bool {
    match item.kind {
        Kind::Post => serde_json::from_slice::<Receipt>(body)
            .is_ok_and(|receipt| receipt.key.as_deref() == Some(&item.key)),
        Kind::Lookup => serde_json::from_slice::<Receipt>(body)
            .is_ok_and(|receipt| receipt.target.ends_with(&item.key)),
        _ => serde_json::from_slice::<Value>(body)
            .is_ok_and(|body| body["choices"][0]["message"]["content"] == item.answer()),
    }
}

/// Reads a stream until its `[DONE]` event, an error event or a broken connection.
async fn read_stream(item: &Item, mut body: Incoming) -> TryResult {
    let mut events = Events::default();
    let mut text = String::new();
    let mut first = None;
    let mut ended = false;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return TryResult::failed("broken", first);
        };
        let Some(piece) = frame.data_ref() else {
            continue;
        };
        for data in events.push(piece) {
            if data == "[DONE]" {
                ended = true;
                continue;
            }
            let chunk: Value = serde_json::from_str(&data).unwrap_or_default();
            if chunk.get("ran").is_some() {
                return TryResult {
                    first,
                    ..error_result(&data.into(), 0)
                }
                .failed_if_started();
            }
            if let Some(token) = chunk["choices"][0]["delta"]["content"].as_str() {
                first.get_or_insert_with(Instant::now);
                text.push_str(token);
            }
        }
    }
    match ended {
        true if text == item.answer() => TryResult::whole(first),
        true => TryResult {
            status: Status::Wrong,
            ..TryResult::failed("not the answer", first)
        },
        false => TryResult::failed("broken", first),
    }
}
