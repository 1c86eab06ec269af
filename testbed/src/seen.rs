//! Records the requests that a stand-in received, so that tests can check what reached an upstream.

use {
    hyper::http::request::Parts,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Mutex,
    },
};

/// Number of requests kept; older ones are dropped.
const MAX_REQUESTS: usize = 4096;

/// Number of bytes kept of each body.
const MAX_BODY_BYTES: usize = 4096;

/// Prefix of every API key of the demo's callers, by which leaked keys are found.
pub const KEY_PREFIX: &str = "demo-key-of-";

/// A received request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers; of a repeated name only the last value.
    pub headers: BTreeMap<String, String>,
    /// The first 4096 bytes of the body.
    pub body: String,
}

impl Seen {
    /// Whether a key of the demo's callers is in the target, the recorded body or a header.
    pub fn holds_key(&self) -> bool {
        let found = |text: &String| text.contains(KEY_PREFIX);
        found(&self.target) || found(&self.body) || self.headers.values().any(found)
    }
}

/// The most recent requests that a stand-in received.
#[derive(Debug, Default)]
pub struct Journal(Mutex<VecDeque<Seen>>);

impl Journal {
    /// Records a request.
    pub fn record(&self, parts: &Parts, body: &[u8]) {
        let text = |value: &hyper::header::HeaderValue| {
            String::from_utf8_lossy(value.as_bytes()).into_owned()
        };
        let seen = Seen {
            method: parts.method.to_string(),
            target: parts.uri.to_string(),
            headers: parts
                .headers
                .iter()
                .map(|(name, value)| (name.to_string(), text(value)))
                .collect(),
            body: String::from_utf8_lossy(&body[..body.len().min(MAX_BODY_BYTES)]).into_owned(),
        };
        let mut kept = self.0.lock().unwrap();
        if kept.len() == MAX_REQUESTS {
            kept.pop_front();
        }
        kept.push_back(seen);
    }

    /// The recorded requests, oldest first.
    pub fn all(&self) -> Vec<Seen> {
        self.0.lock().unwrap().iter().cloned().collect()
    }
}
