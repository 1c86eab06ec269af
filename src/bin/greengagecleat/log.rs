//! Sets up structured logging to standard error.

use {
    crate::setting::Logging,
    greengagecleat::log::{MAX_BUFFERED_LINES, Writer},
    std::io,
};

/// Installs the process-wide log subscriber and returns its writer.
pub(crate) fn start(log: Logging) -> Writer {
    let writer = Writer::start(MAX_BUFFERED_LINES, io::stderr());
    let builder = tracing_subscriber::fmt()
        // Errors of the writer would be printed with a macro that panics.
        .log_internal_errors(false)
        .with_env_filter(log.filter)
        .with_writer(writer.clone());
    if log.is_json {
        builder.json().flatten_event(true).init();
    } else {
        builder.with_ansi(false).init();
    }
    writer
}
