//! Headers that are not forwarded (RFC 9110 section 7.6.1).

use http::HeaderMap;
use http::header::{self, HeaderName};

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The headers without those that concern one connection, also without those that `Connection` names.
pub fn without_connection_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for value in headers.get_all(header::CONNECTION) {
        let names = value.to_str().unwrap_or_default().split(',');
        for name in names.filter_map(|n| n.trim().parse::<HeaderName>().ok()) {
            kept.remove(name);
        }
    }
    for name in CONNECTION_HEADERS {
        kept.remove(name);
    }
    kept
}
