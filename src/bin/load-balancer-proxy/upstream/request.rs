//! What goes to a backend: the same in every attempt of a request but for the time left.

use crate::headers::{CORRELATION_ID, TIME_LEFT};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::Request;
use load_balancer::Micros;
use std::cell::Cell;
use tokio::sync::Notify;

/// The time left that a backend is sent is this much less than what its client has left: an allowance for the
/// time until the request is written.
const TIME_LEFT_MARGIN: Micros = Micros(10_000);

/// A client's request as it is forwarded, shared by all of its attempts.
pub struct UpstreamRequest {
    head: Request<()>,
    body: Bytes,
    /// How long it may have waited before it was read: so much of its client's time had passed already.
    time_before_read: Micros,
    is_answered: Cell<bool>,
    answered: Notify,
}

impl UpstreamRequest {
    /// `time_before_read` is how long the request may have waited before it was read.
    pub fn new(head: Request<()>, body: Bytes, time_before_read: Micros) -> UpstreamRequest {
        UpstreamRequest {
            head,
            body,
            time_before_read,
            is_answered: Cell::new(false),
            answered: Notify::new(),
        }
    }

    /// The request has had its final answer, or its client is gone: no attempt of it is written from now on.
    pub fn mark_answered(&self) {
        self.is_answered.set(true);
        self.answered.notify_waiters();
    }

    /// The id under which all parties know the request, for the log: `-` where it is not plain text.
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

    /// The HTTP request of an attempt. `None` where a backend would be left less than a millisecond: it would
    /// drop the request, perhaps without saying so.
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

    /// The time left that a backend is sent, in milliseconds, where `time_left` remains until the deadline.
    fn remaining_millis(&self, time_left: Micros) -> u64 {
        time_left.0.saturating_sub(self.time_before_read.0).saturating_sub(TIME_LEFT_MARGIN.0) / 1000
    }
}
