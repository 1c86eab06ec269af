//! Finds out whether connections to upstreams can be opened.

use {
    super::Host,
    crate::{
        clock::Clock,
        name,
        proxy::{catalog::Change, core::CutOff, dialect::Dialect},
    },
    std::{future::pending, net::SocketAddr, time::Duration},
    tokio::runtime::Handle,
};

/// Longest time for which a probe waits for a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl<D: Dialect, C: Clock> Host<D, C> {
    /// Records whether a connection to an upstream could be opened, and starts what follows from it.
    pub(in crate::proxy) fn record_connection(&self, upstream: &name::Upstream, is_open: bool) {
        let now = self.clock.now();
        let change = self.core().record_connection(now, upstream, is_open);
        self.apply_reach(change);
    }

    /// Acts on a change in which upstreams are reached, and opens the connections that find out more.
    pub(super) fn apply_reach(&self, change: Option<Change>) {
        if let Some(change) = change {
            let lost = {
                let core = self.core();
                let changed = core.catalog.get(change.upstream());
                let lost = changed.filter(|replica| replica.reach.is_lost());
                lost.map(|replica| replica.entry.address)
            };
            if let Some(address) = lost {
                self.upstreams.close_idle(address);
            }
            self.log_changes([change]);
            self.log_cut_off();
            self.reach_changes.send_modify(|count| *count += 1);
            self.place_waiting();
        }
        self.probe_upstreams();
    }

    /// Logs whether this host has begun, or ceased, to reach no upstream.
    pub(super) fn log_cut_off(&self) {
        let (lost, change) = {
            let mut core = self.core();
            let lost = core.catalog.lost().count();
            (lost, core.take_cut_off_change(self.clock.now()))
        };
        self.lost_upstreams.set(lost as i64);
        let Some(CutOff {
            is_cut_off,
            upstreams,
            witnesses,
            lasted,
        }) = change
        else {
            return;
        };
        self.cut_off.set(i64::from(is_cut_off));
        let lasted_ms = lasted.map(|time| time.as_millis() as u64);
        tracing::warn!(
            event = "reach",
            cut_off = is_cut_off,
            upstreams,
            witnesses,
            lasted_ms,
            "whether this host reaches any upstream changed"
        );
    }

    /// Opens the connections that are due to find out which upstreams are reached.
    pub(super) fn probe_upstreams(&self) {
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let due = self.core().due_probes(self.clock.now());
        for (upstream, address) in due {
            runtime.spawn(self.clone().probe(upstream, address));
        }
    }

    async fn probe(self, upstream: name::Upstream, address: SocketAddr) {
        let is_open = self.upstreams.can_connect(address, PROBE_TIMEOUT).await;
        self.record_connection(&upstream, is_open);
    }

    /// Returns once no connection to an upstream can be opened.
    pub(in crate::proxy) async fn until_lost(&self, upstream: &name::Upstream) {
        let mut changes = self.reach_changes.subscribe();
        while !self.core().is_lost(upstream) {
            if changes.changed().await.is_err() {
                return pending().await;
            }
        }
    }
}
