//! Which requests count as the same.

use {
    greengagecleat::{name, proxy::fingerprint::Fingerprint},
    http::{HeaderMap, Method},
    quickcheck::QuickCheck,
};

/// What identifies a request: authority, path, customer and body.
type Fields = (String, String, Option<String>, Vec<u8>);

fn fingerprint((authority, target, customer, body): &Fields, other_header: &str) -> Fingerprint {
    let mut headers = HeaderMap::new();
    if let Ok(authority) = authority.parse() {
        headers.insert("host", authority);
    }
    headers.insert("x-request-id", other_header.parse().unwrap());
    let customer = customer.as_deref().map(name::Customer::from);
    Fingerprint::of(&Method::POST, target, &headers, customer.as_ref(), body)
}

#[test]
fn repeats_with_another_id_have_one_fingerprint() {
    let fields = ("a".into(), "/b".into(), Some("c".into()), b"d".to_vec());
    assert_eq!(fingerprint(&fields, "1"), fingerprint(&fields, "2"));
}

#[test]
fn requests_that_differ_have_different_fingerprints() {
    fn is_kept_apart(left: Fields, right: Fields) -> bool {
        let is_printable = |text: &str| text.bytes().all(|byte| (b' '..=b'~').contains(&byte));
        if !is_printable(&left.0) || !is_printable(&right.0) {
            return true;
        }
        (left == right) == (fingerprint(&left, "1") == fingerprint(&right, "1"))
    }
    QuickCheck::new().quickcheck(is_kept_apart as fn(Fields, Fields) -> bool);
}

#[test]
fn the_border_between_two_fields_matters() {
    let fields = |target: &str, customer: &str, body: &str| -> Fields {
        let customer = Some(customer.to_owned());
        ("a".into(), target.into(), customer, body.into())
    };
    let all = [
        fields("/b", "c", "d"),
        fields("/bc", "", "d"),
        fields("/b", "cd", ""),
        fields("/", "bc", "d"),
    ];
    let fingerprints = all.iter().map(|fields| fingerprint(fields, "1"));
    let different: std::collections::BTreeSet<_> = fingerprints.collect();
    assert_eq!(different.len(), all.len());
}
