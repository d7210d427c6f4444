//! Log events of the dispatcher.

use crate::upstream::{Upstream, UpstreamRequest};
use load_balancer::{AttemptNumber, AttemptResult, LogEvent, RequestId};

/// Logs that an attempt was dispatched to a backend.
pub(super) fn attempt_dispatched(
    request: &UpstreamRequest, id: RequestId, attempt: AttemptNumber, upstream: &Upstream,
) {
    tracing::debug!(
        attempt = attempt.0,
        request = id.0,
        correlation_id = %request.correlation_id(),
        backend = upstream.endpoint.backend.id.0,
        address = %upstream.endpoint.address,
        "attempt dispatched"
    );
}

/// Logs the result of an attempt.
pub(super) fn attempt_ended(request: &UpstreamRequest, result: &AttemptResult) {
    tracing::debug!(
        attempt = result.attempt.0,
        request = result.request.0,
        correlation_id = %request.correlation_id(),
        outcome = ?result.outcome,
        latency_us = result.latency.0,
        "attempt ended"
    );
}

/// Logs an event that the balancer reports to operators.
pub(super) fn balancer_event(event: &LogEvent) {
    match event {
        LogEvent::SubscriptionLost => tracing::info!("subscription lost, resubscribing"),
        LogEvent::BackendEjected { backend, outcome } => {
            tracing::info!(backend = backend.0, ?outcome, "backend ejected");
        }
        LogEvent::ConfigRejected(error) => tracing::info!(%error, "configuration rejected"),
    }
}
