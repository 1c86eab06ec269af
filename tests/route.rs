//! Routing: properties under random events, single choices of the router, and the router in the
//! daemon.

mod common;

use {
    common::{Bed, KOLLAM, chat, until},
    greengagecleat::{
        config::{
            Snapshot,
            table::{Customers, Kind, Payment, Pool, Pools, Route, Routes},
        },
        name,
        route::{
            Choice, Digest, Home, MAX_HOPS, Mutant, Options, Prefix, Reason, Refusal, Report,
            Request, Router, State, Summary, Upstream, reach::Change,
        },
    },
    quickcheck::{Gen, QuickCheck, Testable},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    testbed::{
        engine,
        platform::{self, Hosts},
    },
};

const REGIONS: [&str; 3] = ["north", "middle", "south"];
const REPLICAS: usize = 4;
const SECOND: Duration = Duration::from_secs(1);

fn check(seed: u64, tests: u64, property: impl Testable) -> bool {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, seed))
        .tests(tests)
        .quicktest(property)
        .is_ok()
}

fn pool(region: &str, payment: Payment) -> Pool {
    let text = format!("name = \"{region}\"\nregion = \"{region}\"\nslots = 4");
    Pool {
        payment,
        ..toml::from_str(&text).unwrap()
    }
}

fn route() -> Route {
    Route {
        name: "digest".into(),
        kind: Kind::Model,
        model: Some("ml".into()),
        path: None,
        pools: REGIONS.map(name::Pool::from).to_vec(),
        open: false,
        customers: Default::default(),
        idempotent: true,
        deferrable: false,
        deadline_ms: 60_000,
        bytes_per_token: 1.0,
    }
}

/// A configuration with one pool per region, and one customer for each set of allowed regions.
fn snapshot() -> Arc<Snapshot> {
    let customer = |set: usize| {
        let residency = (0..3).filter(|at| set >> at & 1 == 1).map(|at| REGIONS[at]);
        let residency: Vec<_> = residency.collect();
        let text = format!("name = \"c{set}\"\nrate = 1.0\nburst = 1.0\nresidency = {residency:?}");
        toml::from_str(&text).unwrap()
    };
    Arc::new(Snapshot::new(
        Routes {
            route: vec![route()],
        },
        Pools {
            pool: REGIONS.map(|region| pool(region, Payment::Paid)).to_vec(),
        },
        Customers {
            customer: (0..8).map(customer).collect(),
        },
    ))
}

fn listed(region: &str, at: usize, state: State) -> Upstream {
    Upstream {
        name: format!("{region}-{at}").as_str().into(),
        pool: region.into(),
        state,
    }
}

fn list(region: &str) -> Vec<Upstream> {
    (0..REPLICAS)
        .map(|at| listed(region, at, State::Live))
        .collect()
}

fn router(region: &str, options: Options) -> Router {
    let home = Home {
        host: region.into(),
        region: region.into(),
    };
    let mut router = Router::new(home, options, 7);
    router.set_config(snapshot());
    router.set_upstreams(Duration::ZERO, &list(region));
    router
}

fn request_for(route: &Route) -> Request<'_> {
    Request {
        route,
        customer: None,
        prefix: None,
        prompt_tokens: 500,
        bytes: 4_000,
        deadline: 60 * SECOND,
        visited: &[],
        hosts: &[],
        hops_left: MAX_HOPS,
        on_demand: false,
        tried: &[],
    }
}

/// An open route, so that requests need no customer.
fn open_route() -> Route {
    Route {
        open: true,
        ..route()
    }
}

fn digest(region: &str, outstanding: f32) -> Digest {
    let summary = Summary {
        live: REPLICAS as u32,
        capacity: 16.0,
        outstanding,
        service_ms: 2_000,
        backlog_ms: 0,
    };
    Digest {
        region: region.into(),
        pools: BTreeMap::from([(region.into(), summary)]),
        unreached: BTreeMap::new(),
    }
}

/// Three regions under random events. Requests are followed until they are served or refused.
struct World {
    rng: StdRng,
    now: Duration,
    routers: Vec<Router>,
    lists: Vec<Vec<Upstream>>,
    snapshot: Arc<Snapshot>,
}

