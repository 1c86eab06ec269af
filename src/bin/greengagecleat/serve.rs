//! `greengagecleat serve`: runs a host until SIGTERM or SIGINT, then drains it.

use {
    crate::{EXIT_USAGE, PROGRAM, arguments::Serve, log, setting},
    greengagecleat::{
        Error, Result,
        clock::Monotonic,
        entry::Entry,
        log::Writer,
        panic,
        resource::{Limits, Setting},
        start::{
            self, report,
            signal::{Notice, Signals},
        },
    },
    std::{fmt::Display, io, pin::pin, process::ExitCode, time::Duration},
    tokio::runtime::Runtime,
};

/// Exit status if a second signal or the drain limit aborted running calls.
const EXIT_CUT: u8 = 3;
/// Longest time until the last lines of the log are written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the host and returns the process's exit status.
pub(crate) fn run(flags: &Serve, process: io::Result<(Runtime, Signals)>) -> ExitCode {
    panic::log_all();
    // The first runtime only installs the signal handlers: to start the threads of the other one takes
    // longer, and more so on a machine with many cores. Signals reach the handlers through either.
    let process = process.and_then(|(_, signals)| {
        let runtime = start::runtime(PROGRAM, Runtime::new)?;
        Ok((runtime, signals))
    });
    let (runtime, signals) = match process {
        Ok(process) => process,
        Err(error) => {
            report(PROGRAM, format_args!("starting the runtime: {error}"));
            return ExitCode::FAILURE;
        }
    };
    let (settings, logging) = match setting::settings(flags).and_then(|settings| {
        let logging = setting::log(flags)?;
        Ok((settings, logging))
    }) {
        Ok(pair) => pair,
        Err(error) => {
            report(PROGRAM, error);
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let log = log::start(logging);
    Limits::read(Setting::default()).log();
    let status = runtime.block_on(async {
        let entry = Entry::start(settings, Monotonic::new());
        run_until_drained(entry, signals, &log).await
    });
    // A stuck thread must not keep the process from ending.
    runtime.shutdown_background();
    log.flush(LOG_FLUSH_TIMEOUT);
    status
}

/// Leaves the reason of a failure on standard error and in the log.
fn fail(reason: impl Display) -> ExitCode {
    tracing::error!(%reason, "the host failed");
    report(PROGRAM, reason);
    ExitCode::FAILURE
}

async fn run_until_drained(
    starting: impl Future<Output = Result<Entry<Monotonic>>>,
    mut signals: Signals,
    log: &Writer,
) -> ExitCode {
    let mut starting = pin!(starting);
    let started = tokio::select! {
        biased;
        started = &mut starting => started,
        () = until_terminated(&mut signals) => {
            tracing::info!("stopped before the host has started");
            return ExitCode::SUCCESS;
        }
    };
    let entry = match started {
        Ok(entry) => entry,
        Err(error) => return fail(error),
    };
    entry.metrics().register_lost_lines(log.lost());
    let failed = tokio::select! {
        () = until_terminated(&mut signals) => None,
        task = entry.failed_task() => Some(task),
    };
    let cut = tokio::select! {
        cut = entry.drain() => cut,
        () = until_terminated(&mut signals) => entry.running_calls(),
    };
    if let Some(task) = failed {
        return fail(Error::Ended { task });
    }
    if cut == 0 {
        tracing::info!("drained");
        return ExitCode::SUCCESS;
    }
    tracing::error!(cut, "exited with calls still running");
    ExitCode::from(EXIT_CUT)
}

/// Waits for SIGTERM or SIGINT. The daemon's settings come from its arguments and environment, which
/// don't change, so SIGHUP changes nothing.
async fn until_terminated(signals: &mut Signals) {
    while signals.next().await == Notice::Reload {
        tracing::info!(event = "reload", "there is nothing to reload");
    }
}
