//! Runs the membership and the document spread state machines.
//!
//! Passes them messages, ticks, host lists and reads of the configuration service, executes their
//! actions, and publishes the view of the fleet and the configuration in force.

use {
    super::{
        Phase,
        liveness::Liveness,
        status::{Gauges, Status},
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
        member::{self, View},
        metric::Metrics,
        name, panic,
        settings::Settings,
        source::{Documents, Kind, Listing, State},
        wire,
    },
    futures::FutureExt,
    std::{
        net::SocketAddr,
        panic::AssertUnwindSafe,
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

/// Messages of one kind that may wait to be handled.
const MAILBOX_CAPACITY: usize = 1024;
/// Running calls that count as a load of 100 percent.
const FULL_LOAD_CALLS: i64 = 1000;
/// Ticks between two reports of the load to membership.
const LOAD_REPORT_TICKS: u64 = 10;

/// What the fleet service provides to the other services.
#[derive(Debug, Clone)]
pub(super) struct Handle<C: Clock> {
    /// The configuration in force; `None` until it is confirmed.
    pub(super) snapshot: watch::Receiver<Option<Arc<Snapshot>>>,
    /// The members of the fleet as this host sees them.
    pub(super) view: watch::Receiver<Arc<View>>,
    /// Status of the documents, for operators.
    pub(super) status: watch::Receiver<Arc<Status>>,
    /// Tells whether the process was paused and has not caught up yet.
    pub(super) liveness: Liveness<C>,
    /// Membership messages that the link receives.
    pub(super) member_mailbox: Sender<Received<member::Message>>,
    /// Document messages that the link receives.
    pub(super) document_mailbox: Sender<Received<spread::Message>>,
}

/// Handles and channels that the service is started with.
#[derive(Debug)]
pub(super) struct Dependencies<C: Clock, D: Documents> {
    pub(super) clock: C,
    pub(super) platform: D,
    pub(super) link: link::Handle,
    pub(super) listing: watch::Receiver<Arc<Listing>>,
    pub(super) phase: watch::Receiver<Phase>,
    pub(super) metrics: Metrics,
    pub(super) stop: watch::Receiver<()>,
}

/// Result of a read of the configuration service.
#[derive(Debug)]
struct ReadResult {
    document: Document,
    round: u64,
    outcome: Outcome,
}

/// The fleet service: owns both state machines and publishes their results.
#[derive(Debug)]
struct Fleet<C: Clock, D: Documents> {
    dependencies: Dependencies<C, D>,
    host: name::Host,
    membership: member::Machine,
    spread: spread::Machine,
    gauges: Gauges,
    liveness: Liveness<C>,
    ticks: u64,
    reads: Sender<ReadResult>,
    snapshot: watch::Sender<Option<Arc<Snapshot>>>,
    view: watch::Sender<Arc<View>>,
    status: watch::Sender<Arc<Status>>,
}

/// Channels that wake the service.
#[derive(Debug)]
struct Inbox {
    members: Receiver<Received<member::Message>>,
    documents: Receiver<Received<spread::Message>>,
    reads: Receiver<ReadResult>,
}

/// Starts the fleet service.
pub(super) fn start<C: Clock, D: Documents>(
    kernel: &mut Kernel,
    dependencies: Dependencies<C, D>,
    settings: &Settings,
    callers: SocketAddr,
    peers: SocketAddr,
) -> Handle<C> {
    let (member_mailbox, member_inbox) = mpsc::channel(MAILBOX_CAPACITY);
    let (document_mailbox, document_inbox) = mpsc::channel(MAILBOX_CAPACITY);
    let (reads, read_inbox) = mpsc::channel(MAILBOX_CAPACITY);
    let (snapshot, snapshot_reader) = watch::channel(None);
    let (view, view_reader) = watch::channel(Arc::default());
    let (status, status_reader) = watch::channel(Arc::default());
    let liveness = Liveness::new(dependencies.clock.clone());
    let wall = dependencies
        .clock
        .wall()
        .duration_since(SystemTime::UNIX_EPOCH);
    let incarnation = wall.map_or(1, |since| since.as_millis() as u64);
    let seed = crate::rendezvous::weight(settings.name.as_str(), &incarnation.to_string());
    let member_machine = member::Machine::new(member::Settings {
        host: settings.name.clone(),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        address: settings.advertise.unwrap_or(callers),
        peer_address: settings.peer_advertise.unwrap_or(peers),
        incarnation,
        seed,
        mutant: None,
    });
    let document_machine = spread::Machine::new(spread::Settings {
        host: settings.name.clone(),
        seed,
        mutant: None,
    });
    let fleet = Fleet {
        gauges: Gauges::new(&dependencies.metrics),
        dependencies,
        host: settings.name.clone(),
        membership: member_machine,
        spread: document_machine,
        liveness: liveness.clone(),
        ticks: 0,
        reads,
        snapshot,
        view,
        status,
    };
    let inbox = Inbox {
        members: member_inbox,
        documents: document_inbox,
        reads: read_inbox,
    };
    kernel.spawn("fleet", fleet.run(inbox));
    Handle {
        snapshot: snapshot_reader,
        view: view_reader,
        status: status_reader,
        liveness,
        member_mailbox,
        document_mailbox,
    }
}

impl<C: Clock, D: Documents> Fleet<C, D> {
    async fn run(mut self, mut inbox: Inbox) {
        let mut ticks = interval(member::TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut listing = self.dependencies.listing.clone();
        let mut phase = self.dependencies.phase.clone();
        let mut stop = self.dependencies.stop.clone();
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    panic::contain(|| self.tick());
                }
                Some(Received { from, message }) = inbox.members.recv() => {
                    let event = member::Event::Received { from, message };
                    panic::contain(|| self.step_membership(event));
                }
                Some(Received { from, message }) = inbox.documents.recv() => {
                    let event = spread::Event::Received { from, message };
                    panic::contain(|| self.step_documents(event));
                }
                Some(ReadResult { document, round, outcome }) = inbox.reads.recv() => {
                    let event = spread::Event::ReadEnded { document, round, outcome };
                    panic::contain(|| self.step_documents(event));
                }
                Ok(()) = listing.changed() => {
                    let rows = listed_hosts(&listing.borrow_and_update());
                    panic::contain(|| {
                        self.step_membership(member::Event::Listed(rows));
                        self.publish_view();
                    });
                }
                Ok(()) = phase.changed() => {
                    if *phase.borrow_and_update() == Phase::Leaving {
                        panic::contain(|| self.step_membership(member::Event::Leave));
                    }
                }
                _ = stop.changed() => return,
            }
            self.liveness.refresh();
        }
    }

    fn tick(&mut self) {
        self.step_documents(spread::Event::Tick);
        self.step_membership(member::Event::Tick);
        self.ticks += 1;
        if self.ticks.is_multiple_of(LOAD_REPORT_TICKS) {
            let running = self
                .dependencies
                .metrics
                .running
                .get()
                .clamp(0, FULL_LOAD_CALLS);
            let load = (100 * running / FULL_LOAD_CALLS) as u8;
            self.step_membership(member::Event::Load(load));
        }
    }

    /// Passes an event to the membership machine and executes its actions.
    fn step_membership(&mut self, event: member::Event) {
        let now = self.dependencies.clock.now();
        let mut changed = false;
        for action in self.membership.step(now, event) {
            match action {
                member::Action::Send { to, message } => {
                    self.dependencies
                        .link
                        .send(&to, wire::Message::Member(message));
                }
                member::Action::SetAddress { host, peer_address } => {
                    self.dependencies.link.peers().insert(host, peer_address);
                }
                member::Action::PassSummary { from, summary } => {
                    self.step_documents(spread::Event::Heartbeat { from, summary });
                }
                member::Action::ViewChanged => changed = true,
                member::Action::Report(report) => self.log_member_report(&report),
            }
        }
        if changed {
            self.publish_view();
        }
    }

    /// Publishes the view of the fleet to the gauges, the document spread and the other services.
    fn publish_view(&mut self) {
        let view = self.membership.view(self.dependencies.clock.now());
        self.gauges.set_members(&view);
        let spread = view.spread_view(&self.host);
        self.step_documents(spread::Event::View(spread));
        self.view.send_if_modified(|known| {
            let changed = **known != view;
            *known = Arc::new(view);
            changed
        });
    }

    /// Passes an event to the document spread machine and executes its actions.
    fn step_documents(&mut self, event: spread::Event) {
        let now = self.dependencies.clock.now();
        let mut changed = false;
        for action in self.spread.step(now, event) {
            match action {
                spread::Action::Send { to, message } => {
                    self.dependencies
                        .link
                        .send(&to, wire::Message::Config(message));
                }
                spread::Action::Read {
                    document,
                    round,
                    watch,
                } => self.start_read(document, round, watch),
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
                    log_document_report(&report);
                    changed = true;
                }
            }
        }
        if changed {
            self.publish_documents();
        }
    }

    /// Publishes the configuration in force and the status of the documents, and passes the
    /// revisions to membership.
    fn publish_documents(&mut self) {
        let status = Status::of(&self.spread);
        self.gauges.set_documents(&status);
        self.status.send_replace(Arc::new(status));
        let ready = self.spread.is_ready();
        let snapshot = ready.then(|| self.spread.snapshot());
        self.snapshot.send_replace(snapshot);
        let revisions = self.spread.summary();
        let now = self.dependencies.clock.now();
        self.membership
            .step(now, member::Event::Revisions(revisions));
    }

    fn start_read(&self, document: Document, round: u64, watch: Option<Watch>) {
        self.gauges.reads.inc();
        let platform = self.dependencies.platform.clone();
        let reads = self.reads.clone();
        tokio::spawn(async move {
            let reading = read_document(platform, document, watch);
            // The machine waits for the end of each read.
            let reading = AssertUnwindSafe(reading).catch_unwind();
            let outcome = tokio::select! {
                outcome = reading => outcome.unwrap_or(Outcome::Failed),
                () = reads.closed() => return,
            };
            let read = ReadResult {
                document,
                round,
                outcome,
            };
            reads.send(read).await.ok();
        });
    }

    fn log_member_report(&self, report: &member::Report) {
        match report {
            member::Report::StateChanged {
                host,
                before,
                now,
                incarnation,
            } => {
                let before = before.as_ref().map(tracing::field::display);
                tracing::info!(%host, before, state = %now, incarnation, "member");
            }
            member::Report::Refuted { state, incarnation } => {
                tracing::warn!(said = %state, incarnation, "refuted a wrong state of this host");
            }
            member::Report::Resumed { paused_for } => {
                self.gauges.pauses.inc();
                tracing::warn!(
                    slept_ms = paused_for.as_millis() as u64,
                    "process was paused"
                );
            }
        }
    }
}

