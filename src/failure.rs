//! Why a call got no answer, as its caller is told.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Whether the work of a failed call ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte that could start the work has left.
    #[display("no")]
    No,
    /// It ran.
    #[display("yes")]
    Yes,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}

/// A stable error code.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is not valid.
    #[display("bad_request")]
    BadRequest,
    /// The body is larger than the limit.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The body did not arrive whole in time.
    #[display("body_incomplete")]
    BodyIncomplete,
    /// No key, or one that is not known.
    #[display("key_unknown")]
    KeyUnknown,
    /// The key was withdrawn while the work ran.
    #[display("key_withdrawn")]
    KeyWithdrawn,
    /// The route is not for this customer.
    #[display("route_forbidden")]
    RouteForbidden,
    /// No route has this model or path.
    #[display("route_unknown")]
    RouteUnknown,
    /// Residency allows no pool of the route.
    #[display("residency")]
    Residency,
    /// The call would visit a host or region again.
    #[display("loop_refused")]
    LoopRefused,
    /// Over the customer's rate and burst.
    #[display("rate_limited")]
    RateLimited,
    /// Larger than the customer's burst: can never be admitted.
    #[display("over_burst")]
    OverBurst,
    /// No upstream is able to take it now.
    #[display("no_capacity")]
    NoCapacity,
    /// The deadline can't be met, or has passed.
    #[display("deadline")]
    Deadline,
    /// The upstream or a peer could not be reached.
    #[display("unreachable")]
    Unreachable,
    /// The upstream broke off, was silent, or answered what can't be used.
    #[display("upstream_failed")]
    UpstreamFailed,
    /// The idempotency key was used before, or may have been.
    #[display("duplicate")]
    Duplicate,
    /// The host has no configuration yet, or is shutting down.
    #[display("not_ready")]
    NotReady,
}

impl Code {
    /// The HTTP status that goes with it.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::KeyUnknown | Self::KeyWithdrawn => 401,
            Self::RouteForbidden | Self::Residency => 403,
            Self::RouteUnknown => 404,
            Self::BodyIncomplete => 408,
            Self::Duplicate => 409,
            Self::BodyTooLarge => 413,
            Self::OverBurst => 422,
            Self::RateLimited => 429,
            Self::UpstreamFailed | Self::Unreachable => 502,
            Self::NoCapacity | Self::NotReady => 503,
            Self::Deadline => 504,
            Self::LoopRefused => 508,
        }
    }
}

/// Why a call got no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{code}: {message}")]
pub struct Failure {
    /// Stable code.
    pub code: Code,
    /// For a person: what happened and what to do.
    pub message: String,
    /// Whether the work ran.
    pub ran: Ran,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
}

impl std::error::Error for Failure {}

impl Failure {
    /// A refusal of a call whose work has not begun.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self::new(code, Ran::No, message)
    }

    /// A failure with what is known of the work.
    pub fn new(code: Code, ran: Ran, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            ran,
            retry_after: None,
        }
    }

    /// Tells the caller when to come back.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// The JSON that callers read: `code` and `ran` at the top, and the error object that
    /// OpenAI-compatible clients expect.
    pub fn json(&self, request: &str) -> serde_json::Value {
        serde_json::json!({
            "code": self.code,
            "ran": self.ran,
            "request_id": request,
            "retry_after_ms": self.retry_after.map(|wait| wait.as_millis() as u64),
            "error": { "message": self.message, "type": "gateway_error", "code": self.code },
        })
    }
}
