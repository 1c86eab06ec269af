//! Decodes a stream of server-sent events for the relay: passes on whole events only and tells
//! which of them carry tokens.

use {
    crate::attempt::sse::{Frame, Kind, Splitter, TooLong},
    bytes::Bytes,
    serde::Deserialize,
};

/// A decoded event, or the end of the stream.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// An event that carries a token.
    Token(Bytes),
    /// An event without a token.
    Other(Bytes),
    /// The end mark, preceded by the closing events held back until then.
    Done(Bytes),
}

/// Decodes the stream of one attempt.
#[derive(Debug, Default)]
pub(super) struct Decoder {
    splitter: Splitter,
    /// The event with the finish reason and those after it. They are relayed only together with the
    /// end mark, since an attempt that resumes the stream sends them again.
    finish_bytes: Vec<u8>,
}

#[derive(Debug, Default, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Debug, Default, Deserialize)]
struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

impl Choice {
    fn has_token(&self) -> bool {
        let delta = self.delta.as_ref().and_then(|delta| delta.content.as_ref());
        let texts = [self.text.as_ref(), delta];
        texts.into_iter().flatten().any(|text| !text.is_empty())
    }
}

impl Decoder {
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, TooLong> {
        let frames = self.splitter.push(bytes)?;
        Ok(frames
            .into_iter()
            .filter_map(|frame| self.classify(frame))
            .collect())
    }

    fn classify(&mut self, frame: Frame) -> Option<Event> {
        match frame.kind {
            Kind::Empty => Some(Event::Other(frame.bytes)),
            Kind::Done => {
                let mut bytes = std::mem::take(&mut self.finish_bytes);
                bytes.extend_from_slice(&frame.bytes);
                Some(Event::Done(bytes.into()))
            }
            Kind::Data => self.classify_data(frame),
        }
    }

    fn classify_data(&mut self, frame: Frame) -> Option<Event> {
        let chunk: Chunk = frame
            .data()
            .and_then(|data| serde_json::from_slice(data).ok())
            .unwrap_or_default();
        if chunk.choices.iter().any(Choice::has_token) {
            return Some(Event::Token(frame.bytes));
        }
        let is_finished = |choice: &Choice| choice.finish_reason.is_some();
        if chunk.choices.iter().any(is_finished) || !self.finish_bytes.is_empty() {
            self.finish_bytes.extend_from_slice(&frame.bytes);
            return None;
        }
        Some(Event::Other(frame.bytes))
    }
}
