//! Rendezvous hashing: hosts with the same list of candidates select the same ones for a key
//! without communicating.

use sha2::{Digest as _, Sha256};

/// The weight of a candidate for a key, which is the same in every build and on every machine.
pub fn weight(key: &str, candidate: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update((key.len() as u64).to_be_bytes());
    hash.update(key);
    hash.update(candidate);
    let bytes: [u8; 32] = hash.finalize().into();
    bytes
        .iter()
        .take(8)
        .fold(0, |weight, byte| weight << 8 | u64::from(*byte))
}

/// The candidates by falling weight for a key; equal weights are ordered by name.
pub fn order<T: AsRef<str>>(key: &str, candidates: impl IntoIterator<Item = T>) -> Vec<T> {
    let mut weighed: Vec<_> = candidates
        .into_iter()
        .map(|candidate| (weight(key, candidate.as_ref()), candidate))
        .collect();
    weighed
        .sort_by(|(left, a), (right, b)| right.cmp(left).then_with(|| a.as_ref().cmp(b.as_ref())));
    weighed
        .into_iter()
        .map(|(_, candidate)| candidate)
        .collect()
}
