//! The decisions of one host: placement across regions, the queue, refusals, retry budgets and the
//! detection of silent upstreams.

use {
    crate::common::{self, POOL, core, forwardable, identity, job, ms, plain_job},
    greengagecleat::proxy::{
        catalog::Change,
        core::{Core, Placement, Provenance},
        fleet::{Report, Spare},
        replica::Outcome,
        table::Table,
    },
    std::{collections::BTreeSet, time::Duration},
};

fn report_from_south(core: &mut Core, now: Duration, sequence: u64, spare: Spare) {
    report_with_version(core, now, sequence, spare, 1);
}

/// Lets a host of the region `south` report, with a configuration of this version.
fn report_with_version(core: &mut Core, now: Duration, sequence: u64, spare: Spare, version: u64) {
    let report = Report {
        version,
        spare: vec![(POOL.into(), spare)],
        ..common::report(identity("s1", "south", 3), sequence)
    };
    core.receive_report(now, report);
}

fn idle_spare() -> Spare {
    Spare {
        wait_ms: 50.0,
        tokens: 100_000.0,
        requests: 200.0,
        rate: 80.0,
        unreserved: None,
        pressure: None,
        builds: BTreeSet::from(["b1".into()]),
    }
}

/// Fills the region until a prompt would have to wait.
fn fill_region(core: &mut Core, now: Duration) {
    for n in 0..1_000 {
        let next = job(core, now, n, 10_000 + n);
        if core.place(now, &next) == Placement::Wait {
            return;
        }
    }
    panic!("the region never fills");
}

#[test]
fn a_configuration_never_goes_back() {
    let mut core = core(1);
    assert!(core.configure(ms(1), Table::new(common::rows(5)), Provenance::default()));
    assert!(!core.configure(ms(2), Table::new(common::rows(4)), Provenance::default()));
    assert!(!core.configure(ms(3), Table::new(common::rows(5)), Provenance::default()));
    assert_eq!(core.version(), 5);
}

#[test]
fn a_full_region_forwards_until_the_spare_capacity_elsewhere_is_used() {
    let mut core = core(2);
    report_from_south(&mut core, ms(0), 1, idle_spare());
    let first = job(&core, ms(0), 1, 1);
    assert!(matches!(
        core.place(ms(0), &forwardable(&first)),
        Placement::Local(_)
    ));
    fill_region(&mut core, ms(0));
    let mut away = 0;
    for n in 0..50 {
        let next = job(&core, ms(1), n, 20_000 + n);
        if let Placement::Remote(to) = core.place(ms(1), &forwardable(&next)) {
            assert_eq!(to.region, "south".into());
            away += 1;
        }
    }
    // 100,000 spare tokens are enough for ten prompts of 9,200.
    assert_eq!(away, 10);
}

#[test]
fn a_request_bound_to_its_region_is_not_forwarded() {
    let mut core = core(1);
    let mut rows = common::rows(2);
    rows.routes[0].home_regions = ["north".into()].into();
    core.configure(ms(0), Table::new(rows), Provenance::default());
    report_with_version(&mut core, ms(0), 1, idle_spare(), 2);
    fill_region(&mut core, ms(0));
    let next = job(&core, ms(1), 1, 30_000);
    assert_eq!(core.place(ms(1), &forwardable(&next)), Placement::Wait);
}

#[test]
fn a_request_bound_to_another_region_is_forwarded_even_if_late() {
    let mut core = core(2);
    let mut rows = common::rows(2);
    rows.routes[0].home_regions = ["south".into()].into();
    core.configure(ms(0), Table::new(rows), Provenance::default());
    let busy = Spare {
        wait_ms: 900.0,
        tokens: 0.0,
        ..idle_spare()
    };
    report_with_version(&mut core, ms(0), 1, busy, 2);
    let next = job(&core, ms(0), 1, 1);
    assert!(matches!(
        core.place(ms(0), &forwardable(&next)),
        Placement::Remote(_)
    ));
}

#[test]
fn a_silent_region_gets_no_requests() {
    let mut core = core(1);
    report_from_south(&mut core, ms(0), 1, idle_spare());
    fill_region(&mut core, ms(0));
    let next = job(&core, ms(2_000), 1, 30_000);
    let placed = core.place(ms(2_000), &forwardable(&next));
    assert!(!matches!(placed, Placement::Remote(_)), "{placed:?}");
}

