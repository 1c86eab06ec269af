//! A customer's rate over the whole fleet, with hosts that lag, are cut off, restart or go.

use {
    crate::common::{customer, ms},
    greengagecleat::{
        name,
        proxy::{rate::Limiter, table::Customer},
    },
    quickcheck::{Gen, QuickCheck},
    std::{sync::Arc, time::Duration},
};

const RATE: f64 = 10_000.0;
const STEP: Duration = Duration::from_millis(50);
/// Failure domains, which a cut parts.
const SIDES: usize = 3;
/// What the users' bound allows beyond rate and burst in its window, and the window.
const OVERAGE: f64 = 0.25;
const WINDOW: Duration = Duration::from_secs(8);

struct Host {
    name: name::Host,
    side: usize,
    incarnation: u64,
    limiter: Limiter,
}

struct Fleet {
    hosts: Vec<Host>,
    customer: Arc<Customer>,
    admitted: Vec<(Duration, f64)>,
    refused: u32,
}

impl Fleet {
    fn new(hosts: usize) -> Self {
        let customer = Arc::new(customer("c", RATE));
        let hosts = (0..hosts)
            .map(|n| Host {
                name: format!("h{n}").as_str().into(),
                side: n % SIDES,
                incarnation: 1,
                limiter: started(ms(0), &customer),
            })
            .collect();
        Self {
            hosts,
            customer,
            admitted: Vec::new(),
            refused: 0,
        }
    }

    fn ask(&mut self, now: Duration, host: usize, units: f64) {
        match self.hosts[host].limiter.admit(now, &"c".into(), units) {
            Ok(()) => self.admitted.push((now, units)),
            Err(_) => self.refused += 1,
        }
    }

    /// Every host hears every other one that is on its side, or all if there is no cut.
    fn exchange(&mut self, now: Duration, cut: bool) {
        let said: Vec<_> = self
            .hosts
            .iter_mut()
            .map(|host| {
                let spent = host.limiter.usage(now);
                let hosts = host.limiter.host_count();
                (host.name.clone(), host.side, host.incarnation, hosts, spent)
            })
            .collect();
        for host in &mut self.hosts {
            // As the fleet estimates it: sides of which nobody is heard are like the own one.
            let heard = said.iter().filter(|said| !cut || said.1 == host.side);
            let seen = heard.count();
            let sides = if cut { 1 } else { SIDES };
            host.limiter.set_estimated_hosts(seen * SIDES / sides);
            for (name, side, incarnation, hosts, spent) in &said {
                if *name != host.name && (!cut || *side == host.side) {
                    host.limiter.record_usage(now, name, *incarnation, spent);
                    host.limiter.record_reported_hosts(now, *hosts);
                }
            }
        }
    }

    fn restart(&mut self, now: Duration, host: usize) {
        let limiter = started(now, &self.customer);
        let host = &mut self.hosts[host];
        host.incarnation += 1;
        host.limiter = limiter;
    }

    /// The most that was admitted in any window.
    fn most(&self) -> f64 {
        let windows = self.admitted.iter().map(|(from, _)| {
            let inside = self.admitted.iter();
            inside
                .filter(|(at, _)| at >= from && *at < *from + WINDOW)
                .map(|(_, units)| units)
                .sum()
        });
        windows.fold(0.0, f64::max)
    }
}

fn started(now: Duration, customer: &Arc<Customer>) -> Limiter {
    let mut limiter = Limiter::new(now);
    limiter.configure(now, [customer].into_iter());
    limiter
}

fn bound() -> f64 {
    (RATE * WINDOW.as_secs_f64() + RATE) * (1.0 + OVERAGE)
}

#[test]
fn a_customer_below_its_rate_is_not_refused() {
    let mut fleet = Fleet::new(9);
    for step in 0..800_u32 {
        let now = ms(4_000) + STEP * step;
        if step % 5 == 0 {
            fleet.exchange(now, false);
        }
        // Seven tenths of the rate, all of it at one host after another.
        let host = (step / 100) as usize;
        fleet.ask(now, host, 0.7 * RATE * STEP.as_secs_f64());
    }
    assert_eq!(fleet.refused, 0);
}

