//! When rejected clients of an overloaded pool should retry.
//!
//! A client retries once. One that returns while the overload lasts is rejected for good, so the delay
//! that it is told follows how long the overload is expected to last: as long again as it has lasted.

use std::{collections::VecDeque, time::Duration};

/// Time over which the share of rejections is taken. A small host sees about five requests a second for
/// a pool, so a shorter window would hold too few to tell a share.
const WINDOW: Duration = Duration::from_secs(2);
/// Length of the slots in which requests are counted.
const SLOT: Duration = Duration::from_millis(250);
/// Share of rejections at which a pool may be overloaded.
const MIN_SHARE: f64 = 0.2;
/// Share of rejections below which an overload has ended. Lower than [`MIN_SHARE`], so that a share that
/// varies around that one does not begin and end overloads.
const END_SHARE: f64 = 0.1;
/// Fewest rejections in the window that make a share.
const MIN_REJECTED: u32 = 2;
/// Time for which requests must have been rejected. Shorter bursts are over before any retry arrives.
const MIN_AGE: Duration = Duration::from_secs(1);
/// Longest delay that is told.
const MAX_DELAY: Duration = Duration::from_secs(5);
/// Longest delay as a share of the client's remaining time. Clients honour a third of what remains when
/// the response arrives, which is less than what remains when it is sent.
const MAX_TIME_SHARE: f64 = 0.33;
/// Shortest delay as a share of the longest one where that is limited, so that retries are still spread.
const MIN_SPREAD_SHARE: f64 = 0.9;

/// Requests of one slot.
#[derive(Debug, Default)]
struct Slot {
    number: u128,
    placed: u32,
    rejected: u32,
    /// When the first one was rejected.
    rejected_at: Option<Duration>,
}

/// Whether requests for one pool are being rejected, and since when, as this host sees it.
#[derive(Debug, Default)]
pub struct Overload {
    /// Slots of the window that have requests, the oldest first.
    slots: VecDeque<Slot>,
    /// The first rejection since the share of rejections was last low.
    since: Option<Duration>,
    /// The last rejection.
    rejected_at: Duration,
    /// When the overload began whose beginning was returned, until its end is.
    known_since: Option<Duration>,
}

/// An overload that has begun or ended, to be logged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// Requests have been rejected for long enough to count as an overload.
    Began {
        /// Requests rejected within the window.
        rejected: u32,
        /// Requests placed within the window.
        placed: u32,
    },
    /// Few or no requests are rejected any more.
    Ended {
        /// Time from the first rejection to the last one.
        lasted: Duration,
    },
}

impl Overload {
    /// Records that a request was sent to an upstream or forwarded.
    pub fn record_placement(&mut self, now: Duration) {
        self.slot(now).placed += 1;
    }

    /// Records that a request was rejected for want of capacity.
    pub fn record_rejection(&mut self, now: Duration) {
        self.update(now);
        let slot = self.slot(now);
        slot.rejected += 1;
        slot.rejected_at.get_or_insert(now);
        self.rejected_at = now;
        self.update(now);
    }

    /// Returns whether an overload has begun or ended since the last call. To be called several times a
    /// second.
    pub fn take_change(&mut self, now: Duration) -> Option<Change> {
        self.update(now);
        if let Some(known_since) = self.known_since {
            let lasted = self.rejected_at.saturating_sub(known_since);
            let is_over = self.since.is_none();
            return is_over.then(|| {
                self.known_since = None;
                Change::Ended { lasted }
            });
        }
        self.age(now)?;
        self.known_since = self.since;
        let (placed, rejected) = self.counts();
        Some(Change::Began { rejected, placed })
    }

    /// Whether nothing is known that a new state would lack.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty() && self.known_since.is_none()
    }

    /// How long the overload has lasted; `None` without one.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let since = self.since?;
        let is_sustained = self.rejected_at.saturating_sub(since) >= MIN_AGE;
        is_sustained.then(|| now.saturating_sub(since))
    }

    /// Delay after which a client with so much time left should retry; `None` without an overload.
    ///
    /// It is at least `shortest` and the time for which the overload is expected to last, unless the
    /// client has too little time for that. `draw`, from 0 to 1, is the point within the time over which
    /// retries are spread.
    pub fn delay(
        &self,
        now: Duration,
        shortest: Duration,
        time_left: Duration,
        draw: f64,
    ) -> Option<Duration> {
        let expected = self.age(now)?.max(shortest);
        let limit = time_left.mul_f64(MAX_TIME_SHARE).min(MAX_DELAY);
        let latest = expected.saturating_mul(2).min(limit);
        let earliest = expected.min(latest.mul_f64(MIN_SPREAD_SHARE));
        Some(earliest + (latest - earliest).mul_f64(draw))
    }

    /// Drops what is older than the window, and finds out whether requests are being rejected.
    fn update(&mut self, now: Duration) {
        let oldest = slot_number(now.saturating_sub(WINDOW));
        while self.slots.front().is_some_and(|slot| slot.number < oldest) {
            self.slots.pop_front();
        }
        let (placed, rejected) = self.counts();
        let share = f64::from(rejected) / f64::from((placed + rejected).max(1));
        if self.since.is_some() && share < END_SHARE {
            self.since = None;
        } else if self.since.is_none() && rejected >= MIN_REJECTED && share >= MIN_SHARE {
            self.since = self.slots.iter().find_map(|slot| slot.rejected_at);
        }
    }

    /// Requests placed and rejected within the window.
    fn counts(&self) -> (u32, u32) {
        self.slots.iter().fold((0, 0), |(placed, rejected), slot| {
            (placed + slot.placed, rejected + slot.rejected)
        })
    }

    fn slot(&mut self, now: Duration) -> &mut Slot {
        let number = slot_number(now);
        if self.slots.back().is_none_or(|slot| slot.number < number) {
            self.slots.push_back(Slot {
                number,
                ..Slot::default()
            });
        }
        self.slots.back_mut().expect("a slot was just added")
    }
}

fn slot_number(at: Duration) -> u128 {
    at.as_nanos() / SLOT.as_nanos()
}
