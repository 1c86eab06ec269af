//! `greengagecleat check`: validates configuration documents offline.

use {
    crate::{EXIT_USAGE, arguments::Check},
    greengagecleat::config::{Document, Severity, accept},
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
        eprintln!("greengagecleat: no files: give routes.toml, pools.toml and customers.toml");
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
                eprintln!("{}: {reason}", file.display());
                return ExitCode::from(EXIT_USAGE);
            }
        }
    }
    report(&files, &texts)
}

/// Prints each fault with its file and line, then the totals.
fn report(files: &BTreeMap<Document, &PathBuf>, texts: &BTreeMap<Document, String>) -> ExitCode {
    let faults = accept::check(texts);
    for fault in &faults {
        let file = files.get(&fault.document).map_or_else(
            || fault.document.to_string(),
            |file| file.display().to_string(),
        );
        println!(
            "{file}:{}: {}: {}; {}",
            fault.line, fault.severity, fault.reason, fault.remedy
        );
    }
    let errors = faults
        .iter()
        .filter(|fault| fault.severity == Severity::Error)
        .count();
    if errors > 0 {
        println!("{errors} errors, {} warnings", faults.len() - errors);
        return ExitCode::from(EXIT_USAGE);
    }
    println!(
        "{} documents accepted, {} warnings",
        texts.len(),
        faults.len()
    );
    ExitCode::SUCCESS
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
