//! Load that upstreams report in their answers: what hosts take from it, for how long, and how they
//! share it.

use {
    crate::common::{PLAIN, core, entry, identity, job, ms, plain_job, report},
    greengagecleat::proxy::{
        core::{Core, Grant, Placement, Provenance},
        fingerprint::Fingerprint,
        fleet,
        load::{MAX_REPORTED, Reading, Report, news},
        replica::Outcome,
        table::Table,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::VecDeque, time::Duration},
};

const SLOTS: u32 = 6;

fn reading(running: u32, waiting: u32, slowdown_percent: Option<u32>) -> Reading {
    Reading {
        running,
        waiting,
        slots: SLOTS,
        slowdown_percent,
    }
}

/// A host with the plain upstreams `r0` and `r1`.
fn plain_core(host: &str, last: u8) -> Core {
    let mut core = Core::new(ms(0), crate::common::setup(host, "north", last));
    let table = Table::new(crate::common::rows(1));
    assert!(core.configure(ms(0), table, Provenance::default()));
    let entries = ["r0", "r1"].map(|id| entry(id, "north-a", PLAIN, 1));
    core.catalog.replace_all(ms(0), entries.into());
    core
}

/// Places a request of its own kind, since the choice among upstreams with readings depends on that.
fn place_plain(core: &mut Core, now: Duration, kind: u64) -> Grant {
    let mut job = plain_job(core, now);
    job.fingerprint = Fingerprint(kind);
    match core.place(now, &job) {
        Placement::Local(grant) => grant,
        other => panic!("not placed here: {other:?}"),
    }
}

/// Places requests until `upstream` gets one, which it answers with a reading. All of them end.
fn take(core: &mut Core, now: Duration, upstream: &str, reading: Reading) {
    for kind in 0..u64::from(4 * SLOTS) {
        let grant = place_plain(core, now, kind);
        if grant.upstream.as_str() == upstream {
            assert!(core.record_load(now, grant.ticket, reading));
            for ticket in 1..=grant.ticket {
                core.release(now, ticket, Outcome::Unknown);
            }
            return;
        }
    }
    panic!("{upstream} got no request");
}

fn slowdown(core: &Core, now: Duration, upstream: &str) -> f64 {
    core.catalog.get(&upstream.into()).unwrap().slowdown(now)
}

fn requests(core: &Core, now: Duration, upstream: &str) -> u32 {
    core.catalog.get(&upstream.into()).unwrap().requests(now)
}

/// What the reports of a host say that are due now to the hosts of its region.
fn reported(core: &mut Core, now: Duration) -> Vec<fleet::Report> {
    let due = core.due_reports(now, true, false).into_iter();
    let in_region = due.filter(|(recipient, _)| recipient.is_same_region);
    in_region.map(|(_, report)| report).collect()
}

/// Work that an answer takes at the usual speed.
const WORK_MS: f64 = 40.0;
/// Time from which an answer is late: more than a slow one takes that doesn't wait.
const LATE_MS: u64 = 110;
/// About as many as a region of the larger deployments has.
const HOSTS: usize = 28;

/// What the hosts of a replay get of the upstreams' load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum News {
    /// Nothing.
    Absent,
    /// The readings of their own answers.
    Own,
    /// Those of all hosts.
    Shared,
}

/// Time between two requests, for 200 a second.
const GAP_MS: u64 = 5;
const RUN_MS: u64 = 24_000;

