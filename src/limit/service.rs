//! Service around the limiter's state machine: runs its timer and mailbox, writes its log lines
//! and metrics, and admits and settles requests for the gateway.

use {
    super::{
        account::Ticket,
        event::{Action, Event, Report, Setup, Verdict},
        machine::Limiter,
        message::Message,
        plan::{Plan, Quota, Region},
    },
    crate::{
        clock::Clock,
        config::Snapshot,
        entry::Phase,
        link::{self, Received},
        machine::Machine,
        member, metric, name, panic, wire,
    },
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{counter::Counter, family::Family, gauge::Gauge},
    },
    serde::Serialize,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU64},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        time::{MissedTickBehavior, interval},
    },
};

/// Interval between ticks of the state machine.
const TICK: Duration = Duration::from_millis(100);

/// Label of the counters per customer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    customer: String,
}

impl Label {
    fn for_customer(customer: &name::Customer) -> Self {
        Self {
            customer: customer.to_string(),
        }
    }
}

/// Metrics of the limit.
#[derive(Debug, Clone, Default)]
struct Metrics {
    charged_tokens: Family<Label, Counter<f64, AtomicU64>>,
    refused: Family<Label, Counter>,
    borrowed: Gauge,
    lent: Gauge,
    seated: Gauge,
    leased: Gauge,
}

impl Metrics {
    fn register(&self, shared: &metric::Metrics) {
        shared.register(|registry| {
            registry.register(
                "limit_charged_tokens",
                "Tokens charged to admitted requests, by customer",
                self.charged_tokens.clone(),
            );
            registry.register(
                "limit_refused",
                "Requests refused over the rate and burst, by customer",
                self.refused.clone(),
            );
            registry.register(
                "limit_loans_borrowed",
                "Loans that this host has from others",
                self.borrowed.clone(),
            );
            registry.register(
                "limit_loans_lent",
                "Loans that others have from this host",
                self.lent.clone(),
            );
            registry.register(
                "limit_seated",
                "Whether this host uses a standing part of its own",
                self.seated.clone(),
            );
            registry.register(
                "limit_leased",
                "Whether this host holds its region's lease",
                self.leased.clone(),
            );
        });
    }
}

/// State of the limit, as `/status` shows it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct View {
    /// Whether this host uses a standing part of its own.
    pub seated: bool,
    /// Whether this host holds its region's lease.
    pub leased: bool,
    /// Number of loans from other hosts.
    pub borrowed: usize,
    /// Number of loans to other hosts.
    pub lent: usize,
    /// Bucket of each customer at this host.
    pub customers: BTreeMap<name::Customer, Bucket>,
}

/// One customer's token bucket at this host.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Bucket {
    /// Refill rate, in tokens per second.
    pub rate: f64,
    /// Depth of the bucket, in tokens.
    pub depth: f64,
    /// Tokens in the bucket; negative after use beyond a charge.
    pub level: f64,
}

/// Channels that [`Handle::run`] reads.
#[derive(Debug)]
pub struct Dependencies {
    /// Configuration in force; `None` until one is confirmed.
    pub config: watch::Receiver<Option<Arc<Snapshot>>>,
    /// View of the fleet, from membership.
    pub view: watch::Receiver<Arc<member::View>>,
    /// Phase of this process; the limit drains in any phase but `Running`.
    pub phase: watch::Receiver<Phase>,
    /// Messages from other hosts.
    pub mailbox: mpsc::Receiver<Received<Message>>,
    /// Closed when the service must stop.
    pub stop: watch::Receiver<()>,
}

/// Handle on the shared limiter, for the request path.
#[derive(Debug, Clone)]
pub struct Handle<C> {
    limit: Arc<Mutex<Limiter>>,
    /// Maximum number of processes that may run at once in this host's region.
    max_processes: u32,
    host: name::Host,
    clock: C,
    metrics: Metrics,
}

impl<C: Clock> Handle<C> {
    /// Creates a limiter that starts now. `max_processes` is the maximum number of processes that
    /// may run at once in its region.
    pub fn new(setup: Setup, max_processes: u32, clock: C, shared: &metric::Metrics) -> Self {
        let metrics = Metrics::default();
        metrics.register(shared);
        Self {
            host: setup.host.clone(),
            limit: Arc::new(Mutex::new(Limiter::new(clock.now(), setup))),
            max_processes,
            clock,
            metrics,
        }
    }

    /// Admits a request and charges `tokens`, its worst-case cost. The clock is read under the
    /// lock, so that a process that was paused detects the pause before it spends tokens.
    pub fn admit(&self, customer: &name::Customer, tokens: f64) -> Verdict {
        let mut limit = self.lock();
        let verdict = limit.admit(self.clock.now(), customer, tokens);
        drop(limit);
        if matches!(verdict, Verdict::Admitted(_)) {
            let counter = self
                .metrics
                .charged_tokens
                .get_or_create(&Label::for_customer(customer));
            counter.inc_by(tokens);
        }
        verdict
    }

