//! The library's error type. Each error says which step failed, and with which peer or setting.

use {
    derive_more::{Display, Error},
    std::io,
};

/// A failed step, such as reading a setting or connecting to a peer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A setting is missing or its value is invalid.
    #[display("setting {setting} from {origin}: {reason}")]
    Setting {
        /// The command-line flag of the setting.
        setting: &'static str,
        /// The flag or environment variable that the value came from.
        origin: &'static str,
        /// What is wrong and which values are valid.
        reason: String,
    },
    /// An operation on a socket or a file failed.
    #[display("{step} with {peer}: {source}")]
    Io {
        /// The step that failed, such as "connecting to a peer".
        step: &'static str,
        /// The address or path that it was applied to.
        peer: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A peer, an upstream or the platform sent something invalid.
    #[display("{step} with {peer}: {reason}")]
    Protocol {
        /// The step that failed, such as "connecting to a peer".
        step: &'static str,
        /// The address or name of the other side.
        peer: String,
        /// Why it is invalid.
        reason: String,
    },
    /// A long-lived task has ended that the host can't go on without.
    #[display("task {task} has ended by itself")]
    Ended {
        /// Name of the task.
        task: &'static str,
    },
    /// A step exceeded its time limit.
    #[display("{step} with {peer}: timed out")]
    Timeout {
        /// The step that failed, such as "connecting to a peer".
        step: &'static str,
        /// The address or name of the other side.
        peer: String,
    },
}

/// A result with the library's [`enum@Error`] as the default error type.
pub type Result<T, E = Error> = std::result::Result<T, E>;
