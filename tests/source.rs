//! Replies of the platform's services, read from a stand-in on loopback.

use {
    greengagecleat::{
        config::Document,
        net::Network,
        source::{Documents, http::Platform},
    },
    std::{io, net::SocketAddr, time::Duration},
    testbed::{
        raw::{self, Cut, End, Framing, Scissors},
        serve,
    },
    tokio::{
        io::{AsyncWriteExt, BufReader},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

const ROUTES: &str = "[[route]]\nname = \"a\"\n\n[[route]]\nname = \"b\"\n";

fn answer(_: &raw::Request) -> raw::Answer {
    raw::Answer {
        status: 200,
        headers: vec![("x-revision", "7".to_owned())],
        body: ROUTES.as_bytes().to_vec(),
        pause: None,
    }
}

/// A document of which a part was read was taken for the whole.
#[tokio::test]
async fn a_document_that_is_cut_is_not_taken() {
    let scissors = Scissors::default();
    let address = raw::start(scissors.clone(), answer).await.unwrap();
    let platform = Platform::new(Network::Tcp, address);
    let whole = platform.read(Document::Routes).await.unwrap().unwrap();
    assert_eq!((whole.revision, whole.text.as_str()), (7, ROUTES));
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        for bytes in 0..ROUTES.len() {
            scissors.set(Some(Cut {
                framing,
                end: End::Close,
                bytes,
            }));
            let read = platform.read(Document::Routes).await;
            assert!(read.is_err(), "{framing:?} {bytes}: {read:?}");
        }
    }
}

/// When an answer is written a second time.
#[derive(Debug, Clone, Copy)]
enum Copy {
    /// Right behind itself.
    AtOnce,
    /// Some time after itself.
    Late,
    /// Before the answer to the next request.
    BeforeNext,
}

/// Serves documents that are each at a revision of their own, which their text names.
async fn serve_twice(connection: TcpStream, copy: Copy) -> io::Result<()> {
    let mut connection = BufReader::new(connection);
    let mut before_next = String::new();
    while let Some(request) = raw::read_request(&mut connection).await? {
        let revision = match request.target.split(['/', '?']).nth(3) {
            Some("routes") => 20,
            Some("pools") => 7,
            _ => 11,
        };
        let body = format!("revision = {revision}");
        let answer = format!(
            "HTTP/1.1 200 \r\nx-revision: {revision}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut written = std::mem::take(&mut before_next);
        written.push_str(&answer);
        if let Copy::AtOnce = copy {
            written.push_str(&answer);
        }
        connection.write_all(written.as_bytes()).await?;
        match copy {
            Copy::AtOnce => {}
            Copy::Late => {
                sleep(Duration::from_millis(5)).await;
                connection.write_all(answer.as_bytes()).await?;
            }
            Copy::BeforeNext => before_next = answer,
        }
    }
    Ok(())
}

async fn start_serving_twice(copy: Copy) -> SocketAddr {
    let listener = TcpListener::bind((serve::own_address(), 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            tokio::spawn(serve_twice(connection, copy));
        }
    });
    address
}

/// A document was taken for another one, with a revision that kept out all later ones of that.
#[tokio::test]
async fn a_document_that_is_sent_twice_is_taken_for_no_other() {
    for copy in [Copy::AtOnce, Copy::Late, Copy::BeforeNext] {
        let address = start_serving_twice(copy).await;
        let platform = Platform::new(Network::Tcp, address);
        for _ in 0..3 {
            for (document, revision) in [
                (Document::Routes, 20),
                (Document::Pools, 7),
                (Document::Customers, 11),
            ] {
                let read = platform.read(document).await;
                let watched = platform.watch(document, 1, Duration::from_secs(1)).await;
                for answer in [read, watched] {
                    let snapshot = answer.unwrap().unwrap();
                    let told = (snapshot.revision, snapshot.text);
                    let expected = (revision, format!("revision = {revision}"));
                    assert_eq!(told, expected, "{copy:?} {document}");
                }
            }
        }
    }
}
