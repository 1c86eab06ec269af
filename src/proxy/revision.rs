//! Places in the history of the platform's store.
//!
//! A store that is restored from an older copy gives revisions out again with other contents. It
//! counts its restorations as eras, and revisions are ordered within one era only. So [`Revision`]
//! has no order of its own: each comparison has to say what it does about another era.

use {
    crate::natural::Natural,
    serde::{Deserialize, Serialize},
    std::{cmp::Ordering, fmt},
};

/// The stretch of the store's history between two restorations. The default is the era of a store
/// that names none, which is earlier than all others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Era(Option<u128>);

impl Era {
    /// The era with a number that the store named.
    pub fn new(number: u128) -> Self {
        Self(Some(number))
    }

    /// Whether it is that of a store that names none. Such an era need not be sent.
    pub fn is_unnamed(&self) -> bool {
        self.0.is_none()
    }
}

impl fmt::Display for Era {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(number) => number.fmt(formatter),
            None => formatter.write_str("unnamed"),
        }
    }
}

/// A revision of the store within one era.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Revision {
    era: Era,
    number: Natural,
}

impl Revision {
    /// The revision with a number that was given out in an era.
    pub fn new(era: Era, number: impl Into<Natural>) -> Self {
        Self {
            era,
            number: number.into(),
        }
    }

    /// The era in which it was given out.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Its number, which means nothing without the era.
    pub fn number(&self) -> &Natural {
        &self.number
    }

    /// The order of two revisions; `None` if they are of different eras.
    pub fn compare(&self, other: &Self) -> Option<Ordering> {
        (self.era == other.era).then(|| self.number.cmp(&other.number))
    }

    /// Whether it was given out before another one of its era.
    pub fn is_before(&self, other: &Self) -> bool {
        self.compare(other) == Some(Ordering::Less)
    }
}
