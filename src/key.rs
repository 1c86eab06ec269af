//! Digests of customers' API keys. The keys themselves are never stored, logged or forwarded.

use {
    derive_more::{Display, Error},
    sha2::{Digest as _, Sha256},
    std::{
        fmt::{self, Debug, Display, Formatter},
        str::FromStr,
    },
    subtle::ConstantTimeEq,
};

/// Prefix of a digest's text form, before 64 hexadecimal digits.
const PREFIX: &str = "sha256:";

/// The SHA-256 digest of a key, compared in constant time and hidden in debug output.
#[derive(Clone, Copy, PartialOrd, Ord, Eq)]
pub struct Digest([u8; 32]);

impl Digest {
    /// The digest of a key in the form that callers present.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl PartialEq for Digest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Debug for Digest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

impl Display for Digest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(PREFIX)?;
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The error for a text that is not a digest.
#[derive(Debug, Display, Error)]
#[display("not a key digest: give what `greengagecleat key digest` prints")]
pub struct ParseDigestError;

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, ParseDigestError> {
        let hex = text.strip_prefix(PREFIX).ok_or(ParseDigestError)?;
        if hex.len() != 64 || !hex.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseDigestError);
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&hex[2 * index..2 * index + 2], 16)
                .map_err(|_| ParseDigestError)?;
        }
        Ok(Self(bytes))
    }
}
