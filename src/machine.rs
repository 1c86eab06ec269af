//! The shape that every decision has: a pure state machine.
//!
//! A machine does no input or output, reads no clock and holds no global randomness. The same
//! events at the same times with the same seed give the same actions, in the daemon, in property
//! tests, in golden sessions and under an outside driver.

use std::time::Duration;

/// A pure state machine: events and the time in, actions out.
pub trait Machine {
    /// What happened.
    type Event;
    /// What the shell around the machine must now do.
    type Action;

    /// Takes one event at `now`, monotonic time since the process's origin, and returns the
    /// actions that follow, in order.
    fn step(&mut self, now: Duration, event: Self::Event) -> Vec<Self::Action>;
}
