//! Command line of the testbed: parses the arguments, sets up logging to stderr and runs one
//! command until it ends or a signal arrives.

mod command;

use {
    std::{io, process::ExitCode},
    tokio::signal::{
        ctrl_c,
        unix::{SignalKind, signal},
    },
};

/// Exit status after SIGINT or SIGTERM.
const SIGNAL_STATUS: u8 = 130;

#[tokio::main]
async fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    let ended = tokio::select! {
        ended = command::run(argh::from_env()) => ended,
        wait_for_signal = wait_for_signal() => wait_for_signal,
    };
    match ended {
        Ok(code) => code,
        Err(error) => {
            eprintln!("testbed: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Waits for SIGINT or SIGTERM. Dropping the running command then stops the child processes that it
/// started.
async fn wait_for_signal() -> io::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = ctrl_c() => interrupted?,
    }
    Ok(ExitCode::from(SIGNAL_STATUS))
}
