//! Streams of two versions. The replicas that began a stream leave and exit while it runs, its caller
//! resumes it, and only replicas of another version are left: those of a release, while the operator
//! lowers the time-out of the route, or those of the service that the operator moves the route to.

use crate::{
    replica::{Profile, Replica},
    store::Store,
    trial::{Host, Trial},
};
use std::{io, thread, time::Duration};

const ZONES: [(&str, &str); 1] = [("cairo-a", "cairo")];
/// Time for which a replica that leaves serves on (`drain_ms`), and the little longer.
const DRAIN: Duration = Duration::from_millis(3_000);
const LONGER: Duration = Duration::from_millis(600);
/// How long callers wait for a stream in all.
const DEADLINE: Duration = Duration::from_millis(5_000);
const EVENTS: u32 = 40;
/// Time between two events.
const GAP: Duration = Duration::from_millis(110);
const STREAMS: usize = 9;
/// The route's time-outs.
const LONG_MS: u64 = 5_000;
const SHORT_MS: u64 = 2_000;

/// What makes the version that is left the only one that hosts take into account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The route's time-out is lowered while its service is released.
    Timeout,
    /// The route is moved to another service, and the first one is taken away.
    Service,
}

fn configuration(version: u64, timeout_ms: u64, service: &str) -> String {
    let services = ["cleat-serve", "cleat-next"].map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":360,\"proto\":\"h1\",\"tls\":false,\
             \"cold_s\":3.0,\"cold_per_s\":2.0,\"engine\":{{\"slots\":64,\"kv_cap_tokens\":222918}}}}"
        )
    });
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-digest\",\"host\":\"calls.example\",\"prefix\":\"/digest/\",\
         \"kind\":\"stream\",\"timeout_ms\":{timeout_ms},\"goal_ms\":1000,\"prio\":1,\"service\":\"{service}\",\
         \"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":300,\"home_regions\":[]}}],\
         \"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"tenant-1\",\
         \"api_keys\":[\"key-1\"],\"unit\":\"token\",\"plain_tokens\":200,\"rate_per_s\":4000000,\"burst\":4000000,\
         \"home_regions\":[]}}]}}",
        services.join(",")
    )
}

pub fn run(trial: &Trial, change: Change) -> io::Result<usize> {
    let store_address = trial.address(10, 8225);
    let store = Store::start(store_address)?;
    store.put("op/config", &configuration(10, LONG_MS, "cleat-serve"));
    let start = |number: u8, service: &str, build: &str| {
        let profile = Profile {
            id: format!("i-{number}"),
            address: trial.address(number, 8080),
            service: service.into(),
            zone: "cairo-a".into(),
            slots: 64,
            work: GAP * EVENTS,
            cold: Duration::from_secs(3),
            events: EVENTS,
            crash_rate: usize::MAX,
            build: build.into(),
        };
        Replica::start(profile, &store, trial)
    };
    let old = [
        start(4, "cleat-serve", "v1")?,
        start(5, "cleat-serve", "v1")?,
    ];
    if change == Change::Service {
        start(6, "cleat-next", "v2")?;
        start(7, "cleat-next", "v2")?;
    }
    let mut hosts = Vec::new();
    for number in 1..4 {
        hosts.push(Host::start(
            trial,
            number,
            "cairo-a",
            &ZONES,
            &[1, 2],
            store_address,
        )?);
    }
    for host in &hosts {
        host.wait_until_ready(Duration::from_secs(20))?;
    }
    trial.note("all hosts are ready");
    thread::sleep(Duration::from_secs(8));
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let begin = hosts[number % hosts.len()].endpoint.clone();
        let go_on = hosts[(number + 1) % hosts.len()].endpoint.clone();
        let trial = trial.clone();
        streams.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(20 * number as u64));
            let session = 0x5c1e_07a2_u64.wrapping_mul(number as u64 + 1);
            let prefix = format!("{session:x}:800,{:x}:400", session ^ 1 << 40);
            let mut headers = vec![
                ("X-Credential", "key-1"),
                ("X-Model", "m"),
                ("X-Token-Usage", "1200,225"),
                ("X-Prompt-Prefix", &*prefix),
            ];
            let began_at = trial.now();
            let (first, text, is_whole) =
                trial.ask_stream(&begin, "begins", "/digest/a", &headers, DEADLINE);
            let events = text.matches("id: ").count();
            trial.note(format!("{} brought {events} events from {}, whole: {is_whole}", first.id, first.host));
            if first.status != 200 || is_whole || events == 0 {
                return false;
            }
            let after = events.to_string();
            headers.push(("Last-Event-Id", &after));
            let left = DEADLINE.saturating_sub(trial.now() - began_at);
            let (second, rest, is_whole) =
                trial.ask_stream(&go_on, "goes on", "/digest/a", &headers, left);
            let is_joined = text.contains("v1 part") && rest.contains("v2 part");
            trial.note(format!(
                "{} goes on as {} at {} after {events}: status {}, {} events, whole: {is_whole}, joined from two versions: {is_joined}",
                first.id,
                second.id,
                second.host,
                second.status,
                rest.matches("id: ").count()
            ));
            is_joined
        }));
    }
    thread::sleep(Duration::from_millis(300));
    let (mut timeout_ms, mut service) = (LONG_MS, "cleat-serve");
    match change {
        Change::Timeout => {
            // The release: new replicas first, then the old ones leave.
            for number in [6, 7] {
                start(number, service, "v2")?.become_cold();
            }
            trial.note("the replicas of v2 have started");
            if trial.has_trouble {
                timeout_ms = SHORT_MS;
            }
        }
        Change::Service if trial.has_trouble => service = "cleat-next",
        Change::Service => {}
    }
    store.put("op/config", &configuration(11, timeout_ms, service));
    trial.note(format!(
        "version 11 with a time-out of {timeout_ms} ms and service {service} is acknowledged"
    ));
    thread::sleep(Duration::from_millis(200));
    for replica in &old {
        replica.unlist();
    }
    trial.note("the entries of the replicas of v1 are removed; they serve on");
    thread::sleep(DRAIN + LONGER);
    for replica in &old {
        replica.exit();
    }
    trial.note("the replicas of v1 have exited");
    let joined = streams
        .into_iter()
        .map(|stream| stream.join().unwrap_or(false));
    let joined = joined.filter(|is_joined| *is_joined).count();
    trial.note(format!(
        "ORDER: {joined} of {STREAMS} streams were joined from two versions"
    ));
    Ok(joined)
}