impl World {
    fn new(seed: u64, mutant: Mutant) -> Self {
        let options = || Options {
            mutant,
            ..Options::default()
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            routers: REGIONS
                .iter()
                .map(|region| router(region, options()))
                .collect(),
            lists: REGIONS.iter().map(|region| list(region)).collect(),
            snapshot: snapshot(),
        }
    }

    fn apply_random_event(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(0..3_000));
        let at = self.rng.random_range(0..3);
        let replica = self.rng.random_range(0..REPLICAS);
        let upstream = self.lists[at][replica].name.clone();
        match self.rng.random_range(0..5) {
            0 => self.relist(at, replica),
            1 => {
                let waiting = self.rng.random_range(0..40);
                let report = Report {
                    at_ms: self.now.as_millis() as u64,
                    waiting,
                    slots: 4,
                    ..Report::default()
                };
                self.routers[at].apply_report(self.now, &upstream, &report);
            }
            2 => self.routers[at].record_failed(self.now, &upstream),
            3 => self.routers[at].record_finished(self.now, &upstream, SECOND),
            _ => self.send_digest(at),
        }
    }

    fn relist(&mut self, at: usize, replica: usize) {
        let leave = self.rng.random_bool(0.5);
        self.lists[at][replica].state = if leave { State::Leaving } else { State::Live };
        self.routers[at].set_upstreams(self.now, &self.lists[at]);
    }

    fn send_digest(&mut self, from: usize) {
        let digest = self.routers[from].own_digest(self.now);
        let to = self.rng.random_range(0..3);
        self.routers[to].apply_digest(self.now, digest);
    }

    /// Follows one request and returns whether residency, loops and leaving replicas were
    /// respected.
    fn request(&mut self) -> bool {
        let set = self.rng.random_range(0..8);
        let customer = self.snapshot.customers[format!("c{set}").as_str()].clone();
        let route = self.snapshot.routes["digest"].clone();
        let mut at = self.rng.random_range(0..3);
        let mut visited: Vec<name::Region> = Vec::new();
        let mut hosts: Vec<name::Host> = Vec::new();
        for hops in (0..=MAX_HOPS).rev() {
            let request = Request {
                customer: Some(&customer),
                visited: &visited,
                hosts: &hosts,
                hops_left: hops,
                prefix: Some(Prefix::of(&[set as u8])),
                ..request_for(&route)
            };
            let Ok(choice) = self.routers[at].choose(self.now, &request) else {
                return true;
            };
            let resident =
                customer.residency.is_empty() || customer.residency.contains(&choice.region);
            if !resident || visited.contains(&choice.region) {
                return false;
            }
            let Some(upstream) = choice.upstream else {
                visited.push(REGIONS[at].into());
                hosts.push(REGIONS[at].into());
                at = REGIONS
                    .iter()
                    .position(|one| *one == choice.region.as_str())
                    .unwrap();
                continue;
            };
            self.routers[at].record_sent(self.now, &upstream, &request);
            let listed = self.lists[at].iter().find(|one| one.name == upstream);
            return listed.is_some_and(|one| one.state == State::Live);
        }
        false
    }
}

fn properties_hold(seed: u64, mutant: Mutant) -> bool {
    let mut world = World::new(seed, mutant);
    (0..200).all(|_| {
        world.apply_random_event();
        world.request()
    })
}

#[test]
fn residency_loops_and_leaving_hold_under_random_events() {
    fn property(seed: u64) -> bool {
        properties_hold(seed, Mutant::None)
    }
    assert!(check(1, 150, property as fn(u64) -> bool));
}

#[test]
fn property_catches_a_router_that_ignores_residency() {
    fn property(seed: u64) -> bool {
        properties_hold(seed, Mutant::Residency)
    }
    assert!(!check(1, 150, property as fn(u64) -> bool));
}

#[test]
fn property_catches_a_router_that_ignores_visited_regions() {
    fn property(seed: u64) -> bool {
        properties_hold(seed, Mutant::Visited)
    }
    assert!(!check(1, 150, property as fn(u64) -> bool));
}

