//! Admission control: how much of the traffic can the backends answer in time, and which part of it is shed
//! when that is less than all? The admitted fraction follows the promptness of answers; what is shed has the
//! lowest priority.

use super::classes::{ClassTable, MEAN_WINDOW};
use super::concurrency_limit::IN_FLIGHT_PER_BACKEND;
use super::priority::{class_priorities, is_low_priority};
use crate::config::Config;
use crate::random::Random;
use crate::units::{ClassId, Micros};

/// Part of the time between an unloaded answer and the latency objective within which an answer is prompt:
/// where the mean takes twice that, the slowest answers miss the objective.
const PROMPT_FRACTION: f64 = 0.25;
/// Least part of the traffic that is admitted: with none, no answer would show that the backends have
/// recovered.
const LEAST_ADMITTED_FRACTION: f64 = 0.05;
/// Relative change of the admitted fraction for each answer.
const ADJUSTMENT_STEP: f64 = 0.07;
/// A slow answer, one that is not prompt, counts this many times: the fraction settles where a third are
/// slow, so that a quarter of the backends may be outliers without any shedding.
const SLOW_ANSWER_WEIGHT: f64 = 2.0;
/// Requests a second above which the step shrinks: the fraction moves no faster than answers report its
/// effect.
const FULL_STEP_RATE: f64 = 10.0;
/// Requests a second that a proxy is taken to have while its rate is not known: a full step.
const UNKNOWN_RATE_PER_SECOND: f64 = 1.0;
/// Value of a client retry relative to an original request, at least: some are still served in time.
const LEAST_RETRY_VALUE: f64 = 0.1;

/// The admitted part of the traffic, and what it is made of.
pub(super) struct Admission {
    admitted_fraction: f64,
    low_priority_fraction: f64,
}

impl Admission {
    pub fn new() -> Admission {
        Admission { admitted_fraction: 1.0, low_priority_fraction: 0.0 }
    }

    /// Whether load is shed by the admitted fraction: only with more proxies than [`IN_FLIGHT_PER_BACKEND`],
    /// where one attempt of each is over that limit already. With fewer the concurrency limits alone protect
    /// the backends.
    fn is_adaptive(config: &Config) -> bool {
        f64::from(config.proxy_count) > IN_FLIGHT_PER_BACKEND
    }

    /// Another configuration is in force.
    pub fn reconfigure(&mut self, config: &Config) {
        if !Self::is_adaptive(config) {
            self.admitted_fraction = 1.0; // no answer would raise it again
        }
    }

    /// Counts the value of a request that arrived.
    pub fn record_arrival(&mut self, relative_value: f64) {
        let is_low = f64::from(is_low_priority(relative_value));
        self.low_priority_fraction += (is_low - self.low_priority_fraction) / MEAN_WINDOW;
    }

    /// Takes in whether an answer was prompt. The fraction moves by answers, not by arrivals: it returns
    /// slowly after deep shedding, while overloaded backends work off what they have.
    pub fn record_promptness(&mut self, config: &Config, proxy_rate: Option<f64>, is_prompt: bool) {
        if !Self::is_adaptive(config) {
            return;
        }
        let step =
            ADJUSTMENT_STEP * (FULL_STEP_RATE / proxy_rate.unwrap_or(UNKNOWN_RATE_PER_SECOND)).min(1.0);
        let change = if is_prompt { 1.0 + step } else { 1.0 - SLOW_ANSWER_WEIGHT * step };
        self.admitted_fraction = (self.admitted_fraction * change).clamp(LEAST_ADMITTED_FRACTION, 1.0);
    }

    /// Whether a request is admitted. The admitted fraction covers the traffic from the highest priority
    /// down; of the class at its edge a random part is admitted.
    pub fn admits(
        &self, config: &Config, classes: &ClassTable, class: ClassId, relative_value: f64,
        random: &mut Random,
    ) -> bool {
        if self.admitted_fraction >= 1.0 {
            return true;
        }
        let layer = self.layer_of(config, classes, class, relative_value);
        random.unit() * layer.own < self.admitted_fraction - layer.above
    }

    fn layer_of(&self, config: &Config, classes: &ClassTable, class: ClassId, relative_value: f64) -> Layer {
        let full_value_fraction = 1.0 - self.low_priority_fraction;
        if is_low_priority(relative_value) {
            return Layer { above: full_value_fraction, own: self.low_priority_fraction };
        }
        let priorities = class_priorities(config, classes);
        let load = |class: ClassId| classes.all()[class.0].arrival_share() * classes.relative_work(class);
        let has_precedence = |other: &ClassId| priorities[other.0] > priorities[class.0];
        let total: f64 = classes.numbers().map(load).sum();
        let above: f64 = classes.numbers().filter(has_precedence).map(load).sum();
        Layer { above: above / total * full_value_fraction, own: load(class) / total * full_value_fraction }
    }
}

/// A class's place in the traffic ordered by priority, in parts of the whole load.
struct Layer {
    /// The load of higher priority.
    above: f64,
    /// The load of the same priority.
    own: f64,
}

/// Value of a request relative to an original one within quota. A client that retries waited for its
/// original: what is left to earn is mostly the late weight, and serving it before a new request would make
/// both late.
pub(super) fn relative_value(
    config: &Config, late_weight_fraction: f64, is_client_retry: bool, over_quota: bool,
) -> f64 {
    let retry_value = if is_client_retry { late_weight_fraction.max(LEAST_RETRY_VALUE) } else { 1.0 };
    let quota_value = if over_quota { config.over_quota_weight } else { 1.0 };
    retry_value * quota_value
}

/// How long a prompt answer takes at most, where an unloaded backend takes `unloaded_secs`.
pub(super) fn prompt_limit(objective: Micros, unloaded_secs: f64) -> Micros {
    let slack_secs = (objective.secs() - unloaded_secs).max(0.0);
    Micros::from_secs(unloaded_secs + slack_secs * PROMPT_FRACTION)
}
