//! A client takes a stream up again after the route was moved to another service.

use review_standins_2::*;
use std::{
    collections::BTreeSet,
    io::Write,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const AUTHORITY: &str = "desk.example";
const EVENTS: u64 = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(250);
const DEADLINE: Duration = Duration::from_secs(12);
const CLIENTS: usize = 6;

fn start_replica(
    store: &Store,
    record: &Record,
    id: &'static str,
    service: &'static str,
) -> (Registration, Process) {
    let listener = listen(own_ip(9));
    let address = listener.local_addr().unwrap();
    let record = record.clone();
    let process = Process::default();
    process.serve(listener, move |request, stream| {
        if request.header("x-target-instance") != id {
            write_answer(stream, 421, &[("X-Replica-Id", id)], b"")?;
            return Ok(true);
        }
        let request_id = request.header("x-request-id").to_owned();
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        record.line(format!("replica {id} of {service} runs {request_id} from event {}", after + 1));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: {request_id}\r\nX-Response-Seal: seal-{request_id}\r\nX-Weight-Versions: 1\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            let text = format!("id: {number}\ndata: {service} part {number}\n\n");
            write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    });
    (
        Registration::start(store, id, service, "south-a", "v1", address),
        process,
    )
}

fn configuration(version: u32, service: &str) -> String {
    let service_json = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/healthz","max_conns":360,"proto":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0,"engine":{{"slots":64,"kv_cap_tokens":222918,"kv_token_bytes":327680,"link_mbps":550000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-digest","host":"{AUTHORITY}","prefix":"/digest/","kind":"stream","timeout_ms":12000,"goal_ms":500,"prio":1,"service":"{service}","attempts":2,"public":true,"sticky":true,"resumable":true,"gap_target_ms":300,"home_regions":[]}}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[]}}"#,
        service_json("digest-lm"),
        service_json("query-lm")
    )
}

fn last_event(text: &str) -> Option<u64> {
    let end = text.rfind("\n\n")?;
    let ids = text[..end]
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    ids.last()?.parse().ok()
}

fn main() {
    let record = open_record();
    let folder = temporary_folder();
    let store = Store::start(own_ip(8));
    store.put("op/config", &configuration(7, "digest-lm"));
    let (_old, old_process) = start_replica(&store, &record, "i-digest", "digest-lm");
    let _new = start_replica(&store, &record, "i-query", "query-lm");
    let mut host = Host::prepare(&folder, "front-south-a-1", own_ip(1));
    let place = Place {
        zone: "south-a",
        region: "south",
        zones: &[("south-a", "south")],
    };
    host.write_settings(place, store.address, &[host.peers]);
    host.start();
    host.until_ready();
    thread::sleep(Duration::from_secs(2));
    let to = host.callers;
    let seen = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, seen) = (record.clone(), seen.clone());
            thread::spawn(move || {
                let until = Instant::now() + DEADLINE;
                let (mut got, mut first_id, mut is_complete) = (String::new(), None, false);
                for attempt in 0..3 {
                    let left = until.saturating_duration_since(Instant::now());
                    if left < Duration::from_millis(50) {
                        break;
                    }
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
                    let last = last_event(&got);
                    if let (Some(last), Some(first)) = (last, &first_id) {
                        request = request
                            .header("Last-Event-Id", last)
                            .header("Resumes", first);
                    }
                    record.line(format!("client {number} sends {id}, last event {last:?}"));
                    let reply = request.send(to, left);
                    let text = String::from_utf8_lossy(&reply.body).into_owned();
                    let data: Vec<_> = text
                        .lines()
                        .filter_map(|line| line.strip_prefix("data: "))
                        .collect();
                    record.line(format!(
                        "client {number} got {id}: status {:?}, whole {}, events {data:?}",
                        reply.status, reply.is_whole
                    ));
                    if reply.status == Some(200) {
                        let whole = text.rfind("\n\n").map_or("", |end| &text[..end + 2]);
                        if first_id.is_none() && !whole.is_empty() {
                            first_id = Some(id);
                        }
                        got.push_str(whole);
                        is_complete = reply.is_whole;
                        if is_complete {
                            break;
                        }
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    let asked = reply
                        .headers
                        .get("retry-after")
                        .and_then(|text| text.parse().ok());
                    thread::sleep(Duration::from_secs_f64(asked.unwrap_or(0.1_f64)).min(left / 3));
                }
                seen.lock().unwrap().push((number, got, is_complete));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(400));
    store.put("op/config", &configuration(8, "query-lm"));
    record.line("version 8 moves the route from digest-lm to query-lm");
    thread::sleep(Duration::from_millis(700));
    if has_trouble() {
        old_process.end();
        record.line("replica i-digest has crashed");
    }
    for client in clients {
        client.join().ok();
    }
    let (mut joined, mut complete) = (0, 0);
    for (number, got, is_complete) in seen.lock().unwrap().iter() {
        let data = got.lines().filter_map(|line| line.strip_prefix("data: "));
        let services: BTreeSet<_> = data.filter_map(|data| data.split(' ').next()).collect();
        complete += usize::from(*is_complete);
        if services.len() > 1 {
            joined += 1;
            record.line(format!(
                "client {number}: complete {is_complete}, JOINED from {services:?}"
            ));
        }
    }
    drop(host);
    std::fs::remove_dir_all(folder).ok();
    record.line(format!(
        "{joined} of {CLIENTS} streams joined, {complete} complete"
    ));
    println!("{joined} of {CLIENTS} streams joined from two services, {complete} complete");
    if joined > 0 {
        std::process::exit(1);
    }
    if !has_trouble() && complete < CLIENTS {
        std::process::exit(EXIT_NOT_RUN);
    }
}
