//! Upstreams that say in their answers that they are leaving: what binds a host, and for how long.

use {
    crate::common::{POOL, core, entry, forwardable, identity, job, ms, report, rows, setup},
    greengagecleat::proxy::{
        catalog::Change,
        core::{Core, Grant, Placement, Provenance},
        fleet::{Recipient, Report, Spare},
        replica::Outcome,
        table::Table,
    },
};

fn grant(core: &mut Core, at: u64, own: u64) -> Grant {
    let next = job(core, ms(at), own, 100 + own);
    match core.place(ms(at), &next) {
        Placement::Local(grant) => grant,
        other => panic!("{other:?}"),
    }
}

/// Upstreams that get one of many requests of different sessions.
fn used(core: &mut Core, at: u64) -> Vec<String> {
    let mut used: Vec<_> = (0..40)
        .map(|own| {
            let grant = grant(core, at, own);
            core.release(ms(at), grant.ticket, Outcome::Unknown);
            grant.upstream.to_string()
        })
        .collect();
    used.sort();
    used.dedup();
    used
}

/// A host whose upstream `e0` has said that it leaves.
fn told() -> Core {
    let mut core = core(2);
    let grant = (0..).map(|own| grant(&mut core, 10, own));
    let grant = grant.take(100).find(|grant| grant.upstream == "e0".into());
    let ticket = grant.expect("one goes there").ticket;
    let change = core.record_leaving(ticket);
    assert_eq!(change, Some(Change::Leaving("e0".into())));
    assert_eq!(core.record_leaving(ticket), None, "it is told once");
    core
}

#[test]
fn an_upstream_that_says_it_leaves_gets_no_request_whatever_is_published_of_that_start() {
    let mut core = told();
    assert_eq!(used(&mut core, 11), ["e1"]);
    core.catalog.upsert(ms(20), entry("e0", "north-a", POOL, 9));
    assert_eq!(used(&mut core, 21), ["e1"]);
    let listed = vec![
        entry("e0", "north-a", POOL, 10),
        entry("e1", "north-a", POOL, 10),
    ];
    core.catalog.replace_all(ms(30), listed);
    assert_eq!(used(&mut core, 31), ["e1"]);
    // Removed and listed again, as when its entry expired.
    core.catalog.remove(ms(40), &"e0".into());
    core.catalog
        .upsert(ms(50), entry("e0", "north-a", POOL, 11));
    assert_eq!(used(&mut core, 51), ["e1"]);
}

#[test]
fn the_next_start_of_an_upstream_that_said_it_leaves_begins_clean() {
    let mut core = told();
    let late = grant(&mut core, 15, 1);
    let mut restarted = entry("e0", "north-a", POOL, 1);
    restarted.incarnation = 2;
    core.catalog.upsert(ms(20), restarted);
    assert_eq!(used(&mut core, 6_000), ["e0", "e1"]);
    // Answers to requests of the start before.
    core.record_leaving(late.ticket);
    let mut other = core;
    other.catalog.remove(ms(6_010), &"e1".into());
    assert_eq!(used(&mut other, 6_020), ["e0"]);
}

#[test]
fn an_answer_to_a_request_of_the_start_before_says_nothing_of_the_next() {
    let mut core = core(1);
    let early = grant(&mut core, 10, 1);
    let mut restarted = entry("e0", "north-a", POOL, 1);
    restarted.incarnation = 2;
    core.catalog.upsert(ms(20), restarted);
    assert_eq!(core.record_leaving(early.ticket), None);
    assert_eq!(used(&mut core, 6_000), ["e0"]);
}

#[test]
fn a_request_that_was_granted_before_is_not_sent() {
    let mut core = core(1);
    let waiting = grant(&mut core, 10, 1);
    let answered = grant(&mut core, 10, 2);
    core.record_leaving(answered.ticket);
    assert!(!core.confirm_send(ms(11), waiting.ticket).0);
}

#[test]
fn the_hosts_of_the_region_learn_it_from_reports() {
    let mut first = told();
    let mut second = Core::new(ms(0), setup("n2", "north", 2));
    second.configure(ms(0), Table::new(rows(1)), Provenance::default());
    let listed = ["e0", "e1"].map(|id| entry(id, "north-a", POOL, 1));
    second.catalog.replace_all(ms(0), listed.into());
    let mut sent = first.due_reports(ms(12), true, false);
    assert!(sent.is_empty(), "it knows no other host");
    first.receive_report(ms(20), report(identity("n2", "north", 2), 1));
    first.receive_report(ms(20), report(identity("s1", "south", 3), 1));
    sent.extend(first.due_reports(ms(300), true, false));
    let (near, far): (Vec<_>, Vec<_>) = sent
        .into_iter()
        .partition(|(to, _): &(Recipient, Report)| to.is_same_region);
    assert!(far.iter().all(|(_, report)| report.departing.is_empty()));
    let (_, told) = near.into_iter().next().expect("a report is due");
    let reception = second.receive_report(
        ms(310),
        Report {
            sequence: 9,
            ..told
        },
    );
    assert_eq!(reception.upstreams, [Change::Leaving("e0".into())]);
    assert_eq!(used(&mut second, 320), ["e1"]);
}

/// With nothing left in its region, a request is better answered late by another one than not at all.
#[test]
fn requests_go_to_another_region_when_all_upstreams_leave() {
    let mut core = core(1);
    let spare = Spare {
        wait_ms: 900.0,
        tokens: 0.0,
        requests: 0.0,
        rate: 20.0,
        ..Spare::default()
    };
    let mut elsewhere = report(identity("s1", "south", 2), 1);
    elsewhere.spare = vec![(POOL.into(), spare)];
    core.receive_report(ms(1), elsewhere);
    let answered = grant(&mut core, 10, 1);
    core.record_leaving(answered.ticket);
    let next = forwardable(&job(&core, ms(20), 2, 2));
    let placement = core.place(ms(20), &next);
    assert!(matches!(placement, Placement::Remote(_)), "{placement:?}");
}
