//! The waiting requests of one customer at one pool.

use {
    super::{
        event::{Arrival, MAX_PRIORITY, Ticket},
        options::{Mutant, Options},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// How long a long request waits behind short ones under [`Mutant::Starve`].
const STARVE_DELAY: Duration = Duration::from_secs(1 << 32);

/// A waiting request of a flow.
#[derive(Debug, Clone, Copy)]
pub(super) struct Item {
    /// Number of the request at the scheduler.
    pub(super) ticket: Ticket,
    /// Upper bound of the request's size in tokens.
    pub(super) tokens: u64,
    /// Latest time at which the request can start and still meet its deadline.
    pub(super) latest_start: Duration,
    /// Order within the customer: the request with the earliest rank starts first.
    pub(super) rank: Duration,
}

impl Item {
    /// Creates the item of a request that arrives at `now` and, once started, takes `service`.
    ///
    /// The rank is the time of arrival, plus how much later others may arrive and still start
    /// first. It is never before `now`, so a request that arrives after another one's rank does not
    /// overtake it.
    pub(super) fn new(
        now: Duration,
        arrival: &Arrival,
        service: Duration,
        options: &Options,
    ) -> Self {
        let below_max = u32::from(MAX_PRIORITY.saturating_sub(arrival.priority));
        let is_long = options.is_long(arrival.tokens);
        let delay = match (is_long, options.mutant) {
            (false, _) => Duration::ZERO,
            (true, Mutant::Starve) => STARVE_DELAY,
            (true, _) => options.long_request_delay,
        };
        let aged = now + delay + options.priority_step * below_max;
        let latest_start = arrival.deadline.saturating_sub(service);
        Self {
            ticket: arrival.ticket,
            tokens: arrival.tokens,
            latest_start,
            rank: match options.mutant {
                Mutant::Starve => aged,
                _ => aged.min(latest_start).max(now),
            },
        }
    }

    fn key(&self) -> (Duration, Ticket) {
        (self.rank, self.ticket)
    }
}

/// The waiting requests of one customer at one pool.
#[derive(Debug, Clone)]
pub(super) struct Flow {
    /// Weight of the customer in the fair share.
    pub(super) weight: u32,
    /// Virtual time at which the customer's next request starts.
    pub(super) virtual_start: f64,
    /// Tokens of the waiting requests.
    pub(super) waiting_tokens: u64,
    items: BTreeMap<(Duration, Ticket), Item>,
}

impl Flow {
    /// Creates a flow without requests.
    pub(super) fn new(weight: u32, start: f64) -> Self {
        Self {
            weight: weight.max(1),
            virtual_start: start,
            waiting_tokens: 0,
            items: BTreeMap::new(),
        }
    }

    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Virtual time that `tokens` take at the customer's weight.
    pub(super) fn virtual_time(&self, tokens: u64) -> f64 {
        tokens as f64 / f64::from(self.weight)
    }

    /// Tokens of the waiting requests that start before a new request with `rank`.
    pub(super) fn tokens_ahead(&self, rank: Duration) -> u64 {
        let last = (rank, Ticket(u64::MAX));
        self.items.range(..=last).map(|(_, item)| item.tokens).sum()
    }

    pub(super) fn push(&mut self, item: Item) {
        self.waiting_tokens += item.tokens;
        self.items.insert(item.key(), item);
    }

    /// The waiting request that starts next.
    pub(super) fn first(&self) -> Option<&Item> {
        self.items.values().next()
    }

    /// The waiting request that starts last.
    pub(super) fn last(&self) -> Option<&Item> {
        self.items.values().next_back()
    }

    pub(super) fn remove(&mut self, item: &Item) {
        if self.items.remove(&item.key()).is_some() {
            self.waiting_tokens -= item.tokens;
        }
    }

    /// Removes and returns all waiting requests.
    pub(super) fn take_all(&mut self) -> impl Iterator<Item = Item> + use<> {
        self.waiting_tokens = 0;
        std::mem::take(&mut self.items).into_values()
    }
}
