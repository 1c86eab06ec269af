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
pub(super) const READERS: usize = 2;

/// Documents that are read.
const DOCUMENTS: f64 = 3.0;

/// Calls a second that watches may cost, all hosts together.
const WATCH_BUDGET: f64 = 800.0;

/// Calls a second that the first reads of hosts that start may cost, all hosts together.
const START_BUDGET: f64 = 500.0;

/// Calls a second that hosts which hear nothing new may cost, all hosts together.
const QUIET_BUDGET: f64 = 100.0;

/// Shortest time between two watches of one host on one document.
const MIN_SPACING: Duration = Duration::from_millis(200);

/// Wait of one watch, before jitter.
const WATCH: Duration = Duration::from_secs(20);

/// Between the plain reads by which a watching host sees that the service has gone back.
const AUDIT: Duration = Duration::from_secs(60);

/// A host that has heard nothing new for this long reads by itself.
const QUIET: Duration = Duration::from_secs(10);

/// After the first failed read; doubled with each further one.
const BACKOFF: Duration = Duration::from_millis(250);

/// Longest time between tries while reads fail.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Until a host that knows nothing of the fleet's size reads, before jitter.
const BLIND: Duration = Duration::from_secs(2);

/// A read that has not ended this long after its wait is taken to have failed.
const GRACE: Duration = Duration::from_secs(5);

/// Why a host reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// It holds a watch for its failure domain.
    Watcher,
    /// It holds a watch because no peer speaks to it, and every other host may do the same.
    Lone,
    /// It learns from peers and reads only when they tell nothing new.
    Listener,
}

/// The reading of one document.
#[derive(Debug, Default)]
pub(super) struct Reader {
    expires: Option<Duration>,
    next: Duration,
    audit: Duration,
    quiet: Duration,
    failures: u32,
    lone: bool,
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
        let crowd = DOCUMENTS * watchers(role, view);
        let first = now + share(crowd, START_BUDGET).mul_f64(rng.random());
        Self {
            next: first,
            audit: first,
            quiet: first,
            lone: role == Role::Lone,
            ..Self::default()
        }
    }

    /// A reader of a host that knows nothing of the fleet yet.
    pub(super) fn blind(now: Duration, rng: &mut impl Rng) -> Self {
        let first = now + jitter(BLIND, rng);
        Self {
            next: first,
            audit: first,
            quiet: first,
            lone: true,
            ..Self::default()
        }
    }

    /// The read that is due at `now`, if one is.
    pub(super) fn due(
        &mut self,
        now: Duration,
        role: Role,
        known: Option<u64>,
        view: &View,
        rng: &mut impl Rng,
    ) -> Option<Due> {
        if self.expires.is_some_and(|expires| now >= expires) {
            self.ended(now, role, &Outcome::Failed, view, rng);
        }
        if role == Role::Lone && !self.lone {
            let crowd = DOCUMENTS * watchers(role, view);
            self.next = now + share(crowd, START_BUDGET).mul_f64(rng.random());
        }
        self.lone = role == Role::Lone;
        if self.expires.is_some() || now < self.next {
            return None;
        }
        if role == Role::Listener {
            if now < self.quiet {
                return None;
            }
            self.heard_news(now, view, rng);
            return Some(self.begin(now, Due::Plain));
        }
        let Some(after) = known.filter(|_| now < self.audit) else {
            self.audit = now + jitter(AUDIT, rng);
            return Some(self.begin(now, Due::Plain));
        };
        let wait = jitter(WATCH, rng);
        Some(self.begin(now, Due::Watch(Watch { after, wait })))
    }

    /// A read ended.
    pub(super) fn ended(
        &mut self,
        now: Duration,
        role: Role,
        outcome: &Outcome,
        view: &View,
        rng: &mut impl Rng,
    ) {
        self.expires = None;
        let pause = match outcome {
            Outcome::Found { .. } | Outcome::Unchanged => {
                self.failures = 0;
                Duration::ZERO
            }
            Outcome::Missing | Outcome::Failed => {
                self.failures += 1;
                let doublings = self.failures.min(6) - 1;
                MAX_BACKOFF.min(BACKOFF * 2u32.pow(doublings))
            }
        };
        self.next = now + jitter(pause.max(share(watchers(role, view), WATCH_BUDGET)), rng);
    }

    /// Something new came from a peer or the service, so there is no need to read.
    pub(super) fn heard_news(&mut self, now: Duration, view: &View, rng: &mut impl Rng) {
        let period = QUIET.max(share(DOCUMENTS * view.hosts as f64, QUIET_BUDGET));
        self.quiet = now + jitter(period, rng);
    }

    fn begin(&mut self, now: Duration, due: Due) -> Due {
        let wait = match due {
            Due::Plain => Duration::ZERO,
            Due::Watch(watch) => watch.wait,
        };
        self.expires = Some(now + wait + GRACE);
        due
    }
}

/// Hosts that may read a document as this one does.
fn watchers(role: Role, view: &View) -> f64 {
    match role {
        Role::Watcher => (view.domains * READERS) as f64,
        Role::Lone | Role::Listener => view.hosts as f64,
    }
}

/// Time between two reads of one host, when `readers` share `budget` calls a second.
fn share(readers: f64, budget: f64) -> Duration {
    MIN_SPACING.max(Duration::from_secs_f64(readers / budget))
}

/// A random time around `period`: half of it to one and a half times it.
fn jitter(period: Duration, rng: &mut impl Rng) -> Duration {
    period.mul_f64(0.5 + rng.random::<f64>())
}
