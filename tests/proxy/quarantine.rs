//! Requests and parts of prompts that crash upstreams: which are held, which are not, and for how long.

use {
    crate::common::{core, job, ms, report},
    greengagecleat::proxy::{
        cache::{self, Prefix},
        core::{Core, Placement},
        dialect::Part,
        fingerprint::Fingerprint,
        quarantine::{
            self, Certainty, Change, End, Evidence, Process, Quarantine, Source, State, Suspect,
            Verdict,
        },
        replica::Outcome,
    },
    quickcheck::QuickCheck,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

const BAD: u64 = 0xbad;
const BAD_PART: Suspect = Suspect::Part(BAD);
const BAD_REQUEST: Suspect = Suspect::Request(Fingerprint(BAD));
const SYSTEM: u64 = 1;
/// Time between two reports of a host.
const REPORT_INTERVAL: u64 = 400;
/// Upstreams of a simulated fleet.
const UPSTREAMS: u64 = 18;

fn process(number: u64) -> Process {
    Process::new(number, 1)
}

fn end(at: Duration, number: u64) -> End {
    End {
        process: process(number),
        at,
        certainty: Certainty::Certain,
    }
}

fn parts(parts: &[u64]) -> Arc<[Suspect]> {
    parts.iter().copied().map(Suspect::Part).collect()
}

/// Suspects of a request with these parts in its prompt.
fn request(fingerprint: u64, shared: &[u64]) -> Arc<[Suspect]> {
    quarantine::suspects(Fingerprint(fingerprint), &prompt(shared))
}

/// A prompt with these parts and one of its own.
fn prompt(shared: &[u64]) -> Vec<Prefix> {
    let parts = shared.iter().chain([&u64::MAX]);
    let parts: Vec<_> = parts
        .map(|id| Part {
            id: *id,
            tokens: 10,
        })
        .collect();
    cache::prefixes(&parts)
}

/// Records that an upstream ended under a request with these parts.
fn crash(quarantine: &mut Quarantine, at: Duration, number: u64, with: &[u64]) {
    crash_under(quarantine, at, number, &[parts(with)]);
}

/// Records that an upstream ended under requests with these suspects.
fn crash_under(
    quarantine: &mut Quarantine,
    at: Duration,
    number: u64,
    requests: &[Arc<[Suspect]>],
) {
    for suspects in requests {
        quarantine.record_sent(at, suspects);
        quarantine.record_failed(at, at, process(number), suspects);
    }
    quarantine.record_end(at + ms(30), end(at, number), &[]);
}

/// Records sound answers to prompts with these parts.
fn answer(quarantine: &mut Quarantine, at: Duration, count: usize, with: &[u64]) {
    for _ in 0..count {
        quarantine.record_sent(at, &parts(with));
        quarantine.record_sound(at, &parts(with));
    }
}

fn is_held(quarantine: &Quarantine, now: Duration, part: u64) -> bool {
    is_withheld(quarantine, now, &parts(&[part]))
}

fn is_withheld(quarantine: &Quarantine, now: Duration, suspects: &[Suspect]) -> bool {
    let verdict = quarantine.check(now, suspects, |_| false);
    matches!(verdict, Verdict::Withheld(_))
}

fn states(changes: &[Change]) -> Vec<(Suspect, State)> {
    changes
        .iter()
        .map(|change| (change.suspect, change.state))
        .collect()
}

/// A quarantine that holds [`BAD`] since about 3.7 s.
fn holding() -> Quarantine {
    let mut quarantine = Quarantine::default();
    answer(&mut quarantine, ms(100), 50, &[SYSTEM]);
    for number in 0..3 {
        crash(&mut quarantine, ms(1_000 * number), number, &[BAD]);
    }
    assert_eq!(
        states(&quarantine.judge(ms(3_700))),
        [(BAD_PART, State::Held)]
    );
    quarantine
}

#[test]
fn a_part_under_which_upstreams_end_is_held_and_its_neighbours_are_not() {
    let mut quarantine = Quarantine::default();
    for number in 0..4 {
        let at = ms(1_000 * number);
        crash(&mut quarantine, at, number, &[SYSTEM, BAD, 100 + number]);
        answer(&mut quarantine, at + ms(200), 20, &[SYSTEM]);
    }
    quarantine.judge(ms(3_700));
    assert!(is_held(&quarantine, ms(3_700), BAD));
    for part in [SYSTEM, 100, 101, 102, 103] {
        assert!(!is_held(&quarantine, ms(3_700), part), "{part}");
    }
}

#[test]
fn a_session_that_met_two_ends_is_not_held() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, ms(0), 1, &[SYSTEM, 7]);
    crash(&mut quarantine, ms(500), 2, &[SYSTEM, 7]);
    assert_eq!(quarantine.judge(ms(5_000)), []);
}

