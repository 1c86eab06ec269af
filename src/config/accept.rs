//! Acceptance: a pure function of the documents' contents.

use {
    super::table::{Customer, Customers, Pool, Pools, Route, Routes},
    crate::{key, name},
    std::collections::BTreeMap,
};

/// The three documents in force, joined and indexed. Immutable: a change makes a new one.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Routes by name.
    pub routes: BTreeMap<name::Route, Route>,
    /// Pools by name.
    pub pools: BTreeMap<name::Pool, Pool>,
    /// Customers by name.
    pub customers: BTreeMap<name::Customer, Customer>,
    keys: BTreeMap<key::Digest, name::Customer>,
}

impl Snapshot {
    /// Joins and indexes three documents that have been accepted.
    pub fn new(routes: Routes, pools: Pools, customers: Customers) -> Self {
        let keys = customers
            .customer
            .iter()
            .flat_map(|row| row.keys.iter().map(|digest| (digest, &row.name)))
            .filter_map(|(digest, name)| Some((digest.parse().ok()?, name.clone())))
            .collect();
        Self {
            routes: routes
                .route
                .into_iter()
                .map(|row| (row.name.clone(), row))
                .collect(),
            pools: pools
                .pool
                .into_iter()
                .map(|row| (row.name.clone(), row))
                .collect(),
            customers: customers
                .customer
                .into_iter()
                .map(|row| (row.name.clone(), row))
                .collect(),
            keys,
        }
    }

    /// The customer to whom a key with this digest belongs.
    pub fn customer(&self, digest: &key::Digest) -> Option<&Customer> {
        let name = self.keys.get(digest)?;
        self.customers.get(name)
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
            .filter(|row| row.path.as_ref().is_some_and(|prefix| covers(prefix, path)))
            .max_by_key(|row| row.path.as_ref().map(String::len))
    }
}

/// Whether `prefix` covers `path` at a boundary of path segments.
fn covers(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
