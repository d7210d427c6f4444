//! Load shedding by admission control, which is active only with more than four proxies. The example
//! configuration has a latency objective of 500 ms.

use crate::support::{backends, host, serve, Host, RequestOutcome};
use load_balancer::{Config, Outcome, RequestId};

/// Guards against load that is not shed while responses are slow, or still shed after they are prompt again.
#[test]
fn load_is_shed_only_while_responses_are_slow() {
    let mut host = host(Config { proxy_count: 300, ..Config::example() }, backends(60));
    // Serves 60 requests, each after `duration_us`, and counts those that are rejected.
    let count_rejected = |host: &mut Host, duration_us: u64| {
        let ids: Vec<RequestId> = (0..60)
            .map(|_| {
                let id = host.arrive(0, 900_000);
                host.advance(duration_us);
                host.end_attempt(id, 0, Outcome::Success);
                id
            })
            .collect();
        ids.into_iter().filter(|id| host.outcome_of(*id) == Some(RequestOutcome::Rejected)).count()
    };
    assert_eq!(count_rejected(&mut host, 100_000), 0, "requests were rejected while responses are prompt");
    assert!(
        count_rejected(&mut host, 450_000) > 20,
        "too few requests were rejected while responses are slow"
    );
    // Some requests must be admitted all the time: only their responses raise the admitted fraction.
    for _ in 0..6 {
        assert!(count_rejected(&mut host, 100_000) < 60);
    }
    assert!(
        count_rejected(&mut host, 100_000) <= 10,
        "too many requests were rejected after responses became prompt again"
    );
}

/// Guards against load shedding at startup, before the unloaded latency is known.
#[test]
fn almost_no_load_is_shed_at_startup() {
    let mut host = host(Config { proxy_count: 300, ..Config::example() }, backends(60));
    let sent = serve(&mut host, 60, 0, |_| 150_000).len();
    assert!(sent >= 57, "only {sent} of 60 requests were dispatched");
}

/// Guards against load shedding because a single fast response set the unloaded latency too low.
#[test]
fn a_first_fast_response_does_not_cause_load_shedding() {
    let mut host = host(Config { proxy_count: 100, ..Config::example() }, backends(60));
    serve(&mut host, 1, 0, |_| 20_000);
    let sent = serve(&mut host, 100, 0, |_| 240_000).len();
    assert_eq!(sent, 100, "load was shed although responses take less than half of the objective");
}

/// Guards against slow attempts that are counted only when their responses arrive, long after the latency
/// objective.
#[test]
fn an_attempt_counts_as_slow_before_its_response_arrives() {
    let mut host = host(Config { proxy_count: 300, ..Config::example() }, backends(600));
    serve(&mut host, 60, 0, |_| 30_000);
    let mut rejected = 0;
    for _ in 0..30 {
        host.advance(150_000); // no attempt ends
        let id = host.arrive(0, 20_000_000);
        rejected += usize::from(host.outcome_of(id) == Some(RequestOutcome::Rejected));
    }
    assert!(rejected >= 8, "only {rejected} of 30 requests were rejected while no attempt ends");
}