    /// Counts a request that is refused to its caller, after any retries here.
    pub fn count_refused(&self, customer: &name::Customer) {
        self.metrics
            .refused
            .get_or_create(&Label::for_customer(customer))
            .inc();
    }

    /// Settles an admitted request with the tokens that it used.
    pub fn settle(&self, ticket: Ticket, used: f64) {
        let mut limit = self.lock();
        let now = self.clock.now();
        limit.settle(now, ticket, used);
    }

    /// Whether the quarantine after the start or after a pause is over.
    pub fn is_ready(&self) -> bool {
        self.lock().is_ready()
    }

    /// Current state, for `/status`.
    pub fn view(&self) -> View {
        let limit = self.lock();
        let (borrowed, lent) = limit.loan_counts();
        View {
            seated: limit.is_seated(),
            leased: limit.holds_lease(),
            borrowed,
            lent,
            customers: limit
                .shares()
                .map(|(customer, share, level)| {
                    let bucket = Bucket {
                        rate: share.rate,
                        depth: share.depth,
                        level,
                    };
                    (customer.clone(), bucket)
                })
                .collect(),
        }
    }

    /// Runs the timer and the mailbox of the state machine until `stop` closes.
    pub async fn run(self, link: link::Handle, mut dependencies: Dependencies) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        dependencies.config.mark_changed();
        dependencies.view.mark_changed();
        loop {
            let event = tokio::select! {
                _ = dependencies.stop.changed() => return,
                Ok(()) = dependencies.config.changed() => {
                    self.configured_event(&mut dependencies.config)
                }
                Ok(()) = dependencies.view.changed() => self.members_event(&mut dependencies.view),
                Ok(()) = dependencies.phase.changed() => drain_event(&mut dependencies.phase),
                Some(received) = dependencies.mailbox.recv() => Some(Event::Received {
                    from: received.from,
                    message: received.message,
                }),
                _ = ticks.tick() => Some(Event::Tick),
            };
            if let Some(event) = event {
                panic::contain(|| self.step(&link, event));
            }
        }
    }

    fn step(&self, link: &link::Handle, event: Event) {
        let mut limit = self.lock();
        let actions = limit.step(self.clock.now(), event);
        let (borrowed, lent) = limit.loan_counts();
        let (seated, leased) = (limit.is_seated(), limit.holds_lease());
        drop(limit);
        self.metrics.borrowed.set(borrowed as i64);
        self.metrics.lent.set(lent as i64);
        self.metrics.seated.set(i64::from(seated));
        self.metrics.leased.set(i64::from(leased));
        for action in actions {
            match action {
                Action::Send { to, message } => link.send(&to, wire::Message::Limit(message)),
                Action::Report(report) => log(&report),
            }
        }
    }

    fn configured_event(
        &self,
        config: &mut watch::Receiver<Option<Arc<Snapshot>>>,
    ) -> Option<Event> {
        let snapshot = config.borrow_and_update().clone()?;
        let quotas = snapshot.customers.values().map(|row| {
            let quota = Quota {
                rate: row.rate,
                burst: row.burst,
            };
            (row.name.clone(), quota)
        });
        Some(Event::Configured {
            plan: plan_for(&snapshot, self.max_processes),
            quotas: quotas.collect(),
        })
    }

    fn members_event(&self, view: &mut watch::Receiver<Arc<member::View>>) -> Option<Event> {
        let view = view.borrow_and_update();
        let others = view
            .hosts
            .iter()
            .filter(|(host, member)| **host != self.host && member.state != member::State::Dead);
        Some(Event::Members(
            others
                .map(|(host, member)| (host.clone(), member.region.clone()))
                .collect(),
        ))
    }

    fn lock(&self) -> MutexGuard<'_, Limiter> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn drain_event(phase: &mut watch::Receiver<Phase>) -> Option<Event> {
    (*phase.borrow_and_update() != Phase::Running).then_some(Event::Drain)
}

fn log(report: &Report) {
    match report {
        Report::Seated | Report::LeaseAcquired => tracing::debug!(%report, "limit"),
        Report::LeaseLost => tracing::info!(%report, "limit"),
        Report::OverPlan { .. } | Report::Resumed { .. } => tracing::warn!(%report, "limit"),
    }
}

/// Plan for a configuration: an equal part for each region that has a pool.
fn plan_for(snapshot: &Snapshot, max_processes: u32) -> Plan {
    let regions: BTreeSet<&name::Region> =
        snapshot.pools.values().map(|pool| &pool.region).collect();
    let row = Region {
        max_processes,
        weight: 1.0,
    };
    Plan {
        regions: regions
            .into_iter()
            .map(|region| (region.clone(), row.clone()))
            .collect(),
    }
}
