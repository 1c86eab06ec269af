//! A route is split between two services of different versions. A host is killed while streams run
//! through it, and their callers resume them at other hosts.

use crate::{
    replica::{Profile, Replica},
    store::Store,
    trial::{Host, Trial},
};
use std::{io, thread, time::Duration};

const ZONES: [(&str, &str); 1] = [("cairo-a", "cairo")];
/// How long callers wait for a stream in all.
const DEADLINE: Duration = Duration::from_millis(5_000);
const EVENTS: u32 = 30;
/// Time between two events.
const GAP: Duration = Duration::from_millis(100);
const STREAMS: usize = 16;

fn configuration() -> String {
    let services = ["cleat-serve", "cleat-next"].map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":360,\"proto\":\"h1\",\"tls\":false,\
             \"cold_s\":3.0,\"cold_per_s\":2.0,\"engine\":{{\"slots\":64,\"kv_cap_tokens\":222918}}}}"
        )
    });
    format!(
        "{{\"version\":10,\"routes\":[{{\"name\":\"r-digest\",\"host\":\"calls.example\",\"prefix\":\"/digest/\",\
         \"kind\":\"stream\",\"timeout_ms\":5000,\"goal_ms\":1000,\"prio\":1,\"split\":[{{\"service\":\"cleat-serve\",\
         \"weight\":50}},{{\"service\":\"cleat-next\",\"weight\":50}}],\"attempts\":2,\"public\":false,\"sticky\":true,\
         \"resumable\":true,\"gap_target_ms\":300,\"home_regions\":[]}}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"unit\":\"token\",\"plain_tokens\":200,\
         \"rate_per_s\":4000000,\"burst\":4000000,\"home_regions\":[]}}]}}",
        services.join(",")
    )
}

pub fn run(trial: &Trial) -> io::Result<usize> {
    let store_address = trial.address(10, 8225);
    let store = Store::start(store_address)?;
    store.put("op/config", &configuration());
    for (number, service, build) in [
        (4, "cleat-serve", "v1"),
        (5, "cleat-serve", "v1"),
        (6, "cleat-next", "v2"),
        (7, "cleat-next", "v2"),
    ] {
        let profile = Profile {
            id: format!("i-{number}"),
            address: trial.address(number, 8080),
            service: service.into(),
            zone: "cairo-a".into(),
            slots: 64,
            work: GAP * EVENTS,
            cold: Duration::ZERO,
            events: EVENTS,
            crash_rate: usize::MAX,
            build: build.into(),
        };
        Replica::start(profile, &store, trial)?;
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
    let begin = hosts[0].endpoint.clone();
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let go_on = hosts[1 + number % 2].endpoint.clone();
        let (trial, begin) = (trial.clone(), begin.clone());
        streams.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(20 * number as u64));
            // A prompt that shares no part with others.
            let prefix = format!("{:x}:1200", 0x5c1e_07a2_u64.wrapping_mul(number as u64 + 1));
            let mut headers = vec![
                ("X-Credential", "key-1"),
                ("X-Model", "m"),
                ("X-Token-Usage", "1200,150"),
                ("X-Prompt-Prefix", &*prefix),
            ];
            let began_at = trial.now();
            let (first, text, is_whole) =
                trial.ask_stream(&begin, "begins", "/digest/a", &headers, DEADLINE);
            let events = text.matches("id: ").count();
            trial.note(format!(
                "{} brought {events} events from {}, whole: {is_whole}",
                first.id, first.host
            ));
            if first.status != 200 || is_whole || events == 0 {
                return false;
            }
            let after = events.to_string();
            headers.push(("Last-Event-Id", &after));
            let left = DEADLINE.saturating_sub(trial.now() - began_at);
            let (second, rest, is_whole) =
                trial.ask_stream(&go_on, "goes on", "/digest/a", &headers, left);
            let is_of = |text: &str, build: &str| text.contains(&format!("{build} part"));
            let is_joined = [("v1", "v2"), ("v2", "v1")]
                .iter()
                .any(|(one, other)| is_of(&text, one) && is_of(&rest, other));
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
    thread::sleep(Duration::from_millis(1_500));
    if trial.has_trouble {
        let killed = hosts.remove(0);
        trial.note(format!("{} is killed", killed.endpoint.name));
        drop(killed);
    }
    let joined = streams
        .into_iter()
        .map(|stream| stream.join().unwrap_or(false));
    let joined = joined.filter(|is_joined| *is_joined).count();
    trial.note(format!(
        "ORDER: {joined} of {STREAMS} streams were joined from two versions"
    ));
    Ok(joined)
}
