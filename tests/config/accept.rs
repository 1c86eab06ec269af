//! Tests of document validation and of references between documents.

use {
    greengagecleat::{
        config::{Diagnostic, Document, Severity, Snapshot, accept},
        key::Digest,
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::{collections::BTreeMap, fs, path::Path},
};

fn example(deployment: &str) -> BTreeMap<Document, String> {
    let folder = Path::new("examples/tables").join(deployment);
    Document::ALL
        .into_iter()
        .map(|document| {
            let text = fs::read_to_string(folder.join(format!("{document}.toml"))).unwrap();
            (document, text)
        })
        .collect()
}

fn snapshot(texts: &BTreeMap<Document, String>) -> Snapshot {
    let routes = accept::routes(&texts[&Document::Routes]).unwrap();
    let pools = accept::pools(&texts[&Document::Pools]).unwrap();
    let customers = accept::customers(&texts[&Document::Customers]).unwrap();
    Snapshot::new(routes.into(), pools.into(), customers.into())
}

fn faults(document: Document, text: &str) -> Vec<String> {
    match accept::document(document, text) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    }
}

fn customer(name: &str, keys: &[&str]) -> String {
    let keys: Vec<_> = keys
        .iter()
        .map(|key| Digest::of(key.as_bytes()).to_string())
        .collect();
    format!("[[customer]]\nname = \"{name}\"\nkeys = {keys:?}\nrate = 10\nburst = 100\n")
}

#[test]
fn examples_of_both_deployments_are_accepted_with_valid_references() {
    for deployment in ["kerala", "egypt"] {
        let texts = example(deployment);
        assert_eq!(
            accept::check(&texts),
            Vec::<Diagnostic>::new(),
            "{deployment}"
        );
        let snapshot = snapshot(&texts);
        assert_eq!(snapshot.customers.len(), 5);
        assert!(snapshot.routes.values().all(|route| route.pools.len() == 3));
    }
    let kerala = snapshot(&example("kerala"));
    let kollam = kerala
        .customer_by_key(&Digest::of(b"example-key-kollam"))
        .unwrap();
    assert_eq!(kollam.name.as_str(), "kollam");
    let path = kerala.plain_route("/records/receipts/7").unwrap();
    assert_eq!(path.name.as_str(), "receipts");
}

#[test]
fn every_fault_of_a_document_is_told_at_once_with_line_and_remedy() {
    let text = r#"
[[route]]
name = "a"
kind = "model"
model = "m"
pools = ["p"]
colour = "red"
deadline_ms = "soon"

[[route]]
name = "a"
kind = "plain"
path = "records"
pools = ["p", "p"]

[[route]]
name = "c"
pools = []

[[rout]]
name = "d"
"#;
    insta::assert_snapshot!(faults(Document::Routes, text).join("\n"));
}

