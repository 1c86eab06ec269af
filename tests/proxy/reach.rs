//! Hosts that reach no upstream, or not all: what they find out, who takes their requests, and what
//! the others believe.

use {
    crate::common::{self, POOL, address, core, entry, forwardable, identity, job, ms, plain_job},
    greengagecleat::{
        name,
        proxy::{
            catalog::Change,
            core::{Core, Placement},
            fleet::{Report, Spare},
            place::Job,
            reach,
            replica::Outcome,
        },
    },
    std::{collections::BTreeSet, time::Duration},
};

fn upstreams(core: &Core) -> BTreeSet<name::Upstream> {
    let all = core.catalog.all();
    all.map(|replica| replica.entry.id.clone()).collect()
}

/// Lets connections to these upstreams fail twice.
fn lose<'a>(core: &mut Core, now: Duration, lost: impl IntoIterator<Item = &'a name::Upstream>) {
    for upstream in lost {
        core.record_connection(now, upstream, false);
        core.record_connection(now, upstream, false);
        assert!(core.is_lost(upstream));
    }
}

fn lose_all(core: &mut Core, now: Duration) {
    let all = upstreams(core);
    lose(core, now, &all);
}

/// Lets another host report. Returns the changes in the state of upstreams.
fn receive(
    core: &mut Core,
    now: Duration,
    host: &str,
    region: &str,
    told: reach::Report,
) -> Vec<Change> {
    let sequence = now.as_millis() as u64 + 1;
    let report = Report {
        reach: told,
        ..common::report(identity(host, region, host.len() as u8), sequence)
    };
    core.receive_report(now, report).upstreams
}

fn found(upstreams: BTreeSet<name::Upstream>) -> reach::Report {
    reach::Report {
        found: upstreams,
        ..reach::Report::default()
    }
}

fn missing(upstreams: BTreeSet<name::Upstream>) -> reach::Report {
    reach::Report {
        missing: upstreams,
        ..reach::Report::default()
    }
}

/// What this host reports to another one of its region.
fn told(core: &mut Core, now: Duration) -> reach::Report {
    let reports = core.due_reports(now, true, false);
    let to_region = reports
        .into_iter()
        .find(|(recipient, _)| recipient.is_same_region);
    to_region.expect("a report is due").1.reach
}

fn host_of(placement: &Placement) -> Option<&str> {
    match placement {
        Placement::Remote(remote) => Some(remote.host.as_str()),
        Placement::Local(_) | Placement::Wait | Placement::Withheld(_) => None,
    }
}

fn next(core: &Core, now: Duration, number: u64) -> Job {
    forwardable(&job(core, now, number, 10_000 + number))
}

#[test]
fn one_failed_connection_is_a_doubt_and_an_opened_one_settles_it() {
    let mut core = core(3);
    let upstream = "e0".into();
    assert_eq!(core.record_connection(ms(10), &upstream, false), None);
    assert!(!core.is_lost(&upstream));
    let due = core.due_probes(ms(10));
    assert_eq!(due, [(upstream.clone(), address(1))]);
    assert!(core.due_probes(ms(60)).is_empty(), "one at a time");
    assert_eq!(core.record_connection(ms(20), &upstream, true), None);
    assert!(core.due_probes(ms(5_000)).is_empty());
}

#[test]
fn a_host_whose_connections_all_work_probes_and_tells_nothing() {
    let mut core = core(4);
    receive(&mut core, ms(0), "n2", "north", reach::Report::default());
    for number in 0..200 {
        let now = ms(20 * number);
        let job = next(&core, now, number);
        if let Placement::Local(grant) = core.place(now, &job) {
            core.record_first_byte(now, grant.ticket);
            core.release(now, grant.ticket, Outcome::Success);
        }
        assert!(core.due_probes(now).is_empty());
    }
    receive(
        &mut core,
        ms(4_000),
        "n2",
        "north",
        reach::Report::default(),
    );
    assert!(told(&mut core, ms(4_000)).is_empty());
}

