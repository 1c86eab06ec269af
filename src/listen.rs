//! The HTTP/1 listener: accepts connections, limits their number, the size of a request's head and
//! the time that it may take, and shuts down gracefully.

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

/// Longest time for a request's head to arrive; also the longest idle time of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Read buffer of a connection; bounds the size of a request's head.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Most headers in a request.
const MAX_HEADERS: usize = 64;
/// Pause before accepting again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves HTTP until `stop` closes. Then it accepts no more connections, waits until the answers
/// under way are complete, and returns when all connections are closed.
///
/// At most `connections` are open at once; further ones are not accepted until one closes.
pub async fn serve(
    mut listener: Listener,
    router: Router,
    connections: usize,
    mut stop: watch::Receiver<()>,
) {
    let tree: Arc<Tree> = Arc::new(router.into());
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(connections));
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
                    tracing::warn!(%error, "failed to accept a connection");
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
