//! The limit: never more than rate and burst summed over all hosts, whatever happens.

mod behaviour;
#[path = "../common/mod.rs"]
mod common;
mod loopback;
mod net;
mod schedule;

use {
    greengagecleat::limit::{Fault, Way},
    quickcheck::{Arbitrary, Gen, QuickCheck, TestResult},
    schedule::{Schedule, TOLERANCE},
    std::{env, thread},
};

/// Length of schedules, in steps, at most.
const SIZE: usize = 40;
/// Schedules in CI.
const TESTS: u64 = 60;
/// Schedules among which each mutant must be caught.
const MUTANT_TESTS: usize = 400;

fn setting(name: &str, default: u64) -> u64 {
    env::var(name)
        .ok()
        .map_or(default, |text| text.parse().expect("a whole number"))
}

fn bound_holds(schedule: Schedule) -> TestResult {
    TestResult::from_bool(schedule.run(None) <= TOLERANCE)
}

/// The bound over every interval. `LIMIT_SCHEDULES` and `LIMIT_SEED` make it longer.
#[test]
fn no_interval_admits_more_than_rate_and_burst() {
    let seed = setting("LIMIT_SEED", 7);
    let tests = setting("LIMIT_SCHEDULES", TESTS);
    println!("{tests} schedules, seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, seed))
        .tests(tests)
        .quickcheck(bound_holds as fn(Schedule) -> TestResult);
}

/// How many schedules it takes until the bound breaks under a fault.
fn caught_after(fault: Fault) -> Option<usize> {
    let mut g = Gen::from_size_and_seed(SIZE, setting("LIMIT_SEED", 7));
    (1..=MUTANT_TESTS).find(|_| {
        let schedule = Schedule {
            way: Way::Leases,
            ..Schedule::arbitrary(&mut g)
        };
        schedule.run(Some(fault)) > TOLERANCE
    })
}

#[test]
fn every_mutant_breaks_the_bound() {
    let faults = [
        Fault::ReclaimAtOnce,
        Fault::SkipFence,
        Fault::AcceptTwice,
        Fault::ReturnTwice,
        Fault::FullStart,
        Fault::SkipQuarantine,
        Fault::VoteTwice,
        Fault::CountFromReceipt,
        Fault::TrustRefund,
        Fault::SkipHold,
    ];
    let missed: Vec<Fault> = thread::scope(|scope| {
        let runs = faults.map(|fault| (fault, scope.spawn(move || caught_after(fault))));
        runs.into_iter()
            .filter_map(|(fault, run)| {
                let caught = run.join().expect("the schedules run");
                println!("{fault:?}: caught after {caught:?} schedules");
                caught.is_none().then_some(fault)
            })
            .collect()
    });
    assert!(missed.is_empty(), "not caught: {missed:?}");
}
