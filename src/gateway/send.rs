//! Sending a call to an upstream of this region.

use {
    super::{Call, Flow, Gateway, choose::Target, headers, relay::Source},
    crate::{
        clock::Clock,
        failure::{Code, Failure, Ran},
        link::exchange::Head,
        queue::Slot,
        route::Sent,
        upstream,
    },
    bytes::Bytes,
    http::{HeaderMap, Request, Response, header},
    http_body_util::Full,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Header with the request id, which upstreams repeat in their answers.
const REQUEST_HEADER: &str = "x-request-id";

impl<C: Clock> Gateway<C> {
    /// Sends a call to an upstream and waits for the head of its answer.
    pub(super) async fn send(
        &self,
        call: Call,
        target: Target<C>,
        slot: Slot<C>,
    ) -> Result<(Head, Flow<C>), Failure> {
        let sent = target.sent;
        let response = match self.response(&call, &sent).await {
            Ok(response) => response,
            Err(failure) => {
                sent.failed();
                return Err(failure);
            }
        };
        let (parts, body) = response.into_parts();
        let sent = match parts.status.is_server_error() {
            true => {
                sent.failed();
                None
            }
            false => Some(sent),
        };
        let head = Head {
            status: parts.status.as_u16(),
            headers: headers::to_caller(&parts.headers),
            upstream: target.upstream,
            pool: target.pool,
        };
        let flow = Flow::new(self, call, Source::Upstream(body), sent, Some(slot));
        Ok((head, flow))
    }

    /// The head of the upstream's answer, once it is known to belong to the call.
    async fn response(
        &self,
        call: &Call,
        sent: &Sent<C>,
    ) -> Result<Response<upstream::Body>, Failure> {
        let request = request(call, sent.address)?;
        let sending = self
            .parts()
            .upstreams
            .send(sent.address, request, call.repeatable());
        let response = timeout(self.remaining(call)?, sending)
            .await
            .map_err(|_| late(Ran::Unknown))??;
        self.check_id(call, &response)?;
        Ok(response)
    }

    /// An answer that carries another exchange's id is dropped and counted.
    fn check_id<B>(&self, call: &Call, response: &Response<B>) -> Result<(), Failure> {
        let Some(id) = response.headers().get(REQUEST_HEADER) else {
            return Ok(());
        };
        if id.as_bytes() == call.request.as_bytes() {
            return Ok(());
        }
        self.parts().metrics.crossed.inc();
        let message = "the upstream answered another request";
        Err(Failure::new(Code::UpstreamFailed, Ran::Unknown, message))
    }

    /// Time left until the call's deadline.
    pub(super) fn remaining(&self, call: &Call) -> Result<Duration, Failure> {
        call.deadline
            .checked_sub(self.parts().clock.now())
            .filter(|left| !left.is_zero())
            .ok_or_else(|| late(Ran::No))
    }
}

/// The request for the upstream. Only listed headers go along, and never the caller's key.
fn request(call: &Call, address: SocketAddr) -> Result<Request<Full<Bytes>>, Failure> {
    let mut head = HeaderMap::new();
    headers::add(&mut head, &call.headers);
    let invalid =
        |error: http::Error| Failure::not_run(Code::BadRequest, format!("the request: {error}"));
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.target)
        .header(header::HOST, address.to_string())
        .header(REQUEST_HEADER, &call.request)
        .body(Full::new(call.body.clone()))
        .map_err(invalid)?;
    request.headers_mut().extend(head);
    Ok(request)
}

pub(super) fn late(ran: Ran) -> Failure {
    Failure::new(Code::Deadline, ran, "the deadline has passed")
}
