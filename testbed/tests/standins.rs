//! Tests of the stand-ins: the behaviour that other tests and the demo rely on.

use {
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    testbed::{
        client::{Answer, Call, Caller, Events},
        engine::{self, Engine},
        fault::{Fault, Order},
        plain, platform, text, wan, weights,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

/// Limit on the wait for an expected event, generous enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Time in which an event that must not happen is watched for.
const QUIET_TIME: Duration = Duration::from_millis(100);

fn chat(prompt: &str, stream: bool) -> Call {
    let body = json!({
        "model": "small", "stream": stream, "max_tokens": 20,
        "messages": [{"role": "user", "content": prompt}],
    });
    Call::post("/v1/chat/completions", &body).header("x-request-id", "one")
}

async fn ask(to: SocketAddr, call: &Call) -> std::io::Result<Answer> {
    Caller::new(None).whole(to, call).await
}

/// The text of a streamed answer, and whether it ended with `[DONE]`.
fn streamed(answer: &Answer) -> (String, bool) {
    let data = Events::default().push(&answer.body);
    let ended = data.last().is_some_and(|last| last == "[DONE]");
    let chunks = data
        .iter()
        .filter_map(|chunk| serde_json::from_str::<Value>(chunk).ok());
    let texts = chunks.filter_map(|chunk| {
        let content = &chunk["choices"][0]["delta"]["content"];
        content.as_str().map(str::to_owned)
    });
    (texts.collect(), ended)
}

fn once(fault: Fault) -> Option<Order> {
    Some(Order {
        fault,
        times: Some(1),
    })
}

#[tokio::test]
async fn engine_answers_in_full_streamed_or_not() {
    let engine = Engine::start(engine::Settings::instant()).await.unwrap();
    let whole = ask(engine.address, &chat("a prompt", false)).await.unwrap();
    let expected = text::answer("a prompt", 20);
    assert_eq!(whole.json()["choices"][0]["message"]["content"], expected);
    assert_eq!(whole.headers["x-request-id"], "one");
    let stream = ask(engine.address, &chat("a prompt", true)).await.unwrap();
    assert_eq!(streamed(&stream), (expected, true));
    assert_eq!(engine.runs()[&text::hash("a prompt")], 2);
    assert_eq!(engine.seen()[0].headers["x-request-id"], "one");
}

#[tokio::test]
async fn cut_stream_is_resumed_without_a_token_lost_or_doubled() {
    let engine = Engine::start(engine::Settings::instant()).await.unwrap();
    engine.fault(once(Fault::Cut { after: 3 }));
    let caller = Caller::new(None);
    let cut = caller.whole(engine.address, &chat("p", true)).await;
    assert!(cut.is_err());
    let resumed = chat("p", true).header("x-resume-offset", "3");
    let rest = ask(engine.address, &resumed).await.unwrap();
    let first: String = (0..3).map(|index| text::token("p", index)).collect();
    assert_eq!(first + &streamed(&rest).0, text::answer("p", 20));
}

#[tokio::test]
async fn injected_faults_change_the_answer() {
    let engine = Engine::start(engine::Settings::instant()).await.unwrap();
    engine.fault(once(Fault::WrongId));
    let wrong = ask(engine.address, &chat("p", false)).await.unwrap();
    assert_ne!(wrong.headers["x-request-id"], "one");
    engine.fault(once(Fault::Error));
    let failed = ask(engine.address, &chat("p", false)).await.unwrap();
    assert_eq!(failed.status, 500);
    engine.fault(once(Fault::Garbage));
    let garbage = ask(engine.address, &chat("p", false)).await.unwrap();
    assert_eq!(garbage.json(), Value::Null);
    engine.fault(once(Fault::Stall { after: 0 }));
    let stalled = chat("p", false);
    let stalled = timeout(QUIET_TIME, ask(engine.address, &stalled));
    assert!(stalled.await.is_err());
    let well = ask(engine.address, &chat("p", false)).await.unwrap();
    assert_eq!(well.status, 200);
}

#[tokio::test]
async fn leaving_caller_cancels_its_sequence() {
    let settings = engine::Settings {
        step: Duration::from_millis(1),
        ..engine::Settings::instant()
    };
    let engine = Engine::start(settings).await.unwrap();
    engine.fault(once(Fault::Endless));
    let caller = Caller::new(None);
    let response = caller.send(engine.address, &chat("p", true)).await.unwrap();
    drop(response);
    drop(caller);
    let cancelled = async {
        while engine.count().cancelled == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, cancelled).await.unwrap();
    assert_eq!(engine.load().running, 0);
}

#[tokio::test]
async fn cached_prefix_is_not_computed_again_and_is_published() {
    let settings = engine::Settings {
        event_lag: Duration::ZERO,
        event_gap_percent: 0,
        ..engine::Settings::instant()
    };
    let engine = Engine::start(settings).await.unwrap();
    let prefix = "x".repeat(4 * engine::cache::BLOCK_BYTES);
    for question in ["one", "two"] {
        let call = chat(&format!("{prefix}{question}"), false);
        ask(engine.address, &call).await.unwrap();
    }
    let cached = u64::from(4 * engine::cache::BLOCK_TOKENS);
    assert_eq!(engine.count().cached_tokens, cached);
    let events = ask(engine.address, &Call::get("/events?after=1"))
        .await
        .unwrap();
    assert_eq!(events.json().as_array().unwrap().len(), 3);
}

#[tokio::test]
async fn old_fencing_number_is_refused_only_where_it_is_checked() {
    for fencing in [true, false] {
        let settings = engine::Settings {
            fencing,
            ..engine::Settings::instant()
        };
        let engine = Engine::start(settings).await.unwrap();
        let order = |number: u64| {
            let body = json!({"fencing": number, "order": {"role": "decode"}});
            Call::post("/orders", &body)
        };
        assert_eq!(ask(engine.address, &order(5)).await.unwrap().status, 200);
        let old = ask(engine.address, &order(4)).await.unwrap().status;
        assert_eq!(old, if fencing { 409 } else { 200 });
    }
}

#[tokio::test]
async fn draining_engine_refuses_requests() {
    let engine = Engine::start(engine::Settings::instant()).await.unwrap();
    let drain = Call::post("/orders", &json!({"fencing": 1, "order": "drain"}));
    assert_eq!(ask(engine.address, &drain).await.unwrap().status, 200);
    let refused = ask(engine.address, &chat("p", false)).await.unwrap();
    assert_eq!(refused.status, 503);
}

#[tokio::test]
async fn engine_loads_a_model_from_the_rate_limited_store() {
    let store = weights::Settings {
        interval: Duration::from_secs(3600),
        transfer: Duration::ZERO,
        ..weights::Settings::default()
    };
    let store = weights::Store::start(store).await.unwrap();
    let settings = engine::Settings {
        weights: Some(store.address),
        load_time: Duration::ZERO,
        ..engine::Settings::instant()
    };
    let engine = Engine::start(settings).await.unwrap();
    let order = json!({"fencing": 1, "order": {"load": {"model": "large", "version": "2"}}});
    ask(engine.address, &Call::post("/orders", &order))
        .await
        .unwrap();
    let loaded = async {
        while !engine.load().models.contains(&"large".to_owned()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, loaded).await.unwrap();
    let second = ask(store.address, &Call::get("/weights/large/2"))
        .await
        .unwrap();
    assert_eq!((store.count().served, second.status.as_u16()), (1, 429));
}

#[tokio::test]
async fn plain_service_counts_executions_by_key() {
    let service = plain::Service::start(plain::Settings::default())
        .await
        .unwrap();
    let call = Call::post("/receipts", &json!({"to": "a member"})).header("idempotency-key", "k");
    service.fault(once(Fault::Cut { after: 0 }));
    let caller = Caller::new(None);
    assert!(caller.whole(service.address, &call).await.is_err());
    let second = ask(service.address, &call).await.unwrap();
    assert_eq!(second.json()["run"], 2);
    assert_eq!(service.executions().keyed["k"], 2);
}

#[tokio::test]
async fn platform_revisions_grow_and_a_watch_waits() {
    let platform = platform::Platform::start(platform::Settings::default())
        .await
        .unwrap();
    let at = platform.address;
    let missing = ask(at, &Call::get("/v1/documents/routes")).await.unwrap();
    assert_eq!(missing.status, 404);
    assert_eq!(platform.publish("routes", "one"), 1);
    let waiting = Call::get("/v1/documents/routes?after=1&wait=30");
    let waiting = tokio::spawn(async move { ask(at, &waiting).await });
    tokio::time::sleep(QUIET_TIME).await;
    assert!(!waiting.is_finished());
    platform.publish("routes", "two");
    let newer = waiting.await.unwrap().unwrap();
    assert_eq!(
        (newer.headers["x-revision"].as_bytes(), &newer.body[..]),
        (&b"2"[..], &b"two"[..])
    );
    let none = ask(at, &Call::get("/v1/documents/routes?after=2&wait=0"))
        .await
        .unwrap();
    assert_eq!((none.status.as_u16(), platform.calls().total), (304, 3));
}

#[tokio::test]
async fn platform_can_be_down_and_stale() {
    let platform = platform::Platform::start(platform::Settings::default())
        .await
        .unwrap();
    platform.publish("pools", "old");
    platform.mode(platform::Mode::Stale);
    platform.publish("pools", "new");
    let read = Call::get("/v1/documents/pools");
    assert_eq!(ask(platform.address, &read).await.unwrap().body, "old");
    platform.mode(platform::Mode::Down);
    assert_eq!(ask(platform.address, &read).await.unwrap().status, 503);
    platform.mode(platform::Mode::Up);
    assert_eq!(ask(platform.address, &read).await.unwrap().body, "new");
}

/// Starts an echo server.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    address
}

async fn ping(stream: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    stream.write_all(b"ping").await?;
    let mut back = [0; 4];
    stream.read_exact(&mut back).await?;
    Ok(back)
}

#[tokio::test]
async fn silenced_connection_stays_silent_while_a_new_one_works() {
    let link = wan::Link::new(wan::Settings::default());
    let relay = link.relay(echo().await).await.unwrap();
    let mut old = TcpStream::connect(relay.address).await.unwrap();
    assert_eq!(&ping(&mut old).await.unwrap(), b"ping");
    link.silence();
    let silent = timeout(QUIET_TIME * 4, ping(&mut old)).await;
    assert!(silent.is_err());
    let mut new = TcpStream::connect(relay.address).await.unwrap();
    let back = timeout(TIMEOUT, ping(&mut new)).await.unwrap();
    assert_eq!(&back.unwrap(), b"ping");
}

#[tokio::test]
async fn cut_breaks_connections_and_a_hole_does_not() {
    let link = wan::Link::new(wan::Settings::default());
    let relay = link.relay(echo().await).await.unwrap();
    let mut stream = TcpStream::connect(relay.address).await.unwrap();
    ping(&mut stream).await.unwrap();
    link.hole();
    assert!(timeout(QUIET_TIME * 4, ping(&mut stream)).await.is_err());
    link.cut();
    let broken = timeout(TIMEOUT, ping(&mut stream)).await.unwrap();
    assert!(broken.is_err());
    link.heal();
    let mut stream = TcpStream::connect(relay.address).await.unwrap();
    assert_eq!(&ping(&mut stream).await.unwrap(), b"ping");
}