#[test]
fn property_catches_a_router_that_uses_leaving_replicas() {
    fn property(seed: u64) -> bool {
        properties_hold(seed, Mutant::Leaving)
    }
    assert!(!check(1, 150, property as fn(u64) -> bool));
}

#[test]
fn closed_route_refuses_a_request_without_a_customer() {
    let route = route();
    let refusal = router("north", Options::default()).choose(SECOND, &request_for(&route));
    assert_eq!(refusal, Err(Refusal::Closed));
}

#[test]
fn same_seed_and_events_give_the_same_choices() {
    let choices = || -> Vec<Choice> {
        let mut router = router("north", Options::default());
        let route = open_route();
        let each = (0..100).map(|_| {
            let choice = router.choose(SECOND, &request_for(&route)).unwrap();
            router.record_sent(
                SECOND,
                choice.upstream.as_ref().unwrap(),
                &request_for(&route),
            );
            choice
        });
        each.collect()
    };
    assert_eq!(choices(), choices());
}

#[test]
fn shared_prefix_goes_to_one_replica_on_every_host_until_it_is_loaded() {
    let route = open_route();
    let request = Request {
        prefix: Some(Prefix::of(&[b'a'; 8_000])),
        ..request_for(&route)
    };
    let first = |seed: u64| {
        let home = Home {
            host: "other".into(),
            region: "north".into(),
        };
        let mut router = Router::new(home, Options::default(), seed);
        router.set_config(snapshot());
        router.set_upstreams(Duration::ZERO, &list("north"));
        router.choose(SECOND, &request).unwrap().upstream.unwrap()
    };
    let chosen = first(1);
    assert!((2..20).all(|seed| first(seed) == chosen));

    let mut router = router("north", Options::default());
    let mut count: BTreeMap<name::Upstream, u32> = BTreeMap::new();
    for _ in 0..32 {
        let upstream = router.choose(SECOND, &request).unwrap().upstream.unwrap();
        router.record_sent(SECOND, &upstream, &request);
        *count.entry(upstream).or_default() += 1;
    }
    assert_eq!(count.len(), REPLICAS, "{count:?}");
}

#[test]
fn lagging_report_counts_own_requests_once() {
    let mut router = router("north", Options::default());
    let upstream = name::Upstream::from("north-0");
    let report = |at_ms, running| Report {
        at_ms,
        running,
        slots: 4,
        ..Report::default()
    };
    router.apply_report(SECOND, &upstream, &report(5_000, 1));
    let route = open_route();
    router.record_sent(2 * SECOND, &upstream, &request_for(&route));
    router.record_sent(4 * SECOND, &upstream, &request_for(&route));
    // Taken two seconds after the first report, before the second request was sent, but arrives
    // late.
    router.apply_report(5 * SECOND, &upstream, &report(7_000, 2));
    let summary = router.own_digest(5 * SECOND).pools["north"];
    assert_eq!(summary.outstanding, 3.0);
}

#[test]
fn failing_replica_is_ejected_probed_once_and_taken_back_slowly() {
    let mut router = router("north", Options::default());
    let failing = name::Upstream::from("north-1");
    let route = open_route();
    for _ in 0..3 {
        router.record_sent(SECOND, &failing, &request_for(&route));
        router.record_failed(SECOND, &failing);
    }
    let chosen = |router: &mut Router, now| {
        let choice = router.choose(now, &request_for(&route)).unwrap();
        choice.upstream.unwrap()
    };
    assert!((0..200).all(|_| chosen(&mut router, 2 * SECOND) != failing));

    let later = 4 * SECOND;
    assert!((0..200).any(|_| chosen(&mut router, later) == failing));
    router.record_sent(later, &failing, &request_for(&route));
    assert!((0..200).all(|_| chosen(&mut router, later) != failing));
    let before = router.own_digest(later).pools["north"].capacity;
    router.record_finished(later, &failing, SECOND);
    let after = router.own_digest(later).pools["north"].capacity;
    assert!(after - before < 1.0, "{before} {after}");
    let warm = router.own_digest(later + 30 * SECOND).pools["north"].capacity;
    assert_eq!(warm, 16.0);
}

