//! `testbed overhead`: measures the latency, processor time and memory that one host adds.

use {
    argh::FromArgs,
    std::{fs, io, path::PathBuf, process::ExitCode},
    testbed::{fleet::daemon, overhead},
};

/// measure the latency that one host adds, and its memory for each connection
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "overhead")]
pub(crate) struct Arguments {
    /// write the result as JSON to this file
    #[argh(option)]
    json: Option<PathBuf>,

    /// the daemon's program [default: built from this workspace]
    #[argh(option)]
    daemon: Option<PathBuf>,

    /// log filter of the host [default: warn]
    #[argh(option, default = "\"warn\".to_owned()")]
    log_filter: String,
}

pub(crate) async fn run(arguments: Arguments) -> io::Result<ExitCode> {
    let program = match arguments.daemon {
        Some(program) => program,
        None => daemon::build().await?,
    };
    let log = format!("greengagecleat-overhead-{}.log", std::process::id());
    let measured = overhead::measure(&overhead::Settings {
        program,
        log: std::env::temp_dir().join(log),
        log_filter: arguments.log_filter,
    })
    .await?;
    println!("\n{measured}");
    if let Some(path) = arguments.json {
        fs::write(path, serde_json::to_vec_pretty(&measured)?)?;
    }
    Ok(ExitCode::SUCCESS)
}
