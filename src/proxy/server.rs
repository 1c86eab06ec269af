//! The HTTP server: one service function a listener, and connections that end politely when the
//! host leaves.

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

/// A kept connection may stay idle for so long: longer than any configuration asks callers to
/// count on, as the caller closes it first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Read buffer of a connection, in bytes: bounds a request's head.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Most headers of a request.
const MAX_HEADERS: usize = 96;
/// Pause after the system refused to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests on a listener until the host has closed.
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
                tracing::warn!(%error, "accepting a connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits until the host's phase is one of these, or the host is gone.
pub async fn wait_for_phase(phase: &mut watch::Receiver<Phase>, is: impl Fn(Phase) -> bool) {
    phase.wait_for(|phase| is(*phase)).await.ok();
}

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
    let served = Arc::new(AtomicBool::new(false));
    let serves = served.clone();
    let service = service_fn(move |request| {
        serves.store(true, Ordering::Relaxed);
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
    let ended = tokio::select! {
        ended = serving.as_mut() => ended,
        () = wait_for_phase(&mut phase, |phase| phase != Phase::Running) => {
            // The first request of a new connection may be on its way; its answer closes the
            // connection.
            if served.load(Ordering::Relaxed) {
                serving.as_mut().graceful_shutdown();
            }
            serving.await
        }
    };
    if let Err(error) = ended {
        tracing::trace!(peer = %from, %error, "caller's connection ended");
    }
}
