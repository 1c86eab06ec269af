//! Which hosts of a region read the platform's store. One reads for all and announces what it has
//! seen; the others read only where nothing fresh is announced, or where they missed a change. A
//! host that can't tell reads for itself: two readers cost some calls, none costs what is known.

use {
    super::{entry::Entry, follow::Section},
    crate::name,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Age up to which a reading is relied on. A leaving upstream and a configuration must be known
/// within three seconds, which leaves time for a call of one's own.
pub const FRESH: Duration = Duration::from_millis(2_200);
/// Time between two announcements: with the reader's longest wait at the store, well within
/// [`FRESH`].
const ANNOUNCE_EVERY: Duration = Duration::from_millis(500);
/// How long an announced change of upstreams may take to arrive before it is read; announcements
/// and changes go over the same connection, so that more than a loss is rare.
const GRACE: Duration = Duration::from_millis(300);
/// How much longer each further host of the region waits before it announces, so that one begins.
const STAGGER: Duration = Duration::from_millis(150);
/// Hosts after which no further one waits longer.
const STAGGERED: usize = 20;

/// What a reader has seen of a section.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Grows with each change that matters.
    pub generation: u64,
    /// Time since the section was last read.
    pub age: Duration,
}

/// What a reader announces to the hosts of its region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reading {
    /// The reader.
    pub from: name::Host,
    /// Its incarnation.
    pub incarnation: u64,
    /// Of the configuration and the evacuations.
    pub operator: Mark,
    /// Of the upstreams.
    pub upstreams: Mark,
    /// The region's upstreams, if they have changed since the announcement before.
    pub listing: Option<Listing>,
}

/// The upstreams of a region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The store's revision that they stand for.
    pub revision: u64,
    /// All of them, each with the rest of its time in the cold.
    pub entries: Vec<Entry>,
}

impl Reading {
    fn mark(&self, section: Section) -> Mark {
        match section {
            Section::Operator => self.operator,
            Section::Upstreams => self.upstreams,
        }
    }

    fn seen(&self, section: Section) -> Seen {
        Seen {
            reader: self.from.clone(),
            incarnation: self.incarnation,
            generation: self.mark(section).generation,
        }
    }
}

/// One state of a section, as one reader counts them.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Seen {
    reader: name::Host,
    incarnation: u64,
    generation: u64,
}

#[derive(Debug, Default)]
struct Progress {
    /// The state that this host is up to date with.
    known: Option<Seen>,
    /// The state that it has been told of.
    told: Option<Seen>,
    /// Until when what it was told is fresh.
    fresh_until: Duration,
    /// Since when it has been told of a state that it does not know.
    behind_since: Option<Duration>,
    /// When it last read the section itself.
    read_at: Option<Duration>,
    /// Revision up to which it knows the section.
    revision: u64,
    /// Counts the changes that it saw.
    generation: u64,
}

/// This host's part in reading the store.
#[derive(Debug)]
pub struct Duty {
    own: name::Host,
    sections: BTreeMap<Section, Progress>,
    /// The reader that is relied on.
    source: Option<name::Host>,
    announcing: bool,
    /// Since when nobody else has announced anything fresh.
    alone_since: Duration,
    announced_at: Option<Duration>,
    announced: Option<u64>,
}

/// What is to be announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// Of the configuration and the evacuations.
    pub operator: Mark,
    /// Of the upstreams.
    pub upstreams: Mark,
    /// The revision of the listing that belongs to it, if upstreams have changed.
    pub listing: Option<u64>,
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// It is old, or of a reader that is not relied on.
    Ignored,
    /// The reader is relied on from now on.
    Source,
    /// The reader goes on.
    Same,
}

impl Duty {
    /// A host that has read nothing yet.
    pub fn new(now: Duration, own: name::Host) -> Self {
        Self {
            own,
            sections: Section::ALL
                .map(|section| (section, Progress::default()))
                .into(),
            source: None,
            announcing: false,
            alone_since: now,
            announced_at: None,
            announced: None,
        }
    }

    fn progress(&mut self, section: Section) -> &mut Progress {
        self.sections.entry(section).or_default()
    }

    /// Another host of the region announces. Of two readers the one whose name comes first is
    /// relied on, and the other gives up.
    pub fn hear(&mut self, now: Duration, reading: &Reading) -> News {
        let outranked = self.announcing && reading.from > self.own;
        let other = self
            .source
            .as_ref()
            .is_some_and(|source| *source < reading.from)
            && self.relies(now);
        let fresh = Section::ALL
            .iter()
            .all(|section| reading.mark(*section).age < FRESH);
        if outranked || other || !fresh || reading.from == self.own {
            return News::Ignored;
        }
        for (section, progress) in &mut self.sections {
            let seen = reading.seen(*section);
            progress.fresh_until = (now + FRESH).saturating_sub(reading.mark(*section).age);
            if progress.known.as_ref() == Some(&seen) {
                progress.behind_since = None;
            } else {
                progress.behind_since.get_or_insert(now);
            }
            progress.told = Some(seen);
        }
        let same = self.source.as_ref() == Some(&reading.from);
        self.source = Some(reading.from.clone());
        self.announcing = false;
        if same { News::Same } else { News::Source }
    }