#[test]
fn ends_of_one_upstream_and_ends_at_one_moment_count_once() {
    let mut quarantine = Quarantine::default();
    for at in [0, 1_000, 2_000, 3_000] {
        crash(&mut quarantine, ms(at), 1, &[BAD]);
    }
    for number in 2..8 {
        crash(&mut quarantine, ms(4_000 + number), number, &[BAD]);
    }
    assert_eq!(quarantine.judge(ms(6_000)), []);
}

#[test]
fn an_end_is_taken_back_only_if_it_was_presumed() {
    for certainty in [Certainty::Presumed, Certainty::Certain] {
        let mut quarantine = Quarantine::default();
        for number in 0..3 {
            let at = ms(1_000 * number);
            quarantine.record_failed(at, at, process(number), &parts(&[BAD]));
            let end = End {
                certainty,
                ..end(at, number)
            };
            quarantine.record_end(at + ms(30), end, &[]);
        }
        quarantine.retract_end(process(1));
        let is_held = !quarantine.judge(ms(4_000)).is_empty();
        assert_eq!(is_held, certainty == Certainty::Certain);
    }
}

#[test]
fn a_failed_request_blames_nothing_while_its_upstream_runs() {
    let mut quarantine = Quarantine::default();
    for number in 0..20 {
        let at = ms(100 * number);
        quarantine.record_failed(at, at, process(number), &parts(&[BAD]));
    }
    assert_eq!(quarantine.judge(ms(4_000)), []);
}

#[test]
fn a_request_that_was_sent_to_an_upstream_that_had_fallen_silent_is_not_blamed() {
    let mut quarantine = Quarantine::default();
    for number in 0..6 {
        let at = ms(1_000 * number);
        let open = [(at, parts(&[BAD])), (at + ms(400), parts(&[7]))];
        let certainty = Certainty::Presumed;
        let end = End {
            certainty,
            ..end(at, number)
        };
        quarantine.record_end(at + ms(1_000), end, &open);
    }
    quarantine.judge(ms(7_000));
    assert!(is_held(&quarantine, ms(7_000), BAD));
    assert_eq!(quarantine.blamed(), 1);
}

#[test]
fn a_part_that_was_sound_is_held_only_after_more_ends() {
    let mut quarantine = Quarantine::default();
    answer(&mut quarantine, ms(0), 50, &[BAD]);
    for number in 0..4 {
        crash(&mut quarantine, ms(1_000 * (number + 1)), number, &[BAD]);
    }
    assert_eq!(quarantine.judge(ms(4_900)), []);
    crash(&mut quarantine, ms(5_000), 4, &[BAD]);
    assert_eq!(
        states(&quarantine.judge(ms(5_700))),
        [(BAD_PART, State::Held)]
    );
}

