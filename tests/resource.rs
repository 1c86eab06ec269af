//! Tests of the limits of a process and of what follows from them.

use {
    greengagecleat::{
        metric::Metrics,
        net::room::{Evictions, Room},
        resource::{Limit, Limits, Setting, Shares, Source},
    },
    quickcheck::quickcheck,
    std::time::{Duration, SystemTime},
};

fn limits(memory: u64, descriptors: u64) -> Limits {
    let limit = |value| Limit {
        value,
        source: Source::Settings,
    };
    Limits {
        memory: limit(memory),
        descriptors: limit(descriptors),
    }
}

#[test]
fn the_least_limit_that_is_known_is_in_force() {
    let known = [
        (Source::Settings, Some(260)),
        (Source::Machine, Some(31_000)),
        (Source::ControlGroup, None),
        (Source::Data, Some(200)),
    ];
    let least = Limit::least(known, 100);
    assert_eq!((least.value, least.source), (200, Source::Data));
    let assumed = Limit::least([(Source::Settings, None)], 100);
    assert_eq!((assumed.value, assumed.source), (100, Source::Assumed));
}

/// Guards against other shares on machines as deployments have them, without notice.
#[test]
fn shares_of_common_machines() {
    let shares = |memory, descriptors| limits(memory, descriptors).shares();
    let small = Shares {
        ledger: 20_000_000,
        messages: 40_000_000,
        callers: 813,
        peers: 762,
        directory: 254,
        pages: 64,
    };
    assert_eq!(shares(160_000_000, 4_100), small);
    let usual = Shares {
        ledger: 24 << 20,
        messages: 65_000_000,
        callers: 1_210,
        peers: 726,
        directory: 242,
        pages: 64,
    };
    assert_eq!(shares(260_000_000, 3_900), usual);
}

quickcheck! {
    /// Each caller's connection finds a descriptor for one to an upstream, and everything that is held at
    /// once fits in the memory.
    fn shares_are_within_the_limits(memory: u32, descriptors: u16) -> bool {
        let memory = 160_000_000 + u64::from(memory);
        let descriptors = 160 + u64::from(descriptors);
        let shares = limits(memory, descriptors).shares();
        let accepted = shares.callers + shares.peers + shares.directory + 2 * shares.pages;
        let held = 2 * shares.ledger + shares.messages + 64 * 1_024 * shares.callers;
        (accepted + shares.callers) as u64 <= descriptors && held as u64 <= memory
    }
}

/// Guards against connections in use that are closed for new ones.
#[tokio::test]
async fn the_connection_that_has_been_idle_for_longest_makes_room() {
    let room = Room::new(3, Evictions::default());
    let places = futures::future::join_all((0..3).map(|_| room.enter())).await;
    let places: Vec<_> = places.into_iter().flatten().collect();
    let is_evicted = |at: usize| futures::FutureExt::now_or_never(places[at].evicted()).is_some();
    places[0].touch();
    places[1].set_busy(true);
    let fourth = room.enter().await.unwrap();
    assert_eq!([0, 1, 2].map(is_evicted), [false, false, true]);
    let fifth = room.enter().await.unwrap();
    assert_eq!([0, 1, 2].map(is_evicted), [true, false, false]);
    fifth.set_busy(true);
    fourth.set_busy(true);
    assert!(room.enter().await.is_none(), "all are in use");
    drop(fifth);
    assert!(room.enter().await.is_some());
}

#[test]
fn the_page_tells_what_the_process_uses() {
    let metrics = Metrics::new();
    let started_at = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000);
    let limits = Limits::read(Setting {
        memory: Some(77_000_000),
        descriptors: Some(9),
    });
    limits.register(&metrics, started_at);
    let page = metrics.render();
    let value = |name: &str| {
        let prefix = format!("greengagecleat_{name} ");
        let line = page.lines().find_map(|line| line.strip_prefix(&prefix));
        line.and_then(|value| value.parse::<u64>().ok())
    };
    assert_eq!(value("resident_bytes_limit"), Some(77_000_000), "{page}");
    assert_eq!(value("open_descriptors_limit"), Some(9));
    assert_eq!(value("start_time_seconds"), Some(1_000));
    let resident = value("resident_bytes").unwrap();
    assert!((1 << 20..=value("resident_bytes_peak").unwrap()).contains(&resident));
    assert!(value("open_descriptors").is_some_and(|open| open >= 3));
}
