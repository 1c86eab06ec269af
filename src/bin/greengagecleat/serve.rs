//! `greengagecleat serve`: runs a host until SIGTERM or SIGINT, then drains it.

use {
    crate::{EXIT_USAGE, arguments::Serve, log, setting},
    greengagecleat::{
        Error,
        clock::Monotonic,
        entry::Entry,
        log::{ignore_file_size_signal, report},
        panic,
    },
    std::{process::ExitCode, time::Duration},
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Exit status if a second signal or the drain limit aborted running calls.
const EXIT_CUT: u8 = 3;
/// Longest time until the last lines of the log are written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the host and returns the process's exit status.
pub(crate) fn run(flags: &Serve) -> ExitCode {
    panic::log_all();
    let (settings, logging) = match setting::settings(flags).and_then(|settings| {
        let logging = setting::log(flags)?;
        Ok((settings, logging))
    }) {
        Ok(pair) => pair,
        Err(error) => {
            report(&format!("greengagecleat: {error}"));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let log = log::start(logging);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            report(&format!("greengagecleat: starting the runtime: {error}"));
            return ExitCode::FAILURE;
        }
    };
    let status = runtime.block_on(async {
        let entry = match Entry::start(settings, Monotonic::new()).await {
            Ok(entry) => entry,
            Err(error) => return fail(&error.to_string()),
        };
        entry.metrics().register_lost_lines(log.lost());
        run_until_drained(entry).await
    });
    // A stuck thread must not keep the process from ending.
    runtime.shutdown_background();
    log.flush(LOG_FLUSH_TIMEOUT);
    status
}

/// Leaves the reason of a failed start on standard error and in the log.
fn fail(reason: &str) -> ExitCode {
    tracing::error!(reason, "the host failed");
    report(&format!("greengagecleat: {reason}"));
    ExitCode::FAILURE
}

async fn run_until_drained(entry: Entry<Monotonic>) -> ExitCode {
    let (mut terminate, mut interrupt) = match signals() {
        Ok(pair) => pair,
        Err(error) => return fail(&format!("listening for signals: {error}")),
    };
    let failed = tokio::select! {
        _ = terminate.recv() => None,
        _ = interrupt.recv() => None,
        task = entry.failed_task() => Some(task),
    };
    let cut = tokio::select! {
        cut = entry.drain() => cut,
        _ = terminate.recv() => entry.running_calls(),
        _ = interrupt.recv() => entry.running_calls(),
    };
    if let Some(task) = failed {
        return fail(&Error::Ended { task }.to_string());
    }
    if cut == 0 {
        tracing::info!("drained");
        return ExitCode::SUCCESS;
    }
    tracing::error!(cut, "exited with calls still running");
    ExitCode::from(EXIT_CUT)
}

fn signals() -> std::io::Result<(Signal, Signal)> {
    ignore_file_size_signal()?;
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    Ok((terminate, interrupt))
}
