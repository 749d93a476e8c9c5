//! Which HTTP headers pass through.

use http::{HeaderMap, HeaderName, HeaderValue};
use tallybridge_core::header;
use tallybridge_wire::{Text, WireHeader, WireHeaders};

/// Headers of one connection only (RFC 9110 section 7.6.1), those that the next hop makes anew,
/// and tallybridge's own, which each hop sets itself.
const NOT_FORWARDED: [&str; 17] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    header::TENANT,
    header::TIMEOUT_MS,
    header::CALL_TOKEN,
    header::REQUEST_ID,
    header::DRAINING,
    header::OUTCOME,
];

/// The headers of a message that pass through.
#[must_use]
pub fn forwarded(headers: &HeaderMap) -> WireHeaders {
    let passing = headers
        .iter()
        .filter(|(name, _)| !NOT_FORWARDED.contains(&name.as_str()))
        .map(|(name, value)| WireHeader {
            name: Text::new(name.as_str()),
            value: Text::from_bytes(value.as_bytes()),
        })
        .collect();
    WireHeaders::new(passing)
}

/// Adds headers from a peer to a message; one that is not valid in HTTP is left out.
pub fn extend(target: &mut HeaderMap, headers: &WireHeaders) {
    for header in headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            target.append(name, value);
        }
    }
}
