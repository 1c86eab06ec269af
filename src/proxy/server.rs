//! The HTTP/1 server for callers: calls one service function for every request of a listener, and
//! closes connections gracefully when the host leaves.
//!
//! Answers of a leaving host say that they are the last on their connection. One whose head went out
//! before does not, so a connection is closed only while it is idle: the next request may already have
//! arrived.
//!
//! A listener has [`Room`] for so many connections. Those beyond are answered 503 and closed.

use {
    crate::{
        clock::Clock,
        entry::Phase,
        net::{
            Listener, Stream,
            room::{Place, Room},
        },
        start::address::Claim,
    },
    bytes::Bytes,
    http::{Request, Response},
    http_body::Body,
    http_body_util::BodyExt,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        convert::Infallible,
        error::Error,
        future::Future,
        io,
        net::SocketAddr,
        pin::{Pin, pin},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
        sync::{Semaphore, mpsc, watch},
        time::{sleep, timeout},
    },
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
/// How long a connection to a leaving host must be idle before it is closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Most connections at a time that are told that there is no room for them. Others are just closed.
const MAX_REFUSALS: usize = 8;
/// Longest time for which a connection without room stays open, so that its caller gets the answer.
const REFUSAL_TIME: Duration = Duration::from_millis(200);
/// The answer on a connection without room.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Accepts connections from a listener and serves their requests until the host has closed and every
/// connection has ended. The service gets each request with the address of its caller.
pub async fn serve<S, F, B>(
    mut listener: Listener,
    room: Room,
    service: S,
    mut phase: watch::Receiver<Phase>,
) where
    S: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (open, mut all_ended) = mpsc::channel::<Infallible>(1);
    let refusals = Refusals::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_phase(&mut phase, |phase| phase == Phase::Closed) => break,
        };
        match accepted {
            Ok((stream, from)) => {
                let Some(place) = room.enter().await else {
                    refusals.refuse(stream);
                    continue;
                };
                let serving = connection(stream, from, place, service.clone(), phase.clone());
                let open = open.clone();
                tokio::spawn(async move {
                    serving.await;
                    drop(open);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop((listener, open));
    all_ended.recv().await;
}

/// Serves requests as [`serve`] does, from when an address is bound that the host can do without.
pub async fn serve_when_bound<C, S, F, B>(
    claim: Claim<C>,
    room: Room,
    service: S,
    phase: watch::Receiver<Phase>,
) where
    C: Clock,
    S: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut phases = phase.clone();
    let closed = wait_for_phase(&mut phases, |phase| phase == Phase::Closed);
    if let Some(listener) = claim.listener_until(closed).await {
        serve(listener, room, service, phase).await;
    }
}

/// Waits until the host's phase satisfies a condition, or the sender of phases is gone.
pub async fn wait_for_phase(phase: &mut watch::Receiver<Phase>, condition: impl Fn(Phase) -> bool) {
    phase.wait_for(|phase| condition(*phase)).await.ok();
}

/// Tells callers that there is no room for their connections.
#[derive(Debug)]
pub(crate) struct Refusals(Arc<Semaphore>);

impl Refusals {
    pub(crate) fn new() -> Self {
        Self(Arc::new(Semaphore::new(MAX_REFUSALS)))
    }

    /// Answers on a connection and closes it, in a task of its own; just closes it if many are answered
    /// already.
    pub(crate) fn refuse(&self, stream: Stream) {
        if let Ok(permit) = self.0.clone().try_acquire_owned() {
            tokio::spawn(async move {
                timeout(REFUSAL_TIME, write_refusal(stream)).await.ok();
                drop(permit);
            });
        }
    }
}

/// Answers that there is no room for a connection. Reads what the caller sends, as closing a connection
/// with unread bytes discards the answer.
async fn write_refusal(mut stream: Stream) -> io::Result<()> {
    stream.write_all(REFUSAL).await?;
    stream.shutdown().await?;
    let mut unread = [0; 1_024];
    while stream.read(&mut unread).await? > 0 {}
    Ok(())
}

/// Serves one connection until it is closed.
async fn connection<S, F, B>(
    stream: Stream,
    from: SocketAddr,
    place: Place,
    service: S,
    mut phase: watch::Receiver<Phase>,
) where
    S: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let activity = Arc::new(Activity::new(place));
    let counted = activity.clone();
    let service = service_fn(move |request| {
        let exchange = Exchange::start(&counted);
        let answer = service(from, request);
        async move {
            let response = answer.await;
            let response = response.map(|body| count_until_end(body, exchange));
            Ok::<_, Infallible>(response)
        }
    });
    let stream = CountedStream::new(stream, activity.clone());
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = pin!(serving);
    let result = tokio::select! {
        result = serving.as_mut() => result,
        () = activity.place.evicted() => return,
        () = wait_until_closable(&activity, &mut phase) => {
            serving.as_mut().graceful_shutdown();
            tokio::select! {
                result = serving => result,
                () = activity.place.evicted() => return,
            }
        }
    };
    if let Err(error) = result {
        tracing::trace!(peer = %from, %error, "a caller's connection failed");
    }
}

/// Waits until the host leaves and the connection is idle. One that has served no request may have its
/// first one in flight, so it is kept until the host has closed.
async fn wait_until_closable(activity: &Activity, phase: &mut watch::Receiver<Phase>) {
    wait_for_phase(phase, |phase| phase != Phase::Running).await;
    loop {
        let bytes_before = activity.bytes_read.load(Ordering::Relaxed);
        sleep(IDLE_CHECK_INTERVAL).await;
        let is_used = activity.has_served.load(Ordering::Relaxed);
        let has_read = activity.bytes_read.load(Ordering::Relaxed) != bytes_before;
        let is_due = is_used || *phase.borrow() == Phase::Closed;
        if is_due && !has_read && !activity.is_busy() {
            return;
        }
    }
}

/// What happens on a connection.
#[derive(Debug)]
pub(crate) struct Activity {
    pub(crate) place: Place,
    has_served: AtomicBool,
    /// Requests whose answers have not been passed to the connection in full.
    exchanges: AtomicUsize,
    /// Whether bytes of an answer wait for the caller to read.
    is_write_blocked: AtomicBool,
    bytes_read: AtomicU64,
}

impl Activity {
    pub(crate) fn new(place: Place) -> Self {
        Self {
            place,
            has_served: AtomicBool::new(false),
            exchanges: AtomicUsize::new(0),
            is_write_blocked: AtomicBool::new(false),
            bytes_read: AtomicU64::new(0),
        }
    }

    fn is_busy(&self) -> bool {
        self.exchanges.load(Ordering::Relaxed) > 0 || self.is_write_blocked.load(Ordering::Relaxed)
    }
}

/// Counts a request until it is dropped.
#[derive(Debug)]
pub(crate) struct Exchange(Arc<Activity>);

impl Exchange {
    pub(crate) fn start(activity: &Arc<Activity>) -> Self {
        activity.has_served.store(true, Ordering::Relaxed);
        activity.exchanges.fetch_add(1, Ordering::Relaxed);
        activity.place.set_busy(true);
        Self(activity.clone())
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.0.exchanges.fetch_sub(1, Ordering::Relaxed);
        self.0.place.set_busy(self.0.is_busy());
    }
}

/// Counts a request until the body of its answer is dropped.
pub(crate) fn count_until_end<B: Body>(
    body: B,
    exchange: Exchange,
) -> impl Body<Data = B::Data, Error = B::Error> {
    // Other adapters lose the length of the body.
    body.map_err(move |error| {
        let _held = &exchange;
        error
    })
}

/// A connection whose reads and blocked writes are noted.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: Stream,
    activity: Arc<Activity>,
}

impl CountedStream {
    pub(crate) fn new(stream: Stream, activity: Arc<Activity>) -> Self {
        Self { stream, activity }
    }

    fn note_write(&self, result: &Poll<io::Result<usize>>) {
        let is_blocked = result.is_pending();
        let noted = &self.activity.is_write_blocked;
        if noted.swap(is_blocked, Ordering::Relaxed) != is_blocked {
            self.activity.place.set_busy(self.activity.is_busy());
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - filled;
        let bytes_read = &self.activity.bytes_read;
        bytes_read.fetch_add(read as u64, Ordering::Relaxed);
        if read > 0 {
            self.activity.place.touch();
        }
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.note_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
