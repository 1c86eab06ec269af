//! One pool's queue: start-time fair queueing between customers.

use {
    super::{
        event::{Action, Arrival, Reason, Ticket},
        flow::{Flow, Item},
        options::{Mutant, Options},
        speed::Speed,
    },
    crate::name,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Owner of a flow: a customer, or `None` for all requests of open routes.
pub(super) type Owner = Option<name::Customer>;

/// The queue of one pool.
#[derive(Debug, Default)]
pub(super) struct Pool {
    slots: u32,
    virtual_clock: f64,
    flows: BTreeMap<Owner, Flow>,
    waiting: BTreeMap<Ticket, (Owner, Item)>,
    by_latest_start: BTreeSet<(Duration, Ticket)>,
    running: BTreeMap<Ticket, Running>,
    speed: Speed,
}

#[derive(Debug)]
struct Running {
    owner: Owner,
    tokens: u64,
    started_at: Duration,
}

impl Pool {
    /// Sets the number of requests that may run at once.
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Number of requests that wait for a slot.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests that hold a slot.
    pub(super) fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Whether a request is running.
    pub(super) fn is_running(&self, ticket: Ticket) -> bool {
        self.running.contains_key(&ticket)
    }

    /// When the next waiting request becomes too late to start; `None` if none waits.
    pub(super) fn next_expiry(&self) -> Option<Duration> {
        self.by_latest_start.first().map(|(at, _)| *at)
    }

    /// Expected time of a request of `tokens` once it is started. Zero while slots are free, as a
    /// wrong estimate could shed every request, and none would run that corrects it.
    fn service_time(&self, tokens: u64, options: &Options) -> Duration {
        if self.running() < self.slots {
            return Duration::ZERO;
        }
        self.speed.service_time(tokens, options.is_long(tokens))
    }

    /// Time that all slots together take for `tokens`.
    fn drain_time(&self, tokens: f64) -> Duration {
        self.speed.drain_time(tokens, self.slots)
    }

    /// Expected wait of a request that starts after all waiting ones.
    pub(super) fn backlog(&self) -> Duration {
        self.drain_time(
            self.flows
                .values()
                .map(|flow| flow.waiting_tokens as f64)
                .sum(),
        )
    }

    /// Expected wait of a new request of `owner`: the time in which the customer's share of the
    /// slots works off its own requests ahead, but no longer than all waiting requests take.
    fn expected_wait(&self, owner: &Owner, weight: u32, rank: Duration) -> Duration {
        let backlogged = self.flows.values().filter(|flow| !flow.is_empty());
        let total_tokens: u64 = backlogged.clone().map(|flow| flow.waiting_tokens).sum();
        let total_weight: u32 = backlogged.map(|flow| flow.weight).sum();
        let flow = self.flows.get(owner).filter(|flow| !flow.is_empty());
        let tokens_ahead = flow.map_or(0, |flow| flow.tokens_ahead(rank)) as f64;
        let total_weight = total_weight + if flow.is_some() { 0 } else { weight };
        let shared_tokens = tokens_ahead * f64::from(total_weight) / f64::from(weight.max(1));
        self.drain_time(shared_tokens.min(total_tokens as f64))
    }

    /// Queues a request, or sheds it if it cannot meet its deadline. A waiting request is shed if
    /// the queue then exceeds a limit.
    pub(super) fn arrive(
        &mut self,
        now: Duration,
        arrival: Arrival,
        options: &Options,
        out: &mut Vec<Action>,
    ) {
        let owner = arrival.customer.clone();
        let service = self.service_time(arrival.tokens, options);
        let item = Item::new(now, &arrival, service, options);
        let wait = self.expected_wait(&owner, arrival.weight, item.rank);
        let is_late = arrival.deadline <= now || now + wait > item.latest_start;
        if is_late {
            out.push(shed_action(item.ticket, Reason::Late, wait, options));
            return;
        }
        self.enqueue(owner.clone(), arrival.weight, item);
        self.enforce_limits(&owner, wait, options, out);
    }

    fn enqueue(&mut self, owner: Owner, weight: u32, item: Item) {
        let clock = self.virtual_clock;
        let flow = self
            .flows
            .entry(owner.clone())
            .or_insert_with(|| Flow::new(weight, clock));
        flow.weight = weight.max(1);
        if flow.is_empty() {
            flow.virtual_start = flow.virtual_start.max(clock);
        }
        flow.push(item);
        self.by_latest_start
            .insert((item.latest_start, item.ticket));
        self.waiting.insert(item.ticket, (owner, item));
    }

    /// Sheds a request if the arrival of one of `owner` has exceeded a limit of the queue.
    fn enforce_limits(
        &mut self,
        owner: &Owner,
        wait: Duration,
        options: &Options,
        out: &mut Vec<Action>,
    ) {
        let flow = &self.flows[owner];
        if flow.len() > options.max_waiting_per_customer {
            let last = flow.last().map(|item| item.ticket);
            self.shed_waiting(last, Reason::CustomerFull, wait, options, out);
        } else if self.waiting.len() > options.max_waiting {
            let largest = self.flows.values().max_by(|one, other| {
                let size = |flow: &Flow| flow.virtual_time(flow.waiting_tokens);
                size(one).total_cmp(&size(other))
            });
            let last = largest.and_then(Flow::last).map(|item| item.ticket);
            self.shed_waiting(last, Reason::Full, wait, options, out);
        }
    }

    fn shed_waiting(
        &mut self,
        ticket: Option<Ticket>,
        reason: Reason,
        wait: Duration,
        options: &Options,
        out: &mut Vec<Action>,
    ) {
        let Some(ticket) = ticket else {
            return;
        };
        self.cancel(ticket);
        out.push(shed_action(ticket, reason, wait, options));
    }

    /// Removes a waiting request; does nothing if it does not wait.
    pub(super) fn cancel(&mut self, ticket: Ticket) {
        let Some((owner, item)) = self.waiting.remove(&ticket) else {
            return;
        };
        self.by_latest_start.remove(&(item.latest_start, ticket));
        if let Some(flow) = self.flows.get_mut(&owner) {
            flow.remove(&item);
        }
    }

    /// Sheds all waiting requests of a customer whose keys were withdrawn.
    pub(super) fn withdraw(&mut self, owner: &Owner, out: &mut Vec<Action>) {
        let Some(flow) = self.flows.get_mut(owner) else {
            return;
        };
        for item in flow.take_all() {
            self.waiting.remove(&item.ticket);
            self.by_latest_start
                .remove(&(item.latest_start, item.ticket));
            out.push(Action::Shed {
                ticket: item.ticket,
                reason: Reason::Withdrawn,
                retry_after: Duration::ZERO,
            });
        }
    }

    /// Records that a request has ended: frees its slot and corrects the customer's virtual time to
    /// the `tokens` really used.
    pub(super) fn finish(&mut self, now: Duration, ticket: Ticket, tokens: u64, options: &Options) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        let took = now.saturating_sub(running.started_at);
        if tokens > 0 {
            let is_long = options.is_long(running.tokens);
            self.speed.observe(running.tokens, is_long, took);
        }
        if let Some(flow) = self.flows.get_mut(&running.owner) {
            flow.virtual_start += flow.virtual_time(tokens) - flow.virtual_time(running.tokens);
        }
    }

    /// Sheds the requests that can no longer meet their deadlines, and starts as many as there are
    /// free slots.
    pub(super) fn advance(&mut self, now: Duration, options: &Options, out: &mut Vec<Action>) {
        while let Some((_, ticket)) = self
            .by_latest_start
            .first()
            .filter(|(latest_start, _)| *latest_start < now)
        {
            let ticket = *ticket;
            let wait = self.backlog();
            self.shed_waiting(Some(ticket), Reason::Late, wait, options, out);
        }
        let slots = match options.mutant {
            Mutant::Overrun => self.slots + 1,
            Mutant::Idle => self.slots.saturating_sub(1),
            _ => self.slots,
        };
        while self.running() < slots {
            let Some(owner) = self.next_owner(options.mutant) else {
                break;
            };
            out.push(self.start(now, &owner));
        }
        self.forget_idle_flows();
    }

    /// The customer whose request starts next: the one with the earliest virtual start.
    fn next_owner(&self, mutant: Mutant) -> Option<Owner> {
        if mutant == Mutant::Unfair {
            return self.waiting.values().next().map(|(owner, _)| owner.clone());
        }
        self.flows
            .iter()
            .filter(|(_, flow)| !flow.is_empty())
            .min_by(|(_, one), (_, other)| one.virtual_start.total_cmp(&other.virtual_start))
            .map(|(owner, _)| owner.clone())
    }

    fn start(&mut self, now: Duration, owner: &Owner) -> Action {
        let flow = self.flows.get_mut(owner).expect("chosen from the flows");
        let item = *flow.first().expect("chosen for its requests");
        self.virtual_clock = self.virtual_clock.max(flow.virtual_start);
        flow.virtual_start += flow.virtual_time(item.tokens);
        self.cancel(item.ticket);
        let running = Running {
            owner: owner.clone(),
            tokens: item.tokens,
            started_at: now,
        };
        self.running.insert(item.ticket, running);
        Action::Start {
            ticket: item.ticket,
        }
    }

    /// Removes flows without requests whose virtual start is not ahead of the clock. When the pool
    /// is idle, all flows are removed.
    fn forget_idle_flows(&mut self) {
        if self.running.is_empty() && self.waiting.is_empty() {
            self.flows.clear();
            return;
        }
        let clock = self.virtual_clock;
        self.flows
            .retain(|_, flow| !flow.is_empty() || flow.virtual_start > clock);
    }
}

fn shed_action(ticket: Ticket, reason: Reason, wait: Duration, options: &Options) -> Action {
    Action::Shed {
        ticket,
        reason,
        retry_after: wait.clamp(options.min_retry_after, options.max_retry_after),
    }
}
