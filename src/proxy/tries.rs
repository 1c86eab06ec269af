//! Decides when a question to the platform's store is asked again.
//!
//! A try without an answer in time counts as failed, and another one starts after a pause. The late one
//! goes on beside it: a store that is slow answers in the end, however slow it is, while a dead
//! connection never brings an answer and costs no more than the time limit. A late answer that comes
//! after all lengthens the limit of the next questions.

use std::time::Duration;

/// Pause after the first failed try.
const MIN_PAUSE: Duration = Duration::from_millis(150);
/// Upper bound on the pause after consecutive failed tries.
const MAX_PAUSE: Duration = Duration::from_millis(1_000);
/// Most time that late answers add to a limit; a dead connection must show well within the time in which
/// a leaving upstream has to be known.
const MAX_ALLOWANCE: Duration = Duration::from_millis(600);

/// The tries of one question after the other. Times are those of a [`Clock`](crate::clock::Clock).
#[derive(Debug, Default)]
pub struct Tries {
    state: State,
    /// Number of the newest try.
    newest: u64,
    /// Consecutive failures.
    failures: u32,
    /// Time added to the limits, as answers were late.
    allowance: Duration,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum State {
    /// A try may start at once.
    #[default]
    Ready,
    /// The newest try has until then to be answered.
    Asked(Duration),
    /// The next try starts then.
    Paused(Duration),
}

/// What is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Due {
    /// A try.
    Try,
    /// The end of the newest try's time limit: [`Tries::fail`] is to be called.
    Late,
    /// Nothing for this long.
    Nothing(Duration),
}

impl Tries {
    /// Begins another question. A pause goes on.
    pub fn reset(&mut self) {
        if let State::Asked(_) = self.state {
            self.state = State::Ready;
        }
    }

    /// What is due now.
    pub fn due(&self, now: Duration) -> Due {
        match self.state {
            State::Ready => Due::Try,
            State::Asked(until) if now >= until => Due::Late,
            State::Paused(until) if now >= until => Due::Try,
            State::Asked(until) | State::Paused(until) => Due::Nothing(until - now),
        }
    }

    /// Starts a try that should be answered within a time; returns its number.
    pub fn start(&mut self, now: Duration, limit: Duration) -> u64 {
        self.state = State::Asked(now + limit + self.allowance);
        self.newest += 1;
        self.newest
    }

    /// Whether a failure of a try counts: it is the newest one, and not late.
    pub fn is_open(&self, number: u64) -> bool {
        number == self.newest && matches!(self.state, State::Asked(_))
    }

    /// Records that the newest try has failed. The next one starts after a pause, which doubles with each
    /// consecutive failure and is multiplied by `jitter`.
    pub fn fail(&mut self, now: Duration, jitter: f64) {
        self.failures += 1;
        let pause = MIN_PAUSE * 2_u32.pow(self.failures.min(4) - 1);
        self.state = State::Paused(now + pause.min(MAX_PAUSE).mul_f64(jitter));
    }

    /// Records an answer that took this time, for a try with this limit.
    pub fn succeed(&mut self, time: Duration, limit: Duration) {
        self.failures = 0;
        self.state = State::Ready;
        let over = time.saturating_sub(limit);
        self.allowance = (over * 3 / 2).max(self.allowance / 2).min(MAX_ALLOWANCE);
    }
}
