//! The three documents in force, joined and indexed for the request path.

use {
    super::table::{Customer, Customers, Pool, Pools, Route, Routes},
    crate::{key::Digest, name},
    std::collections::{BTreeMap, BTreeSet},
};

/// The three documents in force, joined and indexed. Immutable: a change makes a new one.
///
/// It is a pure function of the three documents. A route keeps its place when its pools don't
/// join, so that a shorter path never takes over its calls, and it keeps its list of customers as
/// written, so that a list of customers that don't exist never becomes a route for all.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Routes by name, each with those of its pools that exist.
    pub routes: BTreeMap<name::Route, Route>,
    /// Pools by name.
    pub pools: BTreeMap<name::Pool, Pool>,
    /// Customers by name.
    pub customers: BTreeMap<name::Customer, Customer>,
    keys: Vec<Key>,
}

#[derive(Debug, Clone)]
struct Key {
    digest: Digest,
    customer: name::Customer,
}

impl Snapshot {
    /// Joins and indexes three documents that have been accepted.
    pub fn new(routes: Routes, pools: Pools, customers: Customers) -> Self {
        let pools: BTreeMap<_, _> = pools
            .pool
            .into_iter()
            .map(|row| (row.name.clone(), row))
            .collect();
        let mut routes = routes.route;
        for row in &mut routes {
            row.pools.retain(|pool| pools.contains_key(pool));
        }
        Self {
            routes: routes
                .into_iter()
                .map(|row| (row.name.clone(), row))
                .collect(),
            pools,
            keys: customers.customer.iter().flat_map(keys).collect(),
            customers: customers
                .customer
                .into_iter()
                .map(|row| (row.name.clone(), row))
                .collect(),
        }
    }

    /// The customer to whom a key with this digest belongs. Every key is compared, each in
    /// constant time.
    pub fn customer_by_key(&self, digest: &Digest) -> Option<&Customer> {
        let mut found = None;
        for key in &self.keys {
            if key.digest == *digest {
                found = Some(&key.customer);
            }
        }
        self.customers.get(found?)
    }

    /// The keys that are valid here and no longer valid for the same customer in `next`: what
    /// runs for them must end.
    pub fn withdrawn_keys(&self, next: &Self) -> BTreeSet<Digest> {
        self.keys
            .iter()
            .filter(|key| {
                next.customer_by_key(&key.digest)
                    .is_none_or(|customer| customer.name != key.customer)
            })
            .map(|key| key.digest)
            .collect()
    }

    /// The route of a model, as callers name it.
    pub fn model_route(&self, model: &str) -> Option<&Route> {
        self.routes.values().find(|row| {
            row.model
                .as_ref()
                .is_some_and(|name| name.as_str() == model)
        })
    }

    /// The plain route with the longest prefix of `path`.
    pub fn plain_route(&self, path: &str) -> Option<&Route> {
        self.routes
            .values()
            .filter(|row| {
                row.path
                    .as_ref()
                    .is_some_and(|prefix| is_path_prefix(prefix, path))
            })
            .max_by_key(|row| row.path.as_ref().map(String::len))
    }
}

fn keys(row: &Customer) -> impl Iterator<Item = Key> {
    row.keys.iter().filter_map(|text| {
        Some(Key {
            digest: text.parse().ok()?,
            customer: row.name.clone(),
        })
    })
}

/// Whether `prefix` covers `path` at a boundary of path segments.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
