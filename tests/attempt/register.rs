//! Tests that a key runs at most once, at whichever host it arrives and whatever fails.

use {
    super::fleet::{Fleet, QUARANTINE, Run, Trial, key},
    greengagecleat::{
        attempt::register::{
            Action, Body, Claim, Entry, Event, Message, Mutant, Reason, Register, Settings, State,
        },
        machine::Machine,
        name,
    },
    quickcheck::{Gen, QuickCheck},
    std::time::Duration,
};

const END: Duration = Duration::from_secs(80);

/// Hosts start one after the other, as in a rolling replacement.
fn rolling(mutant: Mutant) -> Trial {
    Trial {
        loss: 0.05,
        min_start_gap: Duration::from_secs(2),
        max_outage: Duration::from_secs(6),
        ends_at: END,
        mutant,
    }
}

/// Any fault at any time: all hosts may restart within a second.
fn unrestricted(mutant: Mutant) -> Trial {
    Trial {
        loss: 0.2,
        min_start_gap: Duration::ZERO,
        max_outage: Duration::from_secs(30),
        ends_at: END,
        mutant,
    }
}

fn run_trial(trial: Trial, seed: u64) -> Vec<Run> {
    let mut fleet = Fleet::new(trial, seed);
    fleet.start_adversary();
    fleet.run();
    fleet.runs
}

/// Number of runs of a key that an earlier run precedes, sent less than `within` after the earlier
/// run's request arrived.
fn count_double_runs(runs: &[Run], within: Duration) -> usize {
    let again = |(at, run): (usize, &Run)| {
        let earlier = &runs[..at];
        earlier
            .iter()
            .any(|first| first.key == run.key && run.sent_at < first.asked_at + within)
    };
    runs.iter()
        .enumerate()
        .filter(|&(at, run)| again((at, run)))
        .count()
}

fn test_count() -> u64 {
    let tests = std::env::var("REGISTER_TESTS").ok();
    tests.and_then(|text| text.parse().ok()).unwrap_or(40)
}

#[test]
fn key_runs_once_through_a_rolling_replacement() {
    fn holds(seed: u64) -> bool {
        count_double_runs(&run_trial(rolling(Mutant::None), seed), Duration::MAX / 2) == 0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 11))
        .tests(test_count())
        .quickcheck(holds as fn(u64) -> bool);
}

/// Guards against the leftover record of a losing claim making a host forget the claim that ran.
#[test]
fn key_runs_once_through_the_rolling_replacement_of_seed_4155() {
    assert_eq!(
        count_double_runs(&run_trial(rolling(Mutant::None), 4155), Duration::MAX / 2),
        0
    );
}

#[test]
fn key_runs_once_within_the_quarantine_whatever_fails() {
    fn holds(seed: u64) -> bool {
        count_double_runs(&run_trial(unrestricted(Mutant::None), seed), QUARANTINE) == 0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 12))
        .tests(test_count())
        .quickcheck(holds as fn(u64) -> bool);
}

/// Stops two hosts that recorded a claim while the third is partitioned from them, and repeats the
/// request at the third.
fn majority_stops(mutant: Mutant) -> Vec<Run> {
    let lossless = Trial {
        loss: 0.0,
        ..rolling(mutant)
    };
    let secs = Duration::from_secs_f64;
    let mut fleet = Fleet::new(lossless, 1);
    fleet.cut_off(2, secs(10.0), secs(13.0));
    fleet.request(secs(10.1), 0, key(1));
    fleet.stop_at(secs(11.0), 0);
    fleet.stop_at(secs(11.0), 1);
    for at in 12..24 {
        fleet.request(Duration::from_secs(at), 2, key(1));
    }
    fleet.run();
    fleet.runs
}

#[test]
fn partitioned_survivor_does_not_run_a_key_claimed_by_stopped_hosts() {
    let runs = majority_stops(Mutant::None);
    assert_eq!(count_double_runs(&runs, QUARANTINE), 0);
    assert!(!runs.is_empty());
}

/// Pauses a host between the acknowledgement of its claim and the first byte of its request, while
/// all hosts that recorded the claim are replaced.
fn claimant_pauses(mutant: Mutant, seed: u64) -> Vec<Run> {
    let lossless = Trial {
        loss: 0.0,
        ..rolling(mutant)
    };
    let mut fleet = Fleet::new(lossless, seed);
    let asked = Duration::from_secs(10);
    fleet.request(asked, 3, key(1));
    let after = Duration::from_millis(seed % 150);
    fleet.pause_at(asked + after, 3, Duration::from_secs(29));
    for slot in 0..3 {
        fleet.start_at(Duration::from_secs(12), slot);
    }
    for at in 22..29 {
        fleet.request(Duration::from_secs(at), 0, key(1));
    }
    fleet.run();
    fleet.runs
}

