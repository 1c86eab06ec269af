//! Tells whether the process has been running without a pause.

use {
    crate::clock::Clock,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// A beat older than this means that the process was stopped and its services have not yet seen
/// what went on meanwhile.
const MAX_AGE: Duration = Duration::from_secs(3);

/// The time at which the fleet's services last ran. After a pause a request may be handled before
/// they wake; it must not be served by a configuration that is as old as the pause.
#[derive(Debug, Clone)]
pub struct Liveness<C: Clock> {
    clock: C,
    last_run_ms: Arc<AtomicU64>,
}

impl<C: Clock> Liveness<C> {
    /// Creates it with the current time.
    pub(super) fn new(clock: C) -> Self {
        let liveness = Self {
            clock,
            last_run_ms: Arc::default(),
        };
        liveness.refresh();
        liveness
    }

    /// The services run.
    pub(super) fn refresh(&self) {
        let now = self.clock.now().as_millis() as u64;
        self.last_run_ms.store(now, Ordering::Relaxed);
    }

    /// Whether the services ran a short while ago.
    pub fn is_current(&self) -> bool {
        let last_run = Duration::from_millis(self.last_run_ms.load(Ordering::Relaxed));
        self.clock.now().saturating_sub(last_run) <= MAX_AGE
    }
}
