//! Turns a caller's HTTP request into a [`Call`]: authenticates the key, reads the body and finds
//! the route.

use {
    super::{Call, Gateway, headers, model::Request as ModelRequest},
    crate::{
        clock::Clock,
        config::{
            Snapshot,
            table::{Customer, Kind, Route},
        },
        entry::Phase,
        failure::{Code, Failure},
        key::Digest,
    },
    bytes::Bytes,
    http::{HeaderMap, Uri, header},
    http_body_util::BodyExt,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
    viz::{Body, Request},
};

/// Longest gap between two chunks of a request's body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How many times a call may be forwarded.
const MAX_HOPS: u8 = 2;
/// `retry_after` of a host that has no confirmed configuration or is shutting down.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Paths of model calls; any other path belongs to a plain service.
const MODEL_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// The key that came with a request and the customer it belongs to.
struct Caller<'a> {
    key: Option<&'a str>,
    digest: Option<Digest>,
    customer: Option<&'a Customer>,
}

impl<C: Clock> Gateway<C> {
    /// The configuration in force. Fails while this host cannot serve calls.
    pub(super) fn snapshot(&self) -> Result<Arc<Snapshot>, Failure> {
        if *self.dependencies().phase.borrow() == Phase::Closed {
            let message = "this host is shutting down: ask /v1/hosts of another";
            return Err(
                Failure::not_run(Code::NotReady, message).retry_after(NOT_READY_RETRY_AFTER)
            );
        }
        if !self.dependencies().liveness.is_current() {
            let message = "this host was stopped and has not confirmed its configuration since";
            return Err(
                Failure::not_run(Code::NotReady, message).retry_after(NOT_READY_RETRY_AFTER)
            );
        }
        let snapshot = self.dependencies().config.borrow().clone();
        snapshot.ok_or_else(|| {
            Failure::not_run(Code::NotReady, "this host has no configuration yet")
                .retry_after(NOT_READY_RETRY_AFTER)
        })
    }

    /// Authenticates, reads and routes a caller's request.
    pub(super) async fn receive(&self, id: &str, request: Request) -> Result<Call, Failure> {
        let arrived = self.dependencies().clock.now();
        let snapshot = self.snapshot()?;
        let (head, body) = request.into_parts();
        let caller = authenticate(&snapshot, &head.headers);
        let is_model = MODEL_PATHS.contains(&head.uri.path());
        if !is_model {
            let route = plain_route(&snapshot, &head.uri)?;
            authorize(route, &caller)?;
        } else if caller.customer.is_none() && !snapshot.routes.values().any(|row| row.open) {
            return Err(unknown_key());
        }
        let body = self.read_body(body).await?;
        let model_request = is_model.then(|| ModelRequest::parse(&body)).transpose()?;
        let route = match &model_request {
            Some(model_request) => model_route(&snapshot, &model_request.model, &caller)?,
            None => plain_route(&snapshot, &head.uri)?,
        };
        authorize(route, &caller)?;
        reject_exposed_key(&caller, &head.uri, &body)?;
        let customer = if caller.customer.is_some_and(|row| may_use(route, row)) {
            caller.customer
        } else {
            None
        };
        Ok(Call {
            request_id: id.into(),
            route: route.name.clone(),
            customer: customer.map(|row| row.name.clone()),
            key_digest: customer.and(caller.digest),
            method: head.method,
            target: target(&head.uri),
            headers: headers::to_upstream(&head.headers, caller.key),
            body: model_request
                .as_ref()
                .map_or(body, |model_request| model_request.body.clone()),
            model_request,
            deadline: arrived + Duration::from_millis(route.deadline_ms),
            visited_regions: Vec::new(),
            visited_hosts: Vec::new(),
            hops_left: MAX_HOPS,
            snapshot: snapshot.clone(),
        })
    }

