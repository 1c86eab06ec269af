//! The borrower's side: what to ask, of whom, and what to give back.

use {
    super::{
        account::{Account, Share},
        event::{Action, Fault},
        loan::Loan,
        machine::{Limit, Pending},
        message::{Ask, Grant, Id, Item, Message, Recall, Return, Want},
    },
    crate::name,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Most hosts that are asked for new loans at one tick.
const ASKS_PER_TICK: usize = 8;
/// Most customers in one ask.
const WANTS_PER_ASK: usize = 64;
/// By how much hosts are asked for more than is wanted, as some have nothing.
const OVERASK: f64 = 2.0;
/// Longest time that a host which lent nothing is left alone.
const BACKOFF_MAX: Duration = Duration::from_secs(8);
/// Smallest part of a quota that is worth an ask.
const SMALLEST_ASK: f64 = 0.0001;
/// Smallest part of a loan that is given back.
const SMALLEST_RETURN: f64 = 0.05;
impl Limit {
    /// Gives back what isn't needed, renews what is and asks for what is wanted.
    pub(super) fn borrow(&mut self, now: Duration) -> Vec<Action> {
        let patience = self.setup.timing.patience;
        self.pending
            .retain(|_, pending| now < pending.asked + patience);
        if self.draining {
            return Vec::new();
        }
        let mut actions = self.give_back(now, Account::surplus);
        let mut asks = self.renewals(now);
        let wants = self.wants();
        if !wants.is_empty() {
            let lenders = self.lenders(now);
            let part = (OVERASK / lenders.len().max(1) as f64).min(1.0);
            for lender in lenders {
                self.back_off(now, &lender);
                let ask = asks.entry(lender).or_default();
                ask.1 = scaled(&wants, part);
            }
        }
        for (lender, (renew, wants)) in asks {
            actions.push(self.ask(now, lender, renew, wants));
        }
        actions
    }

    fn ask(
        &mut self,
        now: Duration,
        lender: name::Host,
        renew: Vec<Id>,
        wants: Vec<Want>,
    ) -> Action {
        let id = self.next_id();
        let pending = Pending {
            lender: lender.clone(),
            asked: now,
        };
        self.pending.insert(id, pending);
        Action::Send {
            to: lender,
            message: Message::Ask(Ask { id, renew, wants }),
        }
    }

    /// Loans past half their term, by lender.
    fn renewals(&self, now: Duration) -> BTreeMap<name::Host, (Vec<Id>, Vec<Want>)> {
        let half = self.setup.timing.term / 2;
        let asked: BTreeSet<&name::Host> = self
            .pending
            .values()
            .map(|pending| &pending.lender)
            .collect();
        let mut renewals = BTreeMap::<name::Host, (Vec<Id>, Vec<Want>)>::new();
        let due = self
            .borrowed
            .iter()
            .filter(|(_, loan)| loan.until < now + half)
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
                let want = account.want();
                let part = (want.rate / account.quota.rate).max(want.depth / account.quota.burst);
                let want = Want {
                    customer: customer.clone(),
                    rate: want.rate,
                    depth: want.depth,
                };
                (part > SMALLEST_ASK).then_some((part, want))
            })
            .collect();
        wants.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        wants.truncate(WANTS_PER_ASK);
        wants.into_iter().map(|(_, want)| want).collect()
    }

    /// Whom to ask now: the holder of the own region; when it had nothing, the region's hosts;
    /// then the other regions.
    fn lenders(&mut self, now: Duration) -> Vec<name::Host> {
        self.cursor = self.cursor.wrapping_add(1);
        let asked: BTreeSet<&name::Host> = self
            .pending
            .values()
            .map(|pending| &pending.lender)
            .collect();
        let able = |host: &&name::Host| {
            let waits = self
                .backoff
                .get(*host)
                .is_some_and(|(until, _)| now < *until);
            !waits && !asked.contains(host) && **host != self.setup.host
        };
        let own = &self.setup.region;
        let holder = self.lease.promised(now).or(self.holders.get(own));
        if let Some(holder) = holder.filter(able) {
            return vec![holder.clone()];
        }
        let near: Vec<&name::Host> = self.neighbours().filter(able).collect();
        if !near.is_empty() {
            return self.some(near);
        }
        let far = self.regions.iter().filter(|(region, _)| *region != own);
        let far = far.filter_map(|(region, hosts)| {
            self.holders
                .get(region)
                .filter(able)
                .or_else(|| hosts.get(self.cursor % hosts.len()).filter(able))
        });
        self.some(far.collect())
    }

    /// A bounded number of the hosts, others at each call.
    fn some(&self, hosts: Vec<&name::Host>) -> Vec<name::Host> {
        let first = match hosts.len() > ASKS_PER_TICK {
            true => self.cursor % hosts.len(),
            false => 0,
        };
        let turned = hosts.iter().skip(first).chain(&hosts);
        turned
            .take(hosts.len().min(ASKS_PER_TICK))
            .map(|host| (*host).clone())
            .collect()
    }

    /// Leaves a host alone for a while, longer each time; a loan from it ends that.
    fn back_off(&mut self, now: Duration, lender: &name::Host) {
        let first = self.setup.timing.backoff;
        let wait = self
            .backoff
            .get(lender)
            .map_or(first, |(_, wait)| (*wait * 2).min(BACKOFF_MAX));
        self.backoff.insert(lender.clone(), (now + wait, wait));
    }

    pub(super) fn accept(&mut self, now: Duration, from: name::Host, grant: Grant) -> Vec<Action> {
        let twice = self.fault() == Some(Fault::AcceptTwice);
        let Some(pending) = self.pending.get(&grant.id) else {
            return Vec::new();
        };
        if pending.lender != from {
            return Vec::new();
        }
        let start = match self.fault() {
            Some(Fault::CountFromReceipt) => now,
            _ => pending.asked,
        };
        if !twice {
            self.pending.remove(&grant.id);
        }
        if let (Some(region), Some(holder)) = (self.members.get(&from), &grant.holder) {
            self.holders.insert(region.clone(), holder.clone());
        }
        self.press(now, &grant.scarce);
        let until = start + grant.term;
        if until <= now {
            return Vec::new();
        }
        for id in &grant.renewed {
            if let Some(loan) = self.borrowed.get_mut(id).filter(|loan| loan.peer == from) {
                loan.until = loan.until.max(until);
            }
        }
        if grant.items.is_empty() {
            return Vec::new();
        }
        self.backoff.remove(&from);
        self.receive_loan(now, from, until, grant);
        Vec::new()
    }

    pub(super) fn recalled(&mut self, now: Duration, recall: Recall) -> Vec<Action> {
        self.press(now, &recall.customers);
        self.give_back(now, Account::surplus)
    }

    fn press(&mut self, now: Duration, customers: &[name::Customer]) {
        let until = now + self.setup.timing.term;
        for customer in customers {
            if let Some(account) = self.accounts.get_mut(customer) {
                account.refill(now, self.setup.timing.drift);
                account.press(until);
            }
        }
    }

    fn receive_loan(&mut self, now: Duration, from: name::Host, until: Duration, grant: Grant) {
        let drift = self.setup.timing.drift;
        let mut items = grant.items;
        items.retain(|item| self.accounts.contains_key(&item.customer) && !item.is_empty());
        for item in &items {
            let Some(account) = self.accounts.get_mut(&item.customer) else {
                continue;
            };
            account.refill(now, drift);
            account.borrowed = account.borrowed.plus(item.share());
            account.level += item.tokens;
            account.clip();
        }
        let loan = Loan {
            peer: from,
            until,
            returned: 0,
            items,
        };
        self.borrowed.insert(grant.id, loan);
    }

    /// Drops the loans that have ended on this clock.
    pub(super) fn end_borrowed(&mut self, due: Duration) {
        let ended: Vec<Id> = self
            .borrowed
            .iter()
            .filter(|(_, loan)| loan.until <= due)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            let Some(loan) = self.borrowed.remove(&id) else {
                continue;
            };
            for item in &loan.items {
                self.release(due, &item.customer, item.share());
            }
        }
    }

    /// Gives back what `surplus` says of each account's loans: subtracts, then sends.
    pub(super) fn give_back(
        &mut self,
        now: Duration,
        surplus: impl Fn(&Account) -> Share,
    ) -> Vec<Action> {
        let mut left: BTreeMap<name::Customer, Share> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.busy())
            .map(|(customer, account)| (customer.clone(), surplus(account)))
            .filter(|(_, share)| *share != Share::default())
            .collect();
        let mut actions = Vec::new();
        let ids: Vec<Id> = self.borrowed.keys().copied().collect();
        for id in ids {
            if left.is_empty() {
                break;
            }
            actions.extend(self.give_back_loan(now, id, &mut left));
        }
        actions
    }

    fn give_back_loan(
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
            let small = item.share().scaled(SMALLEST_RETURN);
            if part.rate <= small.rate && part.depth <= small.depth {
                continue;
            }
            *surplus = surplus.minus(part);
            back.push(self.release(now, &item.customer, part));
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
    fn release(&mut self, now: Duration, customer: &name::Customer, part: Share) -> Item {
        let drift = self.setup.timing.drift;
        let tokens = self.accounts.get_mut(customer).map_or(0.0, |account| {
            account.refill(now, drift);
            let tokens = account.take(part.depth);
            account.borrowed = account.borrowed.minus(part);
            account.clip();
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
    pub(super) fn pressed(&self) -> bool {
        if self.overdrawn() {
            return true;
        }
        let want = self.want();
        want.rate > 0.0 && self.demand.short > self.level
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
