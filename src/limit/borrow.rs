//! The borrower's side: what to ask, of whom, and what to give back.

use {
    super::{
        account::{Account, Share},
        event::{Action, Mutant},
        loan::Loan,
        machine::{Inquiry, Limiter},
        message::{Ask, Grant, Id, Item, Message, Recall, Return, Want},
    },
    crate::name,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Most hosts that are asked for new loans at one tick.
const MAX_ASKS_PER_TICK: usize = 8;
/// Most customers in one ask.
const MAX_WANTS_PER_ASK: usize = 64;
/// By how much hosts are asked for more than is wanted, as some have nothing.
const OVERASK_FACTOR: f64 = 2.0;
/// Longest time that a host which lent nothing is left alone.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Smallest part of a quota that is worth an ask.
const MIN_ASK_FRACTION: f64 = 0.0001;
/// Smallest part of a loan that is given back.
const MIN_RETURN_FRACTION: f64 = 0.05;
impl Limiter {
    /// Gives back what isn't needed, renews what is and asks for what is wanted.
    pub(super) fn borrow(&mut self, now: Duration) -> Vec<Action> {
        let patience = self.setup.timing.ask_timeout;
        self.pending_asks
            .retain(|_, pending| now < pending.asked_at + patience);
        if self.is_draining {
            return Vec::new();
        }
        let mut actions = self.return_surplus(now, Account::surplus);
        let mut asks = self.due_renewals(now);
        let wants = self.wants();
        if !wants.is_empty() {
            let lenders = self.choose_lenders(now);
            let part = (OVERASK_FACTOR / lenders.len().max(1) as f64).min(1.0);
            for lender in lenders {
                self.back_off(now, &lender);
                let ask = asks.entry(lender).or_default();
                ask.1 = scaled(&wants, part);
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
        let inquiry = Inquiry {
            lender: lender.clone(),
            asked_at: now,
        };
        self.pending_asks.insert(id, inquiry);
        Action::Send {
            to: lender,
            message: Message::Ask(Ask { id, renew, wants }),
        }
    }

    /// Loans past half their term, by lender.
    fn due_renewals(&self, now: Duration) -> BTreeMap<name::Host, (Vec<Id>, Vec<Want>)> {
        let half = self.setup.timing.loan_term / 2;
        let asked: BTreeSet<&name::Host> = self
            .pending_asks
            .values()
            .map(|pending| &pending.lender)
            .collect();
        let mut renewals = BTreeMap::<name::Host, (Vec<Id>, Vec<Want>)>::new();
        let due = self
            .borrowed
            .iter()
            .filter(|(_, loan)| loan.ends_at < now + half)
            .filter(|(_, loan)| !asked.contains(&loan.peer));
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

    /// Whom to ask now: the holder of the own region; when it had nothing, the region's hosts;
    /// then the other regions.
    fn choose_lenders(&mut self, now: Duration) -> Vec<name::Host> {
        self.lender_cursor = self.lender_cursor.wrapping_add(1);
        let asked: BTreeSet<&name::Host> = self
            .pending_asks
            .values()
            .map(|pending| &pending.lender)
            .collect();
        let able = |host: &&name::Host| {
            let waits = self
                .backoffs
                .get(*host)
                .is_some_and(|(until, _)| now < *until);
            !waits && !asked.contains(host) && **host != self.setup.host
        };
        let own = &self.setup.region;
        let holder = self.lease.promised_host(now).or(self.leaseholders.get(own));
        if let Some(holder) = holder.filter(able) {
            return vec![holder.clone()];
        }
        let near: Vec<&name::Host> = self.region_peers().filter(able).collect();
        if !near.is_empty() {
            return self.rotated(near);
        }
        let far = self
            .hosts_by_region
            .iter()
            .filter(|(region, _)| *region != own);
        let far = far.filter_map(|(region, hosts)| {
            self.leaseholders
                .get(region)
                .filter(able)
                .or_else(|| hosts.get(self.lender_cursor % hosts.len()).filter(able))
        });
        self.rotated(far.collect())
    }

    /// A bounded number of the hosts, others at each call.
    fn rotated(&self, hosts: Vec<&name::Host>) -> Vec<name::Host> {
        let first = match hosts.len() > MAX_ASKS_PER_TICK {
            true => self.lender_cursor % hosts.len(),
            false => 0,
        };
        let turned = hosts.iter().skip(first).chain(&hosts);
        turned
            .take(hosts.len().min(MAX_ASKS_PER_TICK))
            .map(|host| (*host).clone())
            .collect()
    }

    /// Leaves a host alone for a while, longer each time; a loan from it ends that.
    fn back_off(&mut self, now: Duration, lender: &name::Host) {
        let first = self.setup.timing.initial_backoff;
        let wait = self
            .backoffs
            .get(lender)
            .map_or(first, |(_, wait)| (*wait * 2).min(MAX_BACKOFF));
        self.backoffs.insert(lender.clone(), (now + wait, wait));
    }

    pub(super) fn receive_grant(
        &mut self,
        now: Duration,
        from: name::Host,
        grant: Grant,
    ) -> Vec<Action> {
        let twice = self.mutant() == Some(Mutant::AcceptGrantTwice);
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
        if !twice {
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

    /// Drops the loans that have ended on this clock.
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

    /// Gives back what `surplus` says of each account's loans: subtracts, then sends.
    pub(super) fn return_surplus(
        &mut self,
        now: Duration,
        surplus: impl Fn(&Account) -> Share,
    ) -> Vec<Action> {
        let mut left: BTreeMap<name::Customer, Share> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.has_loans())
            .map(|(customer, account)| (customer.clone(), surplus(account)))
            .filter(|(_, share)| *share != Share::default())
            .collect();
        let mut actions = Vec::new();
        let ids: Vec<Id> = self.borrowed.keys().copied().collect();
        for id in ids {
            if left.is_empty() {
                break;
            }
            actions.extend(self.return_from_loan(now, id, &mut left));
        }
        actions
    }

    fn return_from_loan(
        &mut self,
        now: Duration,
        id: Id,
        left: &mut BTreeMap<name::Customer, Share>,
    ) -> Option<Action> {
        let mut loan = self.borrowed.remove(&id)?;
        let mut back = Vec::new();
        for item in &mut loan.items {
            let Some(surplus) = left.get_mut(&item.customer) else {
                continue;
            };
            let part = surplus.min(item.share());
            let small = item.share().scaled(MIN_RETURN_FRACTION);
            if part.rate <= small.rate && part.depth <= small.depth {
                continue;
            }
            *surplus = surplus.minus(part);
            back.push(self.release_borrowed(now, &item.customer, part));
            *item = item.clone().without(part);
        }
        loan.items.retain(|item| !item.is_empty());
        let to = loan.peer.clone();
        if !loan.items.is_empty() {
            self.borrowed.insert(id, loan);
        }
        if back.is_empty() {
            return None;
        }
        let sequence = self.next_id().sequence;
        let message = Message::Return(Return {
            id,
            sequence,
            items: back,
        });
        Some(Action::Send { to, message })
    }

    /// Takes a part of what was borrowed out of its account, with the tokens that go with it.
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
    /// Whether this host is itself short of what it would renew for another, or has lent what a
    /// change of the configuration has since taken from it.
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
