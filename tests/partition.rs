//! Hosts that are partitioned from upstreams while callers and the other hosts still reach them.

mod common;

use {
    common::{Bed, KOLLAM, ROUTES, Running, chat, until},
    futures::future::join_all,
    greengagecleat::net::{
        Network,
        gate::{Gate, Mode},
    },
    http::Method,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    testbed::{
        client::Call,
        raw::{self, Framing, Pause, Scissors},
    },
    tokio::time::{Instant, sleep},
};

/// Hosts with their regions.
const HOSTS: [(&str, &str); 4] = [
    ("south-a", "south"),
    ("south-b", "south"),
    ("south-c", "south"),
    ("north-a", "north"),
];
/// Upstreams of each pool.
const UPSTREAMS: usize = 4;
const STREAM: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"one \"}}]}\n\ndata: [DONE]\n\n";
const COMPLETION: &str = r#"{"choices":[{"message":{"content":"whole"}}]}"#;
const RECORD: &str = "a record";

/// Time between two calls at a host.
const INTERVAL: Duration = Duration::from_millis(60);
const CALM_TIME: Duration = Duration::from_secs(1);
/// Time from a partition until its hosts must serve as the others do.
const CONTACT_TIME: Duration = Duration::from_secs(5);
/// How long they are watched then.
const WATCHED_TIME: Duration = Duration::from_secs(3);
/// Time from the end of a partition until its hosts must serve again.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Length of a short cut.
const SHORT_TIME: Duration = Duration::from_millis(200);
/// Longest time that a refusal may take.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Share of the calls that may fail.
const MAX_FAILED_SHARE: f64 = 0.02;
/// Failed calls that are allowed on top.
const FAILED_SLACK: f64 = 2.0;

/// Hosts of two regions, each with the switch of its connections to upstreams.
struct Fleet {
    bed: Bed,
    hosts: Vec<(Running, Gate)>,
    /// Number of runs of each call that runs once.
    runs: Arc<Mutex<BTreeMap<String, usize>>>,
}

/// What became of a call.
#[derive(Debug)]
struct Outcome {
    host: &'static str,
    kind: &'static str,
    sent_after: Duration,
    took: Duration,
    is_served: bool,
    text: String,
}

impl Fleet {
    /// Starts the hosts. The routes have pools in these regions, whose upstreams close each
    /// connection after one answer unless they keep connections.
    async fn start(regions: &[&str], keeps_connections: bool) -> Self {
        let mut bed = Bed::start().await;
        bed.region_hosts = 3;
        let runs = Arc::default();
        let mut pools = String::new();
        for region in ["south", "north"] {
            for kind in ["engines", "plain"] {
                pools += &pool(kind, region);
                for number in 0..UPSTREAMS {
                    let address = upstream(keeps_connections, &runs).await;
                    pools += &format!(
                        "[[pool.upstream]]\nname = \"{kind}-{region}-{number}\"\n\
                         address = \"{address}\"\ndomain = \"{region}-1\"\n"
                    );
                }
            }
        }
        bed.platform.publish("pools", &pools);
        let names = |kind: &str| {
            let names = regions.iter().map(|region| format!("{kind}-{region}"));
            format!(
                "deadline_ms = 3000\npools = {:?}",
                names.collect::<Vec<_>>()
            )
        };
        let routes = ROUTES
            .replace("pools = [\"engines\"]", &names("engines"))
            .replace("pools = [\"plain\"]", &names("plain"));
        bed.platform.publish("routes", &routes);
        let mut hosts = Vec::new();
        for (name, region) in HOSTS {
            let gate = Gate::default();
            let network = Network::Gated(gate.clone());
            hosts.push((bed.host_on(name, region, network).await, gate));
        }
        let fleet = Self { bed, hosts, runs };
        for (host, _) in &fleet.hosts {
            fleet.bed.ready(host).await;
            for number in 0..4 {
                let (_, call, body) = call("ready", number);
                until(async || {
                    let answer = fleet.bed.send(host, KOLLAM, call.clone()).await;
                    answer.status == 200 && answer.body == body.as_bytes()
                })
                .await;
            }
        }
        fleet.runs.lock().unwrap().clear();
        fleet
    }

    /// Sets what passes between these hosts and all upstreams.
    fn set(&self, names: &[&str], mode: Mode) {
        for ((name, _), (_, gate)) in HOSTS.iter().zip(&self.hosts) {
            if names.contains(name) {
                gate.set(mode);
            }
        }
    }

