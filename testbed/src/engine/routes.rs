//! The engine's HTTP interface: completions, the model list, load reports, cache events, orders,
//! and the `/control` paths by which a test sets faults and reads totals.

use {
    super::{
        State,
        answer::{self, Head, Request as CompletionRequest},
        batch::{Delta, PENDING_TOKENS, Sequence},
        order::{self, Order},
    },
    crate::{
        fault::{self, Fault},
        serve::{self, Body},
        text, weights,
    },
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue,
        http::request::Parts,
    },
    serde_json::json,
    std::{io, sync::Arc},
    tokio::{sync::mpsc, time::sleep},
};

/// Priority of a request without `x-priority`.
const DEFAULT_PRIORITY: u8 = 5;

/// Highest priority; higher values of `x-priority` are lowered to it.
const MAX_PRIORITY: u8 = 9;

/// The `x-request-id` of a response under [`Fault::WrongId`].
const WRONG_ID: &str = "another-request";

pub(super) async fn answer(
    state: Arc<State>,
    request: Request<Incoming>,
) -> io::Result<Response<Body>> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => completion(state, request, true).await,
        (&Method::POST, "/v1/completions") => completion(state, request, false).await,
        (&Method::GET, "/v1/models") => Ok(models(&state)),
        (&Method::GET, "/load") => {
            let load = state.load.lock().unwrap().clone();
            let (parts, _) = request.into_parts();
            let report = serve::json(StatusCode::OK, &load);
            Ok(with_request_id(report, &parts, None))
        }
        (&Method::GET, "/events") => Ok(events(&state, &request)),
        (&Method::POST, "/orders") => orders(state, request).await,
        (&Method::GET, "/control/seen") => Ok(serve::json(StatusCode::OK, &state.seen.all())),
        (&Method::GET, "/control/count") => Ok(serve::json(StatusCode::OK, &state.count())),
        (&Method::GET, "/control/orders") => {
            let entries = state.control.lock().unwrap().entries.clone();
            Ok(serve::json(StatusCode::OK, &entries))
        }
        (&Method::PUT, "/control/fault") => set_fault(&state.fault, request).await,
        (&Method::DELETE, "/control/fault") => {
            state.fault.set(None);
            Ok(serve::empty(StatusCode::NO_CONTENT))
        }
        _ => Ok(answer::error(StatusCode::NOT_FOUND, "no such path")),
    }
}

/// Sets a fault switch to the order in a request's JSON body.
pub(crate) async fn set_fault(
    switch: &fault::Switch,
    request: Request<Incoming>,
) -> io::Result<Response<Body>> {
    let order = match serve::read_json::<fault::Order>(request.into_body()).await? {
        Ok(order) => order,
        Err(refusal) => return Ok(refusal),
    };
    switch.set(Some(order));
    Ok(serve::empty(StatusCode::NO_CONTENT))
}

