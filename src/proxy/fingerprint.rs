//! Identifies requests that are the same: those with one method, authority, path, customer and body.

use {
    crate::name,
    derive_more::{Display, LowerHex},
    http::{HeaderMap, Method, header},
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
};

/// A hash of what makes a request the same as another one. All hosts compute the same.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    LowerHex,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a request with this path and query. Of the headers only the authority
    /// counts, since the others differ between tries.
    pub fn of(
        method: &Method,
        target: &str,
        headers: &HeaderMap,
        customer: Option<&name::Customer>,
        body: &[u8],
    ) -> Self {
        let authority = headers.get(header::HOST).map(|host| host.as_bytes());
        let customer = customer.map(|customer| customer.as_str().as_bytes());
        let mut hash = Sha256::new();
        let fields = [
            Some(method.as_str().as_bytes()),
            authority,
            Some(target.as_bytes()),
            customer,
            Some(body),
        ];
        for field in fields {
            // The length keeps two requests apart whose fields are split differently.
            let length = field.map_or(u64::MAX, |bytes| bytes.len() as u64);
            hash.update(length.to_be_bytes());
            hash.update(field.unwrap_or_default());
        }
        let digest = hash.finalize();
        let (head, _) = digest.split_at(size_of::<u64>());
        Self(
            head.iter()
                .fold(0, |hash, byte| hash << 8 | u64::from(*byte)),
        )
    }
}
