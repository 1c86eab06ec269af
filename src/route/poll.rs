//! Background tasks of routing: polling the load of this region's engines, exchanging load digests
//! with the other regions, and trying to connect to pools in doubt.

use {
    super::{
        load::Report,
        reach::{Change, Unreached},
        router::Home,
        service::Handle,
        spill::Digest,
    },
    crate::{
        clock::Clock,
        link,
        metric::Metrics,
        name,
        net::Network,
        panic,
        source::{Kind, Listing, State},
        upstream::{Call, Client},
        wire,
    },
    futures::{
        StreamExt,
        future::join_all,
        stream::{self, FuturesUnordered},
    },
    http::{Request, header},
    http_body_util::Full,
    std::{
        collections::{BTreeMap, BTreeSet},
        future::pending,
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{mpsc::Receiver, watch},
        time::{Instant, MissedTickBehavior, interval, sleep, timeout},
    },
};

/// Header with the id of a poll, which the answer repeats if the replica can.
const REQUEST_HEADER: &str = "x-request-id";
/// Shortest pause between two rounds of polling.
const MIN_ROUND: Duration = Duration::from_secs(1);
/// Largest number of load reports that a host asks for per second.
const REPORTS_PER_S: f64 = 40.0;
/// Largest number of load reports asked for at the same time.
const MAX_CONCURRENT_REPORTS: usize = 16;
/// Timeout for a load report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Size limit of a load report, in bytes.
const MAX_REPORT_BYTES: usize = 16 * 1024;
/// Time between two digests for other regions.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Number of digests after which a host sends to other hosts of each region.
const DIGESTS_PER_ROTATION: usize = 20;
/// Interval at which a host checks whether a pool is in doubt.
const REACH_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time to open the connection of a trial.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two statements to the neighbours while a pool is out of reach.
const STATEMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the load of the followed replicas in rounds, until `stop` closes. The `client` is for nothing
/// else, so that no call reads an answer too many to a poll, or the other way round.
pub async fn follow_load<C: Clock>(
    handle: Handle<C>,
    client: Client,
    mut stop: watch::Receiver<()>,
) {
    let rounds = async {
        for round in 0_u64.. {
            let id = format!("load-{round}");
            let followed = handle.followed();
            let spread = Duration::from_secs_f64(followed.len() as f64 / REPORTS_PER_S);
            stream::iter(followed)
                .for_each_concurrent(MAX_CONCURRENT_REPORTS, |(upstream, address)| {
                    poll_replica(&handle, &client, &id, upstream, address)
                })
                .await;
            sleep(MIN_ROUND.max(spread)).await;
        }
    };
    tokio::select! {
        () = rounds => {}
        _ = stop.changed() => {}
    }
}

async fn poll_replica<C: Clock>(
    handle: &Handle<C>,
    client: &Client,
    id: &str,
    upstream: name::Upstream,
    address: SocketAddr,
) {
    match timeout(REPORT_TIMEOUT, fetch_report(client, id, address)).await {
        Ok(Some(report)) => handle.with(|router, now| router.apply_report(now, &upstream, &report)),
        Ok(None) => tracing::debug!(%upstream, "no load report"),
        Err(_) => tracing::debug!(%upstream, "load report timed out"),
    }
}

async fn fetch_report(client: &Client, id: &str, address: SocketAddr) -> Option<Report> {
    let request = Request::get("/load")
        .header(header::HOST, address.to_string())
        .header(REQUEST_HEADER, id)
        .body(Full::default())
        .ok()?;
    let call = Call {
        address,
        request,
        id: Some(id),
        is_repeatable: true,
    };
    let sending = client.send_unless(call, pending(), || true);
    let mut response = sending.await.ok()?;
    match response.headers().get(REQUEST_HEADER) {
        Some(answered) if answered == id => {}
        None if response.body().exchange().is_first() => response.body_mut().close_at_end(),
        answered => {
            tracing::debug!(%address, id, ?answered, "the report is not the one asked for");
            return None;
        }
    }
    if !response.status().is_success() {
        return None;
    }
    let report = response.into_body().collect(MAX_REPORT_BYTES).await.ok()?;
    serde_json::from_slice(&report).ok()
}