/// Plays four hosts before two upstreams, of which the first one takes 250 % of the usual time for
/// 600 ms of every 1,200 ms. Returns how many answers were late or not served.
fn replay(news: News) -> usize {
    let mut cores: Vec<_> = (1..=HOSTS as u8)
        .map(|n| plain_core(&format!("n{n}"), n))
        .collect();
    for from in 1..=HOSTS as u8 {
        for core in &mut cores {
            let from = identity(&format!("n{from}"), "north", from);
            core.receive_report(ms(0), report(from, 0));
        }
    }
    let mut queues: [VecDeque<(usize, u64, u64, f64)>; 2] = Default::default();
    let mut rng = StdRng::seed_from_u64(11);
    let mut late = 0;
    for at in 0..RUN_MS {
        let now = ms(at);
        // Hosts that started at different times don't report at once.
        let reporter = (at % 50) as usize;
        if reporter < HOSTS && at >= 9 * reporter as u64 {
            let due = cores[reporter].due_reports(now, true, false);
            for (recipient, mut report) in due {
                let is_it = |core: &&mut Core| core.fleet.identity.host == recipient.host;
                let core = cores.iter_mut().find(is_it).expect("it is one of these");
                if news == News::Own {
                    report.loads.clear();
                }
                core.receive_report(now, report);
            }
        }
        if at % GAP_MS == 0 {
            let host = rng.random_range(0..HOSTS);
            let mut next = plain_job(&cores[host], now);
            next.fingerprint = Fingerprint(at);
            match cores[host].place(now, &next) {
                Placement::Local(grant) => {
                    let upstream = usize::from(grant.upstream.as_str() == "r1");
                    queues[upstream].push_back((host, grant.ticket, at, WORK_MS));
                }
                _ => late += 1,
            }
        }
        for (upstream, queue) in queues.iter_mut().enumerate() {
            let is_slow = upstream == 0 && at / 600 % 2 == 1;
            let percent = if is_slow { 250 } else { 100 };
            for (_, _, _, left) in queue.iter_mut().take(SLOTS as usize) {
                *left -= 100.0 / f64::from(percent);
            }
            while let Some(done) = queue.iter().position(|(_, _, _, left)| *left <= 0.0) {
                let running = queue.len().min(SLOTS as usize) as u32;
                let waiting = queue.len() as u32 - running;
                let (host, ticket, arrived, _) = queue.remove(done).expect("it was just found");
                let core = &mut cores[host];
                if news != News::Absent {
                    core.record_load(now, ticket, reading(running, waiting, Some(percent)));
                }
                core.record_first_byte(now, ticket);
                core.release(now, ticket, Outcome::Success);
                late += usize::from(at - arrived > LATE_MS);
            }
        }
    }
    late
}

/// Guards against readings that are not used, not shared or used too long.
#[test]
fn fewer_answers_are_late_with_readings_when_an_upstream_is_slow_for_600_ms_at_a_time() {
    let [absent, own, shared] = [News::Absent, News::Own, News::Shared].map(replay);
    let late = format!("late of {}: {absent}, {own}, {shared}", RUN_MS / GAP_MS);
    println!("{late}");
    assert!(4 * shared < absent && shared < own, "{late}");
}

/// Guards against figures that outlive their time: a wrong or old reading would mislead for good.
#[test]
fn a_slowdown_counts_for_600_ms_and_the_numbers_of_requests_for_a_second() {
    let mut core = plain_core("n1", 1);
    take(&mut core, ms(100), "r0", reading(5, 9, Some(250)));
    assert_eq!(slowdown(&core, ms(700), "r0"), 2.5);
    assert_eq!(slowdown(&core, ms(701), "r0"), 1.0);
    assert!(requests(&core, ms(1_100), "r0") > 0);
    assert_eq!(requests(&core, ms(1_101), "r0"), 0);
    take(&mut core, ms(2_000), "r1", reading(5, 9, None));
    assert_eq!(slowdown(&core, ms(2_000), "r1"), 1.0, "none was reported");
}

/// Guards against a figure that stands still while this host sends and sees requests end, and against
/// one below what hosts know to be there.
#[test]
fn a_number_of_requests_follows_what_this_host_sends_and_is_no_lower_than_its_counts() {
    let mut core = plain_core("n1", 1);
    let grants: Vec<_> = (0..4).map(|n| place_plain(&mut core, ms(0), n)).collect();
    let first = &grants[0];
    let upstream = first.upstream.as_str().to_owned();
    assert!(core.record_load(ms(10), first.ticket, reading(6, 70, None)));
    assert_eq!(requests(&core, ms(10), &upstream), 76);
    core.release(ms(10), first.ticket, Outcome::Success);
    assert_eq!(requests(&core, ms(20), &upstream), 75);
    for kind in 0..6 {
        let next = place_plain(&mut core, ms(20), kind);
        assert_ne!(next.upstream, first.upstream, "it would answer late");
    }
    let second = &grants[1];
    assert_eq!(
        second.upstream, first.upstream,
        "nothing was known of either"
    );
    assert!(core.record_load(ms(30), second.ticket, reading(0, 0, None)));
    assert_eq!(requests(&core, ms(30), &upstream), 3, "this host's own");
}

