//! Builders of backends, classes, configurations and hosts.

use super::Host;
use load_balancer::{
    Backend, BackendId, BackendState, CellId, Class, Config, EndpointListUpdate, Idempotency, KindId, Micros,
    ZoneId,
};

/// Seed of the balancers built by [`host`].
const SEED: u64 = 11;

/// A ready backend that started long ago; backends with an even and an odd id are in different cells.
pub fn backend(id: u32, zone: u32, kind: u32) -> Backend {
    Backend {
        id: BackendId(u64::from(id)),
        zone: ZoneId(u64::from(zone)),
        cell: CellId(u64::from(zone) * 2 + u64::from(id % 2)),
        kind: KindId(u64::from(kind)),
        state: BackendState::Ready,
        started_at: None,
        weight: 1.0,
    }
}

/// Ready backends of one kind in one zone, with ids from 0.
pub fn backends(count: u32) -> Vec<Backend> {
    (0..count).map(|id| backend(id, 0, 0)).collect()
}

/// A class with a latency objective of 0.4 s.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: Micros(400_000),
        objective_per_work: 0.0,
        idempotency,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
    }
}

/// The example configuration with these classes.
pub fn config_of(classes: Vec<Class>) -> Config {
    Config { classes, ..Config::example() }
}

/// A host whose balancer has received this endpoint list.
pub fn host(config: Config, backends: Vec<Backend>) -> Host {
    let mut host = Host::new(config, SEED);
    host.update_endpoints(EndpointListUpdate::Snapshot, backends);
    host
}
