//! Upstreams that write a load report a second time, where another answer on the connection is due.

use {
    crate::common::{Bed, KOLLAM, ROUTES, pools, until},
    http::Method,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    testbed::{client::Call, raw, serve},
    tokio::{
        io::{AsyncWriteExt, BufReader},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Time within which a host must know that an upstream drains.
const LEAVING_TIME: Duration = Duration::from_secs(4);

/// A model engine that serves all calls, also while it says that it drains. It answers each report asked for
/// on a connection with the first one there, and writes that once more before the answer to a call.
#[derive(Debug, Clone, Default)]
struct Upstream {
    repeats_ids: bool,
    is_draining: Arc<AtomicBool>,
    reports: Arc<AtomicUsize>,
}

impl Upstream {
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
        let mut first_report: Option<String> = None;
        while let Some(request) = raw::read_request(&mut connection).await? {
            let id = request.header("x-request-id");
            let written = if request.target == "/load" {
                let at_ms = self.reports.fetch_add(1, Ordering::Relaxed) * 1_000;
                let is_draining = self.is_draining.load(Ordering::Relaxed);
                let report = format!(
                    r#"{{"at_ms":{at_ms},"running":0,"waiting":0,"slots":4,"draining":{is_draining}}}"#
                );
                let id = if self.repeats_ids { id } else { "" };
                first_report.get_or_insert(encode(id, &report)).clone()
            } else {
                first_report.clone().unwrap_or_default() + &encode(id, "served")
            };
            connection.write_all(written.as_bytes()).await?;
        }
        Ok(())
    }
}

/// An answer with an id, unless that is empty.
fn encode(id: &str, body: &str) -> String {
    let id = match id {
        "" => String::new(),
        id => format!("x-request-id: {id}\r\n"),
    };
    let length = body.len();
    format!("HTTP/1.1 200 \r\ncontent-length: {length}\r\n{id}\r\n{body}")
}

/// A call read the copy of a load report as its answer, and failed; an earlier report hid that the upstream
/// was draining, so that calls went on to it.
#[tokio::test]
async fn a_load_report_that_comes_once_more_answers_nothing_else() {
    for repeats_ids in [true, false] {
        let mut bed = Bed::start().await;
        let upstream = Upstream {
            repeats_ids,
            ..Upstream::default()
        };
        let published = pools(upstream.start().await, upstream.start().await);
        bed.platform.publish("pools", &published);
        bed.platform
            .publish("routes", &ROUTES.replace(r#"["plain"]"#, r#"["engines"]"#));
        let host = bed.host("south-a", "south").await;
        bed.ready(&host).await;
        let mut receipt = Call::get("/receipts/1");
        receipt.method = Method::POST;
        let status = async || {
            let answer = bed.send(&host, KOLLAM, receipt.clone()).await;
            answer.status.as_u16()
        };
        until(async || status().await == 200).await;
        let mut statuses = Vec::new();
        while upstream.reports.load(Ordering::Relaxed) < 6 {
            statuses.push(status().await);
            sleep(Duration::from_millis(50)).await;
        }
        statuses.retain(|status| *status != 200);
        assert!(statuses.is_empty(), "{repeats_ids}: {statuses:?}");
        upstream.is_draining.store(true, Ordering::Relaxed);
        sleep(LEAVING_TIME).await;
        assert_eq!(status().await, 503, "{repeats_ids}: the upstream drains");
    }
}
