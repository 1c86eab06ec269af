//! A small fleet in one process: entry hosts with stand-ins for the platform and the upstreams, all
//! on ephemeral loopback ports.

#![allow(dead_code, reason = "each test binary uses its part")]

use {
    greengagecleat::{
        clock::Monotonic,
        entry::{Addresses, Entry},
        key::Digest,
        limit::Timing,
        net::Network,
        settings::Settings,
    },
    std::{net::SocketAddr, time::Duration},
    testbed::{
        client::{Answer, Call, Caller},
        engine, plain,
        platform::{self, Host, Hosts, Kind, Platform, State},
    },
    tokio::time::sleep,
};

/// Loopback address with an ephemeral port.
pub(crate) const EPHEMERAL: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Checks of a condition before a test fails; far more than any test needs.
const MAX_POLLS: usize = 3000;
/// API key of customer `kollam`.
pub(crate) const KOLLAM: &str = "test-key-kollam";
/// API key of customer `thrissur`, whose residency is the region `north`.
pub(crate) const THRISSUR: &str = "test-key-thrissur";

/// Stand-ins for the platform and the upstreams, and the entry hosts started so far.
pub(crate) struct Bed {
    pub(crate) platform: platform::Running,
    pub(crate) engine: engine::Running,
    pub(crate) plain: plain::Running,
    pub(crate) caller: Caller,
    /// Setting `region_hosts` of the hosts that are started next.
    pub(crate) region_hosts: u32,
    hosts: Vec<Host>,
}

/// A running entry host and the addresses that it listens on.
pub(crate) struct Running {
    pub(crate) entry: Entry<Monotonic>,
    pub(crate) addresses: Addresses,
}

impl Bed {
    /// Starts one engine and one plain service, both in region `south`, and publishes documents
    /// that route to them.
    pub(crate) async fn start() -> Self {
        Self::with(engine::Settings::instant(), plain::Settings::default()).await
    }

    pub(crate) async fn with(engine: engine::Settings, plain: plain::Settings) -> Self {
        let engine = engine::Engine::start(engine).await.expect("engine");
        let plain = plain::Service::start(plain).await.expect("plain service");
        let platform = Platform::start(platform::Settings {
            host_lag: Duration::ZERO,
            ..platform::Settings::default()
        })
        .await
        .expect("platform");
        platform.publish("routes", ROUTES);
        platform.publish("pools", &pools(engine.address, plain.address));
        platform.publish("customers", &customers(&[KOLLAM], &[THRISSUR]));
        Self {
            platform,
            engine,
            plain,
            caller: Caller::new(None),
            region_hosts: 1,
            hosts: Vec::new(),
        }
    }

    /// Starts an entry host and adds it to the host list.
    pub(crate) async fn host(&mut self, name: &str, region: &str) -> Running {
        self.host_on(name, region, Network::Tcp).await
    }

    /// The same, for a host that reaches its upstreams on `upstream_network`.
    pub(crate) async fn host_on(
        &mut self,
        name: &str,
        region: &str,
        upstream_network: Network,
    ) -> Running {
        let settings = Settings {
            region_hosts: self.region_hosts,
            ..settings(name, region, self.platform.address)
        };
        let entry = Entry::start_on(Network::Tcp, upstream_network, settings, Monotonic::new())
            .await
            .expect("entry host");
        let addresses = entry.addresses();
        self.hosts.push(Host {
            name: name.into(),
            kind: Kind::Entry,
            address: addresses.callers,
            peer_address: Some(addresses.peers),
            region: region.into(),
            domain: format!("{region}-1"),
            pool: None,
            state: State::Live,
        });
        self.platform.hosts(Hosts {
            hosts: self.hosts.clone(),
        });
        Running { entry, addresses }
    }

    /// Waits until a host is ready and its status shows every listed host.
    pub(crate) async fn ready(&self, host: &Running) {
        until(async || {
            let ready = self.get(host.addresses.admin, "/readyz").await;
            let status = self.get(host.addresses.admin, "/status").await.json();
            let known = status["hosts"].as_array().map_or(0, Vec::len);
            ready.status == 200 && known == self.hosts.len()
        })
        .await;
    }

    pub(crate) async fn get(&self, to: SocketAddr, target: &str) -> Answer {
        self.caller
            .whole(to, &Call::get(target))
            .await
            .expect("an answer")
    }

    /// Sends a call with an API key.
    pub(crate) async fn send(&self, host: &Running, key: &str, call: Call) -> Answer {
        let call = call.header("authorization", &format!("Bearer {key}"));
        self.caller
            .whole(host.addresses.callers, &call)
            .await
            .expect("an answer")
    }
}

/// Waits until a condition holds; panics when it never does.
pub(crate) async fn until(mut condition: impl AsyncFnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition().await {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("the condition did not hold in time");
}

pub(crate) fn settings(name: &str, region: &str, platform: SocketAddr) -> Settings {
    Settings {
        name: name.into(),
        region: region.into(),
        domain: format!("{region}-1").into(),
        listen: EPHEMERAL,
        peer_listen: EPHEMERAL,
        advertise: None,
        peer_advertise: None,
        admin_listen: EPHEMERAL,
        platform,
        peer_secret: "a test's secret".into(),
        region_hosts: 1,
        limit: Timing {
            loan_term: Duration::from_millis(700),
            lease_term: Duration::from_secs(1),
            ..Timing::default()
        },
        drain_limit: Duration::from_secs(30),
        drain_grace: Duration::from_millis(50),
        body_limit: 64 * 1024,
    }
}

/// A chat completion call for the model `small`.
pub(crate) fn chat(prompt: &str, max_tokens: u32, stream: bool) -> Call {
    Call::post(
        "/v1/chat/completions",
        &serde_json::json!({
            "model": "small",
            "stream": stream,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        }),
    )
}

pub(crate) const ROUTES: &str = r#"
[[route]]
name = "chat"
kind = "model"
model = "small"
pools = ["engines"]

[[route]]
name = "receipts"
kind = "plain"
path = "/receipts"
pools = ["plain"]

[[route]]
name = "lookups"
kind = "plain"
path = "/lookups"
pools = ["plain"]
idempotent = true
open = true

[[route]]
name = "private"
kind = "plain"
path = "/private"
pools = ["plain"]
customers = ["thrissur"]
"#;

pub(crate) fn pools(engine: SocketAddr, plain: SocketAddr) -> String {
    format!(
        r#"
[[pool]]
name = "engines"
region = "south"
resume = true
fencing = "checked"

[[pool.upstream]]
name = "engine-1"
address = "{engine}"
domain = "south-1"

[[pool]]
name = "plain"
region = "south"

[[pool.upstream]]
name = "plain-1"
address = "{plain}"
domain = "south-1"

[[pool]]
name = "far"
region = "north"
"#
    )
}

/// The customers document with these keys for each customer.
pub(crate) fn customers(kollam: &[&str], thrissur: &[&str]) -> String {
    let digests = |keys: &[&str]| {
        let texts: Vec<_> = keys
            .iter()
            .map(|key| Digest::of(key.as_bytes()).to_string())
            .collect();
        format!("{texts:?}")
    };
    format!(
        r#"
[[customer]]
name = "kollam"
keys = {}
rate = 1000000
burst = 1000000

[[customer]]
name = "thrissur"
keys = {}
rate = 1000000
burst = 1000000
residency = ["north"]
"#,
        digests(kollam),
        digests(thrissur)
    )
}
