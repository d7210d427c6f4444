//! The periodic update of the readiness and traffic share of every backend, from the outcomes and list
//! updates since the previous update.

use super::concurrency_limit::IN_FLIGHT_PER_BACKEND;
use super::halb::{halb_shares, KindCapacity};
use super::slow_start::{warm_fraction, LIKELY_DURATION_FRACTION};
use super::{outlier_detection, service_rate_estimation, subset, traffic_allocation, Balancer};
use crate::backend::Backend;
use crate::config::Config;
use crate::units::Time;

/// Lower bound of a divisor, against division by zero.
const MIN_WEIGHT: f64 = 1e-9;

impl Balancer {
    /// Updates the readiness of every backend, the service rate and share of every kind, the subsets, and the
    /// traffic shares and concurrency limits that follow from them.
    pub(super) fn update_shares(&mut self, now: Time) {
        let elapsed_secs = (now - self.shares_updated_at).secs();
        self.shares_updated_at = now;
        self.queue.unblock();
        outlier_detection::update_health(&mut self.fleet, now);
        self.update_readiness(now);
        self.admitted_rate.add(now, 0.0);
        let proxy_rate = self.admitted_rate.per_second();
        let fleet_rate = proxy_rate.map(|rate| rate * f64::from(self.config.proxy_count));
        service_rate_estimation::update_service_rates(
            &mut self.fleet,
            elapsed_secs,
            fleet_rate,
            self.share_update_interval,
        );
        self.update_kind_shares(fleet_rate.filter(|_| self.classes.has_latency()));
        subset::update_subsets(&self.config, now, &mut self.fleet);
        traffic_allocation::allocate(
            &self.config,
            now,
            &mut self.fleet,
            proxy_rate,
            self.classes.expected_work_secs(),
            &mut self.proxy_limit,
        );
    }

    /// Updates the readiness of every backend and its sum over each kind.
    fn update_readiness(&mut self, now: Time) {
        for kind in self.fleet.kinds.values_mut() {
            kind.total_readiness = 0.0;
            kind.listed_ready_backends = 0.0;
        }
        for backend in self.fleet.backends.values_mut() {
            let kind = self.fleet.kinds.entry(backend.endpoint.kind).or_default();
            kind.listed_ready_backends += f64::from(backend.is_listed_ready());
            kind.idle_weight = kind.idle_weight.max(backend.endpoint.weight);
            backend.readiness = backend.health.factor()
                * warm_fraction(&self.config, now, &backend.endpoint, LIKELY_DURATION_FRACTION)
                * reported_load_factor(&self.config, &backend.endpoint, kind.idle_weight);
            kind.total_readiness += backend.readiness;
        }
    }

    /// Sets the HALB share of every kind. `fleet_rate` is the arrival rate over all proxies, in requests per
    /// second; `None` until it and some latency are known.
    fn update_kind_shares(&mut self, fleet_rate: Option<f64>) {
        let kinds = self.fleet.kinds.values();
        let capacities: Vec<KindCapacity> = kinds
            .map(|kind| KindCapacity {
                backends: kind.total_readiness,
                service_rate: kind.estimates.service_rate(),
            })
            .collect();
        let shares = halb_shares(&capacities, fleet_rate);
        for (kind, share) in self.fleet.kinds.values_mut().zip(shares) {
            kind.fleet_share = share;
        }
    }
}

/// The factor from 0 to 1 by which the reported load of a backend reduces its readiness; 1 if the list's
/// weights do not report load.
///
/// With k requests in flight per core, the list reports 1 / (1 + k) of the weight of an idle backend. Up to
/// `IN_FLIGHT_PER_BACKEND / 2` requests per core the factor is 1. Above that it falls with the square of the
/// weight, so that slow backends can drain their requests. The factor does not favour lightly loaded
/// backends: all proxies see the same delayed reports and would all send to the least loaded one.
fn reported_load_factor(config: &Config, endpoint: &Backend, idle_weight: f64) -> f64 {
    if !config.weights_report_load {
        return 1.0;
    }
    let relative_weight = endpoint.weight / idle_weight.max(MIN_WEIGHT);
    (relative_weight * (1.0 + IN_FLIGHT_PER_BACKEND / 2.0)).clamp(0.0, 1.0).powi(2)
}
