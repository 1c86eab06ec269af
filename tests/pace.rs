//! Replays of loops whose pace another party sets.

use {greengagecleat::pace::Turns, std::time::Duration};

const INTERVAL: Duration = Duration::from_millis(200);

/// Turns within 10 s, where each lasts as long as `lasts` tells of its number.
fn replay(lasts: impl Fn(u32) -> Duration) -> (u32, Duration) {
    let (mut turns, mut now, mut waited) = (Turns::every(INTERVAL), Duration::ZERO, Duration::ZERO);
    for number in 0.. {
        let wait = turns.wait(now);
        (now, waited) = (now + wait, waited + wait);
        if now >= Duration::from_secs(10) {
            return (number, waited);
        }
        turns.begin(now);
        now += lasts(number);
    }
    unreachable!("the loop has no end")
}

/// A store that answered at once was asked 50,000 times in 10 s at 0.2 ms a call.
#[test]
fn a_party_that_answers_at_once_does_not_set_the_pace() {
    let (turns, _) = replay(|_| Duration::from_micros(200));
    assert_eq!(turns, 50);
    let (turns, _) = replay(|_| Duration::ZERO);
    assert_eq!(turns, 50);
}

#[test]
fn turns_that_last_longer_than_the_interval_follow_at_once() {
    let (turns, waited) = replay(|_| Duration::from_secs(1));
    assert_eq!((turns, waited), (10, Duration::ZERO));
    // A storm of changes 330 ms apart is followed without delay.
    let (turns, waited) = replay(|_| Duration::from_millis(330));
    assert_eq!((turns, waited), (31, Duration::ZERO));
}

/// A change that comes just after a turn has begun waits for the rest of the interval, no longer.
#[test]
fn a_turn_waits_for_the_rest_of_the_interval_at_most() {
    let mut turns = Turns::every(INTERVAL);
    let at = Duration::from_secs(5);
    turns.begin(at);
    assert_eq!(turns.wait(at), INTERVAL);
    let later = at + Duration::from_millis(150);
    assert_eq!(turns.wait(later), Duration::from_millis(50));
    // Asking books nothing, so a wait that is dropped delays nobody.
    assert_eq!(turns.wait(later), Duration::from_millis(50));
    assert_eq!(turns.wait(at + INTERVAL), Duration::ZERO);
}