/// A caller sends another customer's part along with one that crashes upstreams.
#[test]
fn a_part_that_is_always_sent_with_the_cause_is_let_go_when_the_cause_comes_without_it() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        crash(&mut quarantine, ms(1_000 * number), number, &[7, BAD]);
    }
    let held = quarantine.judge(ms(2_700));
    assert_eq!(held.len(), 1, "one part explains all: {held:?}");
    crash(&mut quarantine, ms(4_000), 4, &[BAD]);
    quarantine.judge(ms(4_700));
    assert!(is_held(&quarantine, ms(4_700), BAD));
    assert!(!is_held(&quarantine, ms(4_700), 7));
}

/// Two hosts took a part from each other's reports again and again.
#[test]
fn a_part_that_was_let_go_for_another_cause_is_not_taken_from_a_report() {
    // Of two parts that met the same ends the one with the higher id is held first.
    let companion = BAD + 1;
    let mut hosts = [Quarantine::default(), Quarantine::default()];
    for host in &mut hosts {
        for number in 0..3 {
            crash(host, ms(1_000 * number), number, &[companion, BAD]);
        }
        host.judge(ms(2_700));
        assert!(is_held(host, ms(2_700), companion));
        for number in 3..6 {
            crash(host, ms(1_000 * number), number, &[9, BAD]);
        }
    }
    let held = |host: &Quarantine, part| is_held(host, ms(6_500), part);
    let early = hosts[1].evidence(ms(6_000), ms(0), true);
    hosts[0].judge(ms(6_000));
    hosts[0].record_evidence(ms(6_100), Source::Region, &early);
    hosts[0].judge(ms(6_200));
    assert!(held(&hosts[0], BAD) && !held(&hosts[0], companion));
}

#[test]
fn hosts_that_saw_one_end_each_hold_the_part_together() {
    for count in [6, 9, 60] {
        let mut hosts: Vec<_> = (0..count).map(|_| Quarantine::default()).collect();
        for (number, host) in hosts.iter_mut().enumerate().take(6) {
            answer(host, ms(100), 30, &[SYSTEM]);
            crash(host, ms(300 * number as u64), number as u64, &[SYSTEM, BAD]);
            answer(host, ms(300 * number as u64 + 50), 3, &[SYSTEM]);
        }
        let evidence: Vec<_> = hosts
            .iter()
            .map(|host| host.evidence(ms(2_000), ms(0), true))
            .collect();
        for host in &mut hosts {
            for evidence in &evidence {
                host.record_evidence(ms(2_055), Source::Region, evidence);
            }
            host.judge(ms(2_655));
            assert!(is_held(host, ms(2_655), BAD), "of {count} hosts");
            assert!(!is_held(host, ms(2_655), SYSTEM));
        }
    }
}

#[test]
fn what_a_host_of_another_region_tells_is_told_on_in_the_own_region_only() {
    let mut hosts: [Quarantine; 3] = Default::default();
    crash(&mut hosts[0], ms(1_000), 1, &[BAD]);
    let told = hosts[0].evidence(ms(1_300), ms(0), false);
    assert_eq!(told.len(), 1);
    hosts[1].record_evidence(ms(1_355), Source::Remote, &told);
    assert_eq!(hosts[1].evidence(ms(1_500), ms(0), false), []);
    let told = hosts[1].evidence(ms(1_500), ms(0), true);
    assert_eq!(told.len(), 1);
    hosts[2].record_evidence(ms(1_501), Source::Region, &told);
    assert_eq!(hosts[2].evidence(ms(1_700), ms(0), true), []);
    assert_eq!(
        hosts[1].evidence(ms(3_000), ms(2_000), true),
        [],
        "once the reports have gone out"
    );
}

#[test]
fn a_host_that_joins_holds_what_the_others_hold() {
    let mut joined = Quarantine::default();
    joined.record_evidence(
        ms(50),
        Source::Region,
        &holding().evidence(ms(4_000), ms(0), true),
    );
    assert_eq!(states(&joined.judge(ms(60))), [(BAD_PART, State::Adopted)]);
    assert!(is_held(&joined, ms(60), BAD));
}

