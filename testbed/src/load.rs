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
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// What came of a load.
#[derive(Debug, Clone)]
pub struct Measurement {
    /// Answers with a good status, whole.
    pub good: u64,
    /// All others.
    pub bad: u64,
    /// Microseconds to the first piece of the body.
    pub first: Histogram<u64>,
    /// Microseconds to the end of the answer.
    pub whole: Histogram<u64>,
    /// Time that the load took.
    pub elapsed: Duration,
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

impl Default for Measurement {
    fn default() -> Self {
        Self {
            good: 0,
            bad: 0,
            first: histogram(),
            whole: histogram(),
            elapsed: Duration::ZERO,
        }
    }
}

impl Measurement {
    /// The measure in numbers.
    pub fn summary(&self) -> Summary {
        Summary {
            good: self.good,
            bad: self.bad,
            per_second: self.good as f64 / self.elapsed.as_secs_f64().max(f64::EPSILON),
            first_ms: Quantiles::of(&self.first),
            whole_ms: Quantiles::of(&self.whole),
        }
    }

    /// Adds another measure to this one.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.elapsed += other.elapsed;
        self.first.add(&other.first).expect("the same bounds");
        self.whole.add(&other.whole).expect("the same bounds");
    }

    fn record(&mut self, due: Instant, first: Option<Instant>) {
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
pub async fn closed_loop(
    to: SocketAddr,
    call: &Call,
    connections: usize,
    requests: usize,
) -> Measurement {
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..connections {
        let call = call.clone();
        tasks.spawn(async move {
            let caller = Caller::new(None);
            let mut measurement = Measurement::default();
            for _ in 0..requests / connections {
                let due = Instant::now();
                measurement.record(due, send_once(&caller, to, &call).await);
            }
            measurement
        });
    }
    let mut sum = Measurement::default();
    while let Some(Ok(measurement)) = tasks.join_next().await {
        sum.add(&measurement);
    }
    sum.elapsed = start.elapsed();
    sum
}

/// Sends a call `rate` times a second for some time, whether or not answers come; latency counts
/// from when a call was due.
pub async fn open_loop(to: SocketAddr, call: &Call, rate: f64, length: Duration) -> Measurement {
    let start = Instant::now();
    let caller = Caller::new(None);
    let measurement = Arc::new(Mutex::new(Measurement::default()));
    let mut tasks = JoinSet::new();
    for number in 0..(rate * length.as_secs_f64()) as u64 {
        let due = start + Duration::from_secs_f64(number as f64 / rate);
        sleep_until(due).await;
        let (caller, call, measurement) = (caller.clone(), call.clone(), measurement.clone());
        tasks.spawn(async move {
            let first = send_once(&caller, to, &call).await;
            measurement.lock().unwrap().record(due, first);
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let mut sum = measurement.lock().unwrap().clone();
    sum.elapsed = start.elapsed();
    sum
}

/// Sends a call once; returns when its body began if it was answered in full.
async fn send_once(caller: &Caller, to: SocketAddr, call: &Call) -> Option<Instant> {
    timeout(ANSWER_TIMEOUT, send_and_read(caller, to, call))
        .await
        .ok()?
}

async fn send_and_read(caller: &Caller, to: SocketAddr, call: &Call) -> Option<Instant> {
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
