//! Traffic allocation: from the readiness of backends and the HALB share of their kinds to the part of this
//! proxy's traffic that each backend receives, and the attempts that may be in flight there.

use super::concurrency_limit::ProxyLimit;
use super::fleet::{Fleet, TrackedBackend, TrackedKind};
use super::rotation::Rotation;
use super::slow_start::SlowStart;
use super::zone_preference::ZonePreference;
use crate::config::Config;
use crate::units::{BackendId, Micros, Time};

/// The proxies' parts of a concurrency limit rotate this often: long beside any request.
const CONCURRENCY_ROTATION_PERIOD: Micros = Micros(5_000_000);
/// Share that every usable backend has: it takes the overflow where all others are at their limits.
const TRACE_SHARE: f64 = 1e-6;
/// Guards divisions by the coverage of a backend.
const LEAST_COVERAGE: f64 = 1e-6;

/// Draws a backend of one kind in proportion to the traffic shares.
#[derive(Default)]
pub(super) struct PickTable {
    total: f64,
    entries: Vec<PickEntry>,
}

struct PickEntry {
    backend: BackendId,
    /// Its traffic share and those before it, added up.
    cumulative_share: f64,
}

impl PickTable {
    /// Part of this proxy's traffic that the kind receives.
    pub fn total(&self) -> f64 {
        self.total
    }

    fn clear(&mut self) {
        self.total = 0.0;
        self.entries = Vec::with_capacity(self.entries.len());
    }

    fn push(&mut self, backend: BackendId, share: f64) {
        self.total += share;
        self.entries.push(PickEntry { backend, cumulative_share: self.total });
    }

    /// The backend at a point of the shares, from 0 to 1.
    pub fn pick(&self, point: f64) -> Option<BackendId> {
        let reached = self.entries.partition_point(|entry| entry.cumulative_share <= point * self.total);
        self.entries.get(reached).or(self.entries.last()).map(|entry| entry.backend)
    }
}

/// What a backend may receive.
struct Bounds {
    /// Part of the traffic of all proxies that it is to receive.
    fair_share: f64,
    /// Part of the traffic of all proxies that its slow start allows.
    max_fleet_share: f64,
    /// This proxy's place in the rotation, from 0 to 1.
    rotation_position: f64,
}

impl Bounds {
    fn of(slow_start: &SlowStart, rotation: &Rotation, backend: &TrackedBackend) -> Bounds {
        Bounds {
            fair_share: slow_start.fleet.fair_share(backend),
            max_fleet_share: slow_start.max_fleet_share(backend),
            rotation_position: rotation.position(backend.record.id, slow_start.now),
        }
    }
}

/// Sets every backend's traffic share and concurrency limit, and the limit of this proxy.
pub(super) fn allocate(
    config: &Config, now: Time, fleet: &mut Fleet, proxy_rate: Option<f64>, expected_work_secs: Option<f64>,
    proxy_limit: &mut ProxyLimit,
) {
    let fleet_limit =
        |backend: &TrackedBackend| backend.concurrency.fleet_limit(backend.readiness, expected_work_secs);
    let proxy_count = f64::from(config.proxy_count);
    proxy_limit.update(fleet.backends.values().map(fleet_limit).sum(), proxy_count);
    let zones = ZonePreference::new(config, fleet);
    let rotation = Rotation::new(config, CONCURRENCY_ROTATION_PERIOD);
    let slow_start = SlowStart { config, fleet, now, proxy_rate };
    let bounds: Vec<Bounds> =
        fleet.backends.values().map(|backend| Bounds::of(&slow_start, &rotation, backend)).collect();
    fleet.kinds.values_mut().for_each(|kind| kind.picks.clear());
    for ((&id, backend), bounds) in fleet.backends.iter_mut().zip(bounds) {
        let kind = fleet.kinds.entry(backend.record.kind).or_default();
        let zone_factor = zones.factor(backend.record.zone);
        let equal_part = fleet_limit(backend) / (proxy_count * kind.subset.width());
        backend.concurrency.set_own(equal_part, zone_factor, bounds.rotation_position);
        backend.traffic_share = traffic_share(backend, kind, zone_factor, proxy_count, &bounds);
        if backend.readiness > 0.0 {
            kind.picks.push(id, backend.traffic_share);
        }
    }
}

/// The part of this proxy's traffic for a backend: its fair share, by zone preference, times what a backend
/// of the subset takes over from those outside it. At most this proxy's part of what slow start allows all
/// proxies: each one's part is in proportion to how much of the backend its subset covers.
fn traffic_share(
    backend: &TrackedBackend, kind: &TrackedKind, zone_factor: f64, proxy_count: f64, bounds: &Bounds,
) -> f64 {
    let coverage = &backend.coverage;
    let wanted = bounds.fair_share * zone_factor * coverage.own() * kind.subset.share_multiplier();
    let wanted = wanted + backend.readiness * TRACE_SHARE;
    let own = coverage.own().max(LEAST_COVERAGE);
    let total = coverage.total().max(LEAST_COVERAGE);
    wanted.min(bounds.max_fleet_share * own * proxy_count / total)
}
