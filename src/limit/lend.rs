//! Lender side of loans: grants, renewals, recalls and returns. Lent capacity is not used here
//! until it is returned or the loan has ended on every clock within the allowed drift.

use {
    super::{
        account::{Account, Share},
        event::{Action, Mutant},
        loan::Loan,
        machine::Limiter,
        message::{Ask, Grant, Id, Item, Message, Recall, Return, Want},
        plan::Mode,
    },
    crate::name,
    std::{
        collections::{BTreeMap, BTreeSet},
        mem,
        time::Duration,
    },
};

/// Smallest fraction of the wanted capacity that is lent.
const MIN_LOAN_FRACTION: f64 = 0.001;
/// Time between the end of a leaseholder's loans and the end of its lease.
const LEASE_MARGIN: Duration = Duration::from_millis(2);

impl Limiter {
    pub(super) fn receive_ask(&mut self, now: Duration, from: name::Host, ask: Ask) -> Vec<Action> {
        if self.setup.mode == Mode::Static || self.lent.contains_key(&ask.id) {
            return Vec::new();
        }
        let term = self.grantable_term(now);
        let ends_at = now + self.setup.timing.padded_for_drift(term);
        let scarce = self.scarce_customers(&ask);
        let renewed: Vec<Id> = ask
            .renew
            .into_iter()
            .filter(|id| self.renew(id, &from, ends_at))
            .collect();
        let items: Vec<Item> = ask
            .wants
            .into_iter()
            .filter_map(|want| self.lend_item(now, want))
            .collect();
        if !items.is_empty() {
            let loan = Loan {
                peer: from.clone(),
                ends_at,
                last_return: 0,
                items: items.clone(),
            };
            self.lent.insert(ask.id, loan);
        }
        let holder = match self.lease.held_until {
            Some(_) => Some(self.setup.host.clone()),
            None => self.lease.promised_host(now).cloned(),
        };
        let grant = Grant {
            id: ask.id,
            term,
            renewed,
            items,
            scarce,
            holder,
        };
        let mut actions = vec![Action::Send {
            to: from,
            message: Message::Grant(grant),
        }];
        actions.extend(self.send_recalls());
        actions
    }

    /// Asks the borrowers of capacity that has become scarce to return what they do not need.
    fn send_recalls(&mut self) -> Vec<Action> {
        let scarce = mem::take(&mut self.newly_scarce);
        let mut recalls = BTreeMap::<name::Host, BTreeSet<name::Customer>>::new();
        for loan in self.lent.values() {
            let items = loan
                .items
                .iter()
                .filter(|item| scarce.contains(&item.customer));
            for item in items {
                let customers = recalls.entry(loan.peer.clone()).or_default();
                customers.insert(item.customer.clone());
            }
        }
        recalls
            .into_iter()
            .map(|(to, customers)| Action::Send {
                to,
                message: Message::Recall(Recall {
                    customers: customers.into_iter().collect(),
                }),
            })
            .collect()
    }

    /// Customers of the loans to renew whose capacity other hosts need.
    fn scarce_customers(&self, ask: &Ask) -> Vec<name::Customer> {
        let loans = ask.renew.iter().filter_map(|id| self.lent.get(id));
        let customers: BTreeSet<&name::Customer> = loans
            .flat_map(|loan| &loan.items)
            .map(|item| &item.customer)
            .filter(|customer| self.accounts.get(*customer).is_some_and(Account::is_scarce))
            .collect();
        customers.into_iter().cloned().collect()
    }

    /// Term of a loan that is granted now. The loans of a leaseholder end before its lease.
    fn grantable_term(&self, now: Duration) -> Duration {
        let longest = self.setup.timing.loan_term;
        let Some(end) = self.lease.held_until else {
            return longest;
        };
        let remaining = end.saturating_sub(now + LEASE_MARGIN);
        longest.min(self.setup.timing.shrunk_for_drift(remaining))
    }

