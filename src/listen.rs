//! The HTTP listener: accepts callers, bounds what a connection can hold and how long a head may
//! take, and ends connections gracefully.

use {
    crate::net::{Listener, Stream},
    hyper::server::conn::http1,
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore, watch},
        time::sleep,
    },
    viz::{Responder, Router, Tree},
};

/// Longest time for a request's head to arrive, and for a kept connection to stay idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Read buffer of a connection, in bytes: bounds a request's head.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Most headers of a request.
const MAX_HEADERS: usize = 64;
/// Most connections at once.
const MAX_CONNECTIONS: usize = 60_000;
/// Pause after the system refused to accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves HTTP until `stop` closes; then takes no more connections, lets running answers end and
/// returns when every connection has.
pub async fn serve(mut listener: Listener, router: Router, mut stop: watch::Receiver<()>) {
    let tree: Arc<Tree> = Arc::new(router.into());
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            break;
        };
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, address)) => {
                    spawn_connection(stream, address, tree.clone(), &graceful, permit);
                }
                Err(error) => {
                    tracing::warn!(%error, "accepting a connection");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            _ = stop.changed() => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn spawn_connection(
    stream: Stream,
    address: SocketAddr,
    tree: Arc<Tree>,
    graceful: &GracefulShutdown,
    permit: OwnedSemaphorePermit,
) {
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), Responder::new(tree, Some(address)));
    let serving = graceful.watch(serving);
    tokio::spawn(async move {
        if let Err(error) = serving.await {
            tracing::debug!(peer = %address, %error, "caller's connection ended");
        }
        drop(permit);
    });
}