#[test]
fn ejections_are_ignored_when_most_of_a_pool_fails() {
    let mut router = router("north", Options::default());
    let route = open_route();
    for at in 0..REPLICAS {
        let upstream = listed("north", at, State::Live).name;
        for _ in 0..3 {
            router.record_sent(SECOND, &upstream, &request_for(&route));
            router.record_failed(SECOND, &upstream);
        }
    }
    let request = Request {
        hops_left: 0,
        ..request_for(&route)
    };
    assert!(router.choose(SECOND, &request).is_ok());
}

#[test]
fn draining_report_and_missing_model_exclude_a_replica() {
    let mut router = router("north", Options::default());
    let report = |models: &[&str], draining| Report {
        slots: 4,
        models: models
            .iter()
            .map(|model| name::Model::from(*model))
            .collect(),
        draining,
        ..Report::default()
    };
    for (at, report) in [
        report(&["ml"], true),
        report(&["other"], false),
        report(&["ml"], false),
        report(&["ml"], true),
    ]
    .iter()
    .enumerate()
    {
        router.apply_report(SECOND, &listed("north", at, State::Live).name, report);
    }
    let route = open_route();
    for _ in 0..50 {
        let choice = router.choose(SECOND, &request_for(&route)).unwrap();
        assert_eq!(choice.upstream.unwrap().as_str(), "north-2");
    }
}

#[test]
fn large_pool_is_followed_in_bounded_subsets_that_cover_it() {
    let many: Vec<_> = (0..400)
        .map(|at| listed("north", at, State::Live))
        .collect();
    let options = Options::default();
    let mut covered = std::collections::BTreeSet::new();
    for rank in 0..30 {
        let mut router = router("north", options.clone());
        router.set_hosts(rank, 30);
        router.set_upstreams(SECOND, &many);
        let followed = router.followed().count();
        assert!(followed <= 2 * options.max_followed, "{followed}");
        covered.extend(router.followed().map(|(upstream, _)| upstream.clone()));
    }
    assert_eq!(covered.len(), many.len());
}

/// Number of `requests` that are spilled while the digest of `south` says that `outstanding`
/// requests are in its engines.
fn spilled(router: &mut Router, now: Duration, outstanding: f32, requests: u32) -> u32 {
    let route = open_route();
    router.apply_digest(now, digest("south", outstanding));
    let choices = (0..requests).map(|_| router.choose(now, &request_for(&route)).unwrap());
    choices
        .map(|choice| u32::from(choice.region.as_str() == "south"))
        .sum()
}

#[test]
fn waiting_at_home_spills_beyond_one_bound_and_stops_below_a_lower_one() {
    let mut router = router("north", Options::default());
    let wait = |router: &mut Router, millis| {
        router.set_backlog(&"north".into(), Duration::from_millis(millis));
    };
    for (step, (millis, spills)) in [(0, 0), (140, 0), (160, 1), (140, 1), (90, 0), (140, 0)]
        .into_iter()
        .enumerate()
    {
        wait(&mut router, millis);
        let now = SECOND * step as u32;
        assert_eq!(spilled(&mut router, now, 0.0, 1), spills, "step {step}");
    }
}

#[test]
fn spill_stops_when_what_was_sent_since_the_digest_fills_the_other_region() {
    let mut router = router("north", Options::default());
    router.set_hosts(0, 4);
    router.set_backlog(&"north".into(), 2 * SECOND);
    // The region `south` runs 16 at once. Each of four hosts is assumed to send as many as this
    // one.
    let sent = spilled(&mut router, SECOND, 4.0, 100);
    assert!((2..=8).contains(&sent), "{sent}");
}

#[test]
fn request_with_a_warm_prefix_at_home_spills_later_than_one_without() {
    let mut router = router("north", Options::default());
    let route = open_route();
    router.apply_digest(SECOND, digest("south", 0.0));
    router.set_backlog(&"north".into(), Duration::from_millis(300));
    let warm = Request {
        prefix: Some(Prefix::of(&[b'a'; 8_000])),
        ..request_for(&route)
    };
    router.record_sent(SECOND, &"north-0".into(), &warm);
    let region =
        |router: &mut Router, request: &Request<'_>| router.choose(SECOND, request).unwrap().region;
    assert_eq!(region(&mut router, &warm).as_str(), "north");
    assert_eq!(region(&mut router, &request_for(&route)).as_str(), "south");
}

