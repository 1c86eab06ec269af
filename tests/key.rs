//! Tests of the text form of key digests.

use greengagecleat::key::Digest;

#[test]
fn digest_round_trips_through_text() {
    let digest = Digest::of(b"a key");
    assert_eq!(digest.to_string().parse::<Digest>().unwrap(), digest);
}

#[test]
fn digest_is_hidden_in_debug_output() {
    assert_eq!(format!("{:?}", Digest::of(b"a key")), "Digest(..)");
}

#[test]
fn text_that_is_not_a_digest_is_rejected() {
    let signed = format!("sha256:+6{}", "0".repeat(62));
    for text in ["", "sha256:", "sha256:zz", "abc", &"é".repeat(40), &signed] {
        assert!(text.parse::<Digest>().is_err(), "{text}");
    }
}
