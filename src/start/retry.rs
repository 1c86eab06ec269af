//! Decides whether a step of the start that failed is tried again, when, and whether its failure is
//! reported.

use {
    rustix::io::Errno,
    std::{io, time::Duration},
};

/// Pause after which a failure that goes on is reported again; each further one is twice as long. Not
/// below [`Plan::SETTINGS`]' limit, at which the caller reports the last failure.
const FIRST_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Longest pause between reports.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(60);
/// Errors of the system that go away by themselves: somebody else holds what is needed, or it is not
/// there yet. An interface that comes up late gives `NODEV` for a link-local address.
const PASSING: [Errno; 9] = [
    Errno::ADDRINUSE,
    Errno::ADDRNOTAVAIL,
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::AGAIN,
    Errno::INTR,
    Errno::NODEV,
];
/// The same errors where no number of the system is known.
const PASSING_KINDS: [io::ErrorKind; 5] = [
    io::ErrorKind::AddrInUse,
    io::ErrorKind::AddrNotAvailable,
    io::ErrorKind::OutOfMemory,
    io::ErrorKind::WouldBlock,
    io::ErrorKind::Interrupted,
];

/// What kind of error a step failed with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It may go away by itself.
    Passing,
    /// Only a change from outside mends it.
    Lasting,
}

impl From<&io::Error> for Cause {
    fn from(error: &io::Error) -> Self {
        let is_passing = match Errno::from_io_error(error) {
            Some(number) => PASSING.contains(&number),
            None => PASSING_KINDS.contains(&error.kind()),
        };
        if is_passing {
            Self::Passing
        } else {
            Self::Lasting
        }
    }
}

/// How often and for how long a step is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    /// Pause after the first failure; each further one is twice as long.
    pub first_pause: Duration,
    /// Longest pause.
    pub max_pause: Duration,
    /// Time after which a failure is final; `None` if it never is.
    pub limit: Option<Duration>,
}

impl Plan {
    /// For binding an address, which another process may hold for hours. The first pauses are short
    /// because a predecessor usually lets go within tens of milliseconds.
    pub const ADDRESS: Self = Self {
        first_pause: Duration::from_millis(20),
        max_pause: Duration::from_millis(500),
        limit: None,
    };
    /// For a settings file that is being written. One that is wrong has to be told soon.
    pub const SETTINGS: Self = Self {
        first_pause: Duration::from_millis(50),
        max_pause: Duration::from_millis(50),
        limit: Some(Duration::from_secs(5)),
    };
    /// For the runtime. Without it the process has no signal handlers, so it does not wait for long.
    pub const RUNTIME: Self = Self {
        first_pause: Duration::from_millis(50),
        max_pause: Duration::from_millis(200),
        limit: Some(Duration::from_secs(1)),
    };
}

/// What follows a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Another try after a pause.
    Wait {
        /// Time until the next try.
        pause: Duration,
        /// Whether this failure is reported: the first one is, later ones seldom.
        is_reported: bool,
    },
    /// No further try.
    End,
}

/// The tries of one step.
#[derive(Debug)]
pub struct Retry {
    plan: Plan,
    started: Duration,
    pause: Duration,
    next_report: Duration,
    report_interval: Duration,
}

impl Retry {
    /// Begins to count at `now`.
    pub fn new(plan: Plan, now: Duration) -> Self {
        Self {
            plan,
            started: now,
            pause: plan.first_pause,
            next_report: now,
            report_interval: FIRST_REPORT_INTERVAL,
        }
    }

    /// Time since the start of the step.
    pub fn waited(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started)
    }

    /// Decides what follows a failure at `now`.
    pub fn failed(&mut self, now: Duration, cause: Cause) -> Step {
        let left = self
            .plan
            .limit
            .map(|limit| limit.saturating_sub(self.waited(now)));
        if cause == Cause::Lasting || left == Some(Duration::ZERO) {
            return Step::End;
        }
        let pause = left.map_or(self.pause, |left| self.pause.min(left));
        self.pause = (self.pause * 2).min(self.plan.max_pause);
        let is_reported = now >= self.next_report;
        if is_reported {
            self.next_report = now + self.report_interval;
            self.report_interval = (self.report_interval * 2).min(MAX_REPORT_INTERVAL);
        }
        Step::Wait { pause, is_reported }
    }
}