#[test]
fn region_that_returns_with_cold_replicas_takes_its_traffic_back_gradually() {
    let mut router = router("north", Options::default());
    router.set_upstreams(SECOND, &[]);
    assert_eq!(spilled(&mut router, SECOND, 0.0, 10), 10);
    router.set_upstreams(2 * SECOND, &list("north"));
    let route = open_route();
    let mut kept = |now| {
        router.apply_digest(now, digest("south", 0.0));
        let mut kept = 0;
        for _ in 0..20 {
            let choice = router.choose(now, &request_for(&route)).unwrap();
            let Some(upstream) = choice.upstream else {
                continue;
            };
            router.record_sent(now, &upstream, &request_for(&route));
            kept += 1;
        }
        kept
    };
    let (early, later) = (kept(2 * SECOND), kept(40 * SECOND));
    assert!(early <= 4, "{early}");
    assert!(later >= 8, "{later}");
}

#[test]
fn forwarded_request_is_not_spilled_again() {
    let mut router = router("north", Options::default());
    router.set_backlog(&"north".into(), 30 * SECOND);
    assert_eq!(spilled(&mut router, SECOND, 0.0, 1), 1);
    let route = open_route();
    let visited = ["middle".into()];
    let request = Request {
        visited: &visited,
        hops_left: 1,
        ..request_for(&route)
    };
    let stays = |_| router.choose(SECOND, &request).unwrap().upstream.is_some();
    assert!((0..100).all(stays));
}

#[test]
fn region_without_replicas_forwards_and_link_budget_bounds_it() {
    let options = Options {
        link_bytes_per_s: 40_000.0,
        ..Options::default()
    };
    let mut router = router("north", options);
    router.set_upstreams(SECOND, &[]);
    router.apply_digest(SECOND, digest("south", 3.0));
    router.apply_digest(SECOND, digest("middle", 9.0));
    let route = open_route();
    let choices: Vec<_> = (0..20)
        .map(|_| router.choose(SECOND, &request_for(&route)))
        .collect();
    let sent = choices.iter().flatten().inspect(|choice| {
        assert_eq!(choice.reason, Reason::Absent);
        assert!(choice.upstream.is_none());
    });
    assert_eq!(sent.count(), 10);
    assert!(
        choices[10..]
            .iter()
            .all(|choice| *choice == Err(Refusal::Link))
    );
}

#[test]
fn forwards_to_a_region_not_heard_of_only_when_no_other_is_left() {
    let mut router = router("north", Options::default());
    router.set_upstreams(SECOND, &[]);
    let route = open_route();
    let choice = router.choose(SECOND, &request_for(&route)).unwrap();
    assert_eq!(choice.region.as_str(), "middle");
    router.apply_digest(SECOND, digest("south", 3.0));
    let choice = router.choose(SECOND, &request_for(&route)).unwrap();
    assert_eq!(choice.region.as_str(), "south");
    let nowhere = Request {
        hops_left: 0,
        ..request_for(&route)
    };
    assert_eq!(router.choose(SECOND, &nowhere), Err(Refusal::Hops));
}

/// A router of the host `north` that has lost its pool, with these neighbours.
fn router_without_reach(neighbours: &[&str]) -> Router {
    let mut router = router("north", Options::default());
    router.set_neighbours(neighbours.iter().map(|host| (*host).into()).collect());
    let upstream = listed("north", 0, State::Live).name;
    router.record_sent(SECOND, &upstream, &request_for(&open_route()));
    router.record_headless(&upstream, true);
    assert_eq!(router.begin_trials(SECOND).len(), 1);
    let change = router.record_trial(SECOND, &"north".into(), false);
    assert_eq!(change, Some(Change::Lost));
    router
}

