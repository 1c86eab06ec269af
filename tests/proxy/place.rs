//! Choice of an upstream within the region: cached prefixes against waits and prefill times, limits
//! of engines and plain services, and cold engines.

use {
    crate::common::{core, job, ms, plain_job},
    greengagecleat::proxy::{
        core::{Core, Grant, Placement},
        place::Job,
        replica::Outcome,
    },
    std::{collections::BTreeMap, time::Duration},
};

fn place_locally(core: &mut Core, now: Duration, job: &Job) -> Option<Grant> {
    match core.place(now, job) {
        Placement::Local(grant) => Some(grant),
        Placement::Remote(_) | Placement::Wait | Placement::Withheld(_) => None,
    }
}

#[test]
fn a_session_goes_to_the_engine_that_holds_its_prefix() {
    let mut core = core(5);
    let first = job(&core, ms(0), 3, 100);
    let first = place_locally(&mut core, ms(0), &first).unwrap();
    assert_eq!(first.uncached_tokens, 2_900);
    core.record_first_byte(ms(200), first.ticket);
    core.release(ms(400), first.ticket, Outcome::Success);
    for own in 101..110 {
        let at = ms(500 * (own - 100));
        let next = job(&core, at, 3, own);
        let grant = place_locally(&mut core, at, &next).unwrap();
        assert_eq!(grant.upstream, first.upstream);
        assert_eq!(grant.uncached_tokens, 2_900);
        core.record_first_byte(at + ms(100), grant.ticket);
        core.release(at + ms(300), grant.ticket, Outcome::Success);
    }
}

#[test]
fn hosts_choose_the_same_engine_for_a_session_without_communication() {
    let (mut one, mut other) = (core(5), core(5));
    for session in 0..50 {
        let at = ms(10_000 * session);
        let of_one = job(&one, at, session, 2 * session);
        let of_other = job(&other, at, session, 2 * session + 1);
        let first = place_locally(&mut one, at, &of_one).unwrap();
        let second = place_locally(&mut other, at, &of_other).unwrap();
        assert_eq!(first.upstream, second.upstream, "session {session}");
        one.release(at + ms(300), first.ticket, Outcome::Success);
        other.release(at + ms(300), second.ticket, Outcome::Success);
    }
}

#[test]
fn a_long_wait_at_the_holder_moves_a_session_to_another_engine() {
    let mut core = core(2);
    let first = job(&core, ms(0), 3, 100);
    let holder = place_locally(&mut core, ms(0), &first).unwrap();
    // Prompts of the same session pile up at the holder, until the other engine is used.
    let mut upstreams = BTreeMap::new();
    for own in 101..107 {
        let next = job(&core, ms(1), 3, own);
        if let Some(grant) = place_locally(&mut core, ms(1), &next) {
            *upstreams.entry(grant.upstream).or_insert(0) += 1;
        }
    }
    assert!(upstreams.len() == 2, "{upstreams:?}");
    assert!(upstreams.contains_key(&holder.upstream));
}

#[test]
fn an_engine_gets_no_more_requests_than_it_can_start_in_time() {
    let mut core = core(1);
    let mut placed = 0;
    for own in 0..40 {
        let next = job(&core, ms(0), own, 1_000 + own);
        match core.place(ms(0), &next) {
            Placement::Local(grant) => {
                let end = grant.predicted_ms;
                assert!(end <= 0.65 * 800.0, "{end} ms");
                placed += 1;
            }
            Placement::Wait => {}
            Placement::Remote(_) => panic!("there is no other region"),
            Placement::Withheld(_) => panic!("no part is held"),
        }
    }
    assert!((1..10).contains(&placed), "{placed}");
}

#[test]
fn an_upstream_that_failed_a_request_is_not_chosen_for_it_again() {
    let mut core = core(3);
    let mut next = job(&core, ms(0), 3, 100);
    let first = place_locally(&mut core, ms(0), &next).unwrap();
    core.release(ms(50), first.ticket, Outcome::Broken);
    next.tried.push(first.upstream.clone());
    let second = place_locally(&mut core, ms(50), &next).unwrap();
    assert_ne!(first.upstream, second.upstream);
}

#[test]
fn a_plain_service_takes_no_more_than_its_queue_holds() {
    let mut core = core(0);
    let mut placed = 0;
    for _ in 0..100 {
        let next = plain_job(&core, ms(0));
        placed += usize::from(place_locally(&mut core, ms(0), &next).is_some());
    }
    assert!((6..=18).contains(&placed), "{placed}");
}

#[test]
fn a_cold_engine_gets_a_few_requests_a_second() {
    let mut core = core(0);
    let mut cold = crate::common::entry("e0", "north-a", crate::common::POOL, 2);
    cold.cold_for = ms(20_000);
    core.catalog.upsert(ms(6_000), cold);
    let mut sent: Vec<Duration> = Vec::new();
    for n in 0..1_000 {
        let at = ms(6_000 + 10 * n);
        let next = job(&core, at, n % 7, n);
        if let Some(grant) = place_locally(&mut core, at, &next) {
            sent.push(at);
            core.record_first_byte(at + ms(1), grant.ticket);
            core.release(at + ms(1), grant.ticket, Outcome::Success);
        }
    }
    // The bound is 3 requests a second, plus half as many, plus 3.
    for (n, at) in sent.iter().enumerate() {
        let within = sent[n..].iter().filter(|other| **other < *at + ms(1_000));
        assert!(within.count() <= 7, "{sent:?}");
    }
    assert!(sent.len() >= 8, "{sent:?}");
}

/// After a loss of power all hosts of a region start at once. None knows the others yet, and each
/// sent a cold engine one request: seven in the first second where five were allowed.
#[test]
fn hosts_that_all_start_at_once_do_not_crowd_a_cold_engine() {
    let mut sent = 0;
    for host in 0..22 {
        let mut core = core(0);
        let mut cold = crate::common::entry("e0", "north-a", crate::common::POOL, 2);
        cold.cold_for = ms(3_000);
        core.catalog.upsert(ms(0), cold);
        for tick in 0..10 {
            let at = ms(100 * tick);
            let next = job(&core, at, host, 1_000 * host + tick);
            sent += usize::from(place_locally(&mut core, at, &next).is_some());
        }
    }
    // The bound is 3 requests a second, plus half as many, plus 3.
    assert!(sent <= 7, "{sent} in the first second");
}
