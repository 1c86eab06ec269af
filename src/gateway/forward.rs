//! Where a call goes next: to an upstream of this region, or to a host of another.

use {
    super::{
        Call, Flow, Gateway, headers, model,
        pick::{self, Outstanding, Target},
        relay::Source,
    },
    crate::{
        clock::Clock,
        config::table::Kind as RouteKind,
        failure::{Code, Failure, Ran},
        link::{Handler, exchange::Head},
        name,
        platform::{Kind, State},
        wire,
    },
    bytes::Bytes,
    http::{HeaderMap, Request, Response, header},
    http_body_util::Full,
    std::time::Duration,
    tokio::time::timeout,
};

/// When to come back after no upstream could take a call.
const NO_CAPACITY_RETRY: Duration = Duration::from_secs(2);
/// Header with the request id, which upstreams repeat in their answers.
const REQUEST_HEADER: &str = "x-request-id";

impl<C: Clock> Gateway<C> {
    /// Runs a call up to the head of its answer.
    pub(super) async fn run(&self, call: Call) -> Result<(Head, Flow<C>), Failure> {
        if let Some((target, outstanding)) = self.local(&call)? {
            return self.send(call, target, outstanding).await;
        }
        self.forward(call).await
    }

    /// An upstream in this region, if residency allows it and there is one.
    fn local(&self, call: &Call) -> Result<Option<(Target, Outstanding)>, Failure> {
        let here = &self.parts().settings.region;
        if !allowed(call, here) {
            return Ok(None);
        }
        let listing = self.parts().listing.borrow().clone();
        let route = call.route()?;
        for pool in &route.pools {
            let Some(pool) = call.snapshot.pools.get(pool) else {
                continue;
            };
            if pool.region != *here {
                continue;
            }
            if let Some(picked) = self.0.balance.pick(pick::targets(pool, &listing)) {
                return Ok(Some(picked));
            }
        }
        Ok(None)
    }

