//! One call on its way through this host.

use {
    super::model::Request,
    crate::{
        config::{
            Snapshot,
            table::{Customer, Kind, Route},
        },
        failure::{Code, Failure},
        key, name, wire,
    },
    bytes::Bytes,
    std::{sync::Arc, time::Duration},
};

/// A call that has been authenticated and routed.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request id.
    pub request_id: String,
    /// The configuration under which it was taken.
    pub snapshot: Arc<Snapshot>,
    /// The route that serves it.
    pub route: name::Route,
    /// Whose key came with it.
    pub customer: Option<name::Customer>,
    /// Digest of that key.
    pub key_digest: Option<key::Digest>,
    /// Method for the upstream.
    pub method: http::Method,
    /// Path and query for the upstream.
    pub target: String,
    /// Headers for the upstream.
    pub headers: Vec<wire::Header>,
    /// Body for the upstream.
    pub body: Bytes,
    /// What a model call asks for.
    pub model_request: Option<Request>,
    /// When its answer must have ended, on this host's clock.
    pub deadline: Duration,
    /// Regions visited before this host's.
    pub visited_regions: Vec<name::Region>,
    /// Hosts visited before this one.
    pub visited_hosts: Vec<name::Host>,
    /// How often it may still be forwarded.
    pub hops_left: u8,
}

impl Call {
    /// The row of the routes table.
    pub fn route(&self) -> Result<&Route, Failure> {
        self.snapshot
            .routes
            .get(&self.route)
            .ok_or_else(|| Failure::not_run(Code::RouteUnknown, "the route is not in the table"))
    }

    /// The customer's row.
    pub fn customer(&self) -> Option<&Customer> {
        self.snapshot.customers.get(self.customer.as_ref()?)
    }

    /// Whether residency allows a region.
    pub fn is_allowed_in(&self, region: &name::Region) -> bool {
        let Some(customer) = self.customer() else {
            return true;
        };
        customer.residency.is_empty() || customer.residency.contains(region)
    }

    /// Whether it may be sent again when it is not known to have run.
    pub fn is_repeatable(&self) -> bool {
        self.route()
            .is_ok_and(|route| route.kind == Kind::Model || route.idempotent)
    }

    /// Whether a pool that serves it has engines that resume a stream.
    pub fn is_resumable(&self) -> bool {
        let pools = self.route().map(|route| route.pools.as_slice());
        pools
            .unwrap_or_default()
            .iter()
            .filter_map(|name| self.snapshot.pools.get(name))
            .any(|pool| pool.resume)
    }

    /// Whether its answer is a stream of events.
    pub fn is_streamed(&self) -> bool {
        self.model_request
            .as_ref()
            .is_some_and(|request| request.stream)
    }

    /// Whether the key that came with it is still its customer's in `snapshot`.
    pub fn has_valid_key(&self, snapshot: &Snapshot) -> bool {
        let Some(digest) = &self.key_digest else {
            return true;
        };
        let owner = snapshot.customer_by_key(digest).map(|row| &row.name);
        owner == self.customer.as_ref()
    }
}
