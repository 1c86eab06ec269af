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
        pages::{Pages, Progress},
        reader::Token,
        readiness::Cause,
        revision::{Era, Revision},
        server::wait_for_phase,
        table::Table,
        tries::{Due, Tries},
    },
    crate::{Error, Result, clock::Clock, entry::Phase, name, natural::Natural, pace::Turns},
    futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeSet, future::Future, net::SocketAddr, sync::Arc, time::Duration},
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
/// Longest time for which a late answer is waited for, beside further tries.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(15);
/// Least time between the starts of two calls, for stores that answer at once.
const CALL_INTERVAL: Duration = Duration::from_millis(200);
/// Pause between two batches of changes of upstreams; a leaving upstream must be known well within
/// three seconds.
const BATCH_INTERVAL: Duration = Duration::from_millis(900);
/// Pause after an answer that is older than what is known.
const OLD_ANSWER_PAUSE: Duration = Duration::from_millis(150);
/// How long the reader may take to learn of a configuration that another host reports; after that,
/// this host reads the store itself.
const READER_LAG: Duration = Duration::from_millis(500);

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
        /// What it should describe.
        subject: Subject,
        /// Why it could not be decoded.
        reason: String,
    },
}

/// What an entry that could not be decoded should describe.
#[derive(Debug)]
pub enum Subject {
    /// The configuration.
    Table,
    /// An upstream, which is not used until an entry of it can be read.
    Upstream(name::Upstream),
    /// Something else.
    Other,
}

/// Entries returned by one call to the store.
#[derive(Debug)]
pub struct Batch {
    /// The revision after which the next watch starts.
    pub revision: Revision,
    /// The entries, oldest first.
    pub items: Vec<Item>,
}

/// A page of a list.
#[derive(Debug)]
pub struct Page {
    /// Its entries, and the revision at which it was read.
    pub batch: Batch,
    /// The last key of the page if further pages follow.
    pub next: Option<Arc<str>>,
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

    /// Returns a page of the entries of a section: the first one, or that after a key.
    fn list(
        &self,
        section: Section,
        after: Option<&str>,
    ) -> impl Future<Output = Result<Page>> + Send;

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
        list: None,
        question: None,
        tries: Tries::default(),
        running: FuturesUnordered::new(),
        change_count: 0,
        is_lost: false,
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

/// What the store is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Question {
    /// For the first page of the section's list, or the one after a key.
    Page(Option<Arc<str>>),
    /// For the changes after a revision.
    Watch(Revision),
}

impl Question {
    /// Time within which an answer should come.
    fn limit(&self) -> Duration {
        match self {
            Self::Page(_) => CALL_TIMEOUT,
            Self::Watch(_) => WATCH_WAIT + CALL_TIMEOUT,
        }
    }
}

/// What was known when a question was asked.
#[derive(Debug)]
struct Asked {
    at: Duration,
    token: Token,
    /// The newest version of the configuration that another host had reported.
    reported_version: Natural,
}

/// A list under way.
#[derive(Debug)]
struct List {
    pages: Pages,
    /// When its first page was asked for.
    asked: Asked,
}

/// The result of one try.
#[derive(Debug)]
struct Answer {
    number: u64,
    asked: Asked,
    reply: Result<Reply>,
}

#[derive(Debug)]
enum Reply {
    Page(Page),
    Watched(Watched),
}

/// The state of the loop that follows one section.
struct Follower<D, C, S> {
    host: Host<D, C>,
    store: S,
    section: Section,
    /// Revision after which to watch; `None` if the section must be listed.
    after_revision: Option<Revision>,
    /// The pages that have come of a list.
    list: Option<List>,
    /// What is asked at present.
    question: Option<Question>,
    tries: Tries,
    /// The tries of that question that have no answer.
    running: FuturesUnordered<BoxFuture<'static, Answer>>,
    /// Batches with changes so far.
    change_count: u64,
    /// Whether the last try has failed.
    is_lost: bool,
    calls: Turns,
    rng: StdRng,
}

