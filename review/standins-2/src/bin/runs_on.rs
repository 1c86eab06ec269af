//! A stream whose replica has preempted it is taken up at another replica, while the first one still works
//! on it.

use review_standins_2::*;
use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::TcpStream,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const SERVICE: &str = "digest-lm";
const AUTHORITY: &str = "desk.example";
const EVENTS: u64 = 24;
/// Tokens in an event.
const STRIDE: u32 = 6;
/// Time of a token at a replica that reads other prompts in between, and at one that has just started.
const TOKEN: Duration = Duration::from_millis(20);
const SLOW_TOKEN: Duration = Duration::from_millis(100);
/// How long a replica that has just started is slow.
const SLOW_FOR: Duration = Duration::from_secs(4);
/// How long the first replica leaves a preempted request waiting, and reads it in again.
const PREEMPTED: Duration = Duration::from_millis(600);
const READ_AGAIN: Duration = Duration::from_millis(2_400);
const PREEMPTED_AFTER: u64 = 6;
const DEADLINE: Duration = Duration::from_secs(12);
const CLIENTS: usize = 4;
/// How long a replica may work on after the request goes on at another one.
const OVERLAP: Duration = Duration::from_millis(400);

/// The run of one request at one replica.
#[derive(Debug, Clone)]
struct Run {
    replica: &'static str,
    after: u64,
    /// When its first token was made.
    began_at: Instant,
    ended_at: Option<Instant>,
}

type Runs = Arc<Mutex<BTreeMap<String, Vec<Run>>>>;

/// Waits for a time; false if the connection has ended meanwhile.
fn works(stream: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    let mut byte = [0];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        stream
            .set_read_timeout(Some(
                left.min(Duration::from_millis(10))
                    .max(Duration::from_millis(1)),
            ))
            .ok();
        match (&mut &*stream).read(&mut byte) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => return false,
        }
    }
}