/// Guards against extreme figures: requests must neither all go to an upstream that reports no time nor
/// stay away from one by a prediction that is no number.
#[test]
fn extreme_figures_are_bounded() {
    let mut core = plain_core("n1", 1);
    take(&mut core, ms(0), "r0", reading(0, 0, Some(0)));
    assert_eq!(slowdown(&core, ms(0), "r0"), 0.5);
    let most = u32::MAX;
    let extreme = Reading {
        slots: 0,
        ..reading(most, most, Some(most))
    };
    take(&mut core, ms(100), "r0", extreme);
    assert_eq!(slowdown(&core, ms(100), "r0"), 12.0);
    assert_eq!(place_plain(&mut core, ms(100), 0).upstream.as_str(), "r1");
}

/// Guards against readings of an earlier process: the new one would be shunned for its predecessor's
/// load, and an answer or a report of the earlier one may still arrive.
#[test]
fn a_restart_ends_the_readings_of_the_process_before() {
    let mut core = plain_core("n1", 1);
    take(&mut core, ms(0), "r0", reading(6, 9, Some(250)));
    let mut grants = (0..24).map(|kind| place_plain(&mut core, ms(10), kind));
    let late = grants.find(|grant| grant.upstream.as_str() == "r0");
    let late = late.expect("it got one");
    let earlier = core.catalog.get(&"r0".into()).unwrap().process();
    let mut restarted = entry("r0", "north-a", PLAIN, 1);
    restarted.incarnation = 2;
    core.catalog.upsert(ms(20), restarted);
    assert_eq!(slowdown(&core, ms(20), "r0"), 1.0);
    assert!(!core.record_load(ms(30), late.ticket, reading(6, 9, Some(250))));
    let mut message = report(identity("n2", "north", 2), 1);
    message.loads = vec![Report {
        process: earlier,
        age: ms(5),
        reading: reading(6, 9, Some(250)),
    }];
    core.receive_report(ms(40), message);
    assert_eq!(slowdown(&core, ms(40), "r0"), 1.0);
    assert_eq!(requests(&core, ms(40), "r0"), 1, "the one sent before");
}

/// Guards against malformed headers that count as a reading, or that fill the log.
#[test]
fn malformed_values_change_nothing_and_are_told_once_in_ten_seconds() {
    let mut core = plain_core("n1", 1);
    take(&mut core, ms(0), "r0", reading(2, 1, Some(150)));
    let mut grants = (0..24).map(|kind| place_plain(&mut core, ms(10), kind));
    let grant = grants.find(|grant| grant.upstream.as_str() == "r0");
    let ticket = grant.expect("it got one").ticket;
    let before = (requests(&core, ms(10), "r0"), 1.5);
    assert!(core.record_malformed_load(ms(10), ticket));
    assert!(!core.record_malformed_load(ms(10_009), ticket));
    let after = (requests(&core, ms(10), "r0"), slowdown(&core, ms(10), "r0"));
    assert_eq!(after, before);
    assert!(core.record_malformed_load(ms(10_010), ticket));
}