#[test]
fn a_part_that_is_sound_again_is_let_go_everywhere() {
    let mut trying = holding();
    let mut other = Quarantine::default();
    other.record_evidence(
        ms(4_000),
        Source::Region,
        &trying.evidence(ms(4_000), ms(0), true),
    );
    assert!(is_held(&other, ms(4_000), BAD));
    trying.start_trial(ms(63_000), BAD_PART);
    trying.record_sound(ms(63_100), &[BAD_PART]);
    assert_eq!(
        states(&trying.judge(ms(63_100))),
        [(BAD_PART, State::Trial), (BAD_PART, State::Released)]
    );
    other.record_evidence(
        ms(63_400),
        Source::Region,
        &trying.evidence(ms(63_400), ms(0), true),
    );
    other.judge(ms(63_400));
    assert!(!is_held(&other, ms(63_400), BAD));
    // An older report of a third host does not bring it back.
    other.record_evidence(
        ms(63_500),
        Source::Region,
        &holding().evidence(ms(4_000), ms(0), true),
    );
    let _ = other.judge(ms(63_500));
}

#[test]
fn trials_of_a_part_that_still_crashes_upstreams_become_rare() {
    let mut quarantine = holding();
    let mut trials = Vec::new();
    for second in 4..3_600 {
        let now = ms(1_000 * second);
        quarantine.judge(now);
        if quarantine.check(now, &[BAD_PART], |_| true) == Verdict::Trial(BAD_PART) {
            quarantine.start_trial(now, BAD_PART);
            crash(&mut quarantine, now + ms(50), 1_000 + second, &[BAD]);
            trials.push(second);
        }
    }
    assert!(trials[0] >= 60, "{trials:?}");
    assert!((4..=6).contains(&trials.len()), "{trials:?}");
    let gaps: Vec<_> = trials.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.windows(2).all(|pair| pair[1] > pair[0]), "{gaps:?}");
}

#[test]
fn only_one_host_tries_a_part() {
    let quarantine = holding();
    let now = ms(70_000);
    assert_eq!(
        quarantine.check(now, &[BAD_PART], |_| true),
        Verdict::Trial(BAD_PART)
    );
    let Verdict::Withheld(withheld) = quarantine.check(now, &[BAD_PART], |_| false) else {
        panic!("another host withholds it");
    };
    assert_eq!(withheld.suspect, BAD_PART);
    let Verdict::Withheld(withheld) = quarantine.check(ms(32_000), &[BAD_PART], |_| true) else {
        panic!("it is too early");
    };
    assert_eq!(withheld.retry_after, ms(30_000), "60 s after the last end");
}

#[test]
fn callers_can_fill_neither_memory_nor_reports() {
    let mut quarantine = Quarantine::default();
    let mut part = 100;
    for number in 0..400 {
        let at = ms(20 * number);
        part += 1_000;
        let many: Vec<_> = (part..part + 900).collect();
        quarantine.record_sound(at, &parts(&many[..450]));
        quarantine.record_failed(at, at, process(number), &parts(&many));
        for repeat in 0..100 {
            let suspects = request(100 * number + repeat, &[]);
            quarantine.record_sound(at, &suspects);
            quarantine.record_failed(at, at, process(number), &suspects);
        }
        quarantine.record_end(at, end(at, number), &[]);
        quarantine.judge(at);
    }
    let (blamed, sound) = (quarantine.blamed(), quarantine.sound());
    assert!(
        blamed <= 4_096 && sound <= 2 * 16_384,
        "{blamed} and {sound} suspects"
    );
    let told = quarantine.evidence(ms(8_000), ms(0), true);
    let is_part = |evidence: &&Evidence| matches!(evidence.suspect, Suspect::Part(_));
    assert!(told.iter().filter(is_part).count() <= 32);
    assert!(told.len() <= 64);
}

