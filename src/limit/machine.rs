//! The state machine of one host.

use {
    super::{
        account::{Account, Share, Ticket},
        event::{Action, Event, Fault, Report, Setup, Verdict},
        lease::Lease,
        loan::Loan,
        message::{Id, Message},
        plan::{Cut, Plan, Quota, Way},
    },
    crate::{machine::Machine, name},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// An ask that waits for its grant.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub(super) lender: name::Host,
    pub(super) asked: Duration,
}

/// Shortest and longest time after which a refused caller is told to come back.
const RETRY_MIN: Duration = Duration::from_millis(200);
const RETRY_MAX: Duration = Duration::from_secs(60);

/// The limit as one host keeps it, for all customers.
#[derive(Debug)]
pub struct Limit {
    pub(super) setup: Setup,
    pub(super) plan: Plan,
    pub(super) cut: Cut,
    /// Until when a change of plan holds back what it enlarges.
    held: Option<Duration>,
    pub(super) accounts: BTreeMap<name::Customer, Account>,
    pub(super) members: BTreeMap<name::Host, name::Region>,
    /// The members by region.
    pub(super) regions: BTreeMap<name::Region, Vec<name::Host>>,
    pub(super) holders: BTreeMap<name::Region, name::Host>,
    pub(super) lent: BTreeMap<Id, Loan>,
    pub(super) borrowed: BTreeMap<Id, Loan>,
    pub(super) pending: BTreeMap<Id, Pending>,
    pub(super) backoff: BTreeMap<name::Host, (Duration, Duration)>,
    /// Customers whose capacity has just become scarce here.
    pub(super) recalls: BTreeSet<name::Customer>,
    pub(super) lease: Lease,
    pub(super) lease_free: Duration,
    pub(super) seated: bool,
    /// When the quarantine after the start or after a pause ends.
    fresh_until: Duration,
    seat_at: Duration,
    crowded: bool,
    pub(super) draining: bool,
    pub(super) cursor: usize,
    sequence: u64,
    seen: Duration,
    due: Duration,
    reports: Vec<Report>,
}

impl Machine for Limit {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.advance(now);
        let mut actions = match event {
            Event::Tick => self.tick(now),
            Event::Received { from, message } => self.receive(now, from, message),
            Event::Members(members) => self.meet(members),
            Event::Configured { plan, quotas } => self.configure(now, plan, quotas),
            Event::Drain => self.drain(now),
        };
        self.due = self.next_due();
        actions.extend(self.reports.drain(..).map(Action::Report));
        actions
    }
}

impl Limit {
    /// A process that starts at `now`: it holds nothing.
    pub fn new(now: Duration, setup: Setup) -> Self {
        let quarantine = setup.timing.quarantine();
        let seat_at = match setup.fault {
            Some(Fault::SkipQuarantine) => now,
            _ => now + quarantine,
        };
        Self {
            setup,
            plan: Plan::default(),
            cut: Cut::NONE,
            held: None,
            accounts: BTreeMap::new(),
            members: BTreeMap::new(),
            regions: BTreeMap::new(),
            holders: BTreeMap::new(),
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            pending: BTreeMap::new(),
            backoff: BTreeMap::new(),
            recalls: BTreeSet::new(),
            lease: Lease::default(),
            lease_free: seat_at,
            seated: false,
            fresh_until: seat_at,
            seat_at,
            crowded: false,
            draining: false,
            cursor: 0,
            sequence: 0,
            seen: now,
            due: Duration::MAX,
            reports: Vec::new(),
        }
    }

    /// Charges a request at its worst case, if the customer's tokens at this host allow.
    pub fn admit(&mut self, now: Duration, customer: &name::Customer, tokens: f64) -> Verdict {
        if self.fault() != Some(Fault::SkipFence) {
            self.advance(now);
        }
        let drift = self.setup.timing.drift;
        let Some(account) = self.accounts.get_mut(customer) else {
            return Verdict::Unknown;
        };
        if tokens > account.quota.burst {
            let burst = account.quota.burst;
            return Verdict::TooLarge { burst };
        }
        account.refill(now, drift);
        account.demand.offer(now, tokens);
        if let Some(ticket) = account.charge(customer, tokens) {
            account.demand.admit(tokens);
            return Verdict::Admitted(ticket);
        }
        account.demand.refuse(tokens);
        Verdict::Refused {
            retry_after: retry_after(account, tokens),
        }
    }

