//! The scheduler: passes events to the queues of the pools and collects their actions.

use {
    super::{
        event::{Action, Event, Ticket},
        options::{Mutant, Options},
        pool::Pool,
    },
    crate::{machine::Machine, name},
    std::{collections::BTreeMap, time::Duration},
};

/// Decides which waiting request starts next at each pool of one host.
#[derive(Debug, Default)]
pub struct Scheduler {
    options: Options,
    pools: BTreeMap<name::Pool, Pool>,
    pool_by_ticket: BTreeMap<Ticket, name::Pool>,
}

impl Scheduler {
    /// Creates a scheduler without slots or requests.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Expected wait at a pool of a request that starts after all waiting ones.
    pub fn backlog(&self, pool: &name::Pool) -> Duration {
        self.pools.get(pool).map_or(Duration::ZERO, Pool::backlog)
    }

    /// Number of requests waiting at a pool.
    pub fn waiting(&self, pool: &name::Pool) -> usize {
        self.pools.get(pool).map_or(0, Pool::waiting)
    }

    /// Number of requests running at a pool.
    pub fn running(&self, pool: &name::Pool) -> u32 {
        self.pools.get(pool).map_or(0, Pool::running)
    }

    /// When the next waiting request becomes too late, so that an [`Event::Tick`] is due to shed
    /// it.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.pools.values().filter_map(Pool::next_expiry).min()
    }

    fn apply(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrive(arrival) => {
                let pool = arrival.pool.clone();
                self.pool_by_ticket.insert(arrival.ticket, pool.clone());
                let queue = self.pools.entry(pool).or_default();
                queue.arrive(now, arrival, &self.options, out);
            }
            Event::Cancel { ticket } => {
                if let Some(pool) = self.pool_of(ticket) {
                    pool.cancel(ticket);
                }
            }
            Event::Withdraw { customer } => {
                if self.options.mutant == Mutant::Withdrawn {
                    return;
                }
                let owner = Some(customer);
                for pool in self.pools.values_mut() {
                    pool.withdraw(&owner, out);
                }
            }
            Event::Done { ticket, tokens } => {
                let pool_name = self.pool_by_ticket.remove(&ticket);
                if let Some(pool) = pool_name.and_then(|pool| self.pools.get_mut(&pool)) {
                    pool.finish(now, ticket, tokens, &self.options);
                }
            }
            Event::Capacity { pool, slots } => self.pools.entry(pool).or_default().set_slots(slots),
            Event::Tick => {}
        }
    }

    fn pool_of(&mut self, ticket: Ticket) -> Option<&mut Pool> {
        self.pools.get_mut(self.pool_by_ticket.get(&ticket)?)
    }

    fn is_running(&self, ticket: Ticket) -> bool {
        let pool = self
            .pool_by_ticket
            .get(&ticket)
            .and_then(|pool| self.pools.get(pool));
        pool.is_some_and(|pool| pool.is_running(ticket))
    }
}

impl Machine for Scheduler {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let cancelled = match event {
            Event::Cancel { ticket } => Some(ticket),
            _ => None,
        };
        self.apply(now, event, &mut actions);
        for pool in self.pools.values_mut() {
            pool.advance(now, &self.options, &mut actions);
        }
        for action in &actions {
            if let Action::Shed { ticket, .. } = action {
                self.pool_by_ticket.remove(ticket);
            }
        }
        if let Some(ticket) = cancelled.filter(|ticket| !self.is_running(*ticket)) {
            self.pool_by_ticket.remove(&ticket);
        }
        actions
    }
}
