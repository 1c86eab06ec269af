//! Splits a byte stream into whole server-sent events, whatever its chunk boundaries.

use {
    bytes::{Bytes, BytesMut},
    derive_more::{Display, Error},
};

/// Most bytes of an event that has not ended yet.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// The data that ends a stream of an OpenAI-compatible engine.
const DONE_DATA: &[u8] = b"[DONE]";

/// One whole event, with the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The event's bytes as they arrived.
    pub bytes: Bytes,
    /// What the event carries.
    pub kind: Kind,
}

/// What an event carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A comment or an event without data.
    Empty,
    /// Data.
    Data,
    /// The end of the stream.
    Done,
}

impl Frame {
    /// The value of the event's last `data` field.
    pub fn data(&self) -> Option<&[u8]> {
        data(&self.bytes)
    }
}

impl Frame {
    /// The number in the event's `id` field.
    pub fn id(&self) -> Option<u64> {
        self.bytes
            .split(|&byte| byte == b'\n')
            .filter_map(|line| line.strip_prefix(b"id:"))
            .filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
            .next_back()
    }
}

/// An event longer than [`EVENT_LIMIT`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a server-sent event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// Collects chunks and gives whole events. Holds at most one unfinished event and one chunk.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    scanned: usize,
}

impl Splitter {
    /// An empty splitter.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a chunk and returns the events that it completes.
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

    /// Whether an event has begun and not ended.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The length of the first whole event held.
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
