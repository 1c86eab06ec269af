//! Admission of requests from callers and from hosts of other regions.
//!
//! Matches a request to a route and customer, reads its body, charges the customer's rate and
//! passes it to the host as a [`Job`]. Failures become error responses.

use {
    super::{
        answer::{Answer, Inbound},
        cache,
        dialect::{Dialect, Metadata},
        fingerprint::Fingerprint,
        headers,
        host::{Host, count_failure},
        memory::{Buffer, Lease, Revoked},
        place::Job,
        quarantine,
        table::{Denial, Edition, Limits, Match},
    },
    crate::{
        clock::Clock,
        failure::{Code, Failure, Ran},
        name,
        natural::Natural,
        wire,
    },
    bytes::Bytes,
    futures::stream::{self, Stream},
    http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header},
    http_body::{Body, Frame},
    http_body_util::{BodyExt, Either, Full, StreamBody},
    std::{
        error::Error,
        fmt::Display,
        pin::{Pin, pin},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Retry time given to callers while the host has no configuration yet.
const RETRY_AFTER_AT_START: Duration = Duration::from_millis(300);
/// When a caller should retry whose route can't be read; a new version of the configuration is needed.
const RETRY_AFTER_UNREADABLE: Duration = Duration::from_secs(2);
/// A leaving host accepts any request while more than this share of its grace is left, and later only
/// those that must end within the rest.
const FREE_GRACE_SHARE: f64 = 0.7;
/// The same as a time from the start of a long grace.
const MAX_FREE_TIME: Duration = Duration::from_millis(2_500);
/// When a caller should retry whose body can't be held.
const RETRY_AFTER_WITHOUT_MEMORY: Duration = Duration::from_millis(500);
/// Longest time for which a refusal waits for the rest of a body.
const MAX_DISCARD_TIME: Duration = Duration::from_millis(300);

/// Serves one HTTP request of a caller and returns its response.
pub async fn handle<D: Dialect, C: Clock>(
    host: Host<D, C>,
    request: Request<impl Body<Data = Bytes, Error: Display> + Send>,
) -> Response<impl Body<Data = Bytes, Error = Box<dyn Error + Send + Sync>> + Send> {
    let (mut head, body) = request.into_parts();
    let mut body = pin!(body);
    let expects_continue = head.headers.contains_key(header::EXPECT);
    let metadata = host.dialect.parse_request(&head);
    let caller_timeout = metadata.timeout.unwrap_or(Duration::MAX);
    let discard_time = caller_timeout.min(MAX_DISCARD_TIME);
    let id = metadata.id.clone();
    let target = head
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str())
        .to_owned();
    headers::remove_hop_by_hop(&mut head.headers);
    let leaving = host.is_leaving();
    let unanswered = Unanswered {
        id: id.as_deref().unwrap_or("-"),
        clock: &host.clock,
        arrived_at: host.clock.now(),
        is_answered: false,
    };
    let opened = admit(
        &host,
        metadata,
        head.method,
        target,
        head.headers,
        body.as_mut(),
    )
    .await;
    // The server closes a connection on which a body was left unread.
    let is_body_left = match &opened {
        Err(failure) if !body.is_end_stream() => {
            let may_read = failure.code != Code::BodyIncomplete && !expects_continue;
            let limit = limits(&host).max_body_bytes;
            !may_read || !discard(body, limit, discard_time).await
        }
        _ => false,
    };
    unanswered.finish();
    let mut response = match opened {
        Ok(mut answer) => {
            let status = answer.status();
            let headers = answer.headers().clone();
            let body = match answer.take_body() {
                Some(whole) => Either::Left(Full::new(whole)),
                None => Either::Right(StreamBody::new(body_stream(answer))),
            };
            let mut response = Response::new(body);
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        Err(failure) => {
            count_failure(&host.metrics, &failure);
            error_response(&host, &failure, id.as_deref().unwrap_or("-")).map(Either::Left)
        }
    };
    if leaving || host.is_leaving() || is_body_left {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// A request that has no answer yet. Dropping it before [`Unanswered::finish`] means that the caller
/// has left or that the task has failed.
struct Unanswered<'a, C: Clock> {
    id: &'a str,
    clock: &'a C,
    arrived_at: Duration,
    is_answered: bool,
}

impl<C: Clock> Unanswered<'_, C> {
    fn finish(mut self) {
        self.is_answered = true;
    }
}

impl<C: Clock> Drop for Unanswered<'_, C> {
    fn drop(&mut self) {
        if !self.is_answered {
            let after = self.clock.now().saturating_sub(self.arrived_at);
            tracing::info!(
                event = "abandoned",
                request = self.id,
                after_ms = after.as_millis() as u64,
                panicking = std::thread::panicking()
            );
        }
    }
}

