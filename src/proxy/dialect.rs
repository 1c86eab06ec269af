//! The interface to a platform's HTTP headers. An adapter parses requests and answers into these
//! types and writes the headers that upstreams expect.

use {
    super::{load::Reading, throttle::Notice},
    crate::{failure::Failure, name},
    http::{HeaderMap, request},
    std::{sync::Arc, time::Duration},
};

/// Fields that a dialect parses from the head of a request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Metadata {
    /// The caller's id of this attempt; an answer that names another id is rejected.
    pub id: Option<Arc<str>>,
    /// The caller's API key; never passed on.
    pub key: Option<Vec<u8>>,
    /// How long the caller waits, counted from the arrival of the head.
    pub timeout: Option<Duration>,
    /// Prompt tokens and the maximum of output tokens.
    pub tokens: Option<(u32, u32)>,
    /// Parts of the prompt in order; the last one is specific to this request.
    pub prompt_parts: Vec<Part>,
    /// The last event that the caller has received; the answer continues after it.
    pub resume_after: Option<u64>,
    /// Id of the attempt that brought the first event of the stream that is resumed.
    pub resumes: Option<Arc<str>>,
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Identifies the content of the part.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// What the headers of a request to an upstream must say.
#[derive(Debug, Clone)]
pub struct Instructions<'a> {
    /// The upstream that the request is meant for.
    pub upstream: &'a name::Upstream,
    /// The customer that sent the request; `None` if it came without a known key.
    pub customer: Option<&'a name::Customer>,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Priority, 0 the most urgent.
    pub priority: u8,
    /// Whether the upstream orders its queue by priority.
    pub has_priority_queue: bool,
    /// The last event that was delivered; the upstream continues the stream after it.
    pub resume_after: Option<u64>,
}

/// A field of an answer that may be missing or not readable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Field<T> {
    /// The answer doesn't have it.
    #[default]
    Absent,
    /// The answer states this value.
    Value(T),
    /// The answer has something that can't be read.
    Malformed,
}

/// Fields that a dialect parses from the head of an upstream's answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reply {
    /// Id of the request that this answers, if the upstream sent one.
    pub id: Option<Arc<str>>,
    /// Whether the upstream guarantees that it did not execute the request.
    pub has_not_run: bool,
    /// Whether callers take its status for the promise that the request has not run and won't.
    pub is_refusal: bool,
    /// Whether the address now belongs to another upstream.
    pub is_misdirected: bool,
    /// Whether the answer carries the upstream's signature. A successful answer without one is not
    /// passed on.
    pub is_signed: bool,
    /// The limit that the upstream names for the requests of all hosts.
    pub limit: Notice,
    /// Whether the upstream says that it is leaving.
    pub leaving: Field<bool>,
    /// How long the upstream, which has turned the request away, wants no other from this host.
    pub rest: Field<Duration>,
    /// The load that the upstream reports of itself.
    pub load: Field<Reading>,
}

/// Translates between a platform's headers and the gateway's types.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Parses the head of a caller's request.
    fn parse_request(&self, head: &request::Parts) -> Metadata;

    /// Removes the caller's API key from the headers.
    fn remove_key(&self, headers: &mut HeaderMap);

    /// Adds the header that asks for a stream to continue after an event.
    fn set_resume(&self, headers: &mut HeaderMap, after: u64);

    /// Rewrites a caller's headers into those that the upstream gets.
    fn apply_instructions(&self, headers: &mut HeaderMap, instructions: &Instructions<'_>);

    /// Parses the head of an upstream's answer.
    fn parse_reply(&self, status: u16, headers: &HeaderMap) -> Reply;

    /// The HTTP status under which a caller sees a failure.
    fn status(&self, failure: &Failure) -> u16;
}
