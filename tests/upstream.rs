//! Connections to upstreams.

use {
    greengagecleat::{net::Network, upstream::Client},
    http::Request,
    http_body_util::Full,
    std::{io, time::Duration},
    tokio::{io::AsyncReadExt, net::TcpListener, time::timeout},
};

/// Bytes of a call that was given up reached its upstream later, when a partition was over.
#[tokio::test]
async fn a_call_that_is_given_up_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let request = Request::get("/").body(Full::default()).unwrap();
    let client = Client::new(Network::Tcp);
    let calling = client.send(address, request, true);
    let given_up = timeout(Duration::from_millis(100), calling).await;
    assert!(given_up.is_err(), "nothing answers");
    let (mut stream, _) = listener.accept().await.unwrap();
    let ended = stream.read_to_end(&mut Vec::new()).await;
    let error = ended.expect_err("the connection is reset");
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
}
