//! A short fuzzing round against every decoder of untrusted bytes.

use testbed::fuzz;

/// Inputs for each decoder; `testbed fuzz` runs more of them.
const CASES: u64 = 500;

#[test]
fn no_decoder_fails_on_damaged_input() {
    let findings = fuzz::run(1, CASES);
    assert!(findings.is_empty(), "{findings:?}");
}