    fn renew(&mut self, id: &Id, from: &name::Host, ends_at: Duration) -> bool {
        let Some(loan) = self.lent.get_mut(id).filter(|loan| loan.peer == *from) else {
            return false;
        };
        let is_refused = loan.items.iter().any(|item| {
            self.accounts
                .get(&item.customer)
                .is_none_or(|account| account.refuses_renewal())
        });
        if is_refused {
            return false;
        }
        loan.ends_at = loan.ends_at.max(ends_at);
        true
    }

    fn lend_item(&mut self, now: Duration, want: Want) -> Option<Item> {
        if self.is_draining && !self.is_seated {
            return None;
        }
        let drift = self.setup.timing.max_clock_drift;
        let wait = self.setup.timing.loan_term;
        let keeps_lent = self.mutant() == Some(Mutant::SpendLent);
        let account = self.accounts.get_mut(&want.customer)?;
        account.refill(now, drift);
        account.demand.decay(now);
        let wanted = Share {
            rate: want.rate.max(0.0),
            depth: want.depth.max(0.0),
        };
        let granted = account.lendable().min(wanted);
        if granted.rate < wanted.rate || granted.depth < wanted.depth {
            if !account.is_scarce() {
                self.newly_scarce.insert(want.customer.clone());
            }
            account.mark_scarce(now + wait);
        }
        let minimum = wanted.scaled(MIN_LOAN_FRACTION);
        if granted.rate <= minimum.rate && granted.depth <= minimum.depth {
            return None;
        }
        let tokens = account.withdraw_tokens(granted.depth);
        if !keeps_lent {
            account.lent = account.lent.plus(granted);
        }
        account.clamp_to_depth();
        Some(Item {
            customer: want.customer,
            rate: granted.rate,
            depth: granted.depth,
            tokens,
        })
    }

    /// Takes back the capacity that a borrower returned, unless the loan has ended.
    pub(super) fn receive_return(
        &mut self,
        now: Duration,
        from: name::Host,
        returned: Return,
    ) -> Vec<Action> {
        let Some(mut loan) = self.lent.remove(&returned.id) else {
            return Vec::new();
        };
        if loan.peer != from {
            self.lent.insert(returned.id, loan);
            return Vec::new();
        }
        let is_duplicate = returned.sequence <= loan.last_return;
        if is_duplicate && self.mutant() != Some(Mutant::AcceptReturnTwice) {
            self.lent.insert(returned.id, loan);
            return Vec::new();
        }
        loan.last_return = returned.sequence;
        for item in &mut loan.items {
            let returned_item = returned
                .items
                .iter()
                .find(|returned_item| returned_item.customer == item.customer);
            if let Some(returned_item) = returned_item {
                let part = returned_item.share().min(item.share());
                self.restore(now, &item.customer, part, returned_item.tokens);
                *item = item.clone().without(part);
            }
        }
        loan.items.retain(|item| !item.is_empty());
        if !loan.items.is_empty() {
            self.lent.insert(returned.id, loan);
        }
        Vec::new()
    }

    /// Takes back the loans that have ended; `Loan::ends_at` of a lender allows for clock drift.
    pub(super) fn expire_lent(&mut self, due: Duration) {
        let ended: Vec<Id> = self
            .lent
            .iter()
            .filter(|(_, loan)| loan.ends_at <= due)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            let Some(loan) = self.lent.remove(&id) else {
                continue;
            };
            for item in &loan.items {
                self.restore(due, &item.customer, item.share(), 0.0);
            }
        }
    }

    fn restore(&mut self, now: Duration, customer: &name::Customer, part: Share, tokens: f64) {
        if self.mutant() == Some(Mutant::SpendLent) {
            return;
        }
        let drift = self.setup.timing.max_clock_drift;
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        account.refill(now, drift);
        account.lent = account.lent.minus(part);
        account.level += tokens.clamp(0.0, part.depth);
        account.clamp_to_depth();
    }
}
