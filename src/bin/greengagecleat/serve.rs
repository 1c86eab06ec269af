//! `greengagecleat serve`: runs a host until SIGTERM or SIGINT, then drains it.

use {
    crate::{EXIT_USAGE, arguments::Serve, log, setting},
    greengagecleat::{
        clock::Monotonic,
        entry::Entry,
        resource::{Limits, Setting},
    },
    std::process::ExitCode,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Exit status if a second signal or the drain limit aborted running calls.
const EXIT_CUT: u8 = 3;

/// Runs the host and returns the process's exit status.
pub(crate) fn run(flags: &Serve) -> ExitCode {
    let (settings, logging) = match setting::settings(flags).and_then(|settings| {
        let logging = setting::log(flags)?;
        Ok((settings, logging))
    }) {
        Ok(pair) => pair,
        Err(error) => {
            eprintln!("greengagecleat: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    log::start(logging);
    Limits::read(Setting::default()).log();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("greengagecleat: starting the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(async {
        let entry = match Entry::start(settings, Monotonic::new()).await {
            Ok(entry) => entry,
            Err(error) => {
                eprintln!("greengagecleat: {error}");
                return ExitCode::FAILURE;
            }
        };
        run_until_drained(entry).await
    })
}

async fn run_until_drained(entry: Entry<Monotonic>) -> ExitCode {
    let (mut terminate, mut interrupt) = match signals() {
        Ok(pair) => pair,
        Err(error) => {
            eprintln!("greengagecleat: listening for signals: {error}");
            return ExitCode::FAILURE;
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let cut = tokio::select! {
        cut = entry.drain() => cut,
        _ = terminate.recv() => entry.running_calls(),
        _ = interrupt.recv() => entry.running_calls(),
    };
    if cut == 0 {
        tracing::info!("drained");
        return ExitCode::SUCCESS;
    }
    tracing::error!(cut, "exited with calls still running");
    ExitCode::from(EXIT_CUT)
}

fn signals() -> std::io::Result<(Signal, Signal)> {
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    Ok((terminate, interrupt))
}
