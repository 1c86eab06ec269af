//! State machine that limits the rate of each customer at one host. It holds the host's token
//! buckets, its loans from and to other hosts, and its part in the lease of the region's pool.
//!
//! It reads no clock and does no I/O: the service passes in the time, the events and the requests,
//! and carries out the actions.

use {
    super::{
        account::{Account, Share, Ticket},
        event::{Action, Event, Mutant, Report, Setup, Verdict},
        lease::Lease,
        loan::Loan,
        message::{Id, Message},
        plan::{Allocation, Mode, Plan, Quota},
    },
    crate::{machine::Machine, name},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// An ask that has not been answered.
#[derive(Debug, Clone)]
pub(super) struct PendingAsk {
    pub(super) lender: name::Host,
    pub(super) asked_at: Duration,
}

/// Shortest and longest `retry_after` of a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Limiter of all customers' rates at one host.
#[derive(Debug)]
pub struct Limiter {
    pub(super) setup: Setup,
    pub(super) plan: Plan,
    pub(super) allocation: Allocation,
    /// Time at which the parts that a new plan enlarges come into use.
    increases_at: Option<Duration>,
    pub(super) accounts: BTreeMap<name::Customer, Account>,
    pub(super) members: BTreeMap<name::Host, name::Region>,
    /// Hosts of `members` by region.
    pub(super) hosts_by_region: BTreeMap<name::Region, Vec<name::Host>>,
    /// Last known holder of each region's lease.
    pub(super) leaseholders: BTreeMap<name::Region, name::Host>,
    pub(super) lent: BTreeMap<Id, Loan>,
    pub(super) borrowed: BTreeMap<Id, Loan>,
    pub(super) pending_asks: BTreeMap<Id, PendingAsk>,
    /// Time before which each host is not asked, and the wait that led to it.
    pub(super) backoffs: BTreeMap<name::Host, (Duration, Duration)>,
    /// Customers whose capacity has become scarce since the last recall.
    pub(super) newly_scarce: BTreeSet<name::Customer>,
    pub(super) lease: Lease,
    /// Time from which this host waits for its turn to poll for a free lease.
    pub(super) lease_free_at: Duration,
    /// Whether this process uses a standing part of its own.
    pub(super) is_seated: bool,
    /// End of the quarantine after the start or after a pause.
    quarantine_until: Duration,
    /// Earliest time at which this process may use a standing part.
    seat_due_at: Duration,
    /// Whether more processes run in the region than the plan allows, so that this one has no part.
    is_over_plan: bool,
    pub(super) is_draining: bool,
    /// Raised with each choice of lenders, to rotate them.
    pub(super) lender_cursor: usize,
    sequence: u64,
    last_call_at: Duration,
    /// Earliest end of a loan or of the lease.
    next_expiry: Duration,
    pending_reports: Vec<Report>,
}

impl Machine for Limiter {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.advance(now);
        let mut actions = match event {
            Event::Tick => self.tick(now),
            Event::Received { from, message } => self.receive(now, from, message),
            Event::Members(members) => self.set_members(members),
            Event::Configured { plan, quotas } => self.configure(now, plan, quotas),
            Event::Drain => self.drain(now),
        };
        self.next_expiry = self.earliest_expiry();
        actions.extend(self.pending_reports.drain(..).map(Action::Report));
        actions
    }
}

impl Limiter {
    /// Creates the limiter of a process that starts at `now`, without any capacity.
    pub fn new(now: Duration, setup: Setup) -> Self {
        let quarantine = setup.timing.quarantine();
        let seat_due_at = match setup.mutant {
            Some(Mutant::SkipQuarantine) => now,
            _ => now + quarantine,
        };
        Self {
            setup,
            plan: Plan::default(),
            allocation: Allocation::NONE,
            increases_at: None,
            accounts: BTreeMap::new(),
            members: BTreeMap::new(),
            hosts_by_region: BTreeMap::new(),
            leaseholders: BTreeMap::new(),
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            pending_asks: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            newly_scarce: BTreeSet::new(),
            lease: Lease::default(),
            lease_free_at: seat_due_at,
            is_seated: false,
            quarantine_until: seat_due_at,
            seat_due_at,
            is_over_plan: false,
            is_draining: false,
            lender_cursor: 0,
            sequence: 0,
            last_call_at: now,
            next_expiry: Duration::MAX,
            pending_reports: Vec::new(),
        }
    }

    /// Admits a request and charges `tokens`, its worst-case cost, if the customer's bucket at this
    /// host has them.
    pub fn admit(&mut self, now: Duration, customer: &name::Customer, tokens: f64) -> Verdict {
        if self.mutant() != Some(Mutant::SkipClockCheck) {
            self.advance(now);
        }
        let drift = self.setup.timing.max_clock_drift;
        let Some(account) = self.accounts.get_mut(customer) else {
            return Verdict::UnknownCustomer;
        };
        if tokens > account.quota.burst {
            let burst = account.quota.burst;
            return Verdict::TooLarge { burst };
        }
        account.refill(now, drift);
        account.demand.record_request(now, tokens);
        if let Some(ticket) = account.charge(customer, tokens) {
            account.demand.record_admission(tokens);
            return Verdict::Admitted(ticket);
        }
        account.demand.record_refusal(tokens);
        Verdict::Refused {
            retry_after: retry_after(account, tokens),
        }
    }