#[test]
fn reports_that_hosts_return_to_each_other_come_to_an_end() {
    let mut hosts = [Quarantine::default(), Quarantine::default()];
    crash(&mut hosts[0], ms(0), 1, &[7]);
    hosts[1].record_sound(ms(100), &parts(&[7]));
    for round in 1..40 {
        let now = ms(500 * round);
        let since = now - ms(500);
        let evidence = hosts.each_ref().map(|host| host.evidence(now, since, true));
        hosts[0].record_evidence(now, Source::Region, &evidence[1]);
        hosts[1].record_evidence(now, Source::Region, &evidence[0]);
        hosts.iter_mut().for_each(|host| drop(host.judge(now)));
    }
    let now = ms(20_000);
    assert!(
        hosts
            .iter()
            .all(|host| host.evidence(now, ms(0), true).is_empty())
    );
}

/// Deliberate faults of the simulated hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Sound answers are not recorded.
    ForgetsSound,
}

/// A request in flight.
struct Running {
    host: usize,
    upstream: usize,
    suspects: Arc<[Suspect]>,
    /// When its answer is complete, in milliseconds.
    until: u64,
}

/// Plays a fleet whose upstreams crash in waves, a third of them each time, among requests of
/// sessions that share first parts. Some requests are sent alike by many callers, and a request that
/// meets an end comes again. Returns what was held.
fn play_waves(seed: u64, hosts: usize, mutant: Mutant) -> BTreeSet<Suspect> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet: Vec<_> = (0..hosts).map(|_| Quarantine::default()).collect();
    let mut held = BTreeSet::new();
    let mut starts = [0; UPSTREAMS as usize];
    let mut down_until = [0; UPSTREAMS as usize];
    let mut running: Vec<Running> = Vec::new();
    let mut repeats: Vec<Arc<[Suspect]>> = Vec::new();
    let mut own = 1_000;
    for now in (0..40_000).step_by(20) {
        let at = ms(now);
        if now % 3_000 == 1_500 {
            for upstream in 0..UPSTREAMS as usize {
                if rng.random_bool(1.0 / 3.0) && down_until[upstream] <= now {
                    down_until[upstream] = now + 2_000;
                    let process = Process::new(upstream as u64, starts[upstream]);
                    starts[upstream] += 1;
                    let (ended, left): (Vec<_>, Vec<_>) = std::mem::take(&mut running)
                        .into_iter()
                        .partition(|request| request.upstream == upstream);
                    running = left;
                    for request in ended {
                        let host = &mut fleet[request.host];
                        host.record_failed(at, at, process, &request.suspects);
                        repeats.push(request.suspects.clone());
                        host.record_end(
                            at,
                            End {
                                process,
                                ..end(at, 0)
                            },
                            &[],
                        );
                    }
                }
            }
        }
        let (ended, left): (Vec<_>, Vec<_>) = std::mem::take(&mut running)
            .into_iter()
            .partition(|request| request.until <= now);
        running = left;
        for request in ended {
            if mutant != Mutant::ForgetsSound {
                fleet[request.host].record_sound(at, &request.suspects);
            }
        }
        for _ in 0..2 {
            let upstream = rng.random_range(0..UPSTREAMS as usize);
            if down_until[upstream] > now {
                continue;
            }
            let session = rng.random_range(0..400);
            let shared = [SYSTEM, 10 + session % 40, 1_000 + session];
            own += 1;
            let suspects = match rng.random_range(0..10) {
                // One of a few that many send alike, with a prompt or without.
                0 => request(session % 5, &[SYSTEM]),
                1 => request(10 + session % 5, &[]),
                _ => repeats.pop().unwrap_or_else(|| request(own, &shared)),
            };
            let host = rng.random_range(0..hosts);
            fleet[host].record_sent(at, &suspects);
            let until = now + rng.random_range(40..900);
            running.push(Running {
                host,
                upstream,
                suspects,
                until,
            });
        }
        if now % REPORT_INTERVAL == 0 {
            let evidence: Vec<_> = fleet
                .iter()
                .map(|host| host.evidence(at, at.saturating_sub(ms(2 * REPORT_INTERVAL)), true))
                .collect();
            for (receiver, host) in fleet.iter_mut().enumerate() {
                let others = evidence.iter().enumerate();
                for (_, evidence) in others.filter(|(sender, _)| *sender != receiver) {
                    host.record_evidence(at, Source::Region, evidence);
                }
            }
        }
        for host in &mut fleet {
            let changes = host.judge(at);
            held.extend(changes.iter().map(|change| change.suspect));
        }
    }
    held
}

