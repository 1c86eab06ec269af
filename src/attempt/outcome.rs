//! The error codes of a failed exchange.

use serde::{Deserialize, Serialize};

/// Why an exchange failed. Callers rely on the serialized names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The deadline passed before the answer ended.
    DeadlineExceeded,
    /// No upstream was available for an attempt.
    NoUpstream,
    /// No connection to an upstream was established.
    UpstreamUnreachable,
    /// The connection closed before the answer was complete.
    UpstreamBroken,
    /// The upstream answered with a retryable status and no retry was possible.
    UpstreamFailed,
    /// The upstream rejected the request without running it.
    UpstreamRefused,
    /// The answer carried the id of another exchange, or none.
    AnswerCrossed,
    /// The caller's API key was withdrawn while the exchange ran.
    KeyWithdrawn,
}
