//! Allow lists of relayed headers. Any header that is not listed is dropped, above all those that
//! could hold a caller's key.

use {
    crate::wire,
    http::{HeaderMap, HeaderName, HeaderValue},
};

/// Request headers that are sent to an upstream.
const TO_UPSTREAM: [&str; 7] = [
    "accept",
    "accept-language",
    "content-language",
    "content-type",
    "idempotency-key",
    "traceparent",
    "x-priority",
];
/// Response headers that are returned to a caller.
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

/// The headers of a caller's request that are sent to an upstream. A header whose value contains
/// the key is dropped, whatever its name.
pub(crate) fn to_upstream(headers: &HeaderMap, key: Option<&str>) -> Vec<wire::Header> {
    pick(headers, &TO_UPSTREAM)
        .into_iter()
        .filter(|header| key.is_none_or(|key| !contains(&header.value, key.as_bytes())))
        .collect()
}

/// The headers of an upstream's response that are returned to the caller.
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

/// Inserts relayed headers into `to`, skipping those that are not valid in HTTP.
pub(crate) fn add(to: &mut HeaderMap, headers: &[wire::Header]) {
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            to.insert(name, value);
        }
    }
}

/// Whether `bytes` contains `part`; false if `part` is empty.
pub(crate) fn contains(bytes: &[u8], part: &[u8]) -> bool {
    !part.is_empty() && bytes.windows(part.len()).any(|window| window == part)
}
