//! Handles one request: answers readiness probes, parses the head, reads the body, sends the request to the
//! dispatcher and returns the response.

use super::capacity;
use super::client_connection::ClientConnection;
use super::disconnect_guard::{DisconnectGuard, RequestOutcome};
use super::readiness::is_readiness_probe;
use super::request_error::RequestError;
use super::request_parsing::ParsedRequest;
use super::responses::{self, ServerResponse};
use super::Server;
use crate::headers::remove_hop_by_hop;
use crate::messages::{DispatcherMessage, FinalResponse, ReceivedRequest};
use crate::upstream::UpstreamRequest;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::http::request::Parts;
use hyper::Request;
use load_balancer::{Micros, RequestId, Time};
use std::convert::Infallible;
use std::rc::Rc;
use tokio::sync::oneshot;

/// If a request may have waited this long before it was read, its socket is read again at once, because no
/// attempt may begin later than 0.1 s after its client has left.
const MAX_UNCHECKED_WAIT: Micros = Micros(50_000);

/// A valid request that was read completely.
struct CompleteRequest {
    /// Earliest time at which the request may have been sent: its connection may have waited in the listen
    /// queue before it was accepted.
    arrived_at: Time,
    /// How long the request may have waited after the accept until it was read, for example during a stall.
    time_before_read: Micros,
    parsed: ParsedRequest,
    head: Parts,
    body: Bytes,
}

impl Server {
    /// Answers one request on a client connection.
    pub(super) async fn handle_request(
        &self, request: Request<Incoming>, client: &ClientConnection,
    ) -> Result<ServerResponse, Infallible> {
        client.begin_request();
        let mut response = self.respond(request, client).await;
        client.end_request();
        if self.is_shutting_down.get() || client.close_mode().is_some() || self.is_at_capacity() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    async fn respond(&self, request: Request<Incoming>, client: &ClientConnection) -> ServerResponse {
        if is_readiness_probe(&request) {
            return self.readiness();
        }
        match self.read_request(request, client).await {
            Ok(request) => self.forward(request, client).await,
            Err(error) => error.response(),
        }
    }

    /// Parses the head of a request and reads its body.
    async fn read_request(
        &self, request: Request<Incoming>, client: &ClientConnection,
    ) -> Result<CompleteRequest, RequestError> {
        let arrived_at = self.clock.now().saturating_sub(client.accept_delay());
        let time_before_read = self.stall_detector.unobserved_time();
        let (head, body) = request.into_parts();
        let mut parsed = ParsedRequest::parse(&self.settings.borrow(), &head, body.size_hint().exact())?;
        let deadline = client.request_read_deadline().min(arrived_at + parsed.time_left);
        let body = self.read_body(body, client, deadline).await?;
        // If the settings were reloaded while the body was read, the request is parsed again: the settings
        // that are current at its last byte apply.
        if parsed.settings_version != self.settings.borrow().version {
            parsed = ParsedRequest::parse(&self.settings.borrow(), &head, Some(body.len() as u64))?;
        }
        Ok(CompleteRequest { arrived_at, time_before_read, parsed, head, body })
    }

    /// Sends a request to the dispatcher and waits for the final response.
    async fn forward(&self, request: CompleteRequest, client: &ClientConnection) -> ServerResponse {
        let CompleteRequest { arrived_at, time_before_read, parsed, head, body } = request;
        let waited = Micros(client.accept_delay().0 + time_before_read.0);
        let upstream_request = Rc::new(UpstreamRequest::new(upstream_head(head), body, time_before_read));
        let id = RequestId(self.next_id());
        let guard = DisconnectGuard::new(self, id, upstream_request.clone(), arrived_at);
        tracing::debug!(
            request = id.0,
            correlation_id = %upstream_request.correlation_id(),
            time_left_us = parsed.time_left.0,
            queue_time_us = client.accept_delay().0,
            "request received"
        );
        if self.has_max_pending_requests() {
            return complete(guard, FinalResponse::Rejected { retry_after: capacity::RETRY_AFTER });
        }
        let (sender, response) = oneshot::channel();
        self.notify_dispatcher(DispatcherMessage::RequestReceived(ReceivedRequest {
            id,
            class: parsed.class,
            tenant: parsed.tenant,
            deadline: arrived_at + Micros(parsed.time_left.0.saturating_sub(parsed.margin.0)),
            expected_work: parsed.expected_work,
            is_client_retry: parsed.is_client_retry,
            upstream_request,
            response_sender: sender,
        }));
        client.set_awaiting_response(true);
        client.set_disconnect_unchecked(waited >= MAX_UNCHECKED_WAIT);
        let response = response.await;
        client.set_awaiting_response(false);
        // The sender is dropped if the dispatcher has ended, for example by a panic; every request fails
        // then.
        complete(guard, response.unwrap_or(FinalResponse::Failed))
    }
}

/// Returns the head that is sent to backends.
fn upstream_head(mut head: Parts) -> Request<()> {
    remove_hop_by_hop(&mut head.headers);
    let mut upstream_head = Request::new(());
    *upstream_head.method_mut() = head.method;
    *upstream_head.uri_mut() = head.uri.path_and_query().map(|path| path.clone().into()).unwrap_or_default();
    *upstream_head.headers_mut() = head.headers;
    upstream_head
}

/// Logs the outcome and converts the final response to an HTTP response.
fn complete(guard: DisconnectGuard, response: FinalResponse) -> ServerResponse {
    match response {
        FinalResponse::Served(response) => {
            guard.complete(RequestOutcome::Served);
            response.map(Full::new)
        }
        FinalResponse::Rejected { retry_after } => {
            guard.complete(RequestOutcome::Rejected);
            responses::rejected(retry_after)
        }
        FinalResponse::Failed => {
            guard.complete(RequestOutcome::Failed);
            responses::failed()
        }
    }
}
