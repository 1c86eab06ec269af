//! Loans, as the borrower and the lender remember them.

use {
    super::{account::Share, message::Item},
    crate::name,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A loan that runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The other host.
    pub peer: name::Host,
    /// When it ends on this host's clock: for the borrower when it stops to use it, for the
    /// lender when it has it back.
    pub ends_at: Duration,
    /// The last return that the lender took in.
    pub last_return: u64,
    /// What it holds.
    pub items: Vec<Item>,
}

impl Item {
    /// The capacity without its tokens.
    pub fn share(&self) -> Share {
        Share {
            rate: self.rate,
            depth: self.depth,
        }
    }

    /// The item without `part`.
    pub(super) fn without(self, part: Share) -> Self {
        let rest = self.share().minus(part);
        Self {
            rate: rest.rate,
            depth: rest.depth,
            ..self
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.rate <= 0.0 && self.depth <= 0.0
    }
}
