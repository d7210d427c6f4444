//! Selection of a backend within a kind.

use crate::support::{backend, backends, host, serve};
use load_balancer::{Backend, Config, EndpointListUpdate};

/// Guards against a preference among equal backends.
#[test]
fn selection_within_a_kind_is_uniform() {
    let mut host = host(Config { proxy_count: 1, ..Config::example() }, backends(4));
    let chosen = serve(&mut host, 800, 0, |_| 20_000);
    for id in 0..4 {
        let count = chosen.iter().filter(|chosen| **chosen == id).count();
        assert!((150..=250).contains(&count), "backend {id} received {count} of 800 requests");
    }
}

/// Guards against traffic to a backend that its weight in the endpoint list reports as overloaded.
#[test]
fn live_weights_reduce_traffic_to_a_loaded_backend() {
    let count = |weights_report_load: bool| {
        let mut host = host(Config { weights_report_load, ..Config::example() }, backends(4));
        serve(&mut host, 20, 0, |_| 10_000);
        host.update_endpoints(EndpointListUpdate::Delta, vec![Backend { weight: 0.05, ..backend(0, 0, 0) }]);
        host.advance(1_000_000);
        serve(&mut host, 200, 0, |_| 10_000).iter().filter(|id| **id == 0).count()
    };
    assert!(count(true) <= 10, "{} of 200 requests went to the overloaded backend", count(true));
    assert!(
        count(false) >= 30,
        "{} of 200 requests went to the backend where weights do not report load",
        count(false)
    );
}