    async fn send(
        &self,
        call: Call,
        target: Target,
        outstanding: Outstanding,
    ) -> Result<(Head, Flow<C>), Failure> {
        tracing::info!(
            request = call.request,
            route = %call.route,
            customer = call.customer.as_ref().map(tracing::field::display),
            pool = %target.pool,
            upstream = %target.upstream,
            reason = "least outstanding",
            "routed to an upstream"
        );
        let request = request(&call, &target)?;
        let sending = self
            .parts()
            .upstreams
            .send(target.address, request, call.repeatable());
        let response = timeout(self.remaining(&call)?, sending)
            .await
            .map_err(|_| late(Ran::Unknown))??;
        self.check_id(&call, &response)?;
        let (parts, body) = response.into_parts();
        let head = Head {
            status: parts.status.as_u16(),
            headers: headers::to_caller(&parts.headers),
            upstream: target.upstream,
            pool: target.pool,
        };
        let flow = Flow::new(self, call, Source::Upstream(body), Some(outstanding));
        Ok((head, flow))
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

    async fn forward(&self, call: Call) -> Result<(Head, Flow<C>), Failure> {
        let settings = &self.parts().settings;
        let peer = self.next_host(&call)?;
        let address = self.parts().peers.get(&peer).ok_or_else(|| {
            Failure::not_run(Code::Unreachable, format!("no address for host {peer}"))
        })?;
        tracing::info!(
            request = call.request,
            route = %call.route,
            customer = call.customer.as_ref().map(tracing::field::display),
            host = %peer,
            reason = "no upstream in this region",
            "forwarded to another region"
        );
        let mut visited = call.visited.clone();
        visited.push(settings.region.clone());
        let mut hosts = call.hosts.clone();
        hosts.push(settings.name.clone());
        let remaining = self.remaining(&call)?;
        let forwarded = wire::Call {
            request: call.request.clone(),
            route: call.route.clone(),
            customer: call.customer.clone(),
            digest: call.digest.as_ref().map(ToString::to_string),
            method: call.method.to_string(),
            target: call.target.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
            remaining,
            visited,
            hosts,
            hops: call.hops - 1,
        };
        self.parts().metrics.forwarded.inc();
        let opening = self
            .parts()
            .exchanges
            .open(address, forwarded, call.repeatable());
        let (head, body) = timeout(remaining, opening)
            .await
            .map_err(|_| late(Ran::Unknown))??;
        let flow = Flow::new(self, call, Source::Peer(Box::new(body)), None);
        Ok((head, flow))
    }

    /// A host of a region that residency allows, that has a pool of the route, and that the call
    /// has not visited.
    fn next_host(&self, call: &Call) -> Result<name::Host, Failure> {
        let here = &self.parts().settings.region;
        let route = call.route()?;
        let mut regions = route
            .pools
            .iter()
            .filter_map(|pool| Some(&call.snapshot.pools.get(pool)?.region))
            .filter(|region| allowed(call, region))
            .peekable();
        if regions.peek().is_none() {
            let message = "no pool of this route lies where your residency allows";
            return Err(Failure::not_run(Code::Residency, message));
        }
        let Some(region) = regions.find(|region| *region != here && !call.visited.contains(region))
        else {
            let message = "no upstream can take this now";
            return Err(Failure::not_run(Code::NoCapacity, message).retry_after(NO_CAPACITY_RETRY));
        };
        if call.hops == 0 {
            let message = "the call was forwarded too often";
            return Err(Failure::not_run(Code::LoopRefused, message));
        }
        let listing = self.parts().listing.borrow().clone();
        let turn = self.0.sequence.load(std::sync::atomic::Ordering::Relaxed) as usize;
        let hosts: Vec<_> = listing
            .hosts
            .iter()
            .filter(|host| host.kind == Kind::Entry && host.state == State::Live)
            .filter(|host| host.region == *region)
            .map(|host| name::Host::from(host.name.as_str()))
            .filter(|host| !call.hosts.contains(host))
            .collect();
        if hosts.is_empty() {
            let message = format!("no host of region {region} is known");
            return Err(Failure::not_run(Code::NoCapacity, message).retry_after(NO_CAPACITY_RETRY));
        }
        Ok(hosts[turn % hosts.len()].clone())
    }

    /// Time left until the call's deadline.
    pub(super) fn remaining(&self, call: &Call) -> Result<Duration, Failure> {
        call.deadline
            .checked_sub(self.parts().clock.now())
            .filter(|left| !left.is_zero())
            .ok_or_else(|| late(Ran::No))
    }

    /// Checks a forwarded call against this host's own view.
    fn taken(&self, call: wire::Call) -> Result<Call, Failure> {
        let settings = &self.parts().settings;
        if call.hosts.contains(&settings.name) || call.visited.contains(&settings.region) {
            let message = "the call has been here before";
            return Err(Failure::not_run(Code::LoopRefused, message));
        }
        let snapshot = self.snapshot()?;
        let digest = call.digest.map(|text| text.parse()).transpose().map_err(
            |error: crate::key::Malformed| Failure::not_run(Code::BadRequest, error.to_string()),
        )?;
        let mut taken = Call {
            request: call.request,
            snapshot: snapshot.clone(),
            route: call.route,
            customer: call.customer,
            digest,
            method: call
                .method
                .parse()
                .map_err(|_| Failure::not_run(Code::BadRequest, "the method is not valid"))?,
            target: call.target,
            headers: call.headers,
            body: call.body,
            ask: None,
            deadline: self.parts().clock.now() + call.remaining,
            visited: call.visited,
            hosts: call.hosts,
            hops: call.hops,
        };
        let route = taken.route()?;
        if !taken.key_holds(&snapshot) || (!route.open && taken.digest.is_none()) {
            let message = "the key is not known in this region";
            return Err(Failure::not_run(Code::KeyUnknown, message));
        }
        if !allowed(&taken, &settings.region) {
            let message = "residency does not allow this region";
            return Err(Failure::not_run(Code::Residency, message));
        }
        if route.kind == RouteKind::Model {
            taken.ask = Some(model::parse(&taken.body)?);
        }
        Ok(taken)
    }
}

impl<C: Clock> Handler for Gateway<C> {
    type Body = Flow<C>;

    async fn call(&self, from: &name::Host, call: wire::Call) -> Result<(Head, Flow<C>), Failure> {
        self.parts().metrics.taken.inc();
        tracing::info!(request = call.request, route = %call.route, host = %from, "taken from a host");
        let call = self.taken(call)?;
        self.run(call).await
    }

    async fn next(&self, flow: &mut Flow<C>) -> Result<Option<Bytes>, Failure> {
        flow.next().await
    }
}

/// Whether residency allows a region.
fn allowed(call: &Call, region: &name::Region) -> bool {
    let residency = call.residency();
    residency.is_empty() || residency.contains(region)
}

/// The request for the upstream. Only listed headers go along, and never the caller's key.
fn request(call: &Call, target: &Target) -> Result<Request<Full<Bytes>>, Failure> {
    let mut head = HeaderMap::new();
    headers::add(&mut head, &call.headers);
    let invalid =
        |error: http::Error| Failure::not_run(Code::BadRequest, format!("the request: {error}"));
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.target)
        .header(header::HOST, target.address.to_string())
        .header(REQUEST_HEADER, &call.request)
        .body(Full::new(call.body.clone()))
        .map_err(invalid)?;
    request.headers_mut().extend(head);
    Ok(request)
}

fn late(ran: Ran) -> Failure {
    Failure::new(Code::Deadline, ran, "the deadline has passed")
}
