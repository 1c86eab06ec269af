//! Tests that accepted documents come into force on every host and are never replaced by older
//! ones.

use {
    super::network::{self, Network, Plan},
    greengagecleat::config::{
        Document,
        spread::{Mutant, Patch, Version},
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::time::Duration,
};

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn plan(mutant: Option<Mutant>) -> Plan {
    Plan {
        hosts: 6,
        domains: 3,
        loss: 0.0,
        seed: 4,
        mutant,
    }
}

fn fleet(plan: Plan) -> Network {
    let mut network = Network::new(plan);
    network.publish(Document::Routes, &network::routes(1000));
    network.publish(Document::Pools, &network::pools(1));
    network.publish(Document::Customers, &network::customers(3, 0, 1));
    network
}

fn revision(network: &Network, host: usize, document: Document) -> Option<u64> {
    let summary = network.host(host).summary();
    Some(summary.versions(document).accepted?.revision)
}

#[test]
fn a_change_is_in_force_everywhere_within_six_seconds() {
    let mut network = fleet(Plan {
        hosts: 60,
        domains: 6,
        loss: 0.05,
        ..plan(None)
    });
    network.run(seconds(15));
    assert!((0..60).all(|host| network.host(host).is_ready()));
    for rate in 2..6 {
        let text = network::customers(3, 0, rate);
        let revision = network.publish(Document::Customers, &text);
        let end = network.now + seconds(6);
        assert!(network.run_until(end, |network| {
            network.is_everywhere(Document::Customers, revision)
        }));
    }
    assert_eq!(network.reverts, []);
}

#[test]
fn a_refused_document_leaves_the_last_one_in_force_on_every_host() {
    let mut network = fleet(plan(None));
    network.run(seconds(10));
    network.publish(Document::Pools, "[[pool]]\nname = 1\n");
    network.run(seconds(10));
    assert!(network.is_everywhere(Document::Pools, 1));
    for host in 0..6 {
        assert_eq!(
            network
                .host(host)
                .refusal_diagnostics(Document::Pools)
                .len(),
            2,
            "host {host}"
        );
    }
    network.publish(Document::Pools, &network::pools(2));
    network.run(seconds(10));
    assert!(network.is_everywhere(Document::Pools, 3));
    assert_eq!(network.host(5).refusal_diagnostics(Document::Pools), []);
}

#[test]
fn a_fresh_host_does_not_adopt_an_older_revision_from_a_stale_service() {
    let ready_and_revision = |mutant| {
        let mut network = fleet(Plan {
            hosts: 3,
            ..plan(mutant)
        });
        network.run(seconds(10));
        network.publish(Document::Customers, &network::customers(3, 0, 2));
        network.run(seconds(10));
        network.put(Document::Customers, 1, &network::customers(3, 0, 1));
        network.cuts.extend([(0, 1), (0, 2)]);
        network.restart(0);
        network.run(seconds(2));
        network.cuts.clear();
        let was_ready_early = network.host(0).is_ready();
        let end = network.now + seconds(20);
        assert!(network.run_until(end, |network| network.host(0).is_ready()));
        (was_ready_early, revision(&network, 0, Document::Customers))
    };
    assert_eq!(ready_and_revision(None), (false, Some(2)));
    assert_eq!(
        ready_and_revision(Some(Mutant::ReadyWithoutPeers)),
        (true, Some(1))
    );
}

#[test]
fn every_reader_reports_a_service_that_serves_an_older_revision() {
    let mut network = fleet(plan(None));
    network.run(seconds(10));
    network.publish(Document::Customers, &network::customers(3, 0, 2));
    network.run(seconds(10));
    network.put(Document::Customers, 1, &network::customers(3, 0, 1));
    network.run(seconds(120));
    assert!(network.is_everywhere(Document::Customers, 2));
    let behind = |host| {
        network
            .host(host)
            .stale_service_revision(Document::Customers)
    };
    assert!((0..6).all(|host| behind(host) == Some(1)));
    network.put(Document::Customers, 3, &network::customers(3, 0, 3));
    network.run(seconds(6));
    assert!(network.is_everywhere(Document::Customers, 3));
}

#[test]
fn a_fresh_host_catches_up_from_peers_while_the_service_is_down() {
    let mut network = fleet(plan(None));
    network.run(seconds(10));
    network.take_down();
    network.run(seconds(60));
    network.restart(4);
    let end = network.now + seconds(6);
    assert!(network.run_until(end, |network| network.host(4).is_ready()));
    assert_eq!(revision(&network, 4, Document::Customers), Some(1));
}

#[test]
fn a_region_cut_off_from_peers_and_service_keeps_its_documents_and_catches_up() {
    let mut network = fleet(plan(None));
    network.run(seconds(10));
    network.cuts.extend([(0, 1), (0, 2)]);
    network.cut_off_from_service.insert(0);
    network.publish(Document::Customers, &network::customers(3, 0, 2));
    network.run(seconds(600));
    assert!(network.host(0).is_ready());
    assert_eq!(revision(&network, 0, Document::Customers), Some(1));
    assert_eq!(revision(&network, 1, Document::Customers), Some(2));
    network.cuts.clear();
    let end = network.now + seconds(6);
    assert!(network.run_until(end, |network| network.is_everywhere(Document::Customers, 2)));
}

#[test]
fn a_host_without_peers_reads_by_itself() {
    let mut network = fleet(Plan {
        loss: 1.0,
        ..plan(None)
    });
    network.run(seconds(20));
    network.publish(Document::Customers, &network::customers(3, 0, 2));
    let end = network.now + seconds(6);
    assert!(network.run_until(end, |network| network.is_everywhere(Document::Customers, 2)));
}

#[test]
fn a_host_that_resumes_after_a_pause_confirms_its_documents_before_it_is_ready() {
    let mut network = fleet(plan(None));
    network.run(seconds(10));
    network.pause(3, seconds(300));
    network.publish(Document::Customers, &network::customers(3, 0, 2));
    network.run(seconds(299));
    assert!(network.host(3).is_ready());
    let end = network.now + seconds(2);
    assert!(network.run_until(end, |network| !network.host(3).is_ready()));
    let end = network.now + seconds(6);
    assert!(network.run_until(end, |network| network.host(3).is_ready()));
    assert_eq!(revision(&network, 3, Document::Customers), Some(2));
}

/// Publishes one revision with two contents, each on one side of a partition that ends afterwards.
fn split_revision(mutant: Option<Mutant>) -> Network {
    let mut network = fleet(plan(mutant));
    network.run(seconds(10));
    network.cuts.extend([(0, 1), (0, 2)]);
    network.cut_off_from_service.insert(0);
    network.publish(Document::Customers, &network::customers(3, 0, 2));
    network.run(seconds(10));
    network.cut_off_from_service.extend([1, 2]);
    network.cut_off_from_service.remove(&0);
    network.put(Document::Customers, 2, &network::customers(3, 0, 3));
    network.run(seconds(120));
    network.cuts.clear();
    network.cut_off_from_service.clear();
    network.run(seconds(60));
    network
}

#[test]
fn hosts_converge_when_one_revision_has_two_contents() {
    let same = |network: &Network| {
        let summaries = network.summaries();
        summaries.iter().all(|summary| *summary == summaries[0])
    };
    assert!(same(&split_revision(None)));
    assert!(!same(&split_revision(Some(Mutant::KeepFirstContent))));
}

/// One step of an adversarial schedule.
#[derive(Debug, Clone)]
enum Step {
    Publish { document: usize, value: u64 },
    PublishInvalid { document: usize },
    Restore { document: usize, back: u64 },
    Down,
    Up,
    Cut { domain: usize },
    Heal,
    Pause { host: usize, seconds: u64 },
    Restart { host: usize },
    Run { millis: u64 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |limit: u64| u64::arbitrary(g) % limit;
        match below(13) {
            0..3 => Self::Publish {
                document: below(3) as usize,
                value: 1 + below(50),
            },
            3 => Self::PublishInvalid {
                document: below(3) as usize,
            },
            4 => Self::Restore {
                document: below(3) as usize,
                back: below(4),
            },
            5 => Self::Down,
            6 => Self::Up,
            7 => Self::Cut {
                domain: below(3) as usize,
            },
            8 => Self::Heal,
            9 => Self::Pause {
                host: below(6) as usize,
                seconds: below(20),
            },
            10 => Self::Restart {
                host: below(6) as usize,
            },
            _ => Self::Run {
                millis: below(8000),
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
            loss: [0.0, 0.1, 0.4][usize::arbitrary(g) % 3],
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

fn text(document: Document, value: u64) -> String {
    match document {
        Document::Routes => network::routes(value),
        Document::Pools => network::pools(value),
        Document::Customers => network::customers(3, 1, value),
    }
}

fn apply(network: &mut Network, step: &Step) {
    match *step {
        Step::Publish { document, value } => {
            let document = Document::ALL[document];
            network.publish(document, &text(document, value));
        }
        Step::PublishInvalid { document } => {
            network.publish(Document::ALL[document], "nonsense");
        }
        Step::Restore { document, back } => {
            let document = Document::ALL[document];
            let revision = network.service.documents[&document].0;
            let revision = revision.saturating_sub(back).max(1);
            network.put(document, revision, &text(document, 100 + back));
        }
        Step::Down => network.take_down(),
        Step::Up => network.service.is_down = false,
        Step::Cut { domain } => {
            network.cut_off_from_service.insert(domain);
            network
                .cuts
                .extend([(domain, (domain + 1) % 3), (domain, (domain + 2) % 3)]);
        }
        Step::Heal => {
            network.cuts.clear();
            network.cut_off_from_service.clear();
        }
        Step::Pause { host, seconds } => network.pause(host, Duration::from_secs(seconds)),
        Step::Restart { host } => network.restart(host),
        Step::Run { millis } => network.run(Duration::from_millis(millis)),
    }
}

/// Whether no host went back to an older version and, after all faults have ended, all hosts hold
/// the same versions, none older than the service's.
fn converges(schedule: &Schedule, mutant: Option<Mutant>) -> bool {
    let mut network = fleet(Plan {
        seed: schedule.seed,
        loss: schedule.loss,
        ..plan(mutant)
    });
    network.run(seconds(10));
    for step in &schedule.steps {
        apply(&mut network, step);
    }
    apply(&mut network, &Step::Up);
    apply(&mut network, &Step::Heal);
    network.run(seconds(150));
    let summaries = network.summaries();
    let same = summaries.iter().all(|summary| *summary == summaries[0]);
    let current = Document::ALL.into_iter().all(|document| {
        let (revision, text) = &network.service.documents[&document];
        summaries[0].versions(document).latest() >= Some(Version::of(*revision, text))
    });
    network.reverts.is_empty() && same && current
}

fn schedules() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(24, 4))
        .tests(60)
}

#[test]
fn hosts_agree_and_never_go_back_under_any_schedule() {
    fn property(schedule: Schedule) -> bool {
        converges(&schedule, None)
    }
    schedules().quickcheck(property as fn(Schedule) -> bool);
}

#[test]
fn checks_detect_a_host_that_trusts_the_service() {
    fn property(schedule: Schedule) -> bool {
        converges(&schedule, Some(Mutant::TrustService))
    }
    assert!(
        schedules()
            .quicktest(property as fn(Schedule) -> bool)
            .is_err()
    );
}

#[test]
fn checks_detect_a_host_that_keeps_the_first_content() {
    fn property(schedule: Schedule) -> bool {
        converges(&schedule, Some(Mutant::KeepFirstContent))
    }
    assert!(
        schedules()
            .quicktest(property as fn(Schedule) -> bool)
            .is_err()
    );
}

#[test]
fn a_patch_turns_any_text_into_any_other() {
    fn property(old: String, new: String) -> bool {
        let patch = Patch::between(&old, &new);
        patch.apply(&old) == Some(new.clone()) && patch.len() <= new.len()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 4))
        .tests(500)
        .quickcheck(property as fn(String, String) -> bool);
    assert_eq!(Patch::between("rate = 1é2", "rate = 1è2").len(), 2);
}
