//! Finds out which upstreams have ended, and tells of requests and parts of prompts that crash them.

use {
    super::Host,
    crate::{
        clock::Clock,
        failure::Failure,
        proxy::{
            core::Grant, dialect::Dialect, place::Job, quarantine::Suspect, reach::INQUIRY_TIME,
            send::withheld_failure,
        },
    },
    prometheus_client::encoding::EncodeLabelSet,
    std::{sync::PoisonError, time::Duration},
    tokio::{runtime::Handle, time::sleep},
};

/// Pauses before an upstream that broke an answer off is asked whether it has ended; its listener
/// may close a little after its connections.
const END_PROBE_DELAYS: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(300)];

/// Label of a change in the belief of a part of a prompt or a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Labels {
    state: &'static str,
}

impl<D: Dialect, C: Clock> Host<D, C> {
    /// Fails if a request is withheld.
    pub(in crate::proxy) fn check_withheld(&self, request: &str, job: &Job) -> Result<(), Failure> {
        let withheld = self.core().withheld(self.clock.now(), job);
        withheld.map_or(Ok(()), |withheld| Err(withheld_failure(request, &withheld)))
    }

    /// Finds out whether the upstream of a failed attempt has ended, by opening a connection.
    pub(super) fn detect_end(&self, grant: &Grant) {
        let Some(end) = self.core().unknown_end(self.clock.now(), &grant.upstream) else {
            return;
        };
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let mut probed = self.probed.lock().unwrap_or_else(PoisonError::into_inner);
        if !probed.insert(end.process) {
            return;
        }
        let (host, address, upstream) = (self.clone(), grant.address, grant.upstream.clone());
        runtime.spawn(async move {
            for delay in END_PROBE_DELAYS {
                sleep(delay).await;
                if host.upstreams.is_refused(address).await {
                    let now = host.clock.now();
                    let change = host.core().record_refusal(now, &upstream);
                    host.apply_reach(change);
                    // Others may reach it, or this host may reach none.
                    sleep(INQUIRY_TIME).await;
                    let now = host.clock.now();
                    if host.core().confirm_end(now, &upstream, end) {
                        tracing::info!(event = "upstream", %upstream, state = "ended");
                    }
                    break;
                }
            }
            let mut probed = host.probed.lock().unwrap_or_else(PoisonError::into_inner);
            probed.remove(&end.process);
        });
    }

    /// Judges what was blamed for ends, and logs what has changed.
    pub(super) fn judge_suspects(&self) {
        let now = self.clock.now();
        let changes = {
            let mut core = self.core();
            let changes = core.judge_suspects(now);
            self.held_parts.set(core.quarantine.held_parts() as i64);
            let requests = core.quarantine.held_requests();
            self.held_requests.set(requests as i64);
            changes
        };
        for change in changes {
            let state = change.state.name();
            let (ends, required) = (change.ends, change.required_ends);
            let first_end_ms = change.first_end_age.as_millis() as u64;
            let last_end_ms = change.last_end_age.as_millis() as u64;
            let suspect = change.suspect;
            match suspect {
                Suspect::Part(_) => {
                    self.part_changes.get_or_create(&Labels { state }).inc();
                    tracing::warn!(event = "part", part = %suspect, state, ends, required, first_end_ms, last_end_ms,
                        "belief of a part of prompts changed");
                }
                Suspect::Request(_) => {
                    self.request_changes.get_or_create(&Labels { state }).inc();
                    tracing::warn!(event = "repeat", fingerprint = %suspect, state, ends, required, first_end_ms,
                        last_end_ms, "belief of a request changed");
                }
            }
        }
    }
}
