//! The HTTP/1 listener: accepts connections, limits their number, the size of a request's head and
//! the time that it may take, and shuts down gracefully.

use {
    crate::{
        net::{
            Listener, Stream,
            room::{Place, Room},
        },
        proxy::server::{Activity, CountedStream, Exchange, Refusals, count_until_end},
    },
    hyper::{
        server::conn::http1,
        service::{Service, service_fn},
    },
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::watch, time::sleep},
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
/// Connections for which there is no room are answered 503 and closed.
pub async fn serve(
    mut listener: Listener,
    router: Router,
    room: Room,
    mut stop: watch::Receiver<()>,
) {
    let tree: Arc<Tree> = Arc::new(router.into());
    let graceful = GracefulShutdown::new();
    let refusals = Refusals::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, address)) => match room.enter().await {
                    Some(place) => {
                        spawn_connection(stream, address, place, tree.clone(), &graceful);
                    }
                    None => refusals.refuse(stream),
                },
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
    place: Place,
    tree: Arc<Tree>,
    graceful: &GracefulShutdown,
) {
    let activity = Arc::new(Activity::new(place));
    let responder = Responder::new(tree, Some(address));
    let counted = activity.clone();
    let service = service_fn(move |request| {
        let exchange = Exchange::start(&counted);
        let answer = responder.call(request);
        async move {
            let response = answer.await?;
            Ok::<_, Infallible>(response.map(|body| count_until_end(body, exchange)))
        }
    });
    let stream = CountedStream::new(stream, activity.clone());
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let serving = graceful.watch(serving);
    tokio::spawn(async move {
        let ended = tokio::select! {
            ended = serving => ended,
            () = activity.place.evicted() => return,
        };
        if let Err(error) = ended {
            tracing::debug!(peer = %address, %error, "caller's connection ended");
        }
    });
}
