//! Invariants, which the host checks at every action and, for deadlines, at every tick.

use super::tracked_request::{Attempt, TrackedRequest};
use load_balancer::{Backend, BackendState, Config, Idempotency, IdempotencyScope, Micros, RequestId, Time};
use std::collections::BTreeMap;

/// Time after its deadline within which a request must have its final response.
const RESPONSE_SLACK: Micros = Micros(16_000);

/// Panics unless an attempt of the request may be dispatched to this backend now.
pub fn check_dispatch(config: &Config, request: &TrackedRequest, backend: &Backend, now: Time) {
    assert!(request.outcome.is_none(), "an attempt was dispatched after the final response");
    assert_eq!(
        backend.state,
        BackendState::Ready,
        "an attempt was dispatched to a backend that is draining or removed"
    );
    assert!(request.attempts.len() < request.max_attempts as usize, "more attempts than max_attempts");
    assert!(
        config.hedging_allowed || request.attempts.iter().all(|attempt| attempt.outcome.is_some()),
        "two attempts in flight where hedging is not allowed"
    );
    for earlier in request.attempts.iter().filter(|attempt| attempt.may_have_executed()) {
        check_retry(request.class_on_arrival.idempotency, earlier, backend, now);
    }
}

/// Panics unless a retry may be dispatched after `earlier`, an attempt that may have been executed.
fn check_retry(idempotency: Idempotency, earlier: &Attempt, backend: &Backend, now: Time) {
    match idempotency {
        Idempotency::Idempotent => {}
        Idempotency::NonIdempotent => {
            panic!("a non-idempotent request was retried after it may have been executed")
        }
        Idempotency::Keyed { scope, window } => {
            assert!(
                now <= earlier.dispatched_at + window,
                "a keyed retry was dispatched after the idempotency window"
            );
            let is_in_scope = match scope {
                IdempotencyScope::All => true,
                IdempotencyScope::Zone => earlier.zone == backend.zone,
                IdempotencyScope::Cell => earlier.cell == backend.cell,
            };
            assert!(is_in_scope, "a keyed retry was dispatched outside the idempotency scope");
        }
    }
}

/// Panics if a request is rejected although it may have been executed and a client retry is not safe.
pub fn check_rejection(request: &TrackedRequest) {
    let may_have_executed = request.attempts.iter().any(Attempt::may_have_executed);
    let is_retry_safe = matches!(
        request.class_on_arrival.idempotency,
        Idempotency::Idempotent | Idempotency::Keyed { scope: IdempotencyScope::All, .. }
    );
    assert!(is_retry_safe || !may_have_executed, "a request that may have been executed was rejected");
}

/// Panics unless the attempt may be cancelled.
pub fn check_cancellation(config: &Config, request: &TrackedRequest, attempt: usize) {
    assert!(config.can_cancel, "an attempt was cancelled where can_cancel is false");
    assert!(attempt < request.attempts.len(), "an attempt that was never dispatched was cancelled");
}

/// Panics if a request is pending past its deadline.
pub fn check_deadlines(requests: &BTreeMap<RequestId, TrackedRequest>, now: Time) {
    for (id, request) in requests {
        let is_pending = request.outcome.is_none() && !request.is_streaming;
        assert!(
            !is_pending || now < request.deadline + RESPONSE_SLACK,
            "{id:?} has no final response {RESPONSE_SLACK:?} after its deadline"
        );
    }
}
