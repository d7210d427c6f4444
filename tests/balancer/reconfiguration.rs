//! A configuration replaced while the module runs: what comes into force, what stays, what requests in hand keep.

use crate::support::{backend, class, serve, Host};
use load_balancer::{
    Action, Backend, BackendId, BackendState, CellId, Class, ClassId, Config, ConfigError, DiscoveryMode,
    EndpointListUpdate, Event, Idempotency, LogEvent, Micros, Outcome, RequestArrival, RequestId, Tenant,
    TenantId,
};
use std::collections::BTreeSet;

/// A host of these classes and four backends of one kind, with retries to spend.
fn host(classes: Vec<Class>) -> Host {
    let mut host = Host::new(Config { classes, ..Config::example() }, 3);
    host.members(EndpointListUpdate::Snapshot, (0..4).map(|i| backend(i, 0, 0)).collect());
    serve(&mut host, 30, 0, |_| 20_000);
    host
}

fn numbers(was: &[Option<usize>]) -> Vec<Option<ClassId>> {
    was.iter().map(|c| c.map(ClassId)).collect()
}

/// What becomes of a request whose first attempt ends in a reset after its class has another effect.
fn after_a_reset(came_with: Idempotency, then: Idempotency) -> (usize, Option<&'static str>) {
    let mut host = host(vec![class(Idempotency::Idempotent), class(came_with)]);
    let id = host.arrive(1, 900_000);
    host.reconfigure(Config {
        classes: vec![class(Idempotency::Idempotent), class(then)],
        ..host.cfg.clone()
    });
    host.end(id, 0, Outcome::ConnectionReset);
    host.advance(10_000);
    (host.requests[&id].tries.len(), host.requests[&id].answer)
}

#[test]
fn a_request_in_hand_keeps_the_effect_that_it_came_with() {
    assert_eq!(after_a_reset(Idempotency::NonIdempotent, Idempotency::Idempotent), (1, Some("failed")));
    assert_eq!(after_a_reset(Idempotency::Idempotent, Idempotency::NonIdempotent), (2, None));
    // The next one goes by the new effect.
    let mut host = host(vec![class(Idempotency::Idempotent)]);
    host.reconfigure(Config { classes: vec![class(Idempotency::NonIdempotent)], ..host.cfg.clone() });
    let id = host.arrive(0, 900_000);
    host.end(id, 0, Outcome::ConnectionReset);
    host.advance(10_000);
    assert_eq!(host.requests[&id].answer, Some("failed"));
}

#[test]
fn a_request_in_hand_keeps_the_attempts_and_the_aim_that_it_came_with() {
    for (before, then, tries) in [(1, 3, 1), (3, 1, 3)] {
        let mut host = host(vec![class(Idempotency::Idempotent)]);
        host.reconfigure(Config { max_attempts: before, ..host.cfg.clone() });
        let id = host.arrive(0, 900_000);
        host.reconfigure(Config { max_attempts: then, ..host.cfg.clone() });
        for no in 0..3 {
            host.end(id, no, Outcome::Rejected);
            host.advance(5_000);
        }
        assert_eq!(host.requests[&id].tries.len(), tries, "{before} attempts, then {then}");
    }
    // Held for want of a backend: given up by the aim that it came with, not by that of those after it.
    let mut host = host(vec![class(Idempotency::Idempotent)]);
    host.members(EndpointListUpdate::Snapshot, Vec::new());
    let long = host.arrive(0, 900_000);
    let short = Class { latency_objective: Micros(100_000), ..class(Idempotency::Idempotent) };
    host.reconfigure(Config { classes: vec![short], ..host.cfg.clone() });
    let brief = host.arrive(0, 900_000);
    host.advance(200_000);
    assert_eq!((host.requests[&long].answer, host.requests[&brief].answer), (None, Some("refused")));
}

#[test]
fn classes_may_leave_come_and_change_places_while_requests_of_them_are_in_hand() {
    let slow = Class { latency_objective: Micros(800_000), ..class(Idempotency::NonIdempotent) };
    let mut host = host(vec![class(Idempotency::Idempotent), slow.clone(), class(Idempotency::Idempotent)]);
    let leaving = host.arrive(1, 900_000);
    let moving = host.arrive(2, 900_000);
    let classes = vec![class(Idempotency::NonIdempotent), class(Idempotency::Idempotent)];
    host.configure(Config { classes, ..host.cfg.clone() }, numbers(&[None, Some(2)]), Vec::new());
    // A number beyond the classes in force names none, also while the class that left is remembered.
    let stranger = RequestArrival {
        request: RequestId(1_000_000),
        class: ClassId(2),
        tenant: None,
        time_left: Micros(500_000),
        expected_work: None,
        is_client_retry: false,
    };
    host.event(Event::RequestArrived(stranger));
    assert!(host.last.iter().all(|a| !matches!(a, Action::Dispatch { .. })), "{:?}", host.last);
    let new = host.arrive(0, 900_000);
    host.configure(Config { classes: vec![slow], ..host.cfg.clone() }, numbers(&[None]), Vec::new());
    host.end(leaving, 0, Outcome::ConnectionReset);
    host.end(moving, 0, Outcome::ConnectionReset);
    host.end(new, 0, Outcome::Success);
    host.advance(10_000);
    let how = |id| (host.requests[&id].tries.len(), host.requests[&id].answer);
    assert_eq!((how(leaving), how(new)), ((1, Some("failed")), (1, Some("served"))));
    assert_eq!(how(moving), (2, None));
    // An attempt that outlives its request and its class.
    host.event(Event::ClientDisconnected { request: moving });
    host.requests.get_mut(&moving).expect("known").answer = Some("left");
    host.configure(
        Config { classes: vec![class(Idempotency::Idempotent)], ..host.cfg.clone() },
        numbers(&[None]),
        vec![],
    );
    host.end(moving, 1, Outcome::Success);
    assert_eq!(serve(&mut host, 5, 0, |_| 20_000).len(), 5);
}

