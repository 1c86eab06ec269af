//! What a caller is told of a failed exchange.

use serde::{Deserialize, Serialize};

/// Why an exchange failed; stable for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The deadline passed.
    DeadlineExceeded,
    /// No upstream could be chosen.
    NoUpstream,
    /// No connection to an upstream could be made.
    UpstreamUnreachable,
    /// The connection broke before the answer was whole.
    UpstreamBroken,
    /// The upstream made no progress.
    UpstreamSilent,
    /// The upstream answered with an error that is not for the caller.
    UpstreamFailed,
    /// The upstream refused before running the work.
    UpstreamRefused,
    /// The upstream answered another exchange.
    AnswerCrossed,
    /// The caller's key was withdrawn.
    KeyWithdrawn,
}
