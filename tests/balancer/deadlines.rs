//! Requests at the end of their time, and attempts that outlast their latency objective.

use crate::support::{class, config, fleet, host, serve};
use load_balancer::{Config, Idempotency, Outcome};

#[test]
fn an_empty_fleet_refuses_in_time() {
    let mut host =
        host(config(vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)]), Vec::new());
    let ids = [host.arrive(0, 700_000), host.arrive(1, 700_000)];
    host.advance(500_000);
    assert!(ids.iter().all(|id| host.requests[id].answer == Some("refused")));
}

#[test]
fn a_short_request_after_idleness_is_answered_in_time() {
    // Found by the invariants: the timer once ran ten ticks long while nothing was in hand.
    let mut host = host(Config::example(), Vec::new());
    host.advance(1_000_000);
    let id = host.arrive(0, 6_000);
    host.advance(20_000);
    assert_eq!(host.requests[&id].answer, Some("refused"));
}

#[test]
fn an_attempt_stuck_on_a_living_backend_gives_its_room_back() {
    // case2352: answers that never came in full held their room up to the deadline, long after their aim.
    let mut host =
        host(Config { proxy_count: 1, ..config(vec![class(Idempotency::NonIdempotent)]) }, fleet(2));
    serve(&mut host, 60, 0, |_| 10_000);
    let stuck = host.burst(3, 0, 5_000_000);
    serve(&mut host, 60, 0, |_| 10_000);
    for id in stuck {
        let open = &host.requests[&id];
        assert_eq!(open.answer, Some("failed"), "a late answer earns nothing: given up at once");
        assert_eq!(open.tries[0].outcome, Some(Outcome::Cancelled));
    }
    let room = host.burst(40, 0, 900_000).iter().filter(|id| !host.sent_to(**id).is_empty()).count();
    assert!(room >= 8, "room for {room} on two backends that hold nothing else");
}

#[test]
fn a_late_answer_of_a_slowed_backend_is_waited_for() {
    let mut host =
        host(Config { proxy_count: 1, ..config(vec![class(Idempotency::NonIdempotent)]) }, fleet(2));
    serve(&mut host, 60, 0, |_| 60_000);
    let slow = host.arrive(0, 5_000_000);
    serve(&mut host, 10, 0, |_| 60_000);
    assert_eq!(host.requests[&slow].answer, None, "ten times slower than usual");
    host.end(slow, 0, Outcome::Success);
    assert_eq!(host.requests[&slow].answer, Some("served"));
}

#[test]
fn a_stream_once_begun_is_left_alone() {
    let mut host = host(config(vec![class(Idempotency::Idempotent)]), fleet(2));
    let id = host.arrive(0, 300_000);
    host.start_stream(id, 0);
    host.advance(2_000_000);
    assert_eq!(host.requests[&id].answer, None);
    assert_eq!(host.sent_to(id).len(), 1);
}
