//! Which headers pass. Both lists name what may pass; everything else, above all whatever could
//! hold a caller's key, stays behind.

use {
    crate::wire,
    http::{HeaderMap, HeaderName, HeaderValue},
};

/// Headers that an upstream may see.
const TO_UPSTREAM: [&str; 7] = [
    "accept",
    "accept-language",
    "content-language",
    "content-type",
    "idempotency-key",
    "traceparent",
    "x-priority",
];
/// Headers that a caller may see.
const TO_CALLER: [&str; 10] = [
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-length",
    "content-type",
    "etag",
    "last-modified",
    "location",
    "retry-after",
];

/// The headers of a caller's request that may reach an upstream. One whose value holds the key is
/// left out, whatever its name.
pub(crate) fn to_upstream(headers: &HeaderMap, key: Option<&str>) -> Vec<wire::Header> {
    pick(headers, &TO_UPSTREAM)
        .into_iter()
        .filter(|header| key.is_none_or(|key| !contains(&header.value, key.as_bytes())))
        .collect()
}

/// The headers of an upstream's answer that may reach the caller.
pub(crate) fn to_caller(headers: &HeaderMap) -> Vec<wire::Header> {
    pick(headers, &TO_CALLER)
}

fn pick(headers: &HeaderMap, allowed: &[&str]) -> Vec<wire::Header> {
    allowed
        .iter()
        .filter_map(|name| {
            let value = headers.get(*name)?;
            Some(wire::Header {
                name: (*name).into(),
                value: value.as_bytes().to_vec().into(),
            })
        })
        .collect()
}

/// Adds relayed headers to a head.
pub(crate) fn add(to: &mut HeaderMap, headers: &[wire::Header]) {
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            to.insert(name, value);
        }
    }
}

/// Whether `bytes` holds `part`.
pub(crate) fn contains(bytes: &[u8], part: &[u8]) -> bool {
    !part.is_empty() && bytes.windows(part.len()).any(|window| window == part)
}
