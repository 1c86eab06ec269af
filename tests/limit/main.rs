//! Tests of the limit: in any interval, all hosts together admit no more than rate and burst,
//! whatever faults occur.

mod behaviour;
#[path = "../common/mod.rs"]
mod common;
mod loopback;
mod net;
mod schedule;

use {
    greengagecleat::limit::{Mode, Mutant},
    quickcheck::{Arbitrary, Gen, QuickCheck, TestResult},
    schedule::{Schedule, TOLERANCE},
    std::{env, thread},
};

/// Maximum number of steps in a schedule.
const SIZE: usize = 40;
/// Number of schedules in CI.
const TESTS: u64 = 60;
/// Number of schedules within which each mutant must be caught.
const MUTANT_TESTS: usize = 400;

fn setting(name: &str, default: u64) -> u64 {
    env::var(name)
        .ok()
        .map_or(default, |text| text.parse().expect("a whole number"))
}

fn bound_holds(schedule: Schedule) -> TestResult {
    TestResult::from_bool(schedule.run(None) <= TOLERANCE)
}

/// Checks the bound over every interval. `LIMIT_SCHEDULES` sets the number of schedules and
/// `LIMIT_SEED` their seed.
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

/// Number of schedules until the bound breaks under a mutant; `None` if it never does.
fn caught_after(mutant: Mutant) -> Option<usize> {
    let mut g = Gen::from_size_and_seed(SIZE, setting("LIMIT_SEED", 7));
    (1..=MUTANT_TESTS).find(|_| {
        let schedule = Schedule {
            mode: Mode::Leases,
            ..Schedule::arbitrary(&mut g)
        };
        schedule.run(Some(mutant)) > TOLERANCE
    })
}

#[test]
fn every_mutant_breaks_the_bound() {
    let mutants = [
        Mutant::SpendLent,
        Mutant::SkipClockCheck,
        Mutant::AcceptGrantTwice,
        Mutant::AcceptReturnTwice,
        Mutant::StartFull,
        Mutant::SkipQuarantine,
        Mutant::VoteTwice,
        Mutant::CountTermFromReceipt,
        Mutant::RefundInFull,
        Mutant::SkipIncreaseDelay,
    ];
    let missed: Vec<Mutant> = thread::scope(|scope| {
        let runs = mutants.map(|mutant| (mutant, scope.spawn(move || caught_after(mutant))));
        runs.into_iter()
            .filter_map(|(mutant, run)| {
                let caught = run.join().expect("the schedules run");
                println!("{mutant:?}: caught after {caught:?} schedules");
                caught.is_none().then_some(mutant)
            })
            .collect()
    });
    assert!(missed.is_empty(), "not caught: {missed:?}");
}
