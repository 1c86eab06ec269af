//! What hosts say to each other about capacity.

use {
    crate::name,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Names one request of one run of a process, for ever.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// The run of the process.
    pub incarnation: u64,
    /// Grows with each request of the run.
    pub sequence: u64,
}

/// A message between two hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a loan.
    Ask(Ask),
    /// Answers an ask.
    Grant(Grant),
    /// Gives a loan back before its end.
    Return(Return),
    /// Asks borrowers for what they don't need.
    Recall(Recall),
    /// Asks for a vote for the lease of the region's pool.
    Poll(Poll),
    /// Votes.
    Vote(Vote),
}

/// Asks one host for loans of several customers' capacity, and to renew earlier loans.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Names the ask, and the loan that follows.
    pub id: Id,
    /// Earlier loans to renew.
    pub renew: Vec<Id>,
    /// What else is wanted.
    pub wants: Vec<Want>,
}

/// Capacity of one customer that is wanted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// Whose capacity.
    pub customer: name::Customer,
    /// Tokens a second.
    pub rate: f64,
    /// Depth of bucket, in tokens.
    pub depth: f64,
}

/// Answers an ask.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The ask.
    pub id: Id,
    /// How long the loans hold, on the borrower's clock, from when it asked.
    pub term: Duration,
    /// The loans that are renewed.
    pub renewed: Vec<Id>,
    /// What the new loan holds; empty when nothing is lent.
    pub items: Vec<Item>,
    /// Customers of whose capacity others want more from the lender than it has.
    pub scarce: Vec<name::Customer>,
    /// Who holds the lease of the lender's region, as far as the lender knows.
    pub holder: Option<name::Host>,
}

/// Capacity of one customer that changes hands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Whose capacity.
    pub customer: name::Customer,
    /// Tokens a second.
    pub rate: f64,
    /// Depth of bucket, in tokens.
    pub depth: f64,
    /// Tokens that come with it, at most its depth.
    pub tokens: f64,
}

/// Gives a loan, or a part of it, back before its end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Return {
    /// The loan.
    pub id: Id,
    /// Grows with each return of the borrower, so that none counts twice.
    pub sequence: u64,
    /// What comes back.
    pub items: Vec<Item>,
}

/// Asks a borrower to return what it doesn't need, as others wait for it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Recall {
    /// Whose capacity.
    pub customers: Vec<name::Customer>,
}

/// Asks for a vote.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Poll {
    /// Names the poll.
    pub id: Id,
}

/// A vote: for the term of a lease the voter votes for no other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Vote {
    /// The poll.
    pub id: Id,
}
