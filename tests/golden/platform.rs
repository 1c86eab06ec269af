//! A scripted platform on the in-memory network.

use {
    crate::bench::read_request,
    greengagecleat::{
        key::Digest,
        net::{Network, Stream},
    },
    std::{
        collections::BTreeMap,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    tokio::{io::AsyncWriteExt, sync::watch, time::timeout},
};

/// Address that the platform listens on.
pub(crate) const ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 9, 1)), 80);
/// API key of customer `kollam`, which may be served anywhere.
pub(crate) const KOLLAM: &str = "golden-key-kollam";
/// API key of customer `thrissur`, which may be served only in the north.
pub(crate) const THRISSUR: &str = "golden-key-thrissur";

/// The documents and the host list that the platform serves.
#[derive(Debug, Clone, Default)]
struct Contents {
    documents: BTreeMap<&'static str, (u64, String)>,
    entries: Vec<serde_json::Value>,
}

/// Handle of the scripted platform.
#[derive(Debug, Clone)]
pub(crate) struct Script(Arc<watch::Sender<Contents>>);

impl Script {
    pub(crate) async fn start(network: &Network) -> Self {
        let script = Self(Arc::new(watch::Sender::new(Contents::default())));
        script.publish("routes", ROUTES.into());
        script.publish("pools", POOLS.into());
        script.publish("customers", customers());
        let mut listener = network.bind(ADDRESS).await.expect("a free address");
        let serving = script.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        script
    }

    /// Publishes a document under its next revision.
    pub(crate) fn publish(&self, name: &'static str, text: String) {
        self.0.send_modify(|holding| {
            let revision = holding.documents.get(name).map_or(1, |(held, _)| held + 1);
            holding.documents.insert(name, (revision, text));
        });
    }

    /// Adds an entry host to the host list.
    pub(crate) fn list_entry(
        &self,
        name: &str,
        region: &str,
        address: SocketAddr,
        peer: SocketAddr,
    ) {
        let row = serde_json::json!({
            "name": name, "kind": "entry", "address": address, "peer_address": peer,
            "region": region, "domain": format!("{region}-1"), "state": "live",
        });
        self.0.send_modify(|holding| holding.entries.push(row));
    }

    async fn serve(self, mut stream: Stream) {
        while let Some(request) = read_request(&mut stream).await {
            let target = request.split(' ').nth(1).unwrap_or_default().to_owned();
            let answer = self.answer(&target).await;
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, target: &str) -> String {
        if target == "/v1/hosts" {
            let hosts = self.0.borrow().entries.clone();
            return whole(0, &serde_json::json!({ "hosts": hosts }).to_string());
        }
        if target == "/v1/clients" {
            return whole(0, r#"{"clients":[]}"#);
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let name = path.trim_start_matches("/v1/documents/");
        let after = number(query, "after");
        let wait = Duration::from_secs(number(query, "wait"));
        let newer = |holding: &Contents| {
            holding
                .documents
                .get(name)
                .is_some_and(|(held, _)| *held > after)
        };
        let mut changes = self.0.subscribe();
        match timeout(wait, changes.wait_for(newer)).await {
            Ok(Ok(holding)) => {
                let (revision, text) = &holding.documents[name];
                whole(*revision, text)
            }
            _ => "HTTP/1.1 304 Not Modified\r\ncontent-length: 0\r\n\r\n".into(),
        }
    }
}

fn number(query: &str, name: &str) -> u64 {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(found, _)| *found == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}

fn whole(revision: u64, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-revision: {revision}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn customers() -> String {
    let digest = |key: &str| Digest::of(key.as_bytes());
    format!(
        r#"
[[customer]]
name = "kollam"
keys = ["{}"]
rate = 100000
burst = 100000

[[customer]]
name = "thrissur"
keys = ["{}"]
rate = 100000
burst = 100000
residency = ["north"]
"#,
        digest(KOLLAM),
        digest(THRISSUR)
    )
}

const ROUTES: &str = r#"
[[route]]
name = "chat"
kind = "model"
model = "small"
pools = ["engines"]

[[route]]
name = "receipts"
kind = "plain"
path = "/receipts"
pools = ["records"]

[[route]]
name = "lookups"
kind = "plain"
path = "/lookups"
pools = ["records"]
idempotent = true
"#;

const POOLS: &str = r#"
[[pool]]
name = "engines"
region = "south"
resume = true
fencing = "checked"

[[pool.upstream]]
name = "engine-1"
address = "10.0.1.1:80"
domain = "south-1"

[[pool]]
name = "records"
region = "south"

[[pool.upstream]]
name = "records-1"
address = "10.0.2.1:80"
domain = "south-1"

[[pool]]
name = "far"
region = "north"
"#;
