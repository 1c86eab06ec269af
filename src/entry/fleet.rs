//! Runs membership and the spread of documents: sockets and timers around their two machines.

use {
    super::{
        Phase,
        pulse::Pulse,
        standing::{Gauges, Standings},
    },
    crate::{
        clock::Clock,
        config::{
            Document, Snapshot,
            spread::{self, Outcome, Watch},
        },
        kernel::Kernel,
        link::{self, Received},
        machine::Machine as _,
        member::{self, Listed, View},
        metric::Metrics,
        name,
        settings::Settings,
        source::{Documents, Kind, Listing, State},
        wire,
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, SystemTime},
    },
    tokio::{
        sync::{
            mpsc::{self, Receiver, Sender},
            watch,
        },
        time::{MissedTickBehavior, interval},
    },
};

/// Messages that may wait to be read.
const MAILBOX: usize = 1024;
/// Calls at once that count as a full load.
const FULL_LOAD: i64 = 1000;
/// Ticks between two looks at the load.
const LOAD_TICKS: u64 = 10;

/// What other services use.
#[derive(Debug, Clone)]
pub(super) struct Handle<C: Clock> {
    /// The configuration in force; `None` until it is confirmed.
    pub(super) snapshot: watch::Receiver<Option<Arc<Snapshot>>>,
    /// The fleet as this host sees it.
    pub(super) view: watch::Receiver<Arc<View>>,
    /// What operators see of the documents.
    pub(super) standings: watch::Receiver<Arc<Standings>>,
    /// Whether the process was stopped.
    pub(super) pulse: Pulse<C>,
    /// Where the link puts membership's messages.
    pub(super) members: Sender<Received<member::Message>>,
    /// Where the link puts messages about documents.
    pub(super) documents: Sender<Received<spread::Message>>,
}

/// What the service is given at its start.
#[derive(Debug)]
pub(super) struct Parts<C: Clock, D: Documents> {
    pub(super) clock: C,
    pub(super) platform: D,
    pub(super) link: link::Handle,
    pub(super) listing: watch::Receiver<Arc<Listing>>,
    pub(super) phase: watch::Receiver<Phase>,
    pub(super) metrics: Metrics,
    pub(super) stop: watch::Receiver<()>,
}

/// A read of the service that has ended.
#[derive(Debug)]
struct Read {
    document: Document,
    round: u64,
    outcome: Outcome,
}

/// The service.
#[derive(Debug)]
struct Fleet<C: Clock, D: Documents> {
    parts: Parts<C, D>,
    host: name::Host,
    members: member::Machine,
    documents: spread::Machine,
    gauges: Gauges,
    pulse: Pulse<C>,
    ticks: u64,
    reads: Sender<Read>,
    snapshot: watch::Sender<Option<Arc<Snapshot>>>,
    view: watch::Sender<Arc<View>>,
    standings: watch::Sender<Arc<Standings>>,
}

/// What wakes the service.
#[derive(Debug)]
struct Inbox {
    members: Receiver<Received<member::Message>>,
    documents: Receiver<Received<spread::Message>>,
    reads: Receiver<Read>,
}

