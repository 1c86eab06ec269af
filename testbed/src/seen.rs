//! What a stand-in saw of its requests, for tests.

use {
    hyper::http::request::Parts,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Mutex,
    },
};

/// Requests kept; older ones are forgotten.
const MAX_REQUESTS: usize = 4096;

/// Bytes of a body that are kept.
const MAX_BODY_BYTES: usize = 4096;

/// What every key of the demo's callers begins with.
pub const KEY_PREFIX: &str = "demo-key-of-";

/// One request as it came.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Its method.
    pub method: String,
    /// Its path and query.
    pub target: String,
    /// Its headers.
    pub headers: BTreeMap<String, String>,
    /// The first part of its body.
    pub body: String,
}

impl Seen {
    /// Whether a key of the demo's callers is anywhere in the request.
    pub fn holds_key(&self) -> bool {
        let found = |text: &String| text.contains(KEY_PREFIX);
        found(&self.target) || found(&self.body) || self.headers.values().any(found)
    }
}

/// The last requests that a stand-in saw.
#[derive(Debug, Default)]
pub struct Journal(Mutex<VecDeque<Seen>>);

impl Journal {
    /// Notes a request.
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

    /// The requests kept, oldest first.
    pub fn all(&self) -> Vec<Seen> {
        self.0.lock().unwrap().iter().cloned().collect()
    }
}
