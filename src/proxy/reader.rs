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
pub const MAX_READING_AGE: Duration = Duration::from_millis(2_200);
/// Time between two announcements: with the reader's longest wait at the store, well within
/// [`MAX_READING_AGE`].
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// How long an announced change of upstreams may take to arrive before it is read; announcements
/// and changes go over the same connection, so that more than a loss is rare.
const LISTING_GRACE: Duration = Duration::from_millis(300);
/// How much longer each further host of the region waits before it announces, so that one begins.
const STAGGER_PER_HOST: Duration = Duration::from_millis(150);
/// Hosts after which no further one waits longer.
const MAX_STAGGERED_HOSTS: usize = 20;

/// What a reader has seen of a section.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
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
    pub operator: Freshness,
    /// Of the upstreams.
    pub upstreams: Freshness,
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
    fn freshness(&self, section: Section) -> Freshness {
        match section {
            Section::Operator => self.operator,
            Section::Upstreams => self.upstreams,
        }
    }

    fn state_id(&self, section: Section) -> Version {
        Version {
            reader: self.from.clone(),
            incarnation: self.incarnation,
            generation: self.freshness(section).generation,
        }
    }
}

/// One state of a section, as one reader counts them.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Version {
    reader: name::Host,
    incarnation: u64,
    generation: u64,
}

#[derive(Debug, Default)]
struct Progress {
    /// The state that this host is up to date with.
    known_state: Option<Version>,
    /// The state that it has been told of.
    announced_state: Option<Version>,
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
pub struct Role {
    own_host: name::Host,
    sections: BTreeMap<Section, Progress>,
    /// The reader that is relied on.
    source: Option<name::Host>,
    is_announcing: bool,
    /// Since when nobody else has announced anything fresh.
    no_source_since: Duration,
    announced_at: Option<Duration>,
    announced_generation: Option<u64>,
}

/// What is to be announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// Of the configuration and the evacuations.
    pub operator: Freshness,
    /// Of the upstreams.
    pub upstreams: Freshness,
    /// The revision of the listing that belongs to it, if upstreams have changed.
    pub listing: Option<u64>,
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Update {
    /// It is old, or of a reader that is not relied on.
    Ignored,
    /// The reader is relied on from now on.
    NewSource,
    /// The reader goes on.
    SameSource,
}

impl Role {
    /// A host that has read nothing yet.
    pub fn new(now: Duration, own: name::Host) -> Self {
        Self {
            own_host: own,
            sections: Section::ALL
                .map(|section| (section, Progress::default()))
                .into(),
            source: None,
            is_announcing: false,
            no_source_since: now,
            announced_at: None,
            announced_generation: None,
        }
    }

    fn progress(&mut self, section: Section) -> &mut Progress {
        self.sections.entry(section).or_default()
    }

    /// Another host of the region announces. Of two readers the one whose name comes first is
    /// relied on, and the other gives up.
    pub fn receive(&mut self, now: Duration, reading: &Reading) -> Update {
        let outranked = self.is_announcing && reading.from > self.own_host;
        let other = self
            .source
            .as_ref()
            .is_some_and(|source| *source < reading.from)
            && self.has_fresh_source(now);
        let fresh = Section::ALL
            .iter()
            .all(|section| reading.freshness(*section).age < MAX_READING_AGE);
        if outranked || other || !fresh || reading.from == self.own_host {
            return Update::Ignored;
        }
        for (section, progress) in &mut self.sections {
            let seen = reading.state_id(*section);
            progress.fresh_until =
                (now + MAX_READING_AGE).saturating_sub(reading.freshness(*section).age);
            if progress.known_state.as_ref() == Some(&seen) {
                progress.behind_since = None;
            } else {
                progress.behind_since.get_or_insert(now);
            }
            progress.announced_state = Some(seen);
        }
        let same = self.source.as_ref() == Some(&reading.from);
        self.source = Some(reading.from.clone());
        self.is_announcing = false;
        if same {
            Update::SameSource
        } else {
            Update::NewSource
        }
    }

    /// Whether another host's reading of every section is fresh.
    fn has_fresh_source(&self, now: Duration) -> bool {
        let fresh = |progress: &Progress| now < progress.fresh_until;
        self.source.is_some() && self.sections.values().all(fresh)
    }

