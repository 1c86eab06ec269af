//! Failures of calls as callers see them: a stable code, a message, whether the work ran and when
//! to retry.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Whether the work of a failed call ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not run: no byte that could start it was sent.
    #[display("no")]
    No,
    /// It ran.
    #[display("yes")]
    Yes,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}

/// A stable error code, which callers can match on.
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
    /// The complete body did not arrive in time.
    #[display("body_incomplete")]
    BodyIncomplete,
    /// The key is missing or unknown.
    #[display("key_unknown")]
    KeyUnknown,
    /// The key was withdrawn while the work ran.
    #[display("key_withdrawn")]
    KeyWithdrawn,
    /// The customer may not use this route.
    #[display("route_forbidden")]
    RouteForbidden,
    /// No route is configured for this model or path.
    #[display("route_unknown")]
    RouteUnknown,
    /// The customer's residency excludes every pool of the route.
    #[display("residency")]
    Residency,
    /// The call would visit a host or region again.
    #[display("loop_refused")]
    LoopRefused,
    /// The customer's rate and burst are used up.
    #[display("rate_limited")]
    RateLimited,
    /// The request is larger than the customer's burst and can never be admitted.
    #[display("over_burst")]
    OverBurst,
    /// No upstream has capacity for the call now.
    #[display("no_capacity")]
    NoCapacity,
    /// The prompt has a part that crashes upstreams.
    #[display("prompt_withheld")]
    PromptWithheld,
    /// The request itself crashes upstreams.
    #[display("request_withheld")]
    RequestWithheld,
    /// The deadline can't be met, or has passed.
    #[display("deadline")]
    Deadline,
    /// The upstream or a peer could not be reached.
    #[display("unreachable")]
    Unreachable,
    /// The upstream ended its answer early, stalled, or sent an invalid answer.
    #[display("upstream_failed")]
    UpstreamFailed,
    /// The idempotency key was, or may have been, used before.
    #[display("duplicate")]
    Duplicate,
    /// The host has no configuration yet, or is shutting down.
    #[display("not_ready")]
    NotReady,
}

impl Code {
    /// The HTTP status of an answer with this code.
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
            Self::NoCapacity | Self::NotReady | Self::PromptWithheld | Self::RequestWithheld => 503,
            Self::Deadline => 504,
            Self::LoopRefused => 508,
        }
    }
}

/// The failure of a call, as sent to its caller or to the host that forwarded it.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{code}: {message}")]
pub struct Failure {
    /// The code that callers match on.
    pub code: Code,
    /// Human-readable text: what happened and what to do about it.
    pub message: String,
    /// Whether the work ran.
    pub ran: Ran,
    /// How long to wait before a retry; absent if waiting does not help.
    pub retry_after: Option<Duration>,
}

impl std::error::Error for Failure {}

impl Failure {
    /// A failure of a call whose work has not started.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self::new(code, Ran::No, message)
    }

    /// A failure of a call whose work ran as `ran` says.
    pub fn new(code: Code, ran: Ran, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            ran,
            retry_after: None,
        }
    }

    /// Sets how long the caller should wait before a retry.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// The JSON body for callers: `code` and `ran` at the top level, and the error object that
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
