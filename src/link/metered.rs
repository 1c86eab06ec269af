//! A connection on which a large message is read only once there is memory for it. A message may have
//! megabytes, and many peers may send at once.

use {
    crate::net::Stream,
    prometheus_client::metrics::{counter::Counter, gauge::Gauge},
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        sync::{OwnedSemaphorePermit, Semaphore},
    },
};

/// Messages up to this size are read at once. A connection has a buffer of half of that anyway.
const FREE_BYTES: u64 = 16 * 1024;
/// How often a byte of a message is held: as it was read, and as a part of the decoded message.
const COPIES: u64 = 2;
/// Bytes that are granted at a time; a semaphore counts to fewer bytes than a machine may have.
const UNIT_BYTES: u64 = 1024;
/// Longest header of a frame before its mask.
const MAX_HEADER_BYTES: usize = 10;
const MASK_BYTES: u64 = 4;
/// Bit that says that the payload is masked, in the second byte of a header; the others are its length.
const MASKED: u8 = 0x80;

/// Memory for the large messages of all peers, from their arrival to the end of the answer. Clones share
/// it.
#[derive(Debug, Clone)]
pub struct Memory {
    units: Arc<Semaphore>,
    total: u32,
    held: Gauge,
    waits: Counter,
}

/// A part of the memory. Dropping it gives it back.
#[derive(Debug)]
pub(super) struct Grant {
    _permit: OwnedSemaphorePermit,
    held: Gauge,
    bytes: i64,
}

impl Memory {
    /// So many bytes of memory.
    pub fn new(bytes: usize) -> Self {
        let total = u32::try_from(bytes as u64 / UNIT_BYTES).unwrap_or(u32::MAX);
        let total = total.clamp(1, Semaphore::MAX_PERMITS.min(u32::MAX as usize) as u32);
        Self {
            units: Arc::new(Semaphore::new(total as usize)),
            total,
            held: Gauge::default(),
            waits: Counter::default(),
        }
    }

    /// Bytes that are granted, for metrics.
    pub fn held(&self) -> Gauge {
        self.held.clone()
    }

    /// Number of messages that had to wait, for metrics.
    pub fn waits(&self) -> Counter {
        self.waits.clone()
    }

    /// Waits for memory for a message of this size, after those that asked before. One that takes more
    /// than there is gets all.
    pub(super) async fn grant(&self, size: u64) -> Option<Grant> {
        let bytes = size.saturating_mul(COPIES);
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX);
        let units = units.min(self.total);
        if self.units.available_permits() < units as usize {
            self.waits.inc();
        }
        let permit = self.units.clone().acquire_many_owned(units).await.ok()?;
        let bytes = i64::from(units) * UNIT_BYTES as i64;
        self.held.inc_by(bytes);
        Some(Grant {
            _permit: permit,
            held: self.held.clone(),
            bytes,
        })
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.held.dec_by(self.bytes);
    }
}

/// A connection that follows the frames that are read.
#[derive(Debug)]
pub(super) struct Metered {
    stream: Stream,
    /// `None` where messages are not followed.
    frames: Option<Frames>,
}

/// Where the bytes read so far end.
#[derive(Debug, Default)]
struct Frames {
    header: [u8; MAX_HEADER_BYTES],
    header_bytes: usize,
    /// Bytes of the frame after its header that have not been read.
    rest: u64,
    /// Size of a large message that has begun.
    message: Option<u64>,
    is_granted: bool,
}

impl Metered {
    /// A connection on which all is read at once.
    pub(super) fn new(stream: Stream) -> Self {
        Self {
            stream,
            frames: None,
        }
    }

    /// Follows what is read from now on, the first byte of a frame.
    pub(super) fn follow(&mut self) {
        self.frames = Some(Frames::default());
    }

    /// Size of a large message that has begun and for which there is no memory yet: nothing more is read.
    pub(super) fn wanted(&self) -> Option<u64> {
        let frames = self.frames.as_ref().filter(|frames| !frames.is_granted);
        frames.and_then(|frames| frames.message)
    }

    /// Goes on with the large message that has begun.
    pub(super) fn go_on(&mut self) {
        if let Some(frames) = &mut self.frames {
            frames.is_granted = true;
        }
    }
}

impl Frames {
    /// Size of the payload, once the header is complete.
    fn payload(&self) -> Option<u64> {
        let header = &self.header[..self.header_bytes];
        let length = header.get(1)? & !MASKED;
        match length {
            126 => Some(u16::from_be_bytes(header.get(2..4)?.try_into().ok()?).into()),
            127 => Some(u64::from_be_bytes(header.get(2..10)?.try_into().ok()?)),
            length => Some(length.into()),
        }
    }

    fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.rest > 0 {
                let of_frame = self.rest.min(bytes.len() as u64);
                self.rest -= of_frame;
                bytes = &bytes[of_frame as usize..];
                continue;
            }
            if self.header_bytes == 0 {
                self.message = None;
                self.is_granted = false;
            }
            self.header[self.header_bytes] = bytes[0];
            self.header_bytes += 1;
            bytes = &bytes[1..];
            if let Some(payload) = self.payload() {
                let is_masked = self.header[1] & MASKED != 0;
                let mask = if is_masked { MASK_BYTES } else { 0 };
                self.rest = payload.saturating_add(mask);
                self.message = Some(payload).filter(|size| *size > FREE_BYTES);
                self.header_bytes = 0;
            }
        }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let metered = self.get_mut();
        if metered.wanted().is_some() {
            // The reader asks for memory, and polls again once it has some.
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        let read = Pin::new(&mut metered.stream).poll_read(context, buffer);
        if let (Poll::Ready(Ok(())), Some(frames)) = (&read, &mut metered.frames) {
            frames.read(&buffer.filled()[filled..]);
        }
        read
    }
}

impl AsyncWrite for Metered {
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

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
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
