//! The store comes back from a copy some seconds old, and a key is taken away once it is stable again.

use crate::{
    replica::{Profile, Replica},
    store::Store,
    trial::{Endpoint, Host, Trial},
};
use std::{collections::BTreeSet, io, thread, time::Duration};

const ZONES: [(&str, &str); 3] = [
    ("cairo-a", "cairo"),
    ("aswan-a", "aswan"),
    ("alex-a", "alex"),
];
/// Hosts with their zones, as on the users' small site.
const HOSTS: [(u8, &str); 6] = [
    (1, "cairo-a"),
    (2, "cairo-a"),
    (3, "cairo-a"),
    (4, "aswan-a"),
    (5, "aswan-a"),
    (6, "alex-a"),
];
/// `config_apply_ms`.
const APPLY: Duration = Duration::from_millis(3_000);
/// `contact_ms`, after which a store without impairment is stable.
const CONTACT: Duration = Duration::from_millis(5_000);
/// Age of the copy when the store goes away.
const COPY_AGE: Duration = Duration::from_secs(8);
/// How long the store is away.
const AWAY: Duration = Duration::from_secs(1);

/// The configuration. `idle_ms` is the time-out of a route that nobody uses.
fn configuration(version: u64, idle_ms: u64, keys: &[&str]) -> String {
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-lookup\",\"host\":\"calls.example\",\"prefix\":\"/lookup/\",\
         \"kind\":\"safe\",\"timeout_ms\":1500,\"goal_ms\":500,\"prio\":2,\"service\":\"recovery-app\",\"attempts\":2,\
         \"public\":false,\"home_regions\":[]}},{{\"name\":\"r-idle\",\"host\":\"calls.example\",\"prefix\":\"/idle/\",\
         \"kind\":\"safe\",\"timeout_ms\":{idle_ms},\"goal_ms\":500,\"prio\":2,\"service\":\"recovery-app\",\"attempts\":1,\
         \"public\":false,\"home_regions\":[]}}],\"services\":[{{\"name\":\"recovery-app\",\"health_path\":\"/healthz\",\
         \"max_conns\":96,\"proto\":\"h1\",\"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[{}],\"unit\":\"token\",\"plain_tokens\":200,\
         \"rate_per_s\":400000,\"burst\":400000,\"home_regions\":[]}}]}}",
        keys.join(",")
    )
}

pub fn run(trial: &Trial) -> io::Result<usize> {
    let store_address = trial.address(10, 8225);
    let store = Store::start(store_address)?;
    let mut version = 10;
    let put = |version: u64, keys: &[&str]| {
        let acknowledged = store.put("op/config", &configuration(version, 1_000 + version, keys));
        acknowledged.ok_or_else(|| io::Error::other("the store is away"))
    };
    put(version, &["key-kept", "key-dropped"])?;
    for (number, (zone, _)) in (7..).zip(ZONES) {
        let profile = Profile {
            id: format!("i-{number}"),
            address: trial.address(number, 8080),
            service: "recovery-app".into(),
            zone: zone.into(),
            slots: 6,
            work: Duration::from_millis(20),
            cold: Duration::ZERO,
            events: 0,
            crash_rate: usize::MAX,
            build: "v1".into(),
        };
        Replica::start(profile, &store, trial)?;
    }
    let mut hosts = Vec::new();
    for (number, zone) in HOSTS {
        hosts.push(Host::start(
            trial,
            number,
            zone,
            &ZONES,
            &[1, 4, 6],
            store_address,
        )?);
    }
    for host in &hosts {
        host.wait_until_ready(Duration::from_secs(20))?;
    }
    trial.note("all hosts are ready");
    thread::sleep(CONTACT);
    let copy = store.copy();
    let copied_at = trial.now();
    trial.note(format!("the copy is taken at revision {}", copy.revision));
    // Planned work: versions in quick succession.
    trial.sleep_until(copied_at + Duration::from_secs(2));
    for _ in 0..12 {
        version += 1;
        put(version, &["key-kept", "key-dropped"])?;
        thread::sleep(Duration::from_millis(330));
    }
    trial.sleep_until(copied_at + COPY_AGE);
    let lost_revision = store.revision();
    if trial.has_trouble {
        trial.note(format!("the store is away at revision {lost_revision}"));
        store.go_away();
    }
    trial.sleep_until(copied_at + COPY_AGE + AWAY);
    let back_at = trial.now();
    if trial.has_trouble {
        store.come_back(Some(copy));
        put(version, &["key-kept", "key-dropped"])?;
        trial.note(format!(
            "the store is back at revision {}, and the operator has written its version again",
            store.revision()
        ));
    }
    trial.sleep_until(back_at + CONTACT + Duration::from_millis(200));
    let callers = start_callers(trial, &hosts, trial.now() + Duration::from_secs(12));
    thread::sleep(Duration::from_millis(500));
    version += 1;
    put(version, &["key-kept"])?;
    let acknowledged_at = trial.now();
    trial.note(format!(
        "version {version} without key-dropped is acknowledged at revision {}",
        store.revision()
    ));
    for caller in callers {
        caller.join().ok();
    }
    trial.note(format!("the store is at revision {}", store.revision()));
    let ran: BTreeSet<_> = trial.runs().into_iter().map(|run| run.id).collect();
    let sent = trial.sent();
    let late: Vec<_> = sent
        .iter()
        .filter(|sent| sent.label == "key-dropped" && sent.at > acknowledged_at + APPLY)
        .collect();
    let broken: Vec<_> = late.iter().filter(|sent| ran.contains(&sent.id)).collect();
    let hosts: BTreeSet<_> = broken.iter().map(|sent| &sent.host).collect();
    let last = broken
        .iter()
        .map(|sent| sent.at.saturating_sub(acknowledged_at));
    let kept = sent.iter().filter(|sent| sent.label == "key-kept");
    let (kept, served) = kept.fold((0, 0), |(all, served), sent| {
        (all + 1, served + usize::from(sent.status == 200))
    });
    trial.note(format!(
        "CONFIG: {} of {} requests with the dropped key that were sent later than 3 s after the acknowledgement ran, \
         at {} of {} hosts, the last one sent {:.1} s after it; of those with the kept key {served} of {kept} were served",
        broken.len(),
        late.len(),
        hosts.len(),
        HOSTS.len(),
        last.max().unwrap_or_default().as_secs_f64(),
    ));
    Ok(broken.len())
}

/// Callers that ask each host with both keys until a time.
fn start_callers(trial: &Trial, hosts: &[Host], until: Duration) -> Vec<thread::JoinHandle<()>> {
    let endpoints: Vec<Endpoint> = hosts.iter().map(|host| host.endpoint.clone()).collect();
    let callers = endpoints.into_iter().flat_map(|endpoint| {
        ["key-kept", "key-dropped"].map(|key| {
            let (trial, endpoint) = (trial.clone(), endpoint.clone());
            thread::spawn(move || {
                while trial.now() < until {
                    let headers = [("X-Credential", key)];
                    let deadline = Duration::from_secs(3);
                    trial.ask(&endpoint, key, "GET", "/lookup/a", &headers, b"", deadline);
                    thread::sleep(Duration::from_millis(250));
                }
            })
        })
    });
    callers.collect()
}
