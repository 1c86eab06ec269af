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
const LIMIT: Duration = Duration::from_secs(3);

/// The time at which the fleet's services last ran. After a pause a request may be handled before
/// they wake; it must not be served by a configuration that is as old as the pause.
#[derive(Debug, Clone)]
pub struct Pulse<C: Clock> {
    clock: C,
    beat_ms: Arc<AtomicU64>,
}

impl<C: Clock> Pulse<C> {
    /// A pulse that beats now.
    pub(super) fn new(clock: C) -> Self {
        let pulse = Self {
            clock,
            beat_ms: Arc::default(),
        };
        pulse.beat();
        pulse
    }

    /// The services run.
    pub(super) fn beat(&self) {
        let now = self.clock.now().as_millis() as u64;
        self.beat_ms.store(now, Ordering::Relaxed);
    }

    /// Whether the services ran a short while ago.
    pub fn is_awake(&self) -> bool {
        let beat = Duration::from_millis(self.beat_ms.load(Ordering::Relaxed));
        self.clock.now().saturating_sub(beat) <= LIMIT
    }
}
