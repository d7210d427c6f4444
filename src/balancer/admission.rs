//! Admission control: sheds the requests of lowest priority when the backends cannot serve all traffic in
//! time. The admitted fraction rises with each prompt response and falls with each slow one. A response is
//! slow if its latency reaches the [`slow_threshold`].

use super::classes::{ClassTable, MEAN_WINDOW};
use super::concurrency_limit::IN_FLIGHT_PER_BACKEND;
use super::priority::{class_priorities, is_low_priority};
use crate::config::Config;
use crate::random::Random;
use crate::units::{ClassId, Micros};

/// Fraction of the time between the unloaded latency and the latency objective after which a response is
/// slow. If the mean latency takes twice that fraction, the slowest responses miss the objective.
const SLOW_THRESHOLD_FRACTION: f64 = 0.25;
/// Lower bound of the admitted fraction: without any traffic, no response would show that the backends have
/// recovered.
const MIN_ADMITTED_FRACTION: f64 = 0.05;
/// Relative change of the admitted fraction per response.
const ADJUSTMENT_STEP: f64 = 0.07;
/// Steps down per slow response, for one step up per prompt response. The admitted fraction is stable while a
/// third of the responses are slow, so that a quarter of the backends may be outliers without load shedding.
const SLOW_RESPONSE_WEIGHT: f64 = 2.0;
/// Requests per second at this proxy above which the step shrinks, so that the admitted fraction changes no
/// faster than responses show the effect of the change.
const FULL_STEP_RATE: f64 = 10.0;
/// Requests per second assumed while the proxy's rate is not known; yields a full step.
const ASSUMED_RATE_PER_SECOND: f64 = 1.0;
/// Lower bound of the value of a client retry relative to an original request: some are still served in time.
const MIN_RETRY_VALUE: f64 = 0.1;

/// The admitted fraction of the traffic, and the fraction of arrivals with low priority.
pub(super) struct Admission {
    admitted_fraction: f64,
    low_priority_fraction: f64,
}

impl Admission {
    pub fn new() -> Admission {
        Admission { admitted_fraction: 1.0, low_priority_fraction: 0.0 }
    }

    /// Whether the admitted fraction is adjusted. Only with more proxies than [`IN_FLIGHT_PER_BACKEND`]: one
    /// attempt of each then already exceeds that limit. With fewer proxies the concurrency limits alone
    /// protect the backends.
    fn is_adaptive(config: &Config) -> bool {
        f64::from(config.proxy_count) > IN_FLIGHT_PER_BACKEND
    }

    /// Admits all traffic if the new configuration does not adjust the admitted fraction.
    pub fn reconfigure(&mut self, config: &Config) {
        if !Self::is_adaptive(config) {
            self.admitted_fraction = 1.0; // no response would raise it again
        }
    }

    /// Updates the fraction of low-priority arrivals.
    pub fn record_arrival(&mut self, relative_value: f64) {
        let is_low = f64::from(is_low_priority(relative_value));
        self.low_priority_fraction += (is_low - self.low_priority_fraction) / MEAN_WINDOW;
    }

    /// Adjusts the admitted fraction to a prompt or slow response. As it changes per response and not per
    /// arrival, it recovers slowly after heavy shedding, while overloaded backends work off their requests.
    pub fn record_response(&mut self, config: &Config, proxy_rate: Option<f64>, is_prompt: bool) {
        if !Self::is_adaptive(config) {
            return;
        }
        let step =
            ADJUSTMENT_STEP * (FULL_STEP_RATE / proxy_rate.unwrap_or(ASSUMED_RATE_PER_SECOND)).min(1.0);
        let change = if is_prompt { 1.0 + step } else { 1.0 - SLOW_RESPONSE_WEIGHT * step };
        self.admitted_fraction = (self.admitted_fraction * change).clamp(MIN_ADMITTED_FRACTION, 1.0);
    }

    /// Whether a request is admitted. The admitted fraction is filled from the highest priority down; within
    /// the band that fits only in part, requests are admitted at random.
    pub fn admits(
        &self, config: &Config, classes: &ClassTable, class: ClassId, relative_value: f64,
        random: &mut Random,
    ) -> bool {
        if self.admitted_fraction >= 1.0 {
            return true;
        }
        let band = self.priority_band(config, classes, class, relative_value);
        random.unit() * band.load < self.admitted_fraction - band.higher_load
    }

    /// The priority band of a request. Low-priority requests of all classes form the lowest band. Above it,
    /// each class has its own band, in the order of the class priorities.
    fn priority_band(
        &self, config: &Config, classes: &ClassTable, class: ClassId, relative_value: f64,
    ) -> PriorityBand {
        let normal_priority_fraction = 1.0 - self.low_priority_fraction;
        if is_low_priority(relative_value) {
            return PriorityBand { higher_load: normal_priority_fraction, load: self.low_priority_fraction };
        }
        let priorities = class_priorities(config, classes);
        let load = |class: ClassId| classes.all()[class.0].arrival_share() * classes.relative_work(class);
        let has_higher_priority = |other: &ClassId| priorities[other.0] > priorities[class.0];
        let total: f64 = classes.ids().map(load).sum();
        let higher: f64 = classes.ids().filter(has_higher_priority).map(load).sum();
        PriorityBand {
            higher_load: higher / total * normal_priority_fraction,
            load: load(class) / total * normal_priority_fraction,
        }
    }
}

/// Requests that are admitted with the same probability. Loads are fractions of the whole load.
struct PriorityBand {
    /// Load of higher priority.
    higher_load: f64,
    /// Load of this band.
    load: f64,
}

/// Value of a request relative to an original request within quota, from 0 to 1. A client retry is worth
/// its class's late weight fraction, at least [`MIN_RETRY_VALUE`]. Its client has already waited, and serving
/// it ahead of a new request would make both late.
pub(super) fn relative_value(
    config: &Config, late_weight_fraction: f64, is_client_retry: bool, over_quota: bool,
) -> f64 {
    let retry_value = if is_client_retry { late_weight_fraction.max(MIN_RETRY_VALUE) } else { 1.0 };
    let quota_value = if over_quota { config.over_quota_weight } else { 1.0 };
    retry_value * quota_value
}

/// Latency from which a response counts as slow: `unloaded_secs`, the latency at an unloaded backend, plus
/// [`SLOW_THRESHOLD_FRACTION`] of the time from there to the latency objective.
pub(super) fn slow_threshold(objective: Micros, unloaded_secs: f64) -> Micros {
    let slack_secs = (objective.secs() - unloaded_secs).max(0.0);
    Micros::from_secs(unloaded_secs + slack_secs * SLOW_THRESHOLD_FRACTION)
}
