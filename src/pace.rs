//! Spaces the turns of a loop whose pace another party sets, so that a party that answers at once, or
//! speaks all the time, can't take the processor.

use std::time::Duration;

/// The turns of one loop. Times are those of a [`Clock`](crate::clock::Clock).
#[derive(Debug)]
pub struct Turns {
    interval: Duration,
    next: Duration,
}

impl Turns {
    /// Turns that begin at least `interval` apart. The first may begin at once.
    pub fn every(interval: Duration) -> Self {
        Self {
            interval,
            next: Duration::ZERO,
        }
    }

    /// Time until the next turn may begin.
    pub fn wait(&self, now: Duration) -> Duration {
        self.next.saturating_sub(now)
    }

    /// Records that a turn begins.
    pub fn begin(&mut self, now: Duration) {
        self.next = now + self.interval;
    }
}
