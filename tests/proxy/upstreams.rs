//! Tests of the catalog of upstreams: leaving, removed, lapsed, cold and failing ones.

use {
    crate::common::{POOL, entry, ms},
    greengagecleat::proxy::{
        catalog::{Catalog, Change, News},
        replica::{Outcome, Replica, Tally},
    },
    std::{collections::BTreeSet, time::Duration},
};

fn catalog() -> Catalog {
    let domains = ["north-a", "north-b"];
    let mut catalog = Catalog::new(domains.iter().map(|domain| (*domain).into()).collect());
    let entries = vec![
        entry("e0", "north-a", POOL, 1),
        entry("e1", "north-b", POOL, 1),
        entry("far", "south-a", POOL, 1),
    ];
    catalog.replace_all(ms(0), entries);
    catalog
}

fn eligible(catalog: &Catalog) -> Vec<String> {
    let pool = POOL.into();
    let ids = catalog
        .eligible(&pool)
        .map(|replica| replica.entry.id.to_string());
    ids.collect()
}

#[test]
fn only_upstreams_of_the_region_are_used() {
    assert_eq!(eligible(&catalog()), ["e0", "e1"]);
}

#[test]
fn a_leaving_upstream_stays_leaving() {
    let mut catalog = catalog();
    let mut leaving = entry("e0", "north-a", POOL, 2);
    leaving.leaving = true;
    assert_eq!(
        catalog.upsert(ms(10), leaving),
        Some(Change::Leaving("e0".into()))
    );
    assert_eq!(eligible(&catalog), ["e1"]);
    // An older entry arrives late, then a newer one of the same run that is no longer marked as
    // leaving.
    catalog.upsert(ms(20), entry("e0", "north-a", POOL, 1));
    catalog.upsert(ms(30), entry("e0", "north-a", POOL, 3));
    assert_eq!(eligible(&catalog), ["e1"]);
    let mut restarted = entry("e0", "north-a", POOL, 1);
    restarted.incarnation = 2;
    assert_eq!(
        catalog.upsert(ms(40), restarted),
        Some(Change::Restarted("e0".into()))
    );
    assert_eq!(eligible(&catalog), ["e0", "e1"]);
}

/// A heartbeat of the process before, written late, was taken for another start, and an upstream that
/// was leaving was used again.
#[test]
fn an_upstream_that_leaves_is_not_used_again_for_a_late_entry_of_the_process_before() {
    let mut catalog = catalog();
    let mut leaving = entry("e0", "north-a", POOL, 2);
    leaving.incarnation = 7;
    leaving.leaving = true;
    catalog.upsert(ms(10), leaving);
    let before = entry("e0", "north-a", POOL, 90);
    assert_eq!(catalog.upsert(ms(20), before), None);
    assert_eq!(eligible(&catalog), ["e1"]);
}

/// An upstream that had left was used again when an entry older than its removal was written once
/// more, or another host listed it that had read less.
#[test]
fn an_upstream_that_has_left_is_not_used_again_for_an_older_entry() {
    let mut catalog = catalog();
    catalog.upsert(ms(10), entry("e0", "north-a", POOL, 4));
    catalog.remove(ms(20), &"e0".into());
    for sequence in [3, 4] {
        let older = entry("e0", "north-a", POOL, sequence);
        assert_eq!(catalog.upsert(ms(30), older.clone()), None);
        let listed = vec![older, entry("e1", "north-b", POOL, 1)];
        catalog.replace_all(ms(40), listed);
        assert_eq!(eligible(&catalog), ["e1"]);
    }
    catalog.upsert(ms(50), entry("e0", "north-a", POOL, 5));
    assert_eq!(eligible(&catalog), ["e0", "e1"], "it is alive after all");

    let mut leaving = entry("e1", "north-b", POOL, 2);
    leaving.leaving = true;
    catalog.upsert(ms(60), leaving);
    catalog.remove(ms(70), &"e1".into());
    catalog.upsert(ms(80), entry("e1", "north-b", POOL, 3));
    assert_eq!(eligible(&catalog), ["e0"], "a process that leaves stays so");
    let mut again = entry("e1", "north-b", POOL, 1);
    again.incarnation = 2;
    catalog.upsert(ms(90), again);
    assert_eq!(eligible(&catalog), ["e0", "e1"], "it has started again");
}

