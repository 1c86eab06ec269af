//! Checks the references between three accepted documents: pools and customers that routes name,
//! and regions that customers name.
//!
//! A broken reference never causes a document to be refused, since the documents change one at a
//! time and hosts see the changes in different orders.

use {
    super::{
        diagnostic::{Diagnostic, Document, Severity},
        parse::Row,
        table::{Customer, Pool, Route},
    },
    crate::name,
    std::collections::{BTreeMap, BTreeSet},
};

/// Returns a diagnostic for each broken reference and each customer that a route can't serve.
pub fn check_references(
    routes: &[Row<Route>],
    pools: &[Row<Pool>],
    customers: &[Row<Customer>],
) -> Vec<Diagnostic> {
    let regions: BTreeMap<_, _> = pools
        .iter()
        .map(|row| (&row.value.name, &row.value.region))
        .collect();
    let names: BTreeSet<_> = customers.iter().map(|row| &row.value.name).collect();
    let mut diagnostics = Vec::new();
    for row in routes {
        diagnostics.extend(unknown_pools(row, &regions));
        diagnostics.extend(unknown_customers(row, &names));
    }
    for row in customers {
        diagnostics.extend(regions_without_pool(row, &regions));
        for route in routes {
            diagnostics.extend(pools_outside_residency(row, &route.value, &regions));
        }
    }
    diagnostics.sort();
    diagnostics
}

type Regions<'a> = BTreeMap<&'a name::Pool, &'a name::Region>;

fn unknown_pools(row: &Row<Route>, regions: &Regions<'_>) -> Vec<Diagnostic> {
    let route = &row.value;
    let unknown = |pool: &&name::Pool| !regions.contains_key(*pool);
    let diagnostic = |pool: &name::Pool| Diagnostic {
        document: Document::Routes,
        line: row.line("pools"),
        severity: Severity::Error,
        reason: format!(
            "route `{}` names pool `{pool}`, which does not exist",
            route.name
        ),
        remedy: "add the pool to the pools document or correct the name".to_owned(),
    };
    route.pools.iter().filter(unknown).map(diagnostic).collect()
}

fn unknown_customers(row: &Row<Route>, names: &BTreeSet<&name::Customer>) -> Vec<Diagnostic> {
    let route = &row.value;
    let unknown = |customer: &&name::Customer| !names.contains(*customer);
    let diagnostic = |customer: &name::Customer| Diagnostic {
        document: Document::Routes,
        line: row.line("customers"),
        severity: Severity::Error,
        reason: format!(
            "route `{}` names customer `{customer}`, which does not exist",
            route.name
        ),
        remedy: "add the customer to the customers document or correct the name".to_owned(),
    };
    route
        .customers
        .iter()
        .filter(unknown)
        .map(diagnostic)
        .collect()
}

fn regions_without_pool(row: &Row<Customer>, regions: &Regions<'_>) -> Vec<Diagnostic> {
    let customer = &row.value;
    let without_pool = |region: &&name::Region| !regions.values().any(|other| other == region);
    let diagnostic = |region: &name::Region| Diagnostic {
        document: Document::Customers,
        line: row.line("residency"),
        severity: Severity::Error,
        reason: format!(
            "residency of `{}` names region `{region}`, which has no pool",
            customer.name
        ),
        remedy: "correct the region's name or add a pool there".to_owned(),
    };
    customer
        .residency
        .iter()
        .filter(without_pool)
        .map(diagnostic)
        .collect()
}

fn pools_outside_residency(
    row: &Row<Customer>,
    route: &Route,
    regions: &Regions<'_>,
) -> Option<Diagnostic> {
    let customer = &row.value;
    let is_excluded = !route.customers.is_empty() && !route.customers.contains(&customer.name);
    if customer.residency.is_empty() || is_excluded {
        return None;
    }
    let is_allowed = |pool: &name::Pool| {
        regions
            .get(pool)
            .is_none_or(|region| customer.residency.contains(*region))
    };
    if route.pools.iter().any(is_allowed) {
        return None;
    }
    Some(Diagnostic {
        document: Document::Customers,
        line: row.line("residency"),
        severity: Severity::Warning,
        reason: format!(
            "every pool of route `{}` lies outside the residency of `{}`",
            route.name, customer.name
        ),
        remedy: "add a pool in its regions, or restrict the route to other customers".to_owned(),
    })
}
