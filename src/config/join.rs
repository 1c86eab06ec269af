//! How the names of three accepted documents join.
//!
//! A name that doesn't join never refuses a document: the documents change one at a time, and
//! hosts see the changes in different orders.

use {
    super::{
        fault::{Document, Fault, Severity},
        read::Row,
        table::{Customer, Pool, Route},
    },
    crate::name,
    std::collections::{BTreeMap, BTreeSet},
};

/// Tells which names don't join and which rows can't serve.
pub fn join(routes: &[Row<Route>], pools: &[Row<Pool>], customers: &[Row<Customer>]) -> Vec<Fault> {
    let regions: BTreeMap<_, _> = pools
        .iter()
        .map(|row| (&row.value.name, &row.value.region))
        .collect();
    let names: BTreeSet<_> = customers.iter().map(|row| &row.value.name).collect();
    let mut faults = Vec::new();
    for row in routes {
        faults.extend(unknown_pools(row, &regions));
        faults.extend(unknown_customers(row, &names));
    }
    for row in customers {
        faults.extend(empty_regions(row, &regions));
        for route in routes {
            faults.extend(out_of_residency(row, &route.value, &regions));
        }
    }
    faults.sort();
    faults
}

type Regions<'a> = BTreeMap<&'a name::Pool, &'a name::Region>;

fn unknown_pools(row: &Row<Route>, regions: &Regions<'_>) -> Vec<Fault> {
    let route = &row.value;
    let unknown = |pool: &&name::Pool| !regions.contains_key(*pool);
    let fault = |pool: &name::Pool| Fault {
        document: Document::Routes,
        line: row.line("pools"),
        severity: Severity::Error,
        reason: format!(
            "route `{}` names pool `{pool}`, which does not exist",
            route.name
        ),
        remedy: "add the pool to the pools document or correct the name".to_owned(),
    };
    route.pools.iter().filter(unknown).map(fault).collect()
}

fn unknown_customers(row: &Row<Route>, names: &BTreeSet<&name::Customer>) -> Vec<Fault> {
    let route = &row.value;
    let unknown = |customer: &&name::Customer| !names.contains(*customer);
    let fault = |customer: &name::Customer| Fault {
        document: Document::Routes,
        line: row.line("customers"),
        severity: Severity::Error,
        reason: format!(
            "route `{}` names customer `{customer}`, which does not exist",
            route.name
        ),
        remedy: "add the customer to the customers document or correct the name".to_owned(),
    };
    route.customers.iter().filter(unknown).map(fault).collect()
}

fn empty_regions(row: &Row<Customer>, regions: &Regions<'_>) -> Vec<Fault> {
    let customer = &row.value;
    let empty = |region: &&name::Region| !regions.values().any(|other| other == region);
    let fault = |region: &name::Region| Fault {
        document: Document::Customers,
        line: row.line("residency"),
        severity: Severity::Error,
        reason: format!(
            "residency of `{}` names region `{region}`, which has no pool",
            customer.name
        ),
        remedy: "correct the region's name or add a pool there".to_owned(),
    };
    customer.residency.iter().filter(empty).map(fault).collect()
}

fn out_of_residency(row: &Row<Customer>, route: &Route, regions: &Regions<'_>) -> Option<Fault> {
    let customer = &row.value;
    let excluded = !route.customers.is_empty() && !route.customers.contains(&customer.name);
    if customer.residency.is_empty() || excluded {
        return None;
    }
    let allowed = |pool: &name::Pool| {
        regions
            .get(pool)
            .is_none_or(|region| customer.residency.contains(*region))
    };
    if route.pools.iter().any(allowed) {
        return None;
    }
    Some(Fault {
        document: Document::Customers,
        line: row.line("residency"),
        severity: Severity::Warning,
        reason: format!(
            "every pool of route `{}` lies outside the residency of `{}`",
            route.name, customer.name
        ),
        remedy: "add a pool in its regions, or bind the route to other customers".to_owned(),
    })
}
