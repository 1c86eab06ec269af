//! Behaviour of the limit towards callers and operators, without faults or with a single one.

use {
    crate::net::Net,
    greengagecleat::{
        limit::{Event, Mode, Quota, Verdict},
        name,
    },
    std::time::Duration,
};

const QUOTA: Quota = Quota {
    rate: 1000.0,
    burst: 4000.0,
};
const REQUEST: f64 = 100.0;
/// Number of slices in a second.
const SLICES_PER_SECOND: u32 = 50;

fn customer() -> name::Customer {
    "one".into()
}

/// Three regions of three processes each, past their quarantine.
fn fleet(mode: Mode) -> Net {
    let regions = [(3, 1.0), (3, 1.0), (3, 1.0)];
    let mut net = Net::new(7, mode, None, &regions);
    net.quotas = [(customer(), QUOTA)].into();
    for (region, (hosts, _)) in regions.iter().enumerate() {
        for _ in 0..*hosts {
            net.start(region, None);
        }
    }
    net.send_all_members();
    (0..6 * SLICES_PER_SECOND).for_each(|_| net.advance_slice());
    net
}

/// Offers the fraction `part` of the rate, evenly over `hosts`, and returns the fraction admitted.
fn offer(net: &mut Net, seconds: u32, part: f64, hosts: &[usize]) -> f64 {
    let before = net.counts;
    let per_slice = QUOTA.rate * part / REQUEST / f64::from(SLICES_PER_SECOND) / hosts.len() as f64;
    let mut due_requests = vec![0.0; hosts.len()];
    for _ in 0..seconds * SLICES_PER_SECOND {
        net.advance_slice();
        for (at, due_requests) in hosts.iter().zip(&mut due_requests) {
            *due_requests += per_slice;
            while *due_requests >= 1.0 {
                *due_requests -= 1.0;
                net.admit(*at, &customer(), REQUEST);
            }
        }
    }
    let offered = net.counts.offered_tokens - before.offered_tokens;
    (net.counts.admitted_tokens - before.admitted_tokens) / offered
}

#[test]
fn traffic_at_one_host_gets_nearly_the_whole_rate_within_seconds() {
    for mode in [Mode::Loans, Mode::Leases] {
        let mut net = fleet(mode);
        offer(&mut net, 3, 0.95, &[4]);
        let admitted = offer(&mut net, 20, 0.95, &[4]);
        assert!(admitted >= 0.95, "{mode:?} admitted {admitted}");
    }
}

#[test]
fn static_cut_leaves_most_of_a_skewed_customer_refused() {
    let mut net = fleet(Mode::Static);
    offer(&mut net, 3, 0.95, &[4]);
    assert!(offer(&mut net, 20, 0.95, &[4]) < 0.2);
}

#[test]
fn region_cut_off_keeps_serving_its_part_and_no_more() {
    let mut net = fleet(Mode::Leases);
    net.cut_regions = [(0, 1), (0, 2)].into();
    offer(&mut net, 10, 0.3, &[0, 1, 2]);
    let admitted = offer(&mut net, 20, 0.3, &[0, 1, 2]);
    assert!(admitted >= 0.95, "admitted {admitted} of its part");
    let admitted = offer(&mut net, 20, 0.95, &[0, 1, 2]) * 20.0 * 0.95 * QUOTA.rate;
    let part = (20.0 * QUOTA.rate + QUOTA.burst) / 3.0;
    assert!(admitted <= part, "admitted {admitted} of {part}");
    net.cut_regions.clear();
    offer(&mut net, 5, 0.95, &[0, 1, 2]);
    let admitted = offer(&mut net, 20, 0.95, &[0, 1, 2]);
    assert!(admitted >= 0.95, "admitted {admitted} after healing");
}

#[test]
fn process_beyond_the_plan_lives_on_loans() {
    let mut net = fleet(Mode::Leases);
    let extra = net.start(1, None);
    net.send_all_members();
    offer(&mut net, 8, 0.5, &[extra]);
    assert!(!net.processes[extra].limit.is_seated());
    let admitted = offer(&mut net, 10, 0.5, &[extra]);
    assert!(admitted >= 0.95, "admitted {admitted}");
}

