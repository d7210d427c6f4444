//! Requests near their deadline, and attempts that exceed their latency objective.

use crate::support::{backends, class, config_of, host, serve, RequestOutcome};
use load_balancer::{Config, Idempotency, Outcome};

/// Guards against requests that wait past their deadline when no backend is known.
#[test]
fn requests_are_rejected_in_time_without_backends() {
    let mut host =
        host(config_of(vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)]), Vec::new());
    let ids = [host.arrive(0, 700_000), host.arrive(1, 700_000)];
    host.advance(500_000);
    assert!(ids.iter().all(|id| host.outcome_of(*id) == Some(RequestOutcome::Rejected)));
}

/// Guards against a timer that fires too late for the first request after an idle period.
#[test]
fn a_short_deadline_is_met_after_an_idle_period() {
    let mut host = host(Config::example(), Vec::new());
    host.advance(1_000_000);
    let id = host.arrive(0, 6_000);
    host.advance(20_000);
    assert_eq!(host.outcome_of(id), Some(RequestOutcome::Rejected));
}

/// Guards against stalled responses that use up the concurrency limit until their deadline.
#[test]
fn a_lost_attempt_at_a_responsive_backend_frees_its_capacity() {
    let mut host =
        host(Config { proxy_count: 1, ..config_of(vec![class(Idempotency::NonIdempotent)]) }, backends(2));
    serve(&mut host, 60, 0, |_| 10_000);
    let lost = host.burst(3, 0, 5_000_000);
    serve(&mut host, 60, 0, |_| 10_000);
    for id in lost {
        let request = &host.requests[&id];
        assert_eq!(
            request.outcome,
            Some(RequestOutcome::Failed),
            "the request was not given up although a late response has no weight"
        );
        assert_eq!(request.attempts[0].outcome, Some(Outcome::Cancelled));
    }
    let requests = host.burst(40, 0, 900_000);
    let dispatched = requests.iter().filter(|id| !host.dispatched_to(**id).is_empty()).count();
    assert!(dispatched >= 8, "only {dispatched} of 40 requests were dispatched to two idle backends");
}

/// Guards against an attempt that is given up because its backend became slower.
#[test]
fn a_late_response_of_a_degraded_backend_is_awaited() {
    let mut host =
        host(Config { proxy_count: 1, ..config_of(vec![class(Idempotency::NonIdempotent)]) }, backends(2));
    serve(&mut host, 60, 0, |_| 60_000);
    let slow = host.arrive(0, 5_000_000);
    serve(&mut host, 10, 0, |_| 60_000);
    assert_eq!(
        host.outcome_of(slow),
        None,
        "the request ended although its backend is only ten times slower than usual"
    );
    host.end_attempt(slow, 0, Outcome::Success);
    assert_eq!(host.outcome_of(slow), Some(RequestOutcome::Served));
}

/// Guards against a retry or a final response while a response is streamed to the client.
#[test]
fn a_streaming_response_does_not_time_out() {
    let mut host = host(config_of(vec![class(Idempotency::Idempotent)]), backends(2));
    let id = host.arrive(0, 300_000);
    host.start_stream(id, 0);
    host.advance(2_000_000);
    assert_eq!(host.outcome_of(id), None);
    assert_eq!(host.dispatched_to(id).len(), 1);
}
