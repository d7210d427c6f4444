//! Attempts of a simulated proxy: dispatch to the in-memory backends, and completion.

use super::Proxy;
use crate::backends::BackendResponse;
use load_balancer::{AttemptNumber, AttemptResult, BackendId, Event, Micros, Outcome, RequestId, Time};
use std::cmp::Reverse;
use std::time::Instant;

/// Latency of an attempt that the backend rejects.
const REJECTION_TIME: Micros = Micros(1_000);

/// The scheduled end of an attempt in flight, ordered by time, then by request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptEnd {
    pub due_at: Time,
    request: RequestId,
    attempt: AttemptNumber,
    response: ResponseKind,
    /// Time that the backend takes to respond; [`REJECTION_TIME`] for a rejection.
    service_time: Micros,
}

/// Kind of a backend's response.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ResponseKind {
    Rejected,
    Served,
}

impl Proxy {
    pub(super) fn dispatch(&mut self, now: Time, request: RequestId, backend: BackendId) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        let attempt = AttemptNumber(open.attempt_count);
        open.attempt_count += 1;
        let can_be_sent =
            !open.has_final_response && open.deadline > now && self.ready_backends.contains(&backend);
        let backend_number = self.context.backend_numbers.get(&backend).filter(|_| can_be_sent);
        let Some(backend_number) = backend_number else {
            return self.attempt_ended(request, attempt, Outcome::NotSent, Micros(0));
        };
        open.in_flight.insert(attempt, now);
        self.context.counters.lock().attempts += 1;
        let response = self.context.backends.request_arrived(*backend_number, Instant::now());
        let (response, service_time) = match response {
            BackendResponse::Served(time) => (ResponseKind::Served, Micros(time.as_micros() as u64)),
            BackendResponse::Rejected => (ResponseKind::Rejected, REJECTION_TIME),
        };
        let due_at = now + service_time;
        self.attempt_ends.push(Reverse(AttemptEnd { due_at, request, attempt, response, service_time }));
    }

    /// Ends all attempts whose responses are due.
    pub(super) fn end_due_attempts(&mut self, now: Time) {
        while let Some(end) = self.take_due_end(now) {
            self.backend_responded(now, end);
        }
    }

    fn take_due_end(&mut self, now: Time) -> Option<AttemptEnd> {
        let Reverse(next) = self.attempt_ends.peek()?;
        if next.due_at > now {
            return None;
        }
        self.attempt_ends.pop().map(|Reverse(end)| end)
    }

    fn backend_responded(&mut self, now: Time, end: AttemptEnd) {
        let Some(open) = self.requests.get_mut(&end.request) else { return };
        let Some(dispatched_at) = open.in_flight.remove(&end.attempt) else { return };
        let outcome = match end.response {
            ResponseKind::Served => Outcome::Success,
            ResponseKind::Rejected => Outcome::Rejected,
        };
        if outcome == Outcome::Success && !open.has_final_response {
            open.has_final_response = true;
            let latency = now - open.arrived_at;
            let mut counters = self.context.counters.lock();
            counters.served += 1;
            counters.added_latency.record_us(latency.0.saturating_sub(end.service_time.0));
        }
        self.attempt_ended(end.request, end.attempt, outcome, now - dispatched_at);
    }

    pub(super) fn cancel_attempt(&mut self, now: Time, request: RequestId, attempt: AttemptNumber) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        let Some(dispatched_at) = open.in_flight.remove(&attempt) else { return };
        self.attempt_ended(request, attempt, Outcome::Cancelled, now - dispatched_at);
    }

    /// Queues the end of an attempt as an event for the next tick.
    pub(super) fn attempt_ended(
        &mut self, request: RequestId, attempt: AttemptNumber, outcome: Outcome, latency: Micros,
    ) {
        let final_response_sent = self.requests.get(&request).is_none_or(|open| open.has_final_response);
        self.events.push(Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            outcome,
            latency,
            final_response_sent,
        }));
    }
}
