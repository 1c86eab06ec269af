//! A run: the work is sent, faults strike, and the outcome is judged.

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

/// Time between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Longest wait for the last answers after the last request.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(70);

/// What a trial sends and what strikes it.
#[derive(Debug, Clone)]
pub struct Work {
    /// Seed of the work.
    pub seed: u64,
    /// Its length, which is also the length of a day.
    pub length: Duration,
    /// Factor on its rate.
    pub scale: f64,
    /// Faults, as on the command line.
    pub faults: Vec<String>,
    /// Time from when all hosts are ready until the first request, in which buckets fill.
    pub settle: Duration,
}

/// The settling time when nothing is said.
pub const SETTLE_SECONDS: u64 = 10;

/// What has been sent and answered so far.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// What came of those that have ended.
    pub outcomes: Vec<Outcome>,
}

/// Sends work to a fleet and judges what came of it.
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
        "letting customers' buckets fill for {} s",
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

/// Sends all items to a fleet, each at its time, strikes the incidents, and returns what came of
/// each item.
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

/// Begins and ends the incidents, each at its time.
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
