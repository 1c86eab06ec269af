//! Tests the invariants of every exchange, and that they detect each mutant.

use {
    super::bench::{Case, Disturbance, End, Observed, Script, TOKENS, run},
    greengagecleat::attempt::{Code, Mutant, Ran, Work},
    quickcheck::{Arbitrary, Gen, QuickCheck},
};

const CASES: u64 = 4_000;

fn check_invariants(case: &Case, observed: &Observed) -> Result<(), String> {
    let end = observed
        .end
        .as_ref()
        .ok_or("the caller was never answered")?;
    let is_complete = *end == End::Complete;
    if case.work == Work::Once && observed.runs > 1 {
        return Err(format!(
            "work that may not repeat ran {} times",
            observed.runs
        ));
    }
    if !case.hedge && observed.sends > 4 {
        return Err(format!("{} attempts", observed.sends));
    }
    if observed.actions_after_end > 0 {
        return Err("an action followed the end".into());
    }
    if !observed.given_up.is_empty() {
        return Err(format!("attempts {:?} were given up", observed.given_up));
    }
    let relayed_error = is_complete && observed.tokens.is_empty();
    let expected = (0..observed.tokens.len() as u64).map(Some);
    if !expected.eq(observed.tokens.iter().copied()) {
        return Err(format!("the caller received tokens {:?}", observed.tokens));
    }
    if is_complete && !relayed_error && observed.tokens.len() as u64 != TOKENS {
        return Err(format!(
            "an answer cut to {} tokens looked complete",
            observed.tokens.len()
        ));
    }
    if relayed_error && case.work != Work::Once {
        return Err("an upstream's error was relayed as an answer".into());
    }
    match end {
        End::Failed { ran: Ran::No, .. } if observed.runs > 0 => {
            Err("work that ran was reported as not run".into())
        }
        _ => Ok(()),
    }
}

#[test]
fn exchanges_satisfy_all_invariants() {
    fn holds(case: Case) -> Result<(), String> {
        check_invariants(&case, &run(&case, Mutant::None))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(6, 5))
        .tests(CASES)
        .quickcheck(holds as fn(Case) -> Result<(), String>);
}

#[test]
fn checks_detect_every_mutant() {
    let mutants = [
        Mutant::RepeatOnce,
        Mutant::ResumeAtStart,
        Mutant::BreakIsEnd,
        Mutant::AnyId,
        Mutant::RanNo,
        Mutant::SilenceIsEnd,
    ];
    for mutant in mutants {
        let mut g = Gen::from_size_and_seed(6, 5);
        let noticed = (0..CASES).any(|_| {
            let case = Case::arbitrary(&mut g);
            check_invariants(&case, &run(&case, mutant)).is_err()
        });
        assert!(noticed, "{mutant:?}");
    }
}

fn case(work: Work, scripts: &[Script]) -> Case {
    Case {
        work,
        hedge: false,
        scripts: scripts.to_vec(),
        disturbance: Disturbance::Nothing,
        seed: 1,
    }
}

fn end_of(work: Work, scripts: &[Script]) -> End {
    run(&case(work, scripts), Mutant::None).end.unwrap()
}

#[test]
fn broken_stream_is_resumed_where_it_broke() {
    let observed = run(
        &case(
            Work::Model { resume: true },
            &[Script::BreakAfter(2), Script::SilentAfter(4)],
        ),
        Mutant::None,
    );
    assert_eq!(observed.end, Some(End::Complete));
    assert_eq!(observed.tokens, (0..TOKENS).map(Some).collect::<Vec<_>>());
}

#[test]
fn broken_stream_that_cannot_resume_ends_with_an_error() {
    let end = end_of(Work::Model { resume: false }, &[Script::BreakAfter(2)]);
    let expected = End::Failed {
        code: Code::UpstreamBroken,
        ran: Ran::Yes,
    };
    assert_eq!(end, expected);
}

#[test]
fn answer_with_wrong_id_is_dropped_and_repeatable_work_retried() {
    assert_eq!(end_of(Work::Idempotent, &[Script::WrongId]), End::Complete);
    let expected = End::Failed {
        code: Code::AnswerCrossed,
        ran: Ran::Unknown,
    };
    assert_eq!(end_of(Work::Once, &[Script::WrongId]), expected);
}

#[test]
fn work_that_was_never_sent_is_retried() {
    let scripts = [Script::Unreachable, Script::NeverConnects, Script::Refused];
    assert_eq!(end_of(Work::Once, &scripts), End::Complete);
}

#[test]
fn process_pause_is_not_counted_as_upstream_silence() {
    let mut paused = case(Work::Once, &[]);
    paused.disturbance = Disturbance::Pause {
        from: 300,
        len: 6_000,
    };
    assert_eq!(run(&paused, Mutant::None).end, Some(End::Complete));
}

#[test]
fn only_repeatable_work_is_hedged() {
    for (work, sends) in [(Work::Once, 1), (Work::Idempotent, 2)] {
        let mut hedged = case(work, &[Script::SilentBeforeHead]);
        hedged.hedge = true;
        assert_eq!(run(&hedged, Mutant::None).sends, sends, "{work:?}");
    }
}

/// Attempts were closed at a silence although nothing could replace them.
#[test]
fn silence_ends_no_answer_that_nothing_replaces() {
    let works = [
        Work::Once,
        Work::Idempotent,
        Work::Model { resume: false },
        Work::Model { resume: true },
    ];
    let pauses = (0..TOKENS).map(Script::PauseAfter);
    let others = [
        Script::Unreachable,
        Script::NeverConnects,
        Script::Refused,
        Script::Failed,
        Script::SilentBeforeHead,
        Script::WrongId,
    ];
    for pause in pauses.chain([Script::PauseBeforeHead]) {
        for (work, other) in works
            .iter()
            .flat_map(|work| others.iter().map(move |other| (work, other)))
        {
            let mut scripts = vec![other.clone(); 6];
            scripts[0] = pause.clone();
            let observed = run(&case(*work, &scripts), Mutant::None);
            let seen = (observed.end, observed.tokens.len() as u64);
            assert_eq!(
                seen,
                (Some(End::Complete), TOKENS),
                "{work:?} {pause:?} {other:?}"
            );
        }
    }
}

#[test]
fn silent_attempt_is_replaced_by_one_that_answers() {
    for work in [Work::Idempotent, Work::Model { resume: false }] {
        assert_eq!(end_of(work, &[Script::SilentBeforeHead]), End::Complete);
    }
    let resumable = Work::Model { resume: true };
    assert_eq!(end_of(resumable, &[Script::SilentAfter(3)]), End::Complete);
}

#[test]
fn silent_attempt_that_nothing_may_replace_lasts_until_the_deadline() {
    let expected = End::Failed {
        code: Code::DeadlineExceeded,
        ran: Ran::Unknown,
    };
    for work in [Work::Once, Work::Idempotent] {
        assert_eq!(end_of(work, &[Script::SilentAfter(3)]), expected);
    }
}