fn any_pause_causes_double_run(mutant: Mutant) -> bool {
    let runs_twice = |seed| count_double_runs(&claimant_pauses(mutant, seed), QUARANTINE) > 0;
    (0..150).any(runs_twice)
}

#[test]
fn paused_claimant_does_not_send() {
    assert!(!any_pause_causes_double_run(Mutant::None));
}

#[test]
fn checks_detect_every_mutant() {
    let mutants = [
        Mutant::FirstAck,
        Mutant::NoQuarantine,
        Mutant::NoRecords,
        Mutant::NoRemovalDelay,
        Mutant::NoFence,
    ];
    for mutant in mutants {
        let detected = count_double_runs(&majority_stops(mutant), QUARANTINE) > 0
            || (0..60).any(|seed| {
                count_double_runs(&run_trial(unrestricted(mutant), seed), QUARANTINE) > 0
            })
            || any_pause_causes_double_run(mutant);
        assert!(detected, "{mutant:?}");
    }
}

#[test]
fn fault_free_fleet_runs_each_key_once_at_the_first_host_that_asks() {
    let lossless = Trial {
        loss: 0.0,
        ..rolling(Mutant::None)
    };
    let mut fleet = Fleet::new(lossless, 1);
    for number in 0..40 {
        let at = QUARANTINE + Duration::from_millis(200 * number + 500);
        fleet.request(at, number as usize % 4, key(number));
        fleet.request(
            at + Duration::from_secs(1),
            (number as usize + 1) % 4,
            key(number),
        );
    }
    fleet.run();
    assert_eq!(fleet.runs.len(), 40);
    assert_eq!(fleet.refused.len(), 40);
    let known = |reason: &Reason| matches!(reason, Reason::Done(200) | Reason::Claimed);
    assert!(fleet.refused.iter().all(known));
}

/// A recovering host receives two claims of one key. The claim that ran is sent again and conflicts
/// with the other, which is then released. The key must stay claimed.
#[test]
fn claim_that_ran_is_kept_when_a_competing_claim_is_released() {
    let now = Duration::from_secs(1);
    let (own, peer) = (name::Host::from("own"), name::Host::from("peer"));
    let region = name::Region::from("home");
    let setting = Settings {
        host: own,
        region: region.clone(),
        incarnation: 1,
        quarantine: QUARANTINE,
        retention: Duration::from_secs(3_600),
        max_records: 10,
        mutant: Mutant::None,
    };
    let mut register = Register::new(setting, now);
    let claim = |number| Claim {
        host: peer.clone(),
        incarnation: 1,
        number,
    };
    let (ran, lost) = (claim(1), claim(2));
    let received = |body| Event::Received {
        from: peer.clone(),
        message: Message {
            incarnation: 1,
            body,
        },
    };
    let claim_message = |claim: &Claim, state| {
        received(Body::Claim {
            key: key(1),
            claim: claim.clone(),
            state,
        })
    };
    let entry = |claim: &Claim| Entry {
        key: key(1),
        claim: claim.clone(),
        state: State::Claimed,
        age: Duration::ZERO,
    };
    register.step(
        now,
        Event::HostList {
            region: region.clone(),
            hosts: [peer.clone()].into(),
        },
    );
    let asked = register.step(now, Event::Tick).into_iter();
    let nonce = asked.filter_map(|action| match action {
        Action::Send { message, .. } => match message.body {
            Body::Recover { nonce, .. } => Some(nonce),
            _ => None,
        },
        _ => None,
    });
    let records = Body::Records {
        nonce: nonce.last().unwrap(),
        page: 0,
        pages: 1,
        entries: vec![entry(&ran), entry(&lost)],
        known: [(peer.clone(), 1)].into(),
    };
    register.step(now, received(records));
    assert!(register.is_active());
    register.step(now, claim_message(&ran, State::Claimed));
    register.step(now, claim_message(&lost, State::Released));
    let request = Event::Request {
        ticket: 1,
        key: key(1),
        home: region,
    };
    let refused = register.step(now, request);
    assert!(
        matches!(
            refused[..],
            [Action::Refuse {
                reason: Reason::Claimed,
                ..
            }]
        ),
        "{refused:?}"
    );
}
