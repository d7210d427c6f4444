//! One exchange with a backend: the request is sent, the response read to its end and judged.

use super::attempt::UpstreamResult;
use crate::headers::{remove_hop_by_hop, MAX_BODY_BYTES, UNPROCESSED};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use load_balancer::Outcome;
use std::error::Error;
use std::io;

/// Why an exchange brought no response.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    /// The connection broke or ended.
    #[error("the connection broke")]
    ConnectionBroken,
    /// The backend sent something that is not a response.
    #[error("the response is malformed")]
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

impl ExchangeError {
    /// Why a body could not be read: it is too long or badly framed, or it was cut off.
    fn from_body_error(error: &(dyn Error + 'static)) -> ExchangeError {
        let mut causes = std::iter::successors(Some(error), |error| (*error).source());
        if causes.any(is_malformed_body) {
            ExchangeError::MalformedResponse
        } else {
            ExchangeError::ConnectionBroken
        }
    }
}

fn is_malformed_body(cause: &(dyn Error + 'static)) -> bool {
    let kind = cause.downcast_ref::<io::Error>().map(io::Error::kind);
    let is_badly_framed = matches!(kind, Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput));
    is_badly_framed || cause.is::<LengthLimitError>()
}

/// Sends the request and reads the response to its end: a truncated one must not reach the client.
pub(super) async fn send_and_read(
    sender: &mut SendRequest<Full<Bytes>>, request: Request<Full<Bytes>>,
) -> Result<UpstreamResult, ExchangeError> {
    let (head, body) = sender.send_request(request).await?.into_parts();
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = collected.map_err(|error| ExchangeError::from_body_error(&*error))?;
    classify(head, body.to_bytes())
}

/// The result that a complete response stands for.
fn classify(mut head: Parts, body: Bytes) -> Result<UpstreamResult, ExchangeError> {
    match head.status {
        StatusCode::OK if !is_readable(&head.headers) => Err(ExchangeError::MalformedResponse),
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

/// Whether the body was decoded: hyper decodes no transfer coding but chunked.
fn is_readable(headers: &HeaderMap) -> bool {
    let is_chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    headers.get_all(TRANSFER_ENCODING).iter().all(is_chunked)
}

/// Whether the backend says that it did not execute the request.
fn is_unprocessed(headers: &HeaderMap) -> bool {
    headers.get(&UNPROCESSED).is_some_and(|value| value.as_bytes() == b"1")
}