    /// Settles an admitted request with the tokens that it used.
    pub fn settle(&mut self, now: Duration, ticket: Ticket, used: f64) {
        self.advance(now);
        let drift = self.setup.timing.max_clock_drift;
        let refunds_in_full = self.mutant() == Some(Mutant::RefundInFull);
        let Some(account) = self.accounts.get_mut(&ticket.customer) else {
            return;
        };
        account.refill(now, drift);
        if refunds_in_full {
            account.level += (ticket.charged - used).max(0.0);
            account.clamp_to_depth();
            return;
        }
        account.refund(&ticket, used);
    }

    /// Capacity of a customer that this host may use, and the tokens in its bucket, as of the last
    /// event.
    pub fn share(&self, customer: &name::Customer) -> Option<(Share, f64)> {
        let account = self.accounts.get(customer)?;
        Some((account.usable(), account.level))
    }

    /// Whether this process uses a standing part of its own.
    pub fn is_seated(&self) -> bool {
        self.is_seated
    }

    /// Capacity of each customer that this host may use, and the tokens in its bucket, as of the
    /// last event.
    pub fn shares(&self) -> impl Iterator<Item = (&name::Customer, Share, f64)> {
        self.accounts
            .iter()
            .map(|(customer, account)| (customer, account.usable(), account.level))
    }

    /// Whether the quarantine is over: this process has its standing part, or the plan has no room
    /// for it and it only uses loans.
    pub fn is_ready(&self) -> bool {
        self.is_seated || self.is_over_plan
    }

    /// Whether this host holds its region's lease.
    pub fn holds_lease(&self) -> bool {
        self.lease.held_until.is_some()
    }

    /// Numbers of borrowed and lent loans that have not ended.
    pub fn loan_counts(&self) -> (usize, usize) {
        (self.borrowed.len(), self.lent.len())
    }

    pub(super) fn mutant(&self) -> Option<Mutant> {
        self.setup.mutant
    }

    pub(super) fn next_id(&mut self) -> Id {
        self.sequence += 1;
        Id {
            incarnation: self.setup.incarnation,
            sequence: self.sequence,
        }
    }

    /// Expires the loans and the lease that end by `now`, in the order of their ends, and detects
    /// pauses of the process.
    fn advance(&mut self, now: Duration) {
        let paused_for = now.saturating_sub(self.last_call_at);
        self.last_call_at = self.last_call_at.max(now);
        while self.next_expiry <= now {
            let due = self.next_expiry;
            self.expire_borrowed(due);
            self.expire_lent(due);
            self.expire_lease(due);
            self.next_expiry = self.earliest_expiry();
        }
        if paused_for >= self.setup.timing.quarantine() {
            self.resume_after_pause(now, paused_for);
        }
    }

    fn earliest_expiry(&self) -> Duration {
        let loans = self.borrowed.values().chain(self.lent.values());
        loans
            .map(|loan| loan.ends_at)
            .chain(self.lease.held_until)
            .min()
            .unwrap_or(Duration::MAX)
    }

    /// Starts over with a quarantine, since a process that was paused may have been replaced.
    fn resume_after_pause(&mut self, now: Duration, paused_for: Duration) {
        self.pending_reports.push(Report::Resumed { paused_for });
        self.is_seated = false;
        self.seat_due_at = now + self.setup.timing.quarantine();
        self.quarantine_until = self.seat_due_at;
        self.pending_asks.clear();
        self.lease.resign();
        self.apply_allocation(now);
        self.accounts.values_mut().for_each(Account::empty);
    }

    fn expire_lease(&mut self, due: Duration) {
        if self.lease.held_until.is_none_or(|until| until > due) {
            return;
        }
        self.lease.resign();
        self.lease_free_at = due;
        self.pending_reports.push(Report::LeaseLost);
        self.apply_allocation(due);
    }

    /// Sets each account's own part: the standing part, if this process has one, and the pooled
    /// part, if it holds the lease.
    pub(super) fn apply_allocation(&mut self, now: Duration) {
        let standing = if self.is_seated {
            self.allocation.standing_fraction
        } else {
            0.0
        };
        let pool = match self.lease.held_until {
            Some(_) => self.allocation.pool_fraction,
            None => 0.0,
        };
        let drift = self.setup.timing.max_clock_drift;
        for account in self.accounts.values_mut() {
            account.refill(now, drift);
            account.own = account.quota.part(standing + pool);
            account.clamp_to_depth();
        }
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.end_increase_delay(now);
        self.try_seat(now);
        for account in self.accounts.values_mut() {
            account.refill(now, self.setup.timing.max_clock_drift);
            account.demand.decay(now);
        }
        let mut actions = self.poll_for_lease(now);
        if self.setup.mode != Mode::Static {
            actions.extend(self.borrow(now));
        }
        actions
    }

