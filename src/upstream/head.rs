//! The head of an answer.

use {
    http::{HeaderValue, Response},
    hyper::ext::ReasonPhrase,
};

/// Length of a status line up to its status.
const STATUS_LINE_BYTES: usize = "HTTP/1.1 200".len();

/// Whether another answer's status line stands within the head: one that was cut short, and the answer
/// behind it, were read as one.
pub(super) fn is_spliced<B>(response: &Response<B>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>();
    let reason = reason.map(ReasonPhrase::as_bytes);
    let values = response.headers().values().map(HeaderValue::as_bytes);
    reason.into_iter().chain(values).any(has_status_line)
}

fn has_status_line(text: &[u8]) -> bool {
    let mut lines = text.windows(STATUS_LINE_BYTES);
    lines.any(|line| match line.strip_prefix(b"HTTP/1.") {
        Some([b'0'..=b'9', b' ', status @ ..]) => status.iter().all(u8::is_ascii_digit),
        _ => false,
    })
}
