//! The requests that a proxy sends to a warming backend.

use crate::support::{backend, backends, host, serve};
use load_balancer::{Backend, BackendId, Config, EndpointListUpdate, Micros, Outcome};

/// Guards against a proxy that overloads a warming backend within the overload window.
#[test]
fn a_warming_backend_receives_less_than_its_limit() {
    let config = Config {
        proxy_count: 1,
        slow_start_initial_fraction: 0.1,
        overload_multiple: 2.0,
        ..Config::example()
    };
    let mut host = host(config, backends(3));
    serve(&mut host, 200, 0, |_| 20_000);
    let warming = Backend { started_at: Some(host.now), ..backend(9, 0, 0) };
    host.update_endpoints(EndpointListUpdate::Delta, vec![warming]);
    let chosen = serve(&mut host, 100, 0, |_| 20_000); // 2 s, one overload window
    let sent = chosen.iter().filter(|id| **id == 9).count();
    // The backend serves 50 to 67 requests per second when warm, and tolerates up to 67 * 0.1 * 2 * 2 s = 27
    // when it starts. The proxy sends at most half of that.
    assert!((1..=14).contains(&sent), "{sent} of 100 requests went to the warming backend, expected 1 to 14");
}

/// Guards against proxies that each send a burst within the limit and together exceed it.
#[test]
fn a_burst_does_not_overload_a_warming_backend() {
    let config = Config {
        proxy_count: 3,
        slow_start_initial_fraction: 0.1,
        overload_multiple: 2.0,
        ..Config::example()
    };
    let mut host = host(config, backends(12));
    serve(&mut host, 100, 0, |_| 20_000);
    let started_at = Some(host.now);
    let restarted = (0..12).map(|id| Backend { started_at, ..backend(id, 0, 0) }).collect();
    host.update_endpoints(EndpointListUpdate::Snapshot, restarted);
    let mut sent = 0;
    for _ in 0..25 {
        host.burst(4, 0, 900_000);
        host.advance(20_000);
        sent += host.in_flight().len();
        host.end_all(|_| Outcome::Success);
    }
    // A backend that serves 100 requests per second when warm tolerates 100 * 0.1 * 2 * 2 s = 40 when it
    // starts. A third of these, 13, may come from this proxy.
    let attempts = || {
        let all = host.requests.values().flat_map(|request| &request.attempts);
        all.filter(|attempt| Some(attempt.dispatched_at) >= started_at)
    };
    let most = (0..12).map(|id| attempts().filter(|attempt| attempt.backend == BackendId(id)).count()).max();
    assert!(
        sent >= 1 && most <= Some(13),
        "{sent} requests sent, up to {most:?} to one warming backend, expected at most 13"
    );
}

/// Guards against a warming backend that is preferred because the list reports low weights for all warm
/// backends.
#[test]
fn an_idle_warming_backend_among_loaded_ones_is_not_preferred() {
    let duration = Micros(1_000_000_000);
    let config = Config {
        proxy_count: 126,
        weights_report_load: true,
        slow_start_initial_fraction: 0.1,
        slow_start_duration: duration,
        ..Config::example()
    };
    let mut host = host(Config { overload_multiple: 2.0, ..config }, backends(36));
    serve(&mut host, 60, 0, |_| 30_000);
    let mut backends: Vec<Backend> =
        (0..36).map(|id| Backend { weight: 0.02, ..backend(id, 0, 0) }).collect();
    backends.push(Backend { started_at: Some(host.now), ..backend(36, 0, 0) });
    host.update_endpoints(EndpointListUpdate::Snapshot, backends);
    let sent = serve(&mut host, 300, 0, |_| 30_000).iter().filter(|id| **id == 36).count();
    assert!(
        sent <= 5,
        "{sent} of 300 requests went to the warming backend, which has under 1 % of the capacity"
    );
}