#[test]
fn each_broken_rule_gives_one_diagnostic() {
    let route = "[[route]]\nname = \"r\"\npools = [\"p\"]\n";
    let pool = "[[pool]]\nname = \"p\"\nregion = \"south\"\n";
    let upstream = "[[pool.upstream]]\nname = \"u\"\naddress = \"10.0.0.1:80\"\ndomain = \"d\"\n";
    let other = "[[pool.upstream]]\nname = \"v\"\naddress = \"10.0.0.1:80\"\ndomain = \"d\"\n";
    let same = "[[pool.upstream]]\nname = \"u\"\naddress = \"10.0.0.2:80\"\ndomain = \"d\"\n";
    let customer = "[[customer]]\nname = \"c\"\n";
    let cases = [
        (Document::Routes, format!("{route}kind = \"model\"\n")),
        (Document::Routes, format!("{route}kind = \"plain\"\n")),
        (
            Document::Routes,
            format!("{route}kind = \"plain\"\nmodel = \"m\"\npath = \"/x\"\n"),
        ),
        (
            Document::Routes,
            format!("{route}kind = \"model\"\nmodel = \"m\"\npath = \"/x\"\n"),
        ),
        (
            Document::Routes,
            format!("{route}kind = \"plain\"\npath = \"x\"\n"),
        ),
        (
            Document::Routes,
            format!("{route}kind = \"plain\"\npath = \"/\"\n"),
        ),
        (
            Document::Routes,
            format!("{route}kind = \"plain\"\npath = \"/v1\"\n"),
        ),
        (
            Document::Routes,
            format!("{route}kind = \"plain\"\npath = \"/v1/models\"\n"),
        ),
        (
            Document::Routes,
            format!("{route}kind = \"plain\"\npath = \"/control/\"\n"),
        ),
        (
            Document::Routes,
            format!("{route}kind = \"plain\"\npath = \"/a/../v1\"\n"),
        ),
        (
            Document::Routes,
            format!("{route}kind = \"model\"\nmodel = \"m\"\ndeadline_ms = 0\n"),
        ),
        (
            Document::Routes,
            format!("{route}kind = \"model\"\nmodel = \"m\"\ndeadline_ms = 3600001\n"),
        ),
        (
            Document::Routes,
            format!("{route}kind = \"model\"\nmodel = \"m\"\nopen = true\ncustomers = [\"c\"]\n"),
        ),
        (Document::Routes, "[[route]\n".to_owned()),
        (Document::Pools, format!("{pool}price_per_million = -1\n")),
        (
            Document::Pools,
            format!("{pool}committed_per_month = -0.5\n"),
        ),
        (Document::Pools, format!("{pool}spent_this_month = nan\n")),
        (Document::Pools, format!("{pool}slots = 0\n")),
        (Document::Pools, format!("{pool}payment = \"gift\"\n")),
        (Document::Pools, format!("{pool}{pool}")),
        (Document::Pools, format!("{pool}{upstream}{other}")),
        (Document::Pools, format!("{pool}{upstream}{same}")),
        (Document::Pools, format!("{pool}{upstream}port = 1\n")),
        (
            Document::Customers,
            format!("{customer}rate = -1\nburst = 1\n"),
        ),
        (
            Document::Customers,
            format!("{customer}rate = inf\nburst = 1\n"),
        ),
        (
            Document::Customers,
            format!("{customer}rate = 1\nburst = nan\n"),
        ),
        (Document::Customers, format!("{customer}rate = 1\n")),
        (
            Document::Customers,
            format!("{customer}rate = 1\nburst = 1\nweight = 0\n"),
        ),
        (
            Document::Customers,
            format!("{customer}rate = 1\nburst = 1\nkeys = [\"secret\"]\n"),
        ),
        (Document::Customers, self::customer("c", &["1", "2", "3"])),
        (Document::Customers, self::customer("c", &["1", "1"])),
        (
            Document::Customers,
            self::customer("c", &["1"]) + &self::customer("d", &["1"]),
        ),
        (Document::Customers, self::customer("a b", &["1"])),
    ];
    for (document, text) in cases {
        let found = faults(document, &text);
        assert_eq!(found.len(), 1, "{text}\n{found:#?}");
        assert!(!found[0].contains("secret"), "{found:?}");
    }
}

#[test]
fn a_document_above_the_size_limit_is_refused() {
    let text = "#".repeat(accept::MAX_BYTES + 1);
    assert_eq!(faults(Document::Pools, &text).len(), 1);
    assert!(faults(Document::Pools, &text[1..]).is_empty());
}

