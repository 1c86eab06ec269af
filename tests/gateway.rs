//! Calls through entry hosts, with stand-ins for upstreams and platform on loopback.

mod common;
#[path = "gateway/copy.rs"]
mod copy;
#[path = "gateway/cut.rs"]
mod cut;
#[path = "gateway/endless.rs"]
mod endless;
#[path = "gateway/load.rs"]
mod load;
#[path = "gateway/rest.rs"]
mod rest;
#[path = "gateway/silence.rs"]
mod silence;
#[path = "gateway/status.rs"]
mod status;

use {
    common::{Bed, KOLLAM, THRISSUR, chat, customers, until},
    http::Method,
    testbed::{
        client::Call,
        engine,
        fault::{Fault, Order},
        text,
    },
};

fn content(answer: &serde_json::Value) -> &str {
    answer["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default()
}

#[tokio::test]
async fn chat_call_is_answered_whole() {
    let mut bed = Bed::start().await;
    let host = bed.host("south-a", "south").await;
    bed.ready(&host).await;
    let answer = bed.send(&host, KOLLAM, chat("a question", 8, false)).await;
    assert_eq!(answer.status, 200);
    assert_eq!(content(&answer.json()), text::answer("a question", 8));
}

#[tokio::test]
async fn call_is_forwarded_to_the_region_that_has_the_pool() {
    let mut bed = Bed::start().await;
    let south = bed.host("south-a", "south").await;
    let north = bed.host("north-a", "north").await;
    bed.ready(&south).await;
    bed.ready(&north).await;
    for stream in [false, true] {
        let answer = bed.send(&north, KOLLAM, chat("from afar", 8, stream)).await;
        assert_eq!(answer.status, 200);
        let whole = String::from_utf8(answer.body.to_vec()).expect("text");
        assert_eq!(whole.contains("[DONE]"), stream);
    }
}

#[tokio::test]
async fn upstream_never_sees_the_key() {
    let mut bed = Bed::start().await;
    let host = bed.host("south-a", "south").await;
    bed.ready(&host).await;
    let call = chat("a question", 2, false)
        .header("idempotency-key", KOLLAM)
        .header("cookie", &format!("key={KOLLAM}"))
        .header("x-api-key", KOLLAM)
        .header("accept-language", "ml");
    bed.send(&host, KOLLAM, call).await;
    for target in [
        format!("/lookups?key={KOLLAM}"),
        format!("/lookups/{KOLLAM}"),
    ] {
        let answer = bed.send(&host, KOLLAM, Call::get(target)).await;
        assert_eq!(answer.json()["code"], "bad_request");
    }
    let seen = bed.engine.seen();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].headers.get("accept-language").unwrap(), "ml");
    let whole = format!("{seen:?}{:?}", bed.plain.seen());
    assert!(!whole.contains(KOLLAM), "{whole}");
}

#[tokio::test]
async fn unknown_key_and_foreign_route_are_refused() {
    let mut bed = Bed::start().await;
    let host = bed.host("south-a", "south").await;
    bed.ready(&host).await;
    let answer = bed.send(&host, "no such key", chat("x", 1, false)).await;
    assert_eq!(
        (answer.status.as_u16(), answer.json()["ran"].as_str()),
        (401, Some("no"))
    );
    let answer = bed.send(&host, KOLLAM, Call::get("/private/x")).await;
    assert_eq!(answer.json()["code"], "route_forbidden");
    let answer = bed.get(host.addresses.callers, "/lookups/open").await;
    assert_eq!(answer.status, 200);
    assert_eq!(bed.plain.seen().len(), 1);
}

#[tokio::test]
async fn residency_refuses_a_call_that_no_allowed_region_serves() {
    let mut bed = Bed::start().await;
    let south = bed.host("south-a", "south").await;
    let north = bed.host("north-a", "north").await;
    bed.ready(&south).await;
    bed.ready(&north).await;
    for host in [&south, &north] {
        let answer = bed
            .send(host, THRISSUR, chat("at home only", 1, false))
            .await;
        assert_eq!(answer.json()["code"], "residency");
        assert_eq!(answer.json()["ran"], "no");
    }
    assert!(bed.engine.seen().is_empty());
}

