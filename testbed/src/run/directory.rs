//! The hosts that a caller uses. The list comes from `/v1/hosts` of the gateway itself and is
//! refreshed in the background.

use {
    crate::client::{Call, Caller},
    serde_json::Value,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        task::AbortHandle,
        time::{sleep, timeout},
    },
};

/// Bounds of the time for which a list is used before it is refreshed.
const MIN_TTL: Duration = Duration::from_secs(1);
const MAX_TTL: Duration = Duration::from_secs(10);

/// Time limit of one query.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A caller's list of hosts. A background task refreshes it until this handle is dropped.
#[derive(Debug)]
pub struct Directory {
    hosts: Arc<Mutex<Vec<SocketAddr>>>,
    task: AbortHandle,
}

impl Directory {
    /// Starts with the `known` hosts and queries them once before it returns.
    pub async fn start(caller: Caller, known: Vec<SocketAddr>) -> Self {
        let hosts = Arc::new(Mutex::new(known));
        let ttl = refresh(&caller, &hosts).await;
        let task = tokio::spawn(refresh_forever(caller, hosts.clone(), ttl)).abort_handle();
        Self { hosts, task }
    }

    /// The hosts to use, in order of preference.
    pub fn hosts(&self) -> Vec<SocketAddr> {
        self.hosts.lock().unwrap().clone()
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn refresh_forever(caller: Caller, hosts: Arc<Mutex<Vec<SocketAddr>>>, mut ttl: Duration) {
    loop {
        sleep(ttl).await;
        ttl = refresh(&caller, &hosts).await;
    }
}

/// Queries the known hosts in order until one answers; returns how long its list is valid.
async fn refresh(caller: &Caller, hosts: &Mutex<Vec<SocketAddr>>) -> Duration {
    let known = hosts.lock().unwrap().clone();
    for host in known {
        if let Some((listed, ttl)) = query_host(caller, host).await {
            *hosts.lock().unwrap() = listed;
            return ttl;
        }
    }
    MIN_TTL
}

async fn query_host(caller: &Caller, host: SocketAddr) -> Option<(Vec<SocketAddr>, Duration)> {
    let call = Call::get("/v1/hosts");
    let answer = timeout(ANSWER_TIMEOUT, caller.whole(host, &call)).await;
    let answer = answer.ok()?.ok()?;
    let body = answer.json();
    let rows = body.get("hosts")?.as_array()?;
    let address = |row: &Value| row.get("address")?.as_str()?.parse().ok();
    let listed: Vec<SocketAddr> = rows.iter().filter_map(address).collect();
    let seconds = body.get("valid_for_seconds").and_then(Value::as_f64)?;
    let ttl = Duration::try_from_secs_f64(seconds).ok()?;
    (!listed.is_empty()).then_some((listed, ttl.clamp(MIN_TTL, MAX_TTL)))
}
