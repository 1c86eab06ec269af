//! The outcome of one request.

use {
    crate::workload::Kind,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The outcome of one request as its caller saw it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Outcome {
    /// Number of the item that was sent.
    pub number: u64,
    /// When the request was due, from the run's start.
    pub at: Duration,
    /// Kind of the request.
    pub kind: Kind,
    /// Index of the customer.
    pub customer: usize,
    /// How the request ended.
    pub status: Status,
    /// The gateway's code of a refusal or failure, or the caller's word for what broke; empty for a
    /// whole answer.
    pub code: String,
    /// The `ran` field of an error; absent when there was none.
    pub ran: Option<String>,
    /// Time from when it was due to the first token, or to the head of an answer that is not
    /// streamed.
    pub first: Option<Duration>,
    /// Time from when it was due to the end of the last try.
    pub whole: Duration,
    /// Number of tries.
    pub tries: u32,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// With the complete, correct answer.
    Whole,
    /// With an error that says that the request did not run.
    Refused,
    /// With any other error that the caller can detect.
    Failed,
    /// With an answer that looks complete but is not the answer to this request.
    Wrong,
}