#[test]
fn a_request_goes_to_the_neighbour_that_reaches_the_upstreams() {
    let mut core = core(3);
    receive(&mut core, ms(0), "n2", "north", reach::Report::default());
    lose_all(&mut core, ms(0));
    let all = upstreams(&core);
    let unknown = core.place(ms(10), &next(&core, ms(10), 1));
    assert_eq!(unknown, Placement::Wait, "nobody is known to reach them");
    assert_eq!(core.wait_limit(ms(10), &next(&core, ms(10), 1)), ms(0));
    let asked = told(&mut core, ms(20));
    assert_eq!((asked.missing, asked.is_cut_off), (all.clone(), true));
    receive(&mut core, ms(100), "n2", "north", found(all));
    let placed = core.place(ms(110), &next(&core, ms(110), 1));
    assert_eq!(host_of(&placed), Some("n2"));
    // What was forwarded here goes no further.
    let taken = job(&core, ms(110), 2, 2);
    assert_eq!(core.place(ms(110), &taken), Placement::Wait);
    // Nobody has confirmed it for long.
    let late = core.place(ms(2_000), &next(&core, ms(2_000), 1));
    assert_eq!(late, Placement::Wait);
}

#[test]
fn requests_are_shared_by_the_neighbours_that_reach_the_upstreams() {
    let mut core = core(3);
    lose_all(&mut core, ms(0));
    let all = upstreams(&core);
    for host in ["n2", "n03", "n004"] {
        receive(&mut core, ms(10), host, "north", found(all.clone()));
    }
    receive(&mut core, ms(10), "n0005", "north", missing(all));
    let mut taken: std::collections::BTreeMap<String, u32> = Default::default();
    for number in 0..300 {
        let placed = core.place(ms(20), &next(&core, ms(20), number));
        let host = host_of(&placed).expect("a neighbour takes it");
        *taken.entry(host.to_owned()).or_default() += 1;
    }
    assert_eq!(taken.len(), 3, "{taken:?}");
    assert!(taken.values().all(|count| *count > 60), "{taken:?}");
}

#[test]
fn a_neighbour_that_failed_a_request_is_not_asked_again_for_it() {
    let mut core = core(3);
    lose_all(&mut core, ms(0));
    let all = upstreams(&core);
    receive(&mut core, ms(10), "n2", "north", found(all));
    let mut job = next(&core, ms(20), 1);
    job.avoided_hosts.push("n2".into());
    assert_eq!(core.place(ms(20), &job), Placement::Wait);
}

#[test]
fn a_host_that_misses_some_upstreams_uses_the_others_first() {
    let mut core = core(4);
    let lost: BTreeSet<name::Upstream> = ["e0", "e1", "e2"].map(Into::into).into();
    lose(&mut core, ms(0), &lost);
    receive(&mut core, ms(10), "n2", "north", found(lost));
    let placed = core.place(ms(20), &next(&core, ms(20), 1));
    let Placement::Local(grant) = placed else {
        panic!("{placed:?}");
    };
    assert_eq!(grant.upstream, "e3".into());
    // Where it would be late there, a neighbour serves it at one of the others.
    let mut relayed = 0;
    for number in 2..40 {
        let placed = core.place(ms(20), &next(&core, ms(20), number));
        relayed += u32::from(host_of(&placed) == Some("n2"));
    }
    assert!(relayed > 20, "{relayed}");
}

