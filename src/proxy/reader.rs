//! Chooses which hosts of a region read the platform's store.
//!
//! One host, the reader, reads for all and announces what it has read. The others read only while
//! no fresh reading is announced or after they missed a change. A host that cannot tell reads for
//! itself: two readers cost some extra calls, while no reader means that changes go unnoticed.
//!
//! A reading tells the era of the store in which it was made. The newest era that a host has heard of
//! is the present one: readings and answers of an earlier era are not used, and what was read in one
//! is read again.

use {
    super::{
        entry::Entry,
        follow::Section,
        revision::{Era, Revision},
    },
    crate::{name, natural::Natural},
    serde::{Deserialize, Serialize},
    std::{cmp::Ordering, collections::BTreeMap, time::Duration},
};

/// Age up to which another host's reading is relied on. A leaving upstream and a new configuration
/// must be known within three seconds, so this leaves time for this host's own call.
pub const MAX_READING_AGE: Duration = Duration::from_millis(2_200);
/// Time between two announcements. Together with the reader's longest wait at the store it is well
/// below [`MAX_READING_AGE`].
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// How long the listing of an announced change of upstreams may take to arrive before this host
/// reads the store itself. Announcements and listings use the same connection, so a listing that
/// is missing has almost always been lost.
const LISTING_GRACE: Duration = Duration::from_millis(300);
/// Extra delay before announcing for each host of the region that comes earlier, so that only one
/// host starts to announce.
const STAGGER_PER_HOST: Duration = Duration::from_millis(150);
/// Number of earlier hosts beyond which the delay no longer grows.
const MAX_STAGGERED_HOSTS: usize = 20;

/// The state of a section that a reader has read, and how old that is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// Increases with each relevant change.
    pub generation: u64,
    /// Time since the reader last read the section.
    pub age: Duration,
}

/// The announcement that a reader sends to the hosts of its region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reading {
    /// The host that sent it.
    pub from: name::Host,
    /// Incarnation of that host.
    pub incarnation: u64,
    /// Era of the store in which it has read both sections. Hosts of older builds name none.
    #[serde(default, skip_serializing_if = "Era::is_unnamed")]
    pub era: Era,
    /// State of the configuration and the evacuations.
    pub operator: Freshness,
    /// State of the upstreams.
    pub upstreams: Freshness,
    /// All upstreams of the region; present only if they changed since the previous announcement.
    pub listing: Option<Listing>,
}

/// The upstreams of a region at one revision of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Number of the store's revision, in the era of the reading, at which the entries were read.
    pub revision: Natural,
    /// Every upstream, with its remaining cold time.
    pub entries: Vec<Entry>,
}

impl Reading {
    fn freshness(&self, section: Section) -> Freshness {
        match section {
            Section::Operator => self.operator,
            Section::Upstreams => self.upstreams,
        }
    }

    fn version(&self, section: Section, era: Era) -> Version {
        Version {
            reader: self.from.clone(),
            incarnation: self.incarnation,
            era,
            generation: self.freshness(section).generation,
        }
    }
}

/// Identifies one state of a section as counted by one reader.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Version {
    reader: name::Host,
    incarnation: u64,
    era: Era,
    generation: u64,
}

/// What this host knows of one section.
#[derive(Debug, Default)]
struct Progress {
    /// The state that this host is up to date with.
    known_version: Option<Version>,
    /// The state that the source announced last.
    announced_version: Option<Version>,
    /// Until when the announced state is fresh.
    fresh_until: Duration,
    /// Since when a state has been announced that this host does not have.
    behind_since: Option<Duration>,
    /// Whether this host has ever read the section from the store.
    has_read: bool,
    /// When this host last read the section in the present era.
    read_at: Option<Duration>,
    /// Revision up to which this host knows the section.
    revision: Option<Revision>,
    /// Relevant changes that this host has seen.
    generation: u64,
}

/// This host's role in reading the store: it is the reader, relies on another host, or reads for
/// itself.
#[derive(Debug)]
pub struct Role {
    own_host: name::Host,
    /// The newest era of the store that this host has heard of.
    era: Era,
    /// Whether the store was in an earlier era since this host has started.
    has_changed_era: bool,
    sections: BTreeMap<Section, Progress>,
    /// The host whose readings this one relies on.
    source: Option<name::Host>,
    /// Whether this host is the reader.
    is_announcing: bool,
    /// Since when no other host has announced a fresh reading.
    no_source_since: Duration,
    /// When this host last announced.
    announced_at: Option<Duration>,
    /// Era and generation of the upstreams in that announcement.
    announced_state: Option<(Era, u64)>,
}

/// The announcement that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Era of the store in which both sections were read.
    pub era: Era,
    /// State of the configuration and the evacuations.
    pub operator: Freshness,
    /// State of the upstreams.
    pub upstreams: Freshness,
    /// Number of the revision of the listing to send along; `None` if the upstreams have not changed.
    pub listing: Option<Natural>,
}

