//! `greengagecleat trace`: prints the timeline of one request from several hosts' logs.

use {
    crate::{EXIT_USAGE, PROGRAM, arguments::Trace, print},
    greengagecleat::{start::report, trace::Collector},
    std::{
        fs::File,
        io::{self, BufRead, BufReader},
        path::Path,
        process::ExitCode,
    },
};

/// Reads the logs and prints the timeline of the request.
pub(crate) fn run(flags: &Trace) -> ExitCode {
    let mut collector = Collector::new(&flags.request);
    if flags.files.is_empty()
        && let Err(error) = collect(io::stdin().lock(), "-", &mut collector)
    {
        report(PROGRAM, format_args!("standard input: {error}"));
        return ExitCode::FAILURE;
    }
    for path in &flags.files {
        let name = path.file_stem().unwrap_or(path.as_os_str());
        let result =
            open(path).and_then(|log| collect(log, &name.to_string_lossy(), &mut collector));
        if let Err(error) = result {
            report(PROGRAM, format_args!("{}: {error}", path.display()));
            return ExitCode::from(EXIT_USAGE);
        }
    }
    let Some(timeline) = collector.finish() else {
        report(
            PROGRAM,
            format_args!(
                "no log line of request {}; logs of successful requests are sampled under load",
                flags.request
            ),
        );
        return ExitCode::FAILURE;
    };
    print(&timeline.to_string(), ExitCode::SUCCESS)
}

fn open(path: &Path) -> io::Result<BufReader<File>> {
    File::open(path).map(BufReader::new)
}

fn collect(log: impl BufRead, file: &str, collector: &mut Collector) -> io::Result<()> {
    for line in log.split(b'\n') {
        collector.push(&String::from_utf8_lossy(&line?), file);
    }
    Ok(())
}
