//! The parameters of an exchange: its id, retry policy and timeouts.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Identifies an exchange. Every answer must carry the same id.
#[derive(Debug, Clone, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(Arc<str>);

impl Id {
    /// The id as sent in the request header.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Id {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

/// When the work of an exchange may run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Work {
    /// Runs at most once.
    Once,
    /// May run again until the answer's head has been relayed.
    Idempotent,
    /// A model call: may run again until its first token has been relayed, and later only from the
    /// next token on.
    Model {
        /// Whether the pool's engines can resume a stream at a token offset.
        resume: bool,
    },
}

/// A deliberate fault, which proves that a test can fail.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mutant {
    /// Correct behaviour.
    #[default]
    None,
    /// Repeats work that may run only once.
    RepeatOnce,
    /// Resumes a stream at offset zero instead of after the relayed tokens.
    ResumeAtStart,
    /// Treats a broken stream as a complete one.
    BreakIsEnd,
    /// Accepts an answer whatever id it carries.
    AnyId,
    /// Reports work as not run although it was sent.
    RanNo,
    /// Closes an attempt once it is silent.
    SilenceIsEnd,
}

/// The parameters of an exchange. Times are on the clock that drives its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Id that every answer must carry.
    pub id: Id,
    /// When the work may run again.
    pub work: Work,
    /// Time by which the answer must have ended.
    pub deadline: Duration,
    /// Longest time to connect and to send the request.
    pub connect_timeout: Duration,
    /// Time from sending the request to the head of the answer after which another attempt is made
    /// beside the silent one.
    pub first_byte_timeout: Duration,
    /// Time between two chunks of an answer after which another attempt is made beside the silent
    /// one.
    pub idle_timeout: Duration,
    /// Delay after which a second attempt is sent in parallel if the first has not answered. `None`
    /// disables hedging; work that runs once is never hedged.
    pub hedge_after: Option<Duration>,
    /// Most attempts, the first and hedged ones included.
    pub max_attempts: u32,
    /// Seed of the backoff jitter.
    pub seed: u64,
    /// Deliberate fault; [`Mutant::None`] outside tests.
    #[serde(default)]
    pub mutant: Mutant,
}
