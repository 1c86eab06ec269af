//! Choice of an upstream: the least outstanding of this host's own calls.

use {
    crate::{
        config::table::Pool,
        name,
        platform::{Kind, Listing, State},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
    },
};

/// An upstream that can be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Target {
    pub(super) upstream: name::Upstream,
    pub(super) pool: name::Pool,
    pub(super) address: SocketAddr,
}

/// Calls of this host that are outstanding at each upstream.
#[derive(Debug, Clone, Default)]
pub(super) struct Balance(Arc<Mutex<BTreeMap<name::Upstream, usize>>>);

/// Counts one outstanding call until it is dropped.
#[derive(Debug)]
pub(super) struct Outstanding {
    balance: Balance,
    upstream: name::Upstream,
}

impl Balance {
    /// The least loaded of these, with the call counted.
    pub(super) fn pick(&self, targets: Vec<Target>) -> Option<(Target, Outstanding)> {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let target = targets
            .into_iter()
            .min_by_key(|target| counts.get(&target.upstream).copied().unwrap_or(0))?;
        *counts.entry(target.upstream.clone()).or_default() += 1;
        drop(counts);
        let outstanding = Outstanding {
            balance: self.clone(),
            upstream: target.upstream.clone(),
        };
        Some((target, outstanding))
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        let mut counts = self
            .balance
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(count) = counts.get_mut(&self.upstream) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            counts.remove(&self.upstream);
        }
    }
}

/// The upstreams of a pool that are not leaving.
pub(super) fn targets(pool: &Pool, listing: &Listing) -> Vec<Target> {
    let listed = listing
        .hosts
        .iter()
        .filter(|host| host.kind == Kind::Upstream && host.pool.as_ref() == Some(&pool.name))
        .map(|host| (name::Upstream::from(host.name.as_str()), host.address));
    let written = pool
        .upstream
        .iter()
        .map(|row| (row.name.clone(), row.address));
    let mut targets: BTreeMap<_, _> = written.chain(listed).collect();
    targets.retain(|upstream, _| !leaving(listing, upstream));
    targets
        .into_iter()
        .map(|(upstream, address)| Target {
            upstream,
            pool: pool.name.clone(),
            address,
        })
        .collect()
}

fn leaving(listing: &Listing, upstream: &name::Upstream) -> bool {
    listing.hosts.iter().any(|host| {
        host.kind == Kind::Upstream
            && host.name == upstream.as_str()
            && host.state == State::Leaving
    })
}
