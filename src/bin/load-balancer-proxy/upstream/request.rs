//! Requests as sent to backends. All attempts of a request send the same message except for the time left.

use crate::headers::{CORRELATION_ID, TIME_LEFT};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::Request;
use load_balancer::Micros;
use std::cell::Cell;
use tokio::sync::Notify;

/// Subtracted from the client's time left before it is sent to a backend, as an allowance for the time until
/// the request is written.
const TIME_LEFT_MARGIN: Micros = Micros(10_000);

/// A client's request as forwarded to backends, shared by all of its attempts.
pub struct UpstreamRequest {
    head: Request<()>,
    body: Bytes,
    /// Upper bound on the time that the request waited on its accepted connection before it was read, which
    /// already counts towards the client's time limit.
    time_before_read: Micros,
    is_answered: Cell<bool>,
    answered: Notify,
}

impl UpstreamRequest {
    /// Creates a request to forward. `time_before_read` is an upper bound on the time that it waited on its
    /// accepted connection before it was read.
    pub fn new(head: Request<()>, body: Bytes, time_before_read: Micros) -> UpstreamRequest {
        UpstreamRequest {
            head,
            body,
            time_before_read,
            is_answered: Cell::new(false),
            answered: Notify::new(),
        }
    }

    /// Records that the request has its final response or its client has disconnected. No attempt of it is
    /// written afterwards.
    pub fn mark_answered(&self) {
        self.is_answered.set(true);
        self.answered.notify_waiters();
    }

    /// Returns the correlation id header for log events, or `-` if it is missing or not visible ASCII.
    pub fn correlation_id(&self) -> &str {
        let value = self.head.headers().get(&CORRELATION_ID);
        value.and_then(|value| value.to_str().ok()).unwrap_or("-")
    }

    /// Waits until the request is marked as answered.
    pub(super) async fn wait_until_answered(&self) {
        let answered = self.answered.notified(); // before the check, so that no notification is missed
        if !self.is_answered.get() {
            answered.await;
        }
    }

    /// Builds the HTTP request of an attempt. Returns `None` if the backend would have less than a
    /// millisecond left, since it could then drop the request without a response.
    pub(super) fn to_http(&self, time_left: Micros) -> Option<Request<Full<Bytes>>> {
        let millis = self.remaining_millis(time_left);
        if millis == 0 {
            return None;
        }
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method().clone();
        *request.uri_mut() = self.head.uri().clone();
        *request.headers_mut() = self.head.headers().clone();
        request.headers_mut().insert(TIME_LEFT, HeaderValue::from(millis));
        Some(request)
    }

    /// Converts the time until the deadline to the time left that is sent to a backend, in milliseconds.
    fn remaining_millis(&self, time_left: Micros) -> u64 {
        time_left.0.saturating_sub(self.time_before_read.0).saturating_sub(TIME_LEFT_MARGIN.0) / 1000
    }
}
