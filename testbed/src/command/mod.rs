//! The subcommands of `testbed`. Each module parses its arguments and prints its result; the
//! library does the work.

mod compare;
mod demo;
mod faults;
mod fuzz;
mod load;
mod overhead;
mod standin;

use {
    argh::FromArgs,
    std::{io, process::ExitCode},
};

/// Stand-ins for the platform and the upstreams, and the load and experiment tool.
#[derive(Debug, FromArgs)]
pub(crate) struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(demo::Arguments),
    Faults(faults::Arguments),
    Load(load::Arguments),
    Compare(compare::Arguments),
    Plot(compare::PlotArguments),
    Overhead(overhead::Arguments),
    Fuzz(fuzz::Arguments),
    Standin(standin::Arguments),
}

/// Runs the command that was given on the command line and returns its exit status.
pub(crate) async fn run(arguments: Arguments) -> io::Result<ExitCode> {
    match arguments.command {
        Command::Demo(arguments) => demo::run(arguments).await,
        Command::Faults(arguments) => faults::run(arguments).await,
        Command::Load(arguments) => load::run(arguments).await,
        Command::Compare(arguments) => compare::run(&arguments),
        Command::Plot(arguments) => compare::plot(&arguments),
        Command::Overhead(arguments) => overhead::run(arguments).await,
        Command::Fuzz(arguments) => fuzz::run(&arguments),
        Command::Standin(arguments) => standin::run(arguments).await,
    }
}
