use {crate::common::ms, greengagecleat::proxy::sample::Sampler};

#[test]
fn sampling_bounds_the_lines_and_keeps_the_same_requests_on_every_host() {
    let (mut one, mut other) = (Sampler::default(), Sampler::default());
    // The second host has already used its unsampled lines of this second.
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
        "each second starts a new count"
    );
}
