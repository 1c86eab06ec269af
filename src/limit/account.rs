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
const LOW_LEVEL: f64 = 0.5;
/// Requests of the largest size that a host tries to have room for.
const DEPTH_LARGEST_REQUESTS: f64 = 2.0;
/// Seconds of demand that a host tries to have room for.
const DEPTH_DEMAND_SECONDS: f64 = 1.0;

/// Time within which a host that refuses a request tries to have its tokens.
const REFUSED_WAIT_SECONDS: f64 = 0.5;
/// What sums of loans may be off by.
const ROUNDING_ERROR: f64 = 1e-6;

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
    refundable_tokens: f64,
    /// Charges of requests that aren't settled yet.
    unsettled_tokens: f64,
    /// Until when hosts that are short wait for what this one doesn't need.
    scarce_until: Duration,
    /// Grows whenever nothing pending is left to refund.
    refund_epoch: u64,
    /// By how much pending refunds have shrunk in this epoch.
    refund_scale: f64,
    refilled_at: Duration,
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
            refundable_tokens: 0.0,
            unsettled_tokens: 0.0,
            scarce_until: Duration::ZERO,
            refund_epoch: 0,
            refund_scale: 1.0,
            refilled_at: now,
        }
    }

    /// What this host may use now.
    pub(super) fn usable(&self) -> Share {
        self.own.plus(self.borrowed).minus(self.lent)
    }

    /// Adds what the time since the last call brings. `drift` slows the refill so that no clock
    /// refills faster than true time.
    pub(super) fn refill(&mut self, now: Duration, drift: f64) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level += self.usable().rate * elapsed / (1.0 + drift);
        self.clamp_to_depth();
    }

    /// Brings the level and what is pending back under the depth.
    pub(super) fn clamp_to_depth(&mut self) {
        let depth = self.usable().depth;
        self.level = self.level.min(depth);
        let room = depth - self.level;
        if self.refundable_tokens <= room {
            return;
        }
        if room <= 0.0 {
            self.end_refund_epoch();
            return;
        }
        self.refund_scale *= room / self.refundable_tokens;
        self.refundable_tokens = room;
    }

    /// Empties the bucket, refunds included. A debt stays.
    pub(super) fn empty(&mut self) {
        self.level = self.level.min(0.0);
        self.end_refund_epoch();
    }

    fn end_refund_epoch(&mut self) {
        self.refundable_tokens = 0.0;
        self.refund_scale = 1.0;
        self.refund_epoch += 1;
    }

    pub(super) fn charge(&mut self, customer: &name::Customer, tokens: f64) -> Option<Ticket> {
        if tokens > self.level {
            return None;
        }
        self.level -= tokens;
        self.refundable_tokens += tokens;
        self.unsettled_tokens += tokens;
        Some(Ticket {
            customer: customer.clone(),
            charged: tokens,
            epoch: self.refund_epoch,
            scale: self.refund_scale,
        })
    }

    /// Gives back what the ticket's request didn't use, as far as the bucket hasn't spilled it, and
    /// takes what it used beyond its charge.
    pub(super) fn refund(&mut self, ticket: &Ticket, used: f64) {
        let unused = (ticket.charged - used.max(0.0)).max(0.0);
        self.level -= (used - ticket.charged).max(0.0);
        self.demand.subtract_unused(unused);
        self.unsettled_tokens = (self.unsettled_tokens - ticket.charged).max(0.0);
        if ticket.epoch != self.refund_epoch {
            return;
        }
        let left = (ticket.charged * self.refund_scale / ticket.scale).min(self.refundable_tokens);
        self.refundable_tokens -= left;
        self.level += unused.min(left);
        self.clamp_to_depth();
    }

    /// What this host needs by its demand. With its part of the rate goes the same part of the
    /// burst, and room for what is charged and not settled.
    pub(super) fn required(&self, headroom: f64) -> Share {
        let rate = (headroom * self.demand.rate).min(self.quota.rate);
        let size = DEPTH_LARGEST_REQUESTS * self.demand.largest_request;
        let depth =
            size + self.unsettled_tokens + headroom * self.demand.rate * DEPTH_DEMAND_SECONDS;
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
    pub(super) fn shortfall(&self) -> Share {
        let held = self.usable();
        let filled = self.level > LOW_LEVEL * held.depth;
        if filled && self.level >= self.demand.largest_request {
            return Share::default();
        }
        let mut want = self.required(HEADROOM).minus(held);
        if self.demand.refused_tokens > self.level {
            let room = Share::from(self.quota).minus(held);
            want.depth = want.depth.max(self.demand.refused_tokens).min(room.depth);
            let rate = self.demand.refused_tokens / REFUSED_WAIT_SECONDS;
            want.rate = want.rate.max(rate).min(room.rate);
        }
        want
    }

    /// Notes that others wait for this customer's capacity.
    pub(super) fn mark_scarce(&mut self, until: Duration) {
        self.scarce_until = self.scarce_until.max(until);
    }

    /// Whether others wait for this customer's capacity.
    pub(super) fn is_scarce(&self) -> bool {
        self.refilled_at < self.scarce_until
    }

    /// What of the loans is more than this host needs.
    pub(super) fn surplus(&self) -> Share {
        if self.demand.refused_tokens > self.level {
            return Share::default();
        }
        let headroom = match self.is_scarce() {
            true => SCARCE_HEADROOM,
            false => RETURN_HEADROOM,
        };
        self.usable()
            .minus(self.required(headroom))
            .min(self.borrowed)
    }

    /// What this host can lend of its own.
    pub(super) fn lendable(&self) -> Share {
        let kept = self.required(SCARCE_HEADROOM).minus(self.borrowed);
        let mut spare = self.own.minus(self.lent).minus(kept);
        spare.depth = spare
            .depth
            .min((self.usable().depth - self.refundable_tokens).max(0.0));
        spare
    }

    /// Whether more is lent than the configuration still gives this host.
    pub(super) fn is_overlent(&self) -> bool {
        let allowed = self.own.scaled(1.0 + ROUNDING_ERROR);
        self.lent.rate > allowed.rate + ROUNDING_ERROR
            || self.lent.depth > allowed.depth + ROUNDING_ERROR
    }

    /// Whether loans of this customer run.
    pub(super) fn has_loans(&self) -> bool {
        let loans = self.lent.plus(self.borrowed);
        loans.rate > ROUNDING_ERROR || loans.depth > ROUNDING_ERROR
    }

    /// Takes out the tokens that go with `depth` of the bucket. A debt stays here.
    pub(super) fn withdraw_tokens(&mut self, depth: f64) -> f64 {
        let held = self.usable().depth;
        if held <= 0.0 {
            return 0.0;
        }
        let tokens = self.level.max(0.0) * (depth / held).clamp(0.0, 1.0);
        self.level -= tokens;
        tokens
    }
}
