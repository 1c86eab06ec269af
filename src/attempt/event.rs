//! Inputs and outputs of the [`Exchange`](super::Exchange) machine.

use {
    super::{outcome::Code, plan::Id},
    crate::failure::Ran,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// An input of an exchange, reported by the gateway. Attempts are numbered from zero.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The request was admitted and the first attempt may be sent.
    Started,
    /// No upstream is available for an attempt.
    Unavailable {
        /// Number of the attempt, as given by [`Action::Send`].
        attempt: u32,
        /// Time after which one may be available, if known.
        retry_after: Option<Duration>,
    },
    /// No connection was established, so no byte of the request was sent, even after
    /// [`Sending`](Self::Sending).
    Unreachable {
        /// Number of the attempt, as given by [`Action::Send`].
        attempt: u32,
    },
    /// The first byte that could start the work is about to be sent. It must not be sent if the
    /// machine replies with [`Action::Cancel`] for this attempt.
    Sending {
        /// Number of the attempt, as given by [`Action::Send`].
        attempt: u32,
    },
    /// The status and headers of the answer arrived.
    Head {
        /// Number of the attempt, as given by [`Action::Send`].
        attempt: u32,
        /// HTTP status of the answer.
        status: u16,
        /// The exchange id that the answer carries.
        id: Option<Id>,
        /// Whether the work ran, as stated by an upstream that refuses it.
        ran: Option<Ran>,
        /// Time after which the upstream may accept the work.
        retry_after: Option<Duration>,
    },
    /// A part of the answer arrived. Attempts made beside a silent one are cancelled. Zero `tokens`
    /// reset the idle timeout and relay nothing.
    Chunk {
        /// Number of the attempt, as given by [`Action::Send`].
        attempt: u32,
        /// Tokens of a model stream; bytes of any other answer.
        tokens: u64,
    },
    /// The answer is complete: its protocol's end marker arrived.
    End {
        /// Number of the attempt, as given by [`Action::Send`].
        attempt: u32,
    },
    /// The connection failed or closed before the end of the answer.
    Broken {
        /// Number of the attempt, as given by [`Action::Send`].
        attempt: u32,
    },
    /// A timer expired; due at [`Exchange::wake`](super::Exchange::wake).
    Tick,
    /// The caller closed its connection.
    CallerDisconnected,
    /// The caller's API key was withdrawn.
    KeyWithdrawn,
}

/// Why an answer was discarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// It carries the id of another exchange, or none.
    WrongId,
    /// Its attempt was cancelled or already ended.
    Late,
}

/// An output of an exchange, carried out by the gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Choose an upstream not yet tried and send the request.
    Send {
        /// Number of the attempt, counted from zero within the exchange.
        attempt: u32,
        /// Tokens that the engine skips, since the caller has them already.
        offset: u64,
    },
    /// Relay the status and headers of an attempt's answer to the caller.
    RelayHead {
        /// Number of the attempt, as given by [`Send`](Self::Send).
        attempt: u32,
    },
    /// Relay the part of the answer that just arrived.
    Relay {
        /// Number of the attempt, as given by [`Send`](Self::Send).
        attempt: u32,
        /// Tokens of a model stream; bytes of any other answer.
        tokens: u64,
    },
    /// End the answer to the caller as complete.
    Finish,
    /// End the exchange with an explicit error.
    Fail {
        /// The error code for the caller.
        code: Code,
        /// What the caller may assume about whether the work ran.
        ran: Ran,
        /// Delay after which the caller may retry; `None` if it must not.
        retry_after: Option<Duration>,
        /// Whether the caller already has the head, so that the error must be the last part of the
        /// answer.
        head_relayed: bool,
    },
    /// Cancel the request of an attempt.
    Cancel {
        /// Number of the attempt, as given by [`Send`](Self::Send).
        attempt: u32,
    },
    /// Close the connection of an attempt, with every other request on it.
    CloseConnection {
        /// Number of the attempt, as given by [`Send`](Self::Send).
        attempt: u32,
    },
    /// Discard an answer and count it in the metrics.
    Drop {
        /// Number of the attempt, as given by [`Send`](Self::Send).
        attempt: u32,
        /// Why the answer was discarded.
        reason: Reason,
    },
}
