//! Eligibility: which hosts, regions and pools a request may use at all, before load is compared.

use {
    super::{
        options::Mutant,
        request::{Refusal, Request},
    },
    crate::{
        config::{
            Snapshot,
            table::{Payment, Pool},
        },
        name,
    },
};

/// Refuses a request whose customer may not use its route.
pub(super) fn check_access(request: &Request<'_>) -> Result<(), Refusal> {
    let route = request.route;
    if route.open {
        return Ok(());
    }
    let Some(customer) = request.customer else {
        return Err(Refusal::Closed);
    };
    let is_allowed = route.customers.is_empty() || route.customers.contains(&customer.name);
    if is_allowed {
        Ok(())
    } else {
        Err(Refusal::Closed)
    }
}

/// Refuses a request that has been at this host before.
pub(super) fn check_loop(
    request: &Request<'_>,
    host: &name::Host,
    mutant: Mutant,
) -> Result<(), Refusal> {
    if mutant != Mutant::Visited && request.hosts.contains(host) {
        return Err(Refusal::Loop);
    }
    Ok(())
}

/// Whether the customer's residency allows a region; without a customer every region is allowed.
pub(super) fn is_resident(request: &Request<'_>, region: &name::Region, mutant: Mutant) -> bool {
    let Some(customer) = request.customer else {
        return true;
    };
    let is_restricted = !customer.residency.is_empty() && mutant != Mutant::Residency;
    !is_restricted || customer.residency.contains(region)
}

/// Whether a request may be forwarded to a region: it is another region than `home`, the request
/// has a hop left and has not been there.
pub(super) fn is_reachable(
    request: &Request<'_>,
    home: &name::Region,
    region: &name::Region,
    mutant: Mutant,
) -> bool {
    if region == home {
        return false;
    }
    if mutant == Mutant::Visited {
        return true;
    }
    request.hops_left > 0 && !request.visited.contains(region)
}

/// The pools of a route that may be used, in the route's order; on-demand pools only if allowed.
pub(super) fn usable_pools<'a>(
    request: &Request<'a>,
    snapshot: &'a Snapshot,
    on_demand: bool,
) -> impl Iterator<Item = &'a Pool> + use<'a> {
    request
        .route
        .pools
        .iter()
        .filter_map(|name| snapshot.pools.get(name))
        .filter(move |pool| on_demand || pool.payment == Payment::Paid)
}
