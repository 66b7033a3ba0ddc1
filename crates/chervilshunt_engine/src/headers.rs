//! Hop-by-hop headers, and the headers that the client adds.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName};

/// The id of a request.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The id of one attempt of a request.
pub(crate) const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");
/// The epoch of the owner that gives an order.
pub(crate) const FENCING_TOKEN: HeaderName = HeaderName::from_static("x-fencing-token");

/// The hop-by-hop headers of RFC 9110 (7.6.1), including the framing of a body.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes hop-by-hop headers, including those that `Connection` names.
///
/// Otherwise a caller's header would apply to this system's own connections.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
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
}

/// Returns the delay of a `Retry-After` header in seconds; the date form is ignored.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_secs)
}
