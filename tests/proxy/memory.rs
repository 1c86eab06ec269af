//! The limit on the bytes that all answers of a host hold together.

use {
    greengagecleat::proxy::memory::{Buffer, Lease, Ledger, Revoked, limit},
    quickcheck::quickcheck,
    std::future::ready,
};

const KIB: usize = 1 << 10;
const LIMIT: usize = 1 << 20;

/// Whether a lease is told now that it is revoked.
async fn is_told(lease: &mut Lease) -> bool {
    lease.unless_revoked(ready(())).await == Err(Revoked)
}

/// A sound upstream's answer is larger than each of those without end, but they hold more together.
#[tokio::test]
async fn the_upstream_that_holds_most_loses_its_largest_answer_first() {
    let ledger = Ledger::new(LIMIT);
    let mut sound = ledger.lease("sound");
    sound.resize(200 * KIB).unwrap();
    let mut endless: Vec<_> = (0..8).map(|_| ledger.lease("endless")).collect();
    for (number, lease) in endless.iter_mut().enumerate() {
        lease.resize((90 + number) * KIB).unwrap();
    }
    assert_eq!(ledger.revoked().get(), 0);
    assert_eq!(
        endless[0].resize(190 * KIB),
        Err(Revoked),
        "the largest now"
    );
    assert!(is_told(&mut endless[0]).await);
    assert_eq!(endless[0].resize(1), Err(Revoked), "for good");
    assert!(!is_told(&mut endless[7]).await);
    sound.resize(400 * KIB).unwrap();
    assert!(is_told(&mut endless[7]).await, "another one makes room");
    assert!(!is_told(&mut sound).await);
    assert_eq!(ledger.revoked().get(), 2);
    drop(endless);
    assert_eq!(ledger.held().get(), 400 * KIB as i64);
    drop(sound);
    assert_eq!(ledger.held().get(), 0);
}

/// Bytes that wait for a slow caller are counted, and are not taken from it.
#[tokio::test]
async fn a_complete_answer_is_counted_until_its_last_copy_is_dropped() {
    let ledger = Ledger::new(LIMIT);
    let mut buffer = Buffer::new(ledger.lease("sound"));
    buffer.push(&vec![b'x'; 900 * KIB]).unwrap();
    let mut whole = buffer.into_bytes();
    let copy = whole.split_off(899 * KIB);
    drop(whole);
    let mut another = Buffer::new(ledger.lease("other"));
    assert_eq!(another.push(&vec![b'x'; 200 * KIB]), Err(Revoked));
    drop(another);
    assert!(copy.iter().all(|byte| *byte == b'x'));
    assert!(ledger.held().get() > 0);
    drop(copy);
    assert_eq!(ledger.held().get(), 0);
}

#[tokio::test]
async fn small_answers_are_neither_counted_nor_refused() {
    let ledger = Ledger::new(0);
    let mut buffer = Buffer::new(ledger.lease("sound"));
    buffer.push(&[b'x'; 16 * KIB]).unwrap();
    assert_eq!(buffer.len(), 16 * KIB);
    assert_eq!(ledger.held().get(), 0);
    assert_eq!(buffer.push(b"x"), Err(Revoked));
}

#[test]
fn the_limit_follows_the_machines_memory_within_bounds() {
    assert_eq!(limit(160 << 20), 20 << 20);
    assert_eq!(limit(0), 8 << 20);
    assert_eq!(limit(1 << 40), 24 << 20);
}

quickcheck! {
    /// What is not revoked never exceeds the limit, and nothing stays counted.
    fn the_leases_that_are_not_revoked_are_within_the_limit(steps: Vec<(u8, u16, bool)>) -> bool {
        let ledger = Ledger::new(LIMIT);
        let mut leases: Vec<_> = (0..12).map(|n| ledger.lease(["a", "b", "c"][n % 3])).collect();
        let mut sizes = vec![0; leases.len()];
        for (at, size, drops) in steps {
            let at = usize::from(at) % leases.len();
            let size = usize::from(size) * 8;
            sizes[at] = size;
            if drops || leases[at].resize(size).is_err() {
                leases[at] = ledger.lease("d");
                sizes[at] = 0;
            }
            let live = leases.iter_mut().zip(&sizes).filter_map(|(lease, size)| {
                // A second call tells whether it was revoked for another one.
                lease.resize(*size).is_ok().then_some(*size)
            });
            if live.filter(|size| *size > 16 * KIB).sum::<usize>() > LIMIT {
                return false;
            }
        }
        drop(leases);
        ledger.held().get() == 0
    }
}
