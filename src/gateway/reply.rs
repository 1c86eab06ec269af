//! The callers' HTTP interface: turns answers and failures into HTTP responses.

use {
    super::{Gateway, Relay, headers, inbound::customer},
    crate::{
        clock::Clock,
        directory,
        failure::{Failure, Ran},
        link::exchange::Head,
        metric::AnsweredLabels,
    },
    bytes::Bytes,
    futures::stream,
    http::{HeaderValue, StatusCode, header},
    std::{convert::Infallible, io},
    viz::{Body, IntoResponse, Request, RequestExt, Response, Router},
};

impl<C: Clock> Gateway<C> {
    /// HTTP routes for callers: `/v1/models`, `/v1/hosts`, and calls on any other path.
    pub fn router(&self) -> Router {
        let calls = self.clone();
        let models = self.clone();
        let hosts = self.clone();
        Router::new()
            .get("/v1/models", move |request: Request| {
                let gateway = models.clone();
                async move { Ok::<_, viz::Error>(gateway.models_reply(&request)) }
            })
            .get("/v1/hosts", move |request: Request| {
                let gateway = hosts.clone();
                async move { Ok::<_, viz::Error>(gateway.hosts_reply(&request)) }
            })
            .any("/*", move |request: Request| {
                let gateway = calls.clone();
                async move { Ok::<_, viz::Error>(gateway.answer(request).await) }
            })
    }

    /// Serves one call of a caller.
    pub async fn answer(&self, request: Request) -> Response {
        let arrived = self.dependencies().clock.now();
        let id = self.request_id();
        let call = match self.receive(&id, request).await {
            Ok(call) => call,
            Err(failure) => return self.refuse(&id, &failure),
        };
        match self.run_charged(call).await {
            Ok((head, relay)) => {
                let elapsed = self.dependencies().clock.now().saturating_sub(arrived);
                self.dependencies()
                    .metrics
                    .head_seconds
                    .observe(elapsed.as_secs_f64());
                self.reply(&id, &head, relay)
            }
            Err(failure) => self.refuse(&id, &failure),
        }
    }

    fn models_reply(&self, request: &Request) -> Response {
        match self.models(request.headers()) {
            Ok(models) => json(StatusCode::OK, &models),
            Err(failure) => self.refuse(&self.request_id(), &failure),
        }
    }

    fn hosts_reply(&self, request: &Request) -> Response {
        let caller = self.directory_caller(request);
        let view = self.dependencies().view.borrow().clone();
        let answer = directory::resolve(&view, &self.dependencies().settings.region, &caller);
        let rows: Vec<_> = answer
            .hosts
            .iter()
            .map(|host| serde_json::json!({"name": host.name, "address": host.address, "region": host.region, "domain": host.domain}))
            .collect();
        json(
            StatusCode::OK,
            &serde_json::json!({"hosts": rows, "valid_for_seconds": answer.ttl.as_secs()}),
        )
    }

    /// Describes the caller to the directory by address and, if the key is known, by customer.
    fn directory_caller(&self, request: &Request) -> directory::Caller {
        let address = request.remote_addr().map(|address| address.ip());
        let snapshot = self.dependencies().config.borrow().clone();
        let customer = snapshot.and_then(|snapshot| customer(&snapshot, request.headers()));
        let places = self.dependencies().places.borrow().clone();
        directory::Caller {
            key: format!(
                "{} {}",
                address.map_or_else(String::new, |address| address.to_string()),
                customer.as_ref().map_or("", |row| row.name.as_str())
            ),
            region: address.and_then(|address| places.region(address).cloned()),
            residency: customer.map_or_else(Default::default, |row| row.residency),
        }
    }

    fn refuse(&self, id: &str, failure: &Failure) -> Response {
        self.count_failure(failure);
        let outcome = if failure.ran == Ran::No {
            "refused"
        } else {
            "failed"
        };
        tracing::info!(request = id, code = %failure.code, ran = %failure.ran, reason = failure.message, "{outcome}");
        let status = StatusCode::from_u16(failure.code.status()).expect("a valid status");
        let mut response = json(status, &failure.json(id));
        if let Some(wait) = failure.retry_after {
            let seconds = wait.as_secs_f64().ceil() as u64;
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        set_request_id(&mut response, id);
        response
    }

    fn reply(&self, id: &str, head: &Head, relay: Relay<C>) -> Response {
        let label = AnsweredLabels {
            route: relay.call().route.to_string(),
            status: head.status,
        };
        self.dependencies()
            .metrics
            .answered
            .get_or_create(&label)
            .inc();
        let body = if relay.call().is_streamed() {
            Body::from_stream(stream::unfold(Some(relay), next_event_chunk))
        } else {
            Body::from_stream(stream::unfold(Some(relay), next_plain_chunk))
        };
        let mut response = Response::new(body);
        *response.status_mut() =
            StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
        headers::add(response.headers_mut(), &head.headers);
        set_request_id(&mut response, id);
        response
    }
}

/// The next chunk of a plain body. A failure becomes a connection error, so that the caller sees
/// that the body is incomplete.
async fn next_plain_chunk<C: Clock>(
    relay: Option<Relay<C>>,
) -> Option<(io::Result<Bytes>, Option<Relay<C>>)> {
    let mut relay = relay?;
    match relay.next().await {
        Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
        Ok(None) => None,
        Err(failure) => {
            relay.log_break(&failure);
            Some((Err(io::Error::other(failure)), None))
        }
    }
}

/// The next chunk of a stream of events. A failure becomes a last `error` event, and the end mark
/// of a whole answer is left out.
async fn next_event_chunk<C: Clock>(
    relay: Option<Relay<C>>,
) -> Option<(Result<Bytes, Infallible>, Option<Relay<C>>)> {
    let mut relay = relay?;
    match relay.next().await {
        Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
        Ok(None) => None,
        Err(failure) => {
            relay.log_break(&failure);
            let event = format!(
                "\n\nevent: error\ndata: {}\n\n",
                failure.json(&relay.call().request_id)
            );
            Some((Ok(event.into()), None))
        }
    }
}

impl<C: Clock> Relay<C> {
    fn log_break(&self, failure: &Failure) {
        tracing::info!(
            request = self.call().request_id,
            code = %failure.code,
            ran = %failure.ran,
            reason = failure.message,
            "answer broken off"
        );
    }
}

fn json(status: StatusCode, value: &serde_json::Value) -> Response {
    let mut response = value.to_string().into_response();
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

fn set_request_id(response: &mut Response, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert("x-request-id", value);
    }
}
