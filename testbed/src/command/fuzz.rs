//! `testbed fuzz`: runs damaged inputs through the decoders of untrusted bytes and prints the
//! inputs that made one panic.

use {
    argh::FromArgs,
    std::{io, process::ExitCode},
    testbed::fuzz,
};

/// Feed damaged inputs to every decoder of untrusted bytes; prints each input that made one panic.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fuzz")]
pub(crate) struct Arguments {
    /// inputs for each decoder; default: 100000
    #[argh(option, default = "100_000")]
    cases: u64,
    /// seed of the random choices; default: 1
    #[argh(option, default = "1")]
    seed: u64,
}

pub(crate) fn run(arguments: &Arguments) -> io::Result<ExitCode> {
    println!(
        "seed {}, {} inputs for each decoder",
        arguments.seed, arguments.cases
    );
    let findings = fuzz::run(arguments.seed, arguments.cases);
    for finding in &findings {
        println!(
            "{:?} failed on case {}: {:?}",
            finding.target,
            finding.case,
            String::from_utf8_lossy(&finding.input)
        );
    }
    println!("{} findings", findings.len());
    if findings.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::FAILURE)
}