#[test]
fn the_fleet_admits_about_the_rate_and_no_more_at_many_times_the_demand() {
    let mut fleet = Fleet::new(9);
    for step in 0..600_u32 {
        let now = STEP * step;
        if step % 5 == 0 {
            fleet.exchange(now, false);
        }
        for host in 0..9 {
            fleet.ask(now, host, 400.0);
        }
    }
    assert!(fleet.most() <= bound(), "{} of {}", fleet.most(), bound());
    let all: f64 = fleet.admitted.iter().map(|(_, units)| units).sum();
    assert!(all >= 0.8 * RATE * 30.0, "{all}");
}

#[test]
fn hosts_on_both_sides_of_a_cut_keep_the_rate_between_them() {
    let mut fleet = Fleet::new(9);
    for step in 0..800_u32 {
        let now = STEP * step;
        let cut = (200..600).contains(&step);
        if step % 5 == 0 {
            fleet.exchange(now, cut);
        }
        for host in 0..9 {
            fleet.ask(now, host, 400.0);
        }
    }
    assert!(fleet.most() <= bound(), "{} of {}", fleet.most(), bound());
}

#[test]
fn a_host_that_is_alone_from_its_start_takes_a_part() {
    let mut fleet = Fleet::new(1);
    for step in 0..400_u32 {
        fleet.ask(STEP * step, 0, 400.0);
    }
    let all: f64 = fleet.admitted.iter().map(|(_, units)| units).sum();
    assert!(all <= 0.3 * RATE * 20.0, "{all}");
}

#[test]
fn a_guess_that_was_too_high_is_given_up_when_the_hosts_are_known() {
    // Three hosts of one domain know nobody of the other two, which have one host each.
    let mut fleet = Fleet::new(5);
    fleet.exchange(ms(0), false);
    for host in &mut fleet.hosts {
        host.limiter.set_estimated_hosts(9);
        host.limiter.set_estimated_hosts(5);
    }
    for step in 80..400_u32 {
        let now = STEP * step;
        if step % 5 == 0 {
            fleet.exchange(now, false);
        }
        fleet.ask(now, 0, 0.7 * RATE * STEP.as_secs_f64());
    }
    assert_eq!(fleet.refused, 0);
}

#[test]
fn a_refused_request_is_given_back() {
    let customer = Arc::new(customer("c", RATE));
    let mut limiter = started(ms(0), &customer);
    let name = "c".into();
    assert!(limiter.admit(ms(4_000), &name, 10_000.0).is_ok());
    assert!(limiter.admit(ms(4_000), &name, 10_000.0).is_err());
    limiter.refund(&name, 10_000.0);
    assert!(limiter.admit(ms(4_000), &name, 10_000.0).is_ok());
}

/// Cuts, restarts and demands drawn at random.
fn schedule(seed: Vec<u8>) -> bool {
    let mut fleet = Fleet::new(6);
    let mut cut = false;
    for step in 0..500_u32 {
        let now = STEP * step;
        let byte = seed.get(step as usize % seed.len().max(1)).copied();
        let byte = byte.unwrap_or(0).wrapping_add((step / 64) as u8);
        if step % 40 == 0 {
            cut = byte % 3 == 0;
        }
        if step % 60 == 30 && byte % 4 == 0 {
            fleet.restart(now, usize::from(byte) % 6);
        }
        if step % 5 == 0 {
            fleet.exchange(now, cut);
        }
        for host in 0..6 {
            let units = f64::from(byte % 8) * 100.0;
            fleet.ask(now, host, units);
        }
    }
    let all: f64 = fleet.most();
    // The slack stands for the reports that are under way and for hosts that start again.
    all <= bound() + 0.5 * RATE
}

#[test]
fn no_schedule_of_cuts_and_restarts_breaks_the_bound() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 11))
        .tests(60)
        .quickcheck(schedule as fn(Vec<u8>) -> bool);
}
