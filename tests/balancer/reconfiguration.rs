//! Reconfiguration: which settings become active, which state is kept, and what pending requests keep.

use crate::support::{backend, backends, class, serve, Host, RequestOutcome};
use load_balancer::{
    Action, Backend, BackendId, BackendState, CellId, Class, ClassId, Config, ConfigError, DiscoveryMode,
    EndpointListUpdate, Event, Idempotency, LogEvent, Micros, Outcome, RequestArrival, RequestId, Tenant,
    TenantId,
};
use std::collections::BTreeSet;

/// A host with these classes and four backends of one kind, whose retry budget allows retries.
fn host_with_retry_budget(classes: Vec<Class>) -> Host {
    let mut host = Host::new(Config { classes, ..Config::example() }, 3);
    host.update_endpoints(EndpointListUpdate::Snapshot, backends(4));
    serve(&mut host, 30, 0, |_| 20_000);
    host
}

fn class_ids(indices: &[Option<usize>]) -> Vec<Option<ClassId>> {
    indices.iter().map(|index| index.map(ClassId)).collect()
}

/// Number of attempts of a request so far, and its outcome.
#[derive(Debug, PartialEq)]
struct Progress {
    attempts: usize,
    outcome: Option<RequestOutcome>,
}

fn progress_of(host: &Host, id: RequestId) -> Progress {
    Progress { attempts: host.requests[&id].attempts.len(), outcome: host.outcome_of(id) }
}

/// The progress of a request whose first attempt ends in a connection reset after its class was replaced.
fn progress_after_reset(idempotency: Idempotency, new_idempotency: Idempotency) -> Progress {
    let mut host = host_with_retry_budget(vec![class(Idempotency::Idempotent), class(idempotency)]);
    let id = host.arrive(1, 900_000);
    host.reconfigure(Config {
        classes: vec![class(Idempotency::Idempotent), class(new_idempotency)],
        ..host.config.clone()
    });
    host.end_attempt(id, 0, Outcome::ConnectionReset);
    host.advance(10_000);
    progress_of(&host, id)
}

/// Guards against pending requests whose retries depend on the new idempotency of their class.
#[test]
fn a_pending_request_keeps_the_idempotency_of_its_arrival() {
    let failed = Progress { attempts: 1, outcome: Some(RequestOutcome::Failed) };
    assert_eq!(progress_after_reset(Idempotency::NonIdempotent, Idempotency::Idempotent), failed);
    let retried = Progress { attempts: 2, outcome: None };
    assert_eq!(progress_after_reset(Idempotency::Idempotent, Idempotency::NonIdempotent), retried);
    // A later request uses the new idempotency.
    let mut host = host_with_retry_budget(vec![class(Idempotency::Idempotent)]);
    host.reconfigure(Config { classes: vec![class(Idempotency::NonIdempotent)], ..host.config.clone() });
    let id = host.arrive(0, 900_000);
    host.end_attempt(id, 0, Outcome::ConnectionReset);
    host.advance(10_000);
    assert_eq!(host.outcome_of(id), Some(RequestOutcome::Failed));
}

/// Guards against pending requests to which the limits and objectives of a later configuration apply.
#[test]
fn a_pending_request_keeps_the_limits_of_its_arrival() {
    for (before, after, attempts) in [(1, 3, 1), (3, 1, 3)] {
        let mut host = host_with_retry_budget(vec![class(Idempotency::Idempotent)]);
        host.reconfigure(Config { max_attempts: before, ..host.config.clone() });
        let id = host.arrive(0, 900_000);
        host.reconfigure(Config { max_attempts: after, ..host.config.clone() });
        for number in 0..3 {
            host.end_attempt(id, number, Outcome::Rejected);
            host.advance(5_000);
        }
        assert_eq!(
            host.requests[&id].attempts.len(),
            attempts,
            "wrong number of attempts after max_attempts changed from {before} to {after}"
        );
    }
    // The objective at its arrival decides when a request that is queued without a backend is given up.
    let mut host = host_with_retry_budget(vec![class(Idempotency::Idempotent)]);
    host.update_endpoints(EndpointListUpdate::Snapshot, Vec::new());
    let with_long_objective = host.arrive(0, 900_000);
    let short = Class { latency_objective: Micros(100_000), ..class(Idempotency::Idempotent) };
    host.reconfigure(Config { classes: vec![short], ..host.config.clone() });
    let with_short_objective = host.arrive(0, 900_000);
    host.advance(200_000);
    assert_eq!(
        (host.outcome_of(with_long_objective), host.outcome_of(with_short_objective)),
        (None, Some(RequestOutcome::Rejected))
    );
}

