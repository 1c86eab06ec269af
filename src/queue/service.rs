//! Shared access to the scheduler. [`Handle::admit`] waits until a request may start, and
//! [`Handle::run`] keeps the capacity of the pools up to date while requests wait.

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

/// Time between updates of the capacity while requests wait.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// A shared scheduler, with the router that its capacity comes from.
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
    /// The scheduler shed the request.
    Shed {
        /// Why it was shed.
        reason: Reason,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The pool has no live replica any more; another pool may serve the request.
    NoReplicas,
}

/// A request to be admitted at a pool.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// Pool that the request is for.
    pub pool: &'a name::Pool,
    /// Customer that sent the request; `None` on an open route.
    pub customer: Option<&'a name::Customer>,
    /// Weight of the customer in the fair share.
    pub weight: u32,
    /// Priority of the request, up to [`super::MAX_PRIORITY`].
    pub priority: u8,
    /// Upper bound of the request's size in tokens.
    pub tokens: u64,
    /// When the answer must have ended.
    pub deadline: Duration,
}

/// The right to run one request. The slot is free again when this is dropped.
#[derive(Debug)]
pub struct Slot<C: Clock> {
    ticket: Ticket,
    tokens: u64,
    handle: Handle<C>,
}

/// Removes a request from the queue when its caller leaves and the future is dropped.
struct Guard<C: Clock> {
    ticket: Ticket,
    handle: Option<Handle<C>>,
}

impl<C: Clock> Handle<C> {
    /// Creates a handle of an empty scheduler that takes its capacity from `router`.
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

    /// Registers the gauge of waiting requests.
    pub fn register(&self, metrics: &Metrics) {
        let waiting = self.state().waiting_gauge.clone();
        metrics.register(|registry| {
            registry.register("waiting", "Calls that wait for their turn", waiting);
        });
    }

    /// Waits until the request may start. Dropping the future removes the request from the queue.
    pub async fn admit(&self, request: Request<'_>) -> Result<Slot<C>, Refusal> {
        let (ticket, reply) = self.arrive(&request);
        let mut guard = Guard {
            ticket,
            handle: Some(self.clone()),
        };
        let answer = reply.await.unwrap_or(Err(Refusal::NoReplicas));
        guard.handle = None;
        answer.map(|()| Slot {
            ticket,
            tokens: request.tokens,
            handle: self.clone(),
        })
    }

    fn arrive(&self, request: &Request<'_>) -> (Ticket, oneshot::Receiver<Result<(), Refusal>>) {
        self.update_capacity(request.pool);
        let (reply, receiver) = oneshot::channel();
        let mut state = self.state();
        state.last_ticket += 1;
        let ticket = Ticket(state.last_ticket);
        let waiter = Waiter {
            pool: request.pool.clone(),
            reply,
        };
        state.waiters.insert(ticket, waiter);
        let arrival = Arrival {
            ticket,
            pool: request.pool.clone(),
            customer: request.customer.cloned(),
            weight: request.weight,
            priority: request.priority,
            tokens: request.tokens,
            deadline: request.deadline,
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

    /// Updates this host's share of a pool's slots, and the router's view of the queue. Returns
    /// whether the pool has a live replica.
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

    /// Refuses the requests that wait for a pool without live replicas.
    fn refuse_waiting(&self, pool: &name::Pool) {
        let mut state = self.state();
        let tickets: Vec<_> = state
            .waiters
            .iter()
            .filter(|(_, waiter)| waiter.pool == *pool)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in tickets {
            state.resolve(ticket, Err(Refusal::NoReplicas));
            state.step(self.0.clock.now(), Event::Cancel { ticket });
        }
    }

    /// The pools that requests are waiting for.
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

    /// Updates the capacity and sheds late requests while requests wait, until `stop` closes.
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

    /// Starts a request; frees its slot at once if the caller has just left.
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
        let was_waiting = state.waiters.remove(&ticket).is_some();
        // A request that was started while its caller left has used no tokens.
        let event = match was_waiting {
            true => Event::Cancel { ticket },
            false => Event::Done { ticket, tokens: 0 },
        };
        state.step(handle.0.clock.now(), event);
    }
}

impl<C: Clock> Slot<C> {
    /// Sets the tokens that the request really used, for the customer's fair share.
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
