//! The decisions of a start: which errors are waited out, how often a step is tried again, how often
//! that is reported, and which addresses can't be bound together.

use {
    greengagecleat::start::{
        address::overlap,
        retry::{Cause, Plan, Retry, Step},
    },
    std::{io, net::SocketAddr, time::Duration},
};

/// Fails from time 0 until `limit`; returns the times of the failures, and of the reported ones.
fn play(plan: Plan, limit: Duration) -> (Vec<Duration>, Vec<Duration>) {
    let mut retry = Retry::new(plan, Duration::ZERO);
    let (mut now, mut failures, mut reports) = (Duration::ZERO, Vec::new(), Vec::new());
    while now <= limit {
        failures.push(now);
        let Step::Wait { pause, is_reported } = retry.failed(now, Cause::Passing) else {
            break;
        };
        if is_reported {
            reports.push(now);
        }
        now += pause;
    }
    (failures, reports)
}

/// A host whose port is taken for hours would fill the log, or come up long after the port is free.
#[test]
fn an_address_is_tried_without_end_and_reported_seldom() {
    let (failures, reports) = play(Plan::ADDRESS, Duration::from_secs(3_600));
    assert_eq!(failures[1], Duration::from_millis(20));
    let pauses = failures.windows(2).map(|pair| pair[1] - pair[0]);
    assert_eq!(pauses.max(), Some(Plan::ADDRESS.max_pause));
    assert_eq!(reports[0], Duration::ZERO);
    assert!((50..70).contains(&reports.len()), "{}", reports.len());
}

/// Settings that are wrong must be told while somebody looks, and once.
#[test]
fn settings_are_tried_for_five_seconds_and_reported_once_and_at_the_end() {
    let (failures, reports) = play(Plan::SETTINGS, Duration::from_secs(3_600));
    assert_eq!(failures.len(), 101);
    assert_eq!(failures.last(), Some(&Duration::from_secs(5)));
    assert_eq!(reports, [Duration::ZERO]);
}

#[test]
fn what_lasts_is_not_waited_for() {
    let mut retry = Retry::new(Plan::ADDRESS, Duration::ZERO);
    assert_eq!(retry.failed(Duration::ZERO, Cause::Lasting), Step::End);
}

/// Error numbers of Linux that a start may meet.
#[test]
fn errors_that_go_away_by_themselves_are_passing() {
    let cause = |number| Cause::from(&io::Error::from_raw_os_error(number));
    // EINTR, EAGAIN, ENOMEM, ENODEV, ENFILE, EMFILE, EADDRINUSE, EADDRNOTAVAIL, ENOBUFS
    for number in [4, 11, 12, 19, 23, 24, 98, 99, 105] {
        assert_eq!(cause(number), Cause::Passing, "{number}");
    }
    // EPERM, EACCES, EINVAL, EAFNOSUPPORT
    for number in [1, 13, 22, 97] {
        assert_eq!(cause(number), Cause::Lasting, "{number}");
    }
    let in_memory = io::Error::from(io::ErrorKind::AddrInUse);
    assert_eq!(Cause::from(&in_memory), Cause::Passing);
}

/// A process that waits for its own listener waits without end.
#[test]
fn addresses_that_exclude_each_other_are_found() {
    let find = |first: &str, second: &str| {
        let parse = |text: &str| text.parse::<SocketAddr>().unwrap();
        overlap(&[
            ("first", parse(first)),
            ("other", parse("127.0.0.9:9")),
            ("second", parse(second)),
        ])
    };
    for (first, second, expected) in [
        ("10.0.0.1:80", "10.0.0.1:80", true),
        ("10.0.0.1:80", "0.0.0.0:80", true),
        ("[::]:80", "[::1]:80", true),
        ("10.0.0.1:80", "10.0.0.2:80", false),
        ("10.0.0.1:80", "10.0.0.1:81", false),
        ("10.0.0.1:0", "10.0.0.1:0", false),
        // Whether these exclude each other depends on the machine's settings.
        ("10.0.0.1:80", "[::]:80", false),
    ] {
        let found = find(first, second) == Some(("first", "second"));
        assert_eq!(found, expected, "{first} and {second}");
    }
}
