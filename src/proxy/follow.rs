//! Keeps a host's view of the platform's store up to date: lists a section, then watches it from
//! the listed revision on, and lists it again when the store no longer holds the changes since that
//! revision, or is in another era.
//!
//! The first list of an era is the present state, but it may be older than what was in force before:
//! [`super::core::Core::configure`] and [`super::catalog::Catalog`] keep what binds nevertheless.
//!
//! The platform bills each call and upstreams publish their state all the time. So one host of a
//! region reads for the others (see [`super::reader`]) and takes changes of upstreams in batches.
//! A watch waits for less time than a new configuration may take to come into force, because a dead
//! connection shows only when the wait is over.

use {
    super::{
        catalog::News,
        core::Provenance,
        dialect::Dialect,
        entry::Entry,
        host::Host,
        reader::Token,
        revision::{Era, Revision},
        server::wait_for_phase,
        table::Table,
    },
    crate::{Error, Result, clock::Clock, entry::Phase, name, natural::Natural, pace::Turns},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeSet, future::Future, net::SocketAddr, time::Duration},
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// How long one watch waits for changes; short, so that the reading of this host does not become
/// too old for the hosts that rely on it.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Time limit of a list call, and of a watch beyond its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Least time between the starts of two calls, for stores that answer at once.
const CALL_INTERVAL: Duration = Duration::from_millis(200);
/// Pause between two batches of changes of upstreams; a leaving upstream must be known well within
/// three seconds.
const BATCH_INTERVAL: Duration = Duration::from_millis(900);
/// How long the reader may take to learn of a configuration that another host reports; after that,
/// this host reads the store itself.
const READER_LAG: Duration = Duration::from_millis(500);
/// Pause after the first failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Upper bound on the pause after consecutive failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// A part of the store that is listed and watched separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Section {
    /// The configuration and the evacuations, which operators change.
    Operator,
    /// The published state of upstreams.
    Upstreams,
}

impl Section {
    /// Every section.
    pub const ALL: [Self; 2] = [Self::Operator, Self::Upstreams];

    /// Name of the task that follows it.
    pub fn task(self) -> &'static str {
        match self {
            Self::Operator => "store of operators",
            Self::Upstreams => "store of upstreams",
        }
    }
}

/// A decoded entry of the store.
#[derive(Debug)]
pub enum Item {
    /// A new version of the configuration.
    Table(Table),
    /// A failure domain is being evacuated.
    Evacuated(name::Domain),
    /// The evacuation of a failure domain has ended.
    Restored(name::Domain),
    /// An upstream published its state.
    Upstream(Entry),
    /// An upstream is no longer listed.
    Removed(name::Upstream),
    /// An entry that could not be decoded.
    Unreadable {
        /// Key of the entry in the store.
        key: String,
        /// The upstream that it should describe, which is not used until an entry can be read.
        upstream: Option<name::Upstream>,
        /// Why it could not be decoded.
        reason: String,
    },
}

/// Entries returned by one call to the store.
#[derive(Debug)]
pub struct Batch {
    /// The revision after which the next watch starts.
    pub revision: Revision,
    /// The entries, oldest first.
    pub items: Vec<Item>,
}

/// The result of a watch.
#[derive(Debug)]
pub enum Watched {
    /// The changes; empty if there were none within the wait.
    Changes(Batch),
    /// The store, which is in this era, holds no changes since the revision, so the section must be
    /// listed again.
    Lost(Era),
}

/// The platform's store, implemented by a platform adapter.
pub trait Store: Clone + Send + Sync + 'static {
    /// Address of the store, for errors.
    fn address(&self) -> SocketAddr;

    /// Returns all entries of a section.
    fn list(&self, section: Section) -> impl Future<Output = Result<Batch>> + Send;

    /// Returns the changes of a section after a revision: as soon as there are any, or none after
    /// `wait`.
    fn watch(
        &self,
        section: Section,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched>> + Send;
}

/// Keeps one section up to date until the host has closed.
pub async fn follow<D: Dialect, C: Clock, S: Store>(
    host: Host<D, C>,
    store: S,
    section: Section,
    mut phase: watch::Receiver<Phase>,
) {
    let mut follower = Follower {
        host,
        store,
        section,
        after_revision: None,
        change_count: 0,
        consecutive_failures: 0,
        calls: Turns::every(CALL_INTERVAL),
        rng: StdRng::from_rng(&mut rand::rng()),
    };
    loop {
        tokio::select! {
            () = follower.step() => {}
            () = wait_for_phase(&mut phase, |phase| phase == Phase::Closed) => return,
        }
    }
}