impl<D: Dialect, C: Clock, S: Store> Follower<D, C, S> {
    /// Starts a try of the question that is due, waits for an answer, or waits while another host reads.
    async fn step(&mut self) {
        if let Some(limit) = self.time_until_read() {
            self.list_again();
            return self.wait_for_reader(limit).await;
        }
        let question = self.question();
        if self.question.as_ref() != Some(&question) {
            self.running.clear();
            self.tries.reset();
            self.question = Some(question.clone());
        }
        let wait = match self.tries.due(self.host.clock.now()) {
            Due::Try => return self.ask(question).await,
            Due::Late => return self.fail("call timed out"),
            Due::Nothing(wait) => wait,
        };
        let is_interrupted =
            self.section == Section::Operator && matches!(question, Question::Watch(_));
        tokio::select! {
            biased;
            Some(answer) = self.running.next() => self.receive(&question, answer).await,
            () = sleep(wait) => {}
            () = self.host.wait_for_newer_configuration(), if is_interrupted => {
                self.host.count_store_call(true);
                self.list_again();
            }
        }
    }

    /// The question that brings this host further.
    fn question(&mut self) -> Question {
        let era = self.host.core().reader_role.era();
        self.after_revision.take_if(|after| after.era() != era);
        self.list.take_if(|list| list.pages.revision().era() != era);
        match (&self.after_revision, &self.list) {
            (Some(after), _) => Question::Watch(after.clone()),
            (None, Some(list)) => Question::Page(list.pages.after().cloned()),
            (None, None) => Question::Page(None),
        }
    }

    /// Forgets what was asked and what pages have come.
    fn list_again(&mut self) {
        self.after_revision = None;
        self.list = None;
        self.question = None;
        self.running.clear();
    }

    /// Starts a try.
    async fn ask(&mut self, question: Question) {
        let wait = match &self.list {
            Some(list) => list.pages.pause(),
            None => self.calls.wait(self.host.clock.now()),
        };
        if !wait.is_zero() {
            sleep(wait).await;
        }
        let now = self.host.clock.now();
        self.calls.begin(now);
        let asked = {
            let core = self.host.core();
            Asked {
                at: now,
                token: core.reader_role.begin_read(self.section),
                reported_version: core.fleet.newest_version(),
            }
        };
        let number = self.tries.start(now, question.limit());
        let (store, section) = (self.store.clone(), self.section);
        self.running.push(Box::pin(async move {
            let asking = async {
                match question {
                    Question::Page(after) => {
                        let page = store.list(section, after.as_deref()).await;
                        page.map(Reply::Page)
                    }
                    Question::Watch(after) => {
                        let watched = store.watch(section, after, WATCH_WAIT).await;
                        watched.map(Reply::Watched)
                    }
                }
            };
            let reply = timeout(MAX_ANSWER_TIME, asking).await;
            let reply = reply.unwrap_or_else(|_| {
                Err(Error::Protocol {
                    step: "reading the store",
                    peer: store.address().to_string(),
                    reason: "no answer".to_owned(),
                })
            });
            Answer {
                number,
                asked,
                reply,
            }
        }));
    }

