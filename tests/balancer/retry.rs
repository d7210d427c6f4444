//! Retries and hedged requests: which are sent, where, and until when.

use crate::support::{backend, class, config, fleet, host, serve, Host};
use load_balancer::{Action, Config, Idempotency, IdempotencyScope, Micros, Outcome, RequestId};

#[test]
fn a_silent_backend_gets_nothing_new_and_its_requests_a_copy() {
    let mut host = host(config(vec![class(Idempotency::Idempotent)]), fleet(6));
    serve(&mut host, 100, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let hung = host.sent_to(id)[0];
    host.advance(50_000);
    assert_eq!(
        host.sent_to(id).len(),
        1,
        "a copy of a merely heavy request: such copies crowd every backend"
    );
    host.advance(50_000);
    let chosen = serve(&mut host, 30, 0, |_| 5_000);
    assert!(!chosen.contains(&hung));
    host.advance(10_000);
    assert_eq!(host.sent_to(id).len(), 2, "no copy left");
    assert_ne!(host.sent_to(id)[1], hung);
}

#[test]
fn where_no_copy_is_allowed_the_lost_attempt_is_called_back_first() {
    let cfg = Config { hedging_allowed: false, ..config(vec![class(Idempotency::Idempotent)]) };
    let mut host = host(cfg, fleet(6));
    serve(&mut host, 100, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    host.advance(150_000);
    host.advance(20_000);
    assert_eq!(host.requests[&id].tries[0].outcome, Some(Outcome::Cancelled));
    assert_eq!(host.sent_to(id).len(), 2);
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_one_that_never_ran_is_sent_again() {
    let mut host = host(config(vec![class(Idempotency::NonIdempotent)]), fleet(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    host.end(id, 0, Outcome::ErrorResponse);
    assert_eq!(host.requests[&id].answer, Some("failed"));
    let id = host.arrive(0, 900_000);
    host.end(id, 0, Outcome::ConnectFailed);
    assert_eq!(host.sent_to(id).len(), 2);
}

#[test]
fn a_keyed_repeat_stays_in_its_zone_and_window() {
    let keyed = class(Idempotency::Keyed { scope: IdempotencyScope::Zone, window: Micros(200_000) });
    let mut host = host(config(vec![keyed]), (0..6).map(|i| backend(i, i % 2, 0)).collect());
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    host.end(id, 0, Outcome::ErrorResponse);
    let sent = host.sent_to(id);
    assert!(sent.len() == 2 && sent[0] % 2 == sent[1] % 2, "{sent:?}");
    let id = host.arrive(0, 900_000);
    host.advance(210_000);
    let sent = host.sent_to(id).len();
    (0..sent).for_each(|no| host.end(id, no, Outcome::ErrorResponse));
    assert_eq!(host.sent_to(id).len(), sent, "repeated after its window");
    assert_eq!(host.requests[&id].answer, Some("failed"));
}

/// The host learns until when an attempt may be written. The window counts from whichever is sent first, and the
/// first may be overtaken by the next while it dials; a host that is held up for 0.15 s before it writes must not write
/// past it. Where nothing can follow it, it takes its time.
#[test]
fn every_attempt_of_a_keyed_request_ends_with_the_window_of_the_first() {
    let by = |host: &Host| {
        let by = |a: &Action| match a {
            Action::Dispatch { write_by, .. } => Some(*write_by),
            _ => None,
        };
        host.last.iter().find_map(by).expect("an attempt")
    };
    let keyed = |window| class(Idempotency::Keyed { scope: IdempotencyScope::All, window: Micros(window) });
    let classes = vec![keyed(400_000), keyed(0), class(Idempotency::Idempotent), keyed(150_000)];
    let mut host = host(config(classes), fleet(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let end = host.now + Micros(400_000 - 150_000);
    let tick = host.cfg.tick;
    assert!(by(&host).is_some_and(|by| by <= end && by + tick >= end), "the first");
    host.advance(50_000);
    host.end(id, 0, Outcome::ErrorResponse);
    assert!(by(&host).is_some_and(|by| by <= end && by + tick >= end), "the next");
    for class in [1, 2, 3] {
        let id = host.arrive(class, 900_000);
        assert_eq!(by(&host), None);
        host.end(id, 0, Outcome::ErrorResponse);
        assert_eq!(host.sent_to(id).len() > 1, class == 2, "a repeat of class {class}");
    }
}

#[test]
fn what_an_ejected_backend_still_works_on_gets_no_copy() {
    // Day 7 of the score: one attempt in fourteen broke, and copies of all that their backends held wasted work.
    let mut host = host(Config { proxy_count: 1, ..config(vec![class(Idempotency::Idempotent)]) }, fleet(2));
    serve(&mut host, 60, 0, |_| 10_000);
    let all = host.burst(8, 0, 900_000);
    let on = |host: &Host, b: u32| -> Vec<RequestId> {
        all.iter().copied().filter(|id| host.sent_to(*id) == [b]).collect()
    };
    let held = on(&host, 0);
    assert!(held.len() >= 3, "{} of eight on one of two backends", held.len());
    host.advance(5_000);
    held[..2].iter().for_each(|id| host.end(*id, 0, Outcome::ConnectionReset));
    assert!(host.has_ejected_any(), "two broken connections close together");
    on(&host, 1).into_iter().for_each(|id| host.end(id, 0, Outcome::Success)); // room for copies
    host.advance(20_000);
    assert_eq!(host.sent_to(held[2]), [0], "a copy of what may well be answered");
}
