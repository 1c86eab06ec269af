//! A fleet of daemons under faults: killed, paused and restarted hosts, a region cut off from the
//! rest, a withdrawn key, and outages of the configuration service.

mod common;

use {
    common::{Bed, KOLLAM, THRISSUR, chat, customers, until},
    std::{net::SocketAddr, path::PathBuf, time::Duration},
    testbed::{
        client::{Answer, Call},
        engine,
        fleet::daemon::{Daemon, Settings, Signal},
        platform::{Host, Hosts, Kind, Mode, State},
        wan::{self, Link, Relay},
    },
    tokio::time::sleep,
};

/// Daemons that share one test bed.
struct Fleet {
    bed: Bed,
    daemons: Vec<Daemon>,
    listed: Hosts,
    _relays: Vec<Relay>,
}

impl Fleet {
    /// Starts a daemon for each name, such as `south-a`, in the region that the name begins with.
    /// Daemons of the north reach the others and the platform over `link`.
    async fn start(test: &str, names: &[&str], link: &Link) -> Self {
        let bed = Bed::with(slow_engine(), Default::default()).await;
        let mut relays = Vec::new();
        let mut daemons = Vec::new();
        let mut hosts = Vec::new();
        for name in names {
            let region = name.split('-').next().expect("a region");
            let mut platform = bed.platform.address;
            if region == "north" {
                relays.push(link.relay(platform).await.expect("a relay"));
                platform = relays[relays.len() - 1].address;
            }
            let daemon = daemon(test, name, region, platform);
            relays.push(link.relay(daemon.peer).await.expect("a relay"));
            hosts.push(Host {
                name: (*name).into(),
                kind: Kind::Entry,
                address: daemon.listen,
                peer_address: Some(relays[relays.len() - 1].address),
                region: region.into(),
                domain: format!("{region}-1"),
                pool: None,
                state: State::Live,
            });
            daemons.push(daemon);
        }
        let listed = Hosts { hosts };
        bed.platform.hosts(listed.clone());
        for daemon in &mut daemons {
            daemon.start().expect("the program runs");
        }
        let fleet = Self {
            bed,
            daemons,
            listed,
            _relays: relays,
        };
        for at in 0..names.len() {
            let is_expected = |host: &HostRow| host.state == "live" && host.source != "list";
            fleet.wait_until_seen(at, is_expected, names).await;
            fleet.wait_until_in_force(at, 1).await;
        }
        fleet
    }

    /// Waits until the host at index `at` sees each named host as `is_expected` demands.
    async fn wait_until_seen(
        &self,
        at: usize,
        is_expected: impl Fn(&HostRow) -> bool,
        names: &[&str],
    ) {
        until(async || {
            let hosts = self.hosts(at).await;
            names.iter().all(|name| {
                let seen = hosts.iter().find(|host| host.name == *name);
                seen.is_some_and(&is_expected)
            })
        })
        .await;
    }

    async fn hosts(&self, at: usize) -> Vec<HostRow> {
        let status = self.status(at).await;
        let rows = status["hosts"].as_array().cloned().unwrap_or_default();
        let text = |value: &serde_json::Value| value.as_str().unwrap_or_default().to_owned();
        rows.iter()
            .map(|row| HostRow {
                name: text(&row["name"]),
                state: text(&row["state"]),
                source: text(&row["source"]),
                incarnation: row["incarnation"].as_u64().unwrap_or(0),
            })
            .collect()
    }

    /// The status page of a host; null while it does not answer.
    async fn status(&self, at: usize) -> serde_json::Value {
        let call = Call::get("/status");
        match self.bed.caller.whole(self.daemons[at].admin, &call).await {
            Ok(answer) => answer.json(),
            Err(_) => serde_json::Value::Null,
        }
    }

