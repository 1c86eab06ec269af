//! Upstreams that ask for rest: what is granted, when it ends, and how hosts return.

use {
    crate::common::{POOL, core, entry, forwardable, identity, job, ms, report},
    greengagecleat::{
        proxy::{
            core::{Core, Grant, Placement},
            fleet::Spare,
            replica::Outcome,
        },
        rest::{Rest, Turn},
    },
    std::time::Duration,
};

fn first() -> Turn {
    Turn::default()
}

#[test]
fn a_rest_begins_at_once_and_ends_to_the_millisecond() {
    let mut rest = Rest::default();
    assert!(rest.may_send(ms(0), first()));
    assert_eq!(rest.record(ms(1_000), ms(2_500)), Some(ms(2_500)));
    assert!(!rest.is_over(ms(1_000)) && !rest.may_send(ms(1_000), first()));
    assert!(!rest.is_over(ms(3_499)) && !rest.may_send(ms(3_499), first()));
    assert_eq!(rest.left(ms(3_000)), ms(500));
    assert!(rest.is_over(ms(3_500)) && rest.may_send(ms(3_500), first()));
}

#[test]
fn the_longest_of_several_rests_holds() {
    let mut rest = Rest::default();
    rest.record(ms(1_000), ms(3_000));
    assert_eq!(rest.record(ms(1_500), ms(200)), None);
    assert_eq!(rest.left(ms(1_500)), ms(2_500));
    assert_eq!(rest.record(ms(2_000), ms(4_000)), Some(ms(4_000)));
    assert!(!rest.is_over(ms(5_999)) && rest.is_over(ms(6_000)));
    // One asked for after the end is a rest of its own.
    assert_eq!(rest.record(ms(7_000), ms(100)), Some(ms(100)));
    assert!(!rest.is_over(ms(7_099)) && rest.is_over(ms(7_100)));
}

#[test]
fn no_rest_and_an_absurd_one_are_within_bounds() {
    let mut rest = Rest::default();
    assert_eq!(rest.record(ms(1_000), Duration::ZERO), None);
    assert!(rest.may_send(ms(1_000), first()));
    for asked in [Duration::MAX, Duration::from_secs(86_400)] {
        let granted = Rest::default().record(ms(1_000), asked).unwrap();
        assert!(granted <= Duration::from_secs(600), "{granted:?}");
    }
    let mut late = Rest::default();
    late.record(Duration::MAX, Duration::MAX);
    assert!(late.may_send(Duration::MAX, Turn::new(1, 2)));
}

/// Requests that hosts send in each tenth of a second after a rest that they share, each as many as it
/// may every 10 ms. The upstream answers after `answer_ms`.
fn returns(hosts: usize, answer_ms: u64) -> Vec<usize> {
    let mut rests = vec![(Rest::default(), None); hosts];
    for (rest, _) in &mut rests {
        rest.record(ms(0), ms(2_000));
    }
    let mut sent = vec![0; 10];
    for now in (2_000..3_000).step_by(10) {
        for (rank, (rest, answer_at)) in rests.iter_mut().enumerate() {
            if answer_at.is_some_and(|at| at <= now) {
                rest.record_answer(ms(now));
            }
            if !rest.is_proven() && rest.may_send(ms(now), Turn::new(rank, hosts)) {
                rest.record_send(ms(now));
                answer_at.get_or_insert(now + answer_ms);
                sent[(now as usize - 2_000) / 100] += 1;
            }
        }
    }
    sent
}

/// Without turns all hosts would return in the first instant.
#[test]
fn hosts_return_one_after_the_other_and_with_single_requests() {
    let sent = returns(32, 2_000);
    assert!(sent[..5].iter().all(|count| *count <= 14), "{sent:?}");
    assert!(sent[5..].iter().all(|count| *count <= 20), "{sent:?}");
    let sent = returns(32, 20);
    assert_eq!(sent.iter().sum::<usize>(), 32, "one each: {sent:?}");
    assert_eq!(returns(1, 20)[0], 1);
}

fn grant(core: &mut Core, at: u64, own: u64) -> Option<Grant> {
    let next = job(core, ms(at), own, 100 + own);
    match core.place(ms(at), &next) {
        Placement::Local(grant) => Some(grant),
        _ => None,
    }
}

/// A host whose only upstream turns a request away at 10 ms and asks for a rest of 2 s.
fn refused() -> Core {
    let mut core = core(1);
    let grant = grant(&mut core, 5, 1).unwrap();
    let granted = core.record_rest(ms(10), grant.ticket, ms(2_000));
    assert_eq!(granted, Some(ms(2_000)));
    core.release(ms(10), grant.ticket, Outcome::Full);
    core
}