#[test]
fn broken_references_are_reported_with_their_severity() {
    let routes = "[[route]]\nname = \"r\"\nkind = \"model\"\nmodel = \"m\"\npools = [\"p\", \"q\"]\ncustomers = [\"c\", \"x\"]\n";
    let pools =
        "[[pool]]\nname = \"p\"\nregion = \"south\"\n[[pool]]\nname = \"n\"\nregion = \"north\"\n";
    let customers =
        "[[customer]]\nname = \"c\"\nrate = 1\nburst = 1\nresidency = [\"north\", \"west\"]\n";
    let texts = BTreeMap::from([
        (Document::Routes, routes.to_owned()),
        (Document::Pools, pools.to_owned()),
        (Document::Customers, customers.to_owned()),
    ]);
    let found: Vec<_> = accept::check(&texts)
        .into_iter()
        .map(|fault| (fault.document, fault.line, fault.severity))
        .collect();
    assert_eq!(
        found,
        [
            (Document::Routes, 5, Severity::Error),
            (Document::Routes, 6, Severity::Error),
            (Document::Customers, 5, Severity::Error),
        ]
    );
    let only_south = customers.replace("\"north\", \"west\"", "\"north\"");
    let routes = routes.replace(", \"q\"", "").replace(", \"x\"", "");
    let texts = BTreeMap::from([
        (Document::Routes, routes),
        (Document::Pools, pools.to_owned()),
        (Document::Customers, only_south),
    ]);
    let found = accept::check(&texts);
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].severity, Severity::Warning);
}

#[test]
fn a_route_without_its_pools_keeps_its_path_and_its_customers() {
    let routes = r#"
[[route]]
name = "all"
kind = "plain"
path = "/records"
pools = ["p"]
open = true

[[route]]
name = "bound"
kind = "plain"
path = "/records/receipts"
pools = ["gone"]
customers = ["also-gone"]
"#;
    let pools = "[[pool]]\nname = \"p\"\nregion = \"south\"\n";
    let snapshot = Snapshot::new(
        accept::routes(routes).unwrap().into(),
        accept::pools(pools).unwrap().into(),
        accept::customers("").unwrap().into(),
    );
    let bound = snapshot.plain_route("/records/receipts/1").unwrap();
    assert_eq!(bound.name.as_str(), "bound");
    assert!(bound.pools.is_empty());
    assert_eq!(bound.customers.len(), 1);
}

#[test]
fn withdrawn_keys_are_those_no_longer_valid_for_their_customer() {
    let read = |text: &str| {
        Snapshot::new(
            Default::default(),
            Default::default(),
            accept::customers(text).unwrap().into(),
        )
    };
    let before =
        read(&(customer("a", &["1", "2"]) + &customer("b", &["3"]) + &customer("c", &["4"])));
    let after = read(&(customer("a", &["2", "5"]) + &customer("b", &["4"]) + &customer("c", &[])));
    let withdrawn = before.withdrawn_keys(&after);
    let expected = ["1", "3", "4"].map(|key| Digest::of(key.as_bytes()));
    assert_eq!(withdrawn, expected.into());
    assert!(after.customer_by_key(&Digest::of(b"1")).is_none());
    assert!(before.withdrawn_keys(&before).is_empty());
}

/// A pools document with one line removed, duplicated or damaged.
#[derive(Debug, Clone)]
struct Malformed(String);

impl Arbitrary for Malformed {
    fn arbitrary(g: &mut Gen) -> Self {
        let text = include_str!("../../examples/tables/kerala/pools.toml");
        let mut lines: Vec<_> = text.lines().map(str::to_owned).collect();
        let at = usize::arbitrary(g) % lines.len();
        match u8::arbitrary(g) % 4 {
            0 => drop(lines.remove(at)),
            1 => lines.insert(at, lines[at].clone()),
            2 => lines[at].push('"'),
            _ => lines[at] = lines[at].replace(['=', ']'], ""),
        }
        Self(lines.join("\n"))
    }
}

#[test]
fn a_malformed_document_is_refused_with_diagnostics_on_real_lines_or_accepted() {
    fn holds(Malformed(text): Malformed) -> bool {
        let first = accept::document(Document::Pools, &text);
        if first != accept::document(Document::Pools, &text) {
            return false;
        }
        match first {
            Ok(_) => true,
            Err(faults) => {
                let last = text.lines().count() + 1;
                !faults.is_empty() && faults.iter().all(|fault| (1..=last).contains(&fault.line))
            }
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 4))
        .tests(60)
        .quickcheck(holds as fn(Malformed) -> bool);
}
