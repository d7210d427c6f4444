//! Notifies the dispatcher when a client disconnects before its request is answered.

use super::Server;
use crate::messages::DispatcherMessage;
use crate::upstream::UpstreamRequest;
use load_balancer::{RequestId, Time};
use std::fmt;
use std::rc::Rc;

/// How a request that the dispatcher knows of ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RequestOutcome {
    /// It has the answer of a backend.
    Served,
    /// It was answered that it had no effect.
    Rejected,
    /// It was answered without a promise about its effect.
    Failed,
    /// The client closed its connection first.
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

/// Guards a request that the dispatcher knows of: dropped before it is completed, its client has
/// disconnected.
pub(super) struct AbandonmentGuard<'a> {
    server: &'a Server,
    id: RequestId,
    upstream_request: Rc<UpstreamRequest>,
    received_at: Time,
    is_answered: bool,
}

impl<'a> AbandonmentGuard<'a> {
    /// Guards a request whose head was read at `received_at`.
    pub fn new(
        server: &'a Server, id: RequestId, upstream_request: Rc<UpstreamRequest>, received_at: Time,
    ) -> AbandonmentGuard<'a> {
        AbandonmentGuard { server, id, upstream_request, received_at, is_answered: false }
    }

    /// The request has its final answer.
    pub fn complete(mut self, outcome: RequestOutcome) {
        self.is_answered = true;
        self.log_end(outcome);
    }

    /// The last log event of a request.
    fn log_end(&self, outcome: RequestOutcome) {
        tracing::debug!(
            %outcome,
            request = self.id.0,
            correlation_id = %self.upstream_request.correlation_id(),
            latency_us = (self.server.clock.now() - self.received_at).0,
            "request ended"
        );
    }
}

impl Drop for AbandonmentGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.log_end(RequestOutcome::ClientDisconnected);
            self.server.notify_dispatcher(DispatcherMessage::ClientDisconnected(self.id));
        }
    }
}
