//! What a backend is sent that has just started.

use crate::support::{backend, backends, host, serve};
use load_balancer::{Backend, BackendId, Config, EndpointListUpdate, Micros, Outcome};

/// Guards against a warming backend that is sent more than it can bear inside the overload window.
#[test]
fn a_warming_backend_gets_less_than_its_budget() {
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
    let chosen = serve(&mut host, 100, 0, |_| 20_000); // two seconds, one overload window
    let sent = chosen.iter().filter(|id| **id == 9).count();
    // A warm backend serves 50 to 67 a second: at a tenth, twice that over two seconds, 27 at most.
    assert!((1..=14).contains(&sent), "{sent} of 100 went to the warming backend");
}

/// Guards against a burst to warming backends that each proxy alone would take for harmless.
#[test]
fn a_burst_cannot_overload_a_warming_backend() {
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
    // Served in 20 ms, 100 a second at most: at a tenth, twice that, over two seconds, a third is 13 each.
    let attempts = || {
        let all = host.requests.values().flat_map(|request| &request.attempts);
        all.filter(|attempt| Some(attempt.at) >= started_at)
    };
    let most = (0..12).map(|id| attempts().filter(|attempt| attempt.backend == BackendId(id)).count()).max();
    assert!(sent >= 1 && most <= Some(13), "{sent} sent, {most:?} to one warming backend");
}

/// Guards against a warming backend that is preferred because the live weights of all warm ones are low.
#[test]
fn many_proxies_do_not_overload_an_idle_warming_backend_beside_loaded_ones() {
    let duration = Micros(1_000_000_000);
    let config = Config {
        proxy_count: 126,
        live_weights: true,
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
        "{sent} of 300 went to the warming one, while its share of the capacity is under a hundredth"
    );
}
