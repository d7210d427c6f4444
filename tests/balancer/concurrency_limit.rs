//! How many attempts may be in flight, at a backend and from one proxy.

use crate::support::{backends, host, serve, AttemptId};
use load_balancer::{Config, Micros, Outcome};
use std::collections::BTreeSet;

/// Guards against a floor of one attempt for each proxy and backend, which overloads every backend.
#[test]
fn many_proxies_do_not_each_put_one_request_on_every_backend() {
    let mut host = host(Config { proxy_count: 11, ..Config::example() }, backends(22));
    host.burst(60, 0, 900_000);
    let count = host.in_flight().len();
    assert!((2..=14).contains(&count), "{count} in flight at 22 backends, 4 of 11 shares would be 8");
}

/// Guards against requests rejected beside idle backends, as many proxies share each backend's limit.
#[test]
fn with_many_proxies_no_backend_is_closed_and_the_proxy_limit_bounds_the_whole() {
    // A limit of 4 at each of 40 backends is 0.5 for each of 320 proxies: a few may be in flight.
    let mut host = host(Config { proxy_count: 320, ..Config::example() }, backends(40));
    host.burst(2, 0, 900_000);
    assert_eq!(host.in_flight().len(), 2, "a request waits beside idle backends");
    host.burst(40, 0, 900_000);
    assert!((2..=4).contains(&host.in_flight().len()), "{} in flight", host.in_flight().len());
    let used: BTreeSet<_> =
        host.requests.values().flat_map(|request| &request.attempts).map(|attempt| attempt.backend).collect();
    assert_eq!(used.len(), host.in_flight().len(), "two on one backend while others are idle");
}

/// Guards against a request that waits for a full backend beside one with room.
#[test]
fn a_full_backend_is_drawn_again_and_the_rest_waits() {
    let mut host = host(Config { proxy_count: 1, ..Config::example() }, backends(2));
    host.burst(20, 0, 900_000);
    let in_flight = host.in_flight();
    assert!((8..=10).contains(&in_flight.len()), "{} in flight at two backends", in_flight.len());
    let AttemptId { request, number } = in_flight[0];
    host.advance(20_000);
    let before = host.in_flight().len();
    host.end(request, number, Outcome::Success);
    assert_eq!(host.in_flight().len(), before, "the room made is used at once");
}

/// Guards against a limit that takes requests on the network for load at their backend.
#[test]
fn requests_on_a_long_way_leave_capacity_for_others() {
    // Ten requests' work fits into the time on the network to such a backend and back.
    let in_flight = |work_us: u64| {
        let mut host = host(Config { proxy_count: 1, ..Config::example() }, backends(2));
        host.expected_work = Some(Micros(work_us));
        serve(&mut host, 100, 0, |_| 20_000);
        host.burst(60, 0, 900_000);
        host.in_flight().len()
    };
    assert!((20..=30).contains(&in_flight(2_000)), "{} in flight at two distant backends", in_flight(2_000));
    assert!(
        (8..=10).contains(&in_flight(20_000)),
        "{} in flight at two that work all that time",
        in_flight(20_000)
    );
}
