//! Errors of requests that are answered without involving the dispatcher.

use super::responses::{plain, ServerResponse};
use hyper::StatusCode;
use thiserror::Error;

/// Why a request is invalid; the message is the body of the response.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub(super) enum RequestError {
    /// The class header is missing or not plain text.
    #[error("expected X-Service-Class")]
    MissingClass,
    /// The settings do not define the class.
    #[error("X-Service-Class: unknown class")]
    UnknownClass,
    /// The first segment of the path is not the class.
    #[error("expected the class as the first part of the path")]
    PathClassMismatch,
    /// The method, body or idempotency key is not allowed for the class.
    #[error("the method, the body or Idempotency-Key does not fit the class")]
    NotAllowedForClass,
    /// The correlation id is missing.
    #[error("expected X-Correlation-Id")]
    MissingCorrelationId,
    /// The tenant header is missing or not plain text, and the settings define tenants.
    #[error("expected X-Account")]
    MissingTenant,
    /// The settings do not define the tenant.
    #[error("X-Account: unknown tenant")]
    UnknownTenant,
    /// The remaining time is missing.
    #[error("expected X-Time-Left-Ms")]
    MissingTimeLeft,
    /// A numeric header is not a whole number.
    #[error("expected a whole number in X-Time-Left-Ms and X-Weight-Hint")]
    InvalidNumber,
    /// The body is longer than [`MAX_BODY_BYTES`](crate::headers::MAX_BODY_BYTES).
    #[error("the body is over 64 KiB")]
    BodyTooLarge,
    /// The body is malformed or truncated.
    #[error("the body is broken")]
    InvalidBody,
    /// The body was not complete before its deadline, or before the connection was closed at capacity or
    /// during shutdown.
    #[error("the body did not come in time")]
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