    /// Settles an admitted request at what it used.
    pub fn settle(&mut self, now: Duration, ticket: Ticket, used: f64) {
        self.advance(now);
        let drift = self.setup.timing.drift;
        let trusting = self.fault() == Some(Fault::TrustRefund);
        let Some(account) = self.accounts.get_mut(&ticket.customer) else {
            return;
        };
        account.refill(now, drift);
        if trusting {
            account.level += (ticket.charged - used).max(0.0);
            account.clip();
            return;
        }
        account.refund(&ticket, used);
    }

    /// What this host may use of a customer's capacity now, and the tokens in its bucket.
    pub fn share(&self, customer: &name::Customer) -> Option<(Share, f64)> {
        let account = self.accounts.get(customer)?;
        Some((account.held(), account.level))
    }

    /// Whether the process uses its standing part.
    pub fn seated(&self) -> bool {
        self.seated
    }

    /// What this host may use of each customer's capacity, as of the last event.
    pub fn shares(&self) -> impl Iterator<Item = (&name::Customer, Share, f64)> {
        self.accounts
            .iter()
            .map(|(customer, account)| (customer, account.held(), account.level))
    }

    /// Whether the quarantine is over: the process has its standing part, or the plan has no room
    /// for it and it lives on loans.
    pub fn ready(&self) -> bool {
        self.seated || self.crowded
    }

    /// Whether this host holds its region's lease.
    pub fn leased(&self) -> bool {
        self.lease.until.is_some()
    }

    /// Loans that run: borrowed and lent.
    pub fn loans(&self) -> (usize, usize) {
        (self.borrowed.len(), self.lent.len())
    }

    pub(super) fn fault(&self) -> Option<Fault> {
        self.setup.fault
    }

    pub(super) fn next_id(&mut self) -> Id {
        self.sequence += 1;
        Id {
            incarnation: self.setup.incarnation,
            sequence: self.sequence,
        }
    }

    /// Everything that time alone brings: ends of loans and of the lease, in their order.
    fn advance(&mut self, now: Duration) {
        let slept = now.saturating_sub(self.seen);
        self.seen = self.seen.max(now);
        while self.due <= now {
            let due = self.due;
            self.end_borrowed(due);
            self.end_lent(due);
            self.end_lease(due);
            self.due = self.next_due();
        }
        if slept >= self.setup.timing.quarantine() {
            self.wake(now, slept);
        }
    }

    fn next_due(&self) -> Duration {
        let loans = self.borrowed.values().chain(self.lent.values());
        loans
            .map(|loan| loan.until)
            .chain(self.lease.until)
            .min()
            .unwrap_or(Duration::MAX)
    }

    /// A process that slept may have been replaced: it starts anew.
    fn wake(&mut self, now: Duration, slept: Duration) {
        self.reports.push(Report::Woke { slept });
        self.seated = false;
        self.seat_at = now + self.setup.timing.quarantine();
        self.fresh_until = self.seat_at;
        self.pending.clear();
        self.lease.resign();
        self.recut(now);
        self.accounts.values_mut().for_each(Account::empty);
    }

    fn end_lease(&mut self, due: Duration) {
        if self.lease.until.is_none_or(|until| until > due) {
            return;
        }
        self.lease.resign();
        self.lease_free = due;
        self.reports.push(Report::Unleased);
        self.recut(due);
    }

    /// Sets each account's own part from the seat, the lease and the plan.
    pub(super) fn recut(&mut self, now: Duration) {
        let standing = if self.seated { self.cut.standing } else { 0.0 };
        let pool = match self.lease.until {
            Some(_) => self.cut.pool,
            None => 0.0,
        };
        let drift = self.setup.timing.drift;
        for account in self.accounts.values_mut() {
            account.refill(now, drift);
            account.own = account.quota.part(standing + pool);
            account.clip();
        }
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.unhold(now);
        self.take_seat(now);
        for account in self.accounts.values_mut() {
            account.refill(now, self.setup.timing.drift);
            account.demand.decay(now);
        }
        let mut actions = self.elect(now);
        if self.setup.way != Way::Static {
            actions.extend(self.borrow(now));
        }
        actions
    }

