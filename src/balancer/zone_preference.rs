//! Zone-aware routing: keeps as much traffic as possible in the proxy's zone if crossing zones has a cost,
//! while all proxies together still give every backend its fair share.
//!
//! It is assumed that an equal fraction of the traffic arrives in each zone. A zone whose backends have a
//! smaller fair share than that sends the excess to the zones whose backends have a larger one.

use super::fleet::Fleet;
use crate::config::Config;
use crate::units::ZoneId;
use std::collections::BTreeMap;

/// Lower bound of the divisors, against division by zero.
const EPSILON: f64 = 1e-9;

/// For each zone, the traffic that it receives from this proxy as a multiple of its fair share.
pub(super) struct ZonePreference {
    factors: BTreeMap<ZoneId, f64>,
}

impl ZonePreference {
    /// Computes the factors. No zone is preferred if crossing zones has no cost, or if the proxy uses a
    /// subset of some kind, which may contain too few backends of a zone.
    pub fn new(config: &Config, fleet: &Fleet) -> ZonePreference {
        let has_subsets = fleet.kinds.values().any(|kind| !kind.subset.is_whole_kind());
        if config.cross_zone_cost <= 0.0 || has_subsets {
            return ZonePreference { factors: BTreeMap::new() };
        }
        let mut fair_shares: BTreeMap<ZoneId, f64> = BTreeMap::new();
        for backend in fleet.backends.values().filter(|backend| backend.readiness > 0.0) {
            *fair_shares.entry(backend.endpoint.zone).or_default() += fleet.fair_share(backend);
        }
        ZonePreference { factors: factors(config.local_zone, fair_shares) }
    }

    /// The factor by which the fair shares of a zone's backends are multiplied; 1 without a preference.
    pub fn factor(&self, zone: ZoneId) -> f64 {
        self.factors.get(&zone).copied().unwrap_or(1.0)
    }
}

/// Computes for each zone the fraction of this proxy's traffic that it receives, divided by its fair share.
/// `share * zones` is a zone's fair share relative to the traffic that arrives in each zone.
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
