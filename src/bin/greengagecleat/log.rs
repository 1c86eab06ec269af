//! Sets up structured logging to standard error.

use {crate::setting::Logging, greengagecleat::panic, std::io};

/// Installs the process-wide log subscriber, which logs panics too.
pub(crate) fn start(log: Logging) {
    let builder = tracing_subscriber::fmt()
        .with_env_filter(log.filter)
        .with_writer(io::stderr);
    if log.is_json {
        builder.json().flatten_event(true).init();
    } else {
        builder.with_ansi(false).init();
    }
    panic::log_all();
}
