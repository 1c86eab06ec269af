//! Replicas that serve become cold again, and say so in the store at once.

use crate::{
    replica::{Profile, Replica},
    store::Store,
    trial::{Endpoint, Host, Trial},
};
use std::{io, thread, time::Duration};

const ZONES: [(&str, &str); 1] = [("cairo-a", "cairo")];
/// `cold_s`.
const COLD: Duration = Duration::from_secs(3);
/// `cold_per_s` x `cold_overage` + `cold_slack`.
const BOUND: usize = 6;
/// Requests in one second under which a cold replica crashes: well above `cold_per_s`, which is 2.
const CRASH_RATE: usize = 12;
/// Callers; each asks about three times a second.
const CALLERS: u64 = 15;
/// Replicas that become cold, one after the other.
const TURNS: usize = 5;
/// Time between two replicas' becoming cold.
const PAUSE: Duration = Duration::from_millis(4_700);

fn configuration() -> String {
    "{\"version\":10,\"routes\":[{\"name\":\"r-query\",\"host\":\"calls.example\",\"prefix\":\"/query/\",\"kind\":\"stream\",\
     \"timeout_ms\":15000,\"goal_ms\":1200,\"prio\":0,\"service\":\"cleat-serve\",\"attempts\":1,\"public\":false,\
     \"sticky\":true,\"resumable\":false,\"gap_target_ms\":300,\"home_regions\":[]}],\"services\":[{\"name\":\"cleat-serve\",\
     \"health_path\":\"/healthz\",\"max_conns\":360,\"proto\":\"h1\",\"tls\":false,\"cold_s\":3.0,\"cold_per_s\":2.0,\
     \"engine\":{\"slots\":64,\"kv_cap_tokens\":222918}}],\"limits\":{\"max_header_bytes\":16384,\
     \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-1\",\
     \"api_keys\":[\"key-1\"],\"unit\":\"token\",\"plain_tokens\":200,\"rate_per_s\":4000000,\"burst\":4000000,\
     \"home_regions\":[]}]}"
        .to_owned()
}

pub fn run(trial: &Trial) -> io::Result<usize> {
    let store_address = trial.address(10, 8225);
    let store = Store::start(store_address)?;
    store.put("op/config", &configuration());
    let mut replicas = Vec::new();
    for number in 7..10 {
        let profile = Profile {
            id: format!("i-{number}"),
            address: trial.address(number, 8080),
            service: "cleat-serve".into(),
            zone: "cairo-a".into(),
            slots: 64,
            work: Duration::from_millis(300),
            cold: COLD,
            events: 6,
            crash_rate: CRASH_RATE,
            build: "v1".into(),
        };
        replicas.push(Replica::start(profile, &store, trial)?);
        thread::sleep(Duration::from_millis(370));
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
    let until = trial.now() + Duration::from_secs(35);
    let endpoints: Vec<Endpoint> = hosts.iter().map(|host| host.endpoint.clone()).collect();
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let (trial, endpoints) = (trial.clone(), endpoints.clone());
        callers.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(23 * caller));
            let mut count = 0;
            while trial.now() < until {
                count += 1;
                let next = trial.now() + Duration::from_millis(340);
                let session = 0x9e37_79b9_u64.wrapping_mul(caller * 1_000 + count / 4);
                let prefix = format!(
                    "5c1e07a2:120,{session:x}:80,{:x}:400",
                    session ^ count << 40
                );
                let headers = [
                    ("X-Credential", "key-1"),
                    ("X-Model", "m"),
                    ("X-Token-Usage", "600,30"),
                    ("X-Prompt-Prefix", &*prefix),
                ];
                let host = &endpoints[(count as usize + caller as usize) % endpoints.len()];
                trial.ask(
                    host,
                    "query",
                    "POST",
                    "/query/a",
                    &headers,
                    b"{}",
                    Duration::from_secs(5),
                );
                trial.sleep_until(next);
            }
        }));
    }
    // All hosts have known each other for long enough to share a cold replica's bound.
    thread::sleep(Duration::from_secs(10));
    let mut broken = 0;
    let turns = || replicas.iter().cycle().take(TURNS);
    for replica in turns() {
        if trial.has_trouble {
            replica.become_cold();
        }
        let cold_at = trial.now();
        let id = &replica.profile.id;
        trial.note(format!(
            "{id} is cold for {} s: {}",
            COLD.as_secs(),
            trial.has_trouble
        ));
        thread::sleep(PAUSE);
        let runs = trial.runs();
        let runs = runs.iter().filter(|run| run.replica == *id);
        let at = runs.map(|run| run.at);
        let mut arrivals: Vec<_> = at
            .filter(|at| *at >= cold_at && *at < cold_at + COLD)
            .collect();
        arrivals.sort();
        let second = Duration::from_secs(1);
        let windows = arrivals.iter().enumerate().map(|(first, at)| {
            let within = arrivals[first..]
                .iter()
                .take_while(|other| **other < *at + second);
            within.count()
        });
        let most = windows.max().unwrap_or(0);
        trial.note(format!(
            "{id} got {} requests in {} s, at most {most} in one second",
            arrivals.len(),
            COLD.as_secs()
        ));
        broken += usize::from(trial.has_trouble && most > BOUND);
    }
    for caller in callers {
        caller.join().ok();
    }
    let sent = trial.sent();
    let served = sent.iter().filter(|sent| sent.is_whole()).count();
    trial.note(format!(
        "FAILBACK: {broken} of {TURNS} times a cold replica got more than {BOUND} requests in one second; {served} of {} \
         requests were served",
        sent.len()
    ));
    Ok(broken)
}
