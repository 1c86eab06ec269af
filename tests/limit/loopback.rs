//! Two hosts over loopback that share one customer's rate.

use {
    crate::common::{Bed, KOLLAM, Running, THRISSUR, customers, until},
    std::time::{Duration, Instant},
    testbed::client::Call,
};

const RATE: f64 = 40.0;
const BURST: f64 = 40.0;

/// Sends one call to a plain service, which costs one token, and returns whether it was admitted.
async fn send(bed: &Bed, host: &Running) -> bool {
    let call = Call::post("/receipts", &serde_json::json!({"amount": 1}));
    let answer = bed.send(host, KOLLAM, call).await;
    match answer.status.as_u16() {
        200 => true,
        429 => {
            assert_eq!(answer.json()["ran"], "no");
            assert_eq!(answer.json()["code"], "rate_limited");
            false
        }
        status => panic!("status {status}"),
    }
}

#[tokio::test]
async fn two_hosts_share_one_rate_and_lend_it_to_each_other() {
    let mut bed = Bed::start().await;
    let document = customers(&[KOLLAM], &[THRISSUR])
        .replace("rate = 1000000", &format!("rate = {RATE}"))
        .replace("burst = 1000000", &format!("burst = {BURST}"));
    bed.platform.publish("customers", &document);
    let south = bed.host("south-a", "south").await;
    let north = bed.host("north-a", "north").await;
    bed.ready(&south).await;
    bed.ready(&north).await;

    let begun = Instant::now();
    let mut admitted = 0.0;
    while begun.elapsed() < Duration::from_secs(2) {
        for host in [&south, &north] {
            admitted += f64::from(u8::from(send(&bed, host).await));
        }
        let bound = RATE * begun.elapsed().as_secs_f64() + BURST;
        assert!(admitted <= bound, "{admitted} admitted, {bound} allowed");
    }

    let alone_since = Instant::now();
    let mut admitted_alone = 0.0;
    until(async || {
        let one = f64::from(u8::from(send(&bed, &north).await));
        admitted_alone += one;
        admitted += one;
        let bound = RATE * begun.elapsed().as_secs_f64() + BURST;
        assert!(admitted <= bound, "{admitted} admitted, {bound} allowed");
        let half = (RATE * alone_since.elapsed().as_secs_f64() + BURST) / 2.0;
        admitted_alone > half
    })
    .await;
}
