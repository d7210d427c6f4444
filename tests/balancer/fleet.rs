//! The combined behaviour of a fleet of proxies, whose balancers do not communicate.

use crate::support::{backend, backends, serve, Host, RequestOutcome};
use load_balancer::{Backend, Config, DiscoveryMode, EndpointListUpdate, Event, Micros, Outcome};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};

/// The hosts of a fleet with the example configuration and this endpoint list.
fn fleet(proxies: u32, backends: &[Backend]) -> Vec<Host> {
    fleet_of(&Config { proxy_count: proxies, ..Config::example() }, backends)
}

/// The hosts of a fleet with this configuration, each with its own proxy index, and this endpoint list.
fn fleet_of(config: &Config, backends: &[Backend]) -> Vec<Host> {
    let start = |proxy_index| {
        let config = Config { proxy_index, ..config.clone() };
        let mut host = Host::new(config, u64::from(proxy_index) + 1);
        host.update_endpoints(EndpointListUpdate::Snapshot, backends.to_vec());
        host
    };
    (0..config.proxy_count).map(start).collect()
}

/// Number of proxies that use a backend, and of requests that it receives from all of them.
#[derive(Clone, Copy, Debug, Default)]
struct BackendUse {
    proxies: usize,
    requests: usize,
}

/// The use of each backend while each proxy serves this number of requests. Unused backends are absent.
fn backend_uses<'a>(
    hosts: impl Iterator<Item = &'a mut Host>, requests_per_proxy: usize,
) -> BTreeMap<u32, BackendUse> {
    let mut uses: BTreeMap<u32, BackendUse> = BTreeMap::new();
    for host in hosts {
        let chosen = serve(host, requests_per_proxy, 0, |_| 20_000);
        for backend in &chosen {
            uses.entry(*backend).or_default().requests += 1;
        }
        for backend in chosen.into_iter().collect::<BTreeSet<_>>() {
            uses.entry(backend).or_default().proxies += 1;
        }
    }
    uses
}

/// Guards against proxies that all connect to every backend, and backends that no proxy uses.
#[test]
fn few_of_many_proxies_use_each_backend_and_load_it_evenly() {
    let backends: Vec<Backend> = (0..60).map(|id| backend(id, id % 3, id % 2)).collect();
    let mut hosts = fleet(100, &backends);
    let all = backend_uses(hosts.iter_mut(), 60);
    assert_eq!(all.len(), 60, "a backend is not used");
    let connections: usize = all.values().map(|used| used.proxies).sum();
    assert!(connections <= 60 * 13, "{connections} connections to 60 backends, expected at most 13 to each");
    for (backend, BackendUse { proxies, requests }) in &all {
        assert!((5..=14).contains(proxies), "{proxies} proxies use backend {backend}, expected 5 to 14");
        assert!(
            (55..=150).contains(requests),
            "backend {backend} gets {requests} of 6000 requests, expected 55 to 150"
        );
    }
    // While only 30 proxies with consecutive indices run, each backend must still be used, but not by all.
    let remaining = backend_uses(hosts.iter_mut().skip(35).take(30), 60);
    assert_eq!(remaining.len(), 60, "a backend is used by no remaining proxy");
    assert!(
        remaining.values().all(|used| used.proxies <= 8),
        "a backend is used by more than 8 of 30 proxies: {remaining:?}"
    );
}

/// Number of proxies of a fleet that resubscribe in each 100 ms after all lost their subscriptions.
fn resubscriptions(proxies: u32) -> Vec<u32> {
    let mut calls = vec![0; 60];
    for proxy_index in 0..proxies {
        let discovery = DiscoveryMode::Subscribe(Micros(10_000_000));
        let config = Config { proxy_count: proxies, proxy_index, discovery, ..Config::example() };
        let mut host = Host::new(config, u64::from(proxy_index) + 1);
        host.update_endpoints(EndpointListUpdate::Cached, vec![backend(1, 0, 0)]);
        host.handle(Event::EndpointListChanged {
            update: EndpointListUpdate::SubscriptionLost,
            backends: Vec::new(),
        });
        let resubscribed = calls.iter_mut().find(|_| {
            host.advance(100_000);
            host.resubscriptions > 1 // the first is the subscription at the start
        });
        *resubscribed.expect("the proxy did not resubscribe within 6 s") += 1;
    }
    calls
}