    /// The revision of the customers document in force at a host; 0 if there is none.
    async fn revision(&self, at: usize) -> u64 {
        let status = self.status(at).await;
        status["documents"]["customers"]["revision"]
            .as_u64()
            .unwrap_or(0)
    }

    /// Waits until a revision of the customers document is in force and confirmed at a host.
    async fn wait_until_in_force(&self, at: usize, revision: u64) {
        until(async || {
            self.revision(at).await == revision && self.models_status(at, THRISSUR).await == 200
        })
        .await;
    }

    /// The HTTP status of a call that needs only a valid key; 0 without an answer.
    async fn models_status(&self, at: usize, key: &str) -> u16 {
        let call = Call::get("/v1/models").header("authorization", &format!("Bearer {key}"));
        let answer = self.bed.caller.whole(self.daemons[at].listen, &call).await;
        answer.map_or(0, |answer| answer.status.as_u16())
    }

    /// The hosts that the directory tells a caller to use.
    async fn directory_hosts(&self, at: usize) -> Vec<String> {
        let call = Call::get("/v1/hosts");
        let answer: Answer = self
            .bed
            .caller
            .whole(self.daemons[at].listen, &call)
            .await
            .expect("an answer");
        let hosts = answer.json()["hosts"].as_array().cloned();
        let name = |host: &serde_json::Value| host["name"].as_str().map(str::to_owned);
        hosts.unwrap_or_default().iter().filter_map(name).collect()
    }

    fn withdraw_kollam(&self) {
        let text = customers(&[], &[THRISSUR]);
        self.bed.platform.publish("customers", &text);
    }
}

/// A row of the hosts on a status page.
struct HostRow {
    name: String,
    state: String,
    source: String,
    incarnation: u64,
}

fn slow_engine() -> engine::Settings {
    engine::Settings {
        step: Duration::from_millis(20),
        ..engine::Settings::instant()
    }
}

fn daemon(test: &str, name: &str, region: &str, platform: SocketAddr) -> Daemon {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    Daemon::new(Settings {
        program: env!("CARGO_BIN_EXE_greengagecleat").into(),
        name: name.into(),
        region: region.into(),
        domain: format!("{region}-1"),
        platform,
        log: logs.join(format!("{test}-{name}.log")),
        log_filter: "info".into(),
        workers: Some(2),
    })
    .expect("free ports")
}

fn link() -> Link {
    Link::new(wan::Settings::default())
}

#[tokio::test]
async fn a_killed_host_is_seen_dead_and_its_replacement_live() {
    let names = ["south-a", "south-b", "south-c"];
    let mut fleet = Fleet::start("kill", &names, &link()).await;
    let before = fleet.hosts(0).await;
    fleet.daemons[1].kill().await.expect("killed");
    fleet
        .wait_until_seen(0, |host| host.state == "dead", &["south-b"])
        .await;
    assert!(
        !fleet
            .directory_hosts(0)
            .await
            .contains(&"south-b".to_owned())
    );
    fleet.daemons[1].start().expect("the program runs");
    let incarnation_before = before
        .iter()
        .find(|host| host.name == "south-b")
        .map_or(0, |host| host.incarnation);
    fleet
        .wait_until_seen(
            0,
            |host| host.state == "live" && host.incarnation > incarnation_before,
            &["south-b"],
        )
        .await;
    fleet.wait_until_in_force(1, 1).await;
    fleet.daemons[2].signal(Signal::Term).await.expect("sent");
    fleet
        .wait_until_seen(0, |host| host.state != "live", &["south-c"])
        .await;
    assert!(
        !fleet
            .directory_hosts(0)
            .await
            .contains(&"south-c".to_owned())
    );
}

