//! Request priorities, by contribution to the operator's goal per unit of work. The goal combines
//! the result of all traffic with that of the class with the lowest on-time fraction.
//!
//! The priority of a queued request is that of its class times the request's relative value. That value is 1
//! for an original request within quota, and less for a client retry or a request over quota.

use super::classes::{ClassTable, TrackedClass};
use crate::config::Config;
use crate::units::ClassId;

/// Relative value below which a request has low priority and may use only a part of the capacity.
const LOW_PRIORITY_THRESHOLD: f64 = 0.5;
/// Fraction of every concurrency limit that low-priority requests may use.
pub(super) const LOW_PRIORITY_CAPACITY_FRACTION: f64 = 0.5;
/// Classes whose on-time fraction is within this distance of the lowest also count as worst served.
const WORST_CLASS_TOLERANCE: f64 = 0.02;
/// Lower bound of a class's arrival share, against division by zero.
const MIN_ARRIVAL_SHARE: f64 = 1e-3;

pub(super) fn is_low_priority(relative_value: f64) -> bool {
    relative_value < LOW_PRIORITY_THRESHOLD
}

/// The priority of each class in [`ClassTable::all`]: what one of its requests contributes to the operator's
/// goal, per unit of work.
pub(super) fn class_priorities(config: &Config, classes: &ClassTable) -> Vec<f64> {
    let arrival_share = |class: &TrackedClass| class.arrival_share().max(MIN_ARRIVAL_SHARE);
    let on_time_fraction = |class: &TrackedClass| class.on_time_share() / arrival_share(class);
    let weighted = classes.active().iter().map(|class| class.config.priority_weight * arrival_share(class));
    let mean_weight: f64 = weighted.sum();
    let worst = classes.active().iter().map(on_time_fraction).fold(f64::MAX, f64::min);
    let priority = |(index, class): (usize, &TrackedClass)| {
        let is_worst = on_time_fraction(class) <= worst + WORST_CLASS_TOLERANCE;
        let worst_class_gain =
            if is_worst { config.worst_class_goal_weight / arrival_share(class) } else { 0.0 };
        let overall_gain = config.overall_goal_weight * class.config.priority_weight / mean_weight;
        (overall_gain + worst_class_gain) / classes.relative_work(ClassId(index))
    };
    classes.all().iter().enumerate().map(priority).collect()
}