/// Guards against requests and attempts of a removed or moved class that are assigned to the class that now
/// has its index.
#[test]
fn classes_with_requests_in_flight_may_be_removed_and_renumbered() {
    let slow = Class { latency_objective: Micros(800_000), ..class(Idempotency::NonIdempotent) };
    let mut host = host_with_retry_budget(vec![
        class(Idempotency::Idempotent),
        slow.clone(),
        class(Idempotency::Idempotent),
    ]);
    let of_removed_class = host.arrive(1, 900_000);
    let of_moved_class = host.arrive(2, 900_000);
    let classes = vec![class(Idempotency::NonIdempotent), class(Idempotency::Idempotent)];
    host.reconfigure_from(Config { classes, ..host.config.clone() }, class_ids(&[None, Some(2)]), Vec::new());
    // An index beyond the active classes is unknown, also while a removed class is retained.
    let unknown_class = RequestArrival {
        request: RequestId(1_000_000),
        class: ClassId(2),
        tenant: None,
        time_left: Micros(500_000),
        expected_work: None,
        is_client_retry: false,
    };
    host.handle(Event::RequestArrived(unknown_class));
    assert!(
        host.last_actions.iter().all(|action| !matches!(action, Action::Dispatch { .. })),
        "a request of an unknown class was dispatched: {:?}",
        host.last_actions
    );
    let of_new_class = host.arrive(0, 900_000);
    host.reconfigure_from(
        Config { classes: vec![slow], ..host.config.clone() },
        class_ids(&[None]),
        Vec::new(),
    );
    host.end_attempt(of_removed_class, 0, Outcome::ConnectionReset);
    host.end_attempt(of_moved_class, 0, Outcome::ConnectionReset);
    host.end_attempt(of_new_class, 0, Outcome::Success);
    host.advance(10_000);
    let failed = Progress { attempts: 1, outcome: Some(RequestOutcome::Failed) };
    let served = Progress { attempts: 1, outcome: Some(RequestOutcome::Served) };
    assert_eq!((progress_of(&host, of_removed_class), progress_of(&host, of_new_class)), (failed, served));
    assert_eq!(progress_of(&host, of_moved_class), Progress { attempts: 2, outcome: None });
    // The attempt outlives its request and its class.
    host.disconnect(of_moved_class);
    host.reconfigure_from(
        Config { classes: vec![class(Idempotency::Idempotent)], ..host.config.clone() },
        class_ids(&[None]),
        vec![],
    );
    host.end_attempt(of_moved_class, 1, Outcome::Success);
    assert_eq!(serve(&mut host, 5, 0, |_| 20_000).len(), 5);
}

/// Guards against a class that loses its mean latency, which decides when its queued requests are given up.
#[test]
fn the_statistics_of_a_class_follow_it_to_its_new_index() {
    // Steps of 10 ms after which a queued request of the class is given up.
    let given_up_after = |previous_class: Option<usize>| {
        let mut host =
            host_with_retry_budget(vec![class(Idempotency::Idempotent), class(Idempotency::Idempotent)]);
        serve(&mut host, 60, 1, |_| 300_000);
        let classes = vec![class(Idempotency::Idempotent)];
        host.reconfigure_from(
            Config { classes, ..host.config.clone() },
            class_ids(&[previous_class]),
            Vec::new(),
        );
        host.update_endpoints(EndpointListUpdate::Snapshot, Vec::new());
        let id = host.arrive(0, 900_000);
        (1..).find(|_| {
            host.advance(10_000);
            host.outcome_of(id).is_some()
        })
    };
    let (slow, quick, new) = (given_up_after(Some(1)), given_up_after(Some(0)), given_up_after(None));
    assert!(
        slow < new && new < quick,
        "given up after {slow:?} (slow), {new:?} (new) and {quick:?} (quick class) steps"
    );
}

