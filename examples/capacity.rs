//! Measures the costs from which `docs/CAPACITY.md` extrapolates each role to two thousand hosts:
//! `cargo run --release --example capacity`. It takes some minutes. The name of a part (`member`,
//! `spread`, `limit`, `router`, `queue`, `directory`) runs only that part.
//!
//! The state machines run over the same in-memory networks as in the property tests, at three sizes
//! each.

#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/limit/net.rs"]
mod limit_net;
#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/member/network.rs"]
mod member_net;
#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/config/network.rs"]
mod spread_net;

use {
    greengagecleat::{
        config::{
            Document, Snapshot,
            table::{Customers, Pools, Routes},
        },
        directory::{self, Caller},
        limit::{Mode, Quota},
        machine::Machine,
        name,
        queue::{Arrival, Event, Options as QueueOptions, Scheduler, Ticket},
        route::{Home, Options, Prefix, Report, Request, Router, State, Upstream},
        wire,
    },
    std::{
        collections::BTreeSet,
        env, fs,
        hint::black_box,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Sizes of fleets: hosts and failure domains.
const FLEETS: [(usize, usize); 3] = [(92, 4), (460, 20), (2300, 101)];
/// Hosts in each region of the fleets for the limit.
const HOSTS_PER_REGION: [usize; 3] = [3, 9, 23];
/// Number of customers that are active at every host.
const BUSY_CUSTOMERS: [usize; 3] = [5, 20, 50];
/// Number of customers of a queue.
const CUSTOMERS: [usize; 3] = [10, 50, 200];
/// Number of replicas in one region.
const REPLICAS: [usize; 3] = [30, 300, 1200];
/// Warm-up time before a measurement.
const WARM_UP: Duration = Duration::from_secs(10);
/// Length of a measurement on the simulated networks.
const MEASURED: Duration = Duration::from_secs(10);
/// Time between two changes of a document, for 18,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(4800);
/// Number of repetitions of a timed decision.
const REPEATS: u32 = 20_000;
/// Time slices of the limit's network in a second.
const SLICES: u32 = 50;

fn main() {
    let wanted = env::args().nth(1);
    let parts: [(&str, fn()); 6] = [
        ("member", membership),
        ("spread", spread),
        ("limit", limit),
        ("router", router),
        ("queue", queue),
        ("directory", directory),
    ];
    for (name, part) in parts {
        if wanted.as_deref().is_none_or(|wanted| wanted == name) {
            part();
        }
    }
}

/// Resident memory of this process, in KiB.
fn resident_kib() -> i64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0)
}

/// Processor time that one host uses, in percent of a core.
fn core_percent(busy: Duration, hosts: usize, time: Duration) -> f64 {
    100.0 * busy.as_secs_f64() / hosts as f64 / time.as_secs_f64()
}

fn membership() {
    println!("membership: hosts domains bytes/s most_bytes/s core_% KiB_a_host");
    for (hosts, domains) in FLEETS {
        let before = resident_kib();
        let mut network = member_net::Network::new(member_net::Plan {
            hosts,
            domains,
            loss: 0.01,
            duplicates: 0.0,
            seed: 1,
            mutant: None,
        });
        network.run(WARM_UP);
        network.bytes.iter_mut().for_each(|bytes| *bytes = 0);
        network
            .busy
            .iter_mut()
            .for_each(|busy| *busy = Duration::ZERO);
        network.run(MEASURED);
        let seconds = MEASURED.as_secs_f64();
        let most = network.bytes.iter().max().copied().unwrap_or(0);
        println!(
            "{hosts:17} {domains:7} {:7.0} {:12.0} {:6.3} {:10.0}",
            network.bytes.iter().sum::<u64>() as f64 / hosts as f64 / seconds,
            most as f64 / seconds,
            core_percent(network.busy.iter().sum(), hosts, MEASURED),
            (resident_kib() - before) as f64 / hosts as f64,
        );
    }
}