#[test]
fn request_out_of_reach_goes_to_a_neighbour_then_to_another_region_then_nowhere() {
    let mut router = router_without_reach(&["north-b"]);
    let route = open_route();
    let request = request_for(&route);
    let neighbour = router.choose(SECOND, &request).unwrap();
    assert_eq!(neighbour.region.as_str(), "north");
    assert_eq!(neighbour.upstream, None);
    let hosts = ["north-b".into()];
    let came_from_it = Request {
        hosts: &hosts,
        hops_left: 1,
        ..request.clone()
    };
    let remote = router.choose(SECOND, &came_from_it).unwrap();
    assert_ne!(remote.region.as_str(), "north");
    let without_hops = Request {
        hops_left: 0,
        ..request.clone()
    };
    let local = router.choose(SECOND, &without_hops).unwrap();
    assert!(local.upstream.is_some());
    assert_eq!(
        router.choose(2 * SECOND, &without_hops),
        Err(Refusal::Unreached)
    );
    let visited = ["middle".into(), "south".into()];
    let seen = Request {
        visited: &visited,
        hosts: &hosts,
        hops_left: 1,
        ..request
    };
    assert_eq!(router.choose(2 * SECOND, &seen), Err(Refusal::Unreached));
}

#[test]
fn neighbour_that_says_it_reaches_nothing_gets_no_request_while_it_says_so() {
    let mut router = router_without_reach(&["north-b"]);
    let statement = Digest {
        region: "north".into(),
        pools: BTreeMap::new(),
        unreached: BTreeMap::from([("north-b".into(), ["north".into()].into())]),
    };
    router.apply_digest(SECOND, statement);
    let route = open_route();
    let request = request_for(&route);
    let choice = router.choose(2 * SECOND, &request).unwrap();
    assert_ne!(choice.region.as_str(), "north");
    let choice = router.choose(5 * SECOND, &request).unwrap();
    assert_eq!(choice.region.as_str(), "north");
    assert_eq!(choice.upstream, None);
    let change = router.record_trial(5 * SECOND, &"north".into(), true);
    assert_eq!(change, Some(Change::Regained { after: 4 * SECOND }));
    let choice = router.choose(5 * SECOND, &request).unwrap();
    assert!(choice.upstream.is_some());
}

#[test]
fn region_out_of_reach_takes_no_request_of_another() {
    let options = Options::default();
    let lost = router_without_reach(&[]);
    let mut router = router("south", options);
    router.set_upstreams(SECOND, &[]);
    router.apply_digest(SECOND, lost.own_digest(SECOND));
    let route = open_route();
    let choice = router.choose(SECOND, &request_for(&route)).unwrap();
    assert_eq!(choice.region.as_str(), "middle");
    let north = "north".into();
    assert!(!router.reaches(SECOND, &north, &"north".into(), &"north".into()));
    assert!(router.reaches(60 * SECOND, &north, &"north".into(), &"north".into()));
}

#[test]
fn pool_is_tried_only_after_a_failure_or_a_silence() {
    let mut router = router("north", Options::default());
    let route = open_route();
    let upstream = listed("north", 0, State::Live).name;
    for at in 1..60 {
        let now = at * SECOND;
        router.record_sent(now, &upstream, &request_for(&route));
        assert!(router.begin_trials(now).is_empty());
        router.record_head(now, &upstream);
    }
    assert!(router.begin_trials(100 * SECOND).is_empty());
    router.record_sent(100 * SECOND, &upstream, &request_for(&route));
    assert_eq!(router.begin_trials(101 * SECOND).len(), 1);
    assert_eq!(
        router.record_trial(101 * SECOND, &"north".into(), true),
        None
    );
    assert!(router.begin_trials(200 * SECOND).is_empty());
}

/// A call that waited for a connection was sent to an upstream that was leaving by then.
#[test]
fn upstream_that_leaves_or_is_listed_no_more_accepts_nothing() {
    let mut router = router("north", Options::default());
    let [stays, leaves, goes] = [0, 1, 2].map(|at| listed("north", at, State::Live).name);
    assert!(
        [&stays, &leaves, &goes]
            .iter()
            .all(|upstream| router.accepts(SECOND, upstream))
    );
    let list = [
        listed("north", 0, State::Live),
        listed("north", 1, State::Leaving),
    ];
    router.set_upstreams(SECOND, &list);
    assert!(router.accepts(SECOND, &stays));
    assert!(!router.accepts(SECOND, &leaves) && !router.accepts(SECOND, &goes));
}

