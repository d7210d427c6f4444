//! Validates the values of a plan against their ranges.

use crate::plan::{EventKind, Plan, PlanError, PlanKind, PlannedEvent, Point};
use std::ops::RangeInclusive;

/// Maximum duration of a plan and of each phase, in seconds.
const MAX_DURATION_S: f64 = 1_800.0;
/// Minimum duration of a release, in seconds, which leaves time for each backend to drain and restart.
const MIN_RELEASE_S: f64 = 4.0;

/// Returns an error for the first value that is out of range.
pub fn validate(plan: &Plan) -> Result<(), PlanError> {
    if !(plan.longest_s > 0.0 && plan.longest_s <= MAX_DURATION_S) {
        return Err(PlanError::new(
            "longest_s",
            format!("expected seconds above 0 and at most {MAX_DURATION_S}"),
        ));
    }
    if plan.points[0].size(&plan.over).is_none() {
        return Err(PlanError::new("over", "expected one of backends, classes, tenants, proxies"));
    }
    for (number, point) in plan.points.iter().enumerate() {
        PointValidation { number, kind: plan.kind, point }.validate()?;
    }
    Ok(())
}

struct PointValidation<'a> {
    number: usize,
    kind: PlanKind,
    point: &'a Point,
}

impl PointValidation<'_> {
    fn validate(&self) -> Result<(), PlanError> {
        self.validate_sizes()?;
        self.validate_traffic()?;
        self.validate_phases()?;
        self.validate_discovery()?;
        for (number, event) in self.point.events.iter().enumerate() {
            self.validate_event(number, event)?;
        }
        Ok(())
    }

    fn require(&self, is_valid: bool, key: &str, expected: &str) -> Result<(), PlanError> {
        if is_valid {
            return Ok(());
        }
        Err(PlanError::new(self.path(key), format!("expected {expected}")))
    }

    fn path(&self, key: &str) -> String {
        format!("points[{}].{key}", self.number)
    }

    fn validate_sizes(&self) -> Result<(), PlanError> {
        let point = self.point;
        let kinds: RangeInclusive<u32> = 1..=point.backends.max(1);
        let is_valid_fleet = point.fleet == 0 || point.fleet >= point.proxies;
        self.require((1..=20_000).contains(&point.backends), "backends", "a whole number from 1 to 20000")?;
        self.require(
            kinds.contains(&point.kinds),
            "kinds",
            "a whole number from 1 to the value of backends",
        )?;
        self.require((1..=64).contains(&point.zones), "zones", "a whole number from 1 to 64")?;
        self.require((1..=20_000).contains(&point.classes), "classes", "a whole number from 1 to 20000")?;
        self.require(point.tenants <= 100_000, "tenants", "a whole number up to 100000")?;
        self.require((1..=2_000).contains(&point.proxies), "proxies", "a whole number from 1 to 2000")?;
        self.require(is_valid_fleet, "fleet", "0 or at least the value of proxies")
    }

    fn validate_traffic(&self) -> Result<(), PlanError> {
        let point = self.point;
        let is_positive_up_to = |value: f64, limit: f64| value > 0.0 && value <= limit;
        let capacity = point.capacity_per_s;
        self.require(is_positive_up_to(point.rate_per_s, 1e5), "rate_per_s", "above 0 and at most 100000")?;
        self.require(
            (1..=4_096).contains(&point.connections),
            "connections",
            "a whole number from 1 to 4096",
        )?;
        self.require((1..=60_000).contains(&point.deadline_ms), "deadline_ms", "from 1 to 60000")?;
        self.require(is_positive_up_to(point.service_ms, 6e4), "service_ms", "above 0 and at most 60000")?;
        self.require(is_positive_up_to(capacity, 1e6), "capacity_per_s", "above 0 and at most 1000000")?;
        self.require((64..=20_000).contains(&point.sockets), "sockets", "from 64 to 20000")?;
        self.require((1..=100).contains(&point.seeds), "seeds", "a whole number from 1 to 100")
    }

    fn validate_phases(&self) -> Result<(), PlanError> {
        let point = self.point;
        let is_valid_rate = (0.0..=1e5).contains(&point.changes_per_s);
        self.require(
            point.ready_s > 0.0 && is_valid_duration(point.ready_s),
            "ready_s",
            "seconds above 0 and at most 1800",
        )?;
        self.require(is_valid_duration(point.rest_s), "rest_s", "seconds from 0 to 1800")?;
        self.require(is_valid_duration(point.change_s), "change_s", "seconds from 0 to 1800")?;
        self.require(is_valid_rate, "changes_per_s", "from 0 to 100000")?;
        self.require(is_valid_duration(point.load_s), "load_s", "seconds from 0 to 1800")?;
        self.require(is_valid_duration(point.drain_slack_s), "drain_slack_s", "seconds from 0 to 1800")
    }

    fn validate_discovery(&self) -> Result<(), PlanError> {
        let discovery = &self.point.discovery;
        let is_valid_call_time = discovery.call_us <= 10_000_000;
        let is_valid_entry_time = (0.0..=1e5).contains(&discovery.line_us);
        let is_valid_queue = (1..=100_000).contains(&discovery.queue);
        self.require(is_valid_call_time, "discovery.call_us", "microseconds up to 10000000")?;
        self.require(is_valid_entry_time, "discovery.line_us", "microseconds from 0 to 100000")?;
        self.require(is_valid_queue, "discovery.queue", "a whole number from 1 to 100000")
    }

    fn validate_event(&self, number: usize, event: &PlannedEvent) -> Result<(), PlanError> {
        let path = self.path(&format!("events[{number}]"));
        let ends_at_s = event.at_s + event.for_s;
        let ends_within_load = ends_at_s <= self.point.load_s;
        if !(is_valid_duration(event.at_s) && is_valid_duration(event.for_s) && ends_within_load) {
            return Err(PlanError::new(
                path,
                "expected at_s and for_s of at least 0, with a sum of at most load_s",
            ));
        }
        if event.what == EventKind::Return && self.kind != PlanKind::Simulated {
            let expected = "expected return only in plans of kind hollow";
            return Err(PlanError::new(format!("{path}.what"), expected));
        }
        if event.what == EventKind::Release && event.for_s < MIN_RELEASE_S {
            let expected = format!("expected at least {MIN_RELEASE_S} seconds for a release");
            return Err(PlanError::new(format!("{path}.for_s"), expected));
        }
        if event.lines > self.point.backends {
            return Err(PlanError::new(format!("{path}.lines"), "expected at most the value of backends"));
        }
        Ok(())
    }
}

fn is_valid_duration(seconds: f64) -> bool {
    (0.0..=MAX_DURATION_S).contains(&seconds)
}