    /// Handles the answer of a try.
    async fn receive(&mut self, question: &Question, answer: Answer) {
        let Answer {
            number,
            asked,
            reply,
        } = answer;
        let is_open = self.tries.is_open(number);
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) if is_open => return self.fail(&error.to_string()),
            // It was late, and counted as failed then.
            Err(_) => return,
        };
        let era = match &reply {
            Reply::Page(page) => page.batch.revision.era(),
            Reply::Watched(Watched::Changes(batch)) => batch.revision.era(),
            Reply::Watched(Watched::Lost(era)) => *era,
        };
        if !self.observe_era(era) {
            return;
        }
        if is_open {
            self.host.count_store_call(false);
        }
        let time = self.host.clock.now().saturating_sub(asked.at);
        self.tries.succeed(time, question.limit());
        self.running.clear();
        self.question = None;
        match reply {
            Reply::Page(page) => self.receive_page(page, asked).await,
            Reply::Watched(Watched::Changes(batch)) => {
                self.apply_batch(batch, None, asked).await;
            }
            Reply::Watched(Watched::Lost(_)) => {
                self.record_success();
                tracing::info!(event = "store", section = ?self.section, state = "history lost");
                self.after_revision = None;
            }
        }
    }

    /// Handles a page of a list.
    async fn receive_page(&mut self, page: Page, asked: Asked) {
        let era = page.batch.revision.era();
        let begin = |asked| List {
            pages: Pages::new(page.batch.revision.clone()),
            asked,
        };
        let mut list = self.list.take().unwrap_or_else(|| begin(asked));
        if list.pages.revision().era() != era {
            // Pages of two histories don't make one list.
            return;
        }
        let progress = list.pages.push(page);
        match progress {
            Progress::More => {
                self.list = Some(list);
                return;
            }
            Progress::Whole => {}
            Progress::Stalled => {
                let after = list.pages.after();
                tracing::warn!(event = "store", section = ?self.section, state = "list cut short", after = after.map(|key| &**key),
                    "a page of the list does not advance");
            }
            Progress::TooLong => return self.fail("the list has too many entries"),
        }
        let is_whole = progress == Progress::Whole;
        let reported_version = list.asked.reported_version.clone();
        let batch = Batch {
            revision: list.pages.revision().clone(),
            items: list.pages.into_items(),
        };
        if self.apply_batch(batch, Some(is_whole), list.asked).await {
            self.record_list(era, reported_version);
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
    fn observe_era(&mut self, era: Era) -> bool {
        let known = self.host.observe_era(era, "the store");
        if era >= known {
            return true;
        }
        self.list_again();
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
        self.fail(&error.to_string());
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
    /// host knows. For a list, `is_whole` says whether no entry is missing. Returns whether it did.
    async fn apply_batch(&mut self, batch: Batch, is_whole: Option<bool>, asked: Asked) -> bool {
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
        let known = self.host.core().reader_role.revision(self.section).cloned();
        let is_old = known
            .as_ref()
            .is_some_and(|known| revision.is_before(known));
        if let Some(known) = known.as_ref().filter(|_| is_old) {
            tracing::info!(event = "store", section = ?self.section, state = "old answer", era = %revision.era(),
                revision = revision.number().short(), known = known.number().short());
            sleep(OLD_ANSWER_PAUSE).await;
            return false;
        }
        // What is missing from a list that was cut short is not gone. Where nothing is known, it is all
        // there is.
        let is_full = is_whole.is_some_and(|is_whole| is_whole || known.is_none());
        let has_changes = !batch.items.is_empty();
        self.after_revision = Some(revision.clone());
        let provenance = Provenance {
            era: revision.era(),
            is_change: is_whole.is_none(),
        };
        self.apply_items(batch.items, is_full, provenance);
        if has_changes && self.section == Section::Operator {
            self.change_count += 1;
        }
        {
            // An answer that was late, or a list of many pages, may be as old as its question.
            let read_at = now.min(asked.at + WATCH_WAIT + CALL_TIMEOUT);
            let mut core = self.host.core();
            core.reader_role
                .finish_read(read_at, self.section, asked.token, revision);
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
        if std::mem::take(&mut self.is_lost) {
            tracing::info!(event = "store", section = ?self.section, state = "back");
            let cause = Cause::Store(self.section);
            self.host.core().readiness.succeed(cause);
        }
        if self.section == Section::Upstreams {
            let now = self.host.clock.now();
            self.host.core().catalog.set_reachable(now, true);
        }
    }

    /// Records that a try has failed.
    fn fail(&mut self, reason: &str) {
        self.host.count_store_call(true);
        if !std::mem::replace(&mut self.is_lost, true) {
            tracing::warn!(event = "store", section = ?self.section, state = "lost", reason);
        }
        let cause = Cause::Store(self.section);
        self.host.core().readiness.fail(cause, reason);
        let now = self.host.clock.now();
        if self.section == Section::Upstreams {
            self.host.core().catalog.set_reachable(now, false);
        }
        let jitter = self.rng.random_range(0.7..1.3);
        self.tries.fail(now, jitter);
    }

    /// Applies entries of the present era to the core. `is_full` says that they are the whole
    /// section, not changes.
    fn apply_items(&mut self, items: Vec<Item>, is_full: bool, provenance: Provenance) {
        let now = self.host.clock.now();
        let mut news = Vec::new();
        let mut evacuated = BTreeSet::new();
        let before = self.host.core().catalog.evacuated().clone();
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
                    subject,
                    reason,
                } => {
                    tracing::warn!(event = "store", key, reason, "entry could not be decoded");
                    match subject {
                        Subject::Table => {
                            let mut core = self.host.core();
                            core.readiness.fail(Cause::Configuration, &reason);
                        }
                        Subject::Upstream(id) => news.push(News::Unreadable(id)),
                        Subject::Other => {}
                    }
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
                        tracing::warn!(event = "evacuation", era = %provenance.era, held = ?held,
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
