//! Structured logs on standard error.

use {crate::setting::Log, std::io};

/// Starts logging for the whole process.
pub(crate) fn start(log: Log) {
    let builder = tracing_subscriber::fmt()
        .with_env_filter(log.filter)
        .with_writer(io::stderr);
    if log.json {
        builder.json().flatten_event(true).init();
        return;
    }
    builder.with_ansi(false).init();
}
