//! The configuration of a balancer.

use crate::units::{ClassId, Micros, TenantId, ZoneId};

/// The configuration of a balancer, replaced at run time by
/// [`Event::ConfigReplaced`](crate::Event::ConfigReplaced).
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Number of proxies that share the traffic, this one included; at least 1.
    pub proxy_count: u32,
    /// Index of this proxy, from 0 up to `proxy_count` - 1.
    pub proxy_index: u32,
    /// The network zone in which this proxy runs.
    pub local_zone: ZoneId,
    /// The classes of requests, indexed by [`ClassId`]; at least one.
    pub classes: Vec<Class>,
    /// The tenants, indexed by [`TenantId`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request over its tenant's quota, as a fraction of its class's `priority_weight`.
    pub over_quota_weight: f64,
    /// Weight of the whole traffic in the operator's goal, from 0 to 1.
    pub overall_goal_weight: f64,
    /// Weight in the operator's goal of the class that is served worst, from 0 to 1.
    pub worst_class_goal_weight: f64,
    /// Cost to the operator's goal if every request crosses zones once. Any value above 0 turns on zone
    /// preference; its size has no effect.
    pub cross_zone_cost: f64,
    /// How the endpoint list reaches the balancer.
    pub discovery: DiscoveryMode,
    /// Whether the list's weights report load: nominal size / (1 + requests in flight per core), with a
    /// delay.
    pub weights_report_load: bool,
    /// Maximum number of attempts per request, the first included; at least 1.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub can_cancel: bool,
    /// Whether two attempts of one request may be in flight at the same time.
    pub hedging_allowed: bool,
    /// Minimum time between two batches of events from the host, and so the shortest delay of a timer;
    /// above 0.
    pub tick: Micros,
    /// Minimum fraction of its capacity that a backend has when it starts, from 0 to 1.
    pub slow_start_initial_fraction: f64,
    /// Maximum duration of a backend's slow start, over all kinds.
    pub slow_start_duration: Micros,
    /// A warming backend fails if it receives more than this multiple of its current capacity within
    /// `overload_window`; above 0.
    pub overload_multiple: f64,
    /// The window over which the load of a warming backend is compared with its capacity.
    pub overload_window: Micros,
}

impl Config {
    /// A small valid configuration: one zone, three proxies, one idempotent class.
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
            weights_report_load: false,
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

    /// The proxy's index divided by the proxy count: at least 0 and below 1.
    pub fn fleet_position(&self) -> f64 {
        f64::from(self.proxy_index) / f64::from(self.proxy_count)
    }

    /// Checks the range of every field; fails with the first that is out of range.
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

/// A class of requests and its service-level objective.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A request served within this time earns its full weight; above 0.
    pub latency_objective: Micros,
    /// The latency objective of a request is extended by this multiple of its expected work; at least 0.
    pub objective_per_work: f64,
    /// Whether a request may be executed twice.
    pub idempotency: Idempotency,
    /// Weight of a request that is served on time; finite and above 0.
    pub priority_weight: f64,
    /// Fraction of the weight that a request served after its objective earns, from 0 to 1.
    pub late_weight_fraction: f64,
}

/// Whether a request may be executed twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second execution has no effect: the request may always be retried, and rejected after an attempt.
    Idempotent,
    /// Backends that have seen the request's idempotency key discard duplicates.
    Keyed {
        /// The backends that share the keys they have seen.
        scope: IdempotencyScope,
        /// How long they discard duplicates, counted from the first attempt that was sent.
        window: Micros,
    },
    /// A second execution may do harm: the request must not be retried once it may have been executed.
    NonIdempotent,
}

/// Which backends share the idempotency keys they have seen, and so discard each other's duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All backends.
    All,
    /// The backends of a zone.
    Zone,
    /// The backends of a cell.
    Cell,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, over all proxies, that earn their full weight; finite and at least 0.
    pub quota_per_second: f64,
}

/// How the endpoint list reaches the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes arrive without a call.
    Push,
    /// Changes arrive after [`Action::Resubscribe`](crate::Action::Resubscribe). The value is the poll
    /// interval, within which a proxy has to call: one that has not called for this long counts as notified
    /// of every change.
    Subscribe(Micros),
}

/// A new configuration, and how its classes and tenants relate to those of the active one: the indices alone
/// do not tell.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigUpdate {
    /// The new configuration.
    pub config: Config,
    /// For each of its classes the index in the configuration that it replaces, or `None` for a new class.
    /// The statistics of a class are kept under its new index.
    pub previous_classes: Vec<Option<ClassId>>,
    /// The same for each of its tenants and their quotas.
    pub previous_tenants: Vec<Option<TenantId>>,
}

/// A field of a configuration that is out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: expected {expected}")]
pub struct ConfigError {
    /// The name of the field.
    pub field: &'static str,
    /// The range that was expected.
    pub expected: &'static str,
}
