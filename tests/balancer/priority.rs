//! Which of the queued requests is served first: client retries, quotas and weights.

use crate::support::{backends, class, config_of, host, Answer};
use load_balancer::{Class, Config, Idempotency, Outcome, RequestId, Tenant, TenantId};

/// Guards against client retries that are served before first requests and make everyone late.
#[test]
fn a_client_retry_waits_behind_original_requests() {
    let mut host = host(Config { proxy_count: 1, ..Config::example() }, backends(1));
    let in_flight = host.burst(8, 0, 900_000);
    host.advance(5_000);
    let first = host.arrive(0, 900_000);
    host.is_client_retry = true;
    let retry = host.arrive(0, 900_000);
    host.advance(15_000);
    for id in in_flight {
        host.end(id, 0, Outcome::Success);
    }
    let dispatched_at = |id: RequestId| host.requests[&id].attempts.first().map(|attempt| attempt.at);
    assert!(dispatched_at(first).is_some());
    assert!(
        dispatched_at(retry).is_none_or(|at| at >= dispatched_at(first).unwrap()),
        "the retry went first"
    );
}

/// Guards against one tenant over its quota that fills the concurrency limit for all others.
#[test]
fn traffic_past_a_quota_leaves_capacity_for_the_others() {
    let tenants = vec![Tenant { quota_per_second: 1.0 }, Tenant { quota_per_second: 1_000.0 }];
    let mut host = host(Config { proxy_count: 1, tenants, ..Config::example() }, backends(2));
    let flood: Vec<RequestId> = (0..30).map(|_| host.arrive_for(0, 900_000, Some(TenantId(0)))).collect();
    let dispatched = flood.iter().filter(|id| !host.dispatched_to(**id).is_empty()).count();
    let other = host.arrive_for(0, 900_000, Some(TenantId(1)));
    assert!(dispatched <= 6, "{dispatched} of the flood were dispatched");
    assert_eq!(host.dispatched_to(other).len(), 1, "the other tenant waits behind the flood");
}

/// Guards against overload in which the requests of the least weight are served.
#[test]
fn in_overload_the_highest_priority_is_served() {
    let heavy = Class { priority_weight: 8.0, ..class(Idempotency::Idempotent) };
    let mut host = host(
        Config { proxy_count: 1, ..config_of(vec![class(Idempotency::Idempotent), heavy]) },
        backends(1),
    );
    let ids: Vec<RequestId> = (0..60).map(|number| host.arrive(number % 2, 900_000)).collect();
    for _ in 0..6 {
        host.serve_all(60_000);
    }
    host.advance(900_000);
    let served = |class: usize| {
        let requests = ids.iter().copied().skip(class).step_by(2);
        requests.filter(|id| host.answer(*id) == Some(Answer::Served)).count()
    };
    let (light, heavy) = (served(0), served(1));
    assert!(heavy > light, "{heavy} of the greater and {light} of the lesser weight were served");
}