/// Guards against a reconfiguration that ends an ejection.
#[test]
fn an_ejected_backend_stays_ejected_after_a_reconfiguration() {
    let mut host = host_with_retry_budget(vec![class(Idempotency::Idempotent)]);
    for _ in 0..40 {
        let id = host.arrive(0, 900_000);
        host.end_all(|backend| if backend == 2 { Outcome::ConnectFailed } else { Outcome::Success });
        host.advance(5_000);
        host.end_all(|_| Outcome::Success);
        if host.has_ejected(BackendId(2)) {
            break;
        }
        assert!(host.outcome_of(id).is_some());
    }
    assert!(host.has_ejected(BackendId(2)), "backend 2 was not ejected: {:?}", host.logs);
    host.reconfigure(Config { cross_zone_cost: 0.1, ..host.config.clone() });
    let chosen = serve(&mut host, 20, 0, |_| 5_000);
    assert!(chosen.iter().all(|backend| *backend != 2), "the ejected backend 2 was used: {chosen:?}");
}

/// Number of attempts sent to a warming backend while `recompute_shares` repeatedly causes an update of the
/// traffic shares. It is called with the backend in another cell each time, as an unchanged entry would cause
/// none.
fn sent_to_warming_backend(recompute_shares: impl Fn(&mut Host, Backend)) -> usize {
    let class = Class { latency_objective: Micros(5_000_000), ..class(Idempotency::Idempotent) };
    // A low overload multiple, so that slow start limits the requests sent to the backend.
    let config =
        Config { classes: vec![class], proxy_count: 1, overload_multiple: 0.05, ..Config::example() };
    let mut host = Host::new(config, 5);
    let warming = Backend { started_at: Some(host.now), ..backend(0, 0, 0) };
    host.burst(100, 0, 6_000_000);
    host.update_endpoints(EndpointListUpdate::Snapshot, vec![warming.clone()]);
    for cell in 0..20 {
        host.serve_all(20_000);
        host.serve_all(20_000);
        recompute_shares(&mut host, Backend { cell: CellId(cell), ..warming.clone() });
    }
    host.requests.values().map(|request| request.attempts.len()).sum()
}

/// Guards against a reconfiguration that resets the requests counted for a warming backend, which overloads
/// it.
#[test]
fn requests_to_a_warming_backend_stay_counted_after_a_reconfiguration() {
    let update = |host: &mut Host, entry| host.update_endpoints(EndpointListUpdate::Delta, vec![entry]);
    let reconfigure = |host: &mut Host, _| host.reconfigure(host.config.clone());
    let (without, with) = (sent_to_warming_backend(update), sent_to_warming_backend(reconfigure));
    assert!((1..=15).contains(&without), "{without} requests without a reconfiguration, expected 1 to 15");
    assert!(with <= without + 2, "{with} requests with a reconfiguration, {without} without");
}

/// Guards against a reconfiguration that refills or empties the token bucket of a tenant.
#[test]
fn a_remaining_tenant_keeps_its_bucket_and_new_ones_start_full() {
    let tenants = vec![Tenant { quota_per_second: 3.0 }, Tenant { quota_per_second: 3.0 }];
    let config = Config { proxy_count: 1, over_quota_weight: 0.0, tenants, ..Config::example() };
    // Whether the request of a tenant is dispatched before one without a tenant: not if the tenant is over
    // its quota.
    let is_dispatched_first = |previous_tenant: Option<usize>| {
        let mut host = Host::new(config.clone(), 4);
        host.update_endpoints(EndpointListUpdate::Snapshot, vec![backend(0, 0, 0)]);
        for _ in 0..8 {
            let id = host.arrive_for(0, 400_000, Some(TenantId(1)));
            host.advance(5_000);
            host.end_attempt(id, 0, Outcome::Success);
        }
        let tenants = vec![Tenant { quota_per_second: 3.0 }];
        let previous_tenants = vec![previous_tenant.map(TenantId)];
        host.reconfigure_from(
            Config { tenants, ..host.config.clone() },
            class_ids(&[Some(0)]),
            previous_tenants,
        );
        let draining = vec![Backend { state: BackendState::Draining, ..backend(0, 0, 0) }];
        host.update_endpoints(EndpointListUpdate::Snapshot, draining);
        let without_tenant = host.arrive(0, 400_000);
        host.advance(5_000);
        let of_tenant = host.arrive_for(0, 400_000, Some(TenantId(0)));
        host.update_endpoints(EndpointListUpdate::Snapshot, vec![backend(0, 0, 0)]);
        let first = host.last_actions.iter().find_map(|action| match action {
            Action::Dispatch { request, .. } => Some(*request),
            _ => None,
        });
        assert!(
            first == Some(without_tenant) || first == Some(of_tenant),
            "neither of the two requests was dispatched first: {:?}",
            host.last_actions
        );
        first == Some(of_tenant)
    };
    // At equal priority the newest request is dispatched first: that of the tenant, unless the tenant is over
    // its quota.
    assert_eq!(
        (is_dispatched_first(Some(1)), is_dispatched_first(Some(0)), is_dispatched_first(None)),
        (false, true, true)
    );
}

