//! Detects that the process was paused and its services have not caught up yet.

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

/// If the fleet service last ran longer ago than this, the process was paused and the service has
/// not yet learned what happened meanwhile.
const MAX_AGE: Duration = Duration::from_secs(3);

/// The time at which the fleet service last ran. After a pause, a request may be handled before the
/// service wakes up; it must not be served with a configuration that is as old as the pause.
#[derive(Debug, Clone)]
pub struct Liveness<C: Clock> {
    clock: C,
    last_run_ms: Arc<AtomicU64>,
}

impl<C: Clock> Liveness<C> {
    /// Starts with the current time as the last run.
    pub(super) fn new(clock: C) -> Self {
        let liveness = Self {
            clock,
            last_run_ms: Arc::default(),
        };
        liveness.refresh();
        liveness
    }

    /// Records that the fleet service is running now.
    pub(super) fn refresh(&self) {
        let now = self.clock.now().as_millis() as u64;
        self.last_run_ms.store(now, Ordering::Relaxed);
    }

    /// Whether the fleet service has run within `MAX_AGE`.
    pub fn is_current(&self) -> bool {
        let last_run = Duration::from_millis(self.last_run_ms.load(Ordering::Relaxed));
        self.clock.now().saturating_sub(last_run) <= MAX_AGE
    }
}
