//! Messages of other hosts in which one number is extreme. A negative waiting time of another region
//! made each request panic that was forwarded there.

use {
    crate::common::{POOL, entry, forwardable, identity, job, ms, plain_job, report, rows, setup},
    ciborium::Value,
    greengagecleat::proxy::{
        cache,
        catalog::News,
        core::{Core, Placement, Provenance},
        dialect::Part,
        fleet::Report,
        load,
        reader::Reading,
        replica::Outcome,
        table::Table,
        throttle::{Notice, Rate},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        panic::{AssertUnwindSafe, catch_unwind},
        time::Duration,
    },
};

const SEEDS: u64 = 600;
/// Messages that a host gets one after the other.
const MESSAGES: u64 = 20;

fn host(name: &str, region: &str, last: u8, upstreams: usize) -> Core {
    let mut core = Core::new(ms(0), setup(name, region, last));
    assert!(core.configure(ms(0), Table::new(rows(1)), Provenance::default()));
    let domain = format!("{region}-a");
    let entries = (0..upstreams).map(|n| entry(&format!("{region}-{n}"), &domain, POOL, 1));
    core.catalog.replace_all(ms(0), entries.collect());
    core
}

/// A report and a reading of a busy host to the host `n1`, and the time.
fn messages(mut sender: Core) -> (Vec<Report>, Option<Reading>, Duration) {
    let mut now = ms(100);
    sender.receive_report(now, report(identity("n1", "north", 1), 1));
    sender.receive_report(now, report(identity("s1", "south", 7), 1));
    let mut reports = Vec::new();
    for n in 0..40 {
        now += ms(50);
        let job = job(&sender, now, n % 3, n);
        let outcome = match n % 4 {
            0 => Outcome::Broken,
            _ => Outcome::Success,
        };
        if let Placement::Local(grant) = sender.place(now, &job) {
            sender.record_notice(now, grant.ticket, Notice::Limit(Rate::new(50.0).unwrap()));
            let reading = load::Reading {
                running: 2,
                waiting: 1,
                slots: 6,
                slowdown_percent: Some(120),
            };
            sender.record_load(now, grant.ticket, reading);
            sender.record_rest(now, grant.ticket, ms(20));
            sender.record_first_byte(now + ms(20), grant.ticket);
            if n % 3 > 0 {
                sender.release(now + ms(40), grant.ticket, outcome);
            }
        }
        sender.judge_suspects(now);
        let due = sender.due_reports(now, true, false);
        reports.extend(
            due.into_iter()
                .filter_map(|(to, report)| (to.host.as_str() == "n1").then_some(report)),
        );
    }
    let reading = sender.announce(now).map(|(reading, _)| reading);
    (reports, reading, now)
}

/// The numbers within a value.
fn numbers<'a>(value: &'a mut Value, found: &mut Vec<&'a mut Value>) {
    match value {
        Value::Integer(_) | Value::Float(_) => found.push(value),
        Value::Array(values) => values.iter_mut().for_each(|value| numbers(value, found)),
        Value::Map(pairs) => pairs
            .iter_mut()
            .for_each(|(_, value)| numbers(value, found)),
        _ => {}
    }
}

/// The same message with some other number; `None` if it can't be decoded.
fn mutate<M: serde::Serialize + serde::de::DeserializeOwned>(
    message: &M,
    rng: &mut StdRng,
) -> Option<M> {
    let mut value = Value::serialized(message).ok()?;
    let mut found = Vec::new();
    numbers(&mut value, &mut found);
    let floats = [
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        1e300,
        -1e300,
        1e19,
        -1.0,
        0.0,
        f64::from(f32::MAX),
    ];
    let at = rng.random_range(0..found.len().max(1));
    *found.into_iter().nth(at)? = match rng.random_range(0..14) {
        0 => Value::from(0),
        1 => Value::from(1),
        2 => Value::from(u32::MAX),
        3 => Value::from(u64::MAX),
        4 => Value::from(i64::MAX),
        n => Value::from(floats[n - 5]),
    };
    value.deserialized().ok()
}

