//! Growth of a proxy's connections with the fleet: three times the proxies and sixteen times the backends, at
//! the same traffic per proxy. Simulates balancers with a connection pool that reuses connections and closes
//! idle ones as the proxy does.

use crate::support::{backend, Host};
use load_balancer::{Backend, BackendState, Config, EndpointListUpdate, Micros, Outcome, RequestId};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::HashMap;

/// Mean time between two requests of a proxy, in µs.
const MEAN_INTERVAL_US: f64 = 16_667.0;
/// Mean duration of a request, in µs.
const MEAN_SERVICE_US: f64 = 45_000.0;

/// Time after which an idle connection is closed, in µs.
const IDLE_TIMEOUT_US: u64 = 5_000_000;

/// Duration of a release, during which half of the backends are replaced, in µs.
const RELEASE_US: u64 = 25_000_000;

const KINDS: u32 = 2;

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
struct FleetSize {
    proxies: u32,
    backends: u32,
}

const USUAL: FleetSize = FleetSize { proxies: 300, backends: 200 };

const LARGE: FleetSize = FleetSize { proxies: 900, backends: 3200 };

/// The connections of one proxy.
#[derive(Default)]
struct Pool {
    /// For each backend and each connection to it, the end of the last request in µs.
    connections: HashMap<u32, Vec<u64>>,
    opened: u32,
    most_open: usize,
}

impl Pool {
    /// Closes the connections that have reached the idle timeout. Then sends a request on the most recently
    /// used free connection, or on a new one if none is free.
    fn send(&mut self, backend: u32, now: u64, end: u64) {
        for connections in self.connections.values_mut() {
            connections.retain(|last_end| now.saturating_sub(*last_end) < IDLE_TIMEOUT_US);
        }
        let connections = self.connections.entry(backend).or_default();
        match connections.iter_mut().filter(|last_end| **last_end <= now).max() {
            Some(last_end) => *last_end = end,
            None => {
                connections.push(end);
                self.opened += 1;
            }
        }
        self.most_open = self.most_open.max(self.connections.values().map(Vec::len).sum());
    }
}

/// A random duration from an exponential distribution with this mean.
fn random_time(random: &mut Pcg32, mean: f64) -> u64 {
    let unit = (f64::from(random.next_u32()) + 0.5) / 4_294_967_296.0;
    (-unit.ln() * mean) as u64
}

/// Replaces the backends of these numbers in one delta.
fn replace(host: &mut Host, pool: &mut Pool, size: FleetSize, numbers: std::ops::Range<u32>) {
    let mut delta = Vec::new();
    for number in numbers {
        let (old, new) = (id_of(number), id_of(size.backends + number));
        pool.connections.remove(&old);
        delta.push(Backend { state: BackendState::Removed, ..backend(old, 0, number % KINDS) });
        delta.push(Backend { started_at: Some(host.now), ..backend(new, 0, number % KINDS) });
    }
    host.update_endpoints(EndpointListUpdate::Delta, delta);
}

/// The id of a backend. A multiplicative hash of its number, so that the order of ids differs from the order
/// of starts.
fn id_of(number: u32) -> u32 {
    number.wrapping_mul(2_654_435_761)
}

/// A request in flight and its end in µs.
struct InFlight {
    end: u64,
    id: RequestId,
}

/// The connections of one proxy during a release.
#[derive(Clone, Copy, Debug)]
struct ConnectionUse {
    /// Number of connections opened.
    opened: f64,
    /// Maximum number of connections open at once.
    most_open: f64,
}

/// Simulates one proxy while half of the backends are replaced in the given number of steps.
fn run_release(size: FleetSize, proxy_index: u32, steps: u32) -> ConnectionUse {
    let config = Config { proxy_count: size.proxies, proxy_index, ..Config::example() };
    let mut host = Host::new(config, u64::from(proxy_index) + 1);
    host.update_endpoints(
        EndpointListUpdate::Snapshot,
        (0..size.backends).map(|number| backend(id_of(number), 0, number % KINDS)).collect(),
    );
    let (mut pool, mut in_flight) = (Pool::default(), Vec::new());
    let mut random = Pcg32::seed_from_u64(u64::from(proxy_index));
    let (start, mut replaced) = (host.now, 0);
    // The traffic of 5 s before the release opens the usual connections.
    let release_start = start + Micros(5_000_000);
    while host.now < release_start + Micros(RELEASE_US) {
        let step = ((host.now - release_start).0 * u64::from(steps) / RELEASE_US) as u32;
        let due = if host.now < release_start { 0 } else { size.backends / 2 * (step + 1) / steps };
        if due > replaced {
            replace(&mut host, &mut pool, size, replaced..due);
            replaced = due;
        }
        let id = host.arrive(0, 400_000);
        let now = host.now.0;
        for backend in host.dispatched_to(id) {
            let end = now + random_time(&mut random, MEAN_SERVICE_US);
            in_flight.push(InFlight { end, id });
            pool.send(backend, now, end);
        }
        let next = now + random_time(&mut random, MEAN_INTERVAL_US);
        in_flight.sort_by_key(|request| Reverse(request.end));
        while in_flight.last().is_some_and(|request| request.end <= next) {
            let Some(InFlight { end, id }) = in_flight.pop() else { break };
            host.advance(end.saturating_sub(host.now.0));
            host.end_attempt(id, 0, Outcome::Success);
        }
        host.advance(next.saturating_sub(host.now.0));
        host.requests.retain(|_, request| request.outcome.is_none());
    }
    ConnectionUse { opened: f64::from(pool.opened), most_open: pool.most_open as f64 }
}

/// The mean connections over some proxies of the fleet.
fn mean_use(size: FleetSize, steps: u32) -> ConnectionUse {
    let proxy_indexes = [1, 17, 60, 123, 200, 271];
    let uses = proxy_indexes.map(|proxy_index| run_release(size, proxy_index, steps));
    let count = uses.len() as f64;
    ConnectionUse {
        opened: uses.iter().map(|used| used.opened).sum::<f64>() / count,
        most_open: uses.iter().map(|used| used.most_open).sum::<f64>() / count,
    }
}

/// Guards against a number of connections that grows with the fleet and fills the backends' connection
/// tables.
#[test]
fn connections_grow_less_than_the_fleet() {
    for steps in [10, 90] {
        let (usual, large) = (mean_use(USUAL, steps), mean_use(LARGE, steps));
        println!("{steps} steps: {usual:?} at the usual size, {large:?} at the large one");
        assert!(
            large.opened <= 2.5 * usual.opened,
            "too many connections opened in {steps} steps: {large:?}, usual {usual:?}"
        );
        // The operators allow 40 more connections, for uses that are not simulated here.
        assert!(
            large.most_open <= 2.0 * usual.most_open + 40.0,
            "too many connections open at once in {steps} steps: {large:?}, usual {usual:?}"
        );
    }
}
