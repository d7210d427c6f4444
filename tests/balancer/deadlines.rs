//! Requests at the end of their time, and attempts that outlast their latency objective.

use crate::support::{backends, class, config_of, host, serve, Answer};
use load_balancer::{Config, Idempotency, Outcome};

/// Guards against requests that wait past their deadline where no backend is known.
#[test]
fn an_empty_fleet_rejects_in_time() {
    let mut host =
        host(config_of(vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)]), Vec::new());
    let ids = [host.arrive(0, 700_000), host.arrive(1, 700_000)];
    host.advance(500_000);
    assert!(ids.iter().all(|id| host.answer(*id) == Some(Answer::Rejected)));
}

/// Guards against a timer that fires too late for the first request after a time without any.
#[test]
fn a_short_request_after_idleness_is_answered_in_time() {
    let mut host = host(Config::example(), Vec::new());
    host.advance(1_000_000);
    let id = host.arrive(0, 6_000);
    host.advance(20_000);
    assert_eq!(host.answer(id), Some(Answer::Rejected));
}

/// Guards against stalled responses that fill the concurrency limit up to their deadline.
#[test]
fn a_lost_attempt_at_a_responsive_backend_frees_its_capacity() {
    let mut host =
        host(Config { proxy_count: 1, ..config_of(vec![class(Idempotency::NonIdempotent)]) }, backends(2));
    serve(&mut host, 60, 0, |_| 10_000);
    let stuck = host.burst(3, 0, 5_000_000);
    serve(&mut host, 60, 0, |_| 10_000);
    for id in stuck {
        let request = &host.requests[&id];
        assert_eq!(request.answer, Some(Answer::Failed), "a late answer earns nothing: given up at once");
        assert_eq!(request.attempts[0].outcome, Some(Outcome::Cancelled));
    }
    let requests = host.burst(40, 0, 900_000);
    let dispatched = requests.iter().filter(|id| !host.dispatched_to(**id).is_empty()).count();
    assert!(dispatched >= 8, "room for {dispatched} on two backends that hold nothing else");
}

/// Guards against an attempt that is given up because its backend became slower.
#[test]
fn a_late_answer_of_a_slowed_backend_is_waited_for() {
    let mut host =
        host(Config { proxy_count: 1, ..config_of(vec![class(Idempotency::NonIdempotent)]) }, backends(2));
    serve(&mut host, 60, 0, |_| 60_000);
    let slow = host.arrive(0, 5_000_000);
    serve(&mut host, 10, 0, |_| 60_000);
    assert_eq!(host.answer(slow), None, "ten times slower than usual");
    host.end(slow, 0, Outcome::Success);
    assert_eq!(host.answer(slow), Some(Answer::Served));
}

/// Guards against a retry or an answer while a response is on its way to the client.
#[test]
fn a_streaming_answer_is_not_timed_out() {
    let mut host = host(config_of(vec![class(Idempotency::Idempotent)]), backends(2));
    let id = host.arrive(0, 300_000);
    host.start_stream(id, 0);
    host.advance(2_000_000);
    assert_eq!(host.answer(id), None);
    assert_eq!(host.dispatched_to(id).len(), 1);
}
