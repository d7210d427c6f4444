//! Zone-aware routing: where crossing zones costs, traffic stays in its zone as far as all proxies together
//! still give every backend the same part. A zone whose backends are due less than its proxies bring sends
//! its surplus to the zones that are due more.

use super::fleet::{Fleet, TrackedBackend};
use crate::config::Config;
use crate::units::ZoneId;
use std::collections::BTreeMap;

/// Guards a division by a zone's share.
const LEAST_SHARE: f64 = 1e-9;

/// The part of all traffic that a backend is due.
pub(super) fn fair_share(fleet: &Fleet, backend: &TrackedBackend) -> f64 {
    let of_kind = |readiness: f64, share: f64| share * backend.readiness / readiness.max(LEAST_SHARE);
    fleet.kind_of(backend).map_or(0.0, |kind| of_kind(kind.readiness, kind.share))
}

/// How much more of its due a zone receives from this proxy.
pub(super) struct ZonePreference {
    factors: BTreeMap<ZoneId, f64>,
}

impl ZonePreference {
    /// The preference of this proxy. Subsets contain too few backends of a zone for one.
    pub fn new(config: &Config, fleet: &Fleet) -> ZonePreference {
        let has_subsets = fleet.kinds.values().any(|kind| !kind.subset.is_everything());
        if config.cross_zone_cost <= 0.0 || has_subsets {
            return ZonePreference { factors: BTreeMap::new() };
        }
        let mut due: BTreeMap<ZoneId, f64> = BTreeMap::new();
        for backend in fleet.backends.values().filter(|backend| backend.readiness > 0.0) {
            *due.entry(backend.record.zone).or_default() += fair_share(fleet, backend);
        }
        ZonePreference { factors: factors(config.local_zone, due) }
    }

    /// The factor of a zone; 1 where it has none.
    pub fn factor(&self, zone: ZoneId) -> f64 {
        self.factors.get(&zone).copied().unwrap_or(1.0)
    }
}

fn factors(local_zone: ZoneId, due: BTreeMap<ZoneId, f64>) -> BTreeMap<ZoneId, f64> {
    let zones = due.len() as f64;
    let total_shortage: f64 = due.values().map(|share| (share * zones - 1.0).max(0.0)).sum();
    let local = due.get(&local_zone).copied().unwrap_or(0.0);
    let local_surplus = (1.0 - local * zones).max(0.0);
    let factor = |(zone, share): (ZoneId, f64)| {
        let share = share.max(LEAST_SHARE);
        let traffic = if zone == local_zone {
            (local * zones).min(1.0)
        } else {
            local_surplus * (share * zones - 1.0).max(0.0) / total_shortage.max(LEAST_SHARE)
        };
        (zone, traffic / share)
    };
    due.into_iter().map(factor).collect()
}