    fn take_seat(&mut self, now: Duration) {
        if self.seated || self.draining || self.plan.regions.is_empty() {
            return;
        }
        let running = 1 + self.neighbours().count();
        let hosts = self.cut.hosts;
        if running > hosts as usize {
            if now >= self.fresh_until && !self.crowded {
                self.reports.push(Report::Crowded { running, hosts });
                self.crowded = true;
            }
            // What a process that goes now has lent or promised must end first.
            self.seat_at = now + self.setup.timing.quarantine();
            return;
        }
        if now < self.seat_at {
            return;
        }
        self.crowded = false;
        self.seated = true;
        self.lease_free = now;
        self.reports.push(Report::Seated);
        self.recut(now);
        if self.fault() == Some(Fault::FullStart) {
            for account in self.accounts.values_mut() {
                account.level = account.held().depth;
            }
        }
    }

    fn receive(&mut self, now: Duration, from: name::Host, message: Message) -> Vec<Action> {
        match message {
            Message::Ask(ask) => self.lend(now, from, ask),
            Message::Grant(grant) => self.accept(now, from, grant),
            Message::Return(given) => self.regain(now, from, given),
            Message::Recall(recall) => self.recalled(now, recall),
            Message::Poll(poll) => self.vote(now, from, poll),
            Message::Vote(vote) => self.count(now, from, vote),
        }
    }

    fn meet(&mut self, members: BTreeMap<name::Host, name::Region>) -> Vec<Action> {
        if members == self.members {
            return Vec::new();
        }
        self.backoff.retain(|host, _| members.contains_key(host));
        self.holders.retain(|_, host| members.contains_key(host));
        self.regions.clear();
        for (host, region) in &members {
            let hosts = self.regions.entry(region.clone()).or_default();
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
            self.replan(now, plan);
        }
        for account in self.accounts.values_mut() {
            account.refill(now, self.setup.timing.drift);
        }
        let gone = Quota {
            rate: 0.0,
            burst: 0.0,
        };
        for (customer, account) in &mut self.accounts {
            account.quota = quotas.get(customer).copied().unwrap_or(gone);
        }
        for (customer, quota) in quotas {
            self.accounts
                .entry(customer)
                .or_insert_with(|| Account::new(now, quota));
        }
        self.accounts
            .retain(|_, account| account.quota != gone || account.busy());
        self.recut(now);
        Vec::new()
    }

    fn replan(&mut self, now: Duration, plan: Plan) {
        let cut = Cut::new(&plan, &self.setup.region, self.setup.way);
        let first = self.plan.regions.is_empty();
        self.plan = plan;
        if first || self.fault() == Some(Fault::SkipHold) {
            self.cut = cut;
            return;
        }
        self.cut = self.cut.meet(cut);
        self.held = Some(now + self.setup.timing.hold);
    }

    fn unhold(&mut self, now: Duration) {
        if self.held.is_none_or(|until| now < until) {
            return;
        }
        self.held = None;
        self.cut = Cut::new(&self.plan, &self.setup.region, self.setup.way);
        self.recut(now);
    }

    fn drain(&mut self, now: Duration) -> Vec<Action> {
        self.draining = true;
        self.pending.clear();
        let all = Share {
            rate: f64::MAX,
            depth: f64::MAX,
        };
        self.give_back(now, |_| all)
    }
}

/// When the account may have the tokens by itself, or a loan may have come.
fn retry_after(account: &Account, tokens: f64) -> Duration {
    let held = account.held();
    if tokens > held.depth || held.rate <= 0.0 {
        return RETRY_MIN;
    }
    let seconds = (tokens - account.level) / held.rate;
    Duration::try_from_secs_f64(seconds)
        .unwrap_or(RETRY_MAX)
        .clamp(RETRY_MIN, RETRY_MAX)
}