/// The mean of a class's latency shows in how long before its aim a request of it is given up.
#[test]
fn what_was_learned_of_a_class_goes_with_its_name() {
    let given_up_after = |was: Option<usize>| {
        let mut host = host(vec![class(Idempotency::Idempotent), class(Idempotency::Idempotent)]);
        serve(&mut host, 60, 1, |_| 300_000);
        let classes = vec![class(Idempotency::Idempotent)];
        host.configure(Config { classes, ..host.cfg.clone() }, numbers(&[was]), Vec::new());
        host.members(EndpointListUpdate::Snapshot, Vec::new());
        let id = host.arrive(0, 900_000);
        (1..).find(|_| {
            host.advance(10_000);
            host.requests[&id].answer.is_some()
        })
    };
    let (slow, quick, new) = (given_up_after(Some(1)), given_up_after(Some(0)), given_up_after(None));
    assert!(slow < new && new < quick, "after {slow:?}, {new:?} and {quick:?} hundredths of a second");
}

#[test]
fn an_ejected_backend_stays_ejected() {
    let mut host = host(vec![class(Idempotency::Idempotent)]);
    for _ in 0..40 {
        let id = host.arrive(0, 900_000);
        host.end_all(|to| if to == 2 { Outcome::ConnectFailed } else { Outcome::Success });
        host.advance(5_000);
        host.end_all(|_| Outcome::Success);
        if host.has_ejected(BackendId(2)) {
            break;
        }
        assert!(host.requests[&id].answer.is_some());
    }
    assert!(host.has_ejected(BackendId(2)), "{:?}", host.logs);
    host.reconfigure(Config { cross_zone_cost: 0.1, ..host.cfg.clone() });
    let chosen = serve(&mut host, 20, 0, |_| 5_000);
    assert!(chosen.iter().all(|b| *b != 2), "{chosen:?}");
}

/// Requests that a backend which has just started is sent in its first moments, where something happens now and
/// then that has the shares solved anew.
fn sent_to_a_cold_backend(now_and_then: impl Fn(&mut Host, Backend)) -> usize {
    let patient = Class { latency_objective: Micros(5_000_000), ..class(Idempotency::Idempotent) };
    // A backend that falls over soon, so that it is this that bounds what it is sent.
    let cfg = Config { classes: vec![patient], proxy_count: 1, overload_multiple: 0.05, ..Config::example() };
    let mut host = Host::new(cfg, 5);
    let cold = Backend { started_at: Some(host.now), ..backend(0, 0, 0) };
    host.burst(100, 0, 6_000_000);
    host.members(EndpointListUpdate::Snapshot, vec![cold.clone()]);
    for turn in 0..20 {
        host.serve_all(20_000);
        host.serve_all(20_000);
        now_and_then(&mut host, Backend { cell: CellId(turn), ..cold.clone() });
    }
    host.requests.values().map(|r| r.tries.len()).sum()
}

#[test]
fn what_a_cold_backend_was_sent_stays_counted() {
    let told = |host: &mut Host, entry| host.members(EndpointListUpdate::Delta, vec![entry]);
    let reloads = |host: &mut Host, _| host.reconfigure(host.cfg.clone());
    let (without, with) = (sent_to_a_cold_backend(told), sent_to_a_cold_backend(reloads));
    assert!((1..=15).contains(&without), "{without} requests");
    assert!(with <= without + 2, "{with} requests, {without} without");
}

