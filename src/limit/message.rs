//! Messages between hosts about loans of capacity and leases of pools.

use {
    crate::name,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Identifier of an ask or a poll, unique among all runs of all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// Incarnation of the process that sent it.
    pub incarnation: u64,
    /// Raised with each identifier of the run.
    pub sequence: u64,
}

/// A message between two hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for new loans, and to renew earlier ones.
    Ask(Ask),
    /// Answers an ask, with or without a loan.
    Grant(Grant),
    /// Returns a loan, or part of it, before its end.
    Return(Return),
    /// Asks a borrower to return what it does not need.
    Recall(Recall),
    /// Asks for a vote for the lease of the region's pool.
    Poll(Poll),
    /// Answers a poll with a vote.
    Vote(Vote),
}

/// Asks one host for loans of several customers' capacity, and to renew earlier loans.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Identifies the ask, and the loan that it leads to.
    pub id: Id,
    /// Identifiers of earlier loans that the sender wants renewed.
    pub renew: Vec<Id>,
    /// Capacity that is wanted as a new loan.
    pub wants: Vec<Want>,
}

/// Capacity wanted for one customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// Customer that the capacity is for.
    pub customer: name::Customer,
    /// Refill rate, in tokens per second.
    pub rate: f64,
    /// Depth of the bucket, in tokens.
    pub depth: f64,
}

/// Answers an ask, with or without a loan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Identifier of the ask that this answers, and of the new loan.
    pub id: Id,
    /// Term of the loans on the borrower's clock, counted from when it sent the ask.
    pub term: Duration,
    /// Earlier loans that are renewed for the term.
    pub renewed: Vec<Id>,
    /// Capacity of the new loan; empty when nothing is lent.
    pub items: Vec<Item>,
    /// Customers of the loans to renew whose capacity other hosts need.
    pub scarce: Vec<name::Customer>,
    /// Holder of the lease of the lender's region, if the lender knows it.
    pub holder: Option<name::Host>,
}

/// Capacity of one customer that moves from one host to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Customer that the capacity is for.
    pub customer: name::Customer,
    /// Refill rate, in tokens per second.
    pub rate: f64,
    /// Depth of the bucket, in tokens.
    pub depth: f64,
    /// Tokens that move with it, at most `depth`.
    pub tokens: f64,
}

/// Returns a loan, or part of it, before its end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Return {
    /// Identifier of the loan, that of the ask which led to it.
    pub id: Id,
    /// Raised with each return of the borrower, so that the lender ignores duplicates.
    pub sequence: u64,
    /// Capacity and tokens that are returned, by customer.
    pub items: Vec<Item>,
}

/// Asks a borrower to return what it does not need, since other hosts need it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Recall {
    /// Customers whose capacity is needed.
    pub customers: Vec<name::Customer>,
}

/// Asks for a vote for the lease of the region's pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Poll {
    /// Identifies the poll, uniquely among the polls of all hosts.
    pub id: Id,
}

/// A vote in a poll. The voter votes for no other process for the term of a lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Vote {
    /// Identifier of the poll that the vote is for.
    pub id: Id,
}