/// The effect of a received announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Update {
    /// Ignored: too old, or sent by a host that this one does not rely on.
    Ignored,
    /// Ignored, as it is of an earlier era of the store.
    EarlierEra,
    /// This host now relies on the sender.
    NewSource,
    /// This host already relied on the sender.
    SameSource,
}

impl Update {
    /// Whether this host relies on the reading.
    pub fn is_relied_on(self) -> bool {
        matches!(self, Self::NewSource | Self::SameSource)
    }
}

impl Role {
    /// Creates the role of a host that has read nothing yet.
    pub fn new(now: Duration, own_host: name::Host) -> Self {
        Self {
            own_host,
            era: Era::default(),
            has_changed_era: false,
            sections: Section::ALL
                .map(|section| (section, Progress::default()))
                .into(),
            source: None,
            is_announcing: false,
            no_source_since: now,
            announced_at: None,
            announced_state: None,
        }
    }

    fn progress(&mut self, section: Section) -> &mut Progress {
        self.sections.entry(section).or_default()
    }

    /// The newest era of the store that this host has heard of.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Records that the store names an era. If it is newer than the one known, what was read in that
    /// one has to be read again. Returns how it compares with the one known until now.
    pub fn observe_era(&mut self, era: Era) -> Ordering {
        let order = era.cmp(&self.era);
        if order.is_gt() {
            self.has_changed_era |= self.has_read_any();
            self.era = era;
            self.is_announcing = false;
            for progress in self.sections.values_mut() {
                progress.known_version = None;
                progress.behind_since = None;
                progress.read_at = None;
            }
        }
        order
    }

    /// Whether this host has read a section or was told of one.
    fn has_read_any(&self) -> bool {
        let mut sections = self.sections.values();
        !self.era.is_unnamed() || sections.any(|progress| progress.revision.is_some())
    }

    /// Whether the store was in an earlier era since this host has started.
    pub fn has_changed_era(&self) -> bool {
        self.has_changed_era
    }

    /// Whether what this host knows of a section is of an earlier era than the present one.
    pub fn is_of_earlier_era(&self, section: Section) -> bool {
        let revision = self.revision(section);
        revision.is_some_and(|revision| revision.era() < self.era)
    }

    /// The era of a reading. A host of an older build names none; its readings count as of the
    /// present era until there was another.
    fn reading_era(&self, reading: &Reading) -> Era {
        if reading.era.is_unnamed() && !self.has_changed_era {
            self.era
        } else {
            reading.era
        }
    }

    /// Handles a reading announced by another host of the region. Of two readers, the one whose
    /// name sorts first is relied on and the other stops announcing.
    pub fn receive(&mut self, now: Duration, reading: &Reading) -> Update {
        if reading.from == self.own_host {
            return Update::Ignored;
        }
        let era = self.reading_era(reading);
        if self.observe_era(era).is_lt() {
            return Update::EarlierEra;
        }
        let is_outranked = self.is_announcing && reading.from > self.own_host;
        let prefers_other = self
            .source
            .as_ref()
            .is_some_and(|source| *source < reading.from)
            && self.has_fresh_source(now)
            && self.has_present_source();
        let is_fresh = Section::ALL
            .iter()
            .all(|section| reading.freshness(*section).age < MAX_READING_AGE);
        if is_outranked || prefers_other || !is_fresh {
            return Update::Ignored;
        }
        for (section, progress) in &mut self.sections {
            let version = reading.version(*section, era);
            progress.fresh_until =
                (now + MAX_READING_AGE).saturating_sub(reading.freshness(*section).age);
            if progress.known_version.as_ref() == Some(&version) {
                progress.behind_since = None;
            } else {
                progress.behind_since.get_or_insert(now);
            }
            progress.announced_version = Some(version);
        }
        let is_same = self.source.as_ref() == Some(&reading.from);
        self.source = Some(reading.from.clone());
        self.is_announcing = false;
        if is_same {
            Update::SameSource
        } else {
            Update::NewSource
        }
    }

    /// Whether another host's reading of every section is fresh.
    fn has_fresh_source(&self, now: Duration) -> bool {
        let is_fresh = |progress: &Progress| now < progress.fresh_until;
        self.source.is_some() && self.sections.values().all(is_fresh)
    }

    /// Whether what the source has announced is of the present era.
    fn has_present_source(&self) -> bool {
        let mut sections = self.sections.values();
        sections.all(|progress| {
            let version = progress.announced_version.as_ref();
            version.is_some_and(|version| version.era == self.era)
        })
    }

