//! Measures how fast a change of a document comes into force over fleets of several sizes, and
//! what it costs: `cargo run --release --example spread`.
//!
//! The machines run over an in-memory network. Changes come at 18,000 a day; each raises the rate
//! of one of 200 customers.

#[path = "../tests/config/network.rs"]
#[allow(dead_code)]
mod network;

use {
    greengagecleat::config::Document,
    network::{Network, Plan},
    std::time::{Duration, Instant},
};

/// Between two changes, for 18,000 a day.
const CHANGE: Duration = Duration::from_millis(4800);

/// Changes that are measured.
const CHANGES: usize = 20;

/// Within which a change must be in force everywhere.
const TARGET: Duration = Duration::from_secs(6);

/// Rows of the customers document.
const CUSTOMERS: usize = 200;

/// What goes wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// One message in a hundred is lost.
    Loss,
    /// Half of the failure domains can't reach the service.
    Unserved,
    /// No message between hosts arrives.
    Alone,
}

fn main() {
    println!(
        "hosts domains trouble   median_s  max_s  late  boot_calls/s  calls/s  peak  bytes/s  max_bytes/s  msgs/s  core_%"
    );
    for (hosts, domains) in [(9, 3), (100, 5), (500, 22), (2300, 101)] {
        for trouble in [Trouble::Loss, Trouble::Unserved, Trouble::Alone] {
            run(hosts, domains, trouble);
        }
    }
}

fn run(hosts: usize, domains: usize, trouble: Trouble) {
    let loss = if trouble == Trouble::Alone { 1.0 } else { 0.01 };
    let mut network = Network::new(Plan {
        hosts,
        domains,
        loss,
        seed: 4,
        mutant: None,
    });
    if trouble == Trouble::Unserved {
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

/// The time until one change is in force everywhere, at most [`TARGET`].
fn measure(network: &mut Network, change: usize) -> Duration {
    let start = network.now;
    let text = network::customers(CUSTOMERS, change, 2 + change as u64);
    let revision = network.publish(Document::Customers, &text);
    let step = Duration::from_millis(10);
    while network.now < start + TARGET && !network.is_everywhere(Document::Customers, revision) {
        network.run(step);
    }
    let time = network.now - start;
    network.run(CHANGE.saturating_sub(time));
    time
}
