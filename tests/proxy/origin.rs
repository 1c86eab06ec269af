//! Records of the builds that began streams: how long they are held, who holds them, and what is
//! known without one.

use {
    crate::common::{self, POOL, core, entry, identity, ms, setup},
    greengagecleat::{
        name,
        proxy::{
            core::{Core, Sole},
            entry::Entry,
            fleet::{Builds, Report},
            origin::{Key, Ledger, MAX_TTL, Message, Record},
        },
    },
    quickcheck::{Gen, QuickCheck},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

fn record(request: &str, build: &str, ttl: Duration) -> Record {
    Record {
        key: Key::new(request),
        build: build.into(),
        ttl,
    }
}

#[test]
fn a_record_is_held_for_its_time_and_no_longer() {
    let mut ledger = Ledger::default();
    ledger.insert(ms(0), record("a", "b1", ms(100)));
    ledger.insert(ms(0), record("b", "b2", Duration::MAX));
    let build = |ledger: &Ledger, at, request| ledger.build(at, Key::new(request)).cloned();
    assert_eq!(build(&ledger, ms(99), "a"), Some("b1".into()));
    assert_eq!(build(&ledger, ms(100), "a"), None);
    assert_eq!(build(&ledger, MAX_TTL - ms(1), "b"), Some("b2".into()));
    assert_eq!(build(&ledger, MAX_TTL, "b"), None);
    assert_eq!(build(&ledger, ms(0), "c"), None);
    ledger.expire(ms(100));
    assert_eq!(ledger.len(), 1);
    ledger.expire(MAX_TTL);
    assert!(ledger.is_empty());
}

#[test]
fn others_are_told_once_of_streams_that_began_here_and_never_of_others() {
    let mut ledger = Ledger::default();
    ledger.begin(ms(0), record("own", "b1", ms(100)));
    ledger.begin(ms(0), record("over", "b1", ms(10)));
    ledger.insert(ms(0), record("told", "b1", ms(100)));
    assert_eq!(ledger.take_untold(ms(20)), [record("own", "b1", ms(80))]);
    assert_eq!(ledger.take_untold(ms(20)), []);
}

#[test]
fn a_ledger_does_not_grow_without_bound() {
    let mut ledger = Ledger::default();
    for n in 0..70_000_u64 {
        let ttl = ms(1_000 + n % 1_000);
        ledger.insert(ms(0), record(&format!("r-{n}"), "b1", ttl));
    }
    assert_eq!(ledger.len(), 65_536);
    ledger.expire(ms(2_000));
    assert!(ledger.is_empty());
}

/// Hosts of two regions that have heard of each other.
fn fleet(hosts: &[(&'static str, &'static str)]) -> BTreeMap<&'static str, Core> {
    let mut cores = BTreeMap::new();
    for (own_number, (own, region)) in hosts.iter().enumerate() {
        let mut core = Core::new(ms(0), setup(own, region, own_number as u8 + 1));
        for (number, (other, region)) in hosts.iter().enumerate() {
            if other != own {
                let from = identity(other, region, number as u8 + 1);
                core.receive_report(ms(0), common::report(from, 1));
            }
        }
        cores.insert(*own, core);
    }
    cores
}

/// Lets a stream begin at `first`, and delivers what it tells others to those that are not `gone`.
fn begin(
    cores: &mut BTreeMap<&'static str, Core>,
    first: &str,
    request: &str,
    gone: &BTreeSet<&str>,
) {
    let began = record(request, "b1", ms(5_000));
    let core = cores.get_mut(first).unwrap();
    core.origins.begin(ms(0), began);
    for (host, message) in core.untold_streams(ms(0)) {
        let Message::Began(records) = message else {
            panic!("only records are told: {message:?}");
        };
        if !gone.contains(host.as_str()) {
            let core = cores.get_mut(host.as_str()).unwrap();
            records
                .into_iter()
                .for_each(|record| core.origins.insert(ms(0), record));
        }
    }
}

/// Whether a host knows the build of a stream or learns it from one of those that it asks.
fn is_known(cores: &BTreeMap<&str, Core>, at: &str, request: &str, gone: &BTreeSet<&str>) -> bool {
    let key = Key::new(request);
    let has = |host: &str| cores[host].origins.build(ms(1), key).is_some();
    let asked = cores[at].hosts_to_ask(ms(1), key);
    let mut asked = asked.iter().map(name::Host::as_str);
    has(at) || asked.any(|host| !gone.contains(host) && has(host))
}