#[test]
fn waves_of_crashes_hold_nothing() {
    fn holds_none(seed: u64) -> bool {
        play_waves(seed, 6, Mutant::None).is_empty()
    }
    QuickCheck::new()
        .tests(25)
        .quickcheck(holds_none as fn(u64) -> bool);
}

#[test]
fn waves_of_crashes_would_hold_parts_if_sound_answers_did_not_clear_them() {
    assert!(!play_waves(1, 6, Mutant::ForgetsSound).is_empty());
}

/// A request of the session 3 whose prompt holds [`BAD`] besides.
fn crashing(core: &Core, now: Duration, own: u64) -> greengagecleat::proxy::place::Job {
    let mut job = job(core, now, 3, own);
    job.prefixes.insert(0, prompt(&[BAD])[0]);
    job.suspects = quarantine::suspects(job.fingerprint, &job.prefixes);
    job
}

#[test]
fn a_request_with_a_held_part_is_not_placed_and_others_of_its_session_are() {
    let mut core = core(6);
    let mut own = 100;
    for crash in 0..4 {
        let now = ms(1_000 * crash);
        let bad = crashing(&core, now, own);
        let Placement::Local(grant) = core.place(now, &bad) else {
            panic!("crash {crash}: the request is placed");
        };
        core.release(now + ms(20), grant.ticket, Outcome::Broken);
        let ended = core.unknown_end(now + ms(20), &grant.upstream).unwrap();
        core.record_end(now + ms(50), ended);
        core.catalog.remove(now + ms(60), &grant.upstream);
        own += 1;
        let sound = job(&core, now + ms(100), 3, own);
        let Placement::Local(grant) = core.place(now + ms(100), &sound) else {
            panic!("crash {crash}: sound requests are placed");
        };
        core.record_first_byte(now + ms(200), grant.ticket);
        core.release(now + ms(300), grant.ticket, Outcome::Success);
        own += 1;
    }
    let now = ms(4_000);
    let changes = core.judge_suspects(now);
    assert_eq!(states(&changes), [(BAD_PART, State::Held)]);
    let bad = crashing(&core, now, own);
    assert!(matches!(core.place(now, &bad), Placement::Withheld(_)));
    assert!(core.withheld(now, &bad).is_some());
    let sound = job(&core, now, 3, own + 1);
    assert!(matches!(core.place(now, &sound), Placement::Local(_)));
    // Another host learns it from the next report.
    let mut other = crate::common::core(2);
    let mut told = report(crate::common::identity("n2", "north", 2), 1);
    told.evidence = core.quarantine.evidence(now, ms(0), true);
    other.receive_report(now, told);
    other.judge_suspects(now);
    let bad = crashing(&other, now, own);
    assert!(matches!(other.place(now, &bad), Placement::Withheld(_)));
}

#[test]
fn a_request_that_did_not_reach_its_upstream_is_not_blamed_for_its_end() {
    let mut core = core(6);
    for number in 0..4 {
        let now = ms(1_000 * number);
        let bad = crashing(&core, now, number);
        let Placement::Local(grant) = core.place(now, &bad) else {
            panic!("the request is placed");
        };
        core.release(now + ms(5), grant.ticket, Outcome::Unreachable);
        let ended = core.unknown_end(now + ms(20), &grant.upstream).unwrap();
        core.record_end(now + ms(50), ended);
        core.catalog.remove(now + ms(60), &grant.upstream);
    }
    assert_eq!(core.judge_suspects(ms(5_000)), []);
}

