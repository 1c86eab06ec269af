use {
    crate::common::ms,
    greengagecleat::proxy::{
        follow::Section,
        readiness::{Cause, Notice, Obstacle, Readiness},
    },
};

/// Plays ten minutes in steps of 50 ms; returns the notices with the milliseconds at which they came.
fn play(obstacle: impl Fn(u64) -> Option<Obstacle>) -> Vec<(u64, Notice)> {
    let mut readiness = Readiness::new(ms(0));
    let times = (0..600_000).step_by(50);
    times
        .filter_map(|at| Some((at, readiness.observe(ms(at), obstacle(at))?)))
        .collect()
}

#[test]
fn a_host_that_is_ready_soon_says_one_thing() {
    let notices = play(|at| (at < 900).then_some(Obstacle::StoreUnread));
    let ready = Notice::Ready { lasted: ms(900) };
    assert_eq!(notices, [(900, ready)]);
}

#[test]
fn a_host_that_is_never_ready_says_why_less_and_less_often() {
    let notices = play(|_| Some(Obstacle::ConfigurationUnreadable));
    let times: Vec<_> = notices.iter().map(|(at, _)| *at / 1_000).collect();
    assert_eq!(times[..8], [1, 2, 4, 8, 16, 32, 64, 124]);
    assert_eq!(times.len(), 15);
}

#[test]
fn another_obstacle_is_told_at_once_but_not_twice_a_second() {
    let notices = play(|at| match at {
        0..5_000 => Some(Obstacle::StoreUnread),
        5_000..8_000 if at % 100 == 0 => Some(Obstacle::ConfigurationMissing),
        5_000..8_000 => Some(Obstacle::UpstreamsUnread),
        8_000..300_000 => None,
        _ => Some(Obstacle::Leaving),
    });
    let told = |range: std::ops::Range<u64>| {
        let within = notices.iter().filter(|(at, _)| range.contains(at));
        within.count()
    };
    assert_eq!(told(0..5_000), 3);
    assert_eq!(told(5_000..5_100), 1);
    assert_eq!(told(5_000..8_000), 3);
    assert_eq!(told(8_000..600_000), 1);
}

#[test]
fn the_failure_of_an_obstacle_is_kept_until_it_is_gone() {
    let mut readiness = Readiness::new(ms(0));
    readiness.fail(Cause::Store(Section::Upstreams), "refused");
    readiness.fail(Cause::Configuration, &"x".repeat(1_000));
    assert_eq!(readiness.reason(Obstacle::UpstreamsUnread), Some("refused"));
    assert_eq!(readiness.reason(Obstacle::StoreUnread), None);
    let reason = readiness.reason(Obstacle::ConfigurationUnreadable);
    assert_eq!(reason.map(str::len), Some(200));
    readiness.succeed(Cause::Configuration);
    assert_eq!(readiness.reason(Obstacle::ConfigurationUnreadable), None);
}