    /// Sends calls to each host for this long, and returns what became of them.
    async fn ask(&self, phase: &str, time: Duration) -> Vec<Outcome> {
        let begun_at = Instant::now();
        let count = (time.as_millis() / INTERVAL.as_millis()) as usize;
        let hosts = HOSTS.iter().zip(&self.hosts);
        let asking = hosts.flat_map(|((name, _), (host, _))| {
            (0..count).map(move |number| async move {
                sleep(INTERVAL * number as u32).await;
                let (kind, call, body) = call(&format!("{phase}-{name}"), number);
                let sent_after = begun_at.elapsed();
                let answer = self.bed.send(host, KOLLAM, call).await;
                Outcome {
                    host: name,
                    kind,
                    sent_after,
                    took: begun_at.elapsed() - sent_after,
                    is_served: answer.status == 200 && answer.body == body.as_bytes(),
                    text: String::from_utf8_lossy(&answer.body).into_owned(),
                }
            })
        });
        join_all(asking).await
    }
}

fn pool(kind: &str, region: &str) -> String {
    format!(
        "\n[[pool]]\nname = \"{kind}-{region}\"\nregion = \"{region}\"\nslots = 64\n\
         fencing = \"checked\"\n"
    )
}

async fn upstream(
    keeps_connections: bool,
    runs: &Arc<Mutex<BTreeMap<String, usize>>>,
) -> SocketAddr {
    let runs = runs.clone();
    let answer = move |request: &raw::Request| {
        let is_streamed = String::from_utf8_lossy(&request.body).contains(r#""stream":true"#);
        let (kind, body) = match (request.target.starts_with("/v1/"), is_streamed) {
            (true, true) => ("text/event-stream", STREAM),
            (true, false) => ("application/json", COMPLETION),
            (false, _) => ("text/plain", RECORD),
        };
        if request.target.starts_with("/receipts/") {
            let mut runs = runs.lock().unwrap();
            *runs.entry(request.target.clone()).or_default() += 1;
        }
        let closing = Pause {
            framing: Framing::Close,
            after: None,
            length: Duration::ZERO,
        };
        raw::Answer {
            status: 200,
            headers: vec![
                ("content-type", kind.to_owned()),
                ("x-request-id", request.header("x-request-id").to_owned()),
            ],
            body: body.as_bytes().to_vec(),
            pause: (!keeps_connections).then_some(closing),
        }
    };
    raw::start(Scissors::default(), answer).await.unwrap()
}

/// A call with its kind and the body of its answer.
fn call(id: &str, number: usize) -> (&'static str, Call, &'static str) {
    match number % 4 {
        0 => (
            "lookup",
            Call::get(format!("/lookups/{id}-{number}")),
            RECORD,
        ),
        1 => {
            let mut receipt = Call::get(format!("/receipts/{id}-{number}"));
            receipt.method = Method::POST;
            ("receipt", receipt, RECORD)
        }
        2 => ("completion", chat("a question", 8, false), COMPLETION),
        _ => ("stream", chat("a question", 8, true), STREAM),
    }
}

/// The failed ones of these calls by what the caller got, for a message.
fn failures(outcomes: &[&Outcome]) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for outcome in outcomes.iter().filter(|outcome| !outcome.is_served) {
        let reason = outcome.text.split("\"message\":\"").nth(1);
        let reason = reason.and_then(|text| text.split('"').next());
        let seen = format!(
            "{} {} after {} s: {}",
            outcome.host,
            outcome.kind,
            outcome.took.as_secs(),
            reason.unwrap_or(&outcome.text)
        );
        *counts.entry(seen).or_default() += 1;
    }
    let lines = counts.iter();
    lines
        .map(|(seen, count)| format!("{count} x {seen}\n"))
        .collect()
}

/// Checks that few of these calls failed.
fn check(step: &str, outcomes: &[&Outcome]) {
    let failed = outcomes.iter().filter(|outcome| !outcome.is_served).count();
    let allowed = FAILED_SLACK + MAX_FAILED_SHARE * outcomes.len() as f64;
    assert!(!outcomes.is_empty(), "{step}: no call was made");
    assert!(
        failed as f64 <= allowed,
        "{step}: {failed} of {} calls failed, {allowed:.0} are allowed\n{}",
        outcomes.len(),
        failures(outcomes)
    );
}

