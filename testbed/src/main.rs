//! Command line of the testbed.

mod command;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    match command::run(argh::from_env()).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("testbed: {error}");
            ExitCode::FAILURE
        }
    }
}
