//! One customer's capacity at one host: a token bucket whose rate and depth change with loans.

use {
    super::{demand::Demand, plan::Quota},
    crate::name,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A part of a customer's capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Tokens a second.
    pub rate: f64,
    /// Depth of bucket, in tokens.
    pub depth: f64,
}

impl Share {
    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate + other.rate,
            depth: self.depth + other.depth,
        }
    }

    /// What is left without `other`, never below nothing.
    pub(super) fn minus(self, other: Self) -> Self {
        Self {
            rate: (self.rate - other.rate).max(0.0),
            depth: (self.depth - other.depth).max(0.0),
        }
    }

    pub(super) fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            depth: self.depth.min(other.depth),
        }
    }

    pub(super) fn scaled(self, factor: f64) -> Self {
        Self {
            rate: self.rate * factor,
            depth: self.depth * factor,
        }
    }
}

impl From<Quota> for Share {
    fn from(quota: Quota) -> Self {
        quota.part(1.0)
    }
}

/// An admitted request, to be settled at its end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// Whose tokens were charged.
    pub customer: name::Customer,
    /// Tokens charged.
    pub charged: f64,
    epoch: u64,
    scale: f64,
}

/// Headroom over its demand that a host asks for.
const HEADROOM: f64 = 1.25;
/// Headroom over its demand below which a borrower gives nothing back.
const RETURN_HEADROOM: f64 = 2.0;
/// The same while others are short, and what a lender keeps.
const SCARCE_HEADROOM: f64 = 1.1;
/// Part of its depth below which a bucket counts as low.
const LOW: f64 = 0.5;
/// Requests of the largest size that a host tries to have room for.
const LARGEST_REQUESTS: f64 = 2.0;
/// Seconds of demand that a host tries to have room for.
const DEMAND_SECONDS: f64 = 1.0;

/// Time within which a host that refuses a request tries to have its tokens.
const SHORT_SECONDS: f64 = 0.5;
/// What sums of loans may be off by.
const ROUNDING: f64 = 1e-6;

/// One customer's capacity at one host.
///
/// Tokens that were charged and may yet be refunded are `pending`; `level + pending` never passes
/// the depth. So a refund never gives a customer tokens that a bucket which had been charged the
/// settled amount from the start would have spilled.
#[derive(Debug, Clone)]
pub(super) struct Account {
    pub(super) quota: Quota,
    pub(super) own: Share,
    pub(super) lent: Share,
    pub(super) borrowed: Share,
    pub(super) demand: Demand,
    pub(super) level: f64,
    pending: f64,
    /// Charges of requests that aren't settled yet.
    open: f64,
    /// Until when hosts that are short wait for what this one doesn't need.
    scarce_until: Duration,
    /// Grows whenever nothing pending is left to refund.
    epoch: u64,
    /// By how much pending refunds have shrunk in this epoch.
    scale: f64,
    at: Duration,
}

impl Account {
    pub(super) fn new(now: Duration, quota: Quota) -> Self {
        Self {
            quota,
            own: Share::default(),
            lent: Share::default(),
            borrowed: Share::default(),
            demand: Demand::default(),
            level: 0.0,
            pending: 0.0,
            open: 0.0,
            scarce_until: Duration::ZERO,
            epoch: 0,
            scale: 1.0,
            at: now,
        }
    }

    /// What this host may use now.
    pub(super) fn held(&self) -> Share {
        self.own.plus(self.borrowed).minus(self.lent)
    }

