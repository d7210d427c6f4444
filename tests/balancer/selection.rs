//! The choice of a backend inside a kind.

use crate::support::{backend, backends, host, serve};
use load_balancer::{Backend, Config, EndpointListUpdate};

/// Guards against a backend that is preferred among equals.
#[test]
fn inside_a_kind_the_draw_is_uniform() {
    let mut host = host(Config { proxy_count: 1, ..Config::example() }, backends(4));
    let chosen = serve(&mut host, 800, 0, |_| 20_000);
    for id in 0..4 {
        let count = chosen.iter().filter(|chosen| **chosen == id).count();
        assert!((150..=250).contains(&count), "backend {id} got {count} of 800");
    }
}

/// Guards against load on a backend that only its live weight shows to be overloaded.
#[test]
fn a_loaded_backend_is_drawn_less_where_weights_are_live() {
    let count = |live_weights: bool| {
        let mut host = host(Config { live_weights, ..Config::example() }, backends(4));
        serve(&mut host, 20, 0, |_| 10_000);
        host.update_endpoints(EndpointListUpdate::Delta, vec![Backend { weight: 0.05, ..backend(0, 0, 0) }]);
        host.advance(1_000_000);
        serve(&mut host, 200, 0, |_| 10_000).iter().filter(|id| **id == 0).count()
    };
    assert!(count(true) <= 10, "{} of 200 went to the overloaded one", count(true));
    assert!(count(false) >= 30, "{} of 200 where weights are not live", count(false));
}
