//! Traffic allocation between kinds of backends.

use crate::support::{backend, host, serve};
use load_balancer::Config;

/// Guards against the use of slow backends while fast ones are idle.
#[test]
fn the_faster_kind_gets_nearly_all_traffic_at_light_load() {
    let backends = (0..6).map(|id| backend(id, 0, id % 2)).collect();
    let mut host = host(Config { proxy_count: 1, ..Config::example() }, backends);
    let duration_us = |backend: u32| if backend % 2 == 0 { 20_000 } else { 80_000 };
    serve(&mut host, 150, 0, duration_us);
    let chosen = serve(&mut host, 100, 0, duration_us);
    let fast = chosen.iter().filter(|backend| *backend % 2 == 0).count();
    assert!(fast >= 95, "{fast} of 100 requests went to the fast kind");
}
