//! Upstreams that fall silent within an answer and go on.

use {
    crate::common::{Bed, KOLLAM, ROUTES, chat, pools, until},
    futures::future::join_all,
    http::Method,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    testbed::{
        client::Call,
        raw::{self, Framing, Pause, Scissors},
    },
};

const STREAM: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"one \"}}]}\n\ndata: [DONE]\n\n";
const COMPLETION: &str = r#"{"choices":[{"message":{"content":"whole"}}]}"#;
const RECORD: &str = "a record";

/// Silence before a head: above the third of the deadline after which another attempt is made.
const SILENCE: Duration = Duration::from_millis(1_500);

fn answer(request: &raw::Request, pause: Option<Pause>) -> raw::Answer {
    let is_streamed = String::from_utf8_lossy(&request.body).contains(r#""stream":true"#);
    let (kind, body) = match (request.target.starts_with("/v1/"), is_streamed) {
        (true, true) => ("text/event-stream", STREAM),
        (true, false) => ("application/json", COMPLETION),
        (false, _) => ("text/plain", RECORD),
    };
    raw::Answer {
        status: 200,
        headers: vec![
            ("content-type", kind.to_owned()),
            ("x-request-id", request.header("x-request-id").to_owned()),
        ],
        body: body.as_bytes().to_vec(),
        pause,
    }
}

/// Calls failed at their deadline when no upstream answered within a third of it.
#[tokio::test]
async fn an_answer_survives_a_silence_of_every_upstream() {
    let mut bed = Bed::start().await;
    let pause = Arc::new(Mutex::new(None));
    let scissors = Scissors::default();
    let pausing = {
        let pause = pause.clone();
        move |request: &raw::Request| answer(request, *pause.lock().unwrap())
    };
    let engine = raw::start(scissors.clone(), pausing.clone()).await.unwrap();
    let plain = raw::start(scissors.clone(), pausing).await.unwrap();
    bed.platform.publish("pools", &pools(engine, plain));
    let routes = ROUTES.replace("pools =", "deadline_ms = 3000\npools =");
    bed.platform.publish("routes", &routes);
    let hosts = [
        bed.host("south-a", "south").await,
        bed.host("north-a", "north").await,
    ];
    let mut receipt = Call::get("/receipts/1");
    receipt.method = Method::POST;
    let calls = [
        ("lookup", Call::get("/lookups/1"), RECORD),
        ("receipt", receipt, RECORD),
        ("completion", chat("a question", 8, false), COMPLETION),
        ("stream", chat("a question", 8, true), STREAM),
    ];
    for host in &hosts {
        bed.ready(host).await;
        for (_, call, _) in &calls {
            until(async || bed.send(host, KOLLAM, call.clone()).await.status == 200).await;
        }
    }
    *pause.lock().unwrap() = Some(Pause {
        framing: Framing::Length,
        after: None,
        length: SILENCE,
    });
    let bed = &bed;
    let asked = hosts.iter().flat_map(|host| {
        calls.iter().map(move |(name, call, body)| async move {
            let answer = bed.send(host, KOLLAM, call.clone()).await;
            let is_whole = answer.status == 200 && answer.body == body.as_bytes();
            (!is_whole).then(|| format!("{name}: {} {:?}", answer.status, answer.body))
        })
    });
    let cut: Vec<_> = join_all(asked).await.into_iter().flatten().collect();
    assert!(cut.is_empty(), "{} of 8: {cut:#?}", cut.len());
}