    /// Adds what the time since the last call brings. `drift` slows the refill so that no clock
    /// refills faster than true time.
    pub(super) fn refill(&mut self, now: Duration, drift: f64) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level += self.held().rate * elapsed / (1.0 + drift);
        self.clip();
    }

    /// Brings the level and what is pending back under the depth.
    pub(super) fn clip(&mut self) {
        let depth = self.held().depth;
        self.level = self.level.min(depth);
        let room = depth - self.level;
        if self.pending <= room {
            return;
        }
        if room <= 0.0 {
            self.forget();
            return;
        }
        self.scale *= room / self.pending;
        self.pending = room;
    }

    /// Empties the bucket, refunds included. A debt stays.
    pub(super) fn empty(&mut self) {
        self.level = self.level.min(0.0);
        self.forget();
    }

    fn forget(&mut self) {
        self.pending = 0.0;
        self.scale = 1.0;
        self.epoch += 1;
    }

    pub(super) fn charge(&mut self, customer: &name::Customer, tokens: f64) -> Option<Ticket> {
        if tokens > self.level {
            return None;
        }
        self.level -= tokens;
        self.pending += tokens;
        self.open += tokens;
        Some(Ticket {
            customer: customer.clone(),
            charged: tokens,
            epoch: self.epoch,
            scale: self.scale,
        })
    }

    /// Gives back what the ticket's request didn't use, as far as the bucket hasn't spilled it, and
    /// takes what it used beyond its charge.
    pub(super) fn refund(&mut self, ticket: &Ticket, used: f64) {
        let unused = (ticket.charged - used.max(0.0)).max(0.0);
        self.level -= (used - ticket.charged).max(0.0);
        self.demand.refund(unused);
        self.open = (self.open - ticket.charged).max(0.0);
        if ticket.epoch != self.epoch {
            return;
        }
        let left = (ticket.charged * self.scale / ticket.scale).min(self.pending);
        self.pending -= left;
        self.level += unused.min(left);
        self.clip();
    }

    /// What this host needs by its demand. With its part of the rate goes the same part of the
    /// burst, and room for what is charged and not settled.
    pub(super) fn need(&self, headroom: f64) -> Share {
        let rate = (headroom * self.demand.rate).min(self.quota.rate);
        let size = LARGEST_REQUESTS * self.demand.largest;
        let depth = size + self.open + headroom * self.demand.rate * DEMAND_SECONDS;
        let part = match self.quota.rate > 0.0 {
            true => rate / self.quota.rate * self.quota.burst,
            false => 0.0,
        };
        Share {
            rate,
            depth: depth.max(part).min(self.quota.burst),
        }
    }

    /// What this host would like to borrow: nothing while its bucket is well filled and has room
    /// for the largest request of late.
    pub(super) fn want(&self) -> Share {
        let held = self.held();
        let filled = self.level > LOW * held.depth;
        if filled && self.level >= self.demand.largest {
            return Share::default();
        }
        let mut want = self.need(HEADROOM).minus(held);
        if self.demand.short > self.level {
            let room = Share::from(self.quota).minus(held);
            want.depth = want.depth.max(self.demand.short).min(room.depth);
            let rate = self.demand.short / SHORT_SECONDS;
            want.rate = want.rate.max(rate).min(room.rate);
        }
        want
    }

    /// Notes that others wait for this customer's capacity.
    pub(super) fn press(&mut self, until: Duration) {
        self.scarce_until = self.scarce_until.max(until);
    }

    /// Whether others wait for this customer's capacity.
    pub(super) fn scarce(&self) -> bool {
        self.at < self.scarce_until
    }

    /// What of the loans is more than this host needs.
    pub(super) fn surplus(&self) -> Share {
        if self.demand.short > self.level {
            return Share::default();
        }
        let headroom = match self.scarce() {
            true => SCARCE_HEADROOM,
            false => RETURN_HEADROOM,
        };
        self.held().minus(self.need(headroom)).min(self.borrowed)
    }

    /// What this host can lend of its own.
    pub(super) fn spare(&self) -> Share {
        let kept = self.need(SCARCE_HEADROOM).minus(self.borrowed);
        let mut spare = self.own.minus(self.lent).minus(kept);
        spare.depth = spare.depth.min((self.held().depth - self.pending).max(0.0));
        spare
    }

    /// Whether more is lent than the configuration still gives this host.
    pub(super) fn overdrawn(&self) -> bool {
        let allowed = self.own.scaled(1.0 + ROUNDING);
        self.lent.rate > allowed.rate + ROUNDING || self.lent.depth > allowed.depth + ROUNDING
    }

    /// Whether loans of this customer run.
    pub(super) fn busy(&self) -> bool {
        let loans = self.lent.plus(self.borrowed);
        loans.rate > ROUNDING || loans.depth > ROUNDING
    }

    /// Takes out the tokens that go with `depth` of the bucket. A debt stays here.
    pub(super) fn take(&mut self, depth: f64) -> f64 {
        let held = self.held().depth;
        if held <= 0.0 {
            return 0.0;
        }
        let tokens = self.level.max(0.0) * (depth / held).clamp(0.0, 1.0);
        self.level -= tokens;
        tokens
    }
}