#[tokio::test]
async fn a_resumed_host_serves_nothing_with_its_old_configuration() {
    let names = ["south-a", "south-b", "south-c"];
    let fleet = Fleet::start("stop", &names, &link()).await;
    assert_eq!(fleet.models_status(1, KOLLAM).await, 200);
    fleet.daemons[1].signal(Signal::Stop).await.expect("sent");
    fleet
        .wait_until_seen(0, |host| host.state == "dead", &["south-b"])
        .await;
    fleet.withdraw_kollam();
    fleet.wait_until_in_force(0, 2).await;
    let waking = fleet.daemons[1].signal(Signal::Cont);
    let (woken, status) = tokio::join!(waking, fleet.models_status(1, KOLLAM));
    woken.expect("sent");
    assert_ne!(status, 200);
    fleet.wait_until_in_force(1, 2).await;
    assert_eq!(fleet.models_status(1, KOLLAM).await, 401);
    fleet
        .wait_until_seen(0, |host| host.state == "live", &["south-b"])
        .await;
}

#[tokio::test]
async fn a_region_that_was_cut_off_keeps_serving_and_catches_up() {
    let names = ["south-a", "south-b", "north-a", "north-b"];
    let link = link();
    let fleet = Fleet::start("cut", &names, &link).await;
    link.cut();
    fleet.withdraw_kollam();
    fleet.wait_until_in_force(0, 2).await;
    fleet.wait_until_in_force(1, 2).await;
    sleep(Duration::from_secs(6)).await;
    for at in [2, 3] {
        assert_eq!(fleet.revision(at).await, 1);
        assert_eq!(fleet.models_status(at, KOLLAM).await, 200);
    }
    let live_by_heartbeat = |host: &HostRow| host.state == "live" && host.source == "heartbeat";
    fleet
        .wait_until_seen(2, live_by_heartbeat, &["north-a", "north-b"])
        .await;
    link.heal();
    for at in [2, 3] {
        fleet.wait_until_in_force(at, 2).await;
        assert_eq!(fleet.models_status(at, KOLLAM).await, 401);
    }
}

#[tokio::test]
async fn a_restarted_host_is_current_while_the_service_is_stale_or_down() {
    let names = ["south-a", "south-b", "south-c"];
    let mut fleet = Fleet::start("service", &names, &link()).await;
    let backup = Bed::start().await.platform;
    backup.hosts(fleet.listed.clone());
    fleet.withdraw_kollam();
    for at in 0..3 {
        fleet.wait_until_in_force(at, 2).await;
    }
    fleet.bed.platform.mode(Mode::Down);
    for platform in [fleet.bed.platform.address, backup.address] {
        fleet.daemons[1].kill().await.expect("killed");
        fleet.daemons[1].settings.platform = platform;
        fleet.daemons[1].start().expect("the program runs");
        fleet.wait_until_in_force(1, 2).await;
        assert_eq!(fleet.models_status(1, KOLLAM).await, 401);
    }
}

#[tokio::test]
async fn a_withdrawn_key_ends_its_running_work_and_the_same_connection_refuses_it() {
    let names = ["south-a", "south-b"];
    let fleet = Fleet::start("key", &names, &link()).await;
    let call =
        chat("a long answer", 2000, true).header("authorization", &format!("Bearer {KOLLAM}"));
    let mut is_ready = false;
    while !is_ready {
        let admin = fleet.daemons[1].admin;
        let answer = fleet.bed.caller.whole(admin, &Call::get("/readyz")).await;
        is_ready = answer.is_ok_and(|answer| answer.status == 200);
        sleep(Duration::from_millis(20)).await;
    }
    let streaming = fleet.bed.caller.whole(fleet.daemons[1].listen, &call);
    let withdrawing = async {
        until(async || fleet.bed.engine.count().requests == 1).await;
        fleet.withdraw_kollam();
    };
    let (answer, ()) = tokio::join!(streaming, withdrawing);
    let body = answer.expect("an answer").body;
    let text = String::from_utf8_lossy(&body);
    assert!(text.contains("key_withdrawn"), "{text}");
    assert!(!text.contains("[DONE]"));
    assert_eq!(fleet.models_status(1, KOLLAM).await, 401);
}
