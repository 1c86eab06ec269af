//! Tests of membership in a simulated network: deaths, leaves, pauses, cut links and lost messages.

#[path = "member/network.rs"]
mod network;

use {
    greengagecleat::{
        machine::Machine as _,
        member::{Action, Event, Message, Mutant, Report, Source, State},
    },
    network::{Network, Plan, listed, settings},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::time::Duration,
};

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn fleet(mutant: Option<Mutant>) -> Network {
    let mut network = Network::new(Plan {
        hosts: 6,
        domains: 2,
        loss: 0.0,
        duplicates: 0.0,
        seed: 4,
        mutant,
    });
    network.run(seconds(20));
    network
}

fn all_see(network: &Network, host: usize, state: State) -> bool {
    network
        .seen_states(host)
        .iter()
        .all(|seen| *seen == Some(state))
}

#[test]
fn hosts_of_a_failure_domain_know_each_other_and_contacts_elsewhere() {
    let network = fleet(None);
    for host in 0..6 {
        let view = network.view(host);
        assert_eq!(view.hosts.len(), 6, "{view:#?}");
        assert!(
            view.hosts
                .values()
                .all(|member| member.state == State::Live)
        );
        let by = |source| {
            let members = view.hosts.values();
            members.filter(|member| member.source == source).count()
        };
        assert_eq!((by(Source::Heartbeat), by(Source::Digest)), (3, 3));
        assert_eq!(view.domains.len(), 2);
    }
}

#[test]
fn a_host_that_is_killed_is_dead_to_all_and_its_successor_is_live() {
    let mut network = fleet(None);
    network.kill(0);
    network.run(seconds(10));
    assert!(all_see(&network, 0, State::Dead));
    let dead_view = network.view(3);
    network.run(seconds(5));
    assert!(
        !network.view(3).hosts.contains_key("host-0"),
        "{dead_view:#?}"
    );
    network.start(0, 1);
    network.run(seconds(10));
    assert!(all_see(&network, 0, State::Live));
}

#[test]
fn a_host_that_stays_on_the_list_is_not_revived_by_it() {
    let revivals = |mutant| {
        let mut network = fleet(mutant);
        network.kill(0);
        network.run(seconds(10));
        network.reports.clear();
        network.run(seconds(60));
        let live = |report: &&(usize, Report)| matches!(&report.1, Report::StateChanged { host, now: State::Live, .. } if host.as_str() == "host-0");
        network.reports.iter().filter(live).count()
    };
    assert_eq!(revivals(None), 0);
    assert!(revivals(Some(Mutant::TrustList)) > 0);
}

#[test]
fn one_bad_link_suspects_nobody() {
    let reports = |mutant| {
        let mut network = fleet(mutant);
        network.reports.clear();
        network.cut_links.insert((0, 2));
        network.run(seconds(60));
        network.reports.len()
    };
    assert_eq!(reports(None), 0);
    assert!(reports(Some(Mutant::SkipIndirectPing)) > 0);
}

#[test]
fn a_leaving_host_is_leaving_to_all_within_two_seconds() {
    let mut network = fleet(None);
    network.leave(2);
    network.run(seconds(2));
    assert!(all_see(&network, 2, State::Leaving));
    network.run(seconds(60));
    assert!(all_see(&network, 2, State::Leaving));
    network.kill(2);
    network.run(seconds(15));
    assert!(all_see(&network, 2, State::Dead));
}

#[test]
fn a_failure_domain_that_was_cut_in_two_comes_together_again() {
    let mut network = fleet(None);
    network
        .cut_links
        .extend([(0, 2), (0, 4), (0, 1), (0, 3), (0, 5)]);
    network.run(seconds(30));
    assert_eq!(network.view(0).hosts["host-2"].state, State::Dead);
    assert_eq!(network.view(2).hosts["host-0"].state, State::Dead);
    network.cut_links.clear();
    network.run(seconds(30));
    for host in [0, 2, 4] {
        assert!(all_see(&network, host, State::Live));
    }
}

#[test]
fn a_host_that_was_paused_is_missed_by_others_and_misses_nobody() {
    let mut network = fleet(None);
    network.reports.clear();
    network.pause(0, seconds(60));
    network.run(seconds(59));
    assert!(network.reports.iter().any(|(_, report)| matches!(
        report,
        Report::StateChanged {
            now: State::Dead,
            ..
        }
    )));
    network.reports.clear();
    network.run(seconds(30));
    assert!(all_see(&network, 0, State::Live));
    let own = network.reports.iter().filter(|(host, _)| *host == 0);
    let suspicions = own.filter(|(_, report)| {
        matches!(
            report,
            Report::StateChanged {
                now: State::Suspect | State::Dead,
                ..
            }
        )
    });
    assert_eq!(suspicions.count(), 0);
}

