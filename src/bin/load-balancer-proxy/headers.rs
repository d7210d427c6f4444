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
/// The key by which backends recognise a duplicate and discard it.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Time until the client gives up, in milliseconds.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
/// The id under which all parties know a request.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// `1` in an answer: the backend did not execute the request.
pub const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");

/// The longest body of a request or a response, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Fields that concern one connection only and have a constant in hyper.
const HOP_BY_HOP: [HeaderName; 6] = [CONNECTION, TRANSFER_ENCODING, CONTENT_LENGTH, TE, TRAILER, UPGRADE];

/// Removes the fields that concern one connection only, those that `Connection` names included, and `Expect`,
/// which is answered on the client's connection.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("expect");
}

/// The fields that `Connection` names, as far as they are valid names.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let mut names = Vec::new();
    for value in headers.get_all(CONNECTION) {
        for name in value.to_str().unwrap_or_default().split(',') {
            if let Ok(name) = HeaderName::from_bytes(name.trim().as_bytes()) {
                names.push(name);
            }
        }
    }
    names
}