/// Guards against a proxy that keeps its subset after its proxy count or index has changed.
#[test]
fn a_new_proxy_count_or_index_changes_the_subset() {
    let used_backends = |host: &mut Host| {
        let chosen = serve(host, 60, 0, |_| 20_000);
        chosen.into_iter().collect::<BTreeSet<u32>>()
    };
    let mut host = Host::new(Config { proxy_count: 3, ..Config::example() }, 6);
    host.update_endpoints(EndpointListUpdate::Snapshot, backends(60));
    assert!(used_backends(&mut host).len() > 20);
    host.reconfigure(Config { proxy_count: 100, proxy_index: 7, ..host.config.clone() });
    let (index_7, all) = (used_backends(&mut host), host.backends.len());
    assert!(index_7.len() <= 12, "the subset has more than 12 of {all} backends: {index_7:?}");
    host.reconfigure(Config { proxy_index: 8, ..host.config.clone() });
    assert!(used_backends(&mut host).is_disjoint(&index_7));
    host.reconfigure(Config { proxy_count: 3, proxy_index: 0, ..host.config.clone() });
    assert!(used_backends(&mut host).len() > 20);
}

/// Guards against load shedding that never ends after the fleet has become too small for admission control.
#[test]
fn load_shedding_ends_when_the_fleet_becomes_small() {
    let mut host = Host::new(Config { proxy_count: 100, ..Config::example() }, 6);
    host.update_endpoints(EndpointListUpdate::Snapshot, backends(20));
    for _ in 0..200 {
        host.arrive(0, 900_000);
        host.serve_all(450_000);
    }
    host.reconfigure(Config { proxy_count: 3, ..host.config.clone() });
    for _ in 0..50 {
        let id = host.arrive(0, 900_000);
        assert_eq!(host.outcome_of(id), None, "the request was shed");
        host.serve_all(10_000);
    }
}

/// Guards against a subscription that keeps the discovery mode or poll interval of a replaced configuration.
#[test]
fn a_new_discovery_mode_or_poll_interval_is_applied() {
    let slow = Config { discovery: DiscoveryMode::Subscribe(Micros(20_000_000)), ..Config::example() };
    let mut host = Host::new(slow.clone(), 6);
    host.update_endpoints(EndpointListUpdate::Cached, vec![backend(0, 0, 0)]);
    assert_eq!(host.resubscriptions, 1);
    host.reconfigure(Config { discovery: DiscoveryMode::Subscribe(Micros(1_000_000)), ..slow });
    host.advance(700_000);
    assert_eq!(host.resubscriptions, 2, "an unanswered call was not made again");
    host.reconfigure(Config { discovery: DiscoveryMode::Push, ..host.config.clone() });
    host.advance(5_000_000);
    assert_eq!(host.resubscriptions, 2, "the balancer subscribed to a pushed list");
    host.reconfigure(Config {
        discovery: DiscoveryMode::Subscribe(Micros(1_000_000)),
        ..host.config.clone()
    });
    assert_eq!(host.resubscriptions, 3);
}

/// Guards against an invalid configuration that is applied in part.
#[test]
fn an_invalid_configuration_changes_nothing() {
    let mut host = host_with_retry_budget(vec![class(Idempotency::Idempotent)]);
    let valid = host.config.clone();
    host.reconfigure_from(Config { classes: Vec::new(), ..valid.clone() }, Vec::new(), Vec::new());
    host.config = valid;
    let no_class = ConfigError { field: "classes", expected: "at least one class" };
    assert!(
        host.logs.contains(&LogEvent::ConfigRejected(no_class)),
        "the rejection was not logged: {:?}",
        host.logs
    );
    assert_eq!(serve(&mut host, 5, 0, |_| 20_000).len(), 5);
}
