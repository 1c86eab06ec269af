//! Which hosts directory answers name where hosts differ in size: the shares of new connections that
//! hosts get, and how answers change with the fleet.

use {
    crate::common::{identity, ms, report},
    greengagecleat::proxy::{
        directory::Answer,
        fleet::{Fleet, GONE_AFTER, Identity},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, Ipv4Addr, SocketAddr},
    },
};

const CALLERS: u32 = 2_000;

/// Numbers of hosts with their capacities, and what the shares are bounded by.
type Case = (&'static [(usize, u32)], Option<f64>);

/// Hosts by number and capacity, of two failure domains in turn.
fn hosts(sizes: &[(usize, u32)]) -> Vec<Identity> {
    let capacities = sizes
        .iter()
        .flat_map(|(hosts, capacity)| vec![*capacity; *hosts]);
    let hosts = capacities.enumerate().map(|(at, capacity)| {
        let mut host = identity(&format!("h{at:03}"), "north", 1);
        host.domain = ["north-a", "north-b"][at % 2].into();
        host.callers.set_port(1_000 + at as u16);
        host.capacity = Some(capacity);
        host
    });
    hosts.collect()
}

fn callers() -> impl Iterator<Item = IpAddr> {
    (0..CALLERS).map(|at| Ipv4Addr::from(0x0a09_0000 + at).into())
}

fn answer(caller: IpAddr, hosts: &[Identity]) -> Answer {
    Answer::new(caller, &hosts.iter().collect::<Vec<_>>(), false)
}

fn named(caller: IpAddr, hosts: &[Identity]) -> BTreeSet<SocketAddr> {
    answer(caller, hosts).addresses.into_iter().collect()
}

fn all(hosts: &[Identity]) -> Vec<SocketAddr> {
    hosts.iter().map(|host| host.callers).collect()
}

/// The share of all callers' new connections that each host gets.
fn shares(hosts: &[Identity]) -> Vec<f64> {
    let mut shares = BTreeMap::new();
    for caller in callers() {
        let addresses = answer(caller, hosts).addresses;
        let share = 1.0 / (addresses.len() as f64 * f64::from(CALLERS));
        for address in addresses {
            *shares.entry(address).or_default() += share;
        }
    }
    let share = |host: &Identity| shares.get(&host.callers).copied().unwrap_or(0.0);
    hosts.iter().map(share).collect()
}

/// Guards against small hosts that get as many connections as large ones, also with several sizes, with
/// a mean number of hosts that is no whole number, and at the bounds of 8 and 64 hosts.
#[test]
fn hosts_get_connections_in_proportion_to_their_capacity() {
    // The last column is the share of the first size, where the bounds allow no proportion.
    let cases: [Case; 7] = [
        (&[(4, 500), (25, 120)], None),
        (&[(4, 500), (26, 120)], None),
        (&[(3, 1_000), (9, 500), (5, 300), (24, 120)], None),
        (&[(1, 700), (1, 650), (1, 600), (20, 333), (20, 10)], None),
        (&[(40, 500), (200, 120)], None),
        (&[(1, 2_000), (20, 100)], Some(1.0 / 8.0)),
        (&[(2, 900), (30, 100)], Some(1.0 / 8.0)),
    ];
    for (sizes, bounded) in cases {
        let hosts = hosts(sizes);
        let shares = shares(&hosts);
        let sum: u32 = hosts.iter().filter_map(|host| host.capacity).sum();
        let mut from = 0;
        for (at, (count, capacity)) in sizes.iter().enumerate() {
            let of_size = &shares[from..from + count];
            from += count;
            let rest = f64::from(sum - sizes[0].1 * sizes[0].0 as u32);
            let proportion = f64::from(*capacity);
            let due = match bounded {
                None => proportion / f64::from(sum),
                Some(first) if at == 0 => first,
                Some(first) => (1.0 - first * sizes[0].0 as f64) * proportion / rest,
            };
            let mean = of_size.iter().sum::<f64>() / *count as f64;
            assert!(
                (mean / due - 1.0).abs() < 0.03,
                "{sizes:?} {capacity}: {mean} {due}"
            );
            // Callers are few for the smallest hosts, so single ones differ by chance: by four standard
            // deviations of the number of answers that name them.
            let answers = f64::from(CALLERS) * (due * 8.0).min(1.0);
            let chance = 0.03 + 4.0 / answers.sqrt();
            for share in of_size {
                assert!(
                    (share / due - 1.0).abs() < chance,
                    "{sizes:?} {capacity}: {share} {due}"
                );
            }
        }
    }
}

/// Guards against answers so short that one failure takes most of a caller's connections, longer than
/// callers read, or that differ between the hosts that are asked or the forms of a caller's address.
#[test]
fn answers_keep_to_the_bounds_and_are_the_same_everywhere() {
    for sizes in [
        &[(4, 500), (25, 120)][..],
        &[(1, 2_000), (6, 100)],
        &[(1, 2_000), (90, 100)],
        &[(100, 500), (100, 499)],
    ] {
        let hosts = hosts(sizes);
        let mut turned = hosts.clone();
        turned.rotate_left(5);
        for caller in callers() {
            let named = named(caller, &hosts);
            assert!(named.len() >= hosts.len().min(8) && named.len() <= 64);
            assert_eq!(named, self::named(caller, &turned));
            let IpAddr::V4(address) = caller else {
                panic!("callers have IPv4 addresses")
            };
            let mapped = address.to_ipv6_mapped().into();
            assert_eq!(named, self::named(mapped, &hosts));
        }
    }
}

/// Guards against callers that lose connections to living hosts because another host died.
#[test]
fn a_host_that_dies_moves_few_connections() {
    let before = hosts(&[(4, 500), (25, 120), (10, 60)]);
    for dead in [0, 10, 35] {
        let mut after = before.clone();
        let gone = after.remove(dead).callers;
        let mut lost = 0;
        for caller in callers() {
            let kept = named(caller, &after);
            let left = named(caller, &before);
            let left: Vec<_> = left.difference(&kept).filter(|it| **it != gone).collect();
            assert!(left.len() <= 1, "{caller}: {left:?}");
            lost += left.len();
        }
        assert!(lost <= CALLERS as usize / 3, "{dead}: {lost}");
    }
}

/// Guards against answers that leave room for large hosts that no longer exist.
#[test]
fn without_the_largest_hosts_the_others_are_named_as_if_there_had_been_none() {
    let small = hosts(&[(25, 120)]);
    let caller = callers().next().unwrap();
    assert_eq!(answer(caller, &small).addresses, all(&small));
    let three = hosts(&[(4, 500), (10, 240), (25, 120)]);
    let two = &three[4..];
    let size = named(caller, two).len();
    assert!((22..=23).contains(&size), "10 + 25 / 2 hosts, not {size}");
}

/// Guards against a change for fleets of one size, or with hosts that tell no capacity.
#[test]
fn all_hosts_are_named_where_capacities_are_alike_or_unknown() {
    let caller = callers().next().unwrap();
    let mut hosts = hosts(&[(4, 500), (70, 120)]);
    for unknown in [None, Some(0)] {
        hosts[30].capacity = unknown;
        let answer = answer(caller, &hosts);
        assert_eq!(answer.addresses, all(&hosts)[..64]);
        assert!(!answer.is_weighted);
    }
    for host in &mut hosts {
        host.capacity = Some(120);
    }
    assert_eq!(answer(caller, &hosts).addresses, all(&hosts)[..64]);
    assert_eq!(answer(caller, &[]), Answer::default());
}

/// Guards against answers within one failure domain, which an evacuation makes useless, and against
/// a search for a second one where there is none.
#[test]
fn answers_name_two_failure_domains_where_there_are_two() {
    let domains = |hosts: &[Identity], caller| {
        let named = named(caller, hosts);
        let of_named = hosts.iter().filter(|host| named.contains(&host.callers));
        of_named
            .map(|host| host.domain.clone())
            .collect::<BTreeSet<_>>()
            .len()
    };
    for sizes in [&[(9, 500), (1, 5)][..], &[(100, 500), (1, 5)]] {
        let mut hosts = hosts(sizes);
        for host in &mut hosts {
            let is_large = host.capacity == Some(500);
            host.domain = if is_large { "north-a" } else { "north-b" }.into();
        }
        for caller in callers() {
            assert_eq!(domains(&hosts, caller), 2);
            assert!(named(caller, &hosts).len() <= 64);
        }
    }
    let mut single = hosts(&[(4, 500), (25, 120)]);
    for host in &mut single {
        host.domain = "north-a".into();
    }
    assert!(callers().all(|caller| named(caller, &single).len() == 10));
}

/// Guards against capacities that get lost on the way between hosts, and against dead or leaving hosts
/// in answers.
#[test]
fn capacities_come_with_reports_and_only_live_hosts_are_named() {
    let hosts = hosts(&[(4, 500), (25, 120)]);
    let mut fleet = Fleet::new(hosts[0].clone(), Vec::new());
    for (at, host) in hosts[1..].iter().enumerate() {
        let mut sent = report(host.clone(), 1);
        sent.leaving = at == 0;
        let text = serde_json::to_string(&sent).unwrap();
        let sent = serde_json::from_str(&text).unwrap();
        // The second host falls silent, the first one leaves.
        fleet.record_report(ms(if at == 1 { 0 } else { 2_000 }), &sent);
    }
    let live: Vec<_> = [&hosts[..1], &hosts[3..]].concat();
    for caller in callers() {
        let now = GONE_AFTER + ms(1);
        let (region, domain) = ("north".into(), "north-a".into());
        let answer = fleet.directory(now, caller, &region, &domain, true, |_| 1);
        assert_eq!(answer, self::answer(caller, &live));
        assert!(answer.is_weighted);
    }
}

/// Guards against reports that hosts of older builds can't read, or whose reports can't be read.
#[test]
fn an_unknown_capacity_is_absent_on_the_wire() {
    let unknown = identity("n1", "north", 1);
    let text = serde_json::to_string(&unknown).unwrap();
    assert!(!text.contains("capacity"), "{text}");
    assert_eq!(serde_json::from_str::<Identity>(&text).unwrap(), unknown);
}