/// Sends this region's digest to hosts of the other regions and takes over theirs, until the
/// mailbox or `stop` closes.
///
/// The hosts of a region divide the hosts of each other region among them, so that each of those
/// gets one digest a round. The division rotates, so that a host that cannot be reached does not
/// leave the same hosts without digests for long.
pub async fn exchange_digests<C: Clock>(
    handle: Handle<C>,
    link: link::Handle,
    listing: watch::Receiver<Arc<Listing>>,
    home: Home,
    mut mailbox: Receiver<link::Received<Digest>>,
    mut stop: watch::Receiver<()>,
) {
    let mut rounds = interval(DIGEST_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut round = 0;
    loop {
        tokio::select! {
            received = mailbox.recv() => match received {
                Some(received) => {
                    panic::contain(|| handle.apply_digest(received.message));
                }
                None => return,
            },
            _ = stop.changed() => return,
            _ = rounds.tick() => {
                let own_digest = || handle.with(|router, now| router.own_digest(now));
                let Some(digest) = panic::contain(own_digest) else {
                    continue;
                };
                let turn = round / DIGESTS_PER_ROTATION;
                for host in recipients(&listing.borrow(), &home, turn, &digest.unreached) {
                    link.send(&host, wire::Message::Route(digest.clone()));
                }
                round += 1;
            }
        }
    }
}

/// Tries to connect to pools in doubt, and tells the neighbours while some are out of reach, until
/// `stop` closes.
pub async fn follow_reach<C: Clock>(
    handle: Handle<C>,
    network: Network,
    link: link::Handle,
    listing: watch::Receiver<Arc<Listing>>,
    home: Home,
    metrics: Metrics,
    mut stop: watch::Receiver<()>,
) {
    let rounds = async {
        let mut stated_at = Instant::now();
        loop {
            sleep(REACH_INTERVAL).await;
            let trials = handle.begin_trials();
            let trials = trials.iter().map(|(pool, addresses)| {
                let (handle, network) = (&handle, &network);
                async move {
                    let is_reached = connects(network, addresses).await;
                    let change =
                        handle.with(|router, now| router.record_trial(now, pool, is_reached));
                    if let Some(change) = change {
                        log_change(pool, addresses.len(), change);
                    }
                    change.is_some()
                }
            });
            let has_changed = join_all(trials).await.contains(&true);
            let lost_count = handle.with(|router, _| router.unreached_pools().len());
            metrics.unreached_pools.set(lost_count as i64);
            let is_due = lost_count > 0 && stated_at.elapsed() >= STATEMENT_INTERVAL;
            if has_changed || is_due {
                stated_at = Instant::now();
                let statement = handle.with(|router, _| router.own_statement());
                for host in neighbours(&listing.borrow(), &home) {
                    link.send(&host, wire::Message::Route(statement.clone()));
                }
            }
        }
    };
    tokio::select! {
        () = rounds => {}
        _ = stop.changed() => {}
    }
}

/// Whether a connection to any of these addresses opens.
async fn connects(network: &Network, addresses: &[SocketAddr]) -> bool {
    let connecting = addresses
        .iter()
        .map(|address| timeout(TRIAL_TIMEOUT, network.connect(*address)));
    let opened = connecting
        .collect::<FuturesUnordered<_>>()
        .any(async |connected| matches!(connected, Ok(Ok(_))));
    opened.await
}

fn log_change(pool: &name::Pool, tried: usize, change: Change) {
    match change {
        Change::Lost => {
            tracing::warn!(%pool, tried, "pool out of reach: no connection to an upstream opens");
        }
        Change::Regained { after } => {
            let after_ms = after.as_millis() as u64;
            tracing::info!(%pool, after_ms, "pool in reach again");
        }
    }
}

/// The other hosts of the region that are listed as live.
fn neighbours(listing: &Listing, home: &Home) -> Vec<name::Host> {
    let hosts = listing.hosts.iter();
    hosts
        .filter(|host| host.kind == Kind::Entry && host.state == State::Live)
        .filter(|host| host.region == home.region && host.name != home.host.as_str())
        .map(|host| host.name.as_str().into())
        .collect()
}

/// The hosts of other regions that this host sends its digest to in a `turn` of the rotation. Hosts
/// that can't reach a pool leave that to the others of their region, if there are any.
fn recipients(
    listing: &Listing,
    home: &Home,
    turn: usize,
    unreached: &Unreached,
) -> Vec<name::Host> {
    let mut regions: BTreeMap<&name::Region, BTreeSet<&str>> = BTreeMap::new();
    for host in &listing.hosts {
        if host.kind == Kind::Entry && host.state == State::Live {
            let hosts = regions.entry(&host.region).or_default();
            hosts.insert(&host.name);
        }
    }
    let mut own = regions.remove(&home.region).unwrap_or_default();
    let is_sound = |host: &&str| !unreached.contains_key(&name::Host::from(*host));
    if own.iter().any(is_sound) {
        if unreached.contains_key(&home.host) {
            return Vec::new();
        }
        own.retain(|host| is_sound(host));
    }
    let count = own.len().max(1);
    let rank = own.range(..home.host.as_str()).count();
    regions
        .into_values()
        .flat_map(|hosts| hosts.into_iter().enumerate())
        .filter(|(place, _)| (place + turn) % count == rank % count)
        .map(|(_, host)| host.into())
        .collect()
}
