//! What many proxies do together, each with a balancer that knows nothing of the others.

use crate::support::{backend, backends, serve, Answer, Host};
use load_balancer::{Backend, Config, DiscoveryMode, EndpointListUpdate, Event, Micros, Outcome};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};

/// The proxies of a fleet, all with the same endpoint list.
fn fleet(proxies: u32, backends: &[Backend]) -> Vec<Host> {
    fleet_of(&Config { proxy_count: proxies, ..Config::example() }, backends)
}

/// The same with other settings.
fn fleet_of(config: &Config, backends: &[Backend]) -> Vec<Host> {
    let start = |proxy_index| {
        let config = Config { proxy_index, ..config.clone() };
        let mut host = Host::new(config, u64::from(proxy_index) + 1);
        host.update_endpoints(EndpointListUpdate::Snapshot, backends.to_vec());
        host
    };
    (0..config.proxy_count).map(start).collect()
}

/// How many proxies use a backend, and how many requests it receives from all of them.
#[derive(Clone, Copy, Debug, Default)]
struct BackendUse {
    proxies: usize,
    requests: usize,
}

/// The use of each backend while each proxy serves so many requests.
fn backend_uses<'a>(hosts: impl Iterator<Item = &'a mut Host>, count: usize) -> BTreeMap<u32, BackendUse> {
    let mut uses: BTreeMap<u32, BackendUse> = BTreeMap::new();
    for host in hosts {
        let chosen = serve(host, count, 0, |_| 20_000);
        for backend in &chosen {
            uses.entry(*backend).or_default().requests += 1;
        }
        for backend in chosen.into_iter().collect::<BTreeSet<_>>() {
            uses.entry(backend).or_default().proxies += 1;
        }
    }
    uses
}

/// Guards against proxies that all keep connections to every backend, and backends that none uses.
#[test]
fn a_backend_is_used_by_few_of_many_proxies_and_gets_its_equal_share() {
    let backends: Vec<Backend> = (0..60).map(|id| backend(id, id % 3, id % 2)).collect();
    let mut hosts = fleet(100, &backends);
    let all = backend_uses(hosts.iter_mut(), 60);
    assert_eq!(all.len(), 60, "every backend is used");
    let connections: usize = all.values().map(|used| used.proxies).sum();
    assert!(connections <= 60 * 13, "{connections} connections to 60 backends");
    for (backend, BackendUse { proxies, requests }) in &all {
        assert!((5..=14).contains(proxies), "{proxies} proxies use backend {backend}");
        assert!((55..=150).contains(requests), "backend {backend} gets {requests} of 6000 requests");
    }
    // Three in ten are left after a release: no backend may be forgotten, none taken by all.
    let left = backend_uses(hosts.iter_mut().skip(35).take(30), 60);
    assert_eq!(left.len(), 60, "every backend is used by those left");
    assert!(left.values().all(|used| used.proxies <= 8), "{left:?}");
}

/// How many of so many proxies resubscribe in each tenth of a second after all lost their subscriptions.
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
            host.resubscriptions > 1
        });
        *resubscribed.expect("resubscribed within 6 s") += 1;
    }
    calls
}

/// Guards against a herd of proxies that resubscribe at one moment to a slow service.
#[test]
fn after_a_lost_subscription_a_large_fleet_spreads_its_calls_and_a_small_one_calls_soon() {
    let many = resubscriptions(100);
    assert!(many.iter().all(|calls| *calls <= 8), "{many:?}");
    assert!(many[..20].iter().sum::<u32>() >= 20, "some resubscribe soon: {many:?}");
    let few = resubscriptions(3);
    assert_eq!(few[..2].iter().sum::<u32>(), 3, "{few:?}");
    // A change counts as notified 6 s after discovery could be reached: half is for its queue and answer.
    let fleet = resubscriptions(470);
    assert_eq!(fleet[..30].iter().sum::<u32>(), 470, "{fleet:?}");
    assert!(fleet.iter().all(|calls| *calls <= 32), "{fleet:?}");
}

/// Guards against backends that no proxy of a small fleet uses.
#[test]
fn a_few_proxies_use_every_backend() {
    let backends: Vec<Backend> = (0..9).map(|id| backend(id, 0, id % 2)).collect();
    let all = backend_uses(fleet(3, &backends).iter_mut(), 200);
    assert_eq!(all.len(), 9);
    assert!(all.values().all(|used| used.proxies == 3), "{all:?}");
}

/// Guards against requests that fail because every backend of a proxy's subset is ejected.
#[test]
fn a_subset_whose_backends_are_all_ejected_lets_the_rest_of_the_kind_serve() {
    let mut host = fleet(200, &backends(40)).swap_remove(7);
    let subset: BTreeSet<u32> = serve(&mut host, 60, 0, |_| 20_000).into_iter().collect();
    assert!(subset.len() <= 5, "{subset:?}");
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
    panic!("nothing was sent outside the subset");
}

