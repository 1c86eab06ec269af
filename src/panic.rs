//! Logs and counts panics.

use {
    crate::log,
    prometheus_client::{
        collector::Collector,
        encoding::{DescriptorEncoder, EncodeMetric},
        metrics::{MetricType, counter::ConstCounter},
    },
    std::{
        collections::BTreeMap,
        fmt,
        panic::{self, AssertUnwindSafe, PanicHookInfo},
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Panics of this process by place. The hook of panics belongs to the process, so its count does too.
static COUNTS: Mutex<BTreeMap<String, u64>> = Mutex::new(BTreeMap::new());

/// Logs and counts every panic of this process, with its place, before the task that it ends is
/// dropped. The line goes to standard error as well, and so is kept where logging isn't set up.
///
/// A panic in the hook aborts the process, so it writes only by ways that don't panic: the hook of
/// the standard library is replaced since it blocks while standard error isn't read.
pub fn log_all() {
    panic::set_hook(Box::new(|panic| {
        let place = place(panic);
        let reason = panic.payload_as_str().unwrap_or("no text");
        *counts().entry(place.clone()).or_default() += 1;
        tracing::error!(event = "panic", place, reason, "a task has failed");
        log::report(&format!("panicked at {place}: {reason}"));
    }));
}

/// Runs one step of a loop that must go on if the step panics, such as the handling of a message.
/// Returns `None` then; the hook has logged it.
pub fn contain<T>(step: impl FnOnce() -> T) -> Option<T> {
    panic::catch_unwind(AssertUnwindSafe(step)).ok()
}

fn place(panic: &PanicHookInfo<'_>) -> String {
    let place = panic.location().map(ToString::to_string);
    place.unwrap_or_else(|| "unknown".into())
}

fn counts() -> MutexGuard<'static, BTreeMap<String, u64>> {
    COUNTS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Exports the panics of this process by place.
#[derive(Debug, Clone, Copy)]
pub struct Panics;

impl Collector for Panics {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        // The lock must not be held while text is encoded, as a panic there needs it.
        let counts = counts().clone();
        let mut family =
            encoder.encode_descriptor("panics", "Panics by place", None, MetricType::Counter)?;
        for (place, count) in counts {
            let labels = [("place", place)];
            ConstCounter::new(count).encode(family.encode_family(&labels)?)?;
        }
        Ok(())
    }
}
