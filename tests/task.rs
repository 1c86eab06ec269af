//! Tests that the end of a long-lived task is noticed, and that the host goes on, or says that it
//! can't.

mod common;

use {
    common::{Bed, settings, until},
    greengagecleat::{
        clock::{Clock, Monotonic},
        entry::Entry,
        machine::Machine,
        metric::Metrics,
        task::{Action, Event, Restart, Supervisor},
    },
    std::{
        panic::panic_any,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        time::{Duration, SystemTime},
    },
    tokio::time::timeout,
};

/// Time within which an end must be noticed.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A task that fails at once was started again without a pause, or never again after it had run for
/// long.
#[test]
fn pauses_grow_and_begin_anew_after_a_stable_time() {
    let mut restart = Restart::default();
    let mut now = Duration::from_secs(1);
    let mut pauses_ms = Vec::new();
    for lasted_s in [0, 0, 0, 0, 0, 0, 0, 0, 29, 31, 0] {
        restart.step(now, Event::Started);
        now += Duration::from_secs(lasted_s);
        for Action::StartAfter(pause) in restart.step(now, Event::Ended) {
            pauses_ms.push(pause.as_millis());
            now += pause;
        }
    }
    let expected = [50, 100, 200, 400, 800, 1_600, 3_200, 5_000, 5_000, 50, 100];
    assert_eq!(pauses_ms, expected);
    // A clock that steps back makes no pause longer than the longest.
    let late = restart.step(Duration::ZERO, Event::Ended);
    assert_eq!(late, [Action::StartAfter(Duration::from_millis(200))]);
}

fn count(metrics: &Metrics, task: &str) -> Option<u32> {
    let prefix = format!("greengagecleat_task_ends_total{{task=\"{task}\"}} ");
    let page = metrics.render();
    let value = page.lines().find_map(|line| line.strip_prefix(&prefix));
    value.map(|value| value.parse().expect("a count"))
}

/// A task that panicked or returned was gone for good, and nothing told so.
#[tokio::test]
async fn a_task_that_panics_or_returns_is_started_again() {
    let metrics = Metrics::new();
    let tasks = Supervisor::new(&metrics);
    let starts = Arc::new(AtomicU32::new(0));
    let counted = starts.clone();
    let kept = tokio::spawn(tasks.keep("kept", move || {
        let number = counted.fetch_add(1, Ordering::Relaxed);
        async move {
            match number {
                0 => panic_any("injected"),
                1 => {}
                _ => std::future::pending().await,
            }
        }
    }));
    until(async || starts.load(Ordering::Relaxed) == 3).await;
    assert_eq!(count(&metrics, "kept"), Some(2));
    let mut failure = tasks.failure();
    tokio::spawn(tasks.watch("spare", async {}));
    tokio::spawn(tasks.guard("needed", async { panic_any("injected") }));
    let failed = timeout(TIMEOUT, failure.wait()).await;
    assert_eq!(failed.expect("a failure"), "needed");
    until(async || count(&metrics, "spare") == Some(1)).await;
    kept.abort();
}

/// The ends of a host that stops were taken for failures, or held its end up for a pause.
#[tokio::test]
async fn a_task_may_end_once_the_host_stops() {
    let metrics = Metrics::new();
    let tasks = Supervisor::new(&metrics);
    let failing = tokio::spawn(tasks.keep("failing", || async { panic_any("injected") }));
    until(async || count(&metrics, "failing") >= Some(3)).await;
    let before = count(&metrics, "failing");
    tasks.stop();
    let ended = timeout(Duration::from_millis(100), failing).await;
    ended.expect("no pause is waited for").expect("no panic");
    tasks.guard("needed", async {}).await;
    assert_eq!(count(&metrics, "needed"), None);
    assert_eq!(count(&metrics, "failing"), before);
}

/// A clock that panics while it is armed.
#[derive(Debug, Clone)]
struct Faulty {
    clock: Monotonic,
    is_armed: Arc<AtomicBool>,
    panics: Arc<AtomicU32>,
}

impl Clock for Faulty {
    fn now(&self) -> Duration {
        if self.is_armed.load(Ordering::Relaxed) {
            self.panics.fetch_add(1, Ordering::Relaxed);
            panic_any("injected");
        }
        self.clock.now()
    }

    fn wall(&self) -> SystemTime {
        self.clock.wall()
    }
}

async fn faulty_host(bed: &Bed) -> (Entry<Faulty>, Arc<AtomicBool>, Arc<AtomicU32>) {
    let clock = Faulty {
        clock: Monotonic::new(),
        is_armed: Arc::default(),
        panics: Arc::default(),
    };
    let (is_armed, panics) = (clock.is_armed.clone(), clock.panics.clone());
    let settings = settings("south-a", "south", bed.platform.address);
    let entry = Entry::start(settings, clock).await.expect("a host");
    (entry, is_armed, panics)
}

/// The service of the fleet or of limits was gone after a panic in it, and the host answered as if it
/// were there: it must fail as a whole, drain, and end.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_loses_a_task_for_good_says_so_and_drains() {
    let bed = Bed::start().await;
    let (entry, is_armed, _) = faulty_host(&bed).await;
    is_armed.store(true, Ordering::Relaxed);
    let failed = timeout(TIMEOUT, entry.failed_task()).await;
    assert_eq!(failed.expect("a failure"), "fleet");
    is_armed.store(false, Ordering::Relaxed);
    let drained = timeout(TIMEOUT, entry.drain()).await;
    assert_eq!(drained.expect("the drain ends"), 0);
}
