//! The `greengagecleat` program: the daemon (`serve`) and the operators' commands.

mod arguments;
mod check;
mod log;
mod serve;
mod setting;
mod status;
mod trace;

use {
    arguments::{Arguments, Command, KeyCommand},
    greengagecleat::{
        key::Digest,
        start::{self, EXIT_USAGE, report},
    },
    std::{
        env,
        io::{self, BufRead, Write},
        process::ExitCode,
    },
};

/// The program's name in messages.
const PROGRAM: &str = "greengagecleat";

fn main() -> ExitCode {
    // The daemon handles signals before it does anything else. Signals end the other commands.
    let is_daemon = env::args_os().nth(1).is_some_and(|word| word == "serve");
    let process = is_daemon.then(|| start::process(PROGRAM));
    let arguments: Arguments = match start::arguments(PROGRAM) {
        Ok(arguments) => arguments,
        Err(status) => return status,
    };
    match arguments.command {
        Command::Serve(flags) => {
            let process = process.unwrap_or_else(|| start::process(PROGRAM));
            serve::run(&flags, process)
        }
        Command::Check(flags) => check::run(&flags),
        Command::Key(flags) => match flags.command {
            KeyCommand::Digest(_) => digest(),
        },
        Command::Status(flags) => status::run(&flags),
        Command::Trace(flags) => trace::run(&flags),
    }
}

/// Prints the digest of the key on the first line of standard input.
fn digest() -> ExitCode {
    let mut line = String::new();
    if let Err(error) = io::stdin().lock().read_line(&mut line) {
        report(PROGRAM, format_args!("standard input: {error}"));
        return ExitCode::FAILURE;
    }
    let key = line.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        report(
            PROGRAM,
            "no key on standard input: give the key on one line",
        );
        return ExitCode::from(EXIT_USAGE);
    }
    print(
        &format!("{}\n", Digest::of(key.as_bytes())),
        ExitCode::SUCCESS,
    )
}

/// Prints the output of a command and returns `status`, or a failure if the output can't be written, as
/// to a full disk. `println!` panics then.
fn print(output: &str, status: ExitCode) -> ExitCode {
    let mut stdout = io::stdout().lock();
    let written = stdout.write_all(output.as_bytes());
    match written.and_then(|()| stdout.flush()) {
        Ok(()) => status,
        Err(error) => {
            report(PROGRAM, format_args!("standard output: {error}"));
            ExitCode::FAILURE
        }
    }
}
