//! Retries and hedged requests: when they are sent, and to which backends.

use crate::support::{backend, backends, class, config_of, host, serve, Host, RequestOutcome};
use load_balancer::{Action, Config, Idempotency, IdempotencyScope, Micros, Outcome, RequestId};

/// Guards against requests stuck at an unresponsive backend, and hedging of requests that are merely slow.
#[test]
fn an_unresponsive_backend_is_avoided_and_its_requests_are_hedged() {
    let mut host = host(config_of(vec![class(Idempotency::Idempotent)]), backends(6));
    serve(&mut host, 100, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let unresponsive = host.dispatched_to(id)[0];
    // Less than six times the typical latency of 10 ms, after which a backend counts as unresponsive.
    host.advance(50_000);
    assert_eq!(host.dispatched_to(id).len(), 1, "a request was hedged merely because it takes long");
    host.advance(50_000);
    let chosen = serve(&mut host, 30, 0, |_| 5_000);
    assert!(!chosen.contains(&unresponsive));
    host.advance(10_000);
    assert_eq!(host.dispatched_to(id).len(), 2, "the request at the unresponsive backend was not hedged");
    assert_ne!(host.dispatched_to(id)[1], unresponsive);
}

/// Guards against two concurrent attempts where hedging is not allowed.
#[test]
fn without_hedging_an_unresponsive_attempt_is_cancelled_before_the_retry() {
    let config = Config { hedging_allowed: false, ..config_of(vec![class(Idempotency::Idempotent)]) };
    let mut host = host(config, backends(6));
    serve(&mut host, 100, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    host.advance(150_000);
    host.advance(20_000);
    assert_eq!(host.requests[&id].attempts[0].outcome, Some(Outcome::Cancelled));
    assert_eq!(host.dispatched_to(id).len(), 2);
}

/// Guards against a duplicate execution, and a missing retry of a request that was not executed.
#[test]
fn a_non_idempotent_request_is_retried_only_if_never_executed() {
    let mut host = host(config_of(vec![class(Idempotency::NonIdempotent)]), backends(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    host.end_attempt(id, 0, Outcome::ErrorResponse);
    assert_eq!(host.outcome_of(id), Some(RequestOutcome::Failed));
    let id = host.arrive(0, 900_000);
    host.end_attempt(id, 0, Outcome::ConnectFailed);
    assert_eq!(host.dispatched_to(id).len(), 2);
}

/// Guards against a keyed retry at a backend, or at a time, that would execute the request again.
#[test]
fn a_keyed_retry_stays_in_its_zone_and_window() {
    let keyed = class(Idempotency::Keyed { scope: IdempotencyScope::Zone, window: Micros(200_000) });
    let mut host = host(config_of(vec![keyed]), (0..6).map(|id| backend(id, id % 2, 0)).collect());
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    host.end_attempt(id, 0, Outcome::ErrorResponse);
    let sent = host.dispatched_to(id);
    assert!(sent.len() == 2 && sent[0] % 2 == sent[1] % 2, "not retried once in its zone: {sent:?}");
    let id = host.arrive(0, 900_000);
    host.advance(210_000);
    let sent = host.dispatched_to(id).len();
    for number in 0..sent {
        host.end_attempt(id, number, Outcome::ErrorResponse);
    }
    assert_eq!(host.dispatched_to(id).len(), sent, "retried after the idempotency window");
    assert_eq!(host.outcome_of(id), Some(RequestOutcome::Failed));
}

/// Guards against an attempt that a stalled host writes after the end of the idempotency window.
#[test]
fn every_keyed_attempt_must_be_written_within_the_first_attempts_window() {
    let write_by = |host: &Host| {
        let write_by = |action: &Action| match action {
            Action::Dispatch { write_by, .. } => Some(*write_by),
            _ => None,
        };
        host.last_actions.iter().find_map(write_by).expect("an attempt was dispatched")
    };
    let keyed =
        |window_us| class(Idempotency::Keyed { scope: IdempotencyScope::All, window: Micros(window_us) });
    let classes = vec![keyed(400_000), keyed(0), class(Idempotency::Idempotent), keyed(150_000)];
    let mut host = host(config_of(classes), backends(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    // The end of the window less the longest assumed stall of the host.
    let end = host.now + Micros(400_000 - 150_000);
    let tick = host.config.tick;
    assert!(
        write_by(&host).is_some_and(|by| by <= end && by + tick >= end),
        "write_by of the first attempt is not within a tick before {end:?}"
    );
    host.advance(50_000);
    host.end_attempt(id, 0, Outcome::ErrorResponse);
    assert!(
        write_by(&host).is_some_and(|by| by <= end && by + tick >= end),
        "write_by of the retry is not within a tick before {end:?}"
    );
    // The windows of classes 1 and 3 are no longer than that stall and permit no retry, so the only attempt
    // may be written at any time. Class 2 has no window.
    for class in [1, 2, 3] {
        let id = host.arrive(class, 900_000);
        assert_eq!(write_by(&host), None);
        host.end_attempt(id, 0, Outcome::ErrorResponse);
        assert_eq!(
            host.dispatched_to(id).len() > 1,
            class == 2,
            "class {class}: only the idempotent class 2 may be retried"
        );
    }
}

/// Guards against hedging of requests that an ejected backend may still serve.
#[test]
fn requests_in_flight_at_an_ejected_backend_are_not_hedged() {
    let mut host =
        host(Config { proxy_count: 1, ..config_of(vec![class(Idempotency::Idempotent)]) }, backends(2));
    serve(&mut host, 60, 0, |_| 10_000);
    let requests = host.burst(8, 0, 900_000);
    let in_flight_at = |host: &Host, backend: u32| -> Vec<RequestId> {
        requests.iter().copied().filter(|id| host.dispatched_to(*id) == [backend]).collect()
    };
    let in_flight = in_flight_at(&host, 0);
    assert!(in_flight.len() >= 3, "only {} of eight attempts at one of two backends", in_flight.len());
    host.advance(5_000);
    for id in &in_flight[..2] {
        host.end_attempt(*id, 0, Outcome::ConnectionReset);
    }
    assert!(host.has_ejected_any(), "two connection resets in a row did not eject the backend");
    // Frees capacity for hedged requests.
    for id in in_flight_at(&host, 1) {
        host.end_attempt(id, 0, Outcome::Success);
    }
    host.advance(20_000);
    assert_eq!(
        host.dispatched_to(in_flight[2]),
        [0],
        "a request that the ejected backend may still serve was hedged"
    );
}
