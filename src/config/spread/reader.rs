//! Schedules a host's reads of one document from the configuration service.
//!
//! The service limits the calls of the whole fleet, so each interval here is a host's share of a
//! part of that budget, with jitter.

use {
    super::{Outcome, View, Watch},
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Hosts of each failure domain that watch a document.
pub(super) const WATCHERS_PER_DOMAIN: usize = 2;

/// Number of documents that a host reads.
const DOCUMENT_COUNT: f64 = 3.0;

/// Budget of the fleet for watches, in calls per second.
const WATCH_BUDGET: f64 = 800.0;

/// Budget of the fleet for the first reads of starting hosts, in calls per second.
const START_BUDGET: f64 = 500.0;

/// Budget of the fleet for the reads of hosts that receive no news, in calls per second.
const QUIET_BUDGET: f64 = 100.0;

/// Shortest interval between two reads of a document by one host.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(200);

/// How long a watch waits for a change, before jitter.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Interval of a watcher's plain reads, before jitter. They detect that the service went back to an
/// older revision, which ends no watch.
const AUDIT_INTERVAL: Duration = Duration::from_secs(60);

/// Shortest time without news after which a listener reads, before jitter.
const QUIET_INTERVAL: Duration = Duration::from_secs(10);

/// Delay after the first failed read, before jitter; doubled with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// Longest delay after a failed read, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Delay of the first read on a host without a view of the fleet, before jitter.
const NO_VIEW_DELAY: Duration = Duration::from_secs(2);

/// A read that hasn't ended this long after its wait counts as failed.
const READ_GRACE: Duration = Duration::from_secs(5);

/// How a host learns of changes to a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// It watches the document on behalf of its failure domain.
    Watcher,
    /// It watches the document because it hears no peers. Every other host may be doing the same,
    /// so its share of the budget is that of one host among all.
    Isolated,
    /// It learns from peers, and reads only after a time without news.
    Listener,
}

/// The schedule of one document's reads. At most one read is pending at a time.
#[derive(Debug, Default)]
pub(super) struct Reader {
    /// Time at which the pending read counts as failed; `None` if none is pending.
    expires_at: Option<Duration>,
    next_read_at: Duration,
    /// When a watcher's next read is a plain one.
    next_audit_at: Duration,
    /// When a listener without news reads.
    next_quiet_read_at: Duration,
    /// Failed reads since the last successful one.
    failures: u32,
    was_isolated: bool,
}

/// Whether a read waits for a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Read {
    /// A read that returns at once.
    Plain,
    /// A read that waits for a change.
    Watch(Watch),
}

impl Reader {
    /// A reader whose first read is due after a random share of the time in which all hosts of its
    /// role can read within the start budget.
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

    /// A reader on a host without a view of the fleet.
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

    /// Starts the read that is due at `now`, if any. `known` is the latest revision that the host
    /// holds.
    pub(super) fn due_read(
        &mut self,
        now: Duration,
        role: Role,
        known: Option<u64>,
        view: &View,
        rng: &mut impl Rng,
    ) -> Option<Read> {
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
            return Some(self.begin_read(now, Read::Plain));
        }
        let Some(after) = known.filter(|_| now < self.next_audit_at) else {
            self.next_audit_at = now + jitter(AUDIT_INTERVAL, rng);
            return Some(self.begin_read(now, Read::Plain));
        };
        let wait = jitter(WATCH_WAIT, rng);
        Some(self.begin_read(
            now,
            Read::Watch(Watch {
                after_revision: after,
                max_wait: wait,
            }),
        ))
    }

    /// Schedules the next read after one has ended.
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

    /// Postpones a listener's next read, since the host has received news or is about to read.
    pub(super) fn postpone_quiet_read(&mut self, now: Duration, view: &View, rng: &mut impl Rng) {
        let period = QUIET_INTERVAL.max(budget_interval(
            DOCUMENT_COUNT * view.host_count as f64,
            QUIET_BUDGET,
        ));
        self.next_quiet_read_at = now + jitter(period, rng);
    }

    fn begin_read(&mut self, now: Duration, kind: Read) -> Read {
        let wait = match kind {
            Read::Plain => Duration::ZERO,
            Read::Watch(watch) => watch.max_wait,
        };
        self.expires_at = Some(now + wait + READ_GRACE);
        kind
    }
}

/// Number of hosts in the fleet that read a document in the same role.
fn competing_hosts(role: Role, view: &View) -> f64 {
    match role {
        Role::Watcher => (view.domain_count * WATCHERS_PER_DOMAIN) as f64,
        Role::Isolated | Role::Listener => view.host_count as f64,
    }
}

/// Interval between two reads of one host when `readers` share `budget` calls per second.
fn budget_interval(readers: f64, budget: f64) -> Duration {
    MIN_READ_INTERVAL.max(Duration::from_secs_f64(readers / budget))
}

/// A random duration of 0.5 to 1.5 times `period`.
fn jitter(period: Duration, rng: &mut impl Rng) -> Duration {
    period.mul_f64(0.5 + rng.random::<f64>())
}
