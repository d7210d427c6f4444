//! Concurrency limits on the attempts in flight at each backend and from each proxy. A proxy does not know
//! what the others have in flight, so each uses its own part of a limit for the whole fleet.

use super::priority::LOW_PRIORITY_CAPACITY_FRACTION;
use crate::units::Micros;

/// Attempts that all proxies together keep in flight at one backend: the mean number at a processor-sharing
/// server with a utilization of 80 %. More attempts would only make each of them later.
pub(super) const IN_FLIGHT_PER_BACKEND: f64 = 4.0;
/// Standard deviations by which a proxy's limit exceeds its mean number of attempts in flight, which is taken
/// as Poisson distributed.
const PROXY_LIMIT_DEVIATIONS: f64 = 1.5;
/// Factor by which a backend's minimum round-trip time can rise per response, so that a longer network path
/// is noticed after a few hundred responses.
const ROUND_TRIP_GROWTH: f64 = 1.002;
/// Fraction of a proxy's limit at a backend that zone preference scales; the rest is equal for all proxies.
const ZONE_PREFERENCE_FRACTION: f64 = 0.5;
/// Lower bound of the expected work, against division by zero.
const MIN_WORK_SECS: f64 = 1e-6;

/// The limit on attempts in flight at one backend.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    /// This proxy's part of the limit, in attempts.
    own_limit: f64,
    /// Recent minimum of the time from dispatch to response: network and processing time without queueing.
    min_round_trip_secs: Option<f64>,
}

impl ConcurrencyLimit {
    /// Records the latency of a served request.
    pub fn record_latency(&mut self, latency: Micros) {
        let secs = latency.secs();
        let min_secs =
            self.min_round_trip_secs.map_or(secs, |previous| secs.min(previous * ROUND_TRIP_GROWTH));
        self.min_round_trip_secs = Some(min_secs);
    }

    /// Attempts that all proxies together may have in flight at the backend.
    ///
    /// Half of `IN_FLIGHT_PER_BACKEND` are allowed at the backend itself, and (round trip - work) / work on
    /// the network. The sum is raised to at least `IN_FLIGHT_PER_BACKEND` and multiplied by `readiness`.
    pub fn fleet_limit(&self, readiness: f64, expected_work_secs: Option<f64>) -> f64 {
        let on_network = match (self.min_round_trip_secs, expected_work_secs) {
            (Some(round_trip), Some(work)) => (round_trip - work) / work.max(MIN_WORK_SECS),
            _ => 0.0,
        };
        (IN_FLIGHT_PER_BACKEND / 2.0 + on_network).max(IN_FLIGHT_PER_BACKEND) * readiness
    }

    /// Sets this proxy's part of the fleet limit: `equal_share`, partly scaled by zone preference, and
    /// rounded to a whole number of attempts.
    ///
    /// `rotation_slot` decides whether the proxy rounds up or down. The slots of the proxies are evenly
    /// spaced from 0 to 1, so that the sum over all proxies stays at the fleet limit. A part below one
    /// attempt is always raised to one; [`ProxyLimit`] then limits the attempts at all backends together.
    pub fn set_own_limit(&mut self, equal_share: f64, zone_factor: f64, rotation_slot: f64) {
        let zone_scale = 1.0 - ZONE_PREFERENCE_FRACTION + ZONE_PREFERENCE_FRACTION * zone_factor;
        self.own_limit = (equal_share * zone_scale + rotation_slot).floor().max(1.0);
    }

    /// Attempts that this proxy may have in flight at the backend.
    pub fn own_limit(&self, is_low_priority: bool) -> f64 {
        if is_low_priority {
            (self.own_limit * LOW_PRIORITY_CAPACITY_FRACTION).ceil()
        } else {
            self.own_limit
        }
    }
}

/// The limit on this proxy's attempts in flight at all backends together.
#[derive(Default)]
pub(super) struct ProxyLimit {
    limit: f64,
}

impl ProxyLimit {
    /// Sets the limit from `fleet_limit`, the sum of the fleet limits of all backends. This proxy's limit is
    /// an equal part of it plus an allowance for random variation.
    pub fn update(&mut self, fleet_limit: f64, proxy_count: f64) {
        let mean = fleet_limit / proxy_count;
        self.limit = mean + PROXY_LIMIT_DEVIATIONS * mean.sqrt() + 1.0;
    }

    /// Whether another attempt may be dispatched while `in_flight` attempts of this proxy are in flight.
    pub fn allows(&self, in_flight: usize, is_low_priority: bool) -> bool {
        let limit = if is_low_priority { self.limit * LOW_PRIORITY_CAPACITY_FRACTION } else { self.limit };
        (in_flight as f64) < limit
    }
}
