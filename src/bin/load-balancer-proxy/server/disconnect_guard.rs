//! Notifies the dispatcher when a client disconnects before its request is answered.

use super::Server;
use crate::messages::DispatcherMessage;
use crate::upstream::UpstreamRequest;
use load_balancer::{RequestId, Time};
use std::fmt;
use std::rc::Rc;

/// How a request that was sent to the dispatcher ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RequestOutcome {
    /// The client received the response of a backend.
    Served,
    /// The client was told that it may safely retry the request.
    Rejected,
    /// The client was told that the request failed; it may or may not have been executed.
    Failed,
    /// The client closed its connection before the request was answered.
    ClientDisconnected,
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            RequestOutcome::Served => "served",
            RequestOutcome::Rejected => "rejected",
            RequestOutcome::Failed => "failed",
            RequestOutcome::ClientDisconnected => "client_disconnected",
        })
    }
}

/// Notifies the dispatcher that the client has disconnected if it is dropped before [`complete`] is called.
///
/// [`complete`]: DisconnectGuard::complete
pub(super) struct DisconnectGuard<'a> {
    server: &'a Server,
    id: RequestId,
    upstream_request: Rc<UpstreamRequest>,
    arrived_at: Time,
    is_answered: bool,
}

impl<'a> DisconnectGuard<'a> {
    /// Creates a guard for a request that was sent at `arrived_at` at the earliest.
    pub fn new(
        server: &'a Server, id: RequestId, upstream_request: Rc<UpstreamRequest>, arrived_at: Time,
    ) -> DisconnectGuard<'a> {
        DisconnectGuard { server, id, upstream_request, arrived_at, is_answered: false }
    }

    /// Logs the outcome of an answered request and disarms the guard.
    pub fn complete(mut self, outcome: RequestOutcome) {
        self.is_answered = true;
        self.log_end(outcome);
    }

    /// Logs the last event of the request.
    fn log_end(&self, outcome: RequestOutcome) {
        tracing::debug!(
            %outcome,
            request = self.id.0,
            correlation_id = %self.upstream_request.correlation_id(),
            latency_us = (self.server.clock.now() - self.arrived_at).0,
            "request ended"
        );
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.log_end(RequestOutcome::ClientDisconnected);
            self.server.notify_dispatcher(DispatcherMessage::ClientDisconnected(self.id));
        }
    }
}
