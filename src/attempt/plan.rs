//! What is known of an exchange before it starts.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// The id of an exchange, which every answer must repeat.
#[derive(Debug, Clone, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(Arc<str>);

impl Id {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Id {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

/// How work may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Work {
    /// May run at most once.
    Once,
    /// May repeat until its answer has begun to be relayed.
    Idempotent,
    /// A model call: may repeat until its first token has been relayed.
    Model {
        /// Whether the pool's engines resume a stream at an offset.
        resume: bool,
    },
}

/// A deliberate fault, by which tests show that they would notice one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mutant {
    /// Correct behaviour.
    #[default]
    None,
    /// Repeats work that may not repeat.
    RepeatOnce,
    /// Resumes a stream at its beginning.
    ResumeAtStart,
    /// Takes a broken stream for an ended one.
    BreakIsEnd,
    /// Takes an answer whatever id it repeats.
    AnyId,
    /// Calls sent work not run.
    RanNo,
}

/// What is known of an exchange before it starts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The exchange's id.
    pub id: Id,
    /// How its work may be repeated.
    pub work: Work,
    /// When its answer must have ended.
    pub deadline: Duration,
    /// Longest time to make a connection and send the request.
    pub connect_timeout: Duration,
    /// Longest time from the sent request to the answer's first byte.
    pub first_byte_timeout: Duration,
    /// Longest time between two parts of an answer.
    pub idle_timeout: Duration,
    /// When a second attempt is sent beside one that has not answered; for repeatable work only.
    pub hedge_after: Option<Duration>,
    /// Most attempts.
    pub max_attempts: u32,
    /// Seed of the backoff's jitter.
    pub seed: u64,
    /// Test switch.
    #[serde(default)]
    pub mutant: Mutant,
}
