//! Sharing of a pool's load among regions whose peaks come at different times.
//!
//! The expected load: one region is at 2.8 times its mean while another one is nearly idle. An engine
//! that prefills all the time still begins its answers on time, but each of them pauses for as long as
//! the chunks between two events take. So requests leave a busy region before they would be late
//! there, in proportion to how much less busy the other region is. Many hosts decide from the same
//! reports; a share of the requests at random, rather than all or none, keeps the load from moving to
//! and fro.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Pressure up to which a region keeps its requests.
const MIN_PRESSURE: f64 = 0.15;
/// Difference in pressure up to which requests stay, because the way between regions costs time and
/// bytes, and reports are some hundred milliseconds old.
const MARGIN: f64 = 0.05;
/// Share of the longest on-time pause that counts as half of the highest pressure when engines have
/// that much to prefill on average.
const HALF_PRESSURE_SHARE: f64 = 0.25;

/// How busy the engines of a pool are in one region, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Pressure(f32);

impl Pressure {
    /// The pressure at this mean share of slots taken and mean time of prefill that waits at an engine.
    /// `max_gap` is the longest pause between two events of an answer that is on time.
    pub fn new(slots_taken: f64, prefill: Duration, max_gap: Duration) -> Self {
        let half = max_gap.mul_f64(HALF_PRESSURE_SHARE).as_secs_f64();
        let prefill = prefill.as_secs_f64();
        let prefill_pressure = prefill / (prefill + half).max(f64::MIN_POSITIVE);
        Self(slots_taken.max(prefill_pressure).clamp(0.0, 1.0) as f32)
    }

    /// Whether it is a pressure; another host may report any number.
    pub fn is_valid(self) -> bool {
        (0.0..=1.0).contains(&self.0)
    }

    /// Whether a region is so busy that requests may leave it.
    pub fn is_high(self) -> bool {
        f64::from(self.0) >= MIN_PRESSURE
    }

    /// Share of a region's requests, from 0 to 1, that go to a region with the pressure `other`. `room`
    /// is the number of slots that are free there for each one that is taken here.
    pub fn share_away(self, other: Self, room: f64) -> f64 {
        if !self.is_high() || !other.is_valid() {
            return 0.0;
        }
        let (own, other) = (f64::from(self.0), f64::from(other.0));
        let share = (own - other - MARGIN) / own;
        share.min(room).clamp(0.0, 1.0)
    }

    /// The pressure as a number, from 0 to 1.
    pub fn value(self) -> f32 {
        self.0
    }
}