fn spread() {
    println!("configuration: hosts domains bytes/s most_bytes/s core_% calls/s KiB_a_host");
    for (hosts, domains) in FLEETS {
        let before = resident_kib();
        let mut network = spread_net::Network::new(spread_net::Plan {
            hosts,
            domains,
            loss: 0.01,
            seed: 4,
            mutant: None,
        });
        network.publish(Document::Routes, &spread_net::routes(1000));
        network.publish(Document::Pools, &spread_net::pools(1));
        network.publish(Document::Customers, &spread_net::customers(200, 0, 1));
        network.run(WARM_UP);
        network.service.calls.clear();
        network
            .tallies
            .iter_mut()
            .for_each(|tally| *tally = Default::default());
        let start = network.now;
        let mut change = 0;
        while network.now < start + MEASURED {
            change += 1;
            let text = spread_net::customers(200, change, 1 + change as u64);
            network.publish(Document::Customers, &text);
            network.run(CHANGE_INTERVAL);
        }
        let time = network.now - start;
        let seconds = time.as_secs_f64();
        let bytes = network.tallies.iter().map(|tally| tally.bytes);
        println!(
            "{hosts:20} {domains:7} {:7.0} {:12.0} {:6.3} {:7.1} {:10.0}",
            bytes.clone().sum::<u64>() as f64 / hosts as f64 / seconds,
            bytes.max().unwrap_or(0) as f64 / seconds,
            core_percent(
                network.tallies.iter().map(|tally| tally.busy).sum(),
                hosts,
                time
            ),
            network.service.calls.values().sum::<u64>() as f64 / seconds,
            (resident_kib() - before) as f64 / hosts as f64,
        );
    }
}

fn limit() {
    println!("limit, three regions: hosts_a_region customers messages/s bytes/s core_% KiB_a_host");
    for hosts in HOSTS_PER_REGION {
        for customers in BUSY_CUSTOMERS {
            limit_at(hosts, customers);
        }
    }
}

/// Runs even traffic at half the rate, with one request a second for each customer at each host.
fn limit_at(hosts: usize, customers: usize) {
    let before = resident_kib();
    let regions = [(hosts as u32, 1.0); 3];
    let mut net = limit_net::Net::new(7, Mode::Leases, None, &regions);
    let all = hosts * regions.len();
    let quota = Quota {
        rate: 200.0 * all as f64,
        burst: 800.0 * all as f64,
    };
    let names: Vec<name::Customer> = (0..customers)
        .map(|at| format!("customer-{at}").into())
        .collect();
    net.quotas = names.iter().map(|name| (name.clone(), quota)).collect();
    for region in 0..regions.len() {
        for _ in 0..hosts {
            net.start(region, None);
        }
    }
    net.send_all_members();
    let mut busy = Duration::ZERO;
    let mut offer = |net: &mut limit_net::Net, slices: u32| {
        let started = Instant::now();
        for slice in 0..slices {
            net.advance_slice();
            for host in (0..all).filter(|host| *host as u32 % SLICES == slice % SLICES) {
                for name in &names {
                    net.admit(host, name, 100.0);
                    net.settle_one(host, 0.5);
                }
            }
        }
        busy = started.elapsed();
    };
    offer(&mut net, 20 * SLICES);
    net.counts = Default::default();
    net.counts_bytes = true;
    let seconds = 10;
    offer(&mut net, seconds * SLICES);
    net.admissions.clear();
    println!(
        "{hosts:35} {customers:9} {:10.1} {:7.0} {:6.3} {:10.0}",
        net.counts.messages as f64 / all as f64 / f64::from(seconds),
        net.counts.bytes as f64 / all as f64 / f64::from(seconds),
        core_percent(busy, all, Duration::from_secs(seconds.into())),
        (resident_kib() - before) as f64 / all as f64,
    );
}

