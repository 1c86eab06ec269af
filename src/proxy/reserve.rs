//! Slots of engines that are kept for the most urgent requests of a pool.
//!
//! The expected load: long prompts with a low priority and short ones with a high priority share the
//! engines of a pool. A request keeps its slot for seconds, and prefills of the long prompts
//! lengthen all answers, so at a peak long prompts held half of the slots while twice as many urgent
//! requests were rejected for want of one. Engines order only what waits at them; so the share is
//! kept before requests are sent, for as long as the most urgent route is in use.
//!
//! What counts is the priority of the route. That of a customer orders requests in queues and at
//! engines; if it opened the kept slots, one busy customer's long prompts would fill them all.

use std::time::Duration;

/// How long slots are kept after the last request of the most urgent route, so that a route that is
/// seldom used doesn't take them from the others.
pub const KEPT_FOR: Duration = Duration::from_secs(5);

/// Share of an engine's slots that only the most urgent requests may take. The others can still use
/// half of the engine, so that they aren't rejected while most slots are free.
const RESERVED_SHARE: f64 = 0.5;

/// Slots of an engine that requests of a route with this priority, 0 the most urgent, may take. `most_urgent` is
/// the priority of the most urgent route that is in use there; `None` if slots are kept for none.
pub fn open_slots(slots: u32, priority: u8, most_urgent: Option<u8>) -> u32 {
    if most_urgent.is_none_or(|most_urgent| priority <= most_urgent) {
        return slots;
    }
    let reserved = (f64::from(slots) * RESERVED_SHARE) as u32;
    slots - reserved
}
