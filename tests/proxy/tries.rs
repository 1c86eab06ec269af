//! When the store is asked again: load patterns of a store that is slow, away, or answers errors.

use {
    greengagecleat::proxy::tries::{Due, Tries},
    quickcheck::{Gen, QuickCheck},
    std::time::Duration,
};

/// Time in which an answer should come.
const LIMIT: Duration = Duration::from_millis(800);
/// Longest pause between two tries.
const MAX_PAUSE: Duration = Duration::from_millis(1_300);
/// Time after which a try is given up.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(15);

/// When an answer comes, and whether it is a success.
type Reply = (Duration, bool);

/// One question to a store that answers as `reply` says for the time at which a try starts: after a time, with
/// success or not, or never.
struct Play {
    tries: Tries,
    now: Duration,
    /// Tries without an answer: number, start, and the answer with the time at which it comes.
    running: Vec<(u64, Duration, Option<Reply>)>,
    started: u32,
    most_running: usize,
    /// Whether late tries go on.
    keeps_late: bool,
}

impl Play {
    fn new() -> Self {
        Self {
            tries: Tries::default(),
            now: Duration::ZERO,
            running: Vec::new(),
            started: 0,
            most_running: 0,
            keeps_late: true,
        }
    }

    /// Asks until an answer comes, or for two minutes; returns how long that took.
    fn ask(&mut self, reply: impl Fn(Duration) -> Option<Reply>) -> Option<Duration> {
        let asked_at = self.now;
        self.tries.reset();
        self.running.clear();
        while self.now < asked_at + Duration::from_secs(120) {
            let now = self.now;
            self.running
                .retain(|(_, started_at, _)| now < *started_at + MAX_ANSWER_TIME);
            let next = self.running.iter().filter_map(|(.., answer)| *answer).min();
            let due = self.tries.due(now);
            if let Some((at, is_success)) = next.filter(|(at, _)| *at <= now) {
                let place = self.running.iter().position(|(.., answer)| *answer == next);
                let (number, started_at, _) = self.running.remove(place.unwrap());
                if is_success {
                    self.tries.succeed(at - started_at, LIMIT);
                    return Some(now - asked_at);
                }
                if self.tries.is_open(number) {
                    self.tries.fail(now, 1.3);
                }
                continue;
            }
            match due {
                Due::Try => {
                    let number = self.tries.start(now, LIMIT);
                    let answer = reply(now).map(|(time, is_success)| (now + time, is_success));
                    self.running.push((number, now, answer));
                    self.started += 1;
                    self.most_running = self.most_running.max(self.running.len());
                }
                Due::Late => {
                    self.tries.fail(now, 1.3);
                    if !self.keeps_late {
                        self.running.clear();
                    }
                }
                Due::Nothing(wait) => {
                    let until = next.map_or(now + wait, |(at, _)| at.min(now + wait));
                    self.now = until;
                }
            }
        }
        None
    }
}

/// A store whose answers all took longer than the limit never had one taken.
#[test]
fn a_store_that_is_slow_by_any_factor_is_waited_for() {
    fn is_answered(millis: u16) -> bool {
        let time = Duration::from_millis(u64::from(millis) % 14_000);
        let mut play = Play::new();
        let first = play.ask(|_| Some((time, true)));
        let after = play.ask(|_| Some((time, true)));
        first == Some(time) && after == Some(time) && play.most_running <= 16
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 67))
        .tests(300)
        .quickcheck(is_answered as fn(u16) -> bool);
    let mut impatient = Play::new();
    impatient.keeps_late = false;
    let answered = impatient.ask(|_| Some((Duration::from_millis(900), true)));
    assert_eq!(answered, None, "the property finds what it guards against");
}

/// Late tries that go on delay none after the store's return.
#[test]
fn a_store_that_was_silent_is_asked_soon_after_its_return() {
    for away_ms in [500, 900, 5_000, 30_000, 61_234] {
        let back = Duration::from_millis(away_ms);
        let mut play = Play::new();
        let reply = |at| (at >= back).then_some((Duration::from_millis(4), true));
        let took = play.ask(reply).expect("it is back");
        assert!(took < back + LIMIT + MAX_PAUSE, "{took:?} for {back:?}");
        assert!(play.most_running <= 16);
        let most = 4 + (took.as_millis() / (LIMIT + Duration::from_secs(1)).as_millis()) as u32;
        assert!(play.started <= most, "{} tries in {took:?}", play.started);
    }
}

#[test]
fn errors_lengthen_the_pause_up_to_a_bound() {
    let mut play = Play::new();
    let back = Duration::from_secs(20);
    let reply = |at| Some((Duration::from_millis(1), at >= back));
    let took = play.ask(reply).expect("it is back");
    assert!(took < back + MAX_PAUSE);
    assert!((15..=25).contains(&play.started), "{} tries", play.started);
    assert_eq!(play.most_running, 1);
}

/// After answers that were late, the limit is longer by at most 0.6 s, and soon no longer.
#[test]
fn a_dead_connection_shows_early_after_late_answers() {
    let mut tries = Tries::default();
    tries.start(Duration::ZERO, LIMIT);
    tries.succeed(Duration::from_secs(10), LIMIT);
    let mut limits = Vec::new();
    for _ in 0..4 {
        tries.start(Duration::ZERO, LIMIT);
        let Due::Nothing(limit) = tries.due(Duration::ZERO) else {
            panic!("it has just started");
        };
        limits.push(limit.as_millis());
        tries.succeed(Duration::from_millis(4), LIMIT);
    }
    assert_eq!(limits, [1_400, 1_100, 950, 875]);
}
