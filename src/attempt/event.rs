//! Events and actions of an exchange.

use {
    super::{outcome::Code, plan::Id},
    crate::failure::Ran,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What happened to an exchange. Attempts are numbered from zero.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The request was admitted.
    Started,
    /// No upstream can be chosen for an attempt.
    Unavailable {
        /// The attempt.
        attempt: u32,
        /// When one may be available again.
        retry_after: Option<Duration>,
    },
    /// No connection could be made; no byte of the request left, whatever was about to.
    Unreachable {
        /// The attempt.
        attempt: u32,
    },
    /// The first byte that could start the work is about to leave. It must not, if the answer
    /// is [`Action::Cancel`] of this attempt.
    Sending {
        /// The attempt.
        attempt: u32,
    },
    /// The answer's status and headers.
    Head {
        /// The attempt.
        attempt: u32,
        /// HTTP status.
        status: u16,
        /// The id that the answer repeats.
        id: Option<Id>,
        /// What the far side says of the work, if it refuses.
        ran: Option<Ran>,
        /// When the far side may accept it.
        retry_after: Option<Duration>,
    },
    /// A whole part of the answer: for model streams `tokens` whole tokens, else bytes. With none,
    /// something came that is not relayed yet.
    Chunk {
        /// The attempt.
        attempt: u32,
        /// How many.
        tokens: u64,
    },
    /// The answer ended as its protocol ends it.
    End {
        /// The attempt.
        attempt: u32,
    },
    /// The connection broke or ended before the answer's end.
    Broken {
        /// The attempt.
        attempt: u32,
    },
    /// Time passed; due at [`Exchange::wake`](super::Exchange::wake).
    Tick,
    /// The caller closed its connection.
    CallerDisconnected,
    /// The caller's key was withdrawn.
    KeyWithdrawn,
}

/// Why an answer was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// It repeats another exchange's id or none.
    WrongId,
    /// Its attempt had been given up.
    Late,
}

/// What to do for an exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Choose an upstream not yet tried and send the request.
    Send {
        /// The attempt.
        attempt: u32,
        /// How many tokens the engine skips.
        offset: u64,
    },
    /// Relay the status and headers of an attempt's answer.
    RelayHead {
        /// The attempt.
        attempt: u32,
    },
    /// Relay the part that just arrived.
    Relay {
        /// The attempt.
        attempt: u32,
        /// Tokens or bytes in it.
        tokens: u64,
    },
    /// End the answer to the caller as whole.
    Finish,
    /// End the exchange with an explicit error, at once.
    Fail {
        /// Why.
        code: Code,
        /// Whether the work ran.
        ran: Ran,
        /// When the caller may come back.
        retry_after: Option<Duration>,
        /// Whether the answer had begun, so that the error must be its last part.
        head_relayed: bool,
    },
    /// Cancel an attempt.
    Cancel {
        /// The attempt.
        attempt: u32,
    },
    /// Abandon the whole connection of an attempt and all that it carries.
    CloseConnection {
        /// The attempt.
        attempt: u32,
    },
    /// Drop an answer and count it.
    Drop {
        /// The attempt.
        attempt: u32,
        /// Why.
        reason: Reason,
    },
}
