//! Joins the pages of a list of the platform's store.
//!
//! A list may have any number of pages, and a failed call costs one page only: those that came before are
//! kept. A page that ends at a key at which another one has ended doesn't advance, and ends the list.

use {
    super::{
        follow::{Item, Page},
        revision::Revision,
    },
    crate::route::affinity,
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// Pages that are asked for without a pause.
const UNPACED_PAGES: usize = 100;
/// Pause before each further page, for lists without end.
const PAGE_INTERVAL: Duration = Duration::from_millis(20);
/// Most entries that are kept of one list, against lists without end.
const MAX_ITEMS: usize = 200_000;
/// Most pages of one list, of which some may have no entries that are kept.
const MAX_PAGES: usize = 100_000;

/// The pages of a list that have come so far.
#[derive(Debug)]
pub struct Pages {
    /// Revision of the first page; a watch from it repeats changes that were made between the pages.
    revision: Revision,
    items: Vec<Item>,
    /// Hashes of the keys at which pages have ended.
    ends: BTreeSet<u64>,
    /// The key after which the next page begins.
    after: Option<Arc<str>>,
}

/// What a further page means for the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Another page follows.
    More,
    /// The list is whole.
    Whole,
    /// The page says that another one follows, and doesn't advance. Entries may be missing.
    Stalled,
    /// The list has more entries or pages than any that has an end.
    TooLong,
}

impl Pages {
    /// A list whose first page is of this revision.
    pub fn new(revision: Revision) -> Self {
        Self {
            revision,
            items: Vec::new(),
            ends: BTreeSet::new(),
            after: None,
        }
    }

    /// Revision of the first page.
    pub fn revision(&self) -> &Revision {
        &self.revision
    }

    /// The key after which the next page begins; `None` before the first page.
    pub fn after(&self) -> Option<&Arc<str>> {
        self.after.as_ref()
    }

    /// How long to wait before the next page is asked for.
    pub fn pause(&self) -> Duration {
        if self.ends.len() < UNPACED_PAGES {
            Duration::ZERO
        } else {
            PAGE_INTERVAL
        }
    }

    /// Adds the next page.
    pub fn push(&mut self, page: Page) -> Progress {
        let end = page.next.as_ref().map(|end| affinity::hash(end.as_bytes()));
        if end.is_some_and(|end| !self.ends.insert(end)) {
            return Progress::Stalled;
        }
        self.items.extend(page.batch.items);
        if page.next.is_none() {
            return Progress::Whole;
        }
        self.after = page.next;
        if self.items.len() > MAX_ITEMS || self.ends.len() > MAX_PAGES {
            Progress::TooLong
        } else {
            Progress::More
        }
    }

    /// The entries of all pages.
    pub fn into_items(self) -> Vec<Item> {
        self.items
    }
}
