//! Estimates the service rate of each kind: the requests of mean work that one backend of the kind can serve
//! per second.
//!
//! A processor-sharing backend (M/G/1) with the service rate s and the arrival rate r, both in requests per
//! second, has the mean response time T = 1 / (s - r) in seconds. The estimate is therefore s = 1 / T + r,
//! with T the mean latency of served requests and r the arrival rate per ready backend of the kind. This is
//! the model of HALB, which uses the estimate.

use super::classes::MEAN_WINDOW;
use super::fleet::Fleet;
use crate::estimators::RunningMean;
use crate::units::Micros;

/// Time constant with which the service rate and the arrival rate of a kind are smoothed. The service rate
/// changes seldom, the traffic from which it is computed all the time.
const SERVICE_RATE_TIME_CONSTANT: Micros = Micros(10_000_000);
/// A latency is clipped at this multiple of its kind's mean, so that a few late responses of outliers do not
/// lower the estimate of the whole kind.
const MAX_LATENCY_MULTIPLE: f64 = 3.0;
/// Number of samples from which on the service rate is smoothed. Also the weight of the latency prior, in
/// samples.
const MIN_SAMPLES: f64 = 10.0;
/// Prior of the unloaded latency, as a fraction of the shortest latency objective. Deliberately high: an
/// estimate that is too high falls with the first samples, one that is too low would take long to rise. With
/// a higher latency the objective could hardly be met, whatever the balancer does.
const UNLOADED_PRIOR_FRACTION: f64 = 0.5;
/// Fraction per second by which the lowest recent latencies rise, up to the current mean latency. Old
/// minima are forgotten in this way.
const MIN_LATENCY_RISE_PER_SECOND: f64 = 0.03;
/// Minimum mean readiness of a kind's listed backends for their arrival rate to indicate what a ready backend
/// can handle.
const REPRESENTATIVE_FRACTION: f64 = 0.8;

/// Estimates of the service rate, arrival rate and latency of the backends of one kind.
#[derive(Default)]
pub(super) struct KindEstimates {
    /// Mean latency of served requests, in seconds from dispatch to response, scaled to mean work.
    latency: RunningMean,
    /// Smoothed arrival rate of one ready backend, in requests per second. Updated only while the kind's
    /// backends are ready enough; see [`REPRESENTATIVE_FRACTION`].
    smoothed_arrival_rate: f64,
    /// Requests of mean work per second that one backend can serve. [`update`](KindEstimates::update) sets it
    /// to zero as long as there is no sample; [`update_service_rates`] then replaces it with the mean of the
    /// other kinds.
    service_rate: f64,
    /// Latency of an unloaded backend, in seconds: the lowest recent mean, where the mean includes the prior.
    /// Equal to the prior until there are samples; `None` before the first update.
    unloaded_secs: Option<f64>,
    /// Lowest recent mean latency of the samples alone, in seconds; `None` before the first sample.
    min_latency_secs: Option<f64>,
}

/// The traffic of a kind and the state of its backends.
struct KindLoad {
    /// Sum of the readiness of its backends.
    total_readiness: f64,
    /// Number of its backends whose state in the endpoint list is ready.
    listed_ready_backends: f64,
    /// Requests per second for each ready backend.
    arrival_rate: f64,
}

impl KindEstimates {
    /// Requests of mean work per second that one backend can serve.
    pub fn service_rate(&self) -> f64 {
        self.service_rate
    }

    fn has_service_rate(&self) -> bool {
        self.service_rate > 0.0
    }

    /// Mean latency of an unloaded backend, in seconds; `None` before the first update.
    pub fn unloaded_secs(&self) -> Option<f64> {
        self.unloaded_secs
    }

    /// Requests per second that a backend of the kind is known to handle; `None` before the first sample.
    /// This is the smoothed arrival rate, but at least the rate of serving one request at a time.
    pub fn observed_rate(&self) -> Option<f64> {
        self.min_latency_secs.map(|secs| self.smoothed_arrival_rate.max(1.0 / secs))
    }

    /// Records the latency of a served request, in seconds, scaled to mean work.
    pub fn record_latency(&mut self, secs: f64) {
        let limit = self.latency.mean().unwrap_or(secs) * MAX_LATENCY_MULTIPLE;
        self.latency.add(secs.min(limit), MEAN_WINDOW);
    }

    fn update(&mut self, load: &KindLoad, elapsed_secs: f64, latency_prior_secs: f64) {
        self.update_latencies(elapsed_secs, latency_prior_secs);
        let weight = (elapsed_secs / SERVICE_RATE_TIME_CONSTANT.secs()).min(1.0);
        if load.total_readiness > load.listed_ready_backends * REPRESENTATIVE_FRACTION {
            self.smoothed_arrival_rate += (load.arrival_rate - self.smoothed_arrival_rate) * weight;
        }
        // The arrival rate is computed from the kind's share. Without smoothing, a larger share would raise
        // the estimated service rate, which would raise the share again, and the shares of all proxies would
        // oscillate.
        let service_rate = self.latency.mean().map_or(0.0, |secs| 1.0 / secs + load.arrival_rate);
        let weight = if self.latency.samples() < MIN_SAMPLES { 1.0 } else { weight };
        self.service_rate += (service_rate - self.service_rate) * weight;
    }

    fn update_latencies(&mut self, elapsed_secs: f64, prior_secs: f64) {
        let rise = 1.0 + MIN_LATENCY_RISE_PER_SECOND * elapsed_secs;
        let risen = self.unloaded_secs.map_or(prior_secs, |secs| secs * rise);
        self.unloaded_secs = Some(self.latency.shrunk_towards(prior_secs, MIN_SAMPLES).min(risen));
        let risen = self.min_latency_secs.map_or(f64::MAX, |secs| secs * rise);
        self.min_latency_secs = self.latency.mean().map(|secs| secs.min(risen));
    }
}

/// Updates the estimates of every kind. A kind without samples gets the mean service rate of the others.
/// `fleet_rate` is the arrival rate of all proxies in requests per second.
pub(super) fn update_service_rates(
    fleet: &mut Fleet, elapsed_secs: f64, fleet_rate: Option<f64>, shortest_objective: Micros,
) {
    let latency_prior_secs = shortest_objective.secs() * UNLOADED_PRIOR_FRACTION;
    for kind in fleet.kinds.values_mut() {
        let total_readiness = kind.total_readiness;
        let kind_rate = fleet_rate.unwrap_or(0.0) * kind.fleet_share;
        let arrival_rate = if total_readiness > 0.0 { kind_rate / total_readiness } else { 0.0 };
        let load =
            KindLoad { total_readiness, listed_ready_backends: kind.listed_ready_backends, arrival_rate };
        kind.estimates.update(&load, elapsed_secs, latency_prior_secs);
    }
    let mean = mean_known_service_rate(fleet);
    for kind in fleet.kinds.values_mut().filter(|kind| !kind.estimates.has_service_rate()) {
        kind.estimates.service_rate = mean;
    }
}

/// Mean of the known service rates, or 1 if none is known.
fn mean_known_service_rate(fleet: &Fleet) -> f64 {
    let (mut total, mut count) = (0.0, 0.0);
    for kind in fleet.kinds.values().filter(|kind| kind.estimates.has_service_rate()) {
        total += kind.estimates.service_rate;
        count += 1.0;
    }
    if count > 0.0 {
        total / count
    } else {
        1.0
    }
}
