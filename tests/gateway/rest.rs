//! Upstreams that turn calls away and ask for rest.

use {
    crate::common::{Bed, KOLLAM, chat, pools, until},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    testbed::{
        client::Call,
        raw::{self, Scissors},
    },
    tokio::time::{Instant, sleep},
};

const REST: Duration = Duration::from_secs(2);
/// Time from a refusal within which calls may still arrive.
const SETTLING_TIME: Duration = Duration::from_millis(500);
/// Calls that may arrive between then and the end of the rest.
const ALLOWED: usize = 2;
const COMPLETION: &str = r#"{"choices":[{"message":{"content":"whole"}}]}"#;

#[derive(Debug, Clone, Default)]
struct Upstream {
    arrivals: Arc<Mutex<Vec<Instant>>>,
    /// What it asks for with each refusal; none if it serves.
    rest: Arc<Mutex<Option<&'static str>>>,
}

impl Upstream {
    fn answer(&self, request: &raw::Request) -> raw::Answer {
        self.arrivals.lock().unwrap().push(Instant::now());
        let id = request.header("x-request-id").to_owned();
        let mut headers = vec![
            ("content-type", "application/json".to_owned()),
            ("x-request-id", id),
        ];
        let rest = *self.rest.lock().unwrap();
        headers.extend(rest.map(|rest| ("retry-after", rest.to_owned())));
        raw::Answer {
            status: if rest.is_some() { 503 } else { 200 },
            headers,
            body: COMPLETION.as_bytes().to_vec(),
            pause: None,
        }
    }

    fn arrivals_within(&self, from: Instant, to: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let within = arrivals.iter().filter(|at| **at > from && **at < to);
        within.count()
    }
}

/// Calls went on to an upstream that had asked for rest.
#[tokio::test]
async fn an_upstream_that_asks_for_rest_gets_no_calls_meanwhile() {
    let calls = [
        ("lookup", Call::get("/lookups/1")),
        ("completion", chat("a question", 8, false)),
    ];
    for (name, call) in calls {
        let mut bed = Bed::start().await;
        let upstream = Upstream::default();
        let start = async || {
            let answering = upstream.clone();
            let answer = move |request: &raw::Request| answering.answer(request);
            raw::start(Scissors::default(), answer).await.unwrap()
        };
        let published = pools(start().await, start().await);
        bed.platform.publish("pools", &published);
        let host = bed.host("south-a", "south").await;
        bed.ready(&host).await;
        until(async || bed.send(&host, KOLLAM, call.clone()).await.status == 200).await;
        *upstream.rest.lock().unwrap() = Some("2");
        let refused_at = Instant::now();
        let mut told = 0;
        while refused_at.elapsed() < REST {
            let answer = bed.send(&host, KOLLAM, call.clone()).await;
            assert!(answer.status.as_u16() >= 500, "{name}: {}", answer.status);
            told += usize::from(answer.status == 503);
            sleep(Duration::from_millis(20)).await;
        }
        let count = upstream.arrivals_within(refused_at + SETTLING_TIME, refused_at + REST);
        assert!(count <= ALLOWED, "{name}: {count} calls within a rest");
        assert!(told > 20, "{name}: {told} calls refused as such");
        *upstream.rest.lock().unwrap() = None;
        until(async || bed.send(&host, KOLLAM, call.clone()).await.status == 200).await;
    }
}
