//! One exchange with a backend: sends the request, reads the complete response and classifies it.

use super::attempt::UpstreamResult;
use crate::headers::{remove_hop_by_hop, UNPROCESSED};
use crate::memory::BodyBudget;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use load_balancer::net::body::BodyError;
use load_balancer::Outcome;
use std::error::Error;
use std::io;

/// Error of an exchange that did not yield a valid response.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    /// The connection failed or was closed before the response was complete.
    #[error("connection failed before the response was complete")]
    ConnectionBroken,
    /// The backend sent an invalid response or one with a body over the size limit.
    #[error("malformed response")]
    MalformedResponse,
}

impl From<hyper::Error> for ExchangeError {
    fn from(error: hyper::Error) -> ExchangeError {
        if error.is_parse() {
            ExchangeError::MalformedResponse
        } else {
            ExchangeError::ConnectionBroken
        }
    }
}

impl From<BodyError> for ExchangeError {
    fn from(error: BodyError) -> ExchangeError {
        match error {
            BodyError::Connection(error) if !has_invalid_framing(&error) => ExchangeError::ConnectionBroken,
            BodyError::Connection(_) | BodyError::TooLarge { .. } => ExchangeError::MalformedResponse,
        }
    }
}

/// Returns whether an error of reading a body was caused by its framing.
fn has_invalid_framing(error: &hyper::Error) -> bool {
    let causes = std::iter::successors(error.source(), |cause| (*cause).source());
    let mut kinds = causes.filter_map(|cause| cause.downcast_ref::<io::Error>()).map(io::Error::kind);
    kinds.any(|kind| matches!(kind, io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput))
}

/// Sends the request and reads the complete response, so that a truncated response never reaches the client.
pub(super) async fn send_and_read(
    sender: &mut SendRequest<Full<Bytes>>, request: Request<Full<Bytes>>, bodies: &BodyBudget,
) -> Result<UpstreamResult, ExchangeError> {
    let (head, body) = sender.send_request(request).await?.into_parts();
    let body = bodies.reserve(&body).await.read(body).await?;
    classify(head, body)
}

/// Returns the result of an attempt that received a complete response.
fn classify(mut head: Parts, body: Bytes) -> Result<UpstreamResult, ExchangeError> {
    match head.status {
        StatusCode::OK if !is_body_decoded(&head.headers) => Err(ExchangeError::MalformedResponse),
        StatusCode::OK => {
            remove_hop_by_hop(&mut head.headers);
            Ok(UpstreamResult::served(Response::from_parts(head, body)))
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_unprocessed(&head.headers) => {
            Ok(Outcome::Rejected.into())
        }
        _ => Ok(Outcome::ErrorResponse.into()),
    }
}

/// Returns whether hyper has decoded the body. It supports no transfer coding other than chunked.
fn is_body_decoded(headers: &HeaderMap) -> bool {
    let is_chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    headers.get_all(TRANSFER_ENCODING).iter().all(is_chunked)
}

/// Returns whether the backend states that it did not execute the request.
fn is_unprocessed(headers: &HeaderMap) -> bool {
    headers.get(&UNPROCESSED).is_some_and(|value| value.as_bytes() == b"1")
}