/// Starts the service.
pub(super) fn start<C: Clock, D: Documents>(
    kernel: &mut Kernel,
    parts: Parts<C, D>,
    settings: &Settings,
    callers: SocketAddr,
    peers: SocketAddr,
) -> Handle<C> {
    let (members, members_in) = mpsc::channel(MAILBOX);
    let (documents, documents_in) = mpsc::channel(MAILBOX);
    let (reads, reads_in) = mpsc::channel(MAILBOX);
    let (snapshot, snapshots) = watch::channel(None);
    let (view, views) = watch::channel(Arc::default());
    let (standings, standing) = watch::channel(Arc::default());
    let pulse = Pulse::new(parts.clock.clone());
    let wall = parts.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    let incarnation = wall.map_or(1, |since| since.as_millis() as u64);
    let seed = crate::rendezvous::weight(settings.name.as_str(), &incarnation.to_string());
    let member = member::Machine::new(member::Settings {
        host: settings.name.clone(),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        address: settings.advertise.unwrap_or(callers),
        peer_address: settings.peer_advertise.unwrap_or(peers),
        incarnation,
        seed,
        mutant: None,
    });
    let spread = spread::Machine::new(spread::Settings {
        host: settings.name.clone(),
        seed,
        mutant: None,
    });
    let fleet = Fleet {
        gauges: Gauges::new(&parts.metrics),
        parts,
        host: settings.name.clone(),
        members: member,
        documents: spread,
        pulse: pulse.clone(),
        ticks: 0,
        reads,
        snapshot,
        view,
        standings,
    };
    let inbox = Inbox {
        members: members_in,
        documents: documents_in,
        reads: reads_in,
    };
    kernel.spawn("fleet", fleet.run(inbox));
    Handle {
        snapshot: snapshots,
        view: views,
        standings: standing,
        pulse,
        members,
        documents,
    }
}

impl<C: Clock, D: Documents> Fleet<C, D> {
    async fn run(mut self, mut inbox: Inbox) {
        let mut ticks = interval(member::TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut listing = self.parts.listing.clone();
        let mut phase = self.parts.phase.clone();
        let mut stop = self.parts.stop.clone();
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                Some(Received { from, message }) = inbox.members.recv() => {
                    self.member(member::Event::Received { from, message });
                }
                Some(Received { from, message }) = inbox.documents.recv() => {
                    self.document(spread::Event::Received { from, message });
                }
                Some(Read { document, round, outcome }) = inbox.reads.recv() => {
                    self.document(spread::Event::ReadEnded { document, round, outcome });
                }
                Ok(()) = listing.changed() => {
                    let rows = listed(&listing.borrow_and_update());
                    self.member(member::Event::Listed(rows));
                    self.look();
                }
                Ok(()) = phase.changed() => {
                    if *phase.borrow_and_update() == Phase::Leaving {
                        self.member(member::Event::Leave);
                    }
                }
                _ = stop.changed() => return,
            }
            self.pulse.beat();
        }
    }

    fn tick(&mut self) {
        self.document(spread::Event::Tick);
        self.member(member::Event::Tick);
        self.ticks += 1;
        if self.ticks.is_multiple_of(LOAD_TICKS) {
            let running = self.parts.metrics.running.get().clamp(0, FULL_LOAD);
            let load = (100 * running / FULL_LOAD) as u8;
            self.member(member::Event::Load(load));
        }
    }

    /// Gives membership an event and does what it asks for.
    fn member(&mut self, event: member::Event) {
        let now = self.parts.clock.now();
        let mut changed = false;
        for action in self.members.step(now, event) {
            match action {
                member::Action::Send { to, message } => {
                    self.parts.link.send(&to, wire::Message::Member(message));
                }
                member::Action::Address { host, peer_address } => {
                    self.parts.link.peers().insert(host, peer_address);
                }
                member::Action::Heard { from, summary } => {
                    self.document(spread::Event::Heartbeat { from, summary });
                }
                member::Action::Changed => changed = true,
                member::Action::Report(report) => self.report_member(&report),
            }
        }
        if changed {
            self.look();
        }
    }

    /// Passes the view on.
    fn look(&mut self) {
        let view = self.members.view(self.parts.clock.now());
        self.gauges.members(&view);
        let spread = view.spread(&self.host);
        self.document(spread::Event::View(spread));
        self.view.send_if_modified(|known| {
            let changed = **known != view;
            *known = Arc::new(view);
            changed
        });
    }

    /// Gives the spread of documents an event and does what it asks for.
    fn document(&mut self, event: spread::Event) {
        let now = self.parts.clock.now();
        let mut changed = false;
        for action in self.documents.step(now, event) {
            match action {
                spread::Action::Send { to, message } => {
                    self.parts.link.send(&to, wire::Message::Config(message));
                }
                spread::Action::Read {
                    document,
                    round,
                    watch,
                } => self.read(document, round, watch),
                spread::Action::Install { document, version } => {
                    tracing::info!(%document, revision = version.revision, "document in force");
                    changed = true;
                }
                spread::Action::Ready(ready) => {
                    tracing::info!(ready, "documents confirmed");
                    self.gauges.confirmed.set(i64::from(ready));
                    changed = true;
                }
                spread::Action::Report(report) => {
                    report_document(&report);
                    changed = true;
                }
            }
        }
        if changed {
            self.publish();
        }
    }

    /// Puts what is in force before the other services.
    fn publish(&mut self) {
        let standings = Standings::of(&self.documents);
        self.gauges.documents(&standings);
        self.standings.send_replace(Arc::new(standings));
        let ready = self.documents.is_ready();
        let snapshot = ready.then(|| self.documents.snapshot());
        self.snapshot.send_replace(snapshot);
        let revisions = self.documents.summary();
        let now = self.parts.clock.now();
        self.members.step(now, member::Event::Revisions(revisions));
    }

    fn read(&self, document: Document, round: u64, watch: Option<Watch>) {
        self.gauges.reads.inc();
        let platform = self.parts.platform.clone();
        let reads = self.reads.clone();
        tokio::spawn(async move {
            let reading = read(platform, document, watch);
            let outcome = tokio::select! {
                outcome = reading => outcome,
                () = reads.closed() => return,
            };
            let read = Read {
                document,
                round,
                outcome,
            };
            reads.send(read).await.ok();
        });
    }

    fn report_member(&self, report: &member::Report) {
        match report {
            member::Report::State {
                host,
                before,
                now,
                incarnation,
            } => {
                let before = before.as_ref().map(tracing::field::display);
                tracing::info!(%host, before, state = %now, incarnation, "member");
            }
            member::Report::Objected { state, incarnation } => {
                tracing::warn!(said = %state, incarnation, "untrue of this host: objected");
            }
            member::Report::Woke { slept } => {
                self.gauges.pauses.inc();
                tracing::warn!(slept_ms = slept.as_millis() as u64, "woke from a pause");
            }
        }
    }
}

