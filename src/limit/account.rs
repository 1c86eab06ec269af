//! One customer's capacity at one host: a token bucket whose rate and depth change with loans.

use {
    super::{demand::Demand, plan::Quota},
    crate::name,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Part of a customer's capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Refill rate, in tokens per second.
    pub rate: f64,
    /// Depth of the bucket, in tokens.
    pub depth: f64,
}

impl Share {
    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate + other.rate,
            depth: self.depth + other.depth,
        }
    }

    /// Subtracts `other`; neither field goes below zero.
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

/// Record of an admitted request, passed back when the request is settled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// The customer that was charged.
    pub customer: name::Customer,
    /// Tokens charged at admission: the worst-case cost of the request.
    pub charged: f64,
    epoch: u64,
    scale: f64,
}

/// Multiple of its demand up to which a host borrows.
const HEADROOM: f64 = 1.25;
/// Multiple of its demand that a borrower keeps before it returns anything.
const RETURN_HEADROOM: f64 = 2.0;
/// Multiple of its demand that a lender keeps, and a borrower while other hosts need the capacity.
const SCARCE_HEADROOM: f64 = 1.1;
/// Fraction of its depth at or below which a bucket counts as low.
const LOW_LEVEL: f64 = 0.5;
/// Number of requests of the largest recent size that a bucket should hold.
const DEPTH_LARGEST_REQUESTS: f64 = 2.0;
/// Seconds of demand that a bucket should hold.
const DEPTH_DEMAND_SECONDS: f64 = 1.0;

/// Time within which a host that refused a request aims to have its tokens.
const REFUSED_WAIT_SECONDS: f64 = 0.5;
/// Rounding error allowed in sums of loans, both relative and absolute.
const ROUNDING_ERROR: f64 = 1e-6;

/// One customer's token bucket at one host, with the capacity it has lent and borrowed.
///
/// `refundable_tokens` are charged tokens that a settlement may still refund. The sum
/// `level + refundable_tokens` never exceeds the depth, so a refund never returns tokens that would
/// have overflowed a bucket that was charged the settled amount from the start.
#[derive(Debug, Clone)]
pub(super) struct Account {
    pub(super) quota: Quota,
    pub(super) own: Share,
    pub(super) lent: Share,
    pub(super) borrowed: Share,
    pub(super) demand: Demand,
    pub(super) level: f64,
    refundable_tokens: f64,
    /// Tokens charged for requests that are not settled yet.
    unsettled_tokens: f64,
    /// Time until which other hosts need the capacity that this one can spare.
    scarce_until: Duration,
    /// Raised whenever `refundable_tokens` is reset to zero, so that earlier tickets get no refund.
    refund_epoch: u64,
    /// Factor by which overflow has reduced the refundable tokens in this epoch.
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

    /// Capacity that this host may use now: its own and borrowed, less what it has lent.
    pub(super) fn usable(&self) -> Share {
        self.own.plus(self.borrowed).minus(self.lent)
    }

    /// Adds the tokens earned since the last call. `drift` slows the refill, so that even a fast
    /// clock refills no faster than true time.
    pub(super) fn refill(&mut self, now: Duration, drift: f64) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level += self.usable().rate * elapsed / (1.0 + drift);
        self.clamp_to_depth();
    }

    /// Reduces the level, then the refundable tokens, until their sum fits the depth.
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

    /// Empties the bucket and drops all refunds. A negative level stays.
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

    /// Refunds the tokens that the request did not use, except those that would have overflowed the
    /// bucket, and deducts what it used beyond its charge.
    pub(super) fn refund(&mut self, ticket: &Ticket, used: f64) {
        let unused = (ticket.charged - used.max(0.0)).max(0.0);
        self.level -= (used - ticket.charged).max(0.0);
        self.demand.subtract_unused(unused);
        self.unsettled_tokens = (self.unsettled_tokens - ticket.charged).max(0.0);
        if ticket.epoch != self.refund_epoch {
            return;
        }
        let refundable =
            (ticket.charged * self.refund_scale / ticket.scale).min(self.refundable_tokens);
        self.refundable_tokens -= refundable;
        self.level += unused.min(refundable);
        self.clamp_to_depth();
    }

    /// Capacity that `headroom` times this host's demand requires. The depth has room for unsettled
    /// charges and is at least the same fraction of the burst as the rate is of the quota's rate.
    pub(super) fn required(&self, headroom: f64) -> Share {
        let rate = (headroom * self.demand.rate).min(self.quota.rate);
        let requests = DEPTH_LARGEST_REQUESTS * self.demand.largest_request;
        let depth =
            requests + self.unsettled_tokens + headroom * self.demand.rate * DEPTH_DEMAND_SECONDS;
        let burst_part = match self.quota.rate > 0.0 {
            true => rate / self.quota.rate * self.quota.burst,
            false => 0.0,
        };
        Share {
            rate,
            depth: depth.max(burst_part).min(self.quota.burst),
        }
    }

    /// Capacity that this host wants to borrow: none while its bucket is above `LOW_LEVEL` and has
    /// the tokens for the largest recent request.
    pub(super) fn shortfall(&self) -> Share {
        let usable = self.usable();
        let is_filled = self.level > LOW_LEVEL * usable.depth;
        if is_filled && self.level >= self.demand.largest_request {
            return Share::default();
        }
        let mut want = self.required(HEADROOM).minus(usable);
        if self.demand.refused_tokens > self.level {
            let room = Share::from(self.quota).minus(usable);
            want.depth = want.depth.max(self.demand.refused_tokens).min(room.depth);
            let rate = self.demand.refused_tokens / REFUSED_WAIT_SECONDS;
            want.rate = want.rate.max(rate).min(room.rate);
        }
        want
    }

    /// Records that other hosts need this customer's capacity until `until`.
    pub(super) fn mark_scarce(&mut self, until: Duration) {
        self.scarce_until = self.scarce_until.max(until);
    }

    /// Whether other hosts need this customer's capacity.
    pub(super) fn is_scarce(&self) -> bool {
        self.refilled_at < self.scarce_until
    }

    /// Borrowed capacity beyond what this host requires.
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

    /// Own capacity that this host can lend. It keeps the depth that refundable tokens need.
    pub(super) fn lendable(&self) -> Share {
        let kept = self.required(SCARCE_HEADROOM).minus(self.borrowed);
        let mut spare = self.own.minus(self.lent).minus(kept);
        spare.depth = spare
            .depth
            .min((self.usable().depth - self.refundable_tokens).max(0.0));
        spare
    }

    /// Whether this host has lent more than its own part, which a new configuration may reduce.
    pub(super) fn is_overlent(&self) -> bool {
        let allowed = self.own.scaled(1.0 + ROUNDING_ERROR);
        self.lent.rate > allowed.rate + ROUNDING_ERROR
            || self.lent.depth > allowed.depth + ROUNDING_ERROR
    }

    /// Whether this host has lent or borrowed any of this customer's capacity.
    pub(super) fn has_loans(&self) -> bool {
        let loans = self.lent.plus(self.borrowed);
        loans.rate > ROUNDING_ERROR || loans.depth > ROUNDING_ERROR
    }

    /// Removes and returns the tokens that belong to `depth` of the bucket. A negative level stays.
    pub(super) fn withdraw_tokens(&mut self, depth: f64) -> f64 {
        let usable_depth = self.usable().depth;
        if usable_depth <= 0.0 {
            return 0.0;
        }
        let tokens = self.level.max(0.0) * (depth / usable_depth).clamp(0.0, 1.0);
        self.level -= tokens;
        tokens
    }
}
