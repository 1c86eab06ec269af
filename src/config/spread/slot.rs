//! Everything that one host has and does about one document.

use {
    super::{Action, Message, Standing, Version, held::Held, reader::Reader},
    crate::{config::Document, name},
    std::{collections::VecDeque, time::Duration},
};

/// A fetch that is not answered by then goes to another peer that offered the version.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Peers that are remembered to have offered what is being fetched.
const MAX_OFFERS: usize = 4;

/// Everything about one document.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) held: Held,
    pub(super) reader: Reader,
    pub(super) best: Standing,
    pub(super) fetching: Option<Fetch>,
    pub(super) asked_service: bool,
    pub(super) behind: Option<u64>,
    pub(super) dropped: Option<Version>,
}

/// A version that a peer offered and that is under way.
#[derive(Debug)]
pub(super) struct Fetch {
    sent: Duration,
    offers: VecDeque<name::Host>,
}

impl Slot {
    /// Begins to fetch what a peer has offered, or remembers the offer.
    pub(super) fn offered(
        &mut self,
        now: Duration,
        from: &name::Host,
        offered: &Standing,
    ) -> Option<Action> {
        self.best.accepted = self.best.accepted.max(offered.accepted);
        self.best.refused = self.best.refused.max(offered.refused);
        if !self.held.lacks(offered) {
            return None;
        }
        if let Some(fetch) = &mut self.fetching {
            if fetch.offers.len() < MAX_OFFERS {
                fetch.offers.push_back(from.clone());
            }
            return None;
        }
        self.fetching = Some(Fetch {
            sent: now,
            offers: VecDeque::new(),
        });
        Some(self.fetch(from.clone()))
    }

    /// Turns to another peer when one has not answered.
    pub(super) fn fetch_again(&mut self, now: Duration) -> Option<Action> {
        let fetch = self.fetching.as_mut()?;
        if now < fetch.sent + FETCH_TIMEOUT {
            return None;
        }
        fetch.sent = now;
        let next = fetch.offers.pop_front();
        if next.is_none() || !self.held.lacks(&self.best) {
            self.fetching = None;
            return None;
        }
        next.map(|to| self.fetch(to))
    }

    fn fetch(&self, to: name::Host) -> Action {
        Action::Send {
            to,
            message: Message::Fetch {
                document: self.held.document(),
                have: self.held.standing(),
            },
        }
    }

    pub(super) fn new(document: Document) -> Self {
        Self {
            held: Held::new(document),
            reader: Reader::default(),
            best: Standing::default(),
            fetching: None,
            asked_service: false,
            behind: None,
            dropped: None,
        }
    }
}
