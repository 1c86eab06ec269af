//! A stream whose replica crashes is resumed in another region, at a replica of another service.

use review_standins_2::*;
use std::{
    collections::BTreeSet,
    io::Write,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

const AUTHORITY: &str = "desk.example";
const EVENTS: u64 = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(12);
const CLIENTS: usize = 48;

/// Starts a replica whose text tells its service.
fn start_replica(
    store: &Store,
    record: &Record,
    id: &'static str,
    service: &'static str,
    zone: &str,
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
        Registration::start(store, id, service, zone, "v1", address),
        process,
    )
}

fn service_json(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/healthz","max_conns":360,"proto":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0,"engine":{{"slots":64,"kv_cap_tokens":222918,"kv_token_bytes":327680,"link_mbps":550000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}"#
    )
}

fn main() {
    let record = open_record();
    let folder = temporary_folder();
    let store = Store::start(own_ip(8));
    let configuration = format!(
        r#"{{"version":7,"routes":[{{"name":"r-digest","host":"{AUTHORITY}","prefix":"/digest/","kind":"stream","timeout_ms":12000,"goal_ms":500,"prio":1,"split":[{{"service":"digest-lm","weight":30}},{{"service":"query-lm","weight":70}}],"attempts":2,"public":true,"sticky":true,"resumable":true,"gap_target_ms":300,"home_regions":[]}}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[]}}"#,
        service_json("digest-lm"),
        service_json("query-lm")
    );
    store.put("op/config", &configuration);
    let (north, north_process) = start_replica(&store, &record, "i-n1", "digest-lm", "north-a");
    let _south = [
        start_replica(&store, &record, "i-s1", "digest-lm", "south-a"),
        start_replica(&store, &record, "i-s2", "digest-lm", "south-a"),
        start_replica(&store, &record, "i-s3", "digest-lm", "south-a"),
        start_replica(&store, &record, "i-s4", "query-lm", "south-a"),
    ];
    let zones = [("north-a", "north"), ("south-a", "south")];
    let mut hosts = [
        Host::prepare(&folder, "front-north-a-1", own_ip(1)),
        Host::prepare(&folder, "front-south-a-1", own_ip(2)),
    ];
    let seeds: Vec<_> = hosts.iter().map(|host| host.peers).collect();
    for (host, (zone, region)) in hosts.iter_mut().zip(zones) {
        host.write_settings(
            Place {
                zone,
                region,
                zones: &zones,
            },
            store.address,
            &seeds,
        );
        host.start();
    }
    for host in &hosts {
        host.until_ready();
    }
    thread::sleep(Duration::from_secs(4));
    let to = hosts[0].callers;
    let seen = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, seen) = (record.clone(), seen.clone());
            thread::sleep(Duration::from_millis(10));
            thread::spawn(move || {
                let id = format!("{number:08x}{:08x}", unix_millis() as u32);
                let mut request = Outgoing::new("POST", "/digest/1")
                    .header("Host", AUTHORITY)
                    .header("X-Request-Id", &id)
                    .header("X-Model", "m")
                    .header("X-Token-Usage", "300,60")
                    .header("X-Prompt-Prefix", format!("91bd{number:04x}:300"))
                    .header("X-Deadline-Ms", DEADLINE.as_millis());
                request.body = b"minutes".to_vec();
                record.line(format!("client {number} sends {id} to {to}"));
                let reply = request.send(to, DEADLINE);
                let text = String::from_utf8_lossy(&reply.body).into_owned();
                let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
                let data: Vec<_> = data.map(str::to_owned).collect();
                record.line(format!(
                    "client {number} got {id}: status {:?}, whole {}, events {data:?}",
                    reply.status, reply.is_whole
                ));
                seen.lock().unwrap().push((number, reply, data));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(900));
    if has_trouble() {
        north_process.end();
        record.line("replica i-n1 has crashed");
    }
    for client in clients {
        client.join().ok();
    }
    north.leave();
    let (mut joined, mut whole) = (0, 0);
    for (number, reply, data) in seen.lock().unwrap().iter() {
        let services: BTreeSet<_> = data
            .iter()
            .filter_map(|data| data.split(' ').next())
            .collect();
        let is_whole = reply.is_whole && reply.status == Some(200);
        whole += usize::from(is_whole);
        if services.len() > 1 {
            joined += 1;
            record.line(format!(
                "client {number}: whole {is_whole}, JOINED from {services:?}"
            ));
        }
    }
    drop(hosts);
    std::fs::remove_dir_all(folder).ok();
    record.line(format!(
        "{joined} of {CLIENTS} streams joined, {whole} whole"
    ));
    println!("{joined} of {CLIENTS} streams joined from two services, {whole} whole");
    if joined > 0 {
        std::process::exit(1);
    }
    if !has_trouble() && whole < CLIENTS {
        std::process::exit(EXIT_NOT_RUN);
    }
}
