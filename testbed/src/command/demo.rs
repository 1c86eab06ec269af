//! `testbed demo`: runs a whole deployment on loopback under mixed load and prints its report. The
//! exit status is a failure when a checked property was violated.

use {
    argh::FromArgs,
    std::{fs, io, path::PathBuf, process::ExitCode, time::Duration},
    testbed::{
        deployment::Deployment,
        fleet::{self, Fleet, daemon},
        run::{self, SETTLE_SECONDS, Work},
    },
};

/// run three regions of entry hosts with stand-ins of everything else on loopback, send them mixed
/// work, and print what the operators measure
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct Arguments {
    /// kerala (Vartha Serve) or egypt (Balloonfind) [default: kerala]
    #[argh(option, default = "\"kerala\".to_owned()")]
    deployment: String,

    /// length of the run, which is also the length of a day [default: 20]
    #[argh(option, default = "20")]
    seconds: u64,

    /// seed of the work [default: 1]
    #[argh(option, default = "1")]
    seed: u64,

    /// factor on the rate of the work [default: 1]
    #[argh(option, default = "1.0")]
    scale: f64,

    /// seconds from when all hosts are ready until the first request, in which customers' buckets fill
    /// [default: 10]
    #[argh(option, default = "SETTLE_SECONDS")]
    settle: u64,

    /// a fault as NAME@SECOND or NAME@SECOND+SECONDS; may be given several times; see
    /// docs/testbed.md for the names
    #[argh(option)]
    fault: Vec<String>,

    /// leave the hosts up until Ctrl-C and print curl lines that reach them
    #[argh(switch)]
    keep: bool,

    /// write the result as JSON to this file
    #[argh(option)]
    json: Option<PathBuf>,

    /// the daemon's program [default: built from this workspace]
    #[argh(option)]
    daemon: Option<PathBuf>,

    /// log filter of the hosts [default: info]
    #[argh(option, default = "\"info\".to_owned()")]
    log_filter: String,
}

pub(crate) async fn run(arguments: Arguments) -> io::Result<ExitCode> {
    let deployment = Deployment::by_name(&arguments.deployment).ok_or_else(|| {
        io::Error::other(format!(
            "unknown deployment {}: expected kerala or egypt",
            arguments.deployment
        ))
    })?;
    let program = match arguments.daemon.clone() {
        Some(program) => program,
        None => daemon::build().await?,
    };
    let logs = std::env::temp_dir().join(format!("greengagecleat-demo-{}", std::process::id()));
    fs::create_dir_all(&logs)?;
    println!(
        "starting {} hosts; their logs are in {}",
        deployment.regions.len() * 3,
        logs.display()
    );
    let mut fleet = Fleet::start(fleet::Settings {
        deployment,
        program,
        logs,
        log_filter: arguments.log_filter.clone(),
    })
    .await?;
    let work = Work {
        seed: arguments.seed,
        length: Duration::from_secs(arguments.seconds),
        scale: arguments.scale,
        faults: arguments.fault,
        settle: Duration::from_secs(arguments.settle),
    };
    let report = run::trial(&mut fleet, &work).await?;
    println!("\n{report}");
    if let Some(path) = &arguments.json {
        fs::write(path, serde_json::to_vec_pretty(&report)?)?;
    }
    if arguments.keep {
        keep(&fleet).await?;
    }
    Ok(if report.violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Prints how to reach the hosts and waits until a signal ends the command.
async fn keep(fleet: &Fleet) -> io::Result<()> {
    let deployment = &fleet.deployment;
    let host = &fleet.hosts[0];
    let key = deployment.customers[0].key();
    let entry = host.listen;
    println!("\nThe hosts stay up until Ctrl-C. Try:\n");
    println!("  curl -s http://{entry}/v1/hosts");
    println!("  curl -s http://{entry}/v1/models -H 'Authorization: Bearer {key}'");
    println!(
        "  curl -sN http://{entry}/v1/chat/completions -H 'Authorization: Bearer {key}' -H 'Content-Type: application/json' \\\n    -d '{{\"model\": \"{}\", \"stream\": true, \"max_tokens\": 16, \"messages\": [{{\"role\": \"user\", \"content\": \"Which branch meets today?\"}}]}}'",
        deployment.model
    );
    println!(
        "  curl -s http://{entry}{}/today -X POST -H 'Authorization: Bearer {key}' -H 'Idempotency-Key: mine-1' -d '{{}}'",
        deployment.post_path
    );
    println!(
        "  curl -s http://{entry}{}/17 -H 'Authorization: Bearer {key}'",
        deployment.lookup_path
    );
    println!("  curl -s http://{}/status", host.admin);
    println!("  curl -s http://{}/metrics", host.admin);
    println!("\nCallers, peers and operators reach the hosts at:");
    for host in &fleet.hosts {
        println!(
            "  {:<14} {}  {}  {}",
            host.settings.name, host.listen, host.peer, host.admin
        );
    }
    std::future::pending().await
}