/// What a host does after messages.
fn work(core: &mut Core, now: Duration, own: u64) {
    for job in [forwardable(&job(core, now, own, own)), plain_job(core, now)] {
        core.withheld(now, &job);
        core.record_request(now, &job.pool);
        let placement = core.place(now, &job);
        core.wait_limit(now, &job);
        core.retry_after(now, &job);
        core.reserved_slots(now, &job);
        if let Placement::Remote(remote) = &placement {
            let predicted = Duration::try_from_secs_f64(remote.predicted_ms / 1_000.0);
            predicted.expect("the prediction is a time");
        }
        if let Placement::Local(grant) = placement {
            core.confirm_send(now, grant.ticket);
            core.record_first_byte(now + ms(10), grant.ticket);
            core.release(now + ms(20), grant.ticket, Outcome::Success);
        }
    }
    core.record_step(now);
    for (recipient, report) in core.due_reports(now, true, false) {
        core.shorten(&recipient, &report);
    }
    core.limiter.expire(now);
    core.catalog.expire(now);
    core.detect_silent(now);
    core.take_overload_changes(now);
    core.due_probes(now);
    core.take_cut_off_change(now);
    core.judge_suspects(now);
    core.announce(now);
    core.relay_addresses(now);
    core.place_waiting(now);
}

#[test]
fn extreme_numbers_of_other_hosts_make_nothing_panic() {
    let senders = [host("n2", "north", 2, 4), host("s1", "south", 7, 4)];
    let sent = senders.map(messages);
    let mut found = BTreeMap::new();
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        // Without upstreams of its own a host forwards by what the other region tells.
        let mut receiver = host("n1", "north", 1, if seed % 2 == 0 { 4 } else { 0 });
        for n in 0..MESSAGES {
            let (reports, reading, start) = &sent[(seed % 2) as usize];
            let now = *start + ms(60 * n);
            let original = &reports[rng.random_range(0..reports.len())];
            let report = std::iter::repeat_with(|| mutate(original, &mut rng));
            let report = report.flatten().next().expect("it has no end");
            let reading = reading
                .as_ref()
                .and_then(|reading| mutate(reading, &mut rng));
            let told = format!("{report:?} {reading:?}");
            let step = catch_unwind(AssertUnwindSafe(|| {
                receiver.receive_report(now, report);
                if let Some(reading) = reading {
                    receiver.receive_reading(now, reading);
                }
                work(&mut receiver, now, n);
            }));
            if let Err(panic) = step {
                let reason = panic.downcast_ref::<String>().cloned();
                let reason =
                    reason.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
                found
                    .entry(reason.unwrap_or_default())
                    .or_insert((seed, n, told));
                break;
            }
        }
    }
    assert!(found.is_empty(), "{found:#?}");
}

/// The same for what upstreams publish and answer, and for requests.
#[test]
fn extreme_numbers_of_upstreams_and_callers_make_nothing_panic() {
    const NUMBERS: [u32; 5] = [0, 1, 6, u32::MAX - 1, u32::MAX];
    const RATES: [f64; 4] = [f64::MIN_POSITIVE, 1e-9, 5.0, f64::MAX];
    const TIMES: [Duration; 4] = [
        Duration::ZERO,
        Duration::from_nanos(1),
        Duration::from_secs(86_400),
        Duration::MAX,
    ];
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut core = host("n1", "north", 1, 4);
        let mut now = ms(100);
        for n in 0..MESSAGES {
            let mut number = || NUMBERS[rng.random_range(0..NUMBERS.len())];
            let mut published = entry(&format!("north-{}", n % 5), "north-a", POOL, n + 2);
            published.slots = number();
            published.cold_for = Duration::from_secs(u64::from(number()).min(86_400));
            published.incarnation = u64::from(number()) << 21;
            let reading = load::Reading {
                running: number(),
                waiting: number(),
                slots: number(),
                slowdown_percent: Some(number()),
            };
            let mut asked = job(&core, now, n % 3, n);
            asked.tokens = (number(), number());
            let parts = [number(), number()].map(|tokens| Part {
                id: u64::from(tokens),
                tokens,
            });
            asked.prefixes = cache::prefixes(&parts);
            asked.deadline = now + TIMES[rng.random_range(0..3)];
            core.catalog.apply(now, vec![News::Entry(published)]);
            for job in [forwardable(&asked), asked] {
                let placement = core.place(now, &job);
                core.wait_limit(now, &job);
                core.retry_after(now, &job);
                core.enqueue(job);
                if let Placement::Local(grant) = placement {
                    let rate = Rate::new(RATES[rng.random_range(0..RATES.len())]);
                    core.record_notice(now, grant.ticket, Notice::Limit(rate.unwrap()));
                    core.record_load(now, grant.ticket, reading);
                    core.record_rest(now, grant.ticket, TIMES[rng.random_range(0..4)]);
                    core.record_first_byte(now + TIMES[rng.random_range(0..3)], grant.ticket);
                    if rng.random() {
                        core.release(now, grant.ticket, Outcome::Broken);
                    }
                }
            }
            work(&mut core, now, n);
            // A clock that steps back, and one that leaps.
            now =
                [now + ms(60), now.saturating_sub(ms(500)), now + TIMES[2]][rng.random_range(0..3)];
        }
    }
}
