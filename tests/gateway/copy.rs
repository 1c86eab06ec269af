//! Upstreams that write an answer a second time, where that to a later call on the connection is due.

use {
    crate::common::{Bed, KOLLAM, Running, chat, pools, until},
    http::Method,
    std::{
        collections::{BTreeMap, BTreeSet},
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    testbed::{
        client::{Answer, Call},
        raw, serve,
    },
    tokio::{
        io::{AsyncWriteExt, BufReader},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Calls of each kind, one after another.
const CALLS: usize = 6;
/// Rest that an upstream asks for.
const REST: Duration = Duration::from_millis(600);
/// Time until the rest is over and the host's turn has come; below the idle time after which a
/// connection carries no receipt.
const RETURN_TIME: Duration = Duration::from_millis(800);
/// Time after which an upstream that was not heard of since its rest gets another request.
const TRIAL_TIME: Duration = Duration::from_millis(300);

/// Which answers are written twice, and which of their copies bear an id.
#[derive(Debug, Clone, Copy)]
struct Manner {
    /// Status of the answers that come again: refusals of each second call that is new, or successes.
    status: u16,
    /// Whether these bear the id of their call.
    has_id: bool,
    /// Whether their copies do.
    copy_has_id: bool,
}

/// An upstream that turns each second new call away or serves all, runs a call that comes again, and
/// writes the last such answer on a connection once more, before that to the next call.
#[derive(Debug, Clone)]
struct Upstream {
    manner: Manner,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Ids of the calls that have come.
    seen: BTreeSet<String>,
    /// Number of runs by id.
    runs: BTreeMap<String, usize>,
    /// Number of copies written.
    copies: usize,
}

impl Upstream {
    fn new(manner: Manner) -> Self {
        Self {
            manner,
            state: Arc::default(),
        }
    }

    async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind((serve::own_address(), 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = self.clone();
        tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                tokio::spawn(upstream.clone().serve(connection));
            }
        });
        address
    }

    async fn serve(self, connection: TcpStream) -> io::Result<()> {
        let mut connection = BufReader::new(connection);
        let mut copy: Option<String> = None;
        while let Some(request) = raw::read_request(&mut connection).await? {
            let (answer, own_copy) = self.answer(&request, copy.is_some());
            let mut written = copy.take().unwrap_or_default();
            written.push_str(&answer);
            connection.write_all(written.as_bytes()).await?;
            copy = own_copy;
        }
        Ok(())
    }

    /// The answer to a request, and its copy if it is one that comes again.
    fn answer(&self, request: &raw::Request, has_copy: bool) -> (String, Option<String>) {
        let Manner {
            status,
            has_id,
            copy_has_id,
        } = self.manner;
        let id = request.header("x-request-id");
        if request.target == "/load" {
            return (encode(404, id, true, "text/plain", ""), None);
        }
        let mut state = self.state.lock().unwrap();
        state.copies += usize::from(has_copy);
        let is_new = state.seen.insert(id.to_owned());
        let is_refused = status != 200 && is_new && state.seen.len() % 2 == 1;
        if is_refused {
            let copy = encode(status, id, copy_has_id, "text/plain", "");
            return (encode(status, id, has_id, "text/plain", ""), Some(copy));
        }
        *state.runs.entry(id.to_owned()).or_default() += 1;
        let (kind, body) = success(request, id);
        let is_copied = status == 200;
        let copy = is_copied.then(|| encode(200, id, copy_has_id, kind, &body));
        (encode(200, id, has_id || !is_copied, kind, &body), copy)
    }

    fn runs(&self, id: &str) -> usize {
        self.state
            .lock()
            .unwrap()
            .runs
            .get(id)
            .copied()
            .unwrap_or(0)
    }
}

/// Content type and body of the answer to a request that runs.
fn success(request: &raw::Request, id: &str) -> (&'static str, String) {
    let is_streamed = String::from_utf8_lossy(&request.body).contains(r#""stream":true"#);
    match (request.target.starts_with("/v1/"), is_streamed) {
        (true, true) => (
            "text/event-stream",
            format!(
                "data: {{\"choices\":[{{\"delta\":{{\"content\":\"{id}\"}}}}]}}\n\ndata: [DONE]\n\n"
            ),
        ),
        (true, false) => (
            "application/json",
            format!(r#"{{"choices":[{{"message":{{"content":"{id}"}}}}]}}"#),
        ),
        (false, _) => ("text/plain", format!("the answer to {id}")),
    }
}

fn encode(status: u16, id: &str, has_id: bool, kind: &str, body: &str) -> String {
    let id = has_id.then(|| format!("x-request-id: {id}\r\n"));
    let (id, length) = (id.unwrap_or_default(), body.len());
    format!(
        "HTTP/1.1 {status} \r\ncontent-type: {kind}\r\ncontent-length: {length}\r\n{id}\r\n{body}"
    )
}

/// What is wrong with an answer, if anything.
fn fault(answer: &Answer, runs: usize, is_repeatable: bool) -> Option<&'static str> {
    let id = answer.headers["x-request-id"].to_str().unwrap();
    let body = String::from_utf8_lossy(&answer.body);
    let is_denied = matches!(answer.status.as_u16(), 429 | 503) || body.contains(r#""ran":"no""#);
    if answer.status == 200 && !body.contains(id) {
        Some("the answer of another call")
    } else if runs > 0 && is_denied {
        Some("refused though it ran")
    } else if runs > 1 && !is_repeatable {
        Some("ran twice")
    } else {
        None
    }
}

async fn send(bed: &Bed, host: &Running, call: &Call) -> Answer {
    let answer = bed.send(host, KOLLAM, call.clone()).await;
    // So that the upstream is not left out for its failures for long.
    sleep(Duration::from_millis(20)).await;
    answer
}

/// Calls got the copy of an earlier answer that bore no id: they were refused though they ran, or got
/// another caller's answer.
#[tokio::test]
async fn an_earlier_answer_that_comes_once_more_answers_no_other_call() {
    let mut wrong = Vec::new();
    for (status, has_id, copy_has_id) in [
        (503, true, true),
        (503, true, false),
        (503, false, false),
        (429, true, false),
        (429, false, false),
        (200, true, true),
        (200, true, false),
        (200, false, false),
    ] {
        let manner = Manner {
            status,
            has_id,
            copy_has_id,
        };
        let mut bed = Bed::start().await;
        let upstream = Upstream::new(manner);
        let published = pools(upstream.start().await, upstream.start().await);
        bed.platform.publish("pools", &published);
        let south = bed.host("south-a", "south").await;
        let north = bed.host("north-a", "north").await;
        bed.ready(&south).await;
        bed.ready(&north).await;
        let mut receipt = Call::get("/receipts/1");
        receipt.method = Method::POST;
        let calls = [
            ("receipt", receipt, false),
            ("lookup", Call::get("/lookups/1"), true),
            ("completion", chat("a question", 8, false), true),
            ("stream", chat("a question", 8, true), true),
        ];
        let mut served = 0;
        for host in [&south, &north] {
            for (name, call, is_repeatable) in &calls {
                for _ in 0..CALLS {
                    let answer = send(&bed, host, call).await;
                    let id = answer.headers["x-request-id"].to_str().unwrap();
                    let fault = fault(&answer, upstream.runs(id), *is_repeatable);
                    served += usize::from(answer.status == 200);
                    wrong.extend(
                        fault.map(|fault| format!("{manner:?}, {name}: {fault}: {answer:?}")),
                    );
                }
            }
        }
        let copies = upstream.state.lock().unwrap().copies;
        assert!(served > 0, "{manner:?}");
        assert_eq!(
            copies > 0,
            has_id,
            "a connection is used again after an id: {manner:?}"
        );
    }
    assert!(wrong.is_empty(), "{}: {wrong:#?}", wrong.len());
}

/// Starts an upstream that turns the first receipt away and asks for rest, serves all other requests,
/// and writes that refusal once more before the next answer to a call on its connection.
async fn start_resting() -> SocketAddr {
    let listener = TcpListener::bind((serve::own_address(), 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let has_rested = Arc::new(AtomicBool::new(false));
    tokio::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            tokio::spawn(rest_once(connection, has_rested.clone()));
        }
    });
    address
}

async fn rest_once(connection: TcpStream, has_rested: Arc<AtomicBool>) -> io::Result<()> {
    let mut connection = BufReader::new(connection);
    let mut refusal = String::new();
    while let Some(request) = raw::read_request(&mut connection).await? {
        let id = request.header("x-request-id");
        let is_receipt = request.target.starts_with("/receipts");
        let mut written = encode(200, id, true, "text/plain", "served");
        if is_receipt && !has_rested.swap(true, Ordering::Relaxed) {
            refusal = format!(
                "HTTP/1.1 503 \r\ncontent-length: 0\r\nretry-after: {}\r\nx-request-id: {id}\r\n\r\n",
                REST.as_secs_f64()
            );
            written.clone_from(&refusal);
        } else if request.target != "/load" {
            written.insert_str(0, &std::mem::take(&mut refusal));
        }
        connection.write_all(written.as_bytes()).await?;
    }
    Ok(())
}

/// An upstream got no calls for the rest that the copy of an earlier refusal asked for.
#[tokio::test]
async fn the_copy_of_a_refusal_asks_for_no_rest() {
    let mut bed = Bed::start().await;
    let published = pools(start_resting().await, start_resting().await);
    bed.platform.publish("pools", &published);
    let host = bed.host("south-a", "south").await;
    bed.ready(&host).await;
    let lookup = Call::get("/lookups/1");
    until(async || bed.send(&host, KOLLAM, lookup.clone()).await.status == 200).await;
    let mut receipt = Call::get("/receipts/1");
    receipt.method = Method::POST;
    let status = async |call: &Call| bed.send(&host, KOLLAM, call.clone()).await.status.as_u16();
    assert_eq!(status(&receipt).await, 503, "the upstream asks for rest");
    assert_eq!(status(&lookup).await, 503, "it gets it");
    sleep(RETURN_TIME).await;
    assert_eq!(status(&receipt).await, 502, "the refusal comes once more");
    sleep(TRIAL_TIME).await;
    assert_eq!(
        status(&lookup).await,
        200,
        "the upstream has asked for nothing"
    );
}
