//! A connection that fails when its peer sends too much without a head or a piece of a body coming of
//! it: interim responses, the framing of chunks and trailers may go on without end. It also fails when a
//! head begins within another.

use {
    super::head::Head,
    crate::net::Stream,
    std::{
        io,
        pin::Pin,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Most bytes that are read between two pieces of a body.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// Most bytes that are read before the end of a head, with interim responses before it and what of the
/// body comes with it.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Bytes that were read since the last piece of an answer, and their limit.
#[derive(Debug, Clone, Default)]
pub(super) struct Meter(Arc<Count>);

#[derive(Debug, Default)]
struct Count {
    bytes: AtomicUsize,
    limit: AtomicUsize,
    head: Mutex<Head>,
}

impl Meter {
    /// Begins to count anew, as a request is sent.
    pub(super) fn begin_head(&self) {
        self.0.limit.store(MAX_HEAD_BYTES, Ordering::Relaxed);
        *self.0.head.lock().unwrap_or_else(PoisonError::into_inner) = Head::default();
        self.reset();
    }

    /// Begins to count anew, as the head has come.
    pub(super) fn begin_body(&self) {
        self.0.limit.store(MAX_BODY_BYTES, Ordering::Relaxed);
        self.reset();
    }

    /// Begins to count anew, as a piece of a body has come.
    pub(super) fn reset(&self) {
        self.0.bytes.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: &[u8]) -> io::Result<()> {
        let count = &self.0;
        let mut head = count.head.lock().unwrap_or_else(PoisonError::into_inner);
        if head.read(bytes) {
            return Err(io::Error::other("the head of an answer within another"));
        }
        let before = count.bytes.fetch_add(bytes.len(), Ordering::Relaxed);
        if before + bytes.len() > count.limit.load(Ordering::Relaxed) {
            return Err(io::Error::other("too many bytes without an answer"));
        }
        Ok(())
    }
}

/// A connection whose reads are counted.
#[derive(Debug)]
pub(super) struct Connection {
    stream: Stream,
    meter: Meter,
}

impl Connection {
    pub(super) fn new(stream: Stream, meter: Meter) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let connection = self.get_mut();
        let filled = buffer.filled().len();
        let read = Pin::new(&mut connection.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(())) = read {
            connection.meter.add(&buffer.filled()[filled..])?;
        }
        read
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // An orderly end would follow bytes that have not arrived, instead of discarding them.
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