#[test]
fn a_removed_upstream_is_gone_at_once_while_the_platform_is_reachable() {
    let mut catalog = catalog();
    let change = catalog.remove(ms(10), &"e0".into());
    assert_eq!(change, Some(Change::Gone("e0".into())));
    assert_eq!(eligible(&catalog), ["e1"]);
}

#[test]
fn an_entry_that_lapsed_during_an_outage_is_kept_until_it_had_time_to_return() {
    let mut catalog = catalog();
    catalog.set_reachable(ms(1_000), false);
    catalog.set_reachable(ms(6_000), true);
    assert!(catalog.replace_all(ms(6_010), Vec::new()).is_empty());
    assert_eq!(eligible(&catalog), ["e0", "e1"]);
    catalog.upsert(ms(7_000), entry("e0", "north-a", POOL, 2));
    assert!(catalog.expire(ms(8_100)).is_empty());
    let gone = catalog.expire(ms(8_300));
    assert_eq!(gone, [Change::Gone("e1".into())]);
    assert_eq!(eligible(&catalog), ["e0"]);
}

/// A removal that was read shortly before the platform was lost counted only when it was back: the
/// upstream had left, and got requests all the while.
#[test]
fn an_upstream_whose_removal_was_told_is_not_used_while_the_platform_is_unreachable() {
    let mut catalog = catalog();
    catalog.set_reachable(ms(1_000), false);
    catalog.set_reachable(ms(2_000), true);
    assert_eq!(catalog.remove(ms(2_500), &"e0".into()), None);
    catalog.set_reachable(ms(2_600), false);
    assert!(catalog.expire(ms(4_000)).is_empty());
    assert_eq!(eligible(&catalog), ["e0", "e1"], "it may be listed again");
    let lapsed = catalog.expire(ms(60_000));
    assert_eq!(lapsed, [Change::Lapsed("e0".into())]);
    assert_eq!(eligible(&catalog), ["e1"]);
    // What is left is better than nothing, as the entries may only have lapsed.
    catalog.remove(ms(60_010), &"e1".into());
    let lapsed = catalog.expire(ms(70_000));
    assert_eq!(lapsed, [Change::Lapsed("e1".into())]);
    assert_eq!(eligible(&catalog), ["e0", "e1"]);
    catalog.upsert(ms(70_010), entry("e0", "north-a", POOL, 2));
    assert_eq!(eligible(&catalog), ["e0"], "it is listed again");
}

/// Of an upstream that had said that it leaves and was removed before a host read on, the host took
/// only the removal, which counts later just after an outage.
#[test]
fn an_upstream_that_left_within_one_batch_of_changes_is_not_used() {
    let mut catalog = catalog();
    catalog.set_reachable(ms(1_000), false);
    catalog.set_reachable(ms(5_000), true);
    let mut leaving = entry("e0", "north-a", POOL, 2);
    leaving.leaving = true;
    let mut added = entry("e2", "north-a", POOL, 1);
    added.incarnation = 3;
    let news = vec![
        News::Entry(leaving),
        News::Entry(added),
        News::Removed("e0".into()),
        News::Removed("e2".into()),
    ];
    assert_eq!(
        catalog.apply(ms(5_010), news),
        [Change::Leaving("e0".into())]
    );
    assert_eq!(eligible(&catalog), ["e1"]);
}

/// An upstream that was removed and listed again before a host read on was passed over like one that was
/// added and removed.
#[test]
fn an_upstream_that_is_listed_again_within_one_batch_of_changes_is_used() {
    let mut catalog = catalog();
    let news = vec![
        News::Removed("e0".into()),
        News::Entry(entry("e0", "north-a", POOL, 2)),
    ];
    let changes = catalog.apply(ms(10), news);
    let expected = [Change::Gone("e0".into()), Change::Listed("e0".into())];
    assert_eq!(changes, expected);
    assert_eq!(eligible(&catalog), ["e0", "e1"]);
}