#[tokio::test]
async fn answer_with_another_request_id_is_dropped() {
    let mut bed = Bed::start().await;
    let host = bed.host("south-a", "south").await;
    bed.ready(&host).await;
    bed.plain.fault(Some(Order {
        fault: Fault::WrongId,
        times: Some(1),
    }));
    let mut call = Call::get("/receipts/1");
    call.method = Method::POST;
    let answer = bed.send(&host, KOLLAM, call).await;
    assert_eq!(answer.json()["code"], "upstream_failed");
    assert_eq!(answer.json()["ran"], "unknown");
    let metrics = bed.get(host.addresses.admin, "/metrics").await;
    let page = String::from_utf8(metrics.body.to_vec()).expect("text");
    assert!(page.contains("greengagecleat_crossed_total 1"), "{page}");
}

#[tokio::test]
async fn withdrawn_key_ends_running_work_with_an_error() {
    let slow = engine::Settings {
        step: std::time::Duration::from_millis(20),
        ..engine::Settings::instant()
    };
    let mut bed = Bed::with(slow, Default::default()).await;
    let host = bed.host("south-a", "south").await;
    bed.ready(&host).await;
    let streaming = bed.send(&host, KOLLAM, chat("a long answer", 5000, true));
    let withdrawing = async {
        until(async || host.entry.running_calls() == 1).await;
        bed.platform
            .publish("customers", &customers(&[], &[THRISSUR]));
    };
    let (answer, ()) = tokio::join!(streaming, withdrawing);
    let whole = String::from_utf8(answer.body.to_vec()).expect("text");
    assert!(whole.contains("key_withdrawn"), "{whole}");
    assert!(!whole.contains("[DONE]"));
    let answer = bed.send(&host, KOLLAM, chat("again", 1, false)).await;
    assert_eq!(answer.status, 401);
}

#[tokio::test]
async fn drain_lets_running_work_end() {
    let slow = engine::Settings {
        step: std::time::Duration::from_millis(20),
        ..engine::Settings::instant()
    };
    let mut bed = Bed::with(slow, Default::default()).await;
    let host = bed.host("south-a", "south").await;
    bed.ready(&host).await;
    let streaming = bed.send(&host, KOLLAM, chat("a long answer", 20, true));
    let draining = async {
        until(async || host.entry.running_calls() == 1).await;
        host.entry.drain().await
    };
    let (answer, cut) = tokio::join!(streaming, draining);
    assert_eq!(cut, 0);
    let whole = String::from_utf8(answer.body.to_vec()).expect("text");
    assert!(whole.contains("[DONE]"), "{whole}");
}

#[tokio::test]
async fn oversized_body_is_refused() {
    let mut bed = Bed::start().await;
    let host = bed.host("south-a", "south").await;
    bed.ready(&host).await;
    let answer = bed
        .send(&host, KOLLAM, chat(&"x".repeat(70_000), 1, false))
        .await;
    assert_eq!(answer.json()["code"], "body_too_large");
    let answer = bed
        .send(
            &host,
            KOLLAM,
            Call::post("/v1/chat/completions", &"no object".into()),
        )
        .await;
    assert_eq!(answer.json()["code"], "bad_request");
}

#[tokio::test]
async fn idempotency_key_runs_once_over_two_hosts() {
    let mut bed = Bed::start().await;
    bed.region_hosts = 2;
    let first = bed.host("south-a", "south").await;
    let second = bed.host("south-b", "south").await;
    bed.ready(&first).await;
    bed.ready(&second).await;
    let receipt = || {
        let mut call = Call::get("/receipts/1").header("idempotency-key", "receipt-1");
        call.method = Method::POST;
        call
    };
    until(async || bed.send(&first, KOLLAM, receipt()).await.status == 200).await;
    until(async || {
        let again = bed.send(&second, KOLLAM, receipt()).await;
        assert_eq!(again.status, 409);
        assert_eq!(again.json()["code"], "duplicate");
        again.json()["ran"] == "yes"
    })
    .await;
    assert_eq!(bed.plain.executions().keyed["receipt-1"], 1);
}