    /// Accepts a listing unless it is older than what this host knows. Returns whether it was
    /// accepted.
    pub fn accept_listing(&mut self, reading: &Reading, listing: &Listing) -> bool {
        let era = self.reading_era(reading);
        let version = reading.version(Section::Upstreams, era);
        if era != self.era {
            return false;
        }
        let revision = Revision::new(era, listing.revision.clone());
        let progress = self.progress(Section::Upstreams);
        let is_older = progress
            .revision
            .as_ref()
            .is_some_and(|known| revision.is_before(known));
        if is_older || progress.announced_version.as_ref() != Some(&version) {
            return false;
        }
        progress.revision = Some(revision);
        progress.known_version = Some(version);
        progress.behind_since = None;
        true
    }

    /// How long this host may rely on the source before it must read a section itself; `None` if it
    /// must read now.
    pub fn time_until_read(&self, now: Duration, section: Section) -> Option<Duration> {
        let progress = self.sections.get(&section)?;
        if !progress.has_read || self.is_announcing || !self.has_fresh_source(now) {
            return None;
        }
        let fresh = progress.fresh_until;
        let until = match (progress.behind_since, section) {
            (None, _) => fresh,
            (Some(_), Section::Operator) => return None,
            (Some(since), Section::Upstreams) => fresh.min(since + LISTING_GRACE),
        };
        until
            .checked_sub(now)
            .filter(|remaining| !remaining.is_zero())
    }

    /// Notes which announced states a call that starts now is going to cover.
    pub fn begin_read(&self, section: Section) -> Token {
        let progress = self.sections.get(&section);
        Token(progress.and_then(|progress| progress.announced_version.clone()))
    }

    /// Records that a call of this host has read a section up to `revision`, whether or not there
    /// were relevant changes. A revision of an earlier era changes nothing.
    pub fn finish_read(
        &mut self,
        now: Duration,
        section: Section,
        token: Token,
        revision: Revision,
    ) {
        if self.observe_era(revision.era()).is_lt() {
            return;
        }
        let progress = self.progress(section);
        progress.has_read = true;
        progress.read_at = Some(now);
        let known = progress.revision.as_ref();
        if !known.is_some_and(|known| revision.is_before(known)) {
            progress.revision = Some(revision);
        }
        if let Some(version) = token.0 {
            let is_current = progress.announced_version.as_ref() == Some(&version);
            progress.known_version = Some(version);
            if is_current {
                progress.behind_since = None;
            }
        }
    }

    /// Sets the number of relevant changes seen in a section.
    pub fn set_generation(&mut self, section: Section, generation: u64) {
        self.progress(section).generation = generation;
    }

    /// Revision up to which a section is known; `None` before the first reading.
    pub fn revision(&self, section: Section) -> Option<&Revision> {
        self.sections.get(&section)?.revision.as_ref()
    }

    /// Marks a section as wrong, so that this host reads it again soon.
    pub fn invalidate(&mut self, now: Duration, section: Section) {
        let progress = self.progress(section);
        progress.known_version = None;
        progress.behind_since.get_or_insert(now);
    }

    /// Returns the announcement to send now, if any. `earlier_hosts` is the number of hosts of the
    /// region that come earlier.
    pub fn announce(&mut self, now: Duration, earlier_hosts: usize) -> Option<Announcement> {
        if self.has_fresh_source(now) && !self.is_announcing {
            self.no_source_since = now;
            return None;
        }
        let wait = STAGGER_PER_HOST * earlier_hosts.min(MAX_STAGGERED_HOSTS) as u32;
        if !self.is_announcing && now < self.no_source_since + wait {
            return None;
        }
        let operator = self.freshness(now, Section::Operator);
        let upstreams = self.freshness(now, Section::Upstreams);
        let (Some(operator), Some(upstreams)) = (operator, upstreams) else {
            self.is_announcing = false;
            return None;
        };
        let state = Some((self.era, upstreams.generation));
        let has_changed = self.announced_state != state;
        let is_due = self
            .announced_at
            .is_none_or(|at| now >= at + ANNOUNCE_INTERVAL);
        if !has_changed && !is_due {
            return None;
        }
        self.is_announcing = true;
        self.source = None;
        self.announced_at = Some(now);
        self.announced_state = state;
        let revision = self.revision(Section::Upstreams);
        Some(Announcement {
            era: self.era,
            operator,
            upstreams,
            listing: revision
                .filter(|_| has_changed)
                .map(|revision| revision.number().clone()),
        })
    }

    /// Whether this host is the reader that announces for its region.
    pub fn is_announcing(&self) -> bool {
        self.is_announcing
    }

    /// What this host has read of a section itself, if that is fresh.
    fn freshness(&self, now: Duration, section: Section) -> Option<Freshness> {
        let progress = self.sections.get(&section)?;
        let age = now.saturating_sub(progress.read_at?);
        (age < MAX_READING_AGE).then_some(Freshness {
            generation: progress.generation,
            age,
        })
    }
}

/// The state that was announced when a call to the store began. The result of the call covers at
/// least that state.
#[derive(Debug)]
pub struct Token(Option<Version>);
