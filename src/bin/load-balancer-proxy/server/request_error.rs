//! Why a request is answered with an error before the dispatcher sees it.

use super::responses::{plain, ServerResponse};
use hyper::StatusCode;
use thiserror::Error;

/// An invalid request; the text is the body of the response.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub(super) enum RequestError {
    /// It names no class.
    #[error("expected X-Service-Class")]
    MissingClass,
    /// It names a class that the settings do not have.
    #[error("X-Service-Class: unknown class")]
    UnknownClass,
    /// Its path belongs to another class.
    #[error("expected the class as the first part of the path")]
    PathOfOtherClass,
    /// Its method, body or idempotency key contradicts the class.
    #[error("the method, the body or Idempotency-Key does not fit the class")]
    UnfitForClass,
    /// It has no correlation id.
    #[error("expected X-Correlation-Id")]
    MissingCorrelationId,
    /// It names no tenant where the settings have tenants.
    #[error("expected X-Account")]
    MissingTenant,
    /// It names a tenant that the settings do not have.
    #[error("X-Account: unknown tenant")]
    UnknownTenant,
    /// It does not say how much time is left.
    #[error("expected X-Time-Left-Ms")]
    MissingTimeLeft,
    /// A header that has to hold a number holds something else.
    #[error("expected a whole number in X-Time-Left-Ms and X-Weight-Hint")]
    InvalidNumber,
    /// Its body is longer than [`MAX_BODY_BYTES`](crate::headers::MAX_BODY_BYTES).
    #[error("the body is over 64 KiB")]
    BodyTooLarge,
    /// Its body is malformed or was cut off.
    #[error("the body is broken")]
    InvalidBody,
    /// Its body was not complete in time, or before the connection had to close at capacity or at the
    /// shutdown.
    #[error("the body did not come in time")]
    BodyIncomplete,
}

impl RequestError {
    /// The response to the client.
    pub fn response(self) -> ServerResponse {
        let status = match self {
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::BAD_REQUEST,
        };
        plain(status, self.to_string())
    }
}