#[test]
fn fresh_process_serves_on_loans_during_its_quarantine() {
    let mut net = fleet(Mode::Leases);
    net.kill(4);
    let fresh = net.start(1, None);
    net.send_all_members();
    offer(&mut net, 1, 0.3, &[fresh]);
    let admitted = offer(&mut net, 2, 0.3, &[fresh]);
    assert!(!net.processes[fresh].limit.is_seated());
    assert!(admitted >= 0.95, "admitted {admitted}");
}

#[test]
fn leaving_host_gives_back_what_it_borrowed() {
    let mut net = fleet(Mode::Leases);
    offer(&mut net, 3, 0.9, &[4]);
    assert!(net.processes[4].limit.loan_counts().0 > 0);
    net.step(4, Event::Drain);
    assert_eq!(net.processes[4].limit.loan_counts().0, 0);
    offer(&mut net, 2, 0.9, &[7]);
    let admitted = offer(&mut net, 3, 0.9, &[7]);
    assert!(admitted >= 0.95, "admitted {admitted}");
}

#[test]
fn request_beyond_the_burst_is_too_large() {
    let mut net = fleet(Mode::Leases);
    let verdict = net.admit(0, &customer(), QUOTA.burst + 1.0);
    assert_eq!(verdict, Verdict::TooLarge { burst: QUOTA.burst });
    let verdict = net.admit(0, &"nobody".into(), 1.0);
    assert_eq!(verdict, Verdict::UnknownCustomer);
}

#[test]
fn request_near_the_burst_is_admitted_after_retries() {
    let mut net = fleet(Mode::Leases);
    (0..10 * SLICES_PER_SECOND).for_each(|_| net.advance_slice());
    let size = QUOTA.burst * 0.9;
    let mut waited = Duration::ZERO;
    while let Verdict::Refused { retry_after } = net.admit(3, &customer(), size) {
        let slices = retry_after.as_millis() as u32 * SLICES_PER_SECOND / 1000;
        (0..slices.max(1)).for_each(|_| net.advance_slice());
        waited += retry_after;
        assert!(waited < Duration::from_secs(10), "never admitted");
    }
}

#[test]
fn refund_lifts_no_bucket_over_its_depth() {
    let mut net = fleet(Mode::Leases);
    let at = 0;
    let (_, level) = net.processes[at].limit.share(&customer()).unwrap();
    net.admit(at, &customer(), level);
    (0..20 * SLICES_PER_SECOND).for_each(|_| net.advance_slice());
    net.settle_one(at, 0.0);
    let (share, level) = net.processes[at].limit.share(&customer()).unwrap();
    assert!(level <= share.depth);
}

#[test]
fn settled_request_gets_its_unused_tokens_back() {
    let mut net = fleet(Mode::Leases);
    let (_, before) = net.processes[0].limit.share(&customer()).unwrap();
    net.admit(0, &customer(), before);
    let (_, charged) = net.processes[0].limit.share(&customer()).unwrap();
    net.settle_one(0, 0.25);
    let (_, settled) = net.processes[0].limit.share(&customer()).unwrap();
    let back = settled - charged;
    assert!((back - before * 0.75).abs() < 1.0, "{back} of {before}");
}

#[test]
fn use_beyond_the_charge_is_paid_before_the_next_admission() {
    let mut net = fleet(Mode::Static);
    (0..10 * SLICES_PER_SECOND).for_each(|_| net.advance_slice());
    let part = QUOTA.burst / 9.0;
    let verdict = net.admit(0, &customer(), part / 2.0);
    assert!(matches!(verdict, Verdict::Admitted(_)), "{verdict:?}");
    net.settle_one(0, 4.0);
    let verdict = net.admit(0, &customer(), 1.0);
    assert!(matches!(verdict, Verdict::Refused { .. }), "{verdict:?}");
}

#[test]
fn debt_is_not_forgiven_by_giving_a_loan_back() {
    let mut net = fleet(Mode::Leases);
    offer(&mut net, 4, 0.9, &[4]);
    assert!(net.processes[4].limit.loan_counts().0 > 0);
    net.admit(4, &customer(), REQUEST);
    (0..net.unsettled(4)).for_each(|_| net.settle_one(4, 20.0));
    let (_, before) = net.processes[4].limit.share(&customer()).unwrap();
    assert!(before < 0.0);
    net.step(4, Event::Drain);
    let (_, after) = net.processes[4].limit.share(&customer()).unwrap();
    assert!(after <= before + 1.0, "{before} became {after}");
}
