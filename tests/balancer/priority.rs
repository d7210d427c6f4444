//! Priorities of queued requests: client retries, tenant quotas and class weights.

use crate::support::{backends, class, config_of, host, RequestOutcome};
use load_balancer::{Class, Config, Idempotency, Outcome, RequestId, Tenant, TenantId};

/// Guards against client retries that are served before original requests and make both late.
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
        host.end_attempt(id, 0, Outcome::Success);
    }
    let dispatched_at =
        |id: RequestId| host.requests[&id].attempts.first().map(|attempt| attempt.dispatched_at);
    assert!(dispatched_at(first).is_some());
    assert!(
        dispatched_at(retry).is_none_or(|at| at >= dispatched_at(first).unwrap()),
        "the client retry was dispatched first"
    );
}

/// Guards against a tenant over its quota that uses up the concurrency limit.
#[test]
fn traffic_over_quota_leaves_capacity_for_other_tenants() {
    let tenants = vec![Tenant { quota_per_second: 1.0 }, Tenant { quota_per_second: 1_000.0 }];
    let mut host = host(Config { proxy_count: 1, tenants, ..Config::example() }, backends(2));
    let over_quota: Vec<RequestId> =
        (0..30).map(|_| host.arrive_for(0, 900_000, Some(TenantId(0)))).collect();
    let dispatched = over_quota.iter().filter(|id| !host.dispatched_to(**id).is_empty()).count();
    let other = host.arrive_for(0, 900_000, Some(TenantId(1)));
    assert!(dispatched <= 6, "{dispatched} of 30 requests over quota were dispatched");
    assert_eq!(host.dispatched_to(other).len(), 1, "a tenant within its quota waits behind one over quota");
}

/// Guards against overload in which requests of low weight are served before those of high weight.
#[test]
fn requests_of_higher_weight_are_served_first_in_overload() {
    let high_weight = Class { priority_weight: 8.0, ..class(Idempotency::Idempotent) };
    let mut host = host(
        Config { proxy_count: 1, ..config_of(vec![class(Idempotency::Idempotent), high_weight]) },
        backends(1),
    );
    let ids: Vec<RequestId> = (0..60).map(|number| host.arrive(number % 2, 900_000)).collect();
    for _ in 0..6 {
        host.serve_all(60_000);
    }
    host.advance(900_000);
    let count_served = |class: usize| {
        let requests = ids.iter().copied().skip(class).step_by(2);
        requests.filter(|id| host.outcome_of(*id) == Some(RequestOutcome::Served)).count()
    };
    let (low, high) = (count_served(0), count_served(1));
    assert!(high > low, "only {high} requests of weight 8 but {low} of weight 1 were served");
}
