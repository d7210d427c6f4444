//! The rules that every action has to keep.

use super::tracked_request::{Attempt, TrackedRequest};
use load_balancer::{Backend, BackendState, Config, Idempotency, IdempotencyScope, Micros, RequestId, Time};
use std::collections::BTreeMap;

/// A request has its final answer so long after its deadline.
const ANSWER_SLACK: Micros = Micros(16_000);

/// Panics unless an attempt may be dispatched to this backend now.
pub fn check_dispatch(config: &Config, request: &TrackedRequest, backend: &Backend, now: Time) {
    assert!(request.answer.is_none(), "sent after the final answer");
    assert_eq!(backend.state, BackendState::Ready, "sent to a backend that drains or is gone");
    assert!(request.attempts.len() < request.max_attempts as usize, "too many attempts");
    assert!(
        config.hedging_allowed || request.attempts.iter().all(|attempt| attempt.outcome.is_some()),
        "two at once"
    );
    for earlier in request.attempts.iter().filter(|attempt| attempt.may_have_run()) {
        check_retry(request.class_on_arrival.idempotency, earlier, backend, now);
    }
}

/// Panics unless a retry may be dispatched after this attempt, which may have been executed.
fn check_retry(idempotency: Idempotency, earlier: &Attempt, backend: &Backend, now: Time) {
    match idempotency {
        Idempotency::Idempotent => {}
        Idempotency::NonIdempotent => panic!("an unsafe request was sent twice"),
        Idempotency::Keyed { scope, window } => {
            assert!(now <= earlier.at + window, "a key was repeated after its window");
            let is_in_scope = match scope {
                IdempotencyScope::All => true,
                IdempotencyScope::Zone => earlier.zone == backend.zone,
                IdempotencyScope::Cell => earlier.cell == backend.cell,
            };
            assert!(is_in_scope, "a key was repeated outside its scope");
        }
    }
}

/// Panics if a request that may have been executed is rejected though a client retry may do harm.
pub fn check_rejection(request: &TrackedRequest) {
    let may_have_run = request.attempts.iter().any(Attempt::may_have_run);
    let is_retry_harmless = matches!(
        request.class_on_arrival.idempotency,
        Idempotency::Idempotent | Idempotency::Keyed { scope: IdempotencyScope::All, .. }
    );
    assert!(is_retry_harmless || !may_have_run, "rejected what may have run");
}

/// Panics unless the attempt may be cancelled.
pub fn check_cancellation(config: &Config, request: &TrackedRequest, attempt: usize) {
    assert!(config.can_cancel, "cancel is not allowed");
    assert!(attempt < request.attempts.len(), "cancelled what was never sent");
}

/// Panics if a request waits for its answer past its deadline.
pub fn check_deadlines(requests: &BTreeMap<RequestId, TrackedRequest>, now: Time) {
    for (id, request) in requests {
        let is_waiting = request.answer.is_none() && !request.is_streaming;
        assert!(!is_waiting || now < request.deadline + ANSWER_SLACK, "no answer in time for {id:?}");
    }
}
