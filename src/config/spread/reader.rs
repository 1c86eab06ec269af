//! When a host reads one document from the configuration service.
//!
//! The service counts every call of the whole fleet against one budget, so each pace here is a
//! host's share of a part of that budget, with jitter.

use {
    super::{Outcome, View, Watch},
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Hosts of a failure domain that hold a watch on a document.
pub(super) const WATCHERS_PER_DOMAIN: usize = 2;

/// Documents that are read.
const DOCUMENT_COUNT: f64 = 3.0;

/// Calls a second that watches may cost, all hosts together.
const WATCH_BUDGET: f64 = 800.0;

/// Calls a second that the first reads of hosts that start may cost, all hosts together.
const START_BUDGET: f64 = 500.0;

/// Calls a second that hosts which hear nothing new may cost, all hosts together.
const QUIET_BUDGET: f64 = 100.0;

/// Shortest time between two watches of one host on one document.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(200);

/// Wait of one watch, before jitter.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Between the plain reads by which a watching host sees that the service has gone back.
const AUDIT_INTERVAL: Duration = Duration::from_secs(60);

/// A host that has heard nothing new for this long reads by itself.
const QUIET_INTERVAL: Duration = Duration::from_secs(10);

/// After the first failed read; doubled with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// Longest time between tries while reads fail.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Until a host that knows nothing of the fleet's size reads, before jitter.
const NO_VIEW_DELAY: Duration = Duration::from_secs(2);

/// A read that has not ended this long after its wait is taken to have failed.
const READ_GRACE: Duration = Duration::from_secs(5);

/// Why a host reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// It holds a watch for its failure domain.
    Watcher,
    /// It holds a watch because no peer speaks to it, and every other host may do the same.
    Isolated,
    /// It learns from peers and reads only when they tell nothing new.
    Listener,
}

/// The reading of one document.
#[derive(Debug, Default)]
pub(super) struct Reader {
    expires_at: Option<Duration>,
    next_read_at: Duration,
    next_audit_at: Duration,
    next_quiet_read_at: Duration,
    failures: u32,
    was_isolated: bool,
}

/// A read that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Due {
    /// A plain read.
    Plain,
    /// A waiting read.
    Watch(Watch),
}

impl Reader {
    /// A reader that begins with a plain read, at once for a watcher and else within the fleet's
    /// budget.
    pub(super) fn start(now: Duration, role: Role, view: &View, rng: &mut impl Rng) -> Self {
        let calls = DOCUMENT_COUNT * competing_hosts(role, view);
        let first = now + budget_interval(calls, START_BUDGET).mul_f64(rng.random());
        Self {
            next_read_at: first,
            next_audit_at: first,
            next_quiet_read_at: first,
            was_isolated: role == Role::Isolated,
            ..Self::default()
        }
    }

    /// A reader of a host that knows nothing of the fleet yet.
    pub(super) fn without_view(now: Duration, rng: &mut impl Rng) -> Self {
        let first = now + jitter(NO_VIEW_DELAY, rng);
        Self {
            next_read_at: first,
            next_audit_at: first,
            next_quiet_read_at: first,
            was_isolated: true,
            ..Self::default()
        }
    }

    /// The read that is due at `now`, if one is.
    pub(super) fn due_read(
        &mut self,
        now: Duration,
        role: Role,
        known: Option<u64>,
        view: &View,
        rng: &mut impl Rng,
    ) -> Option<Due> {
        if self.expires_at.is_some_and(|expires| now >= expires) {
            self.on_read_ended(now, role, &Outcome::Failed, view, rng);
        }
        if role == Role::Isolated && !self.was_isolated {
            let calls = DOCUMENT_COUNT * competing_hosts(role, view);
            self.next_read_at = now + budget_interval(calls, START_BUDGET).mul_f64(rng.random());
        }
        self.was_isolated = role == Role::Isolated;
        if self.expires_at.is_some() || now < self.next_read_at {
            return None;
        }
        if role == Role::Listener {
            if now < self.next_quiet_read_at {
                return None;
            }
            self.postpone_quiet_read(now, view, rng);
            return Some(self.begin_read(now, Due::Plain));
        }
        let Some(after) = known.filter(|_| now < self.next_audit_at) else {
            self.next_audit_at = now + jitter(AUDIT_INTERVAL, rng);
            return Some(self.begin_read(now, Due::Plain));
        };
        let wait = jitter(WATCH_WAIT, rng);
        Some(self.begin_read(
            now,
            Due::Watch(Watch {
                after_revision: after,
                max_wait: wait,
            }),
        ))
    }

    /// A read ended.
    pub(super) fn on_read_ended(
        &mut self,
        now: Duration,
        role: Role,
        outcome: &Outcome,
        view: &View,
        rng: &mut impl Rng,
    ) {
        self.expires_at = None;
        let backoff = match outcome {
            Outcome::Found { .. } | Outcome::Unchanged => {
                self.failures = 0;
                Duration::ZERO
            }
            Outcome::Missing | Outcome::Failed => {
                self.failures += 1;
                let doublings = self.failures.min(6) - 1;
                MAX_BACKOFF.min(MIN_BACKOFF * 2u32.pow(doublings))
            }
        };
        self.next_read_at = now
            + jitter(
                backoff.max(budget_interval(competing_hosts(role, view), WATCH_BUDGET)),
                rng,
            );
    }

    /// Something new came from a peer or the service, so there is no need to read.
    pub(super) fn postpone_quiet_read(&mut self, now: Duration, view: &View, rng: &mut impl Rng) {
        let period = QUIET_INTERVAL.max(budget_interval(
            DOCUMENT_COUNT * view.host_count as f64,
            QUIET_BUDGET,
        ));
        self.next_quiet_read_at = now + jitter(period, rng);
    }

    fn begin_read(&mut self, now: Duration, due: Due) -> Due {
        let wait = match due {
            Due::Plain => Duration::ZERO,
            Due::Watch(watch) => watch.max_wait,
        };
        self.expires_at = Some(now + wait + READ_GRACE);
        due
    }
}

/// Hosts that may read a document as this one does.
fn competing_hosts(role: Role, view: &View) -> f64 {
    match role {
        Role::Watcher => (view.domain_count * WATCHERS_PER_DOMAIN) as f64,
        Role::Isolated | Role::Listener => view.host_count as f64,
    }
}

/// Time between two reads of one host, when `readers` share `budget` calls a second.
fn budget_interval(readers: f64, budget: f64) -> Duration {
    MIN_READ_INTERVAL.max(Duration::from_secs_f64(readers / budget))
}

/// A random time around `period`: half of it to one and a half times it.
fn jitter(period: Duration, rng: &mut impl Rng) -> Duration {
    period.mul_f64(0.5 + rng.random::<f64>())
}
