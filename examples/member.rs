//! Measures what membership costs a host in fleets of several sizes, and how soon a host that was
//! killed or leaves is known: `cargo run --release --example member`.

#[path = "../tests/member/network.rs"]
#[allow(dead_code)]
mod network;

use {
    greengagecleat::member::State,
    network::{Network, Plan},
    std::time::Duration,
};

/// Time that a fleet gets to find itself.
const SETTLE: Duration = Duration::from_secs(30);

/// Time over which costs are measured.
const MEASURED: Duration = Duration::from_secs(30);

/// Longest time that a change of one host may take to be known.
const LIMIT: Duration = Duration::from_secs(30);

fn main() {
    println!("hosts domains  bytes/s  max_bytes/s  core_%  dead_s  leaving_s");
    for (hosts, domains) in [(9, 3), (100, 5), (500, 22), (2300, 101), (400, 4)] {
        run(hosts, domains);
    }
}

fn run(hosts: usize, domains: usize) {
    let mut network = Network::new(Plan {
        hosts,
        domains,
        loss: 0.01,
        duplicates: 0.0,
        seed: 4,
        mutant: None,
    });
    network.run(SETTLE);
    network.bytes.fill(0);
    network.busy.fill(Duration::ZERO);
    network.run(MEASURED);
    let seconds = MEASURED.as_secs_f64();
    let bytes: u64 = network.bytes.iter().sum();
    let most = network.bytes.iter().max().copied().unwrap_or(0);
    let busy: Duration = network.busy.iter().sum();
    network.kill(0);
    let dead = until(&mut network, 0, State::Dead);
    network.leave(1);
    let leaving = until(&mut network, 1, State::Leaving);
    println!(
        "{hosts:5} {domains:7} {:8.0} {:12.0} {:7.3} {:7.1} {:10.1}",
        bytes as f64 / seconds / hosts as f64,
        most as f64 / seconds,
        100.0 * busy.as_secs_f64() / seconds / hosts as f64,
        dead.as_secs_f64(),
        leaving.as_secs_f64(),
    );
}

/// The time until every host of its failure domain sees a host in a state.
fn until(network: &mut Network, host: usize, state: State) -> Duration {
    let start = network.now;
    let known = |network: &Network| {
        network
            .seen_states(host)
            .iter()
            .all(|seen| *seen == Some(state))
    };
    while network.now < start + LIMIT && !known(network) {
        network.run(Duration::from_millis(100));
    }
    network.now - start
}