async fn completion(
    state: Arc<State>,
    request: Request<Incoming>,
    chat: bool,
) -> io::Result<Response<Body>> {
    let (parts, body) = request.into_parts();
    let body = serve::read_body(body).await?;
    state.seen.record(&parts, &body);
    state.count.lock().unwrap().requests += 1;
    let fault = state.fault.strike();
    let asked = match serde_json::from_slice::<CompletionRequest>(&body) {
        Ok(asked) => asked,
        Err(error) => return Ok(answer::error(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    if let Some(refusal) = refusal(&state, &asked, &parts.headers, fault) {
        return Ok(with_request_id(refusal, &parts, fault));
    }
    if fault == Some(Fault::Garbage) {
        return Ok(with_request_id(
            answer::garbage(asked.stream),
            &parts,
            fault,
        ));
    }
    let (head, deltas) = enqueue(&state, &asked, &parts.headers, chat, fault);
    if fault == Some(Fault::Stall { after: 0 }) {
        std::future::pending::<()>().await;
    }
    if fault == Some(Fault::Cut { after: 0 }) {
        return Err(serve::cut_error());
    }
    let response = if asked.stream {
        answer::streamed(head, deltas)
    } else {
        answer::whole(head, deltas).await?
    };
    Ok(with_request_id(response, &parts, fault))
}

/// The response that refuses a request, or none when the request is to run.
fn refusal(
    state: &State,
    asked: &CompletionRequest,
    headers: &HeaderMap,
    fault: Option<Fault>,
) -> Option<Response<Body>> {
    if fault == Some(Fault::Error) {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        return Some(answer::error(status, "set by a fault switch"));
    }
    let control = state.control.lock().unwrap();
    if control.draining {
        return Some(answer::error(StatusCode::SERVICE_UNAVAILABLE, "draining"));
    }
    if !control.models.contains_key(&asked.model) {
        return Some(answer::error(StatusCode::NOT_FOUND, "model not loaded"));
    }
    if offset(headers) > 0 && !state.settings.resume {
        return Some(answer::error(StatusCode::BAD_REQUEST, "can't resume"));
    }
    None
}

fn enqueue(
    state: &State,
    asked: &CompletionRequest,
    headers: &HeaderMap,
    chat: bool,
    fault: Option<Fault>,
) -> (Head, mpsc::Receiver<Delta>) {
    let prompt = asked.prompt();
    let max = asked.token_limit().unwrap_or(state.settings.max_tokens);
    let total = text::answer_tokens(&prompt, max);
    let head = Head {
        id: format!("cmpl-{:016x}", text::hash(&prompt)),
        model: asked.model.clone(),
        chat,
        prompt_tokens: text::prompt_tokens(&prompt),
        total,
        max,
    };
    let (sender, receiver) = mpsc::channel(PENDING_TOKENS);
    *state
        .runs
        .lock()
        .unwrap()
        .entry(text::hash(&prompt))
        .or_default() += 1;
    state.batch.lock().unwrap().push(Sequence {
        prompt,
        next_token: offset(headers).min(total),
        total: if fault == Some(Fault::Endless) {
            u32::MAX
        } else {
            total
        },
        priority: header_number(headers, "x-priority").map_or(DEFAULT_PRIORITY, |priority| {
            u8::try_from(priority)
                .unwrap_or(MAX_PRIORITY)
                .min(MAX_PRIORITY)
        }),
        fault,
        deltas: sender,
    });
    state.work.notify_one();
    (head, receiver)
}

/// Adds the request's `x-request-id` to its response, or a wrong id if the fault asks for it.
pub(crate) fn with_request_id(
    mut response: Response<Body>,
    parts: &Parts,
    fault: Option<Fault>,
) -> Response<Body> {
    let id = match fault {
        Some(Fault::WrongId) => Some(HeaderValue::from_static(WRONG_ID)),
        _ => parts.headers.get("x-request-id").cloned(),
    };
    if let Some(id) = id {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u32> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn offset(headers: &HeaderMap) -> u32 {
    header_number(headers, "x-resume-offset").unwrap_or(0)
}

fn models(state: &State) -> Response<Body> {
    let control = state.control.lock().unwrap();
    let data: Vec<_> = control
        .models
        .keys()
        .map(|id| json!({"id": id, "object": "model", "owned_by": "testbed"}))
        .collect();
    serve::json(StatusCode::OK, &json!({"object": "list", "data": data}))
}

fn events(state: &State, request: &Request<Incoming>) -> Response<Body> {
    let after = serve::query_number(request, "after").unwrap_or(0);
    let until = state.now().saturating_sub(state.settings.event_lag);
    let gap = state.settings.event_gap_percent;
    let events = state.batch.lock().unwrap().cache.events(after, until, gap);
    serve::json(StatusCode::OK, &events)
}

async fn orders(state: Arc<State>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let asked = match serve::read_json::<order::Request>(request.into_body()).await? {
        Ok(asked) => asked,
        Err(refusal) => return Ok(refusal),
    };
    let order = asked.order.clone();
    if !state.control.lock().unwrap().apply(asked) {
        return Ok(answer::error(StatusCode::CONFLICT, "old fencing number"));
    }
    if let Order::Load { model, version } = order {
        tokio::spawn(load(state, model, version));
    }
    Ok(serve::empty(StatusCode::OK))
}

/// Fetches a model's weights, retrying until the store serves them, and then marks it as loaded.
async fn load(state: Arc<State>, model: String, version: String) {
    if let Some(store) = state.settings.weights {
        while !weights::fetch(store, &model, &version).await {
            sleep(state.settings.load_time).await;
        }
    }
    sleep(state.settings.load_time).await;
    state.control.lock().unwrap().record_loaded(model, version);
}
