//! The state of one document on a host: its versions, its read schedule and pending fetches from
//! peers.

use {
    super::{Action, Message, Version, Versions, reader::Reader, store::Store},
    crate::{config::Document, name},
    std::{collections::VecDeque, time::Duration},
};

/// Time after which an unanswered fetch is sent to another peer that offered the version.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Most peers that are kept as alternatives for a pending fetch.
const MAX_ALTERNATIVES: usize = 4;

/// The state of one document.
#[derive(Debug)]
pub(super) struct Tracker {
    pub(super) store: Store,
    pub(super) reader: Reader,
    /// The latest versions that any peer has offered.
    pub(super) best_offered: Versions,
    pub(super) fetch: Option<Fetch>,
    /// Whether a read of the service has ended in this round.
    pub(super) has_read_service: bool,
    /// The revision that the service last returned, if older than the latest known one.
    pub(super) stale_revision: Option<u64>,
    /// The dropped version of the last reported conflict, so that each is reported once.
    pub(super) reported_conflict: Option<Version>,
}

/// A pending fetch of versions that peers offered.
#[derive(Debug)]
pub(super) struct Fetch {
    sent_at: Duration,
    /// Other peers that offered the versions, asked next if this fetch is not answered.
    alternatives: VecDeque<name::Host>,
}

impl Tracker {
    /// Fetches the versions that a peer offers if any is missing. During a pending fetch the peer
    /// is kept as an alternative.
    pub(super) fn on_offer(
        &mut self,
        now: Duration,
        from: &name::Host,
        offered: &Versions,
    ) -> Option<Action> {
        self.best_offered.accepted = self.best_offered.accepted.max(offered.accepted);
        self.best_offered.refused = self.best_offered.refused.max(offered.refused);
        if !self.store.lacks(offered) {
            return None;
        }
        if let Some(fetch) = &mut self.fetch {
            if fetch.alternatives.len() < MAX_ALTERNATIVES {
                fetch.alternatives.push_back(from.clone());
            }
            return None;
        }
        self.fetch = Some(Fetch {
            sent_at: now,
            alternatives: VecDeque::new(),
        });
        Some(self.fetch_from(from.clone()))
    }

    /// Sends the fetch to another peer when it times out.
    pub(super) fn retry_fetch(&mut self, now: Duration) -> Option<Action> {
        let fetch = self.fetch.as_mut()?;
        if now < fetch.sent_at + FETCH_TIMEOUT {
            return None;
        }
        fetch.sent_at = now;
        let next = fetch.alternatives.pop_front();
        if next.is_none() || !self.store.lacks(&self.best_offered) {
            self.fetch = None;
            return None;
        }
        next.map(|to| self.fetch_from(to))
    }

    fn fetch_from(&self, to: name::Host) -> Action {
        Action::Send {
            to,
            message: Message::Fetch {
                document: self.store.document(),
                have: self.store.versions(),
            },
        }
    }

    pub(super) fn new(document: Document) -> Self {
        Self {
            store: Store::new(document),
            reader: Reader::default(),
            best_offered: Versions::default(),
            fetch: None,
            has_read_service: false,
            stale_revision: None,
            reported_conflict: None,
        }
    }
}
