//! Borrower side of loans: which capacity to ask for, which hosts to ask, and what to renew and
//! return.

use {
    super::{
        account::{Account, Share},
        event::{Action, Mutant},
        loan::Loan,
        machine::{Limiter, PendingAsk},
        message::{Ask, Grant, Id, Item, Message, Recall, Return, Want},
    },
    crate::name,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Maximum number of hosts asked for new loans in one tick.
const MAX_ASKS_PER_TICK: usize = 8;
/// Maximum number of customers in one ask.
const MAX_WANTS_PER_ASK: usize = 64;
/// Factor by which the asks of one tick exceed the shortfall, since some hosts lend nothing.
const OVERASK_FACTOR: f64 = 2.0;
/// Maximum wait before a host that lent nothing is asked again.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Smallest fraction of a quota that is asked for.
const MIN_ASK_FRACTION: f64 = 0.0001;
/// Smallest fraction of a loan that is returned.
const MIN_RETURN_FRACTION: f64 = 0.05;

impl Limiter {
    /// Returns surplus capacity, renews loans in use and asks for new ones.
    pub(super) fn borrow(&mut self, now: Duration) -> Vec<Action> {
        let timeout = self.setup.timing.ask_timeout;
        self.pending_asks
            .retain(|_, pending| now < pending.asked_at + timeout);
        if self.is_draining {
            return Vec::new();
        }
        let mut actions = self.return_surplus(now, Account::surplus);
        let mut asks = self.due_renewals(now);
        let wants = self.wants();
        if !wants.is_empty() {
            let lenders = self.choose_lenders(now);
            let ask_fraction = (OVERASK_FACTOR / lenders.len().max(1) as f64).min(1.0);
            for lender in lenders {
                self.back_off(now, &lender);
                let ask = asks.entry(lender).or_default();
                ask.1 = scaled(&wants, ask_fraction);
            }
        }
        for (lender, (renew, wants)) in asks {
            actions.push(self.send_ask(now, lender, renew, wants));
        }
        actions
    }

    fn send_ask(
        &mut self,
        now: Duration,
        lender: name::Host,
        renew: Vec<Id>,
        wants: Vec<Want>,
    ) -> Action {
        let id = self.next_id();
        let pending_ask = PendingAsk {
            lender: lender.clone(),
            asked_at: now,
        };
        self.pending_asks.insert(id, pending_ask);
        Action::Send {
            to: lender,
            message: Message::Ask(Ask { id, renew, wants }),
        }
    }

    /// Loans past half their term, by lender, without lenders that have a pending ask.
    fn due_renewals(&self, now: Duration) -> BTreeMap<name::Host, (Vec<Id>, Vec<Want>)> {
        let half_term = self.setup.timing.loan_term / 2;
        let asked_hosts: BTreeSet<&name::Host> = self
            .pending_asks
            .values()
            .map(|pending| &pending.lender)
            .collect();
        let mut renewals = BTreeMap::<name::Host, (Vec<Id>, Vec<Want>)>::new();
        let due = self
            .borrowed
            .iter()
            .filter(|(_, loan)| loan.ends_at < now + half_term)
            .filter(|(_, loan)| !asked_hosts.contains(&loan.peer));
        for (id, loan) in due {
            renewals.entry(loan.peer.clone()).or_default().0.push(*id);
        }
        renewals
    }

    fn wants(&self) -> Vec<Want> {
        let mut wants: Vec<(f64, Want)> = self
            .accounts
            .iter()
            .filter_map(|(customer, account)| {
                let want = account.shortfall();
                let part = (want.rate / account.quota.rate).max(want.depth / account.quota.burst);
                let want = Want {
                    customer: customer.clone(),
                    rate: want.rate,
                    depth: want.depth,
                };
                (part > MIN_ASK_FRACTION).then_some((part, want))
            })
            .collect();
        wants.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        wants.truncate(MAX_WANTS_PER_ASK);
        wants.into_iter().map(|(_, want)| want).collect()
    }

    /// Hosts to ask now: the leaseholder of this region; while it cannot be asked, the region's
    /// other hosts; then the leaseholder or one host of each other region.
    fn choose_lenders(&mut self, now: Duration) -> Vec<name::Host> {
        self.lender_cursor = self.lender_cursor.wrapping_add(1);
        let asked_hosts: BTreeSet<&name::Host> = self
            .pending_asks
            .values()
            .map(|pending| &pending.lender)
            .collect();
        let can_ask = |host: &&name::Host| {
            let is_backed_off = self
                .backoffs
                .get(*host)
                .is_some_and(|(until, _)| now < *until);
            !is_backed_off && !asked_hosts.contains(host) && **host != self.setup.host
        };
        let own = &self.setup.region;
        let holder = self.lease.promised_host(now).or(self.leaseholders.get(own));
        if let Some(holder) = holder.filter(can_ask) {
            return vec![holder.clone()];
        }
        let region_hosts: Vec<&name::Host> = self.region_peers().filter(can_ask).collect();
        if !region_hosts.is_empty() {
            return self.rotated(region_hosts);
        }
        let remote_hosts = self
            .hosts_by_region
            .iter()
            .filter(|(region, _)| *region != own);
        let remote_hosts = remote_hosts.filter_map(|(region, hosts)| {
            self.leaseholders
                .get(region)
                .filter(can_ask)
                .or_else(|| hosts.get(self.lender_cursor % hosts.len()).filter(can_ask))
        });
        self.rotated(remote_hosts.collect())
    }

    /// At most `MAX_ASKS_PER_TICK` of the hosts, starting at a different one in each tick.
    fn rotated(&self, hosts: Vec<&name::Host>) -> Vec<name::Host> {
        let first = match hosts.len() > MAX_ASKS_PER_TICK {
            true => self.lender_cursor % hosts.len(),
            false => 0,
        };
        let rotated = hosts.iter().skip(first).chain(&hosts);
        rotated
            .take(hosts.len().min(MAX_ASKS_PER_TICK))
            .map(|host| (*host).clone())
            .collect()
    }

    /// Delays the next ask to a host, twice as long each time; a loan from it resets the delay.
    fn back_off(&mut self, now: Duration, lender: &name::Host) {
        let initial_wait = self.setup.timing.initial_backoff;
        let wait = self
            .backoffs
            .get(lender)
            .map_or(initial_wait, |(_, wait)| (*wait * 2).min(MAX_BACKOFF));
        self.backoffs.insert(lender.clone(), (now + wait, wait));
    }

    pub(super) fn receive_grant(
        &mut self,
        now: Duration,
        from: name::Host,
        grant: Grant,
    ) -> Vec<Action> {
        let accepts_twice = self.mutant() == Some(Mutant::AcceptGrantTwice);
        let Some(pending) = self.pending_asks.get(&grant.id) else {
            return Vec::new();
        };
        if pending.lender != from {
            return Vec::new();
        }
        let start = match self.mutant() {
            Some(Mutant::CountTermFromReceipt) => now,
            _ => pending.asked_at,
        };
        if !accepts_twice {
            self.pending_asks.remove(&grant.id);
        }
        if let (Some(region), Some(holder)) = (self.members.get(&from), &grant.holder) {
            self.leaseholders.insert(region.clone(), holder.clone());
        }
        self.mark_scarce(now, &grant.scarce);
        let until = start + grant.term;
        if until <= now {
            return Vec::new();
        }
        for id in &grant.renewed {
            if let Some(loan) = self.borrowed.get_mut(id).filter(|loan| loan.peer == from) {
                loan.ends_at = loan.ends_at.max(until);
            }
        }
        if grant.items.is_empty() {
            return Vec::new();
        }
        self.backoffs.remove(&from);
        self.receive_loan(now, from, until, grant);
        Vec::new()
    }

    pub(super) fn receive_recall(&mut self, now: Duration, recall: Recall) -> Vec<Action> {
        self.mark_scarce(now, &recall.customers);
        self.return_surplus(now, Account::surplus)
    }

    fn mark_scarce(&mut self, now: Duration, customers: &[name::Customer]) {
        let until = now + self.setup.timing.loan_term;
        for customer in customers {
            if let Some(account) = self.accounts.get_mut(customer) {
                account.refill(now, self.setup.timing.max_clock_drift);
                account.mark_scarce(until);
            }
        }
    }

    fn receive_loan(&mut self, now: Duration, from: name::Host, ends_at: Duration, grant: Grant) {
        let drift = self.setup.timing.max_clock_drift;
        let mut items = grant.items;
        items.retain(|item| self.accounts.contains_key(&item.customer) && !item.is_empty());
        for item in &items {
            let Some(account) = self.accounts.get_mut(&item.customer) else {
                continue;
            };
            account.refill(now, drift);
            account.borrowed = account.borrowed.plus(item.share());
            account.level += item.tokens;
            account.clamp_to_depth();
        }
        let loan = Loan {
            peer: from,
            ends_at,
            last_return: 0,
            items,
        };
        self.borrowed.insert(grant.id, loan);
    }

    /// Drops the loans that have ended on this host's clock.
    pub(super) fn expire_borrowed(&mut self, due: Duration) {
        let ended: Vec<Id> = self
            .borrowed
            .iter()
            .filter(|(_, loan)| loan.ends_at <= due)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            let Some(loan) = self.borrowed.remove(&id) else {
                continue;
            };
            for item in &loan.items {
                self.release_borrowed(due, &item.customer, item.share());
            }
        }
    }

    /// Returns the part of each account's loans that `surplus` computes. The capacity is removed
    /// from the accounts before the messages are sent.
    pub(super) fn return_surplus(
        &mut self,
        now: Duration,
        surplus: impl Fn(&Account) -> Share,
    ) -> Vec<Action> {
        let mut surpluses: BTreeMap<name::Customer, Share> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.has_loans())
            .map(|(customer, account)| (customer.clone(), surplus(account)))
            .filter(|(_, share)| *share != Share::default())
            .collect();
        let mut actions = Vec::new();
        let ids: Vec<Id> = self.borrowed.keys().copied().collect();
        for id in ids {
            if surpluses.is_empty() {
                break;
            }
            actions.extend(self.return_from_loan(now, id, &mut surpluses));
        }
        actions
    }

    fn return_from_loan(
        &mut self,
        now: Duration,
        id: Id,
        surpluses: &mut BTreeMap<name::Customer, Share>,
    ) -> Option<Action> {
        let mut loan = self.borrowed.remove(&id)?;
        let mut returned = Vec::new();
        for item in &mut loan.items {
            let Some(surplus) = surpluses.get_mut(&item.customer) else {
                continue;
            };
            let part = surplus.min(item.share());
            let minimum = item.share().scaled(MIN_RETURN_FRACTION);
            if part.rate <= minimum.rate && part.depth <= minimum.depth {
                continue;
            }
            *surplus = surplus.minus(part);
            returned.push(self.release_borrowed(now, &item.customer, part));
            *item = item.clone().without(part);
        }
        loan.items.retain(|item| !item.is_empty());
        let to = loan.peer.clone();
        if !loan.items.is_empty() {
            self.borrowed.insert(id, loan);
        }
        if returned.is_empty() {
            return None;
        }
        let sequence = self.next_id().sequence;
        let message = Message::Return(Return {
            id,
            sequence,
            items: returned,
        });
        Some(Action::Send { to, message })
    }

    /// Removes borrowed capacity from its account, with the tokens that belong to it.
    fn release_borrowed(&mut self, now: Duration, customer: &name::Customer, part: Share) -> Item {
        let drift = self.setup.timing.max_clock_drift;
        let tokens = self.accounts.get_mut(customer).map_or(0.0, |account| {
            account.refill(now, drift);
            let tokens = account.withdraw_tokens(part.depth);
            account.borrowed = account.borrowed.minus(part);
            account.clamp_to_depth();
            tokens
        });
        Item {
            customer: customer.clone(),
            rate: part.rate,
            depth: part.depth,
            tokens,
        }
    }
}

impl Account {
    /// Whether loans of this customer are not renewed: this host needs the capacity itself, or a
    /// new configuration left it with more lent than its own part.
    pub(super) fn refuses_renewal(&self) -> bool {
        if self.is_overlent() {
            return true;
        }
        let want = self.shortfall();
        want.rate > 0.0 && self.demand.refused_tokens > self.level
    }
}

fn scaled(wants: &[Want], part: f64) -> Vec<Want> {
    wants
        .iter()
        .map(|want| Want {
            customer: want.customer.clone(),
            rate: want.rate * part,
            depth: want.depth * part,
        })
        .collect()
}
