//! Header fields of the platform's protocol, limits on the size of messages, and removal of the fields that a
//! proxy must not forward.

use hyper::header::{
    HeaderMap, HeaderName, CONNECTION, CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Name of the request's class.
pub const CLASS: HeaderName = HeaderName::from_static("x-service-class");
/// Name of the request's tenant.
pub const TENANT: HeaderName = HeaderName::from_static("x-account");
/// `1` if the request is a retry by the client.
pub const CLIENT_RETRY: HeaderName = HeaderName::from_static("x-repeat");
/// Processing time that the client expects, in microseconds on a standard core.
pub const EXPECTED_WORK: HeaderName = HeaderName::from_static("x-weight-hint");
/// Key by which backends detect and discard duplicate requests.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Time until the client gives up on the request, in milliseconds.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
/// Id of the request, shared by clients, proxies and backends.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// `1` in a response if the backend did not execute the request.
pub const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");

/// Maximum length of the head of a request or response, and of the trailers behind its body, in bytes. Also
/// the size of the buffer into which a connection reads.
pub const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum length of a request or response body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Hop-by-hop fields for which hyper has a constant, and `Content-Length`, which hyper sets from the body.
const HOP_BY_HOP: [HeaderName; 6] = [CONNECTION, TRANSFER_ENCODING, CONTENT_LENGTH, TE, TRAILER, UPGRADE];

/// Removes the fields that apply to one connection only: the hop-by-hop fields, including those that
/// `Connection` names, `Content-Length`, and `Expect`, which the proxy itself answers on the client's
/// connection.
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

/// Returns the valid field names that `Connection` lists.
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
