//! Which host a caller uses: it asks the system, and goes on asking.

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

/// Bounds of the time for which an answer is used.
const SHORTEST_HOLD: Duration = Duration::from_secs(1);
const LONGEST_HOLD: Duration = Duration::from_secs(10);

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// What a caller knows of the hosts; it keeps asking until it is dropped.
#[derive(Debug)]
pub struct Directory {
    hosts: Arc<Mutex<Vec<SocketAddr>>>,
    task: AbortHandle,
}

impl Directory {
    /// A directory that begins with `known` hosts.
    pub async fn start(caller: Caller, known: Vec<SocketAddr>) -> Self {
        let hosts = Arc::new(Mutex::new(known));
        let hold = refresh(&caller, &hosts).await;
        let task = tokio::spawn(follow(caller, hosts.clone(), hold)).abort_handle();
        Self { hosts, task }
    }

    /// The hosts to use, in order.
    pub fn hosts(&self) -> Vec<SocketAddr> {
        self.hosts.lock().unwrap().clone()
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn follow(caller: Caller, hosts: Arc<Mutex<Vec<SocketAddr>>>, mut hold: Duration) {
    loop {
        sleep(hold).await;
        hold = refresh(&caller, &hosts).await;
    }
}

/// Asks the known hosts in order until one answers; returns how long the answer holds.
async fn refresh(caller: &Caller, hosts: &Mutex<Vec<SocketAddr>>) -> Duration {
    let known = hosts.lock().unwrap().clone();
    for host in known {
        if let Some((named, hold)) = ask(caller, host).await {
            *hosts.lock().unwrap() = named;
            return hold;
        }
    }
    SHORTEST_HOLD
}

async fn ask(caller: &Caller, host: SocketAddr) -> Option<(Vec<SocketAddr>, Duration)> {
    let call = Call::get("/v1/hosts");
    let answer = timeout(ANSWER_TIMEOUT, caller.whole(host, &call)).await;
    let answer = answer.ok()?.ok()?;
    let body = answer.json();
    let rows = body.get("hosts")?.as_array()?;
    let address = |row: &Value| row.get("address")?.as_str()?.parse().ok();
    let named: Vec<SocketAddr> = rows.iter().filter_map(address).collect();
    let seconds = body.get("valid_for_seconds").and_then(Value::as_f64)?;
    let hold = Duration::try_from_secs_f64(seconds).ok()?;
    (!named.is_empty()).then_some((named, hold.clamp(SHORTEST_HOLD, LONGEST_HOLD)))
}
