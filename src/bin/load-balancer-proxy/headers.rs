//! Header fields of the platform, and those that a proxy must not forward.

use hyper::header::{
    HeaderMap, HeaderName, CONNECTION, CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// The class of a request.
pub const CLASS: HeaderName = HeaderName::from_static("x-service-class");
/// The tenant of a request.
pub const TENANT: HeaderName = HeaderName::from_static("x-account");
/// `1`: the client sent the request before.
pub const CLIENT_RETRY: HeaderName = HeaderName::from_static("x-repeat");
/// Work that the client expects, in microseconds on a standard core.
pub const EXPECTED_WORK: HeaderName = HeaderName::from_static("x-weight-hint");
/// Under which backends discard duplicates.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Time until the client gives up, in milliseconds.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
/// The id under which all parties know a request.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// `1` in an answer: the backend did not execute the request.
pub const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");

/// The most that a body holds, either way, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Takes out what concerns one connection only.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    for named in headers.get_all(CONNECTION).iter().cloned().collect::<Vec<_>>() {
        for name in named.to_str().unwrap_or("").split(',') {
            if let Ok(name) = HeaderName::from_bytes(name.trim().as_bytes()) {
                headers.remove(name);
            }
        }
    }
    for name in [CONNECTION, TRANSFER_ENCODING, CONTENT_LENGTH, TE, TRAILER, UPGRADE] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("expect");
}
