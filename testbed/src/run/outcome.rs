//! What came of one request.

use {
    crate::workload::Kind,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What came of one request, as its caller saw it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Outcome {
    /// The item's number.
    pub number: u64,
    /// When it was due, from the run's start.
    pub at: Duration,
    /// What it asked for.
    pub kind: Kind,
    /// Number of the customer.
    pub customer: usize,
    /// How it ended.
    pub status: Status,
    /// The stable code of a refusal or failure, or what broke.
    pub code: String,
    /// Whether the work ran, as the answer says.
    pub ran: Option<String>,
    /// Time from when it was due to the first token or, if not streamed, the answer's head.
    pub first: Option<Duration>,
    /// Time from when it was due to the end of the answer.
    pub whole: Duration,
    /// Hosts that the caller tried.
    pub tries: u32,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// With the whole answer to it.
    Whole,
    /// With an error that says that it did not run.
    Refused,
    /// With any other error that the caller can see.
    Failed,
    /// With an answer that looks whole and isn't the answer to it.
    Wrong,
}