/// The state of the loop that follows one section.
struct Follower<D, C, S> {
    host: Host<D, C>,
    store: S,
    section: Section,
    /// Revision after which to watch; `None` if the section must be listed.
    after_revision: Option<Revision>,
    /// Batches with changes so far.
    change_count: u64,
    consecutive_failures: u32,
    calls: Turns,
    rng: StdRng,
}

impl<D: Dialect, C: Clock, S: Store> Follower<D, C, S> {
    /// Makes one call to the store, or waits while another host reads.
    async fn step(&mut self) {
        if let Some(limit) = self.time_until_read() {
            self.after_revision = None;
            return self.wait_for_reader(limit).await;
        }
        let wait = self.calls.wait(self.host.clock.now());
        if !wait.is_zero() {
            sleep(wait).await;
        }
        self.calls.begin(self.host.clock.now());
        let (token, reported_version, era) = {
            let core = self.host.core();
            let token = core.reader_role.begin_read(self.section);
            (token, core.fleet.newest_version(), core.reader_role.era())
        };
        self.after_revision.take_if(|after| after.era() != era);
        let is_list = self.after_revision.is_none();
        let result = match self.after_revision.clone() {
            None => timeout(CALL_TIMEOUT, self.store.list(self.section))
                .await
                .map(|listed| listed.map(Watched::Changes)),
            Some(after) => {
                let watching = self.store.watch(self.section, after, WATCH_WAIT);
                let is_operator = self.section == Section::Operator;
                tokio::select! {
                    watched = timeout(WATCH_WAIT + CALL_TIMEOUT, watching) => watched,
                    () = self.host.wait_for_newer_configuration(), if is_operator => {
                        self.host.count_store_call(true);
                        self.after_revision = None;
                        return;
                    }
                }
            }
        };
        self.host.count_store_call(!matches!(result, Ok(Ok(_))));
        match result {
            Ok(Ok(Watched::Changes(batch))) => {
                let era = batch.revision.era();
                if self.observe_era(era).await && self.apply_batch(batch, token).await && is_list {
                    self.record_list(era, reported_version);
                }
            }
            Ok(Ok(Watched::Lost(era))) => {
                if self.observe_era(era).await {
                    self.record_success();
                    tracing::info!(event = "store", section = ?self.section, state = "history lost");
                    self.after_revision = None;
                }
            }
            Ok(Err(error)) => self.back_off(&error.to_string()).await,
            Err(_) => self.back_off("call timed out").await,
        }
    }

    fn time_until_read(&self) -> Option<Duration> {
        let now = self.host.clock.now();
        self.host
            .core()
            .reader_role
            .time_until_read(now, self.section)
    }

    /// Waits while another host reads: until that host announces a reading, `limit` has passed, or
    /// the reader has failed to bring a configuration that another host reports.
    async fn wait_for_reader(&mut self, limit: Duration) {
        let is_operator = self.section == Section::Operator;
        tokio::select! {
            () = sleep(limit) => {}
            () = self.host.wait_for_announcement(self.section) => {}
            () = self.host.wait_for_newer_configuration(), if is_operator => {
                sleep(READER_LAG).await;
                let now = self.host.clock.now();
                let mut core = self.host.core();
                if core.lacks_version(&core.fleet.newest_version()) {
                    core.reader_role.invalidate(now, self.section);
                }
            }
        }
    }

    /// Records the era that an answer names. Returns whether the answer can be used: one of an earlier
    /// era than the newest known is as good as none.
    async fn observe_era(&mut self, era: Era) -> bool {
        let known = self.host.observe_era(era, "the store");
        if era >= known {
            return true;
        }
        self.after_revision = None;
        let reason = if era.is_unnamed() {
            format!("the answer names no era, after {known}")
        } else {
            format!("the answer is of era {era}, before {known}")
        };
        let error = Error::Protocol {
            step: "reading the store",
            peer: self.store.address().to_string(),
            reason,
        };
        self.back_off(&error.to_string()).await;
        false
    }

    /// Records that the operator's section was listed in an era. The list has any version of the
    /// configuration that another host had read in that era before.
    fn record_list(&self, era: Era, reported_version: Natural) {
        if self.section == Section::Operator {
            self.host.core().record_list(era, reported_version);
        }
    }