    /// Whether another host's reading of every section is fresh.
    fn relies(&self, now: Duration) -> bool {
        let fresh = |progress: &Progress| now < progress.fresh_until;
        self.source.is_some() && self.sections.values().all(fresh)
    }

    /// Whether a listing is to be taken over: it must not be older than what is known.
    pub fn accepts(&mut self, reading: &Reading, listing: &Listing) -> bool {
        let seen = reading.seen(Section::Upstreams);
        let progress = self.progress(Section::Upstreams);
        if progress.told.as_ref() != Some(&seen) || listing.revision < progress.revision {
            return false;
        }
        progress.revision = listing.revision;
        progress.known = Some(seen);
        progress.behind_since = None;
        true
    }

    /// How long a section need not be read by this host; `None` if it is to be read now.
    pub fn rests(&self, now: Duration, section: Section) -> Option<Duration> {
        let progress = self.sections.get(&section)?;
        progress.read_at?;
        if self.announcing || !self.relies(now) {
            return None;
        }
        let fresh = progress.fresh_until;
        let until = match (progress.behind_since, section) {
            (None, _) => fresh,
            (Some(_), Section::Operator) => return None,
            (Some(since), Section::Upstreams) => fresh.min(since + GRACE),
        };
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// The states that a call that begins now will bring.
    pub fn begin(&self, section: Section) -> Asked {
        let told = self.sections.get(&section);
        Asked(told.and_then(|progress| progress.told.clone()))
    }

    /// A call of this host's has brought a section up to a revision, with or without changes that
    /// matter.
    pub fn read(&mut self, now: Duration, section: Section, asked: Asked, revision: u64) {
        let progress = self.progress(section);
        progress.read_at = Some(now);
        progress.revision = progress.revision.max(revision);
        if let Some(seen) = asked.0 {
            let current = progress.told.as_ref() == Some(&seen);
            progress.known = Some(seen);
            if current {
                progress.behind_since = None;
            }
        }
    }

    /// How often something that matters has changed in a section.
    pub fn count(&mut self, section: Section, generation: u64) {
        self.progress(section).generation = generation;
    }

    /// Revision up to which a section is known.
    pub fn revision(&self, section: Section) -> u64 {
        let progress = self.sections.get(&section);
        progress.map_or(0, |progress| progress.revision)
    }

    /// What is known of a section turned out to be wrong; it is read again soon.
    pub fn doubt(&mut self, now: Duration, section: Section) {
        let progress = self.progress(section);
        progress.known = None;
        progress.behind_since.get_or_insert(now);
    }

    /// What to announce now, if anything, given how many hosts of the region come before this one.
    pub fn announce(&mut self, now: Duration, before: usize) -> Option<Announcement> {
        if self.relies(now) && !self.announcing {
            self.alone_since = now;
            return None;
        }
        let wait = STAGGER * before.min(STAGGERED) as u32;
        if !self.announcing && now < self.alone_since + wait {
            return None;
        }
        let operator = self.mark(now, Section::Operator);
        let upstreams = self.mark(now, Section::Upstreams);
        let (Some(operator), Some(upstreams)) = (operator, upstreams) else {
            self.announcing = false;
            return None;
        };
        let changed = self.announced != Some(upstreams.generation);
        let due = self
            .announced_at
            .is_none_or(|at| now >= at + ANNOUNCE_EVERY);
        if !changed && !due {
            return None;
        }
        self.announcing = true;
        self.source = None;
        self.announced_at = Some(now);
        self.announced = Some(upstreams.generation);
        let revision = self.progress(Section::Upstreams).revision;
        Some(Announcement {
            operator,
            upstreams,
            listing: changed.then_some(revision),
        })
    }

    /// Whether this host announces.
    pub fn is_announcing(&self) -> bool {
        self.announcing
    }

    /// What this host has read of a section, if that is fresh.
    fn mark(&self, now: Duration, section: Section) -> Option<Mark> {
        let progress = self.sections.get(&section)?;
        let age = now.saturating_sub(progress.read_at?);
        (age < FRESH).then_some(Mark {
            generation: progress.generation,
            age,
        })
    }
}

/// What was announced when a call began: the call brings at least that.
#[derive(Debug)]
pub struct Asked(Option<Seen>);
