//! The configuration of a balancer.

use crate::units::{ClassId, Micros, TenantId, ZoneId};

/// The configuration of a balancer; [`Event::ConfigReplaced`](crate::Event::ConfigReplaced)
/// replaces it.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// How many proxies share the traffic, this one included.
    pub proxy_count: u32,
    /// Which of them this one is, from 0.
    pub proxy_index: u32,
    /// The proxy's own zone.
    pub local_zone: ZoneId,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request past its tenant's quota, as a part of its class's weight.
    pub over_quota_weight: f64,
    /// What the operator's goal puts on the whole of the traffic, from 0 to 1.
    pub overall_goal_weight: f64,
    /// What the operator's goal puts on the class that is served worst, from 0 to 1.
    pub worst_class_goal_weight: f64,
    /// What it costs the goal when every request crosses zones once; only whether it is above 0 counts.
    pub cross_zone_cost: f64,
    /// Where the endpoint list comes from.
    pub discovery: DiscoveryMode,
    /// The list's weights are nominal size / (1 + requests in flight for each core), as of a while ago.
    pub live_weights: bool,
    /// Attempts allowed for a request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub can_cancel: bool,
    /// Two attempts of one request may be in flight at once.
    pub hedging_allowed: bool,
    /// The least time between two rounds of events.
    pub tick: Micros,
    /// Part of its capacity that a backend has at least when it starts, from 0 to 1.
    pub slow_start_initial_fraction: f64,
    /// A backend is warm after this time at most.
    pub slow_start_duration: Micros,
    /// A warming backend that receives more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over this time is overloaded and fails.
    pub overload_window: Micros,
}

impl Config {
    /// A small sound configuration: one zone, three proxies, one idempotent class.
    pub fn example() -> Config {
        Config {
            proxy_count: 3,
            proxy_index: 0,
            local_zone: ZoneId(0),
            classes: vec![Class {
                latency_objective: Micros(500_000),
                objective_per_work: 0.0,
                idempotency: Idempotency::Idempotent,
                priority_weight: 1.0,
                late_weight_fraction: 0.0,
            }],
            tenants: Vec::new(),
            over_quota_weight: 0.1,
            overall_goal_weight: 1.0,
            worst_class_goal_weight: 0.0,
            cross_zone_cost: 0.0,
            discovery: DiscoveryMode::Push,
            live_weights: false,
            max_attempts: 3,
            can_cancel: true,
            hedging_allowed: true,
            tick: Micros(5_000),
            slow_start_initial_fraction: 0.3,
            slow_start_duration: Micros(10_000_000),
            overload_multiple: 3.0,
            overload_window: Micros(2_000_000),
        }
    }

    /// The proxy's index as a part of the proxy count, from 0 up to 1.
    pub fn fleet_position(&self) -> f64 {
        f64::from(self.proxy_index) / f64::from(self.proxy_count)
    }

    /// Fails with the first field that is out of its range.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let tenants = &self.tenants;
        require(self.proxy_count > 0, "proxy_count", "at least 1")?;
        require(self.proxy_index < self.proxy_count, "proxy_index", "less than proxies")?;
        self.validate_classes()?;
        require(
            tenants.iter().all(|tenant| is_finite_rate(tenant.quota_per_second)),
            "quota_per_second",
            "a finite rate of 0 or more",
        )?;
        require(is_fraction(self.over_quota_weight), "over_quota_weight", FRACTION)?;
        require(is_fraction(self.overall_goal_weight), "overall_goal_weight", FRACTION)?;
        require(is_fraction(self.worst_class_goal_weight), "worst_class_goal_weight", FRACTION)?;
        require(self.cross_zone_cost >= 0.0, "cross_zone_cost", "at least 0")?;
        require(self.max_attempts > 0, "max_attempts", "at least 1")?;
        require(self.tick.0 > 0, "tick", "a time above 0")?;
        require(is_fraction(self.slow_start_initial_fraction), "slow_start_initial_fraction", FRACTION)?;
        require(is_positive(self.overload_multiple), "overload_multiple", "a finite number above 0")
    }

    fn validate_classes(&self) -> Result<(), ConfigError> {
        let all = |holds: fn(&Class) -> bool| self.classes.iter().all(holds);
        require(!self.classes.is_empty(), "classes", "at least one class")?;
        require(all(|class| class.latency_objective.0 > 0), "latency_objective", "a time above 0")?;
        require(all(|class| class.objective_per_work >= 0.0), "objective_per_work", "at least 0")?;
        require(
            all(|class| is_positive(class.priority_weight)),
            "priority_weight",
            "a finite number above 0",
        )?;
        require(all(|class| is_fraction(class.late_weight_fraction)), "late_weight_fraction", FRACTION)
    }
}

const FRACTION: &str = "a part from 0 to 1";

fn require(holds: bool, field: &'static str, expected: &'static str) -> Result<(), ConfigError> {
    if holds {
        Ok(())
    } else {
        Err(ConfigError { field, expected })
    }
}

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn is_positive(value: f64) -> bool {
    value > 0.0 && value.is_finite()
}

fn is_finite_rate(value: f64) -> bool {
    value >= 0.0 && value.is_finite()
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full weight.
    pub latency_objective: Micros,
    /// The objective grows by this multiple of the request's expected work.
    pub objective_per_work: f64,
    /// What a second execution would do.
    pub idempotency: Idempotency,
    /// What serving a request is worth.
    pub priority_weight: f64,
    /// The part of the weight left after the objective, from 0 to 1.
    pub late_weight_fraction: f64,
}

/// What executing a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: it may be retried and rejected at will.
    Idempotent,
    /// Nothing among backends that know its idempotency key.
    Keyed {
        /// The backends that discard each other's duplicates.
        scope: IdempotencyScope,
        /// How long they do, from the first attempt that was sent.
        window: Micros,
    },
    /// Harm.
    NonIdempotent,
}

/// Which backends discard each other's duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all proxies, that earn full weight.
    pub quota_per_second: f64,
}

/// Where the endpoint list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes arrive unasked.
    Push,
    /// Changes arrive after [`Action::Resubscribe`](crate::Action::Resubscribe). The poll interval: a proxy
    /// that has not called for this long counts as notified of every change.
    Subscribe(Micros),
}

/// Another configuration, and which of its classes and tenants were there before: a number says nothing of
/// that.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigUpdate {
    /// What is to be in force.
    pub config: Config,
    /// For each of its classes the number under the configuration that it replaces; what was learned of it
    /// stays.
    pub previous_classes: Vec<Option<ClassId>>,
    /// The same for each of its tenants.
    pub previous_tenants: Vec<Option<TenantId>>,
}

/// Why a configuration was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: expected {expected}")]
pub struct ConfigError {
    /// The field at fault.
    pub field: &'static str,
    /// What was expected of it.
    pub expected: &'static str,
}