#[test]
fn a_request_with_a_home_stays_in_its_region_and_one_without_leaves_it() {
    let mut core = core(3);
    lose_all(&mut core, ms(0));
    let spare = Spare {
        wait_ms: 50.0,
        tokens: 0.0,
        requests: 0.0,
        rate: 80.0,
        unreserved: None,
        pressure: None,
        builds: BTreeSet::from(["b1".into()]),
    };
    let report = Report {
        spare: vec![(POOL.into(), spare)],
        ..common::report(identity("s1", "south", 3), 1)
    };
    core.receive_report(ms(10), report);
    // No room on time is told, but late is better than never.
    let placed = core.place(ms(20), &next(&core, ms(20), 1));
    assert_eq!(host_of(&placed), Some("s1"));
    let mut bound = next(&core, ms(20), 2);
    bound.matched.home_regions = BTreeSet::from(["north".into()]);
    assert_eq!(core.place(ms(20), &bound), Placement::Wait);
}

#[test]
fn other_regions_hear_of_no_room_at_a_host_that_reaches_no_upstream() {
    let mut core = core(3);
    receive(&mut core, ms(0), "s1", "south", reach::Report::default());
    lose_all(&mut core, ms(0));
    let reports = core.due_reports(ms(10), true, false);
    let (_, report) = reports
        .iter()
        .find(|(recipient, _)| recipient.host == "s1".into())
        .expect("a report is due");
    let spare = report.spare.iter().map(|(_, spare)| spare.wait_ms);
    assert!(spare.clone().all(|wait_ms| wait_ms == f32::MAX));
    assert!(spare.count() > 0);
}

#[test]
fn a_host_is_told_of_upstreams_only_if_there_is_a_sign_of_them() {
    let mut core = core(2);
    let all = upstreams(&core);
    for upstream in &all {
        core.record_connection(ms(0), upstream, true);
    }
    receive(&mut core, ms(110), "n2", "north", missing(all.clone()));
    assert!(told(&mut core, ms(120)).found.is_empty(), "seen before");
    // Each is probed, as nothing is heard of it.
    assert!(core.due_probes(ms(120)).is_empty());
    let due = core.due_probes(ms(210));
    assert_eq!(due.len(), all.len());
    for (upstream, _) in &due {
        core.record_connection(ms(220), upstream, true);
    }
    assert_eq!(told(&mut core, ms(250)).found, all);
    receive(&mut core, ms(300), "n2", "north", reach::Report::default());
    assert!(told(&mut core, ms(400)).found.is_empty());
}

/// Between two probes of upstreams without requests, a host did not tell that it reaches them.
#[test]
fn a_host_is_told_of_upstreams_without_requests_all_the_time() {
    let mut core = core(2);
    let all = upstreams(&core);
    receive(&mut core, ms(0), "n2", "north", missing(all.clone()));
    let (mut probed, mut opened) = (Vec::new(), 0);
    for tick in 0..200 {
        let now = ms(50 * tick + 1);
        if tick % 5 == 3 {
            receive(&mut core, now, "n2", "north", missing(all.clone()));
        }
        for (upstream, _) in std::mem::replace(&mut probed, core.due_probes(now)) {
            core.record_connection(now, &upstream, true);
            opened += 1;
        }
        for (recipient, report) in core.due_reports(now, true, false) {
            let is_told = recipient.is_same_region && tick >= 2;
            assert!(!is_told || report.reach.found == all, "{now:?}");
        }
    }
    assert!(opened <= all.len() * 10, "{opened} in 10 s");
}

/// Upstreams that several hosts missed left no room for those that others missed.
#[test]
fn hosts_that_miss_the_same_upstreams_leave_room_for_what_others_miss() {
    let mut core = core(40);
    let all = upstreams(&core);
    let (first, last): (BTreeSet<_>, BTreeSet<_>) = all
        .iter()
        .cloned()
        .partition(|upstream| *upstream < "e4".into());
    for host in ["n2", "n03", "n004", "n0005"] {
        receive(&mut core, ms(10), host, "north", missing(first.clone()));
    }
    receive(&mut core, ms(10), "n9", "north", missing(last));
    for upstream in &all {
        core.record_connection(ms(15), upstream, true);
    }
    assert_eq!(told(&mut core, ms(20)).found, all);
}

