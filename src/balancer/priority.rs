//! Priorities: which request serves the operator's goal best for the work that it costs? The goal weighs the
//! whole of the traffic against the class that is served worst.
//!
//! A request is queued by its class's priority (goal for each unit of work) times its own relative value,
//! which is 1 for an original request within quota and less past the quota or for a client's retry.

use super::classes::{ClassTable, TrackedClass};
use crate::config::Config;
use crate::units::ClassId;

/// Requests of less relative value have low priority: they find only a part of the capacity.
const LOW_PRIORITY_BELOW: f64 = 0.5;
/// Part of every concurrency limit that requests of low priority may use.
pub(super) const LOW_PRIORITY_CAPACITY_FRACTION: f64 = 0.5;
/// Classes whose on-time part is this close to the lowest count as served worst too.
const WORST_CLASS_TOLERANCE: f64 = 0.02;
/// Least arrival share that a class is taken to have.
const LEAST_ARRIVAL_SHARE: f64 = 1e-3;

pub(super) fn is_low_priority(relative_value: f64) -> bool {
    relative_value < LOW_PRIORITY_BELOW
}

/// Contribution to the goal of a request of each class, for each unit of work.
pub(super) fn class_priorities(config: &Config, classes: &ClassTable) -> Vec<f64> {
    let arrival_share = |class: &TrackedClass| class.arrival_share().max(LEAST_ARRIVAL_SHARE);
    let on_time_fraction = |class: &TrackedClass| class.on_time_share() / arrival_share(class);
    let weighted = classes.active().iter().map(|class| class.terms.priority_weight * arrival_share(class));
    let mean_weight: f64 = weighted.sum();
    let worst = classes.active().iter().map(on_time_fraction).fold(f64::MAX, f64::min);
    let priority = |(index, class): (usize, &TrackedClass)| {
        let is_worst = on_time_fraction(class) <= worst + WORST_CLASS_TOLERANCE;
        let worst_class_gain =
            if is_worst { config.worst_class_goal_weight / arrival_share(class) } else { 0.0 };
        let overall_gain = config.overall_goal_weight * class.terms.priority_weight / mean_weight;
        (overall_gain + worst_class_gain) / classes.relative_work(ClassId(index))
    };
    classes.all().iter().enumerate().map(priority).collect()
}
