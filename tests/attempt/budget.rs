//! Tests that the retry budget keeps its bound.

use {
    greengagecleat::attempt::{
        Budget, TokenBucket,
        budget::{Limit, Shared},
    },
    quickcheck::{Gen, QuickCheck},
    std::time::Duration,
};

#[test]
fn grants_stay_under_the_linear_bound_over_every_span() {
    fn holds(steps: Vec<(bool, u8)>) -> bool {
        let limit = Limit {
            ratio: 0.25,
            per_second: 0.5,
            burst: 3.0,
        };
        let mut budget = Shared::new(TokenBucket::new(limit, Duration::ZERO));
        let mut now = Duration::ZERO;
        let mut events = Vec::new();
        for (first, gap) in steps {
            now += Duration::from_millis(gap.into());
            if first {
                budget.deposit(now);
                events.push((now, limit.ratio));
            } else if budget.withdraw(now) {
                events.push((now, -1.0));
            }
        }
        (0..events.len()).all(|from| {
            let start = events[from].0;
            let mut left = limit.burst;
            events[from..].iter().all(|&(at, change)| {
                left += change;
                left + (at - start).as_secs_f64() * limit.per_second > -1e-6
            })
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 7))
        .tests(500)
        .quickcheck(holds as fn(Vec<(bool, u8)>) -> bool);
}

#[test]
fn retries_are_refused_when_answers_do_not_pay_for_them() {
    let mut budget = TokenBucket::new(Limit::default(), Duration::ZERO);
    let granted = (0..100).filter(|_| budget.withdraw(Duration::ZERO)).count();
    assert_eq!(granted, 10);
}
