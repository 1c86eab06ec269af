//! Measures how fast a change of a document comes into force in fleets of several sizes, and its
//! cost: `cargo run --release --example spread`.
//!
//! The state machines run over an in-memory network. Changes come at a rate of 18,000 a day; each
//! raises the rate of one of 200 customers.

#[path = "../tests/config/network.rs"]
#[allow(dead_code)]
mod network;

use {
    greengagecleat::config::Document,
    network::{Network, Plan},
    std::time::{Duration, Instant},
};

/// Time between two changes, for 18,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(4800);

/// Number of measured changes.
const CHANGES: usize = 20;

/// Time within which a change must be in force at all hosts.
const TARGET: Duration = Duration::from_secs(6);

/// Number of customers in the document.
const CUSTOMERS: usize = 200;

/// Network fault of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NetworkFault {
    /// 1 % of messages are lost.
    Loss,
    /// Half of the failure domains can't reach the configuration service.
    Unserved,
    /// No message between hosts arrives.
    Alone,
}

fn main() {
    println!(
        "hosts domains trouble   median_s  max_s  late  boot_calls/s  calls/s  peak  bytes/s  max_bytes/s  msgs/s  core_%"
    );
    for (hosts, domains) in [(9, 3), (100, 5), (500, 22), (2300, 101)] {
        for trouble in [
            NetworkFault::Loss,
            NetworkFault::Unserved,
            NetworkFault::Alone,
        ] {
            run(hosts, domains, trouble);
        }
    }
}

fn run(hosts: usize, domains: usize, trouble: NetworkFault) {
    let loss = if trouble == NetworkFault::Alone {
        1.0
    } else {
        0.01
    };
    let mut network = Network::new(Plan {
        hosts,
        domains,
        loss,
        seed: 4,
        mutant: None,
    });
    if trouble == NetworkFault::Unserved {
        network
            .cut_off_from_service
            .extend((0..domains).filter(|domain| domain % 2 == 0));
    }
    network.publish(Document::Routes, &network::routes(1000));
    network.publish(Document::Pools, &network::pools(1));
    network.publish(Document::Customers, &network::customers(CUSTOMERS, 0, 1));
    network.run(Duration::from_secs(30));
    let boot_peak = network.service.calls.values().max().copied().unwrap_or(0);
    network.service.calls.clear();
    network
        .tallies
        .iter_mut()
        .for_each(|tally| *tally = Default::default());
    let (start, clock) = (network.now, Instant::now());
    let mut times: Vec<Duration> = (0..CHANGES)
        .map(|change| measure(&mut network, change))
        .collect();
    times.sort();
    let seconds = (network.now - start).as_secs_f64();
    let calls: u64 = network.service.calls.values().sum();
    let bytes = network.tallies.iter().map(|tally| tally.bytes);
    let messages: u64 = network.tallies.iter().map(|tally| tally.messages).sum();
    let busy: Duration = network.tallies.iter().map(|tally| tally.busy).sum();
    println!(
        "{hosts:5} {domains:7} {:9} {:8.2} {:6.2} {:5} {:13} {:8.1} {:5} {:8.0} {:12.0} {:7.1} {:7.3}",
        format!("{trouble:?}"),
        times[CHANGES / 2].as_secs_f64(),
        times[CHANGES - 1].as_secs_f64(),
        times.iter().filter(|time| **time >= TARGET).count(),
        boot_peak,
        calls as f64 / seconds,
        network.service.calls.values().max().copied().unwrap_or(0),
        bytes.clone().sum::<u64>() as f64 / seconds / hosts as f64,
        bytes.max().unwrap_or(0) as f64 / seconds,
        messages as f64 / seconds / hosts as f64,
        100.0 * busy.as_secs_f64() / seconds / hosts as f64,
    );
    eprintln!("took {:.0?}", clock.elapsed());
}

/// Time until one change is in force at all hosts, at most [`TARGET`].
fn measure(network: &mut Network, change: usize) -> Duration {
    let start = network.now;
    let text = network::customers(CUSTOMERS, change, 2 + change as u64);
    let revision = network.publish(Document::Customers, &text);
    let step = Duration::from_millis(10);
    while network.now < start + TARGET && !network.is_everywhere(Document::Customers, revision) {
        network.run(step);
    }
    let time = network.now - start;
    network.run(CHANGE_INTERVAL.saturating_sub(time));
    time
}
