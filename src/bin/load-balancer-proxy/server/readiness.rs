//! The readiness probe: whether the proxy can be sent requests.

use super::responses::{plain, ServerResponse};
use super::Server;
use hyper::{Request, StatusCode};

const READINESS_PATH: &str = "/-/ready";

/// Whether a request asks for the readiness of the proxy.
pub(super) fn is_readiness_probe<B>(request: &Request<B>) -> bool {
    request.uri().path() == READINESS_PATH
}

impl Server {
    /// 200 while some backend can be sent requests and no shutdown has begun, else 503.
    pub(super) fn readiness(&self) -> ServerResponse {
        if self.status.is_serving.get() && !self.is_shutting_down.get() {
            plain(StatusCode::OK, "ready")
        } else {
            plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}