async fn read<D: Documents>(platform: D, document: Document, watch: Option<Watch>) -> Outcome {
    let (answer, none) = match watch {
        None => (platform.read(document).await, Outcome::Missing),
        Some(Watch {
            after_revision: after,
            max_wait: wait,
        }) => {
            let wait = Duration::from_secs(wait.as_secs());
            let answer = platform.watch(document, after, wait).await;
            (answer, Outcome::Unchanged)
        }
    };
    match answer {
        Ok(Some(revised)) => Outcome::Found {
            revision: revised.revision,
            text: revised.text.into(),
        },
        Ok(None) => none,
        Err(error) => {
            tracing::debug!(%document, %error, "configuration service");
            Outcome::Failed
        }
    }
}

fn report_document(report: &spread::Report) {
    match report {
        spread::Report::Refused {
            document,
            version,
            diagnostics: faults,
        } => {
            for fault in faults {
                tracing::error!(%document, revision = version.revision, %fault, "document refused");
            }
        }
        spread::Report::Behind {
            document,
            service_revision: service,
            known_revision: known,
        } => {
            tracing::warn!(%document, service, known, "the service gives an older revision: ignored");
        }
        spread::Report::Conflict {
            document,
            kept,
            dropped,
        } => {
            tracing::error!(%document, revision = kept.revision, kept = kept.digest, dropped = dropped.digest, "one revision has had two contents: publish a new one");
        }
    }
}

fn listed(listing: &Listing) -> Vec<Listed> {
    listing
        .hosts
        .iter()
        .filter(|host| host.kind == Kind::Entry)
        .filter_map(|host| {
            Some(Listed {
                host: host.name.as_str().into(),
                region: host.region.clone(),
                domain: host.domain.clone(),
                address: host.address,
                peer_address: host.peer_address?,
                leaving: host.state == State::Leaving,
            })
        })
        .collect()
}
