//! Stand-in for the weight store, from which engines fetch a model's weights. It serves fetches at
//! a limited rate and refuses others with status 429.

use {
    crate::{
        millis,
        serve::{self, Body, EPHEMERAL, Server},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Empty},
    hyper::{Request, Response, StatusCode, body::Incoming},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    serde::{Deserialize, Serialize},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Settings of the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Address to listen on.
    pub bind: SocketAddr,
    /// Shortest time between the starts of two served fetches.
    #[serde(with = "millis", rename = "interval_ms")]
    pub interval: Duration,
    /// Duration of a fetch.
    #[serde(with = "millis", rename = "transfer_ms")]
    pub transfer: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bind: EPHEMERAL,
            interval: Duration::from_secs(1),
            transfer: Duration::from_millis(500),
        }
    }
}

/// Totals since the store started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Fetches accepted.
    pub served: u64,
    /// Fetches refused because of the rate.
    pub refused: u64,
}

/// Namespace of [`Store::start`].
#[derive(Debug)]
pub struct Store;

/// Handle of a running store; dropping it stops the store.
#[derive(Debug)]
pub struct Running {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<State>,
    _server: Server,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    free_at: Mutex<Instant>,
    count: Mutex<Count>,
}

impl Store {
    /// Starts a store on `settings.bind`.
    pub async fn start(settings: Settings) -> io::Result<Running> {
        let state = Arc::new(State {
            settings,
            free_at: Mutex::new(Instant::now()),
            count: Mutex::default(),
        });
        let served = state.clone();
        let server = Server::start(state.settings.bind, move |request| {
            answer(served.clone(), request)
        })
        .await?;
        Ok(Running {
            address: server.address(),
            state,
            _server: server,
        })
    }
}

impl Running {
    /// Totals since the store started.
    pub fn count(&self) -> Count {
        *self.state.count.lock().unwrap()
    }
}

impl State {
    /// Accepts or refuses a fetch by the rate, and counts it.
    fn admit(&self) -> bool {
        let now = Instant::now();
        let mut free_at = self.free_at.lock().unwrap();
        let mut count = self.count.lock().unwrap();
        if now < *free_at {
            count.refused += 1;
            return false;
        }
        *free_at = now + self.settings.interval;
        count.served += 1;
        true
    }
}

async fn answer(state: Arc<State>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let path = request.uri().path();
    if path == "/control/count" {
        let count = *state.count.lock().unwrap();
        return Ok(serve::json(StatusCode::OK, &count));
    }
    if !path.starts_with("/weights/") {
        return Ok(serve::empty(StatusCode::NOT_FOUND));
    }
    if !state.admit() {
        return Ok(serve::empty(StatusCode::TOO_MANY_REQUESTS));
    }
    sleep(state.settings.transfer).await;
    Ok(serve::answer(
        StatusCode::OK,
        "application/octet-stream",
        "weights",
    ))
}

/// Fetches a version of a model's weights; returns whether the store served them completely.
pub async fn fetch(store: SocketAddr, model: &str, version: &str) -> bool {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let Ok(uri) = format!("http://{store}/weights/{model}/{version}").parse() else {
        return false;
    };
    let Ok(response) = client.get(uri).await else {
        return false;
    };
    let status = response.status();
    status.is_success() && response.into_body().collect().await.is_ok()
}
