//! A connection that fails when its peer sends too much without a piece of a body coming of it:
//! the framing of chunks and trailers may go on without end.

use {
    crate::net::Stream,
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Most bytes that are read between two pieces of a body.
const MAX_BYTES: usize = 256 * 1024;

/// Bytes that were read since the last piece of a body.
#[derive(Debug, Clone, Default)]
pub(super) struct Meter(Arc<AtomicUsize>);

impl Meter {
    /// Begins to count anew, as a request was sent or a piece of a body has come.
    pub(super) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        if self.0.fetch_add(bytes, Ordering::Relaxed) + bytes > MAX_BYTES {
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
            connection.meter.add(buffer.filled().len() - filled)?;
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
