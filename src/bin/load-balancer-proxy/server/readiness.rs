//! The readiness probe of the proxy.

use super::responses::{plain, ServerResponse};
use super::Server;
use hyper::{Request, StatusCode};

const READINESS_PATH: &str = "/-/ready";

/// Whether a request is a readiness probe.
pub(super) fn is_readiness_probe<B>(request: &Request<B>) -> bool {
    request.uri().path() == READINESS_PATH
}

impl Server {
    /// Returns 200 if at least one backend can receive requests and no shutdown has begun, otherwise 503.
    pub(super) fn readiness(&self) -> ServerResponse {
        if self.status.is_serving.get() && !self.is_shutting_down.get() {
            plain(StatusCode::OK, "ready")
        } else {
            plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}