/// Guards against one outlier that leaves its whole kind idle while requests to the other are rejected.
#[test]
fn one_outlier_does_not_make_its_kind_look_slow_to_the_fleet() {
    // One proxy's split varies by chance, from a fifth to four fifths: the sum is what counts.
    let backends: Vec<Backend> = (0..12).map(|id| backend(id, 0, id % 2)).collect();
    let (mut to_slow_kind, mut all) = (0, 0);
    for mut host in fleet(40, &backends) {
        let chosen = serve(&mut host, 400, 0, |id| if id == 1 { 380_000 } else { 30_000 });
        let late = chosen.iter().skip(200);
        to_slow_kind += late.clone().filter(|id| **id % 2 == 1).count();
        all += late.count();
    }
    assert!(to_slow_kind * 10 >= all * 3, "{to_slow_kind} of {all} went to that kind");
}

/// Guards against a new kind that is not used because the list was empty before.
#[test]
fn after_an_empty_list_a_kind_never_seen_is_used_as_soon_as_it_is_listed() {
    let backends: Vec<Backend> = (0..60).map(|id| backend(id, 0, id % 3)).collect();
    let mut hosts = fleet(100, &backends);
    backend_uses(hosts.iter_mut(), 20);
    let new_kind: Vec<Backend> = (100..140).map(|id| backend(id, 0, 9)).collect();
    for host in &mut hosts {
        host.update_endpoints(EndpointListUpdate::Snapshot, Vec::new());
        let rejected = host.arrive(0, 300_000);
        host.advance(300_000);
        assert!(host.dispatched_to(rejected).is_empty());
        assert_eq!(host.answer(rejected), Some(Answer::Rejected));
        let queued = host.arrive(0, 900_000);
        host.update_endpoints(EndpointListUpdate::Snapshot, new_kind.clone());
        assert_eq!(host.dispatched_to(queued).len(), 1, "sent as soon as there is a list");
        host.serve_all(20_000);
    }
    let all = backend_uses(hosts.iter_mut(), 40);
    assert_eq!(all.len(), 40, "every backend of the new kind is used");
    assert!(all.values().all(|used| used.proxies <= 14), "{all:?}");
}

/// Guards against shares that become uneven in a fleet of more proxies than backends.
#[test]
fn a_fleet_far_over_a_hundred_still_gives_each_backend_its_equal_share() {
    // Each proxy needs one backend at least: there are that many more proxies than backends.
    for proxies in [300, 1_000] {
        let all = backend_uses(fleet(proxies, &backends(60)).iter_mut(), 20);
        let mean = proxies as usize * 20 / 60;
        for (backend, used) in &all {
            let BackendUse { proxies: users, requests } = used;
            assert!(*users <= proxies as usize / 10, "{users} of {proxies} proxies use backend {backend}");
            assert!(
                (mean / 2..=mean * 3 / 2).contains(requests),
                "{requests} to {backend}, {mean} on average"
            );
        }
        assert_eq!(all.len(), 60, "every backend is used");
    }
}

/// Requests that come to a fleet by chance, each answered after one step.
struct Load {
    requests_per_second: f64,
    step_us: u64,
    steps: u32,
}

/// When, in µs, each attempt under this load went to one backend.
fn times_sent_to(backend: u64, hosts: &mut [Host], load: &Load) -> Vec<u64> {
    let mut random = Pcg32::seed_from_u64(hosts.len() as u64);
    let mean = load.requests_per_second * load.step_us as f64 / 1e6 / hosts.len() as f64;
    let mut times = Vec::new();
    for host in hosts {
        for _ in 0..load.steps {
            let count = mean + f64::from(random.next_u32()) / f64::from(u32::MAX);
            host.burst(count as usize, 0, 400_000);
            host.serve_all(load.step_us);
            let ended = host.requests.values().filter(|request| request.answer.is_some());
            let attempts = ended.flat_map(|request| &request.attempts);
            times.extend(attempts.filter(|attempt| attempt.backend.0 == backend).map(|attempt| attempt.at.0));
            host.requests.retain(|_, request| request.answer.is_none());
        }
    }
    times.sort_unstable();
    times
}

/// Guards against a fleet that overloads a warming backend, the only one with room beside full ones.
#[test]
fn a_warming_backend_is_not_overloaded_by_a_fleet_of_any_size() {
    // Sixty backends that serve 50 a second each are sent two thirds of that, and from the moment in which
    // one starts again 4,000 a second.
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
        assert!(sent.len() >= 10, "{proxies} proxies sent it {} in three seconds", sent.len());
        for from in &sent {
            let count = sent.iter().filter(|at| (*from..from + 2_000_000).contains(*at)).count();
            let warmth = 0.1 + 0.9 * (from - start.0 + 1_000_000) as f64 / 10e6;
            let limit = 2.0 * warmth * 50.0 * 2.0;
            assert!(count as f64 <= limit, "{proxies} proxies sent it {count} of {limit} in two seconds");
        }
    }
}