    /// Applies the result of a list or watch of the present era, unless it is older than what this
    /// host knows. Returns whether it did.
    async fn apply_batch(&mut self, batch: Batch, token: Token) -> bool {
        self.record_success();
        let now = self.host.clock.now();
        let revision = batch.revision;
        if let Some(after) = &self.after_revision
            && after.era() != revision.era()
        {
            // The changes are those since a revision of another history.
            self.after_revision = None;
            return false;
        }
        let is_full = self.after_revision.is_none();
        let known = self.host.core().reader_role.revision(self.section).cloned();
        if let Some(known) = known.filter(|known| revision.is_before(known)) {
            tracing::info!(event = "store", section = ?self.section, state = "old answer",
                era = %revision.era(), revision = revision.number().short(), known = known.number().short());
            sleep(MIN_BACKOFF).await;
            return false;
        }
        let has_changes = !batch.items.is_empty();
        self.after_revision = Some(revision.clone());
        self.apply_items(batch.items, is_full, revision.era());
        if has_changes && self.section == Section::Operator {
            self.change_count += 1;
        }
        {
            let mut core = self.host.core();
            core.reader_role
                .finish_read(now, self.section, token, revision);
            if self.section == Section::Operator {
                core.reader_role
                    .set_generation(self.section, self.change_count);
            }
        }
        self.host.announce();
        if has_changes && self.section == Section::Upstreams {
            sleep(BATCH_INTERVAL).await;
        }
        true
    }

    fn record_success(&mut self) {
        if std::mem::take(&mut self.consecutive_failures) > 0 {
            tracing::info!(event = "store", section = ?self.section, state = "back");
        }
        if self.section == Section::Upstreams {
            let now = self.host.clock.now();
            self.host.core().catalog.set_reachable(now, true);
        }
    }

    /// Records a failed call and pauses; the pause doubles with each consecutive failure.
    async fn back_off(&mut self, reason: &str) {
        if self.consecutive_failures == 0 {
            tracing::warn!(event = "store", section = ?self.section, state = "lost", reason);
        }
        self.consecutive_failures += 1;
        if self.section == Section::Upstreams {
            let now = self.host.clock.now();
            self.host.core().catalog.set_reachable(now, false);
        }
        let pause = MIN_BACKOFF * 2_u32.saturating_pow(self.consecutive_failures.min(4) - 1);
        let jitter = self.rng.random_range(0.7..1.3);
        sleep(pause.min(MAX_BACKOFF).mul_f64(jitter)).await;
    }

    /// Applies entries of the present era to the core. `is_full` says that they are the whole
    /// section, not changes.
    fn apply_items(&mut self, items: Vec<Item>, is_full: bool, era: Era) {
        let now = self.host.clock.now();
        let mut news = Vec::new();
        let mut evacuated = BTreeSet::new();
        let before = self.host.core().catalog.evacuated().clone();
        let provenance = Provenance {
            era,
            is_change: !is_full,
        };
        for item in items {
            match item {
                Item::Table(table) => self.host.configure(table, provenance),
                Item::Evacuated(domain) if is_full => {
                    evacuated.insert(domain);
                }
                Item::Evacuated(domain) => self.host.core().catalog.evacuate(now, domain),
                Item::Restored(domain) => self.host.core().catalog.restore(now, &domain),
                Item::Upstream(entry) => news.push(News::Entry(entry)),
                Item::Removed(id) => news.push(News::Removed(id)),
                Item::Unreadable {
                    key,
                    upstream,
                    reason,
                } => {
                    tracing::warn!(event = "store", key, reason, "entry could not be decoded");
                    news.extend(upstream.map(News::Unreadable));
                }
            }
        }
        let changes = {
            let mut core = self.host.core();
            if self.section == Section::Operator {
                if is_full {
                    let is_first = core.reader_role.is_of_earlier_era(Section::Operator);
                    let held = core.catalog.list_evacuated(now, evacuated, is_first);
                    if !held.is_empty() {
                        tracing::warn!(event = "evacuation", %era, held = ?held,
                            "the restored store lacks evacuations, which stay in force");
                    }
                }
                let evacuated = core.catalog.evacuated();
                if *evacuated != before {
                    tracing::info!(event = "evacuation", domains = ?evacuated);
                }
                Vec::new()
            } else if is_full {
                core.catalog.replace_listed(now, news)
            } else {
                core.catalog.apply(now, news)
            }
        };
        self.host.log_changes(changes);
        self.host.place_waiting();
    }
}
