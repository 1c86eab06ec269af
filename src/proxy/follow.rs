//! Keeps a host's view of the platform fresh: a list, then a watch from its revision on, and a list
//! again when the watch has lost its place.
//!
//! The platform prices each call and upstreams describe themselves all the time, so one host of a
//! region reads for the others ([`super::reader`]), and takes changes of upstreams in batches. A
//! watch waits for less than a configuration may take to come into force, since a connection that
//! has gone silent shows only when the wait is over.

use {
    super::{
        dialect::Dialect, entry::Entry, host::Host, reader::Token, server::wait_for_phase,
        table::Table,
    },
    crate::{Result, clock::Clock, entry::Phase, name},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeSet, future::Future, time::Duration},
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Longest wait of one watch: what was read must not grow old for the hosts that rely on it.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// How much longer than its wait a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause between two batches of changes of upstreams; a leaving one must be known well within
/// three seconds.
const BATCH_INTERVAL: Duration = Duration::from_millis(900);
/// How long the host that reads may take to learn of a configuration that another host has.
const READER_LAG: Duration = Duration::from_millis(500);
/// First pause after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Longest pause after failed calls in a row.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// A part of what the platform publishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Section {
    /// The configuration, and the evacuations.
    Operator,
    /// The upstreams.
    Upstreams,
}

impl Section {
    /// All of them.
    pub const ALL: [Self; 2] = [Self::Operator, Self::Upstreams];
}

/// Something published.
#[derive(Debug)]
pub enum Item {
    /// A configuration.
    Table(Table),
    /// A failure domain is evacuated.
    Evacuated(name::Domain),
    /// A failure domain is given back.
    Restored(name::Domain),
    /// An upstream describes itself.
    Upstream(Entry),
    /// An upstream is not listed any more.
    Removed(name::Upstream),
    /// It can't be read and stands for nothing.
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong.
        reason: String,
    },
}

/// What a call brought.
#[derive(Debug)]
pub struct Batch {
    /// The revision from which to go on.
    pub revision: u64,
    /// What was read, the latest last.
    pub items: Vec<Item>,
}

/// What a watch brought.
#[derive(Debug)]
pub enum Watched {
    /// Changes, or none within the wait.
    Changes(Batch),
    /// The changes since the revision are not known any more.
    Lost,
}

/// What the platform publishes, as it can be read.
pub trait Store: Clone + Send + Sync + 'static {
    /// All of a section.
    fn list(&self, section: Section) -> impl Future<Output = Result<Batch>> + Send;

    /// What changes in a section after a revision, as soon as there is something.
    fn watch(
        &self,
        section: Section,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched>> + Send;
}

/// Follows one section until the host has closed.
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
        rng: StdRng::from_rng(&mut rand::rng()),
    };
    loop {
        tokio::select! {
            () = follower.step() => {}
            () = wait_for_phase(&mut phase, |phase| phase == Phase::Closed) => return,
        }
    }
}

struct Follower<D, C, S> {
    host: Host<D, C>,
    store: S,
    section: Section,
    after_revision: Option<u64>,
    change_count: u64,
    consecutive_failures: u32,
    rng: StdRng,
}

impl<D: Dialect, C: Clock, S: Store> Follower<D, C, S> {
    async fn step(&mut self) {
        if let Some(rest) = self.time_until_read() {
            self.after_revision = None;
            return self.wait_for_reader(rest).await;
        }
        let asked = self.host.core().duty.begin_read(self.section);
        let read = match self.after_revision {
            None => timeout(CALL_TIMEOUT, self.store.list(self.section))
                .await
                .map(|listed| listed.map(Watched::Changes)),
            Some(after) => {
                let watching = self.store.watch(self.section, after, WATCH_WAIT);
                let operator = self.section == Section::Operator;
                tokio::select! {
                    watched = timeout(WATCH_WAIT + CALL_TIMEOUT, watching) => watched,
                    () = self.host.wait_for_newer_configuration(), if operator => {
                        self.host.count_store_call(true);
                        self.after_revision = None;
                        return;
                    }
                }
            }
        };
        self.host.count_store_call(!matches!(read, Ok(Ok(_))));
        match read {
            Ok(Ok(Watched::Changes(batch))) => self.apply_batch(batch, asked).await,
            Ok(Ok(Watched::Lost)) => {
                self.record_success();
                tracing::info!(event = "store", section = ?self.section, state = "history lost");
                self.after_revision = None;
            }
            Ok(Err(error)) => self.back_off(&error.to_string()).await,
            Err(_) => self.back_off("no answer in time").await,
        }
    }

