//! Hop-by-hop headers.

use hyper::HeaderMap;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderName;
use hyper::header::PROXY_AUTHENTICATE;
use hyper::header::PROXY_AUTHORIZATION;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes hop-by-hop headers (RFC 9110, section 7.6.1), and `Content-Length`, which is set anew
/// for the next hop.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let mut named = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let Ok(text) = value.to_str() else {
            continue;
        };
        for token in text.split(',') {
            if let Ok(name) = HeaderName::from_bytes(token.trim().as_bytes()) {
                named.push(name);
            }
        }
    }
    for name in named {
        headers.remove(name);
    }
    let fixed = [
        CONNECTION,
        CONTENT_LENGTH,
        KEEP_ALIVE,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    for name in fixed {
        headers.remove(name);
    }
}

/// Returns the idle timeout from the `Keep-Alive` header, in seconds.
pub(crate) fn keep_alive_s(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    for parameter in text.split(',') {
        if let Some(value) = parameter.trim().strip_prefix("timeout=") {
            return value.trim().parse().ok();
        }
    }
    None
}

/// Returns whether the `Connection` header contains `close`.
pub(crate) fn is_close(headers: &HeaderMap) -> bool {
    headers.get_all(CONNECTION).iter().any(|value| {
        let text = value.to_str().unwrap_or("");
        text.split(',')
            .any(|token| token.trim().eq_ignore_ascii_case("close"))
    })
}