fn router() {
    println!(
        "router: replicas_in_region microseconds_a_choice microseconds_a_report KiB digest_bytes"
    );
    for replicas in REPLICAS {
        let before = resident_kib();
        let snapshot = tables();
        let home = Home {
            host: "host-1".into(),
            region: "home".into(),
        };
        let mut router = Router::new(home, Options::default(), 1);
        router.set_config(snapshot.clone());
        let listed: Vec<Upstream> = (0..replicas)
            .map(|at| Upstream {
                name: format!("replica-{at}").into(),
                pool: "pool".into(),
                state: State::Live,
            })
            .collect();
        router.set_upstreams(Duration::ZERO, &listed);
        let followed: Vec<_> = router
            .followed()
            .map(|(upstream, _)| upstream.clone())
            .collect();
        let route = &snapshot.routes["chat"];
        let choosing = mean_microseconds(|turn| {
            let request = Request {
                route,
                customer: None,
                prefix: Some(Prefix {
                    hash: u64::from(turn % 500),
                    tokens: 200,
                }),
                prompt_tokens: 300,
                bytes: 4000,
                deadline: Duration::from_secs(1000),
                visited: &[],
                hosts: &[],
                hops_left: 2,
                on_demand: false,
                tried: &[],
            };
            let now = Duration::from_millis(u64::from(turn));
            black_box(router.choose(now, &request).is_ok());
        });
        let summary = router.own_digest(Duration::from_secs(20));
        let digest = wire::encode(&wire::Message::Route(summary)).len();
        let report = Report {
            running: 3,
            slots: 16,
            ..Report::default()
        };
        let reporting = mean_microseconds(|turn| {
            let upstream = &followed[turn as usize % followed.len()];
            let report = Report {
                at_ms: u64::from(turn),
                ..report.clone()
            };
            router.apply_report(Duration::from_millis(u64::from(turn)), upstream, &report);
        });
        println!(
            "{replicas:26} {choosing:21.2} {reporting:21.2} {:3} {digest:12}",
            resident_kib() - before
        );
    }
}

fn tables() -> Arc<Snapshot> {
    let routes: Routes = toml::from_str(
        "[[route]]\nname = \"chat\"\nkind = \"model\"\nmodel = \"m\"\npools = [\"pool\"]\nopen = true\n",
    )
    .expect("valid routes");
    let pools: Pools = toml::from_str("[[pool]]\nname = \"pool\"\nregion = \"home\"\nslots = 16\n")
        .expect("valid pools");
    Arc::new(Snapshot::new(routes, pools, Customers::default()))
}

fn queue() {
    println!("queue: customers microseconds_a_call (arrive, start, done)");
    for customers in CUSTOMERS {
        let mut scheduler = Scheduler::new(QueueOptions::default());
        let pool = name::Pool::from("pool");
        let names: Vec<name::Customer> = (0..customers)
            .map(|at| format!("customer-{at}").into())
            .collect();
        scheduler.step(
            Duration::ZERO,
            Event::Capacity {
                pool: pool.clone(),
                slots: 64,
            },
        );
        let taken = mean_microseconds(|turn| {
            let now = Duration::from_micros(u64::from(turn) * 100);
            let ticket = Ticket(u64::from(turn));
            let arrival = Arrival {
                ticket,
                pool: pool.clone(),
                customer: Some(names[turn as usize % customers].clone()),
                weight: 1,
                priority: 5,
                tokens: 300,
                deadline: now + Duration::from_secs(60),
            };
            black_box(scheduler.step(now, Event::Arrive(arrival)));
            black_box(scheduler.step(
                now,
                Event::Done {
                    ticket,
                    tokens: 250,
                },
            ));
        });
        println!("{customers:16} {taken:19.2}");
    }
}

fn directory() {
    println!("directory: hosts domains microseconds_an_answer");
    for (hosts, domains) in FLEETS {
        let mut network = member_net::Network::new(member_net::Plan {
            hosts,
            domains,
            loss: 0.0,
            duplicates: 0.0,
            seed: 1,
            mutant: None,
        });
        network.run(Duration::from_secs(15));
        let view = network.view(0);
        let here = view
            .hosts
            .values()
            .next()
            .map_or_else(|| "home".into(), |member| member.region.clone());
        let taken = mean_microseconds(|turn| {
            let caller = Caller {
                key: format!("10.0.{}.{}", turn >> 8 & 255, turn & 255),
                region: None,
                residency: BTreeSet::new(),
            };
            black_box(directory::resolve(&view, &here, &caller));
        });
        println!("{hosts:16} {domains:7} {taken:22.2}");
    }
}

/// Mean duration of one call in microseconds.
fn mean_microseconds(mut call: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..REPEATS).for_each(&mut call);
    start.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}
