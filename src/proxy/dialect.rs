//! How requests and answers are spoken: an adapter translates its platform's headers into these
//! types, and back.

use {
    crate::{failure::Failure, name},
    http::{HeaderMap, request},
    std::{sync::Arc, time::Duration},
};

/// What a request's head says besides method and target.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Metadata {
    /// Identifies this attempt of the caller.
    pub id: Option<Arc<str>>,
    /// The caller's key, never sent on.
    pub key: Option<Vec<u8>>,
    /// How long the caller waits, counted from when the head arrived.
    pub timeout: Option<Duration>,
    /// Prompt tokens and the most output tokens.
    pub tokens: Option<(u32, u32)>,
    /// The prompt's parts, in order; the last one is this request's own.
    pub prompt_parts: Vec<Part>,
    /// The caller has this event and all before it.
    pub resume_after: Option<u64>,
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Names its content.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What an upstream is told with a request.
#[derive(Debug, Clone)]
pub struct Instructions<'a> {
    /// The upstream that is meant.
    pub upstream: &'a name::Upstream,
    /// Whose request it is.
    pub customer: Option<&'a name::Customer>,
    /// How long an answer is of use.
    pub remaining: Duration,
    /// Rank, zero the most urgent.
    pub priority: u8,
    /// Whether the upstream orders its queue by rank.
    pub has_priority_queue: bool,
    /// Take the stream up after this event.
    pub resume_after: Option<u64>,
}

/// What the head of an upstream's answer says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reply {
    /// The request that it answers, if it names one.
    pub id: Option<Arc<str>>,
    /// The upstream promises that the request has not run.
    pub has_not_run: bool,
    /// The address belongs to another upstream now.
    pub is_misdirected: bool,
    /// Bears the upstream's signature, without which a success can't be passed on.
    pub is_signed: bool,
}

/// Translates between a platform's headers and the gateway's types.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads a request's head.
    fn parse_request(&self, head: &request::Parts) -> Metadata;

    /// Removes the caller's key from a request's headers.
    fn remove_key(&self, headers: &mut HeaderMap);

    /// Asks in a request's headers for a stream from after an event on.
    fn set_resume(&self, headers: &mut HeaderMap, after: u64);

    /// Turns a request's headers into those that the upstream gets.
    fn apply_instructions(&self, headers: &mut HeaderMap, instructions: &Instructions<'_>);

    /// Reads the head of an answer.
    fn parse_reply(&self, status: u16, headers: &HeaderMap) -> Reply;

    /// The status that tells a caller of a failure.
    fn status(&self, failure: &Failure) -> u16;
}
