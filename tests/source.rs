//! Replies of the platform's services, read from a stand-in on loopback.

use {
    greengagecleat::{
        config::Document,
        net::Network,
        source::{Documents, http::Platform},
    },
    testbed::raw::{self, Cut, End, Framing, Scissors},
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
