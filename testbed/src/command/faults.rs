//! `testbed faults`: runs one trial without faults and one for each fault, and prints a table that
//! compares them.

use {
    argh::FromArgs,
    std::{
        collections::BTreeMap,
        fs, io,
        path::{Path, PathBuf},
        process::ExitCode,
        time::Duration,
    },
    testbed::{
        deployment::Deployment,
        fleet::{self, Fleet, daemon, incident::Kind},
        run::{self, Report, SETTLE_SECONDS, Work},
    },
};

/// Name of the reference trial, which injects no fault.
const NO_FAULT: &str = "calm";

/// run a trial for each fault, and for combinations if asked, and print the results beside a trial
/// without faults
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "faults")]
pub(crate) struct Arguments {
    /// kerala or egypt [default: kerala]
    #[argh(option, default = "\"kerala\".to_owned()")]
    deployment: String,

    /// length of each trial; its fault begins after a third and lasts a third [default: 9]
    #[argh(option, default = "9")]
    seconds: u64,

    /// seed of the work [default: 1]
    #[argh(option, default = "1")]
    seed: u64,

    /// a fault, or several joined by + that begin together; may be given several times [default:
    /// every fault alone]
    #[argh(option)]
    fault: Vec<String>,

    /// write the results as JSON to this file, by fault
    #[argh(option)]
    json: Option<PathBuf>,

    /// the daemon's program [default: built from this workspace]
    #[argh(option)]
    daemon: Option<PathBuf>,
}

pub(crate) async fn run(arguments: Arguments) -> io::Result<ExitCode> {
    let program = match arguments.daemon.clone() {
        Some(program) => program,
        None => daemon::build().await?,
    };
    let logs = std::env::temp_dir().join(format!("greengagecleat-faults-{}", std::process::id()));
    let mut names = vec![NO_FAULT.to_owned()];
    names.extend(if arguments.fault.is_empty() {
        all_faults()
    } else {
        arguments.fault.clone()
    });
    let mut reports = BTreeMap::new();
    for name in &names {
        println!("\n{name}");
        let report = trial(&arguments, &program, &logs.join(name), name).await?;
        println!("{}", summary(&report));
        reports.insert(name.clone(), report);
    }
    print_table(&names, &reports);
    println!("\nThe hosts' logs are in {}", logs.display());
    if let Some(path) = &arguments.json {
        fs::write(path, serde_json::to_vec_pretty(&reports)?)?;
    }
    let passed = reports.values().all(|report| report.violations.is_empty());
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn all_faults() -> Vec<String> {
    Kind::ALL.iter().map(|kind| kind.to_string()).collect()
}

async fn trial(
    arguments: &Arguments,
    program: &Path,
    logs: &Path,
    name: &str,
) -> io::Result<Report> {
    let deployment = Deployment::by_name(&arguments.deployment)
        .ok_or_else(|| io::Error::other("unknown deployment: expected kerala or egypt"))?;
    fs::create_dir_all(logs)?;
    let mut fleet = Fleet::start(fleet::Settings {
        deployment,
        program: program.to_owned(),
        logs: logs.to_owned(),
        log_filter: "info".to_owned(),
    })
    .await?;
    let third = arguments.seconds / 3;
    let faults = name.split('+').filter(|fault| *fault != NO_FAULT);
    let work = Work {
        seed: arguments.seed,
        length: Duration::from_secs(arguments.seconds),
        scale: 1.0,
        faults: faults
            .map(|fault| format!("{fault}@{third}+{third}"))
            .collect(),
        settle: Duration::from_secs(SETTLE_SECONDS),
    };
    run::trial(&mut fleet, &work).await
}

fn print_table(names: &[String], reports: &BTreeMap<String, Report>) {
    println!(
        "\n{:<28} {:>7} {:>8} {:>11} {:>7} {:>6} {:>10} {:>11} {:>7}",
        "fault",
        "whole",
        "refused",
        "within rate",
        "failed",
        "wrong",
        "runs/call",
        "first p95",
        "broken"
    );
    for name in names {
        println!("{name:<28} {}", summary(&reports[name]));
    }
    for name in names {
        for line in &reports[name].violations {
            println!("{name}: {line}");
        }
    }
}

/// The columns of one trial, without its name.
fn summary(report: &Report) -> String {
    let ends = report.ends;
    format!(
        "{:>6.1}% {:>8} {:>11} {:>7} {:>6} {:>10.3} {:>8.0} ms {:>7}",
        100.0 * ends.whole as f64 / ends.sent.max(1) as f64,
        ends.refused,
        ends.refused_within_rate,
        ends.failed,
        ends.wrong,
        report.engines.runs_per_request,
        report.kinds["brief"].first.p95,
        report.violations.len()
    )
}