#[tokio::test]
async fn upstream_that_the_host_list_calls_leaving_gets_no_new_call() {
    let mut bed = Bed::start().await;
    let host = bed.host("south-a", "south").await;
    bed.ready(&host).await;
    let second = engine::Engine::start(engine::Settings::instant())
        .await
        .unwrap();
    let row = |name: &str, address, state| platform::Host {
        name: name.into(),
        kind: platform::Kind::Upstream,
        address,
        peer_address: None,
        region: "south".into(),
        domain: "south-1".into(),
        pool: Some("engines".into()),
        state,
    };
    bed.platform.hosts(Hosts {
        hosts: vec![
            row("engine-1", bed.engine.address, platform::State::Leaving),
            row("engine-2", second.address, platform::State::Live),
        ],
    });
    let call = async |at: usize| {
        let answer = bed
            .send(&host, KOLLAM, chat(&format!("{at}"), 2, false))
            .await;
        assert_eq!(answer.status, 200);
    };
    until(async || {
        call(0).await;
        !second.seen().is_empty()
    })
    .await;
    let (first, before) = (bed.engine.seen().len(), second.seen().len());
    for at in 0..20 {
        call(at).await;
    }
    assert_eq!(bed.engine.seen().len(), first);
    assert_eq!(second.seen().len(), before + 20);
}

/// Sums of the numbers that a replica reports overflowed: a replica full beyond measure counted as
/// free. Extreme reports and digests must neither do that nor make the router panic.
#[test]
fn extreme_reports_and_digests_are_borne() {
    const NUMBERS: [u32; 4] = [0, 1, u32::MAX - 1, u32::MAX];
    const FLOATS: [f32; 6] = [f32::NAN, f32::INFINITY, -1.0, 0.0, 4.0, f32::MAX];
    let mut rng = StdRng::seed_from_u64(3);
    let route = open_route();
    let mut router = router("north", Options::default());
    let mut now = SECOND;
    for n in 0..20_000 {
        let mut number = || NUMBERS[rng.random_range(0..NUMBERS.len())];
        let upstream = name::Upstream::from(format!("north-{}", n % REPLICAS));
        let report = Report {
            at_ms: u64::from(number()) << (n % 33),
            running: number(),
            waiting: number(),
            slots: number(),
            ..Report::default()
        };
        router.apply_report(now, &upstream, &report);
        if report.at_ms > 0 && report.running == u32::MAX {
            let summary = router.own_digest(now).pools["north"];
            assert!(summary.outstanding >= 0.0, "{report:?}: {summary:?}");
        }
        let summary = Summary {
            live: number(),
            service_ms: number(),
            backlog_ms: number(),
            capacity: FLOATS[rng.random_range(0..FLOATS.len())],
            outstanding: FLOATS[rng.random_range(0..FLOATS.len())],
        };
        router.apply_digest(
            now,
            Digest {
                region: REGIONS[1 + n % 2].into(),
                pools: [(REGIONS[1 + n % 2].into(), summary)].into(),
                unreached: BTreeMap::new(),
            },
        );
        if let Ok(choice) = router.choose(now, &request_for(&route))
            && let Some(upstream) = choice.upstream
        {
            router.record_sent(now, &upstream, &request_for(&route));
            match n % 3 {
                0 => router.record_failed(now, &upstream),
                _ => router.record_finished(now, &upstream, SECOND),
            }
        }
        now += Duration::from_millis(rng.random_range(0..400));
    }
    // One that runs as many as a number holds, and has one waiting, counted as free.
    let full = name::Upstream::from("north-0");
    let mut router = self::router("north", Options::default());
    let report = Report {
        at_ms: u64::MAX,
        running: u32::MAX,
        waiting: 1,
        slots: 4,
        ..Report::default()
    };
    router.apply_report(SECOND, &full, &report);
    let summary = router.own_digest(SECOND).pools["north"];
    assert!(summary.outstanding >= u32::MAX as f32, "{summary:?}");
}