fn start_replica(
    store: &Store,
    record: &Record,
    runs: &Runs,
    id: &'static str,
    is_slow: bool,
    preempts: bool,
) -> Registration {
    let started_at = Instant::now();
    let token = move || {
        if is_slow && started_at.elapsed() < SLOW_FOR {
            SLOW_TOKEN
        } else {
            TOKEN
        }
    };
    let listener = listen(own_ip(9));
    let address = listener.local_addr().unwrap();
    let (record, runs) = (record.clone(), runs.clone());
    serve(listener, move |request, stream| {
        if request.header("x-target-instance") != id {
            write_answer(stream, 421, &[("X-Replica-Id", id)], b"")?;
            return Ok(true);
        }
        let request_id = request.header("x-request-id").to_owned();
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let key = request_id.clone();
        let end = |why: &str| {
            let mut runs = runs.lock().unwrap();
            let run = runs
                .get_mut(&key)
                .and_then(|runs| runs.iter_mut().rev().find(|run| run.replica == id));
            if let Some(run) = run {
                run.ended_at = Some(Instant::now());
            }
            record.line(format!("replica {id} ends its work on {key}: {why}"));
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: {request_id}\r\nX-Response-Seal: seal-{request_id}\r\nX-Weight-Versions: 1\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=EVENTS {
            for part in 0..STRIDE {
                if !works(stream, token()) {
                    end("its connection has ended");
                    return Ok(false);
                }
                if number == after + 1 && part == 0 {
                    record.line(format!(
                        "replica {id} has made the first token of {request_id} after event {after}"
                    ));
                    let run = Run {
                        replica: id,
                        after,
                        began_at: Instant::now(),
                        ended_at: None,
                    };
                    runs.lock()
                        .unwrap()
                        .entry(request_id.clone())
                        .or_default()
                        .push(run);
                }
            }
            let text = format!("id: {number}\ndata: part {number}\n\n");
            if write!(stream, "{:x}\r\n{text}\r\n", text.len()).is_err() {
                end("its connection has ended");
                return Ok(false);
            }
            if preempts && after == 0 && number == PREEMPTED_AFTER {
                record.line(format!("replica {id} preempts {request_id}"));
                let mut goes_on = works(stream, PREEMPTED);
                if goes_on {
                    record.line(format!("replica {id} reads {request_id} in again"));
                    goes_on = works(stream, READ_AGAIN);
                }
                if !goes_on {
                    end("its connection has ended");
                    return Ok(false);
                }
            }
        }
        stream.write_all(b"0\r\n\r\n")?;
        end("the stream is complete");
        Ok(false)
    });
    Registration::start(store, id, SERVICE, "south-a", "v1", address)
}

fn main() {
    let record = open_record();
    let folder = temporary_folder();
    let store = Store::start(own_ip(8));
    let configuration = format!(
        r#"{{"version":7,"routes":[{{"name":"r-digest","host":"{AUTHORITY}","prefix":"/digest/","kind":"stream","timeout_ms":12000,"goal_ms":500,"prio":1,"service":"{SERVICE}","attempts":2,"public":true,"sticky":true,"resumable":true,"gap_target_ms":300,"home_regions":[]}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_conns":360,"proto":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0,"engine":{{"slots":64,"kv_cap_tokens":222918,"kv_token_bytes":327680,"link_mbps":550000.0,"moves":true,"backups":true,"stride":{STRIDE},"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[]}}"#
    );
    store.put("op/config", &configuration);
    let runs = Runs::default();
    let trouble = has_trouble();
    let _first = start_replica(&store, &record, &runs, "i-first", false, trouble);
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
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::sleep(Duration::from_millis(30));
            thread::spawn(move || {
                let id = format!("{number:08x}{:08x}", unix_millis() as u32);
                let mut request = Outgoing::new("POST", "/digest/1")
                    .header("Host", AUTHORITY)
                    .header("X-Request-Id", &id)
                    .header("X-Model", "m")
                    .header("X-Token-Usage", "300,200")
                    .header(
                        "X-Prompt-Prefix",
                        format!("5c1e07a2:100,91bd{number:04x}:200"),
                    )
                    .header("X-Deadline-Ms", DEADLINE.as_millis());
                request.body = b"minutes".to_vec();
                record.line(format!("client {number} sends {id}"));
                let reply = request.send(to, DEADLINE);
                let text = String::from_utf8_lossy(&reply.body).into_owned();
                let events = text
                    .lines()
                    .filter(|line| line.starts_with("data: "))
                    .count();
                record.line(format!(
                    "client {number} got {id}: status {:?}, whole {}, {events} events",
                    reply.status, reply.is_whole
                ));
                reply.is_whole && events as u64 == EVENTS
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    let _second = start_replica(&store, &record, &runs, "i-second", trouble, false);
    record.line("replica i-second has started");
    let whole = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .filter(|whole| *whole)
        .count();
    thread::sleep(Duration::from_millis(300));
    let mut doubled = 0;
    for (id, runs) in runs.lock().unwrap().iter() {
        for (at, run) in runs.iter().enumerate() {
            for before in &runs[..at] {
                let ended_at = before.ended_at.unwrap_or_else(Instant::now);
                let overlap = ended_at.saturating_duration_since(run.began_at);
                record.line(format!(
                    "{id} goes on at {} after event {}; {} works on for {} ms",
                    run.replica,
                    run.after,
                    before.replica,
                    overlap.as_millis()
                ));
                doubled += usize::from(overlap > OVERLAP);
            }
        }
    }
    drop(host);
    std::fs::remove_dir_all(folder).ok();
    record.line(format!(
        "{doubled} of {CLIENTS} requests ran at two replicas for over {} ms, {whole} whole",
        OVERLAP.as_millis()
    ));
    println!(
        "{doubled} of {CLIENTS} requests ran at two replicas for over {} ms, {whole} streams whole",
        OVERLAP.as_millis()
    );
    if doubled > 0 {
        std::process::exit(1);
    }
    if !trouble && whole < CLIENTS {
        std::process::exit(EXIT_NOT_RUN);
    }
}