    /// Takes up the standing part once the quarantine is over, if the plan has room for this
    /// process.
    fn try_seat(&mut self, now: Duration) {
        if self.is_seated || self.is_draining || self.plan.regions.is_empty() {
            return;
        }
        let running = 1 + self.region_peers().count();
        let max_processes = self.allocation.max_processes;
        if running > max_processes as usize {
            if now >= self.quarantine_until && !self.is_over_plan {
                self.pending_reports.push(Report::OverPlan {
                    running,
                    max_processes,
                });
                self.is_over_plan = true;
            }
            // The loans and promises of a process that stops now must end first.
            self.seat_due_at = now + self.setup.timing.quarantine();
            return;
        }
        if now < self.seat_due_at {
            return;
        }
        self.is_over_plan = false;
        self.is_seated = true;
        self.lease_free_at = now;
        self.pending_reports.push(Report::Seated);
        self.apply_allocation(now);
        if self.mutant() == Some(Mutant::StartFull) {
            for account in self.accounts.values_mut() {
                account.level = account.usable().depth;
            }
        }
    }

    fn receive(&mut self, now: Duration, from: name::Host, message: Message) -> Vec<Action> {
        match message {
            Message::Ask(ask) => self.receive_ask(now, from, ask),
            Message::Grant(grant) => self.receive_grant(now, from, grant),
            Message::Return(returned) => self.receive_return(now, from, returned),
            Message::Recall(recall) => self.receive_recall(now, recall),
            Message::Poll(poll) => self.receive_poll(now, from, poll),
            Message::Vote(vote) => self.receive_vote(now, from, vote),
        }
    }

    fn set_members(&mut self, members: BTreeMap<name::Host, name::Region>) -> Vec<Action> {
        if members == self.members {
            return Vec::new();
        }
        self.backoffs.retain(|host, _| members.contains_key(host));
        self.leaseholders
            .retain(|_, host| members.contains_key(host));
        self.hosts_by_region.clear();
        for (host, region) in &members {
            let hosts = self.hosts_by_region.entry(region.clone()).or_default();
            hosts.push(host.clone());
        }
        self.members = members;
        Vec::new()
    }

    fn configure(
        &mut self,
        now: Duration,
        plan: Plan,
        quotas: BTreeMap<name::Customer, Quota>,
    ) -> Vec<Action> {
        if plan != self.plan {
            self.change_plan(now, plan);
        }
        for account in self.accounts.values_mut() {
            account.refill(now, self.setup.timing.max_clock_drift);
        }
        let no_quota = Quota {
            rate: 0.0,
            burst: 0.0,
        };
        for (customer, account) in &mut self.accounts {
            account.quota = quotas.get(customer).copied().unwrap_or(no_quota);
        }
        for (customer, quota) in quotas {
            self.accounts
                .entry(customer)
                .or_insert_with(|| Account::new(now, quota));
        }
        self.accounts
            .retain(|_, account| account.quota != no_quota || account.has_loans());
        self.apply_allocation(now);
        Vec::new()
    }

    /// Installs a plan. The first one applies at once. Of a later one, the parts that it reduces
    /// apply at once, and those that it enlarges after a delay, since other hosts may still use the
    /// old plan.
    fn change_plan(&mut self, now: Duration, plan: Plan) {
        let allocation = Allocation::new(&plan, &self.setup.region, self.setup.mode);
        let is_first = self.plan.regions.is_empty();
        self.plan = plan;
        if is_first || self.mutant() == Some(Mutant::SkipIncreaseDelay) {
            self.allocation = allocation;
            return;
        }
        self.allocation = self.allocation.strictest(allocation);
        self.increases_at = Some(now + self.setup.timing.increase_delay);
    }

    fn end_increase_delay(&mut self, now: Duration) {
        if self.increases_at.is_none_or(|until| now < until) {
            return;
        }
        self.increases_at = None;
        self.allocation = Allocation::new(&self.plan, &self.setup.region, self.setup.mode);
        self.apply_allocation(now);
    }

    /// Returns all loans and stops asking for new ones.
    fn drain(&mut self, now: Duration) -> Vec<Action> {
        self.is_draining = true;
        self.pending_asks.clear();
        let all = Share {
            rate: f64::MAX,
            depth: f64::MAX,
        };
        self.return_surplus(now, |_| all)
    }
}

/// Time in which the bucket refills to `tokens`, or `MIN_RETRY_AFTER` when only a loan can provide
/// them.
fn retry_after(account: &Account, tokens: f64) -> Duration {
    let usable = account.usable();
    if tokens > usable.depth || usable.rate <= 0.0 {
        return MIN_RETRY_AFTER;
    }
    let seconds = (tokens - account.level) / usable.rate;
    Duration::try_from_secs_f64(seconds)
        .unwrap_or(MAX_RETRY_AFTER)
        .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