const HOSTS: [(&str, &str); 9] = [
    ("n1", "north"),
    ("n2", "north"),
    ("n3", "north"),
    ("n4", "north"),
    ("n5", "north"),
    ("s1", "south"),
    ("s2", "south"),
    ("s3", "south"),
    ("s4", "south"),
];

/// The first host may be lost with any other, or with all others of its region.
#[test]
fn each_host_finds_a_record_after_the_first_host_and_others_are_lost() {
    let hosts = HOSTS.map(|(host, _)| host);
    let mut losses: Vec<BTreeSet<&str>> = Vec::new();
    for first in hosts {
        losses.extend(hosts.iter().map(|other| BTreeSet::from([first, *other])));
    }
    for region in ["north", "south"] {
        let of_region = HOSTS.iter().filter(|(_, own)| *own == region);
        losses.push(of_region.map(|(host, _)| *host).collect());
    }
    for lost in losses {
        for first in &lost {
            for n in 0..20 {
                let mut cores = fleet(&HOSTS);
                let request = format!("r-{n}");
                begin(&mut cores, first, &request, &BTreeSet::new());
                for at in hosts.iter().filter(|host| !lost.contains(*host)) {
                    assert!(
                        is_known(&cores, at, &request, &lost),
                        "{request} {lost:?} {at}"
                    );
                }
            }
        }
    }
}

/// A record is held by a few hosts, however many there are.
#[test]
fn few_hosts_hold_a_record() {
    let mut cores = fleet(&HOSTS);
    begin(&mut cores, "n1", "a", &BTreeSet::new());
    let holders = cores.values().filter(|core| !core.origins.is_empty());
    assert_eq!(holders.count(), 1 + 2 * 2);
}

/// A host in `north` and a report of one in `south`, which have watched their regions this long.
fn watching(own: Duration, other: Duration, builds: &[&str]) -> (Core, Duration) {
    let mut core = core(2);
    let now = ms(60_000);
    core.catalog.set_reachable(now - own, false);
    core.catalog.set_reachable(now - own, true);
    let pools = BTreeMap::from([(
        POOL.into(),
        builds.iter().map(|build| (*build).into()).collect(),
    )]);
    let report = Report {
        builds: Builds {
            watched: other,
            pools,
        },
        ..common::report(identity("s1", "south", 2), 1)
    };
    core.receive_report(now, report);
    (core, now)
}

#[test]
fn one_build_is_taken_for_granted_only_if_all_regions_were_watched_for_long() {
    let lifetime = core(1).table().unwrap().longest_stream();
    let only = |own, other, builds: &[&str]| {
        let (core, now) = watching(own, other, builds);
        match core.only_build(now, now, &POOL.into()) {
            Sole::Known(build) => Some(build),
            Sole::Unconfirmed | Sole::Unknown => None,
        }
    };
    let short = lifetime - ms(1);
    assert_eq!(only(lifetime, lifetime, &["b1"]), Some("b1".into()));
    assert_eq!(only(lifetime, lifetime, &[]), Some("b1".into()));
    assert_eq!(only(lifetime, lifetime, &["b2"]), None);
    assert_eq!(only(lifetime, lifetime, &["b1", "b2"]), None);
    assert_eq!(only(short, lifetime, &["b1"]), None);
    assert_eq!(only(lifetime, short, &["b1"]), None);
    let (core, now) = watching(lifetime, lifetime, &["b1"]);
    let late = now + ms(3_600);
    assert_eq!(core.only_build(late, now, &POOL.into()), Sole::Unknown);
}

/// A build whose last upstream has left may still have streams that callers resume.
#[test]
fn a_build_that_has_left_counts_for_the_life_of_a_stream() {
    let lifetime = core(1).table().unwrap().longest_stream();
    let (mut core, now) = watching(lifetime, lifetime, &["b1"]);
    let other = Entry {
        build: "b2".into(),
        ..entry("e9", "north-a", POOL, 1)
    };
    core.catalog.upsert(now, other);
    core.catalog.remove(now, &"e9".into());
    core.catalog.expire(now + ms(2_200));
    let left = now + ms(2_200);
    assert_eq!(core.only_build(left, now, &POOL.into()), Sole::Unknown);
    let later = now + ms(2_200) + lifetime + ms(1);
    let report = Report {
        builds: core_builds(&core, lifetime, later),
        ..common::report(identity("s1", "south", 2), 2)
    };
    core.receive_report(later, report);
    let only = core.only_build(later, later, &POOL.into());
    assert_eq!(only, Sole::Known("b1".into()));
}

