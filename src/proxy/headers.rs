//! Hop-by-hop headers, and conversion of headers to and from the link's wire format.

use {
    crate::wire,
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, header},
};

/// Hop-by-hop headers besides those that `Connection` names.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes all hop-by-hop headers.
pub(super) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers.remove(header::EXPECT);
}

/// Converts headers to the wire format of the link.
pub(super) fn to_wire(headers: &HeaderMap) -> Vec<wire::Header> {
    headers
        .iter()
        .map(|(name, value)| wire::Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Converts headers from the wire format of the link; `None` if one of them is not valid.
pub(super) fn from_wire(headers: &[wire::Header]) -> Option<HeaderMap> {
    headers
        .iter()
        .map(|header| {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            let value = HeaderValue::from_maybe_shared(header.value.clone()).ok()?;
            Some((name, value))
        })
        .collect()
}
