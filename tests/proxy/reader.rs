//! Tests that one host of a region reads the store for the others and that changes still reach
//! every host in time, in a simulated region and on single hosts.

use {
    crate::common::ms,
    greengagecleat::{
        name,
        proxy::{
            entry::Entry,
            follow::Section,
            reader::{Freshness, Listing, MAX_READING_AGE, Reading, Role, Token, Update},
            revision::{Era, Revision},
        },
    },
    quickcheck::{Gen, QuickCheck},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

const SECTIONS: [Section; 2] = [Section::Operator, Section::Upstreams];
const TICK: Duration = Duration::from_millis(50);
/// Time within which a change must be known: the shortest that deployments require.
const MAX_DELAY: Duration = Duration::from_millis(3_000);
/// How long a call to the store waits for a change.
const WAIT: Duration = Duration::from_millis(1_000);
/// Pause after a batch of changes of upstreams.
const BATCH_INTERVAL: Duration = Duration::from_millis(900);

/// A host's calls to the store for one section.
#[derive(Debug, Default)]
struct Call {
    /// Present while a call is under way.
    token: Option<Token>,
    /// When the call ends without a change.
    until: Duration,
    /// Before this no further call starts.
    idle_until: Duration,
}

/// A simulated host.
#[derive(Debug)]
struct Node {
    role: Role,
    /// The version of each section that the host knows.
    known: [u64; 2],
    calls: [Call; 2],
    asleep_until: Duration,
    cut_off_until: Duration,
    /// Since when the host has been running and able to reach the store.
    healthy_since: Duration,
}

/// A reading together with the versions that its sender knew.
type Announced = (Reading, [u64; 2]);

/// A simulated region: its hosts, the versions in the store and the share of lost announcements.
struct Region {
    now: Duration,
    rng: StdRng,
    loss: f64,
    nodes: Vec<Node>,
    store: [u64; 2],
    /// Era and number of the store's revision, which a restoration sets back.
    revision: (u64, u64),
    changed_at: [Duration; 2],
    calls: u32,
    /// When which host was behind in a section for longer than [`MAX_DELAY`].
    late: Vec<(Duration, usize, Section)>,
}

impl Region {
    fn new(hosts: usize, loss: f64, seed: u64) -> Self {
        let node = |number: usize| Node {
            role: Role::new(ms(0), name::Host::from(format!("h{number:02}"))),
            known: [0; 2],
            calls: Default::default(),
            asleep_until: ms(0),
            cut_off_until: ms(0),
            healthy_since: ms(0),
        };
        Self {
            now: ms(0),
            rng: StdRng::seed_from_u64(seed),
            loss,
            nodes: (0..hosts).map(node).collect(),
            store: [1; 2],
            revision: (1, 10),
            changed_at: [ms(0); 2],
            calls: 0,
            late: Vec::new(),
        }
    }

    fn change(&mut self, section: Section) {
        self.store[section as usize] += 1;
        self.revision.1 += 1;
        self.changed_at[section as usize] = self.now;
    }

    /// Sets the revision back and writes other contents.
    fn restore(&mut self) {
        let (era, number) = self.revision;
        let lost = self.rng.random_range(0..=number);
        self.revision = (era + 1, number - lost);
        for section in SECTIONS {
            self.change(section);
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        let mut announcements: Vec<(usize, Announced)> = Vec::new();
        for host in 0..self.nodes.len() {
            if self.now < self.nodes[host].asleep_until {
                self.nodes[host].healthy_since = self.nodes[host].asleep_until;
                continue;
            }
            for section in SECTIONS {
                self.read(host, section);
            }
            let before = (0..host).filter(|other| self.now >= self.nodes[*other].asleep_until);
            let before = before.count();
            let node = &mut self.nodes[host];
            let Some(announced) = node.role.announce(self.now, before) else {
                continue;
            };
            let reading = Reading {
                from: name::Host::from(format!("h{host:02}")),
                incarnation: 1,
                era: announced.era,
                operator: announced.operator,
                upstreams: announced.upstreams,
                listing: announced.listing.map(|revision| Listing {
                    revision,
                    entries: Vec::<Entry>::new(),
                }),
            };
            announcements.push((host, (reading, node.known)));
        }
        for (from, (reading, known)) in announcements {
            for host in 0..self.nodes.len() {
                let lost = self.rng.random_bool(self.loss);
                if host == from || lost || self.now < self.nodes[host].asleep_until {
                    continue;
                }
                let node = &mut self.nodes[host];
                node.role.receive(self.now, &reading);
                if let Some(listing) = &reading.listing
                    && node.role.accept_listing(&reading, listing)
                {
                    node.known[1] = node.known[1].max(known[1]);
                }
            }
        }
        self.record_late_hosts();
    }

    /// Ends a call that is due, which brings the store's current version, and starts the next call
    /// if the host should read.
    fn read(&mut self, host: usize, section: Section) {
        let (now, store) = (self.now, self.store[section as usize]);
        let (era, number) = self.revision;
        let is_cut_off = now < self.nodes[host].cut_off_until;
        let node = &mut self.nodes[host];
        if is_cut_off {
            node.healthy_since = node.cut_off_until;
        }
        let call = &mut node.calls[section as usize];
        let known = &mut node.known[section as usize];
        let is_over = now >= call.until || store > *known;
        if let Some(token) = call.token.take_if(|_| is_over) {
            if is_cut_off {
                return;
            }
            if *known != store {
                call.idle_until = match section {
                    Section::Operator => now,
                    Section::Upstreams => now + BATCH_INTERVAL,
                };
            }
            *known = store;
            let revision = Revision::new(Era::new(era.into()), number);
            node.role.finish_read(now, section, token, revision);
            node.role.set_generation(section, store);
        }
        let is_idle = call.token.is_none() && now >= call.idle_until;
        if is_idle && node.role.time_until_read(now, section).is_none() {
            call.token = Some(node.role.begin_read(section));
            call.until = now + WAIT;
            self.calls += 1;
        }
    }

    fn record_late_hosts(&mut self) {
        for (host, node) in self.nodes.iter().enumerate() {
            for section in SECTIONS {
                let since = self.changed_at[section as usize].max(node.healthy_since);
                let behind = node.known[section as usize] < self.store[section as usize];
                if behind && self.now > since + MAX_DELAY {
                    self.late.push((self.now, host, section));
                }
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }
}

/// A revision of a store that names no era.
fn at(number: u64) -> Revision {
    Revision::new(Era::default(), number)
}

fn reading(from: &str, generation: u64, age: Duration) -> Reading {
    let freshness = Freshness { generation, age };
    Reading {
        from: from.into(),
        incarnation: 1,
        era: Era::default(),
        operator: freshness,
        upstreams: freshness,
        listing: None,
    }
}

/// A host that read every section at 0 ms.
fn role(name: &str) -> Role {
    let mut role = Role::new(ms(0), name.into());
    for section in SECTIONS {
        let token = role.begin_read(section);
        role.finish_read(ms(0), section, token, at(5));
    }
    role
}

#[test]
fn a_region_of_many_hosts_asks_the_store_as_often_as_one_host() {
    let mut region = Region::new(25, 0.0, 1);
    region.run(Duration::from_secs(5));
    region.calls = 0;
    for _ in 0..20 {
        region.change(Section::Upstreams);
        region.run(Duration::from_secs(1));
    }
    // One call per second for each section, and none by the other hosts.
    assert!(region.calls <= 2 * 20 + 5, "{} calls", region.calls);
    assert_eq!(region.late, []);
}

/// When the store is restored, one host of a region lists the upstreams, and each host the
/// configuration, as it does after each of its changes.
#[test]
fn a_region_of_many_hosts_does_not_storm_a_restored_store() {
    let mut region = Region::new(25, 0.0, 1);
    region.run(Duration::from_secs(5));
    region.calls = 0;
    region.restore();
    region.run(Duration::from_secs(3));
    // The reader goes on with a call per second for each section.
    assert!(region.calls <= 25 + 1 + 2 * 3 + 2, "{} calls", region.calls);
    assert_eq!(region.late, []);
}

#[test]
fn a_lost_announcement_costs_each_host_one_call() {
    let mut region = Region::new(5, 0.0, 1);
    region.run(Duration::from_secs(3));
    region.loss = 1.0;
    region.change(Section::Upstreams);
    region.run(ms(100));
    region.loss = 0.0;
    region.calls = 0;
    region.run(Duration::from_secs(2));
    assert!(region.nodes.iter().all(|node| node.known[1] == 2));
    assert!(region.calls <= 4 + 5, "{} calls", region.calls);
}

#[test]
fn a_change_is_known_in_time_whichever_hosts_sleep_or_are_cut_off() {
    fn holds(seed: u64) -> bool {
        let mut region = Region::new(6, 0.2, seed);
        region.run(Duration::from_secs(3));
        for _ in 0..120 {
            let (at, span) = (
                region.rng.random_range(0..6),
                ms(region.rng.random_range(0..6_000)),
            );
            match region.rng.random_range(0..9) {
                0 => region.nodes[at].asleep_until = region.now + span,
                1 => region.nodes[at].cut_off_until = region.now + span,
                2 | 3 => region.change(Section::Upstreams),
                4 => region.change(Section::Operator),
                5 => region.restore(),
                _ => {}
            }
            region.run(ms(500));
        }
        region.late.is_empty()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 21))
        .tests(100)
        .quickcheck(holds as fn(u64) -> bool);
}

#[test]
fn a_reading_that_is_already_old_is_not_relied_on() {
    let mut role = role("b");
    assert_eq!(
        role.receive(ms(10), &reading("a", 1, MAX_READING_AGE)),
        Update::Ignored
    );
    assert_eq!(role.time_until_read(ms(10), Section::Operator), None);
    assert_eq!(
        role.receive(ms(20), &reading("a", 1, ms(0))),
        Update::NewSource
    );
    let token = role.begin_read(Section::Operator);
    role.finish_read(ms(30), Section::Operator, token, at(6));
    assert!(role.time_until_read(ms(40), Section::Operator).is_some());
    assert_eq!(
        role.time_until_read(ms(20) + MAX_READING_AGE, Section::Operator),
        None
    );
}

#[test]
fn a_change_of_the_configuration_is_read_at_once_and_once() {
    let mut role = role("b");
    role.receive(ms(10), &reading("a", 1, ms(0)));
    assert_eq!(role.time_until_read(ms(10), Section::Operator), None);
    let token = role.begin_read(Section::Operator);
    role.receive(ms(15), &reading("a", 2, ms(0)));
    role.finish_read(ms(20), Section::Operator, token, at(6));
    assert_eq!(
        role.time_until_read(ms(20), Section::Operator),
        None,
        "the call had begun before the announcement"
    );
    let token = role.begin_read(Section::Operator);
    role.finish_read(ms(30), Section::Operator, token, at(7));
    assert!(role.time_until_read(ms(30), Section::Operator).is_some());
}

#[test]
fn of_two_readers_only_the_first_by_name_keeps_announcing() {
    let (mut a, mut b) = (role("a"), role("b"));
    assert!(a.announce(ms(10), 0).is_some());
    assert_eq!(
        b.announce(ms(10), 1),
        None,
        "it waits for the earlier host to announce"
    );
    assert!(b.announce(ms(200), 1).is_some());
    assert_eq!(a.receive(ms(210), &reading("b", 1, ms(0))), Update::Ignored);
    assert_eq!(
        b.receive(ms(210), &reading("a", 1, ms(0))),
        Update::NewSource
    );
    assert!(a.is_announcing() && !b.is_announcing());
}

#[test]
fn a_listing_older_than_what_is_known_is_rejected() {
    let mut role = role("b");
    let announced = reading("a", 1, ms(0));
    role.receive(ms(10), &announced);
    let listing = |revision: u64| Listing {
        revision: revision.into(),
        entries: Vec::new(),
    };
    assert!(!role.accept_listing(&announced, &listing(4)));
    assert!(role.accept_listing(&announced, &listing(5)));
    assert!(role.time_until_read(ms(10), Section::Upstreams).is_some());
}

#[test]
fn a_wrong_list_is_read_again_although_another_host_reads() {
    let mut role = role("b");
    let announced = reading("a", 1, ms(0));
    role.receive(ms(10), &announced);
    let listing = Listing {
        revision: 5.into(),
        entries: Vec::new(),
    };
    role.accept_listing(&announced, &listing);
    role.invalidate(ms(20), Section::Upstreams);
    let rest = role.time_until_read(ms(20), Section::Upstreams).unwrap();
    assert!(rest < ms(500), "{rest:?}");
    assert_eq!(
        role.time_until_read(ms(20) + rest, Section::Upstreams),
        None
    );
}
