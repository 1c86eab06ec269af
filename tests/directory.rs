//! Tests of the hosts that the directory returns to callers.

use {
    greengagecleat::{
        directory::{Answer, Caller, Places, resolve},
        member::{Member, Source, State, View},
        name,
        source::{Client, Directory},
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::{collections::BTreeMap, time::Duration},
};

const REGIONS: [&str; 3] = ["south", "central", "north"];

fn member(number: u8, state: State, load: u8) -> Member {
    Member {
        region: REGIONS[usize::from(number) % 3].into(),
        domain: format!("{}-{}", REGIONS[usize::from(number) % 3], number / 3 % 2).into(),
        address: ([10, 0, 0, number], 8000).into(),
        peer_address: ([10, 0, 0, number], 9000).into(),
        state,
        incarnation: 1,
        source: Source::Heartbeat,
        load,
    }
}

fn fleet(hosts: u8) -> View {
    let hosts = (0..hosts).map(|number| (host(number), member(number, State::Live, 0)));
    View {
        hosts: hosts.collect(),
        domains: BTreeMap::new(),
    }
}

fn host(number: u8) -> name::Host {
    format!("host-{number}").into()
}

fn caller(key: u32, region: &str) -> Caller {
    Caller {
        key: key.to_string(),
        region: Some(region.into()),
        ..Caller::default()
    }
}

fn ask(view: &View, caller: &Caller) -> Answer {
    resolve(view, &"south".into(), caller)
}

fn names(answer: &Answer) -> Vec<&name::Host> {
    answer.hosts.iter().map(|entry| &entry.name).collect()
}

#[derive(Debug, Clone)]
struct Fleet {
    view: View,
    caller: Caller,
}

impl Arbitrary for Fleet {
    fn arbitrary(g: &mut Gen) -> Self {
        let states = [
            State::Live,
            State::Live,
            State::Suspect,
            State::Leaving,
            State::Dead,
        ];
        let hosts = (0..u8::arbitrary(g) % 20).map(|number| {
            let state = *g.choose(&states).unwrap();
            (host(number), member(number, state, u8::arbitrary(g) % 101))
        });
        let view = View {
            hosts: hosts.collect(),
            domains: BTreeMap::new(),
        };
        let mut caller = caller(u32::arbitrary(g), g.choose(&REGIONS).unwrap());
        for region in REGIONS {
            if bool::arbitrary(g) && bool::arbitrary(g) {
                caller.residency.insert(region.into());
            }
        }
        Self { view, caller }
    }
}

fn check_property(property: fn(Fleet) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 4))
        .tests(300)
        .quickcheck(property);
}

#[test]
fn residency_and_state_take_precedence() {
    check_property(|Fleet { view, caller }| {
        let answer = ask(&view, &caller);
        let allowed = |member: &Member| {
            caller.residency.is_empty() || caller.residency.contains(&member.region)
        };
        let live = view
            .hosts
            .values()
            .any(|member| allowed(member) && member.state == State::Live);
        let reachable = view
            .hosts
            .values()
            .any(|member| allowed(member) && member.state != State::Dead);
        let all_allowed = answer.hosts.iter().all(|entry| {
            let member = &view.hosts[&entry.name];
            let state = match live {
                true => member.state == State::Live,
                false => member.state != State::Dead,
            };
            allowed(member) && state
        });
        all_allowed && answer.hosts.is_empty() != reachable
    });
}

#[test]
fn the_callers_region_comes_first_and_its_busy_hosts_last() {
    check_property(|Fleet { view, caller }| {
        let answer = ask(&view, &caller);
        let order = |name: &name::Host| {
            let member = &view.hosts[name];
            (
                Some(&member.region) != caller.region.as_ref(),
                member.load > 85,
            )
        };
        names(&answer).is_sorted_by_key(|name| order(name))
    });
}

#[test]
fn removing_a_host_moves_only_its_own_callers() {
    check_property(|Fleet { view, caller }| {
        let before = ask(&view, &caller);
        let Some(first) = before.hosts.first() else {
            return true;
        };
        view.hosts
            .keys()
            .filter(|host| **host != first.name)
            .all(|host| {
                let mut smaller = view.clone();
                smaller.hosts.remove(host);
                ask(&smaller, &caller).hosts.first() == Some(first)
            })
    });
}

#[test]
fn callers_are_spread_evenly_and_over_failure_domains() {
    let view = fleet(12);
    let mut counts = BTreeMap::new();
    for key in 0..4000 {
        let answer = ask(&view, &caller(key, "south"));
        assert_ne!(answer.hosts[0].domain, answer.hosts[1].domain);
        *counts.entry(answer.hosts[0].name.clone()).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 4);
    assert!(
        counts.values().all(|count| (900..1100).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn ttl_is_shorter_while_a_host_of_the_region_is_suspect_or_leaving() {
    let mut view = fleet(9);
    let caller = caller(1, "south");
    let stable = ask(&view, &caller).ttl;
    view.hosts.insert(host(1), member(1, State::Leaving, 0));
    assert_eq!(ask(&view, &caller).ttl, stable);
    view.hosts.insert(host(0), member(0, State::Suspect, 0));
    assert!(ask(&view, &caller).ttl < stable);
    assert!((Duration::from_secs(10)..Duration::from_secs(15)).contains(&stable));
}

#[test]
fn region_is_that_of_the_longest_matching_prefix() {
    let client = |network: &str, region: &str| Client {
        network: network.into(),
        region: region.into(),
        domain: "d".into(),
    };
    let places = Places::new(&Directory {
        clients: vec![
            client("10.0.0.0/8", "south"),
            client("10.1.0.0/16", "north"),
            client("10.1.2.3/32", "central"),
            client("fd00::/8", "central"),
            client("10.2.0.0/33", "nowhere"),
            client("host/8", "nowhere"),
        ],
    });
    let region = |address: &str| {
        let region = places.region(address.parse().unwrap());
        region.map(|region| region.as_str().to_owned())
    };
    assert_eq!(region("10.9.9.9").as_deref(), Some("south"));
    assert_eq!(region("10.1.9.9").as_deref(), Some("north"));
    assert_eq!(region("10.1.2.3").as_deref(), Some("central"));
    assert_eq!(region("fd01::1").as_deref(), Some("central"));
    assert_eq!(region("10.2.0.1").as_deref(), Some("south"));
    assert_eq!(region("192.0.2.1"), None);
}
