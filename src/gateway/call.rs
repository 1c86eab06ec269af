//! A call that has been authenticated and routed, with all that is needed to send or forward it.

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

/// An authenticated and routed call, from a caller or from another host.
#[derive(Debug, Clone)]
pub struct Call {
    /// Request id; every host that handles the call uses the same one.
    pub request_id: String,
    /// The configuration under which the call was accepted.
    pub snapshot: Arc<Snapshot>,
    /// Name of the route that serves the call.
    pub route: name::Route,
    /// Customer of the caller's key; `None` if an open route serves the call without one.
    pub customer: Option<name::Customer>,
    /// Digest of that customer's key.
    pub key_digest: Option<key::Digest>,
    /// HTTP method of the request to the upstream.
    pub method: http::Method,
    /// Path and query of the request to the upstream.
    pub target: String,
    /// Headers of the request to the upstream, without the caller's key.
    pub headers: Vec<wire::Header>,
    /// Body of the request to the upstream.
    pub body: Bytes,
    /// Parsed body of a model call; `None` for a plain service.
    pub model_request: Option<Request>,
    /// When the answer must have ended, on this host's monotonic clock.
    pub deadline: Duration,
    /// Regions that the call passed through before this host's.
    pub visited_regions: Vec<name::Region>,
    /// Hosts that the call passed through before this one.
    pub visited_hosts: Vec<name::Host>,
    /// How many more times the call may be forwarded.
    pub hops_left: u8,
}

impl Call {
    /// The call's row in the routes table.
    pub fn route(&self) -> Result<&Route, Failure> {
        self.snapshot
            .routes
            .get(&self.route)
            .ok_or_else(|| Failure::not_run(Code::RouteUnknown, "the route is not in the table"))
    }

    /// The customer's row in the customers table.
    pub fn customer(&self) -> Option<&Customer> {
        self.snapshot.customers.get(self.customer.as_ref()?)
    }

    /// Whether the customer's residency allows a region.
    pub fn is_allowed_in(&self, region: &name::Region) -> bool {
        let Some(customer) = self.customer() else {
            return true;
        };
        customer.residency.is_empty() || customer.residency.contains(region)
    }

    /// Whether the call may be sent again when it is unknown whether it ran.
    pub fn is_repeatable(&self) -> bool {
        self.route()
            .is_ok_and(|route| route.kind == Kind::Model || route.idempotent)
    }

    /// Whether any pool of the route has engines that resume a stream.
    pub fn is_resumable(&self) -> bool {
        let pools = self.route().map(|route| route.pools.as_slice());
        pools
            .unwrap_or_default()
            .iter()
            .filter_map(|name| self.snapshot.pools.get(name))
            .any(|pool| pool.resume)
    }

    /// Whether the answer is a stream of server-sent events.
    pub fn is_streamed(&self) -> bool {
        self.model_request
            .as_ref()
            .is_some_and(|request| request.stream)
    }

    /// Whether the caller's key still belongs to the call's customer in `snapshot`.
    pub fn has_valid_key(&self, snapshot: &Snapshot) -> bool {
        let Some(digest) = &self.key_digest else {
            return true;
        };
        let owner = snapshot.customer_by_key(digest).map(|row| &row.name);
        owner == self.customer.as_ref()
    }
}
