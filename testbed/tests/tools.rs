//! Tests of the tools: the load schedule, the evaluation of a run, and the comparison of results.

use {
    serde_json::json,
    std::{collections::BTreeMap, time::Duration},
    testbed::{
        compare::Comparison,
        deployment::{EGYPT, KERALA},
        fleet::incident::{Incident, Kind as IncidentKind},
        run::{Evidence, Outcome, Report, judge, outcome::Status},
        text,
        workload::{self, Item, Kind},
    },
};

const LENGTH: Duration = Duration::from_secs(3);

fn items() -> Vec<Item> {
    workload::schedule(&KERALA, 7, LENGTH, 1.0)
}

/// Outcomes in which every item was answered in full.
fn outcomes(items: &[Item]) -> Vec<Outcome> {
    let whole = |item: &Item| Outcome {
        number: item.number,
        at: item.at,
        kind: item.kind,
        customer: item.customer,
        status: Status::Whole,
        code: String::new(),
        ran: None,
        first: Some(Duration::from_millis(10)),
        whole: Duration::from_millis(20),
        tries: 1,
    };
    items.iter().map(whole).collect()
}

/// Evidence that every model request and post ran once in its customer's home region.
fn evidence(items: &[Item]) -> Evidence {
    let home = |item: &Item| vec![KERALA.customers[item.customer].home];
    Evidence {
        prompts: items
            .iter()
            .filter(|item| item.kind.is_model())
            .map(|item| (text::hash(&item.prompt), home(item)))
            .collect(),
        posts: items
            .iter()
            .filter(|item| item.kind == Kind::Post)
            .map(|item| (item.key.clone(), home(item)))
            .collect(),
        ..Evidence::default()
    }
}

fn judged(items: &[Item], outcomes: &[Outcome], evidence: &Evidence) -> Report {
    judge(&KERALA, evidence, items, outcomes, LENGTH)
}

fn first_of_kind(items: &[Item], kind: Kind) -> usize {
    items.iter().position(|item| item.kind == kind).unwrap()
}

#[test]
fn same_seed_gives_the_same_work() {
    let debug = |items: &[Item]| format!("{items:?}");
    assert_eq!(debug(&items()), debug(&items()));
    let other = workload::schedule(&EGYPT, 8, LENGTH, 1.0);
    assert_ne!(debug(&items()), debug(&other));
    let present = |kind| items().iter().any(|item| item.kind == kind);
    assert!(Kind::ALL.into_iter().all(present));
}

#[test]
fn run_without_faults_has_no_violations() {
    let items = items();
    let report = judged(&items, &outcomes(&items), &evidence(&items));
    assert_eq!(report.violations, Vec::<String>::new());
    assert_eq!(report.ends.whole, items.len() as u64);
    assert_eq!(report.kinds["chat"].first.p50.round(), 10.0);
}

#[test]
fn each_violation_is_reported() {
    let items = items();
    let post = first_of_kind(&items, Kind::Post);
    let home_only = items
        .iter()
        .find(|item| item.kind.is_model() && KERALA.customers[item.customer].home_only)
        .unwrap();
    let brief = first_of_kind(&items, Kind::Brief);
    let good = evidence(&items);
    let violations = |outcomes: &[Outcome], evidence: &Evidence| {
        judged(&items, outcomes, evidence).violations.join("\n")
    };

    let mut twice = good.clone();
    twice.posts.get_mut(&items[post].key).unwrap().push(1);
    assert!(violations(&outcomes(&items), &twice).contains("post run more than once, 1 times"));

    let mut lost = good.clone();
    lost.posts.remove(&items[post].key);
    assert!(violations(&outcomes(&items), &lost).contains("post answered and not run"));

    let mut away = good.clone();
    away.prompts.insert(text::hash(&home_only.prompt), vec![0]);
    assert!(violations(&outcomes(&items), &away).contains("run outside its residency"));

    let mut leaked = good.clone();
    leaked.leaks.push("an engine".to_owned());
    assert!(violations(&outcomes(&items), &leaked).contains("key seen by an upstream"));

    let mut untrue = outcomes(&items);
    untrue[brief].status = Status::Refused;
    untrue[brief].ran = Some("no".to_owned());
    assert!(violations(&untrue, &good).contains("refused as not run and run"));

    let mut wrong = outcomes(&items);
    wrong[brief].status = Status::Wrong;
    assert!(violations(&wrong, &good).contains("not the answer"));

    let few = &outcomes(&items)[1..];
    assert!(violations(few, &good).contains("never ended"));
}

#[test]
fn customer_over_its_rate_is_reported_and_refusals_within_it_are_counted() {
    let items = workload::schedule(&KERALA, 7, Duration::from_secs(20), 3.0);
    let evidence = evidence(&items);
    let all = judged(&items, &outcomes(&items), &evidence);
    assert!(
        all.violations
            .join("\n")
            .contains("more than its rate and burst")
    );
    let mut refused = outcomes(&items);
    refused[0].status = Status::Refused;
    let report = judged(&items, &refused, &evidence);
    assert_eq!(report.ends.refused_within_rate, 1);
    refused[0].code = "key_unknown".to_owned();
    let withdrawn = judged(&items, &refused, &evidence);
    assert_eq!(withdrawn.ends.refused_within_rate, 0);
}

#[test]
fn incidents_are_parsed_by_name() {
    let incident: Incident = "cut-region@5+2.5".parse().unwrap();
    assert_eq!(incident.kind, IncidentKind::CutRegion);
    assert_eq!(incident.at, Duration::from_secs(5));
    assert_eq!(incident.lasts, Duration::from_millis(2500));
    for wrong in ["cut-region", "no-such-fault@1", "cut-region@soon"] {
        assert!(wrong.parse::<Incident>().is_err(), "{wrong}");
    }
}

#[test]
fn comparison_gives_ratios() {
    let one = json!({"a": {"p50": 2.0}, "b": 0, "only": 1});
    let two = json!({"a": {"p50": 3.0}, "b": 4});
    let rows = Comparison::new(&one, &two).rows;
    let ratios: BTreeMap<_, _> = rows
        .iter()
        .map(|row| (row.name.as_str(), row.ratio()))
        .collect();
    let expected = BTreeMap::from([("a.p50", Some(1.5)), ("b", None), ("only", None)]);
    assert_eq!(ratios, expected);
}
