//! The start of a process: signals, the runtime, arguments, and waiting for what the start needs.
//!
//! A process that ends because something it needs is late or taken for a moment is started again
//! only to end again, so it waits instead. What waiting can't mend ends it with a reason on standard
//! error.

pub mod address;
pub mod retry;
pub mod signal;

use {
    self::{
        retry::{Cause, Plan, Retry, Step},
        signal::{Notice, Signals},
    },
    crate::{
        clock::{Boot, Clock},
        log,
    },
    argh::TopLevelCommand,
    derive_more::{Display, Error},
    std::{
        env,
        fmt::Display,
        io::{self, Write},
        panic::{self, AssertUnwindSafe},
        process::ExitCode,
        thread,
    },
    tokio::{
        runtime::{Builder, Runtime},
        time::sleep,
    },
};

/// Exit status for a setting or an argument that can't be used.
pub const EXIT_USAGE: u8 = 2;

/// Writes one line of a program to standard error, as [`log::report`] does.
pub fn report(program: &str, message: impl Display) {
    log::report(&format!("{program}: {message}"));
}

/// Creates a runtime of one thread and installs the signal handlers on it, see [`runtime`]. The
/// first thing that a process does: until then each of the signals ends it.
///
/// # Errors
///
/// The runtime or the handlers can't be created.
pub fn process(program: &str) -> io::Result<(Runtime, Signals)> {
    runtime(program, || {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let context = runtime.enter();
        let signals = Signals::install()?;
        drop(context);
        Ok((runtime, signals))
    })
}

/// Creates a runtime. Tries again, as [`Plan::RUNTIME`] says, while descriptors, memory or threads are
/// missing.
///
/// # Errors
///
/// The runtime still can't be created.
pub fn runtime<T>(program: &str, create: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let clock = Boot::new();
    let mut retry = Retry::new(Plan::RUNTIME, clock.now());
    loop {
        let error = match without_panic(&create) {
            Ok(created) => return Ok(created),
            Err(error) => error,
        };
        match retry.failed(clock.now(), Cause::from(&error)) {
            Step::End => return Err(error),
            Step::Wait { pause, is_reported } => {
                if is_reported {
                    report(program, format_args!("starting the runtime: {error}"));
                }
                thread::sleep(pause);
            }
        }
    }
}

/// Turns a panic into an error that passes. Tokio panics if it can't start a thread or open the
/// signals' socket pair, and its message would come once for each try.
fn without_panic<T>(create: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let hook = panic::take_hook();
    panic::set_hook(Box::new(|_| {}));
    let created = panic::catch_unwind(AssertUnwindSafe(create));
    panic::set_hook(hook);
    created.unwrap_or_else(|panic| {
        let reason = panic.downcast::<String>();
        let reason = reason.map_or_else(|_| "no thread or socket is left".into(), |reason| *reason);
        Err(io::Error::new(io::ErrorKind::WouldBlock, reason))
    })
}

/// Parses the arguments of the process. Prints help or what is wrong, and returns the exit status
/// then.
pub fn arguments<A: TopLevelCommand>(program: &str) -> Result<A, ExitCode> {
    let usage = |message: &dyn Display| {
        report(program, message);
        Err(ExitCode::from(EXIT_USAGE))
    };
    let mut words = Vec::new();
    for word in env::args_os().skip(1) {
        match word.into_string() {
            Ok(word) => words.push(word),
            Err(word) => return usage(&format_args!("argument {word:?} is not UTF-8")),
        }
    }
    let words: Vec<_> = words.iter().map(String::as_str).collect();
    match A::from_args(&[program], &words) {
        Ok(arguments) => Ok(arguments),
        Err(exit) if exit.status.is_ok() => {
            writeln!(io::stdout(), "{}", exit.output).ok();
            Err(ExitCode::SUCCESS)
        }
        Err(exit) => usage(&exit.output.trim_end()),
    }
}

/// Why something that the start needs is not there.
#[derive(Debug, Display, Error)]
pub enum Unmet<E> {
    /// A signal asks the process to end.
    #[display("the process was told to end")]
    Terminated,
    /// It lasts, or has lasted for too long.
    Failed(E),
}

/// Repeats `attempt` until it succeeds, as [`Plan::SETTINGS`] says. [`Notice::Reload`] makes the next
/// attempt at once. `warn` is called with the first error if another attempt follows.
///
/// # Errors
///
/// `attempt` has failed for good, or the process was told to end.
pub async fn wait_for<T, E>(
    clock: impl Clock,
    signals: &mut Signals,
    attempt: impl AsyncFn() -> Result<T, E>,
    warn: impl Fn(&E),
) -> Result<T, Unmet<E>>
where
    for<'a> Cause: From<&'a E>,
{
    let mut retry = Retry::new(Plan::SETTINGS, clock.now());
    loop {
        let result = tokio::select! {
            biased;
            result = attempt() => result,
            () = terminated(signals) => return Err(Unmet::Terminated),
        };
        let error = match result {
            Ok(value) => return Ok(value),
            Err(error) => error,
        };
        match retry.failed(clock.now(), Cause::from(&error)) {
            Step::End => return Err(Unmet::Failed(error)),
            Step::Wait { pause, is_reported } => {
                if is_reported {
                    warn(&error);
                }
                tokio::select! {
                    notice = signals.next() => if notice == Notice::Terminate {
                        return Err(Unmet::Terminated);
                    },
                    () = sleep(pause) => {}
                }
            }
        }
    }
}

async fn terminated(signals: &mut Signals) {
    while signals.next().await != Notice::Terminate {}
}
