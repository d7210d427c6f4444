//! The responses that the proxy writes itself.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use load_balancer::Micros;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A response to a client, with its whole body.
pub(super) type ServerResponse = Response<Full<Bytes>>;

/// A response with a text as its body.
pub(super) fn plain(status: StatusCode, text: impl Into<Bytes>) -> ServerResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// The request had no effect; the client may return after that time.
pub(super) fn rejected(retry_after: Micros) -> ServerResponse {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let whole_seconds = retry_after.0.div_ceil(MICROS_PER_SECOND); // not every client reads decimals
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(whole_seconds));
    response
}

/// Nothing is promised about the effect of the request.
pub(super) fn failed() -> ServerResponse {
    plain(StatusCode::BAD_GATEWAY, "failed")
}