/// Guards against a thundering herd: proxies that all resubscribe to discovery at the same moment.
#[test]
fn only_a_large_fleet_spreads_its_resubscriptions_over_seconds() {
    let many = resubscriptions(100);
    assert!(many.iter().all(|calls| *calls <= 8), "more than 8 resubscribed within 100 ms: {many:?}");
    assert!(many[..20].iter().sum::<u32>() >= 20, "fewer than 20 resubscribed within 2 s: {many:?}");
    let few = resubscriptions(3);
    assert_eq!(
        few[..2].iter().sum::<u32>(),
        3,
        "not all of a small fleet resubscribed within 200 ms: {few:?}"
    );
    // A proxy counts as notified 6 s after discovery is reachable. Half of that remains for the queue at
    // discovery and its response.
    let hundreds = resubscriptions(470);
    assert_eq!(hundreds[..30].iter().sum::<u32>(), 470, "not all resubscribed within 3 s: {hundreds:?}");
    assert!(
        hundreds.iter().all(|calls| *calls <= 32),
        "more than 32 resubscribed within 100 ms: {hundreds:?}"
    );
}

/// Guards against subsetting in a small fleet.
#[test]
fn every_proxy_of_a_small_fleet_uses_every_backend() {
    let backends: Vec<Backend> = (0..9).map(|id| backend(id, 0, id % 2)).collect();
    let all = backend_uses(fleet(3, &backends).iter_mut(), 200);
    assert_eq!(all.len(), 9);
    assert!(all.values().all(|used| used.proxies == 3), "a backend is not used by all proxies: {all:?}");
}

/// Guards against requests that fail because all backends of a proxy's subset are ejected.
#[test]
fn other_backends_of_a_kind_serve_if_the_subset_is_ejected() {
    let mut host = fleet(200, &backends(40)).swap_remove(7);
    let subset: BTreeSet<u32> = serve(&mut host, 60, 0, |_| 20_000).into_iter().collect();
    assert!(subset.len() <= 5, "the subset has more than 5 of 40 backends: {subset:?}");
    for _ in 0..40 {
        let id = host.arrive(0, 900_000);
        host.end_all(
            |backend| if subset.contains(&backend) { Outcome::ConnectFailed } else { Outcome::Success },
        );
        host.serve_all(20_000);
        if host.requests[&id].attempts.len() == 1 && !subset.contains(&host.dispatched_to(id)[0]) {
            return;
        }
    }
    panic!("no request was first sent to a backend outside the subset");
}

/// Guards against one slow backend that makes proxies stop using its whole kind.
#[test]
fn one_slow_backend_does_not_take_traffic_from_its_kind() {
    // A single proxy sends a random part, from a fifth to four fifths, to each kind. The sum over the fleet
    // varies less.
    let backends: Vec<Backend> = (0..12).map(|id| backend(id, 0, id % 2)).collect();
    let (mut to_slow_kind, mut all) = (0, 0);
    for mut host in fleet(40, &backends) {
        let chosen = serve(&mut host, 400, 0, |id| if id == 1 { 380_000 } else { 30_000 });
        let second_half = chosen.iter().skip(200);
        to_slow_kind += second_half.clone().filter(|id| **id % 2 == 1).count();
        all += second_half.count();
    }
    assert!(
        to_slow_kind * 10 >= all * 3,
        "{to_slow_kind} of {all} requests went to the kind of the slow backend"
    );
}

/// Guards against a new kind that is not used because the endpoint list was empty before.
#[test]
fn a_new_kind_is_used_immediately_after_an_empty_list() {
    let backends: Vec<Backend> = (0..60).map(|id| backend(id, 0, id % 3)).collect();
    let mut hosts = fleet(100, &backends);
    backend_uses(hosts.iter_mut(), 20);
    let new_kind: Vec<Backend> = (100..140).map(|id| backend(id, 0, 9)).collect();
    for host in &mut hosts {
        host.update_endpoints(EndpointListUpdate::Snapshot, Vec::new());
        let rejected = host.arrive(0, 300_000);
        host.advance(300_000);
        assert!(host.dispatched_to(rejected).is_empty());
        assert_eq!(host.outcome_of(rejected), Some(RequestOutcome::Rejected));
        let queued = host.arrive(0, 900_000);
        host.update_endpoints(EndpointListUpdate::Snapshot, new_kind.clone());
        assert_eq!(
            host.dispatched_to(queued).len(),
            1,
            "the queued request was not sent when the list arrived"
        );
        host.serve_all(20_000);
    }
    let all = backend_uses(hosts.iter_mut(), 40);
    assert_eq!(all.len(), 40, "a backend of the new kind is not used");
    assert!(
        all.values().all(|used| used.proxies <= 14),
        "a backend is used by more than 14 of 100 proxies: {all:?}"
    );
}

