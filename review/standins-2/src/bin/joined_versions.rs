//! A stream that is resumed after all hosts were killed goes on at another version of the software.

use review_standins_2::*;
use std::{
    collections::BTreeSet,
    io::Write,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const SERVICE: &str = "digest-lm";
const AUTHORITY: &str = "desk.example";
const EVENTS: u64 = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(250);
/// How long clients wait, and the route's time limit.
const DEADLINE: Duration = Duration::from_secs(12);
const ROUTE_TIMEOUT_MS: u64 = 4_000;
const CLIENTS: usize = 12;
/// Tries of one client.
const MAX_TRIES: usize = 12;

fn event(version: &str, number: u64) -> String {
    format!("id: {number}\ndata: {version} part {number}\n\n")
}

/// Starts a replica whose text tells its version.
fn start_replica(
    store: &Store,
    record: &Record,
    id: &'static str,
    version: &'static str,
) -> Registration {
    let listener = listen(own_ip(9));
    let address = listener.local_addr().unwrap();
    let record = record.clone();
    serve(listener, move |request, stream| {
        if request.header("x-target-instance") != id && request.header("x-target-instance") != "" {
            write_answer(stream, 421, &[("X-Replica-Id", id)], b"")?;
            return Ok(true);
        }
        let request_id = request.header("x-request-id").to_owned();
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        record.line(format!(
            "replica {id} {version} runs {request_id} from event {}",
            after + 1
        ));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: {request_id}\r\nX-Response-Seal: seal-{request_id}\r\nX-Weight-Versions: 1\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            let text = event(version, number);
            if write!(stream, "{:x}\r\n{text}\r\n", text.len()).is_err() {
                record.line(format!(
                    "replica {id} {version} stops {request_id}, its connection has ended"
                ));
                return Ok(false);
            }
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    });
    Registration::start(store, id, SERVICE, "south-a", version, address)
}

/// What one client has got of its stream, over all of its tries.
#[derive(Debug, Default)]
struct Seen {
    text: String,
    is_complete: bool,
}

/// Number of the last whole event in a text.
fn last_event(text: &str) -> Option<u64> {
    let end = text.rfind("\n\n")?;
    let ids = text[..end]
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    ids.last()?.parse().ok()
}

/// Asks for a stream and takes it up again where it breaks, within the deadline, as clients may.
fn run_client(number: usize, hosts: &[SocketAddr], record: &Record) -> Seen {
    let until = Instant::now() + DEADLINE;
    let mut seen = Seen::default();
    let mut first_id = None;
    for attempt in 0..MAX_TRIES {
        let left = until.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(50) {
            break;
        }
        let host = hosts[(number + attempt) % hosts.len()];
        let id = format!("{number:04x}{attempt:04x}{:08x}", unix_millis() as u32);
        let mut request = Outgoing::new("POST", "/digest/1")
            .header("Host", AUTHORITY)
            .header("X-Request-Id", &id)
            .header("X-Model", "m")
            .header("X-Token-Usage", "300,60")
            .header(
                "X-Prompt-Prefix",
                format!("5c1e07a2:100,91bd{number:04x}:200"),
            )
            .header("X-Deadline-Ms", left.as_millis());
        request.body = b"minutes".to_vec();
        let last = last_event(&seen.text);
        if let Some(last) = last {
            request = request.header("Last-Event-Id", last);
            if let Some(first) = &first_id {
                request = request.header("Resumes", first);
            }
        }
        record.line(format!(
            "client {number} sends {id} to {host}, last event {last:?}"
        ));
        let reply = request.send(host, left);
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        record.line(format!(
            "client {number} got {id}: status {:?}, whole {}, events {:?}",
            reply.status,
            reply.is_whole,
            text.lines()
                .filter_map(|line| line.strip_prefix("data: "))
                .collect::<Vec<_>>()
        ));
        if reply.status == Some(200) {
            // An event that broke off is left out.
            let whole = text.rfind("\n\n").map_or("", |end| &text[..end + 2]);
            if first_id.is_none() && !whole.is_empty() {
                first_id = Some(id);
            }
            seen.text.push_str(whole);
            if reply.is_whole {
                seen.is_complete = true;
                break;
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        let asked = reply
            .headers
            .get("retry-after")
            .and_then(|text| text.parse().ok());
        let pause = Duration::from_secs_f64(asked.unwrap_or(0.3_f64).clamp(0.1, 30.0));
        thread::sleep(pause.min(left / 3));
    }
    seen
}

fn main() {
    let record = open_record();
    let folder = temporary_folder();
    let store = Store::start(own_ip(8));
    let configuration = format!(
        r#"{{"version":7,"routes":[{{"name":"r-digest","host":"{AUTHORITY}","prefix":"/digest/","kind":"stream","timeout_ms":{ROUTE_TIMEOUT_MS},"goal_ms":500,"prio":1,"service":"{SERVICE}","attempts":2,"public":true,"sticky":true,"resumable":true,"gap_target_ms":300,"home_regions":[]}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_conns":360,"proto":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0,"engine":{{"slots":16,"kv_cap_tokens":222918,"kv_token_bytes":327680,"link_mbps":550000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[]}}"#
    );
    store.put("op/config", &configuration);
    let old = start_replica(&store, &record, "i-old", "v1");
    let mut hosts: Vec<_> = (1..=2)
        .map(|number| Host::prepare(&folder, &format!("front-south-a-{number}"), own_ip(number)))
        .collect();
    let seeds: Vec<_> = hosts.iter().map(|host| host.peers).collect();
    let place = Place {
        zone: "south-a",
        region: "south",
        zones: &[("south-a", "south")],
    };
    for host in &mut hosts {
        host.write_settings(place, store.address, &seeds);
        host.start();
    }
    for host in &hosts {
        host.until_ready();
    }
    thread::sleep(Duration::from_secs(7));
    // The release: the new replica starts first, then the old one's entry is removed.
    record.line("streams begin");
    let addresses: Vec<_> = hosts.iter().map(|host| host.callers).collect();
    let seen = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (addresses, record, seen) = (addresses.clone(), record.clone(), seen.clone());
            thread::spawn(move || {
                let got = run_client(number, &addresses, &record);
                seen.lock().unwrap().push((number, got));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(600));
    let _new = start_replica(&store, &record, "i-new", "v2");
    record.line("replica i-new v2 is ready");
    thread::sleep(Duration::from_millis(300));
    // It serves on for as long as a draining one.
    old.leave();
    record.line("the entry of replica i-old v1 is removed");
    thread::sleep(Duration::from_millis(300));
    if has_trouble() {
        for host in &mut hosts {
            host.kill();
        }
        record.line("all hosts are killed");
        thread::sleep(Duration::from_secs(1));
        for host in &mut hosts {
            host.start();
        }
        record.line("all hosts start again");
    }
    for client in clients {
        client.join().ok();
    }
    let mut joined = 0;
    let mut complete = 0;
    for (number, seen) in seen.lock().unwrap().iter() {
        let data = seen
            .text
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        let versions: BTreeSet<_> = data.filter_map(|data| data.split(' ').next()).collect();
        let verdict = if versions.len() > 1 {
            joined += 1;
            "JOINED from two versions"
        } else {
            "of one version"
        };
        complete += usize::from(seen.is_complete);
        record.line(format!(
            "client {number}: complete {}, {versions:?}: {verdict}",
            seen.is_complete
        ));
    }
    for host in &hosts {
        for line in host.log_lines("\"event\":\"origin\"") {
            record.line(format!("log of {}: {line}", host.name));
        }
    }
    drop(hosts);
    std::fs::remove_dir_all(folder).ok();
    record.line(format!(
        "{joined} of {CLIENTS} streams joined, {complete} complete"
    ));
    println!("{joined} of {CLIENTS} streams joined from two versions, {complete} complete");
    if joined > 0 {
        std::process::exit(1);
    }
    if !has_trouble() && complete < CLIENTS {
        std::process::exit(EXIT_NOT_RUN);
    }
}
