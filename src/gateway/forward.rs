//! Forwards calls to other hosts.

use {
    super::{Call, Gateway, send::deadline_passed},
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
    /// Forwards a call to another host and waits for the head of the answer.
    pub(super) async fn forward(
        &self,
        call: &Call,
        peer: &name::Host,
    ) -> Result<(Head, Body), Failure> {
        let settings = &self.dependencies().settings;
        let address = self.dependencies().peers.get(peer).ok_or_else(|| {
            Failure::not_run(Code::Unreachable, format!("no address for host {peer}"))
        })?;
        let mut visited = call.visited_regions.clone();
        let view = self.dependencies().view.borrow().clone();
        let member = view.hosts.get(peer);
        if member.is_none_or(|member| member.region != settings.region) {
            visited.push(settings.region.clone());
        }
        let mut hosts = call.visited_hosts.clone();
        hosts.push(settings.name.clone());
        let remaining = self.remaining(call)?;
        let forwarded = wire::Call {
            request: call.request_id.clone(),
            route: call.route.clone(),
            customer: call.customer.clone(),
            digest: call.key_digest.as_ref().map(ToString::to_string),
            method: call.method.to_string(),
            target: call.target.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
            remaining,
            visited,
            hosts,
            hops: call.hops_left.saturating_sub(1),
            version: 0,
            long_version: None,
            version_digest: None,
            elapsed: Duration::ZERO,
            build: None,
        };
        self.dependencies().metrics.forwarded.inc();
        let opening = self
            .dependencies()
            .exchanges
            .open(address, forwarded, call.is_repeatable());
        timeout(remaining, opening)
            .await
            .map_err(|_| deadline_passed(Ran::Unknown))?
    }
}
