//! Placement of streams that must go on at the build that began them.

use {
    crate::common::{self, POOL, address, core, entry, forwardable, identity, job, ms},
    greengagecleat::proxy::{
        core::{Core, Placement},
        entry::Entry,
        fleet::{Report, Spare},
        place::Job,
    },
    std::{collections::BTreeSet, time::Duration},
};

/// A host with engines `e0`, `e1`, … of these builds.
fn mixed_core(builds: &[&str]) -> Core {
    let mut core = core(0);
    let entries = builds.iter().enumerate().map(|(n, build)| Entry {
        build: (*build).into(),
        address: address(n as u8 + 1),
        ..entry(&format!("e{n}"), "north-a", POOL, 1)
    });
    core.catalog.replace_all(ms(0), entries.collect());
    core
}

fn pinned(core: &Core, now: Duration, n: u64, build: &str) -> Job {
    Job {
        build: Some(build.into()),
        ..job(core, now, n, 10_000 + n)
    }
}

fn report_from_south(core: &mut Core, builds: &[&str]) {
    let spare = Spare {
        wait_ms: 50.0,
        tokens: 100_000.0,
        requests: 200.0,
        rate: 80.0,
        unreserved: None,
        pressure: None,
        builds: builds.iter().map(|build| (*build).into()).collect(),
    };
    let report = Report {
        spare: vec![(POOL.into(), spare)],
        ..common::report(identity("s1", "south", 3), 1)
    };
    core.receive_report(ms(0), report);
}

#[test]
fn only_upstreams_of_its_build_get_a_stream_that_goes_on() {
    let mut core = mixed_core(&["b1", "b2", "b1", "b2"]);
    let mut chosen = BTreeSet::new();
    for n in 0..40 {
        let next = pinned(&core, ms(0), n, "b2");
        if let Placement::Local(grant) = core.place(ms(0), &next) {
            assert_eq!(grant.build, "b2".into());
            chosen.insert(grant.upstream);
        }
    }
    assert_eq!(chosen, BTreeSet::from(["e1".into(), "e3".into()]));
}

/// A new stream has the whole pool to choose from, one that goes on may have to wait for its build.
#[test]
fn a_stream_that_goes_on_waits_where_a_new_one_would_be_refused() {
    let mut core = mixed_core(&["b1", "b1", "b2"]);
    for n in 0..1_000 {
        let next = job(&core, ms(0), n, 10_000 + n);
        if core.place(ms(0), &next) == Placement::Wait {
            break;
        }
    }
    let goes_on = pinned(&core, ms(0), 5_000, "b2");
    assert!(matches!(core.place(ms(0), &goes_on), Placement::Local(_)));
}

#[test]
fn a_stream_whose_build_serves_elsewhere_is_forwarded_there() {
    let mut core = mixed_core(&["b1"]);
    report_from_south(&mut core, &["b2"]);
    let there = forwardable(&pinned(&core, ms(0), 1, "b2"));
    assert!(matches!(core.place(ms(0), &there), Placement::Remote(_)));
    let here = forwardable(&pinned(&core, ms(0), 2, "b1"));
    assert!(matches!(core.place(ms(0), &here), Placement::Local(_)));
}

#[test]
fn a_stream_whose_build_serves_nowhere_is_refused_at_once() {
    let mut core = mixed_core(&["b1"]);
    report_from_south(&mut core, &["b2"]);
    let gone = forwardable(&pinned(&core, ms(0), 1, "b3"));
    assert_eq!(core.place(ms(0), &gone), Placement::Wait);
    assert!(core.wait_limit(ms(0), &gone).is_zero());
}
