//! The HTTP/1 server for callers: calls one service function for every request of a listener, and
//! closes connections gracefully when the host leaves.

use {
    crate::{
        entry::Phase,
        net::{Listener, Stream},
    },
    bytes::Bytes,
    http::{Request, Response},
    http_body::Body,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        error::Error,
        future::Future,
        net::SocketAddr,
        pin::pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::watch, time::sleep},
};

/// How long a kept-alive connection may stay idle: longer than any configuration asks callers to
/// reuse one, so that the caller closes it first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Size of a connection's read buffer, which also bounds the head of a request.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Upper bound on the headers of a request.
const MAX_HEADERS: usize = 96;
/// Pause after accepting a connection failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections from a listener and serves their requests until the host has closed.
pub async fn serve<S, F, B>(mut listener: Listener, service: S, mut phase: watch::Receiver<Phase>)
where
    S: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_phase(&mut phase, |phase| phase == Phase::Closed) => return,
        };
        match accepted {
            Ok((stream, from)) => {
                tokio::spawn(connection(stream, from, service.clone(), phase.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits until the host's phase satisfies a condition, or the sender of phases is gone.
pub async fn wait_for_phase(phase: &mut watch::Receiver<Phase>, condition: impl Fn(Phase) -> bool) {
    phase.wait_for(|phase| condition(*phase)).await.ok();
}

/// Serves one connection until it is closed.
async fn connection<S, F, B>(
    stream: Stream,
    from: SocketAddr,
    service: S,
    mut phase: watch::Receiver<Phase>,
) where
    S: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let has_served = Arc::new(AtomicBool::new(false));
    let mark_served = has_served.clone();
    let service = service_fn(move |request| {
        mark_served.store(true, Ordering::Relaxed);
        let answer = service(request);
        async move { Ok::<_, std::convert::Infallible>(answer.await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = pin!(serving);
    let result = tokio::select! {
        result = serving.as_mut() => result,
        () = wait_for_phase(&mut phase, |phase| phase != Phase::Running) => {
            // A connection that has served no request may have its first one in flight. The answer
            // to that request closes the connection.
            if has_served.load(Ordering::Relaxed) {
                serving.as_mut().graceful_shutdown();
            }
            serving.await
        }
    };
    if let Err(error) = result {
        tracing::trace!(peer = %from, %error, "a caller's connection failed");
    }
}
