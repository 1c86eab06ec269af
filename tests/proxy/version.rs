//! Versions of configurations and revisions of the store beyond 64 bits: exact, ordered, and understood by
//! hosts of builds that read 64 bits.

use {
    crate::common::{identity, ms, report, rows, setup},
    greengagecleat::{
        natural::Natural,
        proxy::{
            brief::Ledger,
            core::{Core, Provenance},
            fleet::Report,
            revision::Era,
            table::{Rows, Table},
        },
        wire,
    },
    quickcheck::{Gen, QuickCheck},
    serde::{Deserialize, Serialize},
};

fn natural(text: &str) -> Natural {
    Natural::parse(text).unwrap_or_else(|| panic!("{text}"))
}

#[test]
fn whole_numbers_are_read_however_they_are_written() {
    for (text, digits) in [
        ("0", "0"),
        ("0.0e5", "0"),
        ("7.0", "7"),
        ("1e3", "1000"),
        ("12.5E+1", "125"),
        ("1200e-2", "12"),
        ("18446744073709551616", "18446744073709551616"),
        ("00012", "12"),
    ] {
        assert_eq!(natural(text).to_string(), digits, "{text}");
    }
    for text in [
        "",
        ".",
        "-1",
        "+1",
        "0.5",
        "1e-1",
        "125e-1",
        "1e",
        "e1",
        "nan",
        "inf",
        "1e1001",
        "1e999999999999",
        "1e-9223372036854775808",
        "0x10",
        "1_000",
        "\"7\"",
        "null",
    ] {
        assert_eq!(Natural::parse(text), None, "{text}");
    }
}

/// Compares with a sum of digits in columns, for numbers around each length.
#[test]
fn numbers_of_any_size_are_ordered_exactly() {
    fn is_ordered(number: u128, zeros: u8) -> bool {
        let zeros = "0".repeat(usize::from(zeros % 60));
        let [lower, middle, higher] =
            [0, 1, 2].map(|more| natural(&format!("{}{zeros}", (number >> 1) + more)));
        let longer = natural(&format!("{}{zeros}0", number | 1));
        let text = wire::encode(&middle);
        let sent: Natural = wire::decode(&text, "a peer").expect("it is understood");
        let (short, whole) = middle.split();
        lower < middle
            && middle < higher
            && natural(&format!("{}{zeros}", number | 1)) < longer
            && sent == middle
            && Natural::join(short, whole) == middle
            && natural(&middle.to_string()) == middle
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 67))
        .tests(500)
        .quickcheck(is_ordered as fn(u128, u8) -> bool);
    let around = u128::from(u64::MAX);
    let numbers = (around - 2..around + 3).map(|number| natural(&number.to_string()));
    assert!(numbers.is_sorted());
}

/// A configuration whose version was beyond 64 bits was in force nowhere, and a saturated one would never
/// have given way to the next.
#[test]
fn each_version_beyond_64_bits_replaces_the_one_before() {
    let mut core = Core::new(ms(0), setup("n1", "north", 1));
    let provenance = Provenance {
        era: Era::default(),
        is_change: true,
    };
    let mut configure = |version: &str, digest| {
        let table = Table::new(Rows {
            version: natural(version),
            digest,
            ..rows(0)
        });
        core.configure(ms(0), table, provenance)
    };
    let versions = [
        "0",
        "18446744073709551615",
        "18446744073709551616",
        "18446744073709551617",
        "99999999999999999999999",
        "1e40",
    ];
    for (version, digest) in versions.into_iter().zip(1..) {
        assert!(configure(version, digest), "{version}");
        assert!(!configure(version, digest), "{version} again");
    }
    assert!(!configure("18446744073709551617", 9));
}

/// The fields of the version in a report, as builds of 64 bits know them.
#[derive(Debug, Serialize, Deserialize)]
struct Older {
    version: u64,
    digest: Option<u64>,
}

#[test]
fn hosts_of_builds_with_64_bits_read_a_longer_version_as_the_largest_one() {
    let sent = |version: &str| {
        let (version, long_version) = natural(version).split();
        Report {
            version,
            long_version,
            digest: Some(5),
            ..report(identity("n1", "north", 1), 8)
        }
    };
    for (version, read) in [
        ("7", 7),
        ("18446744073709551615", u64::MAX),
        ("18446744073709551616", u64::MAX),
        ("1e40", u64::MAX),
    ] {
        let full = sent(version);
        let bytes = wire::encode(&full);
        let older: Older = wire::decode(&bytes, "a peer").expect("it is understood");
        assert_eq!((older.version, older.digest), (read, Some(5)), "{version}");
        let newer: Report = wire::decode(&bytes, "a peer").expect("it is understood");
        assert_eq!(newer.version(), natural(version));
        let short = Ledger::default().shorten(&full, 1);
        let short = wire::encode(&short.expect("no customers have changed"));
        let short: greengagecleat::proxy::brief::Report =
            wire::decode(&short, "a peer").expect("it is understood");
        let expanded = short.expand(Vec::new()).expect("it has a base");
        assert_eq!(expanded.version(), natural(version));
    }
    // What an older build sends has no second field.
    let mut plain = sent("7");
    plain.version = 12;
    assert_eq!(plain.version(), 12);
}