    /// Whether a listing is to be taken over: it must not be older than what is known.
    pub fn accept_listing(&mut self, reading: &Reading, listing: &Listing) -> bool {
        let seen = reading.state_id(Section::Upstreams);
        let progress = self.progress(Section::Upstreams);
        if progress.announced_state.as_ref() != Some(&seen) || listing.revision < progress.revision
        {
            return false;
        }
        progress.revision = listing.revision;
        progress.known_state = Some(seen);
        progress.behind_since = None;
        true
    }

    /// How long a section need not be read by this host; `None` if it is to be read now.
    pub fn time_until_read(&self, now: Duration, section: Section) -> Option<Duration> {
        let progress = self.sections.get(&section)?;
        progress.read_at?;
        if self.is_announcing || !self.has_fresh_source(now) {
            return None;
        }
        let fresh = progress.fresh_until;
        let until = match (progress.behind_since, section) {
            (None, _) => fresh,
            (Some(_), Section::Operator) => return None,
            (Some(since), Section::Upstreams) => fresh.min(since + LISTING_GRACE),
        };
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// The states that a call that begins now will bring.
    pub fn begin_read(&self, section: Section) -> Token {
        let told = self.sections.get(&section);
        Token(told.and_then(|progress| progress.announced_state.clone()))
    }

    /// A call of this host's has brought a section up to a revision, with or without changes that
    /// matter.
    pub fn finish_read(&mut self, now: Duration, section: Section, asked: Token, revision: u64) {
        let progress = self.progress(section);
        progress.read_at = Some(now);
        progress.revision = progress.revision.max(revision);
        if let Some(seen) = asked.0 {
            let current = progress.announced_state.as_ref() == Some(&seen);
            progress.known_state = Some(seen);
            if current {
                progress.behind_since = None;
            }
        }
    }

    /// How often something that matters has changed in a section.
    pub fn set_generation(&mut self, section: Section, generation: u64) {
        self.progress(section).generation = generation;
    }

    /// Revision up to which a section is known.
    pub fn revision(&self, section: Section) -> u64 {
        let progress = self.sections.get(&section);
        progress.map_or(0, |progress| progress.revision)
    }

    /// What is known of a section turned out to be wrong; it is read again soon.
    pub fn invalidate(&mut self, now: Duration, section: Section) {
        let progress = self.progress(section);
        progress.known_state = None;
        progress.behind_since.get_or_insert(now);
    }

    /// What to announce now, if anything, given how many hosts of the region come before this one.
    pub fn announce(&mut self, now: Duration, before: usize) -> Option<Announcement> {
        if self.has_fresh_source(now) && !self.is_announcing {
            self.no_source_since = now;
            return None;
        }
        let wait = STAGGER_PER_HOST * before.min(MAX_STAGGERED_HOSTS) as u32;
        if !self.is_announcing && now < self.no_source_since + wait {
            return None;
        }
        let operator = self.freshness(now, Section::Operator);
        let upstreams = self.freshness(now, Section::Upstreams);
        let (Some(operator), Some(upstreams)) = (operator, upstreams) else {
            self.is_announcing = false;
            return None;
        };
        let changed = self.announced_generation != Some(upstreams.generation);
        let due = self
            .announced_at
            .is_none_or(|at| now >= at + ANNOUNCE_INTERVAL);
        if !changed && !due {
            return None;
        }
        self.is_announcing = true;
        self.source = None;
        self.announced_at = Some(now);
        self.announced_generation = Some(upstreams.generation);
        let revision = self.progress(Section::Upstreams).revision;
        Some(Announcement {
            operator,
            upstreams,
            listing: changed.then_some(revision),
        })
    }

    /// Whether this host announces.
    pub fn is_announcing(&self) -> bool {
        self.is_announcing
    }

    /// What this host has read of a section, if that is fresh.
    fn freshness(&self, now: Duration, section: Section) -> Option<Freshness> {
        let progress = self.sections.get(&section)?;
        let age = now.saturating_sub(progress.read_at?);
        (age < MAX_READING_AGE).then_some(Freshness {
            generation: progress.generation,
            age,
        })
    }
}

/// What was announced when a call began: the call brings at least that.
#[derive(Debug)]
pub struct Token(Option<Version>);