#[test]
fn hosts_that_were_cut_off_from_each_other_count_all_ends_after_the_next_one() {
    let mut hosts = [Quarantine::default(), Quarantine::default()];
    for (host, first) in hosts.iter_mut().zip([0, 10]) {
        for number in first..first + 2 {
            crash(host, ms(1_000 * (number - first)), number, &[BAD]);
        }
        assert_eq!(host.judge(ms(2_000)), []);
    }
    // What they told each other meanwhile is lost; only what is newer is told.
    let since = ms(30_000);
    crash(&mut hosts[0], ms(30_500), 2, &[BAD]);
    let told = hosts[0].evidence(ms(30_800), since, false);
    hosts[1].record_evidence(ms(30_855), Source::Remote, &told);
    hosts[1].judge(ms(31_200));
    assert!(is_held(&hosts[1], ms(31_200), BAD));
    let told = hosts[1].evidence(ms(31_300), since, false);
    hosts[0].record_evidence(ms(31_355), Source::Remote, &told);
    hosts[0].judge(ms(31_355));
    assert!(is_held(&hosts[0], ms(31_355), BAD));
}

/// A request that comes again ends one upstream after the other, among requests that share its
/// session, path or customer.
#[test]
fn a_request_that_ends_three_upstreams_is_held_and_the_parts_of_its_prompt_are_not() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let at = ms(1_000 * number);
        answer(&mut quarantine, at + ms(200), 20, &[SYSTEM]);
        let others = (0..8).map(|other| request(100 * number + other, &[SYSTEM, 10 + other]));
        let all: Vec<_> = others.chain([request(BAD, &[SYSTEM, 7])]).collect();
        crash_under(&mut quarantine, at, number, &all);
    }
    let changes = quarantine.judge(ms(2_700));
    assert_eq!(states(&changes), [(BAD_REQUEST, State::Held)]);
    let now = ms(2_700);
    assert!(is_withheld(&quarantine, now, &request(BAD, &[SYSTEM, 7])));
    assert!(!is_withheld(&quarantine, now, &request(8, &[SYSTEM, 7])));
}

/// The session of a bad request was held, and its next sound answer let the request through again.
#[test]
fn a_sound_answer_of_the_same_session_does_not_release_a_request() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let suspects = [request(BAD, &[SYSTEM, 7])];
        crash_under(&mut quarantine, ms(1_000 * number), number, &suspects);
    }
    quarantine.judge(ms(2_700));
    quarantine.record_sound(ms(3_000), &request(8, &[SYSTEM, 7]));
    quarantine.judge(ms(3_100));
    let now = ms(3_100);
    assert!(is_withheld(&quarantine, now, &request(BAD, &[SYSTEM, 7])));
}

/// A session met one more end than the bad request of it, so it was held first.
#[test]
fn a_request_takes_the_place_of_a_part_whose_ends_it_accounts_for() {
    let mut quarantine = Quarantine::default();
    answer(&mut quarantine, ms(0), 30, &[SYSTEM]);
    for number in 0..3 {
        crash(&mut quarantine, ms(1_000 * number), number, &[7]);
    }
    assert_eq!(
        states(&quarantine.judge(ms(2_700))),
        [(Suspect::Part(7), State::Held)]
    );
    // Another host learned which request it was.
    let mut other = Quarantine::default();
    for number in 0..3 {
        let suspects = [request(BAD, &[7])];
        crash_under(&mut other, ms(1_000 * number), number, &suspects);
    }
    let told = other.evidence(ms(2_800), ms(0), true);
    quarantine.record_evidence(ms(2_900), Source::Region, &told);
    quarantine.judge(ms(3_000));
    assert!(is_withheld(&quarantine, ms(3_000), &[BAD_REQUEST]));
    assert!(!is_withheld(&quarantine, ms(3_000), &request(8, &[7])));
}

