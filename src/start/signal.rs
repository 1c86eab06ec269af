//! The signals that a running process handles.

use {
    crate::{
        clock::{Boot, Clock},
        log::ignore_file_size_signal,
        pace::Turns,
    },
    std::{io, time::Duration},
    tokio::{
        signal::unix::{Signal, SignalKind, signal},
        time::sleep,
    },
};

/// Least time between two notices to look for changed settings.
const RELOAD_INTERVAL: Duration = Duration::from_millis(200);

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
    clock: Boot,
    reloads: Turns,
}

impl Signals {
    /// Installs the handlers, also that of [`ignore_file_size_signal`]. Must be called within a runtime.
    pub fn install() -> io::Result<Self> {
        ignore_file_size_signal()?;
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            clock: Boot::new(),
            reloads: Turns::every(RELOAD_INTERVAL),
        })
    }

    /// Waits for the next signal. A SIGHUP soon after another one is told once [`RELOAD_INTERVAL`] is over,
    /// with those that follow it. A call that is dropped loses none.
    pub async fn next(&mut self) -> Notice {
        let wait = self.reloads.wait(self.clock.now());
        let reload = async {
            sleep(wait).await;
            self.hangup.recv().await;
        };
        tokio::select! {
            biased;
            _ = self.terminate.recv() => Notice::Terminate,
            _ = self.interrupt.recv() => Notice::Terminate,
            () = reload => {
                self.reloads.begin(self.clock.now());
                Notice::Reload
            }
        }
    }
}