async fn read_document<D: Documents>(
    platform: D,
    document: Document,
    watch: Option<Watch>,
) -> Outcome {
    let (answer, none) = match watch {
        None => (platform.read(document).await, Outcome::Missing),
        Some(Watch {
            after_revision,
            max_wait,
        }) => {
            let wait = Duration::from_secs(max_wait.as_secs());
            let answer = platform.watch(document, after_revision, wait).await;
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
            tracing::debug!(%document, %error, "could not read the configuration service");
            Outcome::Failed
        }
    }
}

fn log_document_report(report: &spread::Report) {
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
            tracing::warn!(%document, service, known, "ignored an older revision from the configuration service");
        }
        spread::Report::Conflict {
            document,
            kept,
            dropped,
        } => {
            tracing::error!(%document, revision = kept.revision, kept = kept.digest, dropped = dropped.digest, "two different contents have the same revision: publish a new revision");
        }
    }
}

fn listed_hosts(listing: &Listing) -> Vec<member::Listing> {
    listing
        .hosts
        .iter()
        .filter(|host| host.kind == Kind::Entry)
        .filter_map(|host| {
            Some(member::Listing {
                host: host.name.as_str().into(),
                region: host.region.clone(),
                domain: host.domain.clone(),
                address: host.address,
                peer_address: host.peer_address?,
                is_leaving: host.state == State::Leaving,
            })
        })
        .collect()
}
