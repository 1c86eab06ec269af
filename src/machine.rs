//! The trait of the state machines that make all decisions.
//!
//! A machine does no I/O, reads no clock and uses no global random state. The same events at the
//! same times with the same seed produce the same actions in the daemon, in property tests, in
//! golden sessions and under an external driver.

use std::time::Duration;

/// A pure state machine: events and the time in, actions out.
pub trait Machine {
    /// An input of the machine: a message, a timer or a request.
    type Event;
    /// An effect that the service around the machine must carry out.
    type Action;

    /// Handles one event at `now`, the monotonic time since the clock's origin, and returns the
    /// actions to carry out, in order.
    fn step(&mut self, now: Duration, event: Self::Event) -> Vec<Self::Action>;
}
