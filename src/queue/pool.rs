//! One pool's queue: start-time fair queueing between customers.

use {
    super::{
        event::{Action, Arrival, Reason, Ticket},
        flow::{Flow, Item},
        options::{Fault, Options},
        speed::Speed,
    },
    crate::name,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Whose requests: a customer's, or those of routes open to all.
pub(super) type Owner = Option<name::Customer>;

/// One pool's queue.
#[derive(Debug, Default)]
pub(super) struct Pool {
    slots: u32,
    clock: f64,
    flows: BTreeMap<Owner, Flow>,
    waiting: BTreeMap<Ticket, (Owner, Item)>,
    latest: BTreeSet<(Duration, Ticket)>,
    running: BTreeMap<Ticket, Running>,
    speed: Speed,
}

#[derive(Debug)]
struct Running {
    owner: Owner,
    tokens: u64,
    since: Duration,
}

impl Pool {
    /// Sets the requests that may run at once.
    pub(super) fn resize(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Requests that wait.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that run.
    pub(super) fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Whether a request runs.
    pub(super) fn runs(&self, ticket: Ticket) -> bool {
        self.running.contains_key(&ticket)
    }

    /// When the next waiting request becomes too late.
    pub(super) fn wake(&self) -> Option<Duration> {
        self.latest.first().map(|(at, _)| *at)
    }

    /// The time that a request of `tokens` takes once started, as far as is known. While slots
    /// are free the estimate isn't trusted, for nothing would run that could correct it.
    fn service(&self, tokens: u64, options: &Options) -> Duration {
        if self.running() < self.slots {
            return Duration::ZERO;
        }
        self.speed.service(tokens, options.is_long(tokens))
    }

    /// The time until `tokens` have started, all slots taken together.
    fn drain(&self, tokens: f64) -> Duration {
        self.speed.drain(tokens, self.slots)
    }

    /// How long a request waits that goes last.
    pub(super) fn backlog(&self) -> Duration {
        self.drain(self.flows.values().map(|flow| flow.tokens as f64).sum())
    }

    /// How long a new request of `owner` waits: until its customer's share has got through what
    /// goes before it, or until everything has.
    fn wait(&self, owner: &Owner, weight: u32, rank: Duration) -> Duration {
        let backlogged = self.flows.values().filter(|flow| !flow.is_empty());
        let total: u64 = backlogged.clone().map(|flow| flow.tokens).sum();
        let weights: u32 = backlogged.map(|flow| flow.weight).sum();
        let flow = self.flows.get(owner).filter(|flow| !flow.is_empty());
        let ahead = flow.map_or(0, |flow| flow.ahead(rank)) as f64;
        let weights = weights + if flow.is_some() { 0 } else { weight };
        let shared = ahead * f64::from(weights) / f64::from(weight.max(1));
        self.drain(shared.min(total as f64))
    }

    /// Takes in a request; it waits, or is shed, or pushes another one out.
    pub(super) fn arrive(
        &mut self,
        now: Duration,
        arrival: Arrival,
        options: &Options,
        out: &mut Vec<Action>,
    ) {
        let owner = arrival.customer.clone();
        let service = self.service(arrival.tokens, options);
        let item = Item::new(now, &arrival, service, options);
        let wait = self.wait(&owner, arrival.weight, item.rank);
        let late = arrival.deadline <= now || now + wait > item.latest;
        if late {
            out.push(shed(item.ticket, Reason::Late, wait, options));
            return;
        }
        self.enqueue(owner.clone(), arrival.weight, item);
        self.trim(&owner, wait, options, out);
    }

    fn enqueue(&mut self, owner: Owner, weight: u32, item: Item) {
        let clock = self.clock;
        let flow = self
            .flows
            .entry(owner.clone())
            .or_insert_with(|| Flow::new(weight, clock));
        flow.weight = weight.max(1);
        if flow.is_empty() {
            flow.start = flow.start.max(clock);
        }
        flow.push(item);
        self.latest.insert((item.latest, item.ticket));
        self.waiting.insert(item.ticket, (owner, item));
    }

    /// Holds the bounds after an arrival of `owner`.
    fn trim(&mut self, owner: &Owner, wait: Duration, options: &Options, out: &mut Vec<Action>) {
        let flow = &self.flows[owner];
        if flow.len() > options.waiting_each {
            let last = flow.last().map(|item| item.ticket);
            self.push_out(last, Reason::CustomerFull, wait, options, out);
        } else if self.waiting.len() > options.waiting {
            let most = self.flows.values().max_by(|one, other| {
                let size = |flow: &Flow| flow.stretch(flow.tokens);
                size(one).total_cmp(&size(other))
            });
            let last = most.and_then(Flow::last).map(|item| item.ticket);
            self.push_out(last, Reason::Full, wait, options, out);
        }
    }

    fn push_out(
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
        out.push(shed(ticket, reason, wait, options));
    }

    /// Removes a waiting request.
    pub(super) fn cancel(&mut self, ticket: Ticket) {
        let Some((owner, item)) = self.waiting.remove(&ticket) else {
            return;
        };
        self.latest.remove(&(item.latest, ticket));
        if let Some(flow) = self.flows.get_mut(&owner) {
            flow.remove(&item);
        }
    }

    /// Sheds all waiting requests of a customer.
    pub(super) fn withdraw(&mut self, owner: &Owner, out: &mut Vec<Action>) {
        let Some(flow) = self.flows.get_mut(owner) else {
            return;
        };
        for item in flow.clear() {
            self.waiting.remove(&item.ticket);
            self.latest.remove(&(item.latest, item.ticket));
            out.push(Action::Shed {
                ticket: item.ticket,
                reason: Reason::Withdrawn,
                retry_after: Duration::ZERO,
            });
        }
    }

    /// Takes note that a request has ended: its slot is free, and its customer is charged what it
    /// took in fact.
    pub(super) fn done(&mut self, now: Duration, ticket: Ticket, tokens: u64, options: &Options) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        let took = now.saturating_sub(running.since);
        if tokens > 0 {
            let long = options.is_long(running.tokens);
            self.speed.learn(running.tokens, long, took);
        }
        if let Some(flow) = self.flows.get_mut(&running.owner) {
            flow.start += flow.stretch(tokens) - flow.stretch(running.tokens);
        }
    }

    /// Sheds what can no longer meet its deadline and starts what there are slots for.
    pub(super) fn advance(&mut self, now: Duration, options: &Options, out: &mut Vec<Action>) {
        while let Some((_, ticket)) = self.latest.first().filter(|(latest, _)| *latest < now) {
            let ticket = *ticket;
            let wait = self.backlog();
            self.push_out(Some(ticket), Reason::Late, wait, options, out);
        }
        let slots = match options.fault {
            Fault::Overrun => self.slots + 1,
            Fault::Idle => self.slots.saturating_sub(1),
            _ => self.slots,
        };
        while self.running() < slots {
            let Some(owner) = self.next(options.fault) else {
                break;
            };
            out.push(self.start(now, &owner));
        }
        self.forget();
    }

    /// The customer whose request starts next.
    fn next(&self, fault: Fault) -> Option<Owner> {
        if fault == Fault::Unfair {
            return self.waiting.values().next().map(|(owner, _)| owner.clone());
        }
        self.flows
            .iter()
            .filter(|(_, flow)| !flow.is_empty())
            .min_by(|(_, one), (_, other)| one.start.total_cmp(&other.start))
            .map(|(owner, _)| owner.clone())
    }

    fn start(&mut self, now: Duration, owner: &Owner) -> Action {
        let flow = self.flows.get_mut(owner).expect("chosen from the flows");
        let item = *flow.first().expect("chosen for its requests");
        self.clock = self.clock.max(flow.start);
        flow.start += flow.stretch(item.tokens);
        self.cancel(item.ticket);
        let running = Running {
            owner: owner.clone(),
            tokens: item.tokens,
            since: now,
        };
        self.running.insert(item.ticket, running);
        Action::Start {
            ticket: item.ticket,
        }
    }

    /// Forgets customers that are owed nothing. Once the pool is idle, none is.
    fn forget(&mut self) {
        if self.running.is_empty() && self.waiting.is_empty() {
            self.flows.clear();
            return;
        }
        let clock = self.clock;
        self.flows
            .retain(|_, flow| !flow.is_empty() || flow.start > clock);
    }
}

fn shed(ticket: Ticket, reason: Reason, wait: Duration, options: &Options) -> Action {
    Action::Shed {
        ticket,
        reason,
        retry_after: wait.clamp(options.retry_at_least, options.retry_at_most),
    }
}
