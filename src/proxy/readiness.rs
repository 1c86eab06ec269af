//! Why a host is not ready, and when it says so.

use {
    super::follow::Section,
    derive_more::Display,
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which a host may be not ready without saying so.
const PATIENCE: Duration = Duration::from_secs(1);
/// Longest time between two notices.
const MAX_INTERVAL: Duration = Duration::from_secs(60);
/// Most letters that are kept of the reason of a failure.
const MAX_REASON_LETTERS: usize = 200;

/// What keeps a host from being ready.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Obstacle {
    /// No list of the operator's section has come from the platform's store.
    #[display("store unread")]
    StoreUnread,
    /// The store holds a configuration that can't be read.
    #[display("configuration unreadable")]
    ConfigurationUnreadable,
    /// The store was read and holds no configuration.
    #[display("configuration missing")]
    ConfigurationMissing,
    /// No list of upstreams has come.
    #[display("upstreams unread")]
    UpstreamsUnread,
    /// The host is leaving.
    #[display("leaving")]
    Leaving,
}

impl Obstacle {
    /// Every obstacle.
    pub const ALL: [Self; 5] = [
        Self::StoreUnread,
        Self::ConfigurationUnreadable,
        Self::ConfigurationMissing,
        Self::UpstreamsUnread,
        Self::Leaving,
    ];

    /// The failure that may explain it.
    fn cause(self) -> Option<Cause> {
        match self {
            Self::StoreUnread => Some(Cause::Store(Section::Operator)),
            Self::ConfigurationUnreadable => Some(Cause::Configuration),
            Self::UpstreamsUnread => Some(Cause::Store(Section::Upstreams)),
            Self::ConfigurationMissing | Self::Leaving => None,
        }
    }
}

/// What has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Reading a section of the platform's store.
    Store(Section),
    /// Decoding the configuration.
    Configuration,
}

/// What a host should say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// It is not ready.
    NotReady {
        /// What keeps it.
        obstacle: Obstacle,
        /// For how long it has not been ready.
        lasted: Duration,
    },
    /// It has become ready.
    Ready {
        /// For how long it had not been.
        lasted: Duration,
    },
}

/// What a host knows of its being ready. Times are those of a [`Clock`](crate::clock::Clock).
#[derive(Debug)]
pub struct Readiness {
    /// Since when it is not ready; `None` while it is.
    since: Option<Duration>,
    told: Option<Told>,
    /// Time until the next notice of the same obstacle.
    interval: Duration,
    /// The newest failures that nothing has disproved.
    failures: BTreeMap<Cause, String>,
}

/// The last notice.
#[derive(Debug)]
struct Told {
    obstacle: Obstacle,
    /// When another obstacle may be told.
    change_at: Duration,
    /// When the same one is told again.
    repeat_at: Duration,
}

impl Readiness {
    /// A host that starts now.
    pub fn new(now: Duration) -> Self {
        Self {
            since: Some(now),
            told: None,
            interval: PATIENCE,
            failures: BTreeMap::new(),
        }
    }

    /// Records a failure.
    pub fn fail(&mut self, cause: Cause, reason: &str) {
        let reason = reason.chars().take(MAX_REASON_LETTERS).collect();
        self.failures.insert(cause, reason);
    }

    /// Records that a cause has gone.
    pub fn succeed(&mut self, cause: Cause) {
        self.failures.remove(&cause);
    }

    /// The newest failure of a cause that has not gone.
    pub fn failure(&self, cause: Cause) -> Option<&str> {
        self.failures.get(&cause).map(String::as_str)
    }

    /// The reason of the failure that may explain an obstacle.
    pub fn reason(&self, obstacle: Obstacle) -> Option<&str> {
        self.failure(obstacle.cause()?)
    }

    /// Called often. Returns what is to be said: at first after a second, then when the obstacle changes, once a
    /// second at most, or after a time that doubles, up to a minute.
    pub fn observe(&mut self, now: Duration, obstacle: Option<Obstacle>) -> Option<Notice> {
        let Some(obstacle) = obstacle else {
            let since = self.since.take()?;
            (self.told, self.interval) = (None, PATIENCE);
            return Some(Notice::Ready {
                lasted: now.saturating_sub(since),
            });
        };
        if obstacle == Obstacle::Leaving {
            return None;
        }
        let lasted = now.saturating_sub(*self.since.get_or_insert(now));
        let is_due = match &self.told {
            None => lasted >= PATIENCE,
            Some(told) if told.obstacle == obstacle => now >= told.repeat_at,
            Some(told) => now >= told.change_at,
        };
        if !is_due {
            return None;
        }
        self.told = Some(Told {
            obstacle,
            change_at: now + PATIENCE,
            repeat_at: now + self.interval,
        });
        self.interval = (self.interval * 2).min(MAX_INTERVAL);
        Some(Notice::NotReady { obstacle, lasted })
    }
}
