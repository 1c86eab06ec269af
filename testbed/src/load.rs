//! Load generators that repeat one call: closed loop over some connections, or open loop at a fixed
//! rate.

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

/// Time after which a call counts as failed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Counts and latency histograms of a load.
#[derive(Debug, Clone)]
pub struct Measurement {
    /// Complete answers with a success status.
    pub good: u64,
    /// All other calls: error statuses, broken or incomplete answers, timeouts.
    pub bad: u64,
    /// Microseconds to the first frame of the body.
    pub first: Histogram<u64>,
    /// Microseconds to the end of the body.
    pub whole: Histogram<u64>,
    /// Duration of the load.
    pub elapsed: Duration,
}

/// A measurement reduced to rates and quantiles.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Complete answers with a success status.
    pub good: u64,
    /// All other calls.
    pub bad: u64,
    /// Complete answers a second.
    pub per_second: f64,
    /// Milliseconds to the first frame of the body.
    pub first_ms: Quantiles,
    /// Milliseconds to the end of the body.
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
    /// Reduces the measurement to rates and quantiles.
    pub fn summary(&self) -> Summary {
        Summary {
            good: self.good,
            bad: self.bad,
            per_second: self.good as f64 / self.elapsed.as_secs_f64().max(f64::EPSILON),
            first_ms: Quantiles::of(&self.first),
            whole_ms: Quantiles::of(&self.whole),
        }
    }

    /// Adds the counts, times and histograms of another measurement.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.elapsed += other.elapsed;
        self.first
            .add(&other.first)
            .expect("both histograms have the same bounds");
        self.whole
            .add(&other.whole)
            .expect("both histograms have the same bounds");
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

/// Closed loop: each of `connections` callers sends the call again as soon as it has been answered,
/// `requests` times in all, rounded down to a multiple of `connections`.
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

/// Open loop: sends the call `rate` times a second, whether or not earlier ones were answered.
/// Latency counts from when a call was due, so that a slow server can't hide its queue.
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

/// Sends the call once; returns when its body began, or none when it was not answered in full.
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