/// Guards against uneven shares in a fleet of more proxies than backends.
#[test]
fn a_fleet_of_hundreds_gives_each_backend_an_equal_share() {
    for proxies in [300, 1_000] {
        let all = backend_uses(fleet(proxies, &backends(60)).iter_mut(), 20);
        let mean = proxies as usize * 20 / 60;
        for (backend, used) in &all {
            let BackendUse { proxies: users, requests } = used;
            assert!(
                *users <= proxies as usize / 10,
                "{users} of {proxies} proxies use backend {backend}, expected at most a tenth"
            );
            assert!(
                (mean / 2..=mean * 3 / 2).contains(requests),
                "backend {backend} gets {requests} requests, the mean is {mean}"
            );
        }
        assert_eq!(all.len(), 60, "a backend is not used");
    }
}

/// Random arrivals at a fleet. Each request is served after one step.
struct Load {
    requests_per_second: f64,
    step_us: u64,
    steps: u32,
}

/// The times in µs at which attempts were sent to one backend under this load, sorted.
fn times_sent_to(backend: u64, hosts: &mut [Host], load: &Load) -> Vec<u64> {
    let mut random = Pcg32::seed_from_u64(hosts.len() as u64);
    let mean_per_step = load.requests_per_second * load.step_us as f64 / 1e6 / hosts.len() as f64;
    let mut times = Vec::new();
    for host in hosts {
        for _ in 0..load.steps {
            // Rounded down after adding a random number from 0 to 1, which keeps the mean.
            let count = mean_per_step + f64::from(random.next_u32()) / f64::from(u32::MAX);
            host.burst(count as usize, 0, 400_000);
            host.serve_all(load.step_us);
            let ended = host.requests.values().filter(|request| request.outcome.is_some());
            let attempts = ended.flat_map(|request| &request.attempts);
            times.extend(
                attempts
                    .filter(|attempt| attempt.backend.0 == backend)
                    .map(|attempt| attempt.dispatched_at.0),
            );
            host.requests.retain(|_, request| request.outcome.is_none());
        }
    }
    times.sort_unstable();
    times
}

/// Guards against a fleet that overloads a warming backend because all other backends are at their limits.
#[test]
fn a_restarted_backend_is_not_overloaded_while_others_are_full() {
    // 60 backends that serve 50 requests per second each receive 2,000 per second in total, and 4,000 per
    // second, more than they can serve, after backend 7 has restarted.
    for proxies in [12, 100, 400, 1000] {
        let backends: Vec<Backend> = (0..60).map(|id| backend(id, 0, id % 3)).collect();
        let config = Config {
            proxy_count: proxies,
            slow_start_initial_fraction: 0.1,
            overload_multiple: 2.0,
            ..Config::example()
        };
        let mut hosts = fleet_of(&config, &backends);
        times_sent_to(7, &mut hosts, &Load { requests_per_second: 2_000.0, step_us: 20_000, steps: 100 });
        let start = hosts[0].now;
        for host in &mut hosts {
            let restarted = Backend { started_at: Some(start), ..backend(7, 0, 1) };
            host.update_endpoints(EndpointListUpdate::Delta, vec![restarted]);
        }
        let overload = Load { requests_per_second: 4_000.0, step_us: 80_000, steps: 40 };
        let sent = times_sent_to(7, &mut hosts, &overload);
        assert!(
            sent.len() >= 10,
            "{proxies} proxies sent the warming backend only {} requests in 3.2 s",
            sent.len()
        );
        for from in &sent {
            let count = sent.iter().filter(|at| (*from..from + 2_000_000).contains(*at)).count();
            // Overload multiple x capacity in the middle of the window x length of the window. The slow start
            // lasts 10 s.
            let warm_fraction = 0.1 + 0.9 * (from - start.0 + 1_000_000) as f64 / 10e6;
            let limit = 2.0 * warm_fraction * 50.0 * 2.0;
            assert!(
                count as f64 <= limit,
                "{proxies} proxies sent the warming backend {count} requests in 2 s, limit {limit}"
            );
        }
    }
}
