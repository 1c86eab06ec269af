//! Long-lived tasks: notices one that ends while the host runs, logs and counts that, and starts it
//! again, or makes the host leave.
//!
//! A task whose end nobody notices leaves a host that looks ready and isn't.

use {
    crate::{
        clock::{Clock, Monotonic},
        machine::Machine,
        metric::Metrics,
    },
    futures::FutureExt,
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{counter::Counter, family::Family},
    },
    std::{
        future::{Future, pending},
        panic::AssertUnwindSafe,
        time::Duration,
    },
    tokio::{sync::watch, time::timeout},
};

/// Pause before a task is started again for the first time.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Upper bound on the pause before a task is started again.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// A task that ran for this long is started again after the first pause.
const STABLE_TIME: Duration = Duration::from_secs(30);

/// Decides when a task that ended is started again: after a pause that doubles with each end of a
/// task that did not run for long.
#[derive(Debug, Default, Clone, Copy)]
pub struct Restart {
    started_at: Duration,
    pause: Duration,
}

/// What happens to a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// It was started.
    Started,
    /// It has ended by itself.
    Ended,
}

/// What to do about a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Start it again after this pause.
    StartAfter(Duration),
}

impl Machine for Restart {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Started => {
                self.started_at = now;
                Vec::new()
            }
            Event::Ended => {
                let has_run_for = now.saturating_sub(self.started_at);
                self.pause = if has_run_for >= STABLE_TIME {
                    MIN_PAUSE
                } else {
                    (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE)
                };
                vec![Action::StartAfter(self.pause)]
            }
        }
    }
}

/// Label of a task that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    task: &'static str,
}

/// Watches the tasks of a host. Once it is stopped or dropped, tasks may end.
#[derive(Debug)]
pub struct Supervisor {
    ends: Family<Label, Counter>,
    stop: watch::Sender<bool>,
    failed: watch::Sender<Option<&'static str>>,
}

/// Tells which task has ended that the host can't go on without.
#[derive(Debug, Clone)]
pub struct Failure(watch::Receiver<Option<&'static str>>);

impl Failure {
    /// Returns the name of the first task that has failed, once there is one.
    pub async fn wait(&mut self) -> &'static str {
        let failed = self.0.wait_for(Option::is_some).await;
        match failed.ok().and_then(|failed| *failed) {
            Some(task) => task,
            None => pending().await,
        }
    }
}

impl Supervisor {
    /// A supervisor without tasks, which counts their ends in `metrics`.
    pub fn new(metrics: &Metrics) -> Self {
        let ends = Family::<Label, Counter>::default();
        metrics.register(|registry| {
            registry.register(
                "task_ends",
                "Long-lived tasks that ended while the host ran",
                ends.clone(),
            );
        });
        Self {
            ends,
            stop: watch::Sender::new(false),
            failed: watch::Sender::new(None),
        }
    }

    /// From now on tasks may end.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// What tells of tasks that [`Self::guard`] runs.
    pub fn failure(&self) -> Failure {
        Failure(self.failed.subscribe())
    }

    /// Runs what `start` returns, and again after a growing pause when it ends or panics.
    pub fn keep<F: Future<Output = ()> + Send + 'static>(
        &self,
        name: &'static str,
        mut start: impl FnMut() -> F + Send + 'static,
    ) -> impl Future<Output = ()> + Send + 'static {
        let mut watcher = self.watcher(name);
        async move {
            let clock = Monotonic::new();
            let mut restart = Restart::default();
            loop {
                restart.step(clock.now(), Event::Started);
                let Some(end) = watcher.run(async { start().await }).await else {
                    return;
                };
                for Action::StartAfter(pause) in restart.step(clock.now(), Event::Ended) {
                    watcher.note(end, Some(pause));
                    let stopped = watcher.stopped.wait_for(|is_stopped| *is_stopped);
                    if timeout(pause, stopped).await.is_ok() {
                        return;
                    }
                }
            }
        }
    }

    /// Runs a task that can't be started again. When it ends or panics, [`Failure`] tells so, and the
    /// host must leave.
    pub fn guard(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> impl Future<Output = ()> + Send + 'static {
        let (watcher, failed) = (self.watcher(name), self.failed.clone());
        async move {
            if let Some(end) = watcher.run(task).await {
                watcher.note(end, None);
                failed.send_replace(Some(name));
            }
        }
    }

    /// Runs a task that the host can go on without.
    pub fn watch(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> impl Future<Output = ()> + Send + 'static {
        let watcher = self.watcher(name);
        async move {
            if let Some(end) = watcher.run(task).await {
                watcher.note(end, None);
            }
        }
    }

    fn watcher(&self, name: &'static str) -> Watcher {
        Watcher {
            name,
            ends: self.ends.clone(),
            stopped: self.stop.subscribe(),
        }
    }
}

/// Sees how one task ends.
#[derive(Debug)]
struct Watcher {
    name: &'static str,
    ends: Family<Label, Counter>,
    stopped: watch::Receiver<bool>,
}

/// An end while the host runs.
#[derive(Debug, Clone, Copy)]
struct End {
    is_panic: bool,
}

impl Watcher {
    /// Runs a task; `None` if it may end.
    async fn run(&self, task: impl Future<Output = ()> + Send) -> Option<End> {
        let is_panic = AssertUnwindSafe(task).catch_unwind().await.is_err();
        let is_stopped = *self.stopped.borrow() || self.stopped.has_changed().is_err();
        (!is_stopped).then_some(End { is_panic })
    }

    fn note(&self, end: End, pause: Option<Duration>) {
        let label = Label { task: self.name };
        self.ends.get_or_create(&label).inc();
        let pause_ms = pause.map(|pause| pause.as_millis() as u64);
        tracing::error!(
            event = "task",
            task = self.name,
            is_panic = end.is_panic,
            pause_ms,
            "a task has ended while the host runs"
        );
    }
}

/// Waits until the channel that tells tasks to stop is closed.
pub async fn closed(mut stop: watch::Receiver<()>) {
    stop.changed().await.ok();
}