#[test]
fn a_tenant_that_stays_keeps_its_bucket_and_a_new_one_has_a_full_one() {
    let tenants = vec![Tenant { quota_per_second: 3.0 }, Tenant { quota_per_second: 3.0 }];
    let cfg = Config { proxy_count: 1, over_quota_weight: 0.0, tenants, ..Config::example() };
    // What is past its quota finds no place while others fill the room; alone it tells by the order of service.
    let served_first = |was: Option<usize>| {
        let mut host = Host::new(cfg.clone(), 4);
        host.members(EndpointListUpdate::Snapshot, vec![backend(0, 0, 0)]);
        for _ in 0..8 {
            let id = host.arrive_for(0, 400_000, Some(TenantId(1)));
            host.advance(5_000);
            host.end(id, 0, Outcome::Success);
        }
        let tenants = vec![Tenant { quota_per_second: 3.0 }];
        let was = vec![was.map(TenantId)];
        host.configure(Config { tenants, ..host.cfg.clone() }, numbers(&[Some(0)]), was);
        let list = vec![Backend { state: BackendState::Draining, ..backend(0, 0, 0) }];
        host.members(EndpointListUpdate::Snapshot, list);
        let within = host.arrive(0, 400_000);
        host.advance(5_000);
        let tenants_own = host.arrive_for(0, 400_000, Some(TenantId(0)));
        host.members(EndpointListUpdate::Snapshot, vec![backend(0, 0, 0)]);
        let order = host.last.iter().find_map(|a| match a {
            Action::Dispatch { request, .. } => Some(*request),
            _ => None,
        });
        assert!(order == Some(within) || order == Some(tenants_own), "{:?}", host.last);
        order == Some(tenants_own)
    };
    // Newest first among equals: the tenant's own leads unless its bucket is empty.
    assert_eq!((served_first(Some(1)), served_first(Some(0)), served_first(None)), (false, true, true));
}

#[test]
fn the_size_of_the_fleet_and_the_place_in_it_come_into_force() {
    let list: Vec<Backend> = (0..60).map(|i| backend(i, 0, 0)).collect();
    let used = |host: &mut Host| {
        let chosen = serve(host, 60, 0, |_| 20_000);
        chosen.into_iter().collect::<BTreeSet<u32>>()
    };
    let mut host = Host::new(Config { proxy_count: 3, ..Config::example() }, 6);
    host.members(EndpointListUpdate::Snapshot, list);
    assert!(used(&mut host).len() > 20);
    host.reconfigure(Config { proxy_count: 100, proxy_index: 7, ..host.cfg.clone() });
    let (seventh, all) = (used(&mut host), host.list.len());
    assert!(seventh.len() <= 12, "{seventh:?} of {all}");
    host.reconfigure(Config { proxy_index: 8, ..host.cfg.clone() });
    assert!(used(&mut host).is_disjoint(&seventh));
    host.reconfigure(Config { proxy_count: 3, proxy_index: 0, ..host.cfg.clone() });
    assert!(used(&mut host).len() > 20);
}

/// In a large fleet late answers lower what is let in, and good ones raise it. In a small one neither does: what was
/// lowered before would stay so for ever.
#[test]
fn a_fleet_that_shrinks_to_few_lets_all_in_again() {
    let mut host = Host::new(Config { proxy_count: 100, ..Config::example() }, 6);
    host.members(EndpointListUpdate::Snapshot, (0..20).map(|i| backend(i, 0, 0)).collect());
    for _ in 0..200 {
        host.arrive(0, 900_000);
        host.serve_all(450_000);
    }
    host.reconfigure(Config { proxy_count: 3, ..host.cfg.clone() });
    for _ in 0..50 {
        let id = host.arrive(0, 900_000);
        assert_eq!(host.requests[&id].answer, None, "shed");
        host.serve_all(10_000);
    }
}

#[test]
fn how_often_discovery_must_be_asked_comes_into_force() {
    let slow = Config { discovery: DiscoveryMode::Subscribe(Micros(20_000_000)), ..Config::example() };
    let mut host = Host::new(slow.clone(), 6);
    host.members(EndpointListUpdate::Cached, vec![backend(0, 0, 0)]);
    assert_eq!(host.follows, 1);
    host.reconfigure(Config { discovery: DiscoveryMode::Subscribe(Micros(1_000_000)), ..slow });
    host.advance(700_000);
    assert_eq!(host.follows, 2, "unanswered, it is asked for again");
    host.reconfigure(Config { discovery: DiscoveryMode::Push, ..host.cfg.clone() });
    host.advance(5_000_000);
    assert_eq!(host.follows, 2, "a pushed list is not asked for");
    host.reconfigure(Config { discovery: DiscoveryMode::Subscribe(Micros(1_000_000)), ..host.cfg.clone() });
    assert_eq!(host.follows, 3);
}

#[test]
fn a_configuration_that_is_not_sound_changes_nothing() {
    let mut host = host(vec![class(Idempotency::Idempotent)]);
    let good = host.cfg.clone();
    host.configure(Config { classes: Vec::new(), ..good.clone() }, Vec::new(), Vec::new());
    host.cfg = good;
    let no_class = ConfigError { field: "classes", expected: "at least one class" };
    assert!(host.logs.contains(&LogEvent::ConfigRejected(no_class)), "{:?}", host.logs);
    assert_eq!(serve(&mut host, 5, 0, |_| 20_000).len(), 5);
}
