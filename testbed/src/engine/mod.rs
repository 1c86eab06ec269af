//! Stand-in for a model engine. It models continuous batching, a limited prefix cache, request
//! priorities, resume and cancellation, and serves load reports that lag, cache events that lag and
//! get lost, and orders with or without a check of the fencing number.

mod answer;
mod batch;
pub mod cache;
pub mod order;
mod routes;
mod settings;

pub(crate) use routes::{set_fault, with_request_id};
pub use settings::Settings;

use {
    crate::{fault, seen, serve::Server},
    batch::Batch,
    order::Control,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::Notify,
        task::AbortHandle,
        time::{Instant, sleep},
    },
};

/// Pause after a step in which no sequence advanced, and shortest interval of load reports.
const IDLE_STEP: Duration = Duration::from_millis(2);

/// Namespace of [`Engine::start`].
#[derive(Debug)]
pub struct Engine;

/// Handle of a running engine; dropping it stops the engine.
#[derive(Debug)]
pub struct Running {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<State>,
    _server: Server,
    tasks: [AbortHandle; 2],
}

/// A load report, as served at `/load`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// When the report was made, in milliseconds since the Unix epoch by the engine's clock.
    pub at_ms: u64,
    /// Number of running sequences.
    pub running: usize,
    /// Number of waiting sequences.
    pub waiting: usize,
    /// Largest number of running sequences.
    pub slots: usize,
    /// Names of the loaded models.
    pub models: Vec<String>,
    /// Version of the first loaded model; empty when none is loaded.
    pub version: String,
    /// Whether the engine refuses new requests.
    pub draining: bool,
}

/// Totals since the engine started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Completion requests received, refused ones included.
    pub requests: u64,
    /// Tokens generated in all answers.
    pub tokens: u64,
    /// Sequences generated to their end.
    pub finished: u64,
    /// Running sequences removed because their caller had gone.
    pub cancelled: u64,
    /// Prompt tokens of admitted sequences.
    pub prompt_tokens: u64,
    /// Those among the prompt tokens that were cached.
    pub cached_tokens: u64,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    origin: Instant,
    batch: Mutex<Batch>,
    work: Notify,
    control: Mutex<Control>,
    load: Mutex<Load>,
    count: Mutex<Count>,
    runs: Mutex<BTreeMap<u64, u32>>,
    fault: fault::Switch,
    seen: seen::Journal,
}

impl Engine {
    /// Starts an engine on `settings.bind`.
    pub async fn start(settings: Settings) -> io::Result<Running> {
        let state = Arc::new(State::new(settings));
        let served = state.clone();
        let server = Server::start(state.settings.bind, move |request| {
            routes::answer(served.clone(), request)
        })
        .await?;
        let tasks = [
            tokio::spawn(run(state.clone())).abort_handle(),
            tokio::spawn(refresh_load(state.clone())).abort_handle(),
        ];
        Ok(Running {
            address: server.address(),
            state,
            _server: server,
            tasks,
        })
    }
}

impl Running {
    /// Sets the fault to inject, or clears it with none.
    pub fn fault(&self, order: Option<fault::Order>) {
        self.state.fault.set(order);
    }

    /// The most recent completion requests that it received.
    pub fn seen(&self) -> Vec<seen::Seen> {
        self.state.seen.all()
    }

    /// Totals since the engine started.
    pub fn count(&self) -> Count {
        self.state.count()
    }

    /// How many times each prompt was accepted, by the prompt's hash (`text::hash`).
    pub fn runs(&self) -> BTreeMap<u64, u32> {
        self.state.runs.lock().unwrap().clone()
    }

    /// The current load, without the lag of reports.
    pub fn load(&self) -> Load {
        self.state.current_load()
    }

    /// All orders that it received, carried out or refused.
    pub fn orders(&self) -> Vec<order::Entry> {
        self.state.control.lock().unwrap().entries.clone()
    }

    /// Empties the prefix cache, as a restart does.
    pub fn clear_cache(&self) {
        self.state.batch.lock().unwrap().cache.clear();
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

impl State {
    fn new(settings: Settings) -> Self {
        let control = Control::new(&settings);
        let load = Load {
            at_ms: 0,
            running: 0,
            waiting: 0,
            slots: settings.slots,
            models: settings.models.clone(),
            version: settings.version.clone(),
            draining: false,
        };
        Self {
            origin: Instant::now(),
            batch: Mutex::new(Batch::new(&settings)),
            work: Notify::new(),
            control: Mutex::new(control),
            load: Mutex::new(load),
            count: Mutex::default(),
            runs: Mutex::default(),
            fault: fault::Switch::default(),
            seen: seen::Journal::default(),
            settings,
        }
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn current_load(&self) -> Load {
        let batch = self.batch.lock().unwrap();
        let control = self.control.lock().unwrap();
        Load {
            at_ms: unix_ms(),
            running: batch.running(),
            waiting: batch.waiting(),
            slots: self.settings.slots,
            models: control.models.keys().cloned().collect(),
            version: control.version(),
            draining: control.draining,
        }
    }

    fn count(&self) -> Count {
        let batch = self.batch.lock().unwrap();
        Count {
            prompt_tokens: batch.prompt_tokens,
            cached_tokens: batch.cached_tokens,
            ..*self.count.lock().unwrap()
        }
    }

    /// Starts a step by admitting waiting sequences; returns the step's duration, or none when no
    /// sequence runs.
    fn admit(&self) -> Option<Duration> {
        let mut batch = self.batch.lock().unwrap();
        let computed = batch.admit(self.now(), self.settings.slots);
        let running = u32::try_from(batch.running()).unwrap_or(u32::MAX);
        if running == 0 {
            return None;
        }
        let decode = self.settings.step + self.settings.step_per_sequence * running;
        let prefill = self.settings.prefill_per_token * computed;
        Some((decode + prefill) * self.fault.factor())
    }

    /// Ends a step by decoding; returns whether any sequence advanced or ended.
    fn decode(&self) -> bool {
        let progress = self.batch.lock().unwrap().decode();
        let mut count = self.count.lock().unwrap();
        count.tokens += progress.tokens;
        count.finished += progress.finished;
        count.cancelled += progress.cancelled;
        progress.tokens + progress.finished + progress.cancelled > 0
    }
}

/// Runs steps for as long as there is work, and otherwise waits for a request.
async fn run(state: Arc<State>) {
    loop {
        let Some(step) = state.admit() else {
            state.work.notified().await;
            continue;
        };
        if step.is_zero() {
            tokio::task::yield_now().await;
        } else {
            sleep(step).await;
        }
        if !state.decode() {
            sleep(IDLE_STEP).await;
        }
    }
}

/// Refreshes the load report every `load_lag`, so that a served report may be that old.
async fn refresh_load(state: Arc<State>) {
    loop {
        *state.load.lock().unwrap() = state.current_load();
        sleep(state.settings.load_lag.max(IDLE_STEP)).await;
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
