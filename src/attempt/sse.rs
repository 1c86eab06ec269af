//! Splits a byte stream into server-sent events, wherever its chunks end.

use {
    bytes::{Bytes, BytesMut},
    derive_more::{Display, Error},
};

/// Longest event, in bytes; bounds the memory for an event that never ends.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Data of the event that ends a stream of an OpenAI-compatible engine.
const DONE_DATA: &[u8] = b"[DONE]";

/// One complete event, with the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The event as it arrived, unmodified.
    pub bytes: Bytes,
    /// Whether the event has data or ends the stream.
    pub kind: Kind,
}

/// The content of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A comment or an event without a `data` field.
    Empty,
    /// An event with a `data` field.
    Data,
    /// The `[DONE]` event that ends the stream.
    Done,
}

impl Frame {
    /// The value of the last `data` field, without surrounding whitespace.
    pub fn data(&self) -> Option<&[u8]> {
        data(&self.bytes)
    }
}

impl Frame {
    /// The last `id` field that is a number.
    pub fn id(&self) -> Option<u64> {
        self.bytes
            .split(|&byte| byte == b'\n')
            .filter_map(|line| line.strip_prefix(b"id:"))
            .filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
            .next_back()
    }
}

/// The error for an event longer than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a server-sent event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// Collects chunks and returns complete events. Buffers at most one incomplete event and one chunk.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes of the buffer that hold no end of an event.
    scanned: usize,
}

impl Splitter {
    /// A splitter with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a chunk and returns the events that it completes.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<Frame>, TooLong> {
        self.buffer.extend_from_slice(chunk);
        let mut frames = Vec::new();
        while let Some(end) = self.event_end() {
            let bytes = self.buffer.split_to(end).freeze();
            self.scanned = 0;
            let kind = kind(&bytes);
            frames.push(Frame { bytes, kind });
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        Ok(frames)
    }

    /// Whether the buffer holds an incomplete event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Bytes of memory that the buffer takes.
    pub fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// What the buffer holds of an incomplete event.
    pub fn into_rest(self) -> Bytes {
        self.buffer.freeze()
    }

    /// The length of the first complete event in the buffer.
    fn event_end(&mut self) -> Option<usize> {
        let mut at = self.scanned;
        while let Some(step) = self.buffer[at..].iter().position(|&byte| byte == b'\n') {
            let next = at + step + 1;
            match &self.buffer[next..] {
                [b'\n', ..] => return Some(next + 1),
                [b'\r', b'\n', ..] => return Some(next + 2),
                [] | [b'\r'] => {
                    self.scanned = next - 1;
                    return None;
                }
                _ => at = next,
            }
        }
        self.scanned = self.buffer.len();
        None
    }
}

/// Number of bytes of a stream that tell whether an event has just ended.
const TAIL_BYTES: usize = 3;

/// Follows a stream that is not split into events, and tells whether it has reached the end of one.
#[derive(Debug)]
pub struct Boundary {
    tail: [u8; TAIL_BYTES],
}

impl Default for Boundary {
    /// The start of a stream, before its first event.
    fn default() -> Self {
        Self {
            tail: [b'\n'; TAIL_BYTES],
        }
    }
}

impl Boundary {
    /// Records the next bytes of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        let kept = chunk.len().min(TAIL_BYTES);
        self.tail.rotate_left(kept);
        self.tail[TAIL_BYTES - kept..].copy_from_slice(&chunk[chunk.len() - kept..]);
    }

    /// Whether the stream so far ends within an event, that is, not after a blank line.
    pub fn is_within_event(&self) -> bool {
        let ends: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];
        !ends.iter().any(|end| self.tail.ends_with(end))
    }
}

fn kind(event: &[u8]) -> Kind {
    match data(event) {
        None => Kind::Empty,
        Some(DONE_DATA) => Kind::Done,
        Some(_) => Kind::Data,
    }
}

fn data(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|&byte| byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
        .next_back()
}
