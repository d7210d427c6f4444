//! Zone-aware routing: how much of its traffic can a proxy keep in its zone, where crossing zones costs,
//! while all proxies together still give every backend its fair share? Every zone is taken to have an equal
//! part of the proxies' traffic; a zone whose backends have a smaller fair share than that sends the rest to
//! the zones whose backends have a larger one.

use super::fleet::Fleet;
use crate::config::Config;
use crate::units::ZoneId;
use std::collections::BTreeMap;

/// Guards divisions by a share.
const EPSILON: f64 = 1e-9;

/// How many times its fair share a zone receives from this proxy.
pub(super) struct ZonePreference {
    factors: BTreeMap<ZoneId, f64>,
}

impl ZonePreference {
    /// No zone is preferred where crossing zones costs nothing, or where a subset contains too few backends
    /// of each zone.
    pub fn new(config: &Config, fleet: &Fleet) -> ZonePreference {
        let has_subsets = fleet.kinds.values().any(|kind| !kind.subset.is_everything());
        if config.cross_zone_cost <= 0.0 || has_subsets {
            return ZonePreference { factors: BTreeMap::new() };
        }
        let mut fair_shares: BTreeMap<ZoneId, f64> = BTreeMap::new();
        for backend in fleet.backends.values().filter(|backend| backend.readiness > 0.0) {
            *fair_shares.entry(backend.record.zone).or_default() += fleet.fair_share(backend);
        }
        ZonePreference { factors: factors(config.local_zone, fair_shares) }
    }

    /// The factor of a zone; 1 without a preference.
    pub fn factor(&self, zone: ZoneId) -> f64 {
        self.factors.get(&zone).copied().unwrap_or(1.0)
    }
}

/// Parts of this proxy's traffic are held against the fair shares. `share * zones` compares a zone's fair
/// share with the equal part of the traffic that arrives in each zone.
fn factors(local_zone: ZoneId, fair_shares: BTreeMap<ZoneId, f64>) -> BTreeMap<ZoneId, f64> {
    let zones = fair_shares.len() as f64;
    let spare_capacity: f64 = fair_shares.values().map(|share| (share * zones - 1.0).max(0.0)).sum();
    let local = fair_shares.get(&local_zone).copied().unwrap_or(0.0);
    let local_excess = (1.0 - local * zones).max(0.0);
    let factor = |(zone, share): (ZoneId, f64)| {
        let share = share.max(EPSILON);
        let traffic = if zone == local_zone {
            (local * zones).min(1.0)
        } else {
            local_excess * (share * zones - 1.0).max(0.0) / spare_capacity.max(EPSILON)
        };
        (zone, traffic / share)
    };
    fair_shares.into_iter().map(factor).collect()
}
