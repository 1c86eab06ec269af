//! `greengagecleat check`: validates configuration documents offline.

use {
    crate::{EXIT_USAGE, PROGRAM, arguments::Check, print},
    greengagecleat::{
        config::{Document, Severity, accept},
        log,
        start::report,
    },
    std::{
        collections::BTreeMap,
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// Validates the files together and prints every error and warning.
pub(crate) fn run(flags: &Check) -> ExitCode {
    if flags.files.is_empty() {
        report(
            PROGRAM,
            "no files: give routes.toml, pools.toml and customers.toml",
        );
        return ExitCode::from(EXIT_USAGE);
    }
    let mut files = BTreeMap::new();
    let mut texts = BTreeMap::new();
    for file in &flags.files {
        match read(file) {
            Ok((document, text)) => {
                files.insert(document, file);
                texts.insert(document, text);
            }
            Err(reason) => {
                log::report(&format!("{}: {reason}", file.display()));
                return ExitCode::from(EXIT_USAGE);
            }
        }
    }
    print_faults(&files, &texts)
}

/// Prints each fault with its file and line, then the totals.
fn print_faults(
    files: &BTreeMap<Document, &PathBuf>,
    texts: &BTreeMap<Document, String>,
) -> ExitCode {
    let faults = accept::check(texts);
    let mut output = String::new();
    for fault in &faults {
        let file = files.get(&fault.document).map_or_else(
            || fault.document.to_string(),
            |file| file.display().to_string(),
        );
        output += &format!(
            "{file}:{}: {}: {}; {}\n",
            fault.line, fault.severity, fault.reason, fault.remedy
        );
    }
    let errors = faults
        .iter()
        .filter(|fault| fault.severity == Severity::Error)
        .count();
    if errors > 0 {
        output += &format!("{errors} errors, {} warnings\n", faults.len() - errors);
        return print(&output, ExitCode::from(EXIT_USAGE));
    }
    output += &format!(
        "{} documents accepted, {} warnings\n",
        texts.len(),
        faults.len()
    );
    print(&output, ExitCode::SUCCESS)
}

/// Reads a file; its name selects the document.
fn read(file: &Path) -> Result<(Document, String), String> {
    let document = file
        .file_stem()
        .and_then(|stem| stem.to_str())
        .and_then(|stem| stem.parse().ok())
        .ok_or("name it routes.toml, pools.toml or customers.toml")?;
    let text = fs::read_to_string(file).map_err(|error| error.to_string())?;
    Ok((document, text))
}
