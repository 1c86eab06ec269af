//! The signals that a running process handles.

use {
    crate::log::ignore_file_size_signal,
    std::io,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    /// Drain, then stop: SIGTERM or SIGINT.
    Terminate,
    /// Look for changed settings: SIGHUP.
    Reload,
}

/// The signal handlers of the process. Without them each of these signals ends it. They stay
/// installed when the value is dropped.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers, also that of [`ignore_file_size_signal`]. Must be called within a runtime.
    pub fn install() -> io::Result<Self> {
        ignore_file_size_signal()?;
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal. A call that is dropped loses none.
    pub async fn next(&mut self) -> Notice {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => Notice::Terminate,
            _ = self.interrupt.recv() => Notice::Terminate,
            _ = self.hangup.recv() => Notice::Reload,
        }
    }
}
