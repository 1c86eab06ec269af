//! Runs a trial: sends the scheduled load to a fleet, injects faults at their times, and evaluates
//! the outcome.

pub mod attempt;
mod directory;
mod judge;
pub mod outcome;
pub mod result;

pub use {
    attempt::Sender,
    directory::Directory,
    judge::{Evidence, judge},
    outcome::Outcome,
    result::Report,
};

use {
    crate::{
        fleet::{Fleet, incident::Incident},
        workload::{self, Item},
    },
    std::{
        io,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{Instant, interval, sleep, sleep_until, timeout_at},
    },
};

/// Interval of progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Limit on the time to wait for outstanding answers after the last request.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(70);

/// The load and the faults of a trial.
#[derive(Debug, Clone)]
pub struct Work {
    /// Seed of the schedule.
    pub seed: u64,
    /// Duration of the load, which is also the length of a simulated day.
    pub length: Duration,
    /// Factor on the request rate.
    pub scale: f64,
    /// Faults in the form of the command line, `NAME@SECOND+SECONDS`.
    pub faults: Vec<String>,
    /// Time from when all hosts are ready until the first request, in which customers' token
    /// buckets fill.
    pub settle: Duration,
}

/// Default of [`Work::settle`], in seconds.
pub const SETTLE_SECONDS: u64 = 10;

/// Progress of a run.
#[derive(Debug, Default)]
pub struct Tally {
    /// Number of requests sent.
    pub sent: u64,
    /// Outcomes of the requests that have ended.
    pub outcomes: Vec<Outcome>,
}

/// Waits until buckets have filled, sends the load with its faults, and returns the report.
pub async fn trial(fleet: &mut Fleet, work: &Work) -> io::Result<Report> {
    let incidents: Vec<Incident> = work
        .faults
        .iter()
        .map(|text| text.parse().map_err(io::Error::other))
        .collect::<io::Result<_>>()?;
    let deployment = fleet.deployment.clone();
    let items = workload::schedule(&deployment, work.seed, work.length, work.scale);
    let items = Arc::new(items);
    let seconds = work.length.as_secs();
    println!(
        "waiting {} s for customers' token buckets to fill",
        work.settle.as_secs()
    );
    sleep(work.settle).await;
    println!("sending {} requests over {seconds} s", items.len());
    let outcomes = run(fleet, &items, &incidents).await?;
    let evidence = Evidence::of(fleet);
    let report = judge(&deployment, &evidence, &items, &outcomes, work.length);
    Ok(Report {
        seed: work.seed,
        faults: work.faults.clone(),
        ..report
    })
}

/// Sends each item to the fleet at its time, begins and ends the incidents, and returns the
/// outcomes in order of item number. Requests that did not end in time have no outcome.
pub async fn run(
    fleet: &mut Fleet,
    items: &Arc<Vec<Item>>,
    incidents: &[Incident],
) -> io::Result<Vec<Outcome>> {
    let sender = Arc::new(Sender::start(fleet).await);
    let tally = Arc::new(Mutex::new(Tally::default()));
    let start = Instant::now();
    let sending = tokio::spawn(send(sender, items.clone(), tally.clone(), start));
    let progress = tokio::spawn(progress(tally.clone(), start));
    let incident_result = run_incidents(fleet, incidents, start).await;
    let sent = sending.await;
    progress.abort();
    incident_result?;
    sent?;
    let mut outcomes = std::mem::take(&mut tally.lock().unwrap().outcomes);
    outcomes.sort_by_key(|outcome| outcome.number);
    Ok(outcomes)
}

async fn send(
    sender: Arc<Sender>,
    items: Arc<Vec<Item>>,
    tally: Arc<Mutex<Tally>>,
    start: Instant,
) {
    let mut running = JoinSet::new();
    for number in 0..items.len() {
        let (items, item) = (items.clone(), &items[number]);
        sleep_until(start + item.at).await;
        tally.lock().unwrap().sent += 1;
        let (sender, tally) = (sender.clone(), tally.clone());
        running.spawn(async move {
            let outcome = sender.send(&items[number], start).await;
            tally.lock().unwrap().outcomes.push(outcome);
        });
        while running.try_join_next().is_some() {}
    }
    let deadline = Instant::now() + LAST_ANSWER_TIMEOUT;
    while let Ok(Some(_)) = timeout_at(deadline, running.join_next()).await {}
}

/// Begins and ends each incident at its time.
async fn run_incidents(
    fleet: &mut Fleet,
    incidents: &[Incident],
    start: Instant,
) -> io::Result<()> {
    let begin = incidents.iter().map(|it| (it.at, true, it.kind));
    let end = incidents
        .iter()
        .map(|it| (it.at + it.lasts, false, it.kind));
    let mut moments: Vec<_> = begin.chain(end).collect();
    moments.sort_by_key(|(at, begins, _)| (*at, *begins));
    for (at, begins, kind) in moments {
        sleep_until(start + at).await;
        println!(
            "{:>4} s  {kind} {}",
            at.as_secs(),
            if begins { "begins" } else { "ends" }
        );
        if begins {
            fleet.begin_incident(kind).await?;
        } else {
            fleet.end_incident(kind).await?;
        }
    }
    Ok(())
}

async fn progress(tally: Arc<Mutex<Tally>>, start: Instant) {
    let mut ticks = interval(PROGRESS_INTERVAL);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        println!(
            "{:>4} s  {}",
            start.elapsed().as_secs(),
            tally.lock().unwrap().summary()
        );
    }
}

impl Tally {
    fn summary(&self) -> String {
        use outcome::Status;
        let count = |status| {
            self.outcomes
                .iter()
                .filter(|it| it.status == status)
                .count()
        };
        format!(
            "sent {:>6}  whole {:>6}  refused {:>5}  failed {:>4}  wrong {:>3}",
            self.sent,
            count(Status::Whole),
            count(Status::Refused),
            count(Status::Failed),
            count(Status::Wrong),
        )
    }
}
