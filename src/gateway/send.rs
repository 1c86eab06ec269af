//! Sends calls to upstreams of this region.

use {
    super::{Call, Gateway, headers},
    crate::{
        clock::Clock,
        failure::{Code, Failure, Ran},
        link::exchange::Head,
        name, rest, upstream,
    },
    bytes::Bytes,
    http::{HeaderMap, Request, Response, StatusCode, header},
    http_body_util::Full,
    std::{future::pending, net::SocketAddr, time::Duration},
};

/// Header with the request id. Upstreams repeat it in their answers, which exposes an answer
/// to another request.
pub(super) const REQUEST_HEADER: &str = "x-request-id";
/// Header with the number of tokens that an engine skips to resume a stream.
const OFFSET_HEADER: &str = "x-resume-offset";

impl<C: Clock> Gateway<C> {
    /// Sends a call to an upstream and waits for the head of the response. The call has not run if
    /// the upstream was leaving by the time that a connection was open.
    pub(super) async fn send_to_upstream(
        &self,
        call: &Call,
        upstream: &name::Upstream,
        address: SocketAddr,
        offset: u64,
    ) -> Result<Response<upstream::Body>, Failure> {
        let request = upstream_request(call, address, offset)?;
        let router = &self.dependencies().router;
        let may_send = || router.with(|router, now| router.accepts(now, upstream));
        let call = upstream::Call {
            address,
            request,
            id: Some(&call.request_id),
            is_repeatable: call.is_repeatable(),
        };
        let upstreams = &self.dependencies().upstreams;
        upstreams.send_unless(call, pending(), may_send).await
    }

    /// Time left until the call's deadline. Fails if it has passed.
    pub(super) fn remaining(&self, call: &Call) -> Result<Duration, Failure> {
        call.deadline
            .checked_sub(self.dependencies().clock.now())
            .filter(|remaining| !remaining.is_zero())
            .ok_or_else(|| deadline_passed(Ran::No))
    }
}

/// Builds the request to the upstream. It has only the allowed headers, never the caller's key.
fn upstream_request(
    call: &Call,
    address: SocketAddr,
    offset: u64,
) -> Result<Request<Full<Bytes>>, Failure> {
    let mut head = HeaderMap::new();
    headers::add(&mut head, &call.headers);
    let invalid =
        |error: http::Error| Failure::not_run(Code::BadRequest, format!("the request: {error}"));
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.target)
        .header(header::HOST, address.to_string())
        .header(REQUEST_HEADER, &call.request_id)
        .body(Full::new(call.body.clone()))
        .map_err(invalid)?;
    request.headers_mut().extend(head);
    if offset > 0 {
        request.headers_mut().insert(OFFSET_HEADER, offset.into());
    }
    Ok(request)
}

/// How long an upstream that has turned a call away wants no other from this host: the seconds of a
/// 503's `retry-after`. A date says when the resource is there again, not that the upstream needs rest.
pub(super) fn requested_rest<B>(response: &Response<B>) -> Option<Duration> {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    rest::parse_seconds(response.headers().get(header::RETRY_AFTER)?.to_str().ok()?)
}

/// Splits an upstream's response into the head that is relayed to the caller and the body.
pub(super) fn split_response(
    response: Response<upstream::Body>,
    upstream: name::Upstream,
    pool: name::Pool,
) -> (Head, upstream::Body) {
    let (parts, body) = response.into_parts();
    let head = Head {
        status: parts.status.as_u16(),
        headers: headers::to_caller(&parts.headers),
        upstream,
        build: None,
        pool,
    };
    (head, body)
}

pub(super) fn deadline_passed(ran: Ran) -> Failure {
    Failure::new(Code::Deadline, ran, "the deadline has passed")
}
