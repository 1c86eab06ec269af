//! The service around the scheduler: requests wait here for their turn.

use {
    super::{
        event::{Action, Arrival, Event, Reason, Ticket},
        options::Options,
        scheduler::Scheduler,
        slots,
    },
    crate::{clock::Clock, machine::Machine as _, metric::Metrics, name, route},
    prometheus_client::metrics::gauge::Gauge,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{oneshot, watch},
        time::{MissedTickBehavior, interval},
    },
};

/// How often capacity is looked at anew while requests wait.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The scheduler as the request path uses it.
#[derive(Debug, Clone)]
pub struct Handle<C: Clock>(Arc<Shared<C>>);

#[derive(Debug)]
struct Shared<C: Clock> {
    clock: C,
    router: route::Handle<C>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    scheduler: Scheduler,
    waiting_gauge: Gauge,
    last_ticket: u64,
    waiters: BTreeMap<Ticket, Waiter>,
}

#[derive(Debug)]
struct Waiter {
    pool: name::Pool,
    reply: oneshot::Sender<Result<(), Refusal>>,
}

/// Why a request was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It was shed.
    Shed {
        /// Why.
        reason: Reason,
        /// When the caller should come back.
        retry_after: Duration,
    },
    /// The pool has no live replica any more; another one may serve the request.
    NoReplicas,
}

/// A request to be started.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// The pool.
    pub pool: &'a name::Pool,
    /// Whose it is; none on a route open to all.
    pub customer: Option<&'a name::Customer>,
    /// The customer's weight.
    pub weight: u32,
    /// Its priority, up to [`super::TOP_PRIORITY`].
    pub priority: u8,
    /// Its size in tokens at the most.
    pub tokens: u64,
    /// When its answer must have ended.
    pub deadline: Duration,
}

/// The right to run one request, until it is dropped.
#[derive(Debug)]
pub struct Slot<C: Clock> {
    ticket: Ticket,
    tokens: u64,
    handle: Handle<C>,
}

/// A request's place in the queue; dropped, the request leaves.
struct Guard<C: Clock> {
    ticket: Ticket,
    handle: Option<Handle<C>>,
}

impl<C: Clock> Handle<C> {
    /// A handle over an empty queue that takes capacity from `router`.
    pub fn new(options: Options, clock: C, router: route::Handle<C>) -> Self {
        Self(Arc::new(Shared {
            clock,
            router,
            state: Mutex::new(State {
                scheduler: Scheduler::new(options),
                waiting_gauge: Gauge::default(),
                last_ticket: 0,
                waiters: BTreeMap::new(),
            }),
        }))
    }

    /// Lets operators see how many requests wait.
    pub fn register(&self, metrics: &Metrics) {
        let waiting = self.state().waiting_gauge.clone();
        metrics.register(|registry| {
            registry.register("waiting", "Calls that wait for their turn", waiting);
        });
    }

    /// Waits until the request may start. Dropping the future takes the request out.
    pub async fn admit(&self, entrant: Request<'_>) -> Result<Slot<C>, Refusal> {
        let (ticket, turn) = self.arrive(&entrant);
        let mut place = Guard {
            ticket,
            handle: Some(self.clone()),
        };
        let started = turn.await.unwrap_or(Err(Refusal::NoReplicas));
        place.handle = None;
        started.map(|()| Slot {
            ticket,
            tokens: entrant.tokens,
            handle: self.clone(),
        })
    }

    fn arrive(&self, entrant: &Request<'_>) -> (Ticket, oneshot::Receiver<Result<(), Refusal>>) {
        self.update_capacity(entrant.pool);
        let (turn, receiver) = oneshot::channel();
        let mut state = self.state();
        state.last_ticket += 1;
        let ticket = Ticket(state.last_ticket);
        let waiter = Waiter {
            pool: entrant.pool.clone(),
            reply: turn,
        };
        state.waiters.insert(ticket, waiter);
        let arrival = Arrival {
            ticket,
            pool: entrant.pool.clone(),
            customer: entrant.customer.cloned(),
            weight: entrant.weight,
            priority: entrant.priority,
            tokens: entrant.tokens,
            deadline: entrant.deadline,
        };
        state.step(self.0.clock.now(), Event::Arrive(arrival));
        (ticket, receiver)
    }

