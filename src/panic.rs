//! Logs panics as structured lines.

use std::panic;

/// Logs every panic of this process, with its place, before the task that it ends is dropped.
pub fn log_all() {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        let place = panic.location().map(ToString::to_string);
        let reason = panic.payload_as_str();
        tracing::error!(event = "panic", place, reason, "a task has failed");
        default_hook(panic);
    }));
}