/// Something that another writer left in place of an upstream's entry was passed over when it came as
/// a change, and the upstream used as it was before.
#[test]
fn an_upstream_whose_entry_cannot_be_read_is_not_used_until_it_can() {
    let mut catalog = catalog();
    let before = catalog.generation();
    let unreadable = || vec![News::Unreadable("e0".into())];
    let told = catalog.apply(ms(10), unreadable());
    assert_eq!(told, [Change::Unreadable("e0".into())]);
    assert_eq!(catalog.apply(ms(20), unreadable()), []);
    assert_eq!(eligible(&catalog), ["e1"]);
    let listed: Vec<_> = catalog.entries(ms(20)).into_iter().collect();
    assert_eq!(listed.len(), 1, "other hosts are told of it no more");
    catalog.upsert(ms(30), entry("e0", "north-a", POOL, 2));
    assert_eq!(eligible(&catalog), ["e0", "e1"]);
    assert_eq!(catalog.generation(), before + 2);

    let news = vec![
        News::Entry(entry("e1", "north-b", POOL, 2)),
        News::Unreadable("e0".into()),
        News::Unreadable("new".into()),
    ];
    catalog.replace_listed(ms(40), news);
    assert_eq!(eligible(&catalog), ["e1"], "neither in a full list");
}

/// An entry that named a cold time of centuries ended the task that followed the list.
#[test]
fn an_entry_with_an_endless_cold_time_is_taken() {
    let mut catalog = catalog();
    let mut endless = entry("e0", "north-a", POOL, 2);
    endless.cold_for = Duration::MAX;
    catalog.upsert(ms(10), endless);
    assert!(catalog.get(&"e0".into()).unwrap().is_cold(ms(60_000)));
    assert_eq!(eligible(&catalog), ["e0", "e1"]);
    assert_eq!(catalog.entries(ms(20)).len(), 2);
}

#[test]
fn an_evacuated_domain_is_not_used_and_comes_back_cold() {
    let mut catalog = catalog();
    catalog.set_evacuated(ms(0), BTreeSet::from(["north-a".into()]));
    assert_eq!(eligible(&catalog), ["e1"]);
    catalog.set_evacuated(ms(5_000), BTreeSet::new());
    assert_eq!(eligible(&catalog), ["e0", "e1"]);
    let cold = |id: &str, at| catalog.get(&id.into()).unwrap().is_cold(ms(at));
    assert!(cold("e0", 5_100));
    assert!(!cold("e1", 5_100));
    assert!(!cold("e0", 9_000));
}

#[test]
fn an_upstream_whose_address_belongs_to_another_is_removed() {
    let mut catalog = catalog();
    catalog.remove_misdirected(ms(0), &"e0".into());
    assert_eq!(eligible(&catalog), ["e1"]);
}

#[test]
fn an_upstream_whose_answers_break_off_is_ejected_and_then_cold() {
    let mut catalog = catalog();
    let id = "e0".into();
    catalog.record_outcome(ms(0), &id, Outcome::Broken);
    assert!(catalog.get(&id).unwrap().is_available(ms(1)));
    let change = catalog.record_outcome(ms(10), &id, Outcome::Broken);
    assert_eq!(change, Some(Change::Standing(id.clone())));
    assert!(!catalog.get(&id).unwrap().is_available(ms(100)));
    assert!(catalog.get(&id).unwrap().is_available(ms(1_000)));
    assert!(catalog.get(&id).unwrap().is_cold(ms(1_000)));
}

