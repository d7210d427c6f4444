//! Concurrency limits: how many attempts may be in flight at a backend, and how many from one proxy? No proxy
//! sees what the others have in flight, so that each takes its part of a limit that holds for all.

use super::priority::LOW_PRIORITY_CAPACITY_FRACTION;
use crate::units::Micros;

/// Requests that all proxies together keep at one backend: a shared processor at four fifths of its capacity
/// holds four on average, and more only makes each of them later.
pub(super) const IN_FLIGHT_PER_BACKEND: f64 = 4.0;
/// Allowance of a proxy's own limit for chance, in roots of its mean.
const PROXY_DEVIATIONS: f64 = 1.5;
/// Growth of a backend's least round trip with each answer: a way that has become longer shows after some
/// hundred.
const ROUND_TRIP_GROWTH: f64 = 1.002;
/// Part of a proxy's limit at a backend that goes by zone preference; the rest is equal for all proxies.
const ZONE_PREFERENCE_FRACTION: f64 = 0.5;
/// Guards a division by the expected work.
const LEAST_WORK_SECS: f64 = 1e-6;

/// What bounds the attempts in flight at one backend.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    /// Attempts of this proxy that may be in flight there.
    own: f64,
    /// Least time of late from a dispatch to its answer, in seconds: mostly the way there and back.
    least_round_trip_secs: Option<f64>,
}

impl ConcurrencyLimit {
    /// Takes in the latency of a served request.
    pub fn record_latency(&mut self, latency: Micros) {
        let secs = latency.secs();
        let least = self.least_round_trip_secs.map_or(secs, |least| secs.min(least * ROUND_TRIP_GROWTH));
        self.least_round_trip_secs = Some(least);
    }

    /// Attempts of all proxies that may be in flight at the backend: `IN_FLIGHT_PER_BACKEND / 2` at the
    /// backend itself, and those that its round trip keeps on the network, (round trip - work) / work; at
    /// least `IN_FLIGHT_PER_BACKEND`, all times its readiness.
    pub fn fleet_limit(&self, readiness: f64, expected_work_secs: Option<f64>) -> f64 {
        let on_the_way = match (self.least_round_trip_secs, expected_work_secs) {
            (Some(round_trip), Some(work)) => (round_trip - work) / work.max(LEAST_WORK_SECS),
            _ => 0.0,
        };
        (IN_FLIGHT_PER_BACKEND / 2.0 + on_the_way).max(IN_FLIGHT_PER_BACKEND) * readiness
    }

    /// Sets this proxy's part of the fleet's limit. With many proxies a part is below one: the place in a
    /// rotation, from 0 to 1, keeps the sum at the limit, where one attempt each would overload every
    /// backend.
    pub fn set_own(&mut self, equal_part: f64, zone_factor: f64, rotation_position: f64) {
        let by_zone = 1.0 - ZONE_PREFERENCE_FRACTION + ZONE_PREFERENCE_FRACTION * zone_factor;
        self.own = (equal_part * by_zone + rotation_position).floor().max(1.0);
    }

    /// Attempts of this proxy that may be in flight there.
    pub fn own(&self, is_low_priority: bool) -> f64 {
        if is_low_priority {
            (self.own * LOW_PRIORITY_CAPACITY_FRACTION).ceil()
        } else {
            self.own
        }
    }
}

/// The limit on all attempts of this proxy in flight.
#[derive(Default)]
pub(super) struct ProxyLimit {
    limit: f64,
}

impl ProxyLimit {
    /// `fleet_limit` is the sum of the limits of all backends.
    pub fn update(&mut self, fleet_limit: f64, proxy_count: f64) {
        let mean = fleet_limit / proxy_count;
        self.limit = mean + PROXY_DEVIATIONS * mean.sqrt() + 1.0;
    }

    /// Whether another attempt may be sent.
    pub fn allows(&self, in_flight: usize, is_low_priority: bool) -> bool {
        let limit = if is_low_priority { self.limit * LOW_PRIORITY_CAPACITY_FRACTION } else { self.limit };
        (in_flight as f64) < limit
    }
}
