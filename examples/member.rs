//! Measures the cost of membership for a host in fleets of several sizes, and how soon the other
//! hosts detect that one was killed or is leaving: `cargo run --release --example member`.

#[path = "../tests/member/network.rs"]
#[allow(dead_code)]
mod network;

use {
    greengagecleat::member::State,
    network::{Network, Plan},
    std::time::Duration,
};

/// Time until all hosts of a fleet know each other.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// Time over which costs are measured.
const MEASURED_TIME: Duration = Duration::from_secs(30);

/// Limit on the time until a change of one host is known.
const MAX_WAIT: Duration = Duration::from_secs(30);

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
    network.run(SETTLE_TIME);
    network.bytes.fill(0);
    network.busy.fill(Duration::ZERO);
    network.run(MEASURED_TIME);
    let seconds = MEASURED_TIME.as_secs_f64();
    let bytes: u64 = network.bytes.iter().sum();
    let most = network.bytes.iter().max().copied().unwrap_or(0);
    let busy: Duration = network.busy.iter().sum();
    network.kill(0);
    let dead = time_until_state(&mut network, 0, State::Dead);
    network.leave(1);
    let leaving = time_until_state(&mut network, 1, State::Leaving);
    println!(
        "{hosts:5} {domains:7} {:8.0} {:12.0} {:7.3} {:7.1} {:10.1}",
        bytes as f64 / seconds / hosts as f64,
        most as f64 / seconds,
        100.0 * busy.as_secs_f64() / seconds / hosts as f64,
        dead.as_secs_f64(),
        leaving.as_secs_f64(),
    );
}

/// Time until every host of the failure domain sees `host` in `state`.
fn time_until_state(network: &mut Network, host: usize, state: State) -> Duration {
    let start = network.now;
    let known = |network: &Network| {
        network
            .seen_states(host)
            .iter()
            .all(|seen| *seen == Some(state))
    };
    while network.now < start + MAX_WAIT && !known(network) {
        network.run(Duration::from_millis(100));
    }
    network.now - start
}
