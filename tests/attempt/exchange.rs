//! What must hold of every exchange, and that each deliberate fault is noticed.

use {
    super::bench::{Case, End, Outside, Script, Seen, TOKENS, run},
    greengagecleat::attempt::{Code, Fault, Ran, Work},
    quickcheck::{Arbitrary, Gen, QuickCheck},
};

const CASES: u64 = 4_000;

fn check(case: &Case, seen: &Seen) -> Result<(), String> {
    let end = seen.end.as_ref().ok_or("the caller was never answered")?;
    let whole = *end == End::Whole;
    if case.work == Work::Once && seen.runs > 1 {
        return Err(format!("work that may not repeat ran {} times", seen.runs));
    }
    if !case.hedge && seen.sends > 4 {
        return Err(format!("{} attempts", seen.sends));
    }
    if seen.after_end > 0 {
        return Err("something followed the end".into());
    }
    let failed_answer = whole && seen.tokens.is_empty();
    let expected = (0..seen.tokens.len() as u64).map(Some);
    if !expected.eq(seen.tokens.iter().copied()) {
        return Err(format!("the caller saw {:?}", seen.tokens));
    }
    if whole && !failed_answer && seen.tokens.len() as u64 != TOKENS {
        return Err(format!(
            "a cut answer of {} looked whole",
            seen.tokens.len()
        ));
    }
    if failed_answer && case.work != Work::Once {
        return Err("an upstream's failure was relayed as an answer".into());
    }
    match end {
        End::Failed { ran: Ran::No, .. } if seen.runs > 0 => Err("not run was untrue".into()),
        _ => Ok(()),
    }
}

#[test]
fn exchanges_end_once_and_truly() {
    fn holds(case: Case) -> Result<(), String> {
        check(&case, &run(&case, Fault::None))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(6, 5))
        .tests(CASES)
        .quickcheck(holds as fn(Case) -> Result<(), String>);
}

#[test]
fn faults_are_noticed() {
    let faults = [
        Fault::RepeatOnce,
        Fault::ResumeAtStart,
        Fault::BreakIsEnd,
        Fault::AnyId,
        Fault::RanNo,
    ];
    for fault in faults {
        let mut g = Gen::from_size_and_seed(6, 5);
        let noticed = (0..CASES).any(|_| {
            let case = Case::arbitrary(&mut g);
            check(&case, &run(&case, fault)).is_err()
        });
        assert!(noticed, "{fault:?}");
    }
}

fn case(work: Work, scripts: &[Script]) -> Case {
    Case {
        work,
        hedge: false,
        scripts: scripts.to_vec(),
        outside: Outside::Nothing,
        seed: 1,
    }
}

fn end(work: Work, scripts: &[Script]) -> End {
    run(&case(work, scripts), Fault::None).end.unwrap()
}

#[test]
fn broken_stream_is_resumed_where_it_broke() {
    let seen = run(
        &case(
            Work::Model { resume: true },
            &[Script::BreakAfter(2), Script::SilentAfter(4)],
        ),
        Fault::None,
    );
    assert_eq!(seen.end, Some(End::Whole));
    assert_eq!(seen.tokens, (0..TOKENS).map(Some).collect::<Vec<_>>());
}

#[test]
fn broken_stream_that_cannot_resume_ends_with_an_error() {
    let end = end(Work::Model { resume: false }, &[Script::BreakAfter(2)]);
    let expected = End::Failed {
        code: Code::UpstreamBroken,
        ran: Ran::Yes,
    };
    assert_eq!(end, expected);
}

#[test]
fn crossed_answer_is_dropped_and_repeatable_work_gets_its_own() {
    assert_eq!(end(Work::Idempotent, &[Script::Crossed]), End::Whole);
    let expected = End::Failed {
        code: Code::AnswerCrossed,
        ran: Ran::Unknown,
    };
    assert_eq!(end(Work::Once, &[Script::Crossed]), expected);
}

#[test]
fn work_that_never_left_goes_elsewhere() {
    let scripts = [Script::Unreachable, Script::Connecting, Script::Refused];
    assert_eq!(end(Work::Once, &scripts), End::Whole);
}

#[test]
fn pause_is_not_an_upstream_s_silence() {
    let mut paused = case(Work::Once, &[]);
    paused.outside = Outside::Pause {
        from: 300,
        len: 6_000,
    };
    assert_eq!(run(&paused, Fault::None).end, Some(End::Whole));
}

#[test]
fn hedge_goes_out_for_repeatable_work_only() {
    for (work, sends) in [(Work::Once, 1), (Work::Idempotent, 2)] {
        let mut hedged = case(work, &[Script::SilentBeforeHead]);
        hedged.hedge = true;
        assert_eq!(run(&hedged, Fault::None).sends, sends, "{work:?}");
    }
}
