//! Backends, classes, configurations and hosts of the usual sort.

use crate::support::Host;
use load_balancer::{
    Backend, BackendId, BackendState, CellId, Class, Config, EndpointListUpdate, Idempotency, KindId, Micros,
    ZoneId,
};

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

pub fn fleet(count: u32) -> Vec<Backend> {
    (0..count).map(|i| backend(i, 0, 0)).collect()
}

pub fn class(effect: Idempotency) -> Class {
    Class {
        latency_objective: Micros(400_000),
        objective_per_work: 0.0,
        idempotency: effect,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
    }
}

pub fn config(classes: Vec<Class>) -> Config {
    Config { classes, ..Config::example() }
}

pub fn host(cfg: Config, list: Vec<Backend>) -> Host {
    let mut host = Host::new(cfg, 11);
    host.members(EndpointListUpdate::Snapshot, list);
    host
}
