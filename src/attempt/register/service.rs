//! Runs the register: feeds it ticks, host lists and messages of peers, sends its messages, and
//! answers the requests that wait for a claim.

use {
    super::{Action, Event, Key, Message, Outcome, Reason, Register, Settings},
    crate::{
        clock::Clock,
        link::{self, Received},
        machine::Machine,
        name, panic,
        source::{Kind, Listing},
        wire,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{MissedTickBehavior, interval},
    },
};

/// The channels that the service reads.
#[derive(Debug)]
pub struct Dependencies {
    /// The latest host list, which decides the voters of each region.
    pub listing: watch::Receiver<Arc<Listing>>,
    /// Messages of other hosts' registers.
    pub mailbox: mpsc::Receiver<Received<Message>>,
    /// Changes or closes when the service must stop.
    pub stop: watch::Receiver<()>,
}

/// Why a request with a key may not run.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// Why the register refused it.
    pub reason: Reason,
    /// Delay after which the caller may retry, if known.
    pub retry_after: Option<Duration>,
}

type Verdict = Result<(), Refusal>;

/// A request that waits for the register's answer.
#[derive(Debug)]
struct Waiter {
    key: Key,
    verdict: oneshot::Sender<Verdict>,
}

/// What the clones of a handle share.
#[derive(Debug)]
struct Shared {
    register: Register,
    waiters: BTreeMap<u64, Waiter>,
    last_ticket: u64,
}

/// The register as the gateway uses it; clones share one register.
#[derive(Debug, Clone)]
pub struct Handle<C> {
    state: Arc<Mutex<Shared>>,
    link: link::Handle,
    clock: C,
}

/// The right to run the request of a key once. Dropped without an outcome, it leaves the key
/// claimed in an unknown state.
#[derive(Debug)]
pub struct Permit<C: Clock> {
    handle: Handle<C>,
    key: Key,
    outcome: Outcome,
}

impl<C: Clock> Handle<C> {
    /// Creates a register without records, which sends its messages through `link`.
    pub fn new(settings: Settings, link: link::Handle, clock: C) -> Self {
        let state = Shared {
            register: Register::new(settings, clock.now()),
            waiters: BTreeMap::new(),
            last_ticket: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            link,
            clock,
        }
    }

    /// Claims a key for a request, and waits until the claim succeeds or is refused.
    pub async fn claim(&self, key: Key, home: name::Region) -> Result<Permit<C>, Refusal> {
        let (sender, answer) = oneshot::channel();
        let ticket = {
            let mut state = self.lock();
            state.last_ticket += 1;
            let ticket = state.last_ticket;
            let waiter = Waiter {
                key,
                verdict: sender,
            };
            state.waiters.insert(ticket, waiter);
            ticket
        };
        self.step(Event::Request { ticket, key, home });
        let doubtful = Refusal {
            reason: Reason::Doubtful,
            retry_after: None,
        };
        answer.await.unwrap_or(Err(doubtful))?;
        Ok(Permit {
            handle: self.clone(),
            key,
            outcome: Outcome::Unknown,
        })
    }

    /// Whether this host acknowledges claims.
    pub fn is_active(&self) -> bool {
        self.lock().register.is_active()
    }

    /// Runs the register until `dependencies.stop` changes or an input closes.
    pub async fn run(self, mut dependencies: Dependencies) {
        let mut ticks = interval(Register::TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.update_hosts(&dependencies.listing.borrow_and_update().clone());
        loop {
            tokio::select! {
                _ = dependencies.stop.changed() => return,
                _ = ticks.tick() => {
                    panic::contain(|| self.step(Event::Tick));
                }
                changed = dependencies.listing.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let listing = dependencies.listing.borrow_and_update().clone();
                    panic::contain(|| self.update_hosts(&listing));
                }
                received = dependencies.mailbox.recv() => {
                    let Some(Received { from, message }) = received else {
                        return;
                    };
                    panic::contain(|| self.step(Event::Received { from, message }));
                }
            }
        }
    }

    fn update_hosts(&self, listing: &Listing) {
        let mut regions: BTreeMap<name::Region, BTreeSet<name::Host>> = BTreeMap::new();
        let entries = listing.hosts.iter().filter(|host| host.kind == Kind::Entry);
        for host in entries {
            let hosts = regions.entry(host.region.clone()).or_default();
            hosts.insert(host.name.as_str().into());
        }
        for (region, hosts) in regions {
            self.step(Event::HostList { region, hosts });
        }
    }

    /// Feeds an event to the register and carries out its actions. The clock is read under the
    /// lock, so that time never goes backwards for the machine.
    fn step(&self, event: Event) {
        let mut state = self.lock();
        let was_active = state.register.is_active();
        let now = self.clock.now();
        let actions = state.register.step(now, event);
        let active = state.register.is_active();
        if active != was_active {
            tracing::debug!(active, "idempotency register changed its state");
        }
        let mut abandoned_keys = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    self.link.send(&to, wire::Message::Register(message));
                }
                Action::Run { ticket } => abandoned_keys.extend(state.answer(ticket, Ok(()))),
                Action::Refuse {
                    ticket,
                    reason,
                    retry_after,
                } => {
                    let refusal = Refusal {
                        reason,
                        retry_after,
                    };
                    state.answer(ticket, Err(refusal));
                }
            }
        }
        drop(state);
        for key in abandoned_keys {
            let outcome = Outcome::NotRun;
            self.step(Event::Finished { key, outcome });
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    /// Answers a request. Returns its key if the request has been dropped meanwhile.
    fn answer(&mut self, ticket: u64, verdict: Verdict) -> Option<Key> {
        let waiter = self.waiters.remove(&ticket)?;
        let is_abandoned = waiter.verdict.send(verdict).is_err();
        is_abandoned.then_some(waiter.key)
    }
}

impl<C: Clock> Permit<C> {
    /// Whether the first byte of the request may still be sent.
    pub fn may_send(&self) -> bool {
        let state = self.handle.lock();
        state.register.may_send(self.handle.clock.now(), self.key)
    }

    /// Records how the request ended.
    pub fn settle(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl<C: Clock> Drop for Permit<C> {
    fn drop(&mut self) {
        self.handle.step(Event::Finished {
            key: self.key,
            outcome: self.outcome,
        });
    }
}