/// The states that a host reports when it suspects another host, is paused for a minute and then
/// handles a tick. The refutation may be unread by then, so that tick must not report a death.
fn states_after_a_pause_with_a_suspect(mutant: Option<Mutant>) -> Vec<State> {
    let mut machine = greengagecleat::member::Machine::new(settings(0, 2, 1, mutant));
    let mut now = Duration::ZERO;
    machine.step(now, Event::Listed(listed(4, 2)));
    let mut states = Vec::new();
    while states.is_empty() {
        now += Duration::from_millis(100);
        states.extend(reported(machine.step(now, Event::Tick)));
    }
    assert_eq!(states, [State::Suspect]);
    now += seconds(60);
    states.extend(reported(machine.step(now, Event::Tick)));
    states
}

fn reported(actions: Vec<Action>) -> Vec<State> {
    actions
        .into_iter()
        .filter_map(|action| match action {
            Action::Report(Report::StateChanged {
                now,
                before: Some(_),
                ..
            }) => Some(now),
            _ => None,
        })
        .collect()
}

#[test]
fn answers_missed_during_a_hosts_own_pause_do_not_count() {
    assert_eq!(states_after_a_pause_with_a_suspect(None), [State::Suspect]);
    assert_eq!(
        states_after_a_pause_with_a_suspect(Some(Mutant::IgnoreOwnPause)),
        [State::Suspect, State::Dead]
    );
}

#[test]
fn heartbeats_survive_the_link_encoding() {
    let mut network = fleet(None);
    let mut pings = 0;
    network.leave(0);
    for message in network.take_messages() {
        let mut bytes = Vec::new();
        ciborium::into_writer(&message, &mut bytes).unwrap();
        let back: Message = ciborium::from_reader(bytes.as_slice()).unwrap();
        assert_eq!(back, message);
        pings += usize::from(matches!(message, Message::Ping { .. }));
    }
    assert!(pings > 0);
}

/// One step of a random schedule of faults.
#[derive(Debug, Clone)]
enum Step {
    Kill { host: usize },
    Start { host: usize, incarnation: u64 },
    Leave { host: usize },
    Pause { host: usize, seconds: u64 },
    Cut { a: usize, b: usize },
    Heal,
    Run { millis: u64 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |limit: u64| u64::arbitrary(g) % limit;
        let host = below(6) as usize;
        match below(10) {
            0 => Self::Kill { host },
            1 | 2 => Self::Start {
                host,
                incarnation: below(50),
            },
            3 => Self::Leave { host },
            4 => Self::Pause {
                host,
                seconds: below(15),
            },
            5 => Self::Cut {
                a: host,
                b: below(6) as usize,
            },
            6 => Self::Heal,
            _ => Self::Run {
                millis: below(10_000),
            },
        }
    }
}

#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    loss: f64,
    steps: Vec<Step>,
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            seed: u64::arbitrary(g),
            loss: [0.0, 0.1, 0.3][usize::arbitrary(g) % 3],
            steps: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let schedule = self.clone();
        let shorter = self.steps.shrink();
        Box::new(shorter.map(move |steps| Self {
            steps,
            ..schedule.clone()
        }))
    }
}

/// Whether no record is replaced by an older one and, once the faults are over and while old
/// messages still arrive, every host sees the actual state of every other.
fn reaches_actual_states(schedule: &Schedule, mutant: Option<Mutant>) -> bool {
    let mut network = Network::new(Plan {
        hosts: 6,
        domains: 2,
        loss: schedule.loss,
        duplicates: 0.1,
        seed: schedule.seed,
        mutant,
    });
    network.run(seconds(5));
    for step in &schedule.steps {
        match *step {
            Step::Kill { host } => network.kill(host),
            Step::Start { host, incarnation } => network.start(host, incarnation),
            Step::Leave { host } => network.leave(host),
            Step::Pause { host, seconds } => network.pause(host, Duration::from_secs(seconds)),
            Step::Cut { a, b } => {
                network.cut_links.insert((a, b));
            }
            Step::Heal => network.cut_links.clear(),
            Step::Run { millis } => network.run(Duration::from_millis(millis)),
        }
    }
    network.cut_links.clear();
    network.plan.loss = 0.0;
    network.run(seconds(40));
    let seen = (0..6).all(|host| all_see(&network, host, network.actual_state(host)));
    network.regressions == 0 && seen
}

fn schedules() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(16, 4))
        .tests(30)
}

#[test]
fn every_host_sees_the_actual_states_after_any_schedule() {
    fn property(schedule: Schedule) -> bool {
        reaches_actual_states(&schedule, None)
    }
    schedules().quickcheck(property as fn(Schedule) -> bool);
}

#[test]
fn a_host_that_accepts_any_incarnation_is_caught() {
    fn property(schedule: Schedule) -> bool {
        reaches_actual_states(&schedule, Some(Mutant::AcceptAnyIncarnation))
    }
    assert!(
        schedules()
            .quicktest(property as fn(Schedule) -> bool)
            .is_err()
    );
}
