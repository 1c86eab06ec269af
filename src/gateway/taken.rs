//! Calls that other hosts forwarded here: each is checked again against this host's own view.

use {
    super::{Ask, Call, Flow, Gateway},
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
            deadline: self.parts().clock.now().saturating_add(call.remaining),
            visited: call.visited,
            hosts: call.hosts,
            hops: call.hops,
        };
        let route = taken.route()?;
        if !taken.key_holds(&snapshot) || (!route.open && taken.digest.is_none()) {
            let message = "the key is not known in this region";
            return Err(Failure::not_run(Code::KeyUnknown, message));
        }
        if !taken.allowed(&settings.region) {
            let message = "residency does not allow this region";
            return Err(Failure::not_run(Code::Residency, message));
        }
        if route.kind == Kind::Model {
            taken.ask = Some(Ask::parse(&taken.body)?);
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
