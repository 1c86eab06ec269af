//! Answers without a length whose connection is closed after any byte of the body.

use {
    crate::common::{Bed, KOLLAM, Running, chat, pools, until},
    std::{collections::BTreeSet, sync::Mutex},
    testbed::{
        client::Call,
        raw::{self, Cut, End, Framing, Scissors},
    },
};

const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\ndata: three\n\n";
const COMPLETION: &str = r#"{"choices":[{"message":{"content":"whole"}}]}"#;

const ERROR: &str = "the prompt is too long";
/// Prompt that the engine answers with [`ERROR`].
const LONG_PROMPT: &str = "a long prompt";

/// Prompt that the engine answers with a stream at first, then with [`ERROR`].
const REFUSED_PROMPT: &str = "a prompt that is refused later";
/// Beginning of a stream before its first token.
const OPENING: &str = ": the stream is open\n\n";

/// Ids of the calls with [`REFUSED_PROMPT`] that were answered.
static ANSWERED: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

/// Answers plain calls with events and model calls with a completion or an error.
pub(crate) fn answer(request: &raw::Request) -> raw::Answer {
    let is_long = String::from_utf8_lossy(&request.body).contains(LONG_PROMPT);
    let is_refused = String::from_utf8_lossy(&request.body).contains(REFUSED_PROMPT);
    let id = request.header("x-request-id").to_owned();
    let (status, kind, body) = if is_refused && ANSWERED.lock().unwrap().insert(id) {
        (200, "text/event-stream", OPENING)
    } else if is_refused {
        (404, "text/plain", ERROR)
    } else if !request.target.starts_with("/v1/") {
        (200, "text/event-stream", EVENTS)
    } else if is_long {
        (400, "text/plain", ERROR)
    } else {
        (200, "application/json", COMPLETION)
    };
    raw::Answer {
        status,
        headers: vec![
            ("content-type", kind.to_owned()),
            ("x-request-id", request.header("x-request-id").to_owned()),
        ],
        body: body.as_bytes().to_vec(),
        pause: None,
    }
}

/// Starts a host beside upstreams that answer so and whose answers are cut, and one that forwards to it.
pub(crate) async fn deployment(
    answer: fn(&raw::Request) -> raw::Answer,
) -> (Bed, Scissors, [Running; 2]) {
    let mut bed = Bed::start().await;
    let scissors = Scissors::default();
    let engine = raw::start(scissors.clone(), answer).await.unwrap();
    let plain = raw::start(scissors.clone(), answer).await.unwrap();
    bed.platform.publish("pools", &pools(engine, plain));
    let hosts = [
        bed.host("south-a", "south").await,
        bed.host("north-a", "north").await,
    ];
    for host in &hosts {
        bed.ready(host).await;
        for call in [Call::get("/lookups/ready"), chat("ready", 8, false)] {
            until(async || body(&bed, host, &call).await.is_some()).await;
        }
    }
    (bed, scissors, hosts)
}

/// The status and the body of the answer to a call, if the answer is complete.
pub(crate) async fn whole(bed: &Bed, host: &Running, call: &Call) -> Option<(u16, String)> {
    let authorization = format!("Bearer {KOLLAM}");
    let call = call.clone().header("authorization", &authorization);
    let answer = bed.caller.whole(host.addresses.callers, &call).await.ok()?;
    let text = String::from_utf8(answer.body.to_vec()).expect("text");
    Some((answer.status.as_u16(), text))
}

/// The body of the answer to a call, if the answer is complete and has status 200.
async fn body(bed: &Bed, host: &Running, call: &Call) -> Option<String> {
    let (status, text) = whole(bed, host, call).await?;
    (status == 200).then_some(text)
}

fn cut_after(bytes: usize) -> Option<Cut> {
    Some(Cut {
        framing: Framing::Close,
        end: End::Close,
        bytes,
    })
}

/// An event stream of a plain service that ended within an event reached its caller as complete.
#[tokio::test]
async fn a_plain_event_stream_that_ends_within_an_event_never_looks_complete() {
    let (bed, scissors, hosts) = deployment(answer).await;
    for host in &hosts {
        for bytes in 1..=EVENTS.len() {
            scissors.set(cut_after(bytes));
            let seen = body(&bed, host, &Call::get("/lookups/1")).await;
            let sent = &EVENTS[..bytes];
            let is_complete = sent.ends_with("\n\n") || sent.ends_with("\n\r\n");
            assert_eq!(seen.as_deref(), is_complete.then_some(sent), "{bytes}");
        }
    }
}

/// A completion in JSON that was cut reached its caller as complete.
#[tokio::test]
async fn a_completion_that_is_cut_never_looks_complete() {
    let (bed, scissors, hosts) = deployment(answer).await;
    for host in &hosts {
        for bytes in 0..COMPLETION.len() {
            scissors.set(cut_after(bytes));
            if let Some(seen) = body(&bed, host, &chat("a question", 8, false)).await {
                assert_eq!(seen, COMPLETION, "{bytes}");
            }
            scissors.set(None);
            body(&bed, host, &chat("uncut", 8, false)).await;
        }
    }
}

/// An engine's error in plain text was taken for a cut completion, and the call sent again.
#[tokio::test]
async fn an_error_that_is_no_json_is_relayed() {
    let (bed, scissors, hosts) = deployment(answer).await;
    for host in &hosts {
        scissors.set(cut_after(ERROR.len()));
        let before = scissors.total_arrivals();
        let seen = whole(&bed, host, &chat(LONG_PROMPT, 8, false)).await;
        assert_eq!(seen, Some((400, ERROR.to_owned())));
        assert_eq!(scissors.total_arrivals() - before, 1, "it was sent again");
    }
}

/// A stream broke off before its first token, and the error with which the next engine answered was
/// passed on within it, as its orderly end.
#[tokio::test]
async fn an_error_after_a_stream_has_begun_is_no_part_of_it() {
    let (bed, scissors, hosts) = deployment(answer).await;
    for host in &hosts {
        scissors.set(cut_after(OPENING.len()));
        let seen = whole(&bed, host, &chat(REFUSED_PROMPT, 8, true)).await;
        let (_, text) = seen.expect("the stream ends with an error of the host");
        let rest = text.strip_prefix(OPENING).expect("it had begun");
        assert!(
            rest.contains("event: error") && !rest.contains(ERROR),
            "{rest}"
        );
    }
}
