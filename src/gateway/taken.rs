//! Accepts calls that other hosts forward, after checking each again against this host's own
//! configuration.

use {
    super::{Call, Gateway, Relay, Request},
    crate::{
        clock::Clock,
        config::table::Kind,
        failure::{Code, Failure},
        link::{Handler, exchange::Head},
        name, wire,
    },
    bytes::Bytes,
};

impl<C: Clock> Gateway<C> {
    /// Checks a forwarded call for loops and against this host's own configuration: key, route and
    /// residency.
    fn accept(&self, call: wire::Call) -> Result<Call, Failure> {
        let settings = &self.dependencies().settings;
        if call.hosts.contains(&settings.name) || call.visited.contains(&settings.region) {
            let message = "the call has been here before";
            return Err(Failure::not_run(Code::LoopRefused, message));
        }
        let snapshot = self.snapshot()?;
        let key_digest = call.digest.map(|text| text.parse()).transpose().map_err(
            |error: crate::key::ParseDigestError| {
                Failure::not_run(Code::BadRequest, error.to_string())
            },
        )?;
        let mut accepted = Call {
            request_id: call.request,
            snapshot: snapshot.clone(),
            route: call.route,
            customer: call.customer,
            key_digest,
            method: call
                .method
                .parse()
                .map_err(|_| Failure::not_run(Code::BadRequest, "the method is not valid"))?,
            target: call.target,
            headers: call.headers,
            body: call.body,
            model_request: None,
            deadline: self
                .dependencies()
                .clock
                .now()
                .saturating_add(call.remaining),
            visited_regions: call.visited,
            visited_hosts: call.hosts,
            hops_left: call.hops,
        };
        let route = accepted.route()?;
        if !accepted.has_valid_key(&snapshot) || (!route.open && accepted.key_digest.is_none()) {
            let message = "the key is not known in this region";
            return Err(Failure::not_run(Code::KeyUnknown, message));
        }
        if !accepted.is_allowed_in(&settings.region) {
            let message = "residency does not allow this region";
            return Err(Failure::not_run(Code::Residency, message));
        }
        if route.kind == Kind::Model {
            accepted.model_request = Some(Request::parse(&accepted.body)?);
        }
        Ok(accepted)
    }
}

impl<C: Clock> Handler for Gateway<C> {
    type Body = Relay<C>;

    async fn call(&self, from: &name::Host, call: wire::Call) -> Result<(Head, Relay<C>), Failure> {
        self.dependencies().metrics.taken.inc();
        tracing::info!(request = call.request, route = %call.route, host = %from, "taken from a host");
        let call = self.accept(call)?;
        self.run(call).await
    }

    async fn next(&self, relay: &mut Relay<C>) -> Result<Option<Bytes>, Failure> {
        relay.next().await
    }
}