#[test]
fn two_hosts_that_reach_nothing_ask_each_other_and_forward_nothing() {
    let mut core = core(2);
    lose_all(&mut core, ms(0));
    let all = upstreams(&core);
    receive(&mut core, ms(10), "n2", "north", missing(all));
    let told = told(&mut core, ms(20));
    assert!(told.found.is_empty());
    let placed = core.place(ms(20), &next(&core, ms(20), 1));
    assert_eq!(placed, Placement::Wait);
}

#[test]
fn upstreams_are_probed_in_turn_and_at_once_when_one_is_reached_again() {
    let mut core = core(8);
    lose_all(&mut core, ms(0));
    let mut probed = Vec::new();
    for tick in 1..=40 {
        let now = ms(50 * tick);
        for (upstream, _) in core.due_probes(now) {
            core.record_connection(now, &upstream, false);
            probed.push(upstream);
        }
    }
    assert!((6..=9).contains(&probed.len()), "{} in 2 s", probed.len());
    let distinct: BTreeSet<_> = probed.iter().collect();
    assert!(distinct.len() >= probed.len() - 1, "{probed:?}");
    let change = core.record_connection(ms(2_100), &"e0".into(), true);
    assert_eq!(change, Some(Change::Reached("e0".into())));
    let due = core.due_probes(ms(2_100));
    assert_eq!(due.len(), 8, "{due:?}");
    for (upstream, _) in due {
        core.record_connection(ms(2_110), &upstream, true);
    }
    let placed = core.place(ms(2_120), &next(&core, ms(2_120), 1));
    assert!(matches!(placed, Placement::Local(_)), "{placed:?}");
}

#[test]
fn one_upstream_that_ended_costs_few_connections() {
    let mut core = core(16);
    let mut opened = 0;
    lose(&mut core, ms(0), [&"e0".into()]);
    for tick in 0..80 {
        let now = ms(50 * tick);
        for (upstream, _) in core.due_probes(now) {
            core.record_connection(now, &upstream, upstream != "e0".into());
            opened += 1;
        }
    }
    assert!(opened <= 15, "{opened} in 4 s");
    assert!(!core.is_lost(&"e1".into()));
}

/// An upstream that was away for a moment stayed unused for a second.
#[test]
fn an_upstream_that_is_back_at_once_is_used_at_once() {
    let mut core = core(4);
    lose(&mut core, ms(0), [&"r0".into()]);
    let mut back_at = None;
    for tick in 1..=40 {
        let now = ms(10 * tick);
        for (upstream, _) in core.due_probes(now) {
            let is_open = upstream != "r0".into() || now >= ms(100);
            core.record_connection(now, &upstream, is_open);
        }
        if !core.is_lost(&"r0".into()) {
            back_at.get_or_insert(now);
        }
    }
    let back_at = back_at.expect("it is reached again");
    assert!(back_at <= ms(250), "{back_at:?}");
}

/// Lets an upstream refuse a connection, and others of the region take one. Returns whether it counts
/// as ended, when another host of the region reports to reach these.
fn counts_as_ended(found_elsewhere: &[&str]) -> bool {
    let mut core = core(3);
    let (now, refusing) = (ms(100), "e0".into());
    let end = core.unknown_end(now, &refusing).expect("it runs");
    core.record_refusal(now, &refusing);
    assert!(core.is_lost(&refusing));
    for (upstream, _) in core.due_probes(now) {
        core.record_connection(now, &upstream, upstream != refusing);
    }
    let found_elsewhere = found_elsewhere.iter().map(|upstream| (*upstream).into());
    let told = found(found_elsewhere.collect());
    receive(&mut core, ms(200), "n2", "north", told);
    core.confirm_end(ms(350), &refusing, end)
}

