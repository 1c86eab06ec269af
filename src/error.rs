//! What goes wrong in the library, with the step and the peer at which it arose.

use {
    derive_more::{Display, Error},
    std::io,
};

/// A failed step.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A setting is missing or has no valid value.
    #[display("setting {setting} from {origin}: {reason}")]
    Setting {
        /// The setting's flag.
        setting: &'static str,
        /// The flag or the environment variable that gave the value.
        origin: &'static str,
        /// What is wrong and what to give.
        reason: String,
    },
    /// A socket or a file failed.
    #[display("{step} with {peer}: {source}")]
    Io {
        /// What was being done.
        step: &'static str,
        /// The address or the path.
        peer: String,
        /// The system's error.
        source: io::Error,
    },
    /// A peer, an upstream or the platform said something that can't be used.
    #[display("{step} with {peer}: {reason}")]
    Protocol {
        /// What was being done.
        step: &'static str,
        /// The address or the name.
        peer: String,
        /// What was wrong.
        reason: String,
    },
    /// A step took longer than it may.
    #[display("{step} with {peer}: timed out")]
    Timeout {
        /// What was being done.
        step: &'static str,
        /// The address or the name.
        peer: String,
    },
}

/// The library's result.
pub type Result<T, E = Error> = std::result::Result<T, E>;
