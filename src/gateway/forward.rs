//! Forwarding a call to a host of another region.

use {
    super::{Call, Gateway, send::late},
    crate::{
        clock::Clock,
        failure::{Code, Failure, Ran},
        link::exchange::{Body, Head},
        name, wire,
    },
    std::time::Duration,
    tokio::time::timeout,
};

impl<C: Clock> Gateway<C> {
    /// Forwards a call to a host of another region and waits for the head of its answer.
    pub(super) async fn forward(
        &self,
        call: &Call,
        peer: &name::Host,
    ) -> Result<(Head, Body), Failure> {
        let settings = &self.parts().settings;
        let address = self.parts().peers.get(peer).ok_or_else(|| {
            Failure::not_run(Code::Unreachable, format!("no address for host {peer}"))
        })?;
        let mut visited = call.visited.clone();
        visited.push(settings.region.clone());
        let mut hosts = call.hosts.clone();
        hosts.push(settings.name.clone());
        let remaining = self.remaining(call)?;
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
            hops: call.hops.saturating_sub(1),
            version: 0,
            elapsed: Duration::ZERO,
        };
        self.parts().metrics.forwarded.inc();
        let opening = self
            .parts()
            .exchanges
            .open(address, forwarded, call.repeatable());
        timeout(remaining, opening)
            .await
            .map_err(|_| late(Ran::Unknown))?
    }
}
