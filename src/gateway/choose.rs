//! Where a call goes next: to an upstream of this region, or to a host of another.

use {
    super::{
        Call, Gateway,
        pick::{self, Outstanding, Target},
    },
    crate::{
        clock::Clock,
        failure::{Code, Failure},
        name,
        platform::{Kind, State},
    },
    std::{sync::atomic::Ordering, time::Duration},
};

/// When to come back after no upstream could take a call.
const NO_CAPACITY_RETRY: Duration = Duration::from_secs(2);

/// Where a call goes next.
#[derive(Debug)]
pub(super) enum Next {
    /// To an upstream of this region, with the call counted there.
    Upstream(Target, Outstanding),
    /// To a host of another region.
    Host(name::Host),
}

impl<C: Clock> Gateway<C> {
    /// Chooses where a call goes next.
    pub(super) fn choose(&self, call: &Call) -> Result<Next, Failure> {
        if let Some((target, outstanding)) = self.local(call)? {
            tracing::info!(
                request = call.request,
                route = %call.route,
                customer = call.customer.as_ref().map(tracing::field::display),
                pool = %target.pool,
                upstream = %target.upstream,
                reason = "least outstanding",
                "routed to an upstream"
            );
            return Ok(Next::Upstream(target, outstanding));
        }
        let host = self.next_host(call)?;
        tracing::info!(
            request = call.request,
            route = %call.route,
            customer = call.customer.as_ref().map(tracing::field::display),
            host = %host,
            reason = "no upstream in this region",
            "forwarded to another region"
        );
        Ok(Next::Host(host))
    }

    /// An upstream in this region, if residency allows it and there is one.
    fn local(&self, call: &Call) -> Result<Option<(Target, Outstanding)>, Failure> {
        let here = &self.parts().settings.region;
        if !call.allowed(here) {
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

    /// A host of a region that residency allows, that has a pool of the route, and that the call
    /// has not visited.
    fn next_host(&self, call: &Call) -> Result<name::Host, Failure> {
        let here = &self.parts().settings.region;
        let route = call.route()?;
        let mut regions = route
            .pools
            .iter()
            .filter_map(|pool| Some(&call.snapshot.pools.get(pool)?.region))
            .filter(|region| call.allowed(region))
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
        let turn = self.0.sequence.load(Ordering::Relaxed) as usize;
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
}
