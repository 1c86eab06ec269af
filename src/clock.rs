//! Clocks that services read the time from, so that tests can control it.
//!
//! State machines take `now` as a [`Duration`] since the clock's origin, which is the start of the
//! process. The clocks are monotonic and advance while the process is stopped, so that a process
//! which resumes can measure how long it was stopped.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime},
    tokio::time::Instant,
};

/// A source of monotonic and calendar time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Monotonic time since the clock's origin.
    fn now(&self) -> Duration;

    /// Calendar time, for monthly spend and log lines; not for leases, as it can jump.
    fn wall(&self) -> SystemTime;
}

/// Tokio's monotonic clock, which `tokio::time::pause` stops.
#[derive(Debug, Clone, Copy)]
pub struct Monotonic {
    origin: Instant,
}

impl Monotonic {
    /// A clock whose origin is the time of this call.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Default for Monotonic {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for Monotonic {
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// The machine's `CLOCK_BOOTTIME`, which also advances while the machine is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Boot {
    origin: Duration,
}

impl Boot {
    /// A clock whose origin is the time of this call.
    pub fn new() -> Self {
        Self {
            origin: since_boot(),
        }
    }
}

impl Default for Boot {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for Boot {
    fn now(&self) -> Duration {
        since_boot().saturating_sub(self.origin)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