#[test]
fn an_upstream_at_rest_gets_no_request_of_this_host() {
    let mut core = refused();
    for at in [10, 200, 1_000, 2_009] {
        assert_eq!(grant(&mut core, at, at), None, "{at} ms");
    }
    let trial = grant(&mut core, 2_010, 1).expect("it has rested");
    assert_eq!(grant(&mut core, 2_020, 2), None, "it has answered none yet");
    assert!(core.confirm_send(ms(2_030), trial.ticket).0);
    core.record_first_byte(ms(2_100), trial.ticket);
    assert!(grant(&mut core, 2_110, 3).is_some());
    assert!(grant(&mut core, 2_111, 4).is_some());
}

#[test]
fn a_request_that_was_granted_before_the_rest_is_not_sent_within_it() {
    let mut core = core(1);
    let waiting = grant(&mut core, 5, 1).unwrap();
    let refused = grant(&mut core, 5, 2).unwrap();
    core.record_rest(ms(10), refused.ticket, ms(2_000));
    assert!(!core.confirm_send(ms(20), waiting.ticket).0);
}

#[test]
fn a_rest_outlives_a_removal_but_not_the_process() {
    let mut core = refused();
    core.catalog.remove(ms(20), &"e0".into());
    core.catalog.upsert(ms(30), entry("e0", "north-a", POOL, 2));
    assert_eq!(grant(&mut core, 40, 1), None);
    let mut restarted = entry("e0", "north-a", POOL, 1);
    restarted.incarnation = 2;
    core.catalog.upsert(ms(50), restarted);
    assert!(grant(&mut core, 60, 1).is_some());
}

#[test]
fn a_refusal_by_the_process_before_asks_for_nothing_at_the_next() {
    let mut core = core(1);
    let early = grant(&mut core, 5, 1).unwrap();
    let mut restarted = entry("e0", "north-a", POOL, 1);
    restarted.incarnation = 2;
    core.catalog.upsert(ms(8), restarted);
    assert_eq!(core.record_rest(ms(10), early.ticket, ms(2_000)), None);
    assert!(grant(&mut core, 20, 2).is_some());
}

/// Callers were told to come back within the rest.
#[test]
fn callers_are_told_to_come_back_when_the_first_upstream_has_rested() {
    let mut core = refused();
    let next = job(&core, ms(100), 1, 1);
    assert!(core.wait_limit(ms(100), &next).is_zero(), "refused at once");
    assert!(core.retry_after(ms(100), &next) >= ms(1_910));
    let mut core = core_with_long_rest();
    let told = core.retry_after(ms(100), &next);
    assert!(told >= ms(19_910), "{told:?}");
}

fn core_with_long_rest() -> Core {
    let mut core = core(1);
    let grant = grant(&mut core, 5, 1).unwrap();
    core.record_rest(ms(10), grant.ticket, ms(20_000));
    core.release(ms(10), grant.ticket, Outcome::Full);
    core
}

/// With no upstream left that may be asked, a request is better answered late by another region.
#[test]
fn requests_go_to_another_region_while_all_upstreams_rest() {
    let mut core = refused();
    let spare = Spare {
        wait_ms: 900.0,
        tokens: 0.0,
        requests: 0.0,
        rate: 20.0,
        ..Spare::default()
    };
    let mut elsewhere = report(identity("s1", "south", 2), 1);
    elsewhere.spare = vec![(POOL.into(), spare)];
    core.receive_report(ms(11), elsewhere);
    let next = forwardable(&job(&core, ms(20), 2, 2));
    let placement = core.place(ms(20), &next);
    assert!(matches!(placement, Placement::Remote(_)), "{placement:?}");
}

#[test]
fn an_upstream_at_rest_is_no_spare_capacity() {
    let spare_of = |core: &mut Core| {
        core.receive_report(ms(20), report(identity("s1", "south", 2), 1));
        let reports = core.due_reports(ms(600), true, false);
        let mut spare = reports.into_iter().flat_map(|(_, report)| report.spare);
        spare.find(|(pool, _)| *pool == POOL.into()).unwrap().1
    };
    assert!(spare_of(&mut core(1)).requests > 0.0);
    let resting = spare_of(&mut refused());
    assert_eq!((resting.requests, resting.wait_ms), (0.0, f32::MAX));
}
