//! Traffic allocation: computes the share of this proxy's traffic that each backend receives, and the number
//! of attempts that may be in flight there.
//!
//! Both follow from the readiness of the backends, the HALB shares of their kinds, the proxy's subset, zone
//! preference and slow start. Shares are fractions of the traffic from 0 to 1.

use super::concurrency_limit::ProxyLimit;
use super::fleet::{Fleet, TrackedBackend, TrackedKind};
use super::rotation::Rotation;
use super::slow_start::SlowStartLimits;
use super::zone_preference::ZonePreference;
use crate::config::Config;
use crate::units::{BackendId, Micros, Time};

/// Period of the rotation that decides which proxies round their part of a concurrency limit up; longer than
/// any request lasts.
const CONCURRENCY_ROTATION_PERIOD: Micros = Micros(5_000_000);
/// Added to the traffic share of every usable backend, in proportion to its readiness, so that it can receive
/// traffic if all others are at their limits.
const MIN_TRAFFIC_SHARE: f64 = 1e-6;
/// Lower bound of a backend's coverage, against division by zero.
const MIN_COVERAGE: f64 = 1e-6;

/// Cumulative traffic shares of the usable backends of one kind, from which a backend is selected with a
/// probability proportional to its share.
#[derive(Default)]
pub(super) struct SelectionTable {
    total: f64,
    entries: Vec<SelectionEntry>,
}

struct SelectionEntry {
    backend: BackendId,
    /// Sum of its traffic share and those of the entries before it.
    cumulative_share: f64,
}

impl SelectionTable {
    /// Fraction of this proxy's traffic that the kind receives.
    pub fn total(&self) -> f64 {
        self.total
    }

    fn clear(&mut self) {
        self.total = 0.0;
        self.entries = Vec::with_capacity(self.entries.len());
    }

    fn push(&mut self, backend: BackendId, share: f64) {
        self.total += share;
        self.entries.push(SelectionEntry { backend, cumulative_share: self.total });
    }

    /// Returns the backend at `point`, a random number from 0 to 1 that is scaled to the total share; `None`
    /// if the table is empty.
    pub fn select(&self, point: f64) -> Option<BackendId> {
        let index = self.entries.partition_point(|entry| entry.cumulative_share <= point * self.total);
        self.entries.get(index).or(self.entries.last()).map(|entry| entry.backend)
    }
}

/// Inputs of a backend's traffic share and concurrency limit.
struct AllocationInputs {
    /// Fraction of the traffic of all proxies that it would receive without subsets, zones and slow start.
    fair_share: f64,
    /// Maximum fraction of the traffic of all proxies that its slow start allows.
    max_fleet_share: f64,
    /// This proxy's slot in the rotation, from 0 to 1.
    rotation_slot: f64,
}

impl AllocationInputs {
    fn of(
        slow_start_limits: &SlowStartLimits, rotation: &Rotation, backend: &TrackedBackend,
    ) -> AllocationInputs {
        AllocationInputs {
            fair_share: slow_start_limits.fleet.fair_share(backend),
            max_fleet_share: slow_start_limits.max_fleet_share(backend),
            rotation_slot: rotation.slot(backend.endpoint.id, slow_start_limits.now),
        }
    }
}

/// Sets the traffic share and concurrency limit of every backend, the selection table of every kind, and the
/// limit on all attempts of this proxy.
///
/// `proxy_rate` is the number of admitted requests per second at this proxy, `expected_work_secs` the mean
/// work of a request in seconds; both are `None` until known.
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
    let slow_start_limits = SlowStartLimits { config, fleet, now, proxy_rate };
    let inputs: Vec<AllocationInputs> = fleet
        .backends
        .values()
        .map(|backend| AllocationInputs::of(&slow_start_limits, &rotation, backend))
        .collect();
    fleet.kinds.values_mut().for_each(|kind| kind.selection_table.clear());
    for ((&id, backend), inputs) in fleet.backends.iter_mut().zip(inputs) {
        let kind = fleet.kinds.entry(backend.endpoint.kind).or_default();
        let zone_factor = zones.factor(backend.endpoint.zone);
        let equal_share = fleet_limit(backend) / (proxy_count * kind.subset.width());
        backend.concurrency.set_own_limit(equal_share, zone_factor, inputs.rotation_slot);
        backend.traffic_share = traffic_share(backend, kind, zone_factor, proxy_count, &inputs);
        if backend.readiness > 0.0 {
            kind.selection_table.push(id, backend.traffic_share);
        }
    }
}

/// The fraction of this proxy's traffic that a backend receives: its fair share, scaled by zone preference,
/// by the covered fraction and by the subset's share multiplier.
///
/// It is at most this proxy's part of the slow start limit on the traffic of all proxies. The limit is
/// divided among the proxies in proportion to the fraction of the backend that the subset of each covers.
fn traffic_share(
    backend: &TrackedBackend, kind: &TrackedKind, zone_factor: f64, proxy_count: f64,
    inputs: &AllocationInputs,
) -> f64 {
    let coverage = &backend.coverage;
    let target = inputs.fair_share * zone_factor * coverage.own_fraction() * kind.subset.share_multiplier();
    let target = target + backend.readiness * MIN_TRAFFIC_SHARE;
    let own_fraction = coverage.own_fraction().max(MIN_COVERAGE);
    let total_fraction = coverage.total_fraction().max(MIN_COVERAGE);
    // The proxy count converts a fraction of the traffic of all proxies to one of this proxy's traffic.
    target.min(inputs.max_fleet_share * own_fraction * proxy_count / total_fraction)
}
