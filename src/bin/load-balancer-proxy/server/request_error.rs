//! Errors of requests that are answered without involving the dispatcher.

use super::responses::{plain, ServerResponse};
use hyper::StatusCode;
use thiserror::Error;

/// Why a request is invalid; the message is the body of the response.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub(super) enum RequestError {
    /// The class header is missing or not plain text.
    #[error("missing or invalid header X-Service-Class")]
    MissingClass,
    /// The settings do not define the class.
    #[error("X-Service-Class: unknown class")]
    UnknownClass,
    /// The first segment of the path is not the class.
    #[error("the first path segment must be the class in X-Service-Class")]
    PathClassMismatch,
    /// The method, body or idempotency key is not allowed for the class.
    #[error("method, body or Idempotency-Key not allowed for this class")]
    NotAllowedForClass,
    /// The correlation id is missing.
    #[error("missing header X-Correlation-Id")]
    MissingCorrelationId,
    /// The tenant header is missing or not plain text, and the settings define tenants.
    #[error("missing or invalid header X-Account")]
    MissingTenant,
    /// The settings do not define the tenant.
    #[error("X-Account: unknown tenant")]
    UnknownTenant,
    /// The remaining time is missing.
    #[error("missing header X-Time-Left-Ms")]
    MissingTimeLeft,
    /// A numeric header is not a whole number.
    #[error("X-Time-Left-Ms and X-Weight-Hint must be whole numbers")]
    InvalidNumber,
    /// The body is longer than [`MAX_BODY_BYTES`](crate::headers::MAX_BODY_BYTES).
    #[error("request body exceeds 64 KiB")]
    BodyTooLarge,
    /// The body is malformed or truncated.
    #[error("request body malformed or truncated")]
    InvalidBody,
    /// The body was not complete before its deadline, or before the connection was closed at capacity or
    /// during shutdown.
    #[error("request body not received in time")]
    BodyIncomplete,
}

impl RequestError {
    /// Returns the response to the client.
    pub fn response(self) -> ServerResponse {
        let status = match self {
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::BAD_REQUEST,
        };
        plain(status, self.to_string())
    }
}