    fn time_until_read(&self) -> Option<Duration> {
        let now = self.host.clock.now();
        self.host.core().duty.time_until_read(now, self.section)
    }

    /// Another host reads: waits until it has more to say, or is late.
    async fn wait_for_reader(&mut self, rest: Duration) {
        let operator = self.section == Section::Operator;
        tokio::select! {
            () = sleep(rest) => {}
            () = self.host.wait_for_announcement(self.section) => {}
            () = self.host.wait_for_newer_configuration(), if operator => {
                sleep(READER_LAG).await;
                let now = self.host.clock.now();
                let mut core = self.host.core();
                if core.fleet.newest_version() > core.version() {
                    core.duty.invalidate(now, self.section);
                }
            }
        }
    }

    async fn apply_batch(&mut self, batch: Batch, asked: Token) {
        self.record_success();
        let now = self.host.clock.now();
        let whole = self.after_revision.is_none();
        let known = self.host.core().duty.revision(self.section);
        if batch.revision < known {
            tracing::info!(event = "store", section = ?self.section, state = "old answer",
                revision = batch.revision, known);
            return sleep(MIN_BACKOFF).await;
        }
        let changed = !batch.items.is_empty();
        let newest = self.after_revision.unwrap_or(0).max(batch.revision);
        self.after_revision = Some(newest);
        self.apply_items(batch.items, whole);
        if changed && self.section == Section::Operator {
            self.change_count += 1;
        }
        {
            let mut core = self.host.core();
            core.duty.finish_read(now, self.section, asked, newest);
            if self.section == Section::Operator {
                core.duty.set_generation(self.section, self.change_count);
            }
        }
        self.host.announce();
        if changed && self.section == Section::Upstreams {
            sleep(BATCH_INTERVAL).await;
        }
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
        let spread = self.rng.random_range(0.7..1.3);
        sleep(pause.min(MAX_BACKOFF).mul_f64(spread)).await;
    }

    fn apply_items(&mut self, items: Vec<Item>, whole: bool) {
        let now = self.host.clock.now();
        let mut entries = Vec::new();
        let mut removed = Vec::new();
        let before = self.host.core().catalog.evacuated().clone();
        let mut evacuated = if whole {
            BTreeSet::new()
        } else {
            before.clone()
        };
        for item in items {
            match item {
                Item::Table(table) => self.host.configure(table),
                Item::Evacuated(domain) => {
                    evacuated.insert(domain);
                }
                Item::Restored(domain) => {
                    evacuated.remove(&domain);
                }
                Item::Upstream(entry) => {
                    removed.retain(|id| *id != entry.id);
                    entries.push(entry);
                }
                Item::Removed(id) => {
                    entries.retain(|entry: &Entry| entry.id != id);
                    removed.push(id);
                }
                Item::Unreadable { key, reason } => {
                    tracing::warn!(event = "store", key, reason, "an entry can't be read");
                }
            }
        }
        let changes = {
            let mut core = self.host.core();
            if self.section == Section::Operator {
                if evacuated != before {
                    tracing::info!(event = "evacuation", domains = ?evacuated);
                    core.catalog.set_evacuated(now, evacuated);
                }
                Vec::new()
            } else if whole {
                core.catalog.replace_all(now, entries)
            } else {
                let put = entries.into_iter();
                let mut changes: Vec<_> = put
                    .filter_map(|entry| core.catalog.upsert(now, entry))
                    .collect();
                let gone = removed.iter();
                changes.extend(gone.filter_map(|id| core.catalog.remove(now, id)));
                changes
            }
        };
        self.host.log_changes(changes);
        self.host.place_waiting();
    }
}