#[test]
fn waiting_requests_are_placed_in_order_of_priority() {
    let mut core = core(1);
    let mut tickets = Vec::new();
    for n in 0..1_000 {
        let mut next = job(&core, ms(0), n, 10_000 + n);
        next.matched.priority = 0;
        match core.place(ms(0), &next) {
            Placement::Local(grant) => tickets.push(grant.ticket),
            _ => break,
        }
    }
    let usual = job(&core, ms(1), 1, 1);
    let mut urgent = job(&core, ms(1), 2, 2);
    urgent.matched.priority = 0;
    let usual = core.enqueue(usual);
    let urgent = core.enqueue(urgent);
    assert!(core.place_waiting(ms(2)).is_empty());
    for ticket in tickets {
        core.record_first_byte(ms(50), ticket);
        core.release(ms(60), ticket, Outcome::Success);
    }
    let placed: Vec<_> = core
        .place_waiting(ms(61))
        .into_iter()
        .map(|(place, _)| place)
        .collect();
    assert_eq!(placed, [urgent, usual]);
    assert_eq!(core.queue_len(), 0);
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_at_once() {
    let mut core = core(1);
    fill_region(&mut core, ms(0));
    // The queue ahead of it is more than one engine prefills within the longest wait.
    for n in 0..20 {
        let next = job(&core, ms(0), n, 40_000 + n);
        core.enqueue(next);
    }
    let next = job(&core, ms(0), 99, 50_000);
    assert_eq!(core.wait_limit(ms(0), &next), ms(0));
    let after = core.retry_after(ms(0), &next);
    assert!(after >= ms(150) && after <= ms(5_000), "{after:?}");
}

#[test]
fn without_any_upstream_a_request_is_refused_at_once() {
    let mut core = core(0);
    let next = job(&core, ms(0), 1, 1);
    assert_eq!(core.place(ms(0), &forwardable(&next)), Placement::Wait);
    assert_eq!(core.wait_limit(ms(0), &next), ms(0));
}

#[test]
fn retries_are_a_share_of_requests_over_the_whole_fleet() {
    let mut core = core(1);
    let pool = POOL.into();
    // One known host in a fleet of two domains gets only its part of the slack of 20.
    let at_start = (0..100)
        .filter(|_| core.withdraw_retry(ms(0), &pool))
        .count();
    assert!(at_start <= 10, "{at_start}");
    for _ in 0..100 {
        core.record_request(ms(1), &pool);
    }
    let earned = (0..100)
        .filter(|_| core.withdraw_retry(ms(1), &pool))
        .count();
    assert!(earned <= 20, "{earned} of 100 requests at a ratio of 0.2");
}

#[test]
fn an_engine_that_falls_silent_during_an_answer_is_detected() {
    let mut core = core(1);
    let next = job(&core, ms(0), 1, 1);
    let Placement::Local(grant) = core.place(ms(0), &next) else {
        panic!("the engine is idle");
    };
    core.record_first_byte(ms(100), grant.ticket);
    for at in [200, 300, 400] {
        core.record_progress(ms(at), grant.ticket);
        assert!(core.detect_silent(ms(at + 50)).is_empty());
    }
    let found = core.detect_silent(ms(1_200));
    assert_eq!(found, [Change::Silent(grant.upstream)]);
}

#[test]
fn an_upstream_that_works_on_a_long_request_is_not_silent() {
    let mut core = core(0);
    let next = plain_job(&core, ms(0));
    let Placement::Local(grant) = core.place(ms(0), &next) else {
        panic!("the service is idle");
    };
    let patience = 400.0 + grant.predicted_ms;
    assert!(
        core.detect_silent(Duration::from_secs_f64(patience / 1_000.0))
            .is_empty()
    );
}

#[test]
fn a_waiting_request_that_was_forwarded_here_is_not_forwarded_again() {
    let mut core = core(1);
    fill_region(&mut core, ms(0));
    let forwarded = job(&core, ms(1), 1, 50_000);
    let own = forwardable(&job(&core, ms(1), 2, 50_001));
    core.enqueue(forwarded);
    let own = core.enqueue(own);
    // Another region gets spare capacity while both wait.
    report_from_south(&mut core, ms(2), 1, idle_spare());
    let placed = core.place_waiting(ms(3));
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].0, own);
    assert!(matches!(placed[0].1, Placement::Remote(_)));
    assert_eq!(core.queue_len(), 1);
}

#[test]
fn a_host_with_an_older_configuration_is_not_asked() {
    let mut core = core(1);
    assert!(core.configure(ms(0), Table::new(common::rows(2)), Provenance::default()));
    report_from_south(&mut core, ms(0), 1, idle_spare());
    fill_region(&mut core, ms(0));
    let next = forwardable(&job(&core, ms(1), 1, 30_000));
    assert_eq!(core.place(ms(1), &next), Placement::Wait);
}

/// A request that was sent to the address of before was turned away there, and the upstream that had
/// started again elsewhere was removed.
#[test]
fn a_misdirected_request_of_the_start_before_removes_no_upstream() {
    let place = |core: &mut Core, at| {
        let next = job(core, ms(at), 1, at);
        match core.place(ms(at), &next) {
            Placement::Local(grant) => grant,
            other => panic!("{other:?}"),
        }
    };
    let mut core = core(1);
    let early = place(&mut core, 10);
    let mut restarted = common::entry("e0", "north-a", POOL, 1);
    restarted.incarnation = 2;
    restarted.address = common::address(9);
    core.catalog.upsert(ms(20), restarted);
    assert_eq!(core.remove_misdirected(ms(21), early.ticket), None);
    let late = place(&mut core, 6_000);
    assert_eq!(late.address, common::address(9));
    let change = core.remove_misdirected(ms(6_001), late.ticket);
    assert_eq!(change, Some(Change::Gone("e0".into())));
}
