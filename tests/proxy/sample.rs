use {crate::common::ms, greengagecleat::proxy::sample::Sampler};

#[test]
fn a_flood_is_bounded_and_hosts_keep_the_same_requests() {
    let (mut one, mut other) = (Sampler::default(), Sampler::default());
    // The second host is already over its share for the second.
    for n in 0..100 {
        other.keep(ms(0), &format!("before-{n}"));
    }
    let ids: Vec<_> = (0..5_000).map(|n| format!("request-{n}")).collect();
    let kept_by_one: Vec<_> = ids.iter().filter(|id| one.keep(ms(500), id)).collect();
    let kept_by_other: Vec<_> = ids.iter().filter(|id| other.keep(ms(500), id)).collect();
    assert!(kept_by_one.len() < 500, "{}", kept_by_one.len());
    assert!(kept_by_other.iter().all(|id| kept_by_one.contains(id)));
    assert_eq!(one.dropped() + kept_by_one.len() as u64, 5_000);
    assert!(
        one.keep(ms(1_000), "request-1"),
        "the next second is its own"
    );
}