    /// Reads the whole body, within the size limit and the idle timeout.
    async fn read_body(&self, mut body: Body) -> Result<Bytes, Failure> {
        let limit = self.dependencies().settings.body_limit;
        let mut bytes = Vec::new();
        loop {
            let frame = timeout(BODY_IDLE_TIMEOUT, body.frame())
                .await
                .map_err(|_| Failure::not_run(Code::BodyIncomplete, "the body stopped half way"))?;
            let Some(frame) = frame else {
                return Ok(bytes.into());
            };
            let frame = frame.map_err(|error| {
                Failure::not_run(Code::BodyIncomplete, format!("the body broke off: {error}"))
            })?;
            let Ok(chunk) = frame.into_data() else {
                continue;
            };
            if bytes.len() + chunk.len() > limit {
                let message = format!("the body is larger than {limit} bytes");
                return Err(Failure::not_run(Code::BodyTooLarge, message));
            }
            bytes.extend_from_slice(&chunk);
        }
    }

    /// The models that the caller may use, in the format of the OpenAI API.
    pub(super) fn models(&self, headers: &HeaderMap) -> Result<serde_json::Value, Failure> {
        let snapshot = self.snapshot()?;
        let caller = authenticate(&snapshot, headers);
        let rows: Vec<_> = snapshot
            .routes
            .values()
            .filter(|route| authorize(route, &caller).is_ok())
            .filter_map(|route| route.model.as_ref())
            .map(|model| serde_json::json!({"id": model, "object": "model", "created": 0, "owned_by": "greengagecleat"}))
            .collect();
        if rows.is_empty() && caller.customer.is_none() {
            return Err(unknown_key());
        }
        Ok(serde_json::json!({"object": "list", "data": rows}))
    }
}

/// The customer whose key is in these headers; `None` without a known key.
pub(super) fn customer(snapshot: &Snapshot, headers: &HeaderMap) -> Option<Customer> {
    authenticate(snapshot, headers).customer.cloned()
}

fn authenticate<'a>(snapshot: &'a Snapshot, headers: &'a HeaderMap) -> Caller<'a> {
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, key)| key.trim());
    let digest = key.map(|key| Digest::of(key.as_bytes()));
    Caller {
        key,
        digest,
        customer: digest.and_then(|digest| snapshot.customer_by_key(&digest)),
    }
}

fn model_route<'a>(
    snapshot: &'a Snapshot,
    model: &str,
    caller: &Caller<'_>,
) -> Result<&'a Route, Failure> {
    let Some(route) = snapshot.model_route(model) else {
        // An unauthenticated caller must not learn which models exist.
        if caller.customer.is_none() {
            return Err(unknown_key());
        }
        let message = "no route serves this model: see GET /v1/models";
        return Err(Failure::not_run(Code::RouteUnknown, message));
    };
    Ok(route)
}

fn plain_route<'a>(snapshot: &'a Snapshot, uri: &Uri) -> Result<&'a Route, Failure> {
    snapshot
        .plain_route(uri.path())
        .filter(|route| route.kind == Kind::Plain)
        .ok_or_else(|| Failure::not_run(Code::RouteUnknown, "no route has this path"))
}

/// Fails unless the caller may use the route.
fn authorize(route: &Route, caller: &Caller<'_>) -> Result<(), Failure> {
    if route.open {
        return Ok(());
    }
    let customer = caller.customer.ok_or_else(unknown_key)?;
    if may_use(route, customer) {
        return Ok(());
    }
    let message = "this route is not for your customer";
    Err(Failure::not_run(Code::RouteForbidden, message))
}

fn may_use(route: &Route, customer: &Customer) -> bool {
    route.customers.is_empty() || route.customers.contains(&customer.name)
}

/// Refuses a request whose path, query or body contains the key, since those are sent to the
/// upstream.
fn reject_exposed_key(caller: &Caller<'_>, uri: &Uri, body: &[u8]) -> Result<(), Failure> {
    let Some(key) = caller.key.filter(|_| caller.customer.is_some()) else {
        return Ok(());
    };
    if headers::contains(target(uri).as_bytes(), key.as_bytes())
        || headers::contains(body, key.as_bytes())
    {
        let message = "the key stands in the path, the query or the body: send it in the Authorization header only";
        return Err(Failure::not_run(Code::BadRequest, message));
    }
    Ok(())
}

fn target(uri: &Uri) -> String {
    uri.path_and_query()
        .map_or_else(|| "/".into(), |target| target.as_str().into())
}

fn unknown_key() -> Failure {
    let message = "no key, or one that is not known: send Authorization: Bearer KEY";
    Failure::not_run(Code::KeyUnknown, message)
}