#[test]
fn an_upstream_that_another_host_reaches_does_not_count_as_ended() {
    assert!(counts_as_ended(&[]));
    assert!(counts_as_ended(&["e1"]));
    assert!(!counts_as_ended(&["e0"]));
}

/// Probes that are due, of which all but those of these upstreams open a connection.
fn probe_all_but(core: &mut Core, now: Duration, refusing: &[name::Upstream]) {
    for (upstream, _) in core.due_probes(now) {
        core.record_connection(now, &upstream, !refusing.contains(&upstream));
    }
}

/// The second of two ends within a second was not counted.
#[test]
fn upstreams_that_end_shortly_after_one_another_all_count_as_ended() {
    let mut core = core(3);
    let ending: [name::Upstream; 2] = ["e0".into(), "e1".into()];
    for (number, upstream) in ending.iter().enumerate() {
        let refused_at = ms(100 + 500 * number as u64);
        let end = core.unknown_end(refused_at, upstream).expect("it runs");
        core.record_refusal(refused_at, upstream);
        probe_all_but(&mut core, refused_at, &ending[..=number]);
        let now = refused_at + reach::INQUIRY_TIME;
        assert!(core.confirm_end(now, upstream, end), "{upstream}");
    }
}

/// The end of an upstream that requests had found unreached was not counted.
#[test]
fn an_upstream_that_was_unreached_when_it_refused_counts_as_ended() {
    let mut core = core(3);
    let refusing: name::Upstream = "e0".into();
    let end = core.unknown_end(ms(100), &refusing).expect("it runs");
    lose(&mut core, ms(110), [&refusing]);
    probe_all_but(&mut core, ms(111), std::slice::from_ref(&refusing));
    core.record_refusal(ms(130), &refusing);
    probe_all_but(&mut core, ms(131), std::slice::from_ref(&refusing));
    assert!(core.confirm_end(ms(380), &refusing, end));
}

#[test]
fn a_host_that_opens_no_connection_blames_no_request() {
    let mut core = core(3);
    let placed = (0..6).map(|number| {
        let job = next(&core, ms(0), number);
        core.place(ms(0), &job)
    });
    let placed: Vec<_> = placed.collect();
    let now = ms(100);
    let all = upstreams(&core).into_iter();
    let ends = all.map(|upstream| {
        let end = core.unknown_end(now, &upstream).expect("it runs");
        (upstream, end)
    });
    let ends: Vec<_> = ends.collect();
    for placement in placed {
        let Placement::Local(grant) = placement else {
            panic!("{placement:?}");
        };
        core.release(now, grant.ticket, Outcome::Broken);
    }
    for (upstream, end) in ends {
        core.record_refusal(now, &upstream);
        assert!(!core.confirm_end(ms(350), &upstream, end));
    }
    core.judge_suspects(ms(2_000));
    assert_eq!(core.quarantine.blamed(), 0);
}

/// Requests under way at each upstream, of which none brings anything more.
fn silent_core() -> Core {
    let mut core = core(3);
    for number in 0..12 {
        let job = next(&core, ms(0), number);
        core.place(ms(0), &job);
    }
    let plain = plain_job(&core, ms(0));
    core.place(ms(0), &plain);
    let silent = core.detect_silent(ms(4_000));
    assert_eq!(silent.len(), 4, "{silent:?}");
    core
}

#[test]
fn upstreams_that_are_all_silent_for_one_host_do_not_count_as_ended() {
    let mut core = silent_core();
    core.judge_suspects(ms(4_100));
    assert_eq!(core.quarantine.blamed(), 0);
    lose_all(&mut core, ms(4_200));
    core.judge_suspects(ms(6_000));
    assert_eq!(core.quarantine.blamed(), 0);
}

#[test]
fn a_silent_upstream_that_takes_connections_counts_as_ended() {
    let mut core = silent_core();
    for (upstream, _) in core.due_probes(ms(4_050)) {
        core.record_connection(ms(4_060), &upstream, true);
    }
    core.judge_suspects(ms(4_100));
    assert!(core.quarantine.blamed() > 0);
}