/// Turns the rest of an answer into a stream of body frames.
fn body_stream<D: Dialect, C: Clock>(
    answer: Answer<D, C>,
) -> impl Stream<Item = Result<Frame<Bytes>, Failure>> + Send {
    stream::unfold(Some(answer), async |answer| {
        let mut answer = answer?;
        match answer.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(answer))),
            Ok(None) => None,
            Err(failure) => Some((Err(failure), None)),
        }
    })
}

/// Builds the response that tells a caller why its request failed.
fn error_response<D: Dialect, C: Clock>(
    host: &Host<D, C>,
    failure: &Failure,
    id: &str,
) -> Response<Full<Bytes>> {
    tracing::info!(event = "refused", request = id, code = %failure.code, ran = %failure.ran,
        retry_after_ms = failure.retry_after.map(|wait| wait.as_millis() as u64),
        reason = %failure.message);
    let mut response = Response::new(Full::from(failure.json(id).to_string()));
    let status = StatusCode::from_u16(host.dialect.status(failure));
    *response.status_mut() = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Some(wait) = failure.retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Checks a caller's request, reads its body, charges the customer and serves it. The charge is
/// refunded if the request did not run.
async fn admit<D: Dialect, C: Clock>(
    host: &Host<D, C>,
    metadata: Metadata,
    method: Method,
    target: String,
    mut headers: HeaderMap,
    body: Pin<&mut (impl Body<Data = Bytes, Error: Display> + Send)>,
) -> Result<Answer<D, C>, Failure> {
    let arrived_at = host.clock.now();
    let matched = match_route(host, &metadata, &target, &headers)?;
    let limits = limits(host);
    let caller_timeout = metadata.timeout.unwrap_or(Duration::MAX);
    let deadline = arrived_at + caller_timeout.min(matched.route.timeout);
    let customer = matched.customer.as_ref();
    let source = customer.map_or("-", |customer| customer.name.as_str());
    let body = read_body(
        body,
        host.request_memory.lease(source),
        limits.max_body_bytes,
        caller_timeout.min(limits.arrival_timeout),
    )
    .await?;
    host.dialect.remove_key(&mut headers);
    let inbound = Inbound {
        metadata,
        method,
        target,
        headers,
        body,
    };
    let job = build_job(host, &inbound, matched, arrived_at, deadline)?;
    refuse_when_leaving(host, &job)?;
    host.check_withheld(inbound.id(), &job)?;
    let units = job.matched.cost(inbound.metadata.tokens);
    let customer = job.matched.customer.clone();
    if let Some(customer) = &customer {
        let now = host.clock.now();
        let admitted = host.core().limiter.admit(now, &customer.name, units);
        admitted.map_err(|wait| {
            Failure::not_run(Code::RateLimited, "over the customer's rate").retry_after(wait)
        })?;
    }
    let served = tokio::select! {
        served = host.serve(inbound, job) => served,
        () = host.until_grace_ends() => {
            let reason = "the host has stopped before the answer came";
            Err(Failure::new(Code::Deadline, Ran::Unknown, reason))
        }
    };
    if let (Err(failure), Some(customer)) = (&served, &customer)
        && failure.ran == Ran::No
    {
        host.core().limiter.refund(&customer.name, units);
    }
    served
}

/// The limits in force.
fn limits<D: Dialect, C: Clock>(host: &Host<D, C>) -> Limits {
    let limits = host.core().table().map(|table| table.limits);
    limits.unwrap_or_default()
}

/// Looks up the route and customer of a request in the configuration in force.
fn match_route<D: Dialect, C: Clock>(
    host: &Host<D, C>,
    metadata: &Metadata,
    target: &str,
    headers: &HeaderMap,
) -> Result<Match, Failure> {
    let core = host.core();
    let not_ready =
        |reason| Failure::not_run(Code::NotReady, reason).retry_after(RETRY_AFTER_AT_START);
    let table = core
        .table()
        .ok_or_else(|| not_ready("no configuration is known yet"))?;
    let authority = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let authority = authority.unwrap_or_default();
    let path = target.split('?').next().unwrap_or(target);
    table
        .resolve(authority, path, metadata.key.as_deref())
        .map_err(|denial| match denial {
            Denial::RouteUnknown => Failure::not_run(Code::RouteUnknown, "no such route"),
            Denial::KeyUnknown => Failure::not_run(Code::KeyUnknown, "the key is not known"),
            Denial::NoHome => Failure::not_run(
                Code::Residency,
                "route and customer have no region in common",
            ),
            Denial::Unreadable => Failure::not_run(
                Code::NotReady,
                "the configuration's row for the request can't be read",
            )
            .retry_after(RETRY_AFTER_UNREADABLE),
        })
}

/// Builds the job of a request and draws its pool.
fn build_job<D: Dialect, C: Clock>(
    host: &Host<D, C>,
    inbound: &Inbound,
    matched: Match,
    arrived_at: Duration,
    deadline: Duration,
) -> Result<Job, Failure> {
    let metadata = &inbound.metadata;
    let customer = matched.customer.as_ref().map(|customer| &customer.name);
    let fingerprint = Fingerprint::of(
        &inbound.method,
        &inbound.target,
        &inbound.headers,
        customer,
        &inbound.body,
    );
    let prefixes = cache::prefixes(&metadata.prompt_parts);
    let session = cache::session_prefix(&prefixes).map(|prefix| prefix.hash);
    let pool = host.core().draw_pool(&matched, session);
    Ok(Job {
        pool: pool.ok_or_else(|| Failure::not_run(Code::NoCapacity, "the route has no pool"))?,
        may_forward: true,
        max_attempts: matched.route.max_attempts,
        matched,
        tokens: metadata.tokens.unwrap_or_default(),
        suspects: quarantine::suspects(fingerprint, &prefixes),
        prefixes,
        fingerprint,
        arrived_at,
        deadline,
        tried: Vec::new(),
        avoided_hosts: Vec::new(),
        build: None,
    })
}

/// Refuses a request that might not end before a leaving host stops.
fn refuse_when_leaving<D: Dialect, C: Clock>(host: &Host<D, C>, job: &Job) -> Result<(), Failure> {
    let Some((time_left, grace)) = host.grace_left() else {
        return Ok(());
    };
    let ends_in_time = job.deadline <= host.clock.now() + time_left;
    let is_free = time_left > grace.mul_f64(FREE_GRACE_SHARE)
        && grace.saturating_sub(time_left) < MAX_FREE_TIME;
    if is_free || ends_in_time {
        return Ok(());
    }
    Err(Failure::not_run(Code::NotReady, "the host is shutting down").retry_after(Duration::ZERO))
}

/// Checks a request forwarded by a host of another region against the configuration in force here
/// and builds its job.
pub(super) fn accept_forwarded<D: Dialect, C: Clock>(
    host: &Host<D, C>,
    from: &name::Host,
    call: wire::Call,
) -> Result<(Inbound, Job), Failure> {
    let not_ready = |reason: &str| Failure::not_run(Code::NotReady, reason);
    let now = host.clock.now();
    let headers =
        headers::from_wire(&call.headers).ok_or_else(|| not_ready("malformed headers"))?;
    let method =
        Method::from_bytes(call.method.as_bytes()).map_err(|_| not_ready("malformed method"))?;
    let mut request = Request::new(());
    *request.headers_mut() = headers;
    let (head, ()) = request.into_parts();
    let metadata = host.dialect.parse_request(&head);
    let version = Natural::join(call.version, call.long_version);
    let matched = {
        let core = host.core();
        let needed = Edition {
            version: version.clone(),
            digest: call.version_digest,
        };
        let table = core
            .table()
            .filter(|table| table.edition().covers(&needed))
            .ok_or_else(|| not_ready("the configuration here is older or another one"))?;
        table
            .match_forwarded(&call.route, call.customer.as_ref())
            .ok_or_else(|| not_ready("the configuration here no longer allows it"))?
    };
    if !matched.allows(&host.identity.region) {
        return Err(Failure::not_run(
            Code::Residency,
            "not a home of the request",
        ));
    }
    let arrived_at = now.saturating_sub(call.elapsed);
    let inbound = Inbound {
        metadata,
        method,
        target: call.target,
        headers: head.headers,
        body: call.body,
    };
    let mut job = build_job(host, &inbound, matched, arrived_at, now + call.remaining)?;
    // The sender counts this as one attempt and makes further attempts itself.
    job.max_attempts = 1;
    job.may_forward = false;
    job.build = call.build;
    refuse_when_leaving(host, &job)?;
    if host.should_log(&call.request) {
        tracing::info!(event = "taken", request = call.request, from = %from, route = %call.route,
            version = version.short(), long_version = version.long(), elapsed_ms = call.elapsed.as_millis() as u64);
    }
    Ok((inbound, job))
}

/// Reads the complete body of a request, up to `limit` bytes and for at most `time_limit`.
async fn read_body(
    mut body: Pin<&mut (impl Body<Data = Bytes, Error: Display> + Send)>,
    lease: Lease,
    limit: usize,
    time_limit: Duration,
) -> Result<Bytes, Failure> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let too_large = || Failure::not_run(Code::BodyTooLarge, "the body is larger than the limit");
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let collecting = async {
        let mut buffer = Buffer::new(lease);
        loop {
            let piece = buffer.unless_revoked(body.frame()).await;
            let Some(piece) = piece.map_err(no_memory)? else {
                return Ok(buffer.into_bytes());
            };
            let piece =
                piece.map_err(|error| Failure::not_run(Code::BodyIncomplete, error.to_string()))?;
            let Ok(bytes) = piece.into_data() else {
                continue;
            };
            if buffer.len() + bytes.len() > limit {
                return Err(too_large());
            }
            buffer.push(&bytes).map_err(no_memory)?;
        }
    };
    timeout(time_limit, collecting).await.unwrap_or_else(|_| {
        let reason = "the body did not arrive in time";
        Err(Failure::not_run(Code::BodyIncomplete, reason))
    })
}

/// The failure of a request whose body can't be held beside the others.
fn no_memory(revoked: Revoked) -> Failure {
    Failure::not_run(Code::NoCapacity, revoked.to_string()).retry_after(RETRY_AFTER_WITHOUT_MEMORY)
}

/// Reads the rest of a refused request's body, up to `limit` bytes and for at most `time_limit`.
/// Returns whether its end was reached.
async fn discard(
    mut body: Pin<&mut (impl Body<Data = Bytes, Error: Display> + Send)>,
    limit: usize,
    time_limit: Duration,
) -> bool {
    if body.size_hint().lower() > limit as u64 {
        return false;
    }
    let reading = async {
        let mut left = limit;
        loop {
            match body.frame().await {
                None => return true,
                Some(Err(_)) => return false,
                Some(Ok(frame)) => match left.checked_sub(frame.data_ref().map_or(0, Bytes::len)) {
                    Some(rest) => left = rest,
                    None => return false,
                },
            }
        }
    };
    timeout(time_limit, reading).await.unwrap_or(false)
}
