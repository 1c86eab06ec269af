//! `testbed compare` and `testbed plot`: print or plot the JSON results of earlier runs.

use {
    argh::FromArgs,
    std::{
        fs,
        io::{self, Write},
        path::{Path, PathBuf},
        process::ExitCode,
    },
    testbed::{compare::Comparison, plot, run::Report},
};

/// print two results side by side with ratios
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "compare")]
pub(crate) struct Arguments {
    /// the first result, as JSON
    #[argh(positional)]
    first: PathBuf,

    /// the second result, as JSON
    #[argh(positional)]
    second: PathBuf,
}

/// plot results of demo runs as SVG
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plot")]
pub(crate) struct PlotArguments {
    /// the results, as JSON
    #[argh(positional)]
    results: Vec<PathBuf>,

    /// directory for the plots [default: the working directory]
    #[argh(option, default = "PathBuf::from(\".\")")]
    out: PathBuf,
}

pub(crate) fn run(arguments: &Arguments) -> io::Result<ExitCode> {
    let first = serde_json::from_slice(&fs::read(&arguments.first)?)?;
    let second = serde_json::from_slice(&fs::read(&arguments.second)?)?;
    let comparison = Comparison::new(&first, &second).to_string();
    io::stdout().write_all(comparison.as_bytes())?;
    Ok(ExitCode::SUCCESS)
}

pub(crate) fn plot(arguments: &PlotArguments) -> io::Result<ExitCode> {
    let mut reports = Vec::new();
    for path in &arguments.results {
        let report: Report = serde_json::from_slice(&fs::read(path)?)?;
        let name = stem(path);
        plot::ends(&report, &arguments.out.join(format!("{name}-ends.svg")))?;
        reports.push((name, report));
    }
    plot::first_token(&reports, &arguments.out.join("first-token.svg"))?;
    Ok(ExitCode::SUCCESS)
}

fn stem(path: &Path) -> String {
    let stem = path.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}
