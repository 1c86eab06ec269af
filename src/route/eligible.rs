//! Eligibility: the rules that hold before any load is looked at.

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

/// Whether the customer may use the route at all.
pub(super) fn check_access(request: &Request<'_>) -> Result<(), Refusal> {
    let route = request.route;
    if route.open {
        return Ok(());
    }
    let Some(customer) = request.customer else {
        return Err(Refusal::Closed);
    };
    let named = route.customers.is_empty() || route.customers.contains(&customer.name);
    if named { Ok(()) } else { Err(Refusal::Closed) }
}

/// Whether the request is new to this host.
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

/// Whether the customer's residency allows a region.
pub(super) fn is_resident(request: &Request<'_>, region: &name::Region, mutant: Mutant) -> bool {
    let Some(customer) = request.customer else {
        return true;
    };
    let bound = !customer.residency.is_empty() && mutant != Mutant::Residency;
    !bound || customer.residency.contains(region)
}

/// Whether the request may be forwarded to a region: it has a hop left and hasn't been there.
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

/// The route's pools that may be used, in the route's order.
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
