//! Responses that the proxy itself generates.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use load_balancer::Micros;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A response to a client, with its complete body.
pub(super) type ServerResponse = Response<Full<Bytes>>;

/// Returns a response with a text body.
pub(super) fn plain(status: StatusCode, text: impl Into<Bytes>) -> ServerResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Returns the response to a rejected request, which the client may safely retry after `retry_after`.
pub(super) fn rejected(retry_after: Micros) -> ServerResponse {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let whole_seconds = retry_after.0.div_ceil(MICROS_PER_SECOND); // not every client parses fractions
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(whole_seconds));
    response
}

/// Returns the response to a request that may or may not have been executed.
pub(super) fn failed() -> ServerResponse {
    plain(StatusCode::BAD_GATEWAY, "failed")
}
