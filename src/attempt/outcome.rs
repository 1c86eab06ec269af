//! What a caller is told of a failed exchange.

use serde::{Deserialize, Serialize};

/// Whether the work of a failed exchange ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte that could start it has left, or the far side refused before running it.
    No,
    /// At least in part.
    Yes,
    /// It can't be known.
    Unknown,
}

impl Ran {
    /// The value as error answers carry it.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        }
    }
}

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

impl Code {
    /// The code as error answers carry it.
    pub fn as_str(self) -> &'static str {
        match self {
            Code::DeadlineExceeded => "deadline_exceeded",
            Code::NoUpstream => "no_upstream",
            Code::UpstreamUnreachable => "upstream_unreachable",
            Code::UpstreamBroken => "upstream_broken",
            Code::UpstreamSilent => "upstream_silent",
            Code::UpstreamFailed => "upstream_failed",
            Code::UpstreamRefused => "upstream_refused",
            Code::AnswerCrossed => "answer_crossed",
            Code::KeyWithdrawn => "key_withdrawn",
        }
    }
}