    fn step(&self, event: Event) {
        self.state().step(self.0.clock.now(), event);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Brings this host's part of a pool's slots up to date. Returns whether the pool has a live
    /// replica.
    fn update_capacity(&self, pool: &name::Pool) -> bool {
        let backlog = self.state().scheduler.backlog(pool);
        let (engines, hosts) = self.0.router.with(|router, now| {
            router.set_backlog(pool, backlog);
            (router.engines(now, pool), router.host_count())
        });
        let mut state = self.state();
        let own = state.scheduler.running(pool);
        let event = Event::Capacity {
            pool: pool.clone(),
            slots: slots::host_slots(engines, own, hosts),
        };
        state.step(self.0.clock.now(), event);
        engines.slots > 0.0
    }

    /// Tells the requests that wait for a pool without live replicas to go elsewhere.
    fn refuse_waiting(&self, pool: &name::Pool) {
        let mut state = self.state();
        let gone: Vec<_> = state
            .waiters
            .iter()
            .filter(|(_, waiter)| waiter.pool == *pool)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in gone {
            state.resolve(ticket, Err(Refusal::NoReplicas));
            state.step(self.0.clock.now(), Event::Cancel { ticket });
        }
    }

    /// The pools that requests wait for.
    fn awaited_pools(&self) -> Vec<name::Pool> {
        let state = self.state();
        let mut pools: Vec<_> = state
            .waiters
            .values()
            .map(|waiter| waiter.pool.clone())
            .collect();
        pools.sort_unstable();
        pools.dedup();
        pools
    }

    /// Looks at capacity and deadlines while requests wait, until `stop` closes.
    pub async fn run(self, mut stop: watch::Receiver<()>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = stop.changed() => return,
                _ = ticks.tick() => {}
            }
            for pool in self.awaited_pools() {
                if !self.update_capacity(&pool) {
                    self.refuse_waiting(&pool);
                }
            }
            self.step(Event::Tick);
        }
    }
}

impl State {
    fn step(&mut self, now: Duration, event: Event) {
        for action in self.scheduler.step(now, event) {
            match action {
                Action::Start { ticket } => self.start(now, ticket),
                Action::Shed {
                    ticket,
                    reason,
                    retry_after,
                } => {
                    let shed = Refusal::Shed {
                        reason,
                        retry_after,
                    };
                    self.resolve(ticket, Err(shed));
                }
            }
        }
        self.waiting_gauge.set(self.waiters.len() as i64);
    }

    /// Starts a request, unless its caller has just left.
    fn start(&mut self, now: Duration, ticket: Ticket) {
        if !self.resolve(ticket, Ok(())) {
            self.step(now, Event::Done { ticket, tokens: 0 });
        }
    }

    fn resolve(&mut self, ticket: Ticket, answer: Result<(), Refusal>) -> bool {
        let waiter = self.waiters.remove(&ticket);
        waiter.is_some_and(|waiter| waiter.reply.send(answer).is_ok())
    }
}

impl<C: Clock> Drop for Guard<C> {
    fn drop(&mut self) {
        let Some(handle) = &self.handle else {
            return;
        };
        let ticket = self.ticket;
        let mut state = handle.state();
        let waited = state.waiters.remove(&ticket).is_some();
        // A request that was started while its caller left has taken no token.
        let event = match waited {
            true => Event::Cancel { ticket },
            false => Event::Done { ticket, tokens: 0 },
        };
        state.step(handle.0.clock.now(), event);
    }
}

impl<C: Clock> Slot<C> {
    /// Takes note of the tokens that the request took in fact.
    pub fn settle(&mut self, tokens: u64) {
        self.tokens = tokens;
    }
}

impl<C: Clock> Drop for Slot<C> {
    fn drop(&mut self) {
        self.handle.step(Event::Done {
            ticket: self.ticket,
            tokens: self.tokens,
        });
    }
}