/// A request with a bad part that came again hid the part.
#[test]
fn a_bad_part_is_held_though_one_of_its_requests_came_again() {
    let mut quarantine = Quarantine::default();
    answer(&mut quarantine, ms(0), 50, &[SYSTEM]);
    for number in 0..7 {
        // The first three times the same one.
        let fingerprint = if number < 3 { 1 } else { number };
        let suspects = [request(fingerprint, &[SYSTEM, BAD])];
        let at = ms(1_000 * number);
        crash_under(&mut quarantine, at, number, &suspects);
        answer(&mut quarantine, at + ms(100), 5, &[SYSTEM]);
        quarantine.judge(at + ms(700));
    }
    let now = ms(6_700);
    assert!(is_withheld(&quarantine, now, &request(100, &[BAD])));
    assert!(!is_withheld(&quarantine, now, &request(101, &[SYSTEM])));
}

#[test]
fn two_bad_requests_and_a_bad_part_are_held_together() {
    let mut quarantine = Quarantine::default();
    answer(&mut quarantine, ms(0), 50, &[SYSTEM]);
    for number in 0..8 {
        let at = ms(600 * number);
        let bad = [
            request(BAD, &[SYSTEM, 7]),
            request(BAD + 1, &[]),
            request(2_000 + number, &[SYSTEM, BAD]),
        ];
        for (kind, suspects) in bad.into_iter().enumerate() {
            let at = at + ms(200 * kind as u64);
            crash_under(&mut quarantine, at, 3 * number + kind as u64, &[suspects]);
            answer(&mut quarantine, at + ms(50), 10, &[SYSTEM]);
            quarantine.judge(at + ms(100));
        }
    }
    let now = ms(6_000);
    quarantine.judge(now);
    let is_withheld = |suspects: &[Suspect]| is_withheld(&quarantine, now, suspects);
    assert!(is_withheld(&request(BAD, &[SYSTEM, 7])));
    assert!(is_withheld(&request(BAD + 1, &[])));
    assert!(is_withheld(&request(9_000, &[SYSTEM, BAD])));
    assert!(!is_withheld(&request(9_001, &[SYSTEM, 7])));
    assert!(!is_withheld(&request(9_002, &[])));
}

/// Replicas fell silent one after the other, and a request that many send alike was under way at each.
#[test]
fn a_request_that_many_send_alike_is_not_held_and_hides_no_bad_part() {
    let mut quarantine = Quarantine::default();
    let alike = request(5, &[]);
    for number in 0..20 {
        let sent_at = ms(10 * number);
        quarantine.record_sent(sent_at, &alike);
        quarantine.record_sound(sent_at, &alike);
    }
    for number in 0..6 {
        let all = [alike.clone(), request(100 + number, &[BAD])];
        crash_under(&mut quarantine, ms(1_000 + 170 * number), number, &all);
    }
    let now = ms(3_000);
    quarantine.judge(now);
    assert!(is_withheld(&quarantine, now, &request(200, &[BAD])));
    assert!(!is_withheld(&quarantine, now, &alike));
}

#[test]
fn reports_tell_requests_and_parts_apart() {
    let mut quarantine = Quarantine::default();
    crash_under(&mut quarantine, ms(0), 1, &[request(7, &[7])]);
    let told = quarantine.evidence(ms(100), ms(0), true);
    let mut bytes = Vec::new();
    ciborium::into_writer(&told, &mut bytes).unwrap();
    let read: Vec<Evidence> = ciborium::from_reader(&bytes[..]).unwrap();
    assert_eq!(read, told);
    let suspects: BTreeSet<_> = read.iter().map(|evidence| evidence.suspect).collect();
    assert_eq!(
        suspects,
        BTreeSet::from([Suspect::Part(7), Suspect::Request(Fingerprint(7))])
    );
}
