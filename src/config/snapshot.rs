//! The three documents in force, indexed for the request path.

use {
    super::table::{Customer, Customers, Pool, Pools, Route, Routes},
    crate::{key::Digest, name},
    std::collections::{BTreeMap, BTreeSet},
};

/// The three documents in force, indexed. Immutable: a change makes a new snapshot.
///
/// A snapshot depends on the three documents alone. A route whose pools don't exist is kept, so
/// that its calls never match a route with a shorter path. Its list of customers is kept as
/// written, so that a list of unknown customers never becomes an empty one, which admits every
/// customer.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Routes by name, each with those of its pools that exist.
    pub routes: BTreeMap<name::Route, Route>,
    /// Rows of the pools document, by name.
    pub pools: BTreeMap<name::Pool, Pool>,
    /// Rows of the customers document, by name.
    pub customers: BTreeMap<name::Customer, Customer>,
    keys: Vec<Key>,
}

#[derive(Debug, Clone)]
struct Key {
    digest: Digest,
    customer: name::Customer,
}

impl Snapshot {
    /// Indexes three accepted documents and removes references to pools that don't exist.
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

    /// The customer that owns the API key with this digest. Compares all keys, each in constant
    /// time, so that the duration reveals nothing about them.
    pub fn customer_by_key(&self, digest: &Digest) -> Option<&Customer> {
        let mut found = None;
        for key in &self.keys {
            if key.digest == *digest {
                found = Some(&key.customer);
            }
        }
        self.customers.get(found?)
    }

    /// Digests of the keys that are valid here but not for the same customer in `next`. Calls with
    /// these keys must be ended.
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

    /// The route of the model that callers name `model`.
    pub fn model_route(&self, model: &str) -> Option<&Route> {
        self.routes.values().find(|row| {
            row.model
                .as_ref()
                .is_some_and(|name| name.as_str() == model)
        })
    }

    /// The plain route with the longest path prefix that matches `path`.
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

/// Whether `path` starts with the segments of `prefix`.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
