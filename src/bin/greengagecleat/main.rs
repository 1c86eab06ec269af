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
    greengagecleat::key::Digest,
    std::{
        io::{self, BufRead},
        process::ExitCode,
    },
};

/// Exit status for an invalid setting, argument or document.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Serve(flags) => serve::run(&flags),
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
        eprintln!("greengagecleat: standard input: {error}");
        return ExitCode::FAILURE;
    }
    let key = line.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        eprintln!("greengagecleat: no key on standard input: give the key on one line");
        return ExitCode::from(EXIT_USAGE);
    }
    println!("{}", Digest::of(key.as_bytes()));
    ExitCode::SUCCESS
}
