//! The requests that a connection has carried. Within a connection an answer is matched by its id, which
//! tells nothing once two of its requests had the same.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Most requests that a connection carries. Bounds the memory that one takes.
const MAX_REQUESTS: usize = 256;

/// Identifies a request among those of a connection. Two requests may share one by chance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Key(u64);

impl Key {
    /// The key of the request with this id.
    pub(super) fn new(id: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// The requests that a connection has carried, as far as they had an id.
#[derive(Debug, Default)]
pub(super) struct Carried(Vec<Key>);

impl Carried {
    /// Whether the connection has carried a request with this key.
    pub(super) fn contains(&self, key: Key) -> bool {
        self.0.contains(&key)
    }

    /// Records a request.
    pub(super) fn insert(&mut self, key: Key) {
        self.0.push(key);
    }

    /// Whether the connection may carry no further request.
    pub(super) fn is_full(&self) -> bool {
        self.0.len() >= MAX_REQUESTS
    }
}
