//! Finds out which build began a stream that a caller resumes, by asking other hosts, and answers
//! their questions.

use {
    super::Host,
    crate::{
        clock::Clock,
        link, name, panic,
        proxy::{
            core::Sole,
            dialect::Dialect,
            origin::{Key, Message, Record},
        },
        wire,
    },
    derive_more::Display,
    prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder},
    std::{
        collections::BTreeMap,
        fmt::{self, Write},
        sync::{MutexGuard, PoisonError, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// How long to wait for the hosts that may know which build began a stream: more than a round trip
/// between regions.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(350);

/// How long to wait for reports of all regions: more than their interval, in a small fleet.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);
/// How often to look for them.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(20);

/// How the build of a stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub(super) enum Source {
    /// This host has a record of the stream.
    #[display("record")]
    Record,
    /// Another host has one.
    #[display("host")]
    Host,
    /// Only one build has served.
    #[display("list")]
    List,
    /// It was not found.
    #[display("none")]
    None,
}

impl EncodeLabelValue for Source {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        write!(encoder, "{self}")
    }
}

/// Label of a stream that a caller resumes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Labels {
    source: Source,
}

impl<D: Dialect, C: Clock> Host<D, C> {
    /// Records which build began a stream; other hosts are told of it soon if it began here.
    pub(in crate::proxy) fn record_origin(&self, record: Record, began_here: bool) {
        let now = self.clock.now();
        let mut core = self.core();
        if began_here {
            core.origins.begin(now, record);
        } else {
            core.origins.insert(now, record);
        }
    }

    /// Tells other hosts of the streams that began here since the last time.
    pub(super) fn tell_origins(&self) {
        let now = self.clock.now();
        let messages = self.core().untold_streams(now);
        for (host, message) in messages {
            self.link.send(&host, wire::Message::Origin(message));
        }
    }

    /// Finds out which build began a stream: from this host's records, from those of others, or
    /// because only one build has served.
    pub(in crate::proxy) async fn find_origin(
        &self,
        request: &str,
        resumes: Option<&str>,
        pool: &name::Pool,
    ) -> Option<name::Build> {
        let asked_at = self.clock.now();
        let key = resumes.map(Key::new);
        let own = key.and_then(|key| self.core().origins.build(asked_at, key).cloned());
        let told = match key {
            Some(key) if own.is_none() => self.ask_for_origin(asked_at, key).await,
            _ => None,
        };
        let is_own = own.is_some();
        let (source, build) = match own.or(told) {
            Some(build) if is_own => (Source::Record, Some(build)),
            Some(build) => (Source::Host, Some(build)),
            None => match self.confirm_only_build(asked_at, pool).await {
                Some(build) => (Source::List, Some(build)),
                None => (Source::None, None),
            },
        };
        let now = self.clock.now();
        self.resumed.get_or_create(&Labels { source }).inc();
        tracing::info!(event = "origin", request, resumes, %pool, %source,
            build = build.as_ref().map(name::Build::as_str),
            waited_ms = now.saturating_sub(asked_at).as_millis() as u64);
        build
    }

    /// The build that alone has served, once hosts of all regions have reported since `asked_at`.
    async fn confirm_only_build(
        &self,
        asked_at: Duration,
        pool: &name::Pool,
    ) -> Option<name::Build> {
        loop {
            let now = self.clock.now();
            let sole = self.core().only_build(now, asked_at, pool);
            match sole {
                Sole::Known(build) => return Some(build),
                Sole::Unknown => return None,
                Sole::Unconfirmed if now >= asked_at + CONFIRM_TIMEOUT => return None,
                Sole::Unconfirmed => sleep(CONFIRM_INTERVAL).await,
            }
        }
    }

    /// Asks the hosts that hold the record of a stream, until one has it, all have answered or
    /// [`ORIGIN_TIMEOUT`] has passed.
    async fn ask_for_origin(&self, now: Duration, key: Key) -> Option<name::Build> {
        let hosts = self.core().hosts_to_ask(now, key);
        let ticket = self.last_question.fetch_add(1, Ordering::Relaxed);
        let (sender, mut answers) = mpsc::unbounded_channel();
        self.questions().insert(ticket, sender);
        let _question = Question { host: self, ticket };
        for host in &hosts {
            let ask = Message::Ask { ticket, key };
            self.link.send(host, wire::Message::Origin(ask));
        }
        let answered = async {
            for _ in &hosts {
                if let Some(build) = answers.recv().await? {
                    return Some(build);
                }
            }
            None
        };
        timeout(ORIGIN_TIMEOUT, answered).await.ok().flatten()
    }

    fn questions(
        &self,
    ) -> MutexGuard<'_, BTreeMap<u64, mpsc::UnboundedSender<Option<name::Build>>>> {
        self.questions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles what other hosts tell and ask of streams until the channel closes.
    pub async fn receive_origins(self, mut mailbox: mpsc::Receiver<link::Received<Message>>) {
        while let Some(received) = mailbox.recv().await {
            panic::contain(|| self.receive_origin(received));
        }
    }

    fn receive_origin(&self, link::Received { from, message }: link::Received<Message>) {
        let now = self.clock.now();
        match message {
            Message::Began(records) => {
                let mut core = self.core();
                for record in records {
                    core.origins.insert(now, record);
                }
            }
            Message::Ask { ticket, key } => {
                let build = self.core().origins.build(now, key).cloned();
                let told = Message::Told { ticket, build };
                self.link.send(&from, wire::Message::Origin(told));
            }
            Message::Told { ticket, build } => {
                // The question may have been answered by another host.
                if let Some(question) = self.questions().get(&ticket) {
                    question.send(build).ok();
                }
            }
        }
    }
}

/// A question to other hosts. Dropping it forgets the question.
struct Question<'a, D: Dialect, C: Clock> {
    host: &'a Host<D, C>,
    ticket: u64,
}

impl<D: Dialect, C: Clock> Drop for Question<'_, D, C> {
    fn drop(&mut self) {
        self.host.questions().remove(&self.ticket);
    }
}
