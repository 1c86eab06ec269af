//! Time, passed in as an interface.
//!
//! Decisions take `now` as a [`Duration`] since an origin that the process chose when it started.
//! The clock is monotonic and goes on while the process is stopped, so that a process which wakes
//! late can tell how long it slept.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime},
    tokio::time::Instant,
};

/// Where a service reads the time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Monotonic time since the clock's origin.
    fn now(&self) -> Duration;

    /// Calendar time, for months of spend and for log lines; never for leases.
    fn wall(&self) -> SystemTime;
}

/// The machine's monotonic clock. Under `tokio::time::pause` it follows the paused time.
#[derive(Debug, Clone, Copy)]
pub struct Monotonic {
    origin: Instant,
}

impl Monotonic {
    /// A clock whose origin is now.
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

/// The machine's clock since its boot, which also counts while the machine is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Boot {
    origin: Duration,
}

impl Boot {
    /// A clock whose origin is now.
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