/// Cuts some hosts off from all upstreams, and checks that their callers are served as the others
/// are, during the partition and after it, and that nothing runs twice.
async fn check_partition(mode: Mode, cut: &[&str], regions: &[&str]) {
    let fleet = Fleet::start(regions, mode != Mode::Refuse).await;
    let calm = fleet.ask("calm", CALM_TIME).await;
    check("before", &calm.iter().collect::<Vec<_>>());
    fleet.set(cut, mode);
    let outcomes = fleet.ask("cut", CONTACT_TIME + WATCHED_TIME).await;
    let (inside, outside): (Vec<_>, Vec<_>) = outcomes
        .iter()
        .filter(|outcome| outcome.sent_after >= CONTACT_TIME)
        .partition(|outcome| cut.contains(&outcome.host));
    check("hosts in reach", &outside);
    check("hosts that are cut off", &inside);
    fleet.set(cut, Mode::Open);
    sleep(RETURN_TIME).await;
    let after = fleet.ask("after", CALM_TIME).await;
    check("after", &after.iter().collect::<Vec<_>>());
    let runs = fleet.runs.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "ran twice: {twice:?}");
}

const SOUTH: [&str; 3] = ["south-a", "south-b", "south-c"];

/// Callers of a host that lost its links to all upstreams were refused, though its neighbours
/// served.
#[tokio::test]
async fn callers_of_a_host_whose_connections_hang_are_served_by_a_neighbour() {
    check_partition(Mode::Silent, &["south-a"], &["south"]).await;
}

#[tokio::test]
async fn callers_of_a_host_whose_connections_are_reset_are_served_by_a_neighbour() {
    check_partition(Mode::Reset, &["south-a"], &["south"]).await;
}

#[tokio::test]
async fn callers_of_a_host_that_opens_no_connection_are_served_by_a_neighbour() {
    check_partition(Mode::Refuse, &["south-a"], &["south"]).await;
}

#[tokio::test]
async fn callers_of_most_hosts_of_a_region_are_served_by_the_rest() {
    check_partition(Mode::Silent, &["south-a", "south-c"], &["south"]).await;
}

/// Hosts of which none reaches an upstream of its region refused what another region could serve.
#[tokio::test]
async fn callers_of_a_region_whose_connections_hang_are_served_by_another() {
    check_partition(Mode::Silent, &SOUTH, &["south", "north"]).await;
}

#[tokio::test]
async fn callers_of_a_region_whose_connections_are_reset_are_served_by_another() {
    check_partition(Mode::Reset, &SOUTH, &["south", "north"]).await;
}

#[tokio::test]
async fn callers_of_a_region_that_opens_no_connection_are_served_by_another() {
    check_partition(Mode::Refuse, &SOUTH, &["south", "north"]).await;
}

/// Calls that no host could serve were refused after seconds, or at their deadline.
#[tokio::test]
async fn calls_that_no_host_can_serve_are_refused_at_once() {
    let fleet = Fleet::start(&["south"], true).await;
    fleet.set(&SOUTH, Mode::Silent);
    let outcomes = fleet.ask("cut", CONTACT_TIME + WATCHED_TIME).await;
    let watched = outcomes
        .iter()
        .filter(|outcome| outcome.sent_after >= CONTACT_TIME);
    let slow: Vec<_> = watched
        .filter(|outcome| outcome.took > REFUSAL_TIME || !outcome.text.contains(r#""ran":"no""#))
        .collect();
    assert!(
        slow.is_empty(),
        "{} calls were not refused at once\n{}",
        slow.len(),
        failures(&slow)
    );
}

/// A cut of a moment that no other host could bridge refused calls after its end.
#[tokio::test]
async fn calls_after_a_short_cut_of_a_whole_region_are_served() {
    let fleet = Fleet::start(&["south"], true).await;
    fleet.set(&SOUTH, Mode::Reset);
    let (outcomes, ()) = tokio::join!(fleet.ask("cut", CALM_TIME * 2), async {
        sleep(SHORT_TIME).await;
        fleet.set(&SOUTH, Mode::Open);
    });
    let after = outcomes
        .iter()
        .filter(|outcome| outcome.sent_after > SHORT_TIME);
    check("after", &after.collect::<Vec<_>>());
}