fn core_builds(core: &Core, lifetime: Duration, now: Duration) -> Builds {
    Builds {
        watched: lifetime,
        pools: core.catalog.recent_builds(now, lifetime),
    }
}

/// Whatever begins, expires and is told in any order, a ledger answers with the last record that
/// has not expired.
#[test]
fn a_ledger_agrees_with_a_list_of_records() {
    fn holds(steps: Vec<(u8, u8, u16, bool)>) -> bool {
        let mut ledger = Ledger::default();
        let mut model: BTreeMap<u8, (Duration, u8)> = BTreeMap::new();
        let mut now = ms(0);
        for (request, build, ttl, expires) in steps {
            now += ms(u64::from(ttl % 50));
            let ttl = ms(u64::from(ttl));
            let text = request.to_string();
            ledger.insert(now, record(&text, &build.to_string(), ttl));
            model.insert(request, (now + ttl, build));
            if expires {
                ledger.expire(now);
            }
            let agrees = model.iter().all(|(request, (until, build))| {
                let expected = (now < *until).then(|| name::Build::from(build.to_string()));
                let key = Key::new(&request.to_string());
                ledger.build(now, key).cloned() == expected
            });
            if !agrees {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 5))
        .tests(300)
        .quickcheck(holds as fn(Vec<(u8, u8, u16, bool)>) -> bool);
}

/// A host that was cut off from the others for a few seconds sent streams that another build had begun
/// meanwhile to the only one that it knew.
#[test]
fn a_host_out_of_step_takes_no_build_for_the_only_one() {
    let lifetime = core(1).table().unwrap().longest_stream();
    let pool = POOL.into();
    let told = |sequence, builds: &[&str]| {
        let builds = builds.iter().map(|build| (*build).into()).collect();
        let pools = BTreeMap::from([(POOL.into(), builds)]);
        let watched = lifetime;
        Report {
            builds: Builds { watched, pools },
            ..common::report(identity("s1", "south", 2), sequence)
        }
    };
    let (mut core, now) = watching(lifetime, lifetime, &["b1"]);
    let asked_at = now + ms(2_000);
    assert_eq!(
        core.only_build(asked_at, asked_at, &pool),
        Sole::Unconfirmed
    );
    core.receive_report(asked_at + ms(100), told(2, &["b1"]));
    let later = asked_at + ms(110);
    assert_eq!(
        core.only_build(later, asked_at, &pool),
        Sole::Known("b1".into())
    );
    // Another host of the region is live, and has not been heard since.
    core.receive_report(
        asked_at - ms(10),
        common::report(identity("n2", "north", 3), 1),
    );
    assert_eq!(core.only_build(later, asked_at, &pool), Sole::Unconfirmed);
    core.receive_report(later, common::report(identity("n2", "north", 3), 2));
    assert_eq!(
        core.only_build(later, asked_at, &pool),
        Sole::Known("b1".into())
    );
    core.receive_report(asked_at + ms(200), told(3, &["b1", "b2"]));
    let later = asked_at + ms(210);
    assert_eq!(core.only_build(later, asked_at, &pool), Sole::Unknown);
}

/// What had arrived while a host stood still was not read yet.
#[test]
fn a_host_that_stood_still_takes_no_build_for_the_only_one_at_once() {
    let lifetime = core(1).table().unwrap().longest_stream();
    let (mut core, now) = watching(lifetime, lifetime, &["b1"]);
    let pool = POOL.into();
    core.record_step(now);
    assert_eq!(core.only_build(now, now, &pool), Sole::Known("b1".into()));
    let later = now + ms(2_000);
    assert_eq!(
        core.only_build(later, now, &pool),
        Sole::Unconfirmed,
        "before it has noticed"
    );
    core.record_step(later);
    assert_eq!(core.only_build(later, now, &pool), Sole::Unconfirmed);
    for step in 1..=21 {
        core.record_step(later + ms(50) * step);
    }
    let caught_up = later + ms(1_050);
    assert_eq!(
        core.only_build(caught_up, now, &pool),
        Sole::Known("b1".into())
    );
}
