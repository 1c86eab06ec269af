//! Loans, as the borrower and the lender each store them.

use {
    super::{account::Share, message::Item},
    crate::name,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A loan that has not ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The other host: the lender at the borrower, the borrower at the lender.
    pub peer: name::Host,
    /// End of the loan on this host's clock, when the borrower stops using it, or when the lender
    /// takes it back.
    pub ends_at: Duration,
    /// Sequence number of the last return that the lender accepted; zero before the first.
    pub last_return: u64,
    /// Capacity of the loan, one item per customer.
    pub items: Vec<Item>,
}

impl Item {
    /// Rate and depth of the item.
    pub fn share(&self) -> Share {
        Share {
            rate: self.rate,
            depth: self.depth,
        }
    }

    /// The item with `part` subtracted from its rate and depth.
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
