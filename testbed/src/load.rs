//! Simple loads of one call: closed loop over some connections, or open loop at a rate.

use {
    crate::{
        client::{Call, Caller, Events},
        run::result::{Quantiles, histogram},
    },
    hdrhistogram::Histogram,
    http_body_util::BodyExt,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{Instant, sleep_until, timeout},
    },
};

/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(60);

/// What came of a load.
#[derive(Debug, Clone)]
pub struct Measure {
    /// Answers with a good status, whole.
    pub good: u64,
    /// All others.
    pub bad: u64,
    /// Microseconds to the first piece of the body.
    pub first: Histogram<u64>,
    /// Microseconds to the end of the answer.
    pub whole: Histogram<u64>,
    /// Time that the load took.
    pub took: Duration,
}

/// A measure in numbers.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Answers with a good status, whole.
    pub good: u64,
    /// All others.
    pub bad: u64,
    /// Good answers a second.
    pub per_second: f64,
    /// Milliseconds to the first piece of the body.
    pub first_ms: Quantiles,
    /// Milliseconds to the end of the answer.
    pub whole_ms: Quantiles,
}

impl Default for Measure {
    fn default() -> Self {
        Self {
            good: 0,
            bad: 0,
            first: histogram(),
            whole: histogram(),
            took: Duration::ZERO,
        }
    }
}

impl Measure {
    /// The measure in numbers.
    pub fn summary(&self) -> Summary {
        Summary {
            good: self.good,
            bad: self.bad,
            per_second: self.good as f64 / self.took.as_secs_f64().max(f64::EPSILON),
            first_ms: Quantiles::of(&self.first),
            whole_ms: Quantiles::of(&self.whole),
        }
    }

    /// Adds another measure to this one.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.took += other.took;
        self.first.add(&other.first).expect("the same bounds");
        self.whole.add(&other.whole).expect("the same bounds");
    }

    fn note(&mut self, due: Instant, first: Option<Instant>) {
        let micros = |time: Duration| time.as_micros() as u64;
        let Some(first) = first else {
            self.bad += 1;
            return;
        };
        self.good += 1;
        self.first.saturating_record(micros(first - due));
        self.whole.saturating_record(micros(due.elapsed()));
    }
}

/// Sends a call over and over, `requests` times in all, over `connections` at once.
pub async fn closed(to: SocketAddr, call: &Call, connections: usize, requests: usize) -> Measure {
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..connections {
        let call = call.clone();
        tasks.spawn(async move {
            let caller = Caller::new(None);
            let mut measure = Measure::default();
            for _ in 0..requests / connections {
                let due = Instant::now();
                measure.note(due, once(&caller, to, &call).await);
            }
            measure
        });
    }
    let mut sum = Measure::default();
    while let Some(Ok(measure)) = tasks.join_next().await {
        sum.add(&measure);
    }
    sum.took = start.elapsed();
    sum
}

/// Sends a call `rate` times a second for some time, whether or not answers come; latency counts
/// from when a call was due.
pub async fn open(to: SocketAddr, call: &Call, rate: f64, length: Duration) -> Measure {
    let start = Instant::now();
    let caller = Caller::new(None);
    let measure = Arc::new(Mutex::new(Measure::default()));
    let mut tasks = JoinSet::new();
    for number in 0..(rate * length.as_secs_f64()) as u64 {
        let due = start + Duration::from_secs_f64(number as f64 / rate);
        sleep_until(due).await;
        let (caller, call, measure) = (caller.clone(), call.clone(), measure.clone());
        tasks.spawn(async move {
            let first = once(&caller, to, &call).await;
            measure.lock().unwrap().note(due, first);
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let mut sum = measure.lock().unwrap().clone();
    sum.took = start.elapsed();
    sum
}

/// Sends a call once; returns when its body began if it was answered in full.
async fn once(caller: &Caller, to: SocketAddr, call: &Call) -> Option<Instant> {
    timeout(PATIENCE, answered(caller, to, call)).await.ok()?
}

async fn answered(caller: &Caller, to: SocketAddr, call: &Call) -> Option<Instant> {
    let response = caller.send(to, call).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let streams = response
        .headers()
        .get("content-type")
        .is_some_and(|kind| kind == "text/event-stream");
    let mut body = response.into_body();
    let (mut first, mut ended) = (None, !streams);
    let mut events = Events::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.ok()?;
        first.get_or_insert_with(Instant::now);
        if streams && let Some(piece) = frame.data_ref() {
            ended |= events.push(piece).iter().any(|data| data == "[DONE]");
        }
    }
    if ended { first } else { None }
}