/// Guards against news that is lost with one report, told for ever or too long, and against old readings
/// that take the place of newer ones.
#[test]
fn hosts_share_new_readings_and_the_newest_counts() {
    let (mut one, mut other) = (plain_core("n1", 1), plain_core("n2", 2));
    one.receive_report(ms(0), report(identity("n2", "north", 2), 1));
    take(&mut one, ms(0), "r0", reading(6, 2, Some(250)));
    let told: Vec<_> = [100, 400, 700, 1_000]
        .map(|at| reported(&mut one, ms(at)))
        .concat();
    let counts: Vec<_> = told.iter().map(|report| report.loads.len()).collect();
    assert_eq!(counts, [1, 1, 0, 0], "in two reports");
    other.receive_report(ms(110), told[0].clone());
    assert_eq!(slowdown(&other, ms(110), "r0"), 2.5);
    let passed_on = reported(&mut other, ms(120));
    assert!(passed_on.len() == 1 && passed_on[0].loads.is_empty());
    assert_eq!(
        slowdown(&other, ms(611), "r0"),
        1.0,
        "by its age at arrival, 100 ms"
    );
    take(&mut other, ms(390), "r0", reading(1, 0, Some(100)));
    other.receive_report(ms(410), told[1].clone());
    assert_eq!(slowdown(&other, ms(410), "r0"), 1.0, "the own one is newer");
    let many: Vec<_> = (0..100)
        .map(|n| Report {
            age: ms(n),
            ..told[0].loads[0].clone()
        })
        .collect();
    assert_eq!(news(&many, ms(9)).len(), 10);
    assert_eq!(news(&many, ms(1_000)).len(), MAX_REPORTED);
}

/// Guards against a change of the wire format that hosts of an older build can't read, and against
/// reports of theirs that are not read; and against readings that take many bytes.
#[test]
fn reports_without_loads_are_those_of_older_hosts() {
    let encode = |report: &fleet::Report| {
        let mut bytes = Vec::new();
        ciborium::into_writer(report, &mut bytes).unwrap();
        bytes
    };
    let older = report(identity("n2", "north", 2), 1);
    let bytes = encode(&older);
    assert!(!bytes.windows(5).any(|window| window == b"loads"));
    let read: fleet::Report = ciborium::from_reader(&bytes[..]).unwrap();
    assert_eq!(read, older);
    let mut core = plain_core("n1", 1);
    take(&mut core, ms(0), "r0", reading(6, 2, Some(250)));
    core.receive_report(ms(10), read);
    assert_eq!(slowdown(&core, ms(10), "r0"), 2.5, "what is known stays");
    let own = reported(&mut core, ms(20)).remove(0);
    let (bytes, loads) = (encode(&own), own.loads.len());
    let without = encode(&fleet::Report {
        loads: Vec::new(),
        ..own.clone()
    });
    let size = bytes.len() - without.len();
    println!("{size} bytes for {loads} reading");
    assert!(size <= 64, "{size} bytes");
    let read: fleet::Report = ciborium::from_reader(&bytes[..]).unwrap();
    assert_eq!((loads, &read), (1, &own));
}

/// Guards against an engine whose slowdown is not in its prediction, or is learned as the pool's speed.
#[test]
fn an_engines_prediction_grows_by_its_slowdown_and_its_pools_speed_does_not() {
    let mut core = core(1);
    let place =
        |core: &mut Core, at: u64, own: u64| match core.place(ms(at), &job(core, ms(at), 3, own)) {
            Placement::Local(grant) => grant,
            other => panic!("not placed: {other:?}"),
        };
    let usual = place(&mut core, 0, 100);
    core.record_load(ms(50), usual.ticket, reading(1, 0, Some(250)));
    core.release(ms(50), usual.ticket, Outcome::Unknown);
    let slow = place(&mut core, 100, 101);
    let ratio = slow.predicted_ms / usual.predicted_ms;
    assert!((2.49..2.51).contains(&ratio), "{ratio}");
    let ends_at = ms(100 + slow.predicted_ms as u64);
    core.record_load(ends_at, slow.ticket, reading(1, 0, Some(250)));
    core.record_first_byte(ends_at, slow.ticket);
    core.release(ends_at, slow.ticket, Outcome::Success);
    let later = place(&mut core, 9_000, 102);
    let ratio = later.predicted_ms / usual.predicted_ms;
    assert!((0.95..1.05).contains(&ratio), "{ratio}");
}