#[test]
fn a_host_that_starts_or_whose_upstreams_start_again_reaches_them() {
    let mut core = core(1);
    lose_all(&mut core, ms(0));
    let mut again = entry("e0", "north-a", POOL, 1);
    again.incarnation = 2;
    core.catalog.upsert(ms(10), again);
    assert!(!core.is_lost(&"e0".into()));
}

#[test]
fn few_hosts_of_a_large_region_probe_an_upstream_that_one_misses() {
    let probes = (0..24).filter(|number| {
        let mut setup = common::setup(&format!("n{number}"), "north", 1);
        setup.identity.incarnation = 1;
        let mut core = Core::new(ms(0), setup);
        core.catalog
            .replace_all(ms(0), vec![entry("e0", "north-a", POOL, 1)]);
        for other in (0..24).filter(|other| other != number) {
            let host = format!("n{other}");
            receive(&mut core, ms(0), &host, "north", reach::Report::default());
        }
        let told = missing(BTreeSet::from(["e0".into()]));
        receive(&mut core, ms(10), "n24", "north", told);
        !core.due_probes(ms(200)).is_empty()
    });
    assert_eq!(probes.count(), 3);
}

/// Whether an upstream is cold that was lost for 5 s, and that another host tells of at these times.
fn is_cold_when_back(told_at: &[u64]) -> bool {
    let mut core = core(2);
    let upstream: name::Upstream = "e0".into();
    lose(&mut core, ms(0), [&upstream]);
    for at in told_at {
        let told = found(BTreeSet::from([upstream.clone()]));
        receive(&mut core, ms(*at), "n2", "north", told);
    }
    core.record_connection(ms(5_000), &upstream, true);
    let replica = core.catalog.get(&upstream).expect("it is listed");
    replica.is_cold(ms(5_001))
}

/// An upstream that started again unseen got as many requests as a warm one.
#[test]
fn an_upstream_that_no_host_reached_counts_as_cold_when_it_is_back() {
    assert!(is_cold_when_back(&[]));
    assert!(is_cold_when_back(&[4_900]), "it may have started before");
    assert!(!is_cold_when_back(&[200]));
}

/// Hosts without requests at an upstream that had gone dark sent it as much as a warm one when it was
/// back, before its start was published.
#[test]
fn an_upstream_that_several_hosts_miss_counts_as_cold() {
    let told = || missing(BTreeSet::from(["e0".into()]));
    let is_cold = |core: &Core, at| {
        let replica = core.catalog.get(&"e0".into()).expect("it is listed");
        replica.is_cold(ms(at))
    };
    let mut one = core(2);
    receive(&mut one, ms(10), "n2", "north", told());
    assert!(!is_cold(&one, 20), "the fault may be that host's");
    let changes = receive(&mut one, ms(20), "n30", "north", told());
    assert_eq!(changes, [Change::Missed("e0".into())]);
    let changes = receive(&mut one, ms(25), "n30", "north", told());
    assert_eq!(changes, [], "it is told once");
    assert!(is_cold(&one, 30));
    assert!(is_cold(&one, 3_000));
    assert!(!is_cold(&one, 3_100));

    let mut other = core(2);
    for (at, host) in [(10, "n2"), (20, "n30"), (30, "n400")] {
        let cut_off = reach::Report {
            is_cut_off: true,
            ..told()
        };
        receive(&mut other, ms(at), host, "north", cut_off);
    }
    assert!(!is_cold(&other, 40), "these hosts reach nothing");

    let mut hearing = core(2);
    receive(&mut hearing, ms(10), "n2", "north", told());
    hearing.record_connection(ms(15), &"e0".into(), true);
    receive(&mut hearing, ms(20), "n30", "north", told());
    assert!(!is_cold(&hearing, 30), "it runs");
}