#[test]
fn a_silent_upstream_gets_no_requests_until_a_byte_arrives() {
    let mut catalog = catalog();
    let id = "e0".into();
    assert_eq!(
        catalog.mark_silent(ms(10), &id),
        Some(Change::Silent(id.clone()))
    );
    assert_eq!(catalog.mark_silent(ms(20), &id), None);
    assert!(!catalog.get(&id).unwrap().is_available(ms(60_000)));
    catalog.get_mut(&id).unwrap().record_progress(ms(60_000));
    assert!(catalog.get(&id).unwrap().is_available(ms(60_001)));
}

#[test]
fn an_error_share_common_to_the_pool_ejects_no_upstream() {
    let mut catalog = catalog();
    // One answer in seven is a server error at every upstream.
    for n in 0..700_u64 {
        for id in ["e0", "e1"] {
            let failed = n % 7 == 0;
            let outcome = if failed {
                Outcome::Error
            } else {
                Outcome::Success
            };
            catalog.record_outcome(ms(n * 10), &id.into(), outcome);
        }
    }
    assert!(catalog.get(&"e0".into()).unwrap().is_available(ms(7_001)));
    assert!(catalog.get(&"e1".into()).unwrap().is_available(ms(7_001)));
    // One upstream now fails most of its answers.
    for n in 700..720_u64 {
        catalog.record_outcome(ms(n * 10), &"e0".into(), Outcome::Error);
        catalog.record_outcome(ms(n * 10), &"e1".into(), Outcome::Success);
    }
    assert!(!catalog.get(&"e0".into()).unwrap().is_available(ms(7_201)));
    assert!(catalog.get(&"e1".into()).unwrap().is_available(ms(7_201)));
}

/// Heartbeats arrive all the time; only changes that other hosts must learn of may count. Counting
/// every heartbeat would make the reader announce the whole listing each time.
#[test]
fn a_heartbeat_without_news_does_not_raise_the_generation() {
    let mut catalog = catalog();
    let before = catalog.generation();
    catalog.upsert(ms(10), entry("e0", "north-a", POOL, 2));
    catalog.upsert(ms(20), entry("far", "south-a", POOL, 2));
    assert_eq!(catalog.generation(), before);
    let mut cold = entry("e0", "north-a", POOL, 3);
    cold.cold_for = ms(3_000);
    catalog.upsert(ms(30), cold.clone());
    assert_eq!(
        catalog.generation(),
        before + 1,
        "the upstream has become cold"
    );
    cold.cold_for = ms(2_100);
    cold.sequence = 4;
    catalog.upsert(ms(830), cold);
    assert_eq!(
        catalog.generation(),
        before + 1,
        "its cold time only ran down"
    );
    let mut leaving = entry("e1", "north-b", POOL, 2);
    leaving.leaving = true;
    catalog.upsert(ms(900), leaving);
    assert_eq!(catalog.generation(), before + 2);
    catalog.remove(ms(910), &"e1".into());
    assert_eq!(catalog.generation(), before + 3);
    let entries = catalog.entries(ms(1_030));
    assert_eq!(entries[0].cold_for, ms(1_900), "the remaining cold time");
}

/// Guards against subtracting an engine's progress from every host's report separately. At a peak in
/// a region of 25 hosts the other 24 each report one queued prompt of 3,000 tokens at the same
/// engine. In 100 ms it prefills 8,000 of these 72,000 tokens, not all of them.
#[test]
fn backlogs_reported_by_many_hosts_drain_as_one() {
    const RATE: f64 = 80.0;
    let mut engine = Replica::new(ms(0), entry("e0", "north-a", POOL, 1));
    for host in 0..24 {
        let mut tally = Tally {
            running: 1,
            ..Tally::default()
        };
        tally.prefill_tokens[1] = 3_000;
        engine.record_tally(ms(0), &format!("n{host}").as_str().into(), tally);
    }
    let left = |at| engine.prefill_ahead(ms(at), 1, RATE).round() as u64;
    assert_eq!(left(0), 72_000);
    assert_eq!(left(100), 64_000);
    assert_eq!(left(900), 0);
    assert_eq!(
        engine.prefill_ahead(ms(0), 0, RATE),
        0.0,
        "a more urgent request does not wait for it"
    );
}
