//! Limits on attempts in flight at a backend and from one proxy.

use crate::support::{backends, host, serve, AttemptId};
use load_balancer::{Config, Micros, Outcome};
use std::collections::BTreeSet;

/// Guards against one attempt from every proxy at every backend, which would overload all backends.
#[test]
fn many_proxies_do_not_each_use_every_backend() {
    let mut host = host(Config { proxy_count: 11, ..Config::example() }, backends(22));
    host.burst(60, 0, 900_000);
    let count = host.in_flight().len();
    assert!(
        (2..=14).contains(&count),
        "{count} attempts in flight at 22 backends; this proxy's mean part is 22 * 4 / 11 = 8"
    );
}

/// Guards against requests that wait although backends are idle, where a proxy's part of each limit is less
/// than one attempt.
#[test]
fn many_proxies_use_idle_backends_within_the_proxy_limit() {
    // The limit of 4 attempts at each of 40 backends is 0.5 attempts per proxy on average. The allowance for
    // random variation raises it to a few.
    let mut host = host(Config { proxy_count: 320, ..Config::example() }, backends(40));
    host.burst(2, 0, 900_000);
    assert_eq!(host.in_flight().len(), 2, "a request waits although backends are idle");
    host.burst(40, 0, 900_000);
    assert!(
        (2..=4).contains(&host.in_flight().len()),
        "{} attempts in flight from one of 320 proxies, expected 2 to 4",
        host.in_flight().len()
    );
    let used: BTreeSet<_> =
        host.requests.values().flat_map(|request| &request.attempts).map(|attempt| attempt.backend).collect();
    assert_eq!(used.len(), host.in_flight().len(), "two attempts at one backend while others are idle");
}

/// Guards against a request that waits for a full backend while another one has capacity.
#[test]
fn requests_wait_only_when_all_backends_are_full() {
    let mut host = host(Config { proxy_count: 1, ..Config::example() }, backends(2));
    host.burst(20, 0, 900_000);
    let in_flight = host.in_flight();
    assert!(
        (8..=10).contains(&in_flight.len()),
        "{} attempts in flight at two backends, expected 8 to 10",
        in_flight.len()
    );
    let AttemptId { request, number } = in_flight[0];
    host.advance(20_000);
    let before = host.in_flight().len();
    host.end_attempt(request, number, Outcome::Success);
    assert_eq!(host.in_flight().len(), before, "freed capacity was not used at once");
}

/// Guards against a limit that counts requests on the network as load at the backend.
#[test]
fn network_latency_raises_the_concurrency_limit() {
    // Attempts in flight at two backends that work for `work_us` of each round trip of 20 ms.
    let in_flight = |work_us: u64| {
        let mut host = host(Config { proxy_count: 1, ..Config::example() }, backends(2));
        host.expected_work = Some(Micros(work_us));
        serve(&mut host, 100, 0, |_| 20_000);
        host.burst(60, 0, 900_000);
        host.in_flight().len()
    };
    assert!(
        (20..=30).contains(&in_flight(2_000)),
        "{} attempts in flight at two backends with 18 ms network latency, expected 20 to 30",
        in_flight(2_000)
    );
    assert!(
        (8..=10).contains(&in_flight(20_000)),
        "{} attempts in flight at two backends without network latency, expected 8 to 10",
        in_flight(20_000)
    );
}
