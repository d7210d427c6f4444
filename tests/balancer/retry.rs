//! Retries and hedged requests: which are sent, where, and until when.

use crate::support::{backend, backends, class, config_of, host, serve, Answer, Host};
use load_balancer::{Action, Config, Idempotency, IdempotencyScope, Micros, Outcome, RequestId};

/// Guards against requests lost on an unresponsive backend, and hedged requests for merely slow ones.
#[test]
fn an_unresponsive_backend_gets_nothing_new_and_its_requests_are_hedged() {
    let mut host = host(config_of(vec![class(Idempotency::Idempotent)]), backends(6));
    serve(&mut host, 100, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let unresponsive = host.dispatched_to(id)[0];
    host.advance(50_000);
    assert_eq!(
        host.dispatched_to(id).len(),
        1,
        "a hedged request for merely much work: such hedging overloads every backend"
    );
    host.advance(50_000);
    let chosen = serve(&mut host, 30, 0, |_| 5_000);
    assert!(!chosen.contains(&unresponsive));
    host.advance(10_000);
    assert_eq!(host.dispatched_to(id).len(), 2, "no hedged request was sent");
    assert_ne!(host.dispatched_to(id)[1], unresponsive);
}

/// Guards against two attempts at once where hedging is not allowed.
#[test]
fn where_hedging_is_not_allowed_the_lost_attempt_is_cancelled_first() {
    let config = Config { hedging_allowed: false, ..config_of(vec![class(Idempotency::Idempotent)]) };
    let mut host = host(config, backends(6));
    serve(&mut host, 100, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    host.advance(150_000);
    host.advance(20_000);
    assert_eq!(host.requests[&id].attempts[0].outcome, Some(Outcome::Cancelled));
    assert_eq!(host.dispatched_to(id).len(), 2);
}

/// Guards against a retry of what may have been executed, and a failure of what was not.
#[test]
fn a_non_idempotent_request_that_may_have_been_executed_is_failed_and_one_that_was_not_is_retried() {
    let mut host = host(config_of(vec![class(Idempotency::NonIdempotent)]), backends(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    host.end(id, 0, Outcome::ErrorResponse);
    assert_eq!(host.answer(id), Some(Answer::Failed));
    let id = host.arrive(0, 900_000);
    host.end(id, 0, Outcome::ConnectFailed);
    assert_eq!(host.dispatched_to(id).len(), 2);
}

/// Guards against a keyed retry that other backends than the first would execute again.
#[test]
fn a_retry_with_a_key_stays_in_its_zone_and_window() {
    let keyed = class(Idempotency::Keyed { scope: IdempotencyScope::Zone, window: Micros(200_000) });
    let mut host = host(config_of(vec![keyed]), (0..6).map(|id| backend(id, id % 2, 0)).collect());
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    host.end(id, 0, Outcome::ErrorResponse);
    let sent = host.dispatched_to(id);
    assert!(sent.len() == 2 && sent[0] % 2 == sent[1] % 2, "{sent:?}");
    let id = host.arrive(0, 900_000);
    host.advance(210_000);
    let sent = host.dispatched_to(id).len();
    for number in 0..sent {
        host.end(id, number, Outcome::ErrorResponse);
    }
    assert_eq!(host.dispatched_to(id).len(), sent, "retried after its window");
    assert_eq!(host.answer(id), Some(Answer::Failed));
}

/// Guards against an attempt that a stalled host writes after the idempotency window of the first.
#[test]
fn every_attempt_of_a_keyed_request_ends_with_the_window_of_the_first() {
    let write_by = |host: &Host| {
        let write_by = |action: &Action| match action {
            Action::Dispatch { write_by, .. } => Some(*write_by),
            _ => None,
        };
        host.last_actions.iter().find_map(write_by).expect("an attempt")
    };
    let keyed =
        |window_us| class(Idempotency::Keyed { scope: IdempotencyScope::All, window: Micros(window_us) });
    let classes = vec![keyed(400_000), keyed(0), class(Idempotency::Idempotent), keyed(150_000)];
    let mut host = host(config_of(classes), backends(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let end = host.now + Micros(400_000 - 150_000);
    let tick = host.config.tick;
    assert!(write_by(&host).is_some_and(|by| by <= end && by + tick >= end), "the first");
    host.advance(50_000);
    host.end(id, 0, Outcome::ErrorResponse);
    assert!(write_by(&host).is_some_and(|by| by <= end && by + tick >= end), "the next");
    for class in [1, 2, 3] {
        let id = host.arrive(class, 900_000);
        assert_eq!(write_by(&host), None);
        host.end(id, 0, Outcome::ErrorResponse);
        assert_eq!(host.dispatched_to(id).len() > 1, class == 2, "a retry of class {class}");
    }
}

/// Guards against hedged requests for all that an ejected backend may well answer.
#[test]
fn what_an_ejected_backend_still_works_on_is_not_hedged() {
    let mut host =
        host(Config { proxy_count: 1, ..config_of(vec![class(Idempotency::Idempotent)]) }, backends(2));
    serve(&mut host, 60, 0, |_| 10_000);
    let requests = host.burst(8, 0, 900_000);
    let in_flight_at = |host: &Host, backend: u32| -> Vec<RequestId> {
        requests.iter().copied().filter(|id| host.dispatched_to(*id) == [backend]).collect()
    };
    let in_flight = in_flight_at(&host, 0);
    assert!(in_flight.len() >= 3, "{} of eight on one of two backends", in_flight.len());
    host.advance(5_000);
    for id in &in_flight[..2] {
        host.end(*id, 0, Outcome::ConnectionReset);
    }
    assert!(host.has_ejected_any(), "two broken connections close together");
    // Room for hedged requests.
    for id in in_flight_at(&host, 1) {
        host.end(id, 0, Outcome::Success);
    }
    host.advance(20_000);
    assert_eq!(host.dispatched_to(in_flight[2]), [0], "a hedged request for what may well be answered");
}
