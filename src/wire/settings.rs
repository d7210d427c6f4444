//! Decodes the settings of a proxy into the balancer's configuration and the names of classes and tenants.

use super::error::{WireError, WireFault};
use super::names::{identifier, Names};
use super::object::Object;
use crate::config::{Class, Config, ConfigError, DiscoveryMode, Idempotency, IdempotencyScope, Tenant};
use crate::units::{ClassId, Micros, TenantId, ZoneId};
use serde_json::Value;

/// Decoded settings. Their configuration is not validated; see [`Config::validate`].
#[derive(Debug)]
pub struct SettingsDocument {
    /// Configuration of the balancer.
    pub config: Config,
    /// Names of the classes and tenants of `config`.
    pub names: Names,
    /// Longest deadline among the classes; 0 without classes.
    pub longest_deadline: Micros,
}

impl SettingsDocument {
    /// Decodes a document; unknown keys are ignored.
    pub fn from_value(document: &Value) -> Result<SettingsDocument, WireError> {
        SettingsDocument::decode(&Object::root(document))
    }

    /// Decodes an object within a document.
    pub(super) fn decode(settings: &Object) -> Result<SettingsDocument, WireError> {
        let local_zone = decode_local_zone(settings)?;
        let mut names = Names::default();
        let Classes { classes, longest_deadline } = decode_classes(settings, &mut names)?;
        let tenants = decode_tenants(settings, &mut names)?;
        let discovery = decode_discovery_mode(settings)?;
        let goal = settings.object("blend");
        let limits = settings.object("limits");
        let rules = settings.object("rules");
        let config = Config {
            proxy_count: settings.required("group_size")?,
            proxy_index: settings.required("position")?,
            local_zone,
            classes,
            tenants,
            over_quota_weight: settings.optional("over_share_worth")?.unwrap_or(0.0),
            overall_goal_weight: goal.required("whole")?,
            worst_class_goal_weight: goal.required("worst_class")?,
            cross_zone_cost: settings.object("costs").optional("cross_zone")?.unwrap_or(0.0),
            discovery,
            // Any other value, or none, means that the weights do not reflect the load of the backends.
            weights_report_load: matches!(settings.required("weight_source"), Ok("live")),
            max_attempts: limits.required("max_attempts")?,
            can_cancel: limits.required("cancel")?,
            hedging_allowed: limits.required("parallel_tries")?,
            tick: settings.required("granularity_us")?,
            slow_start_initial_fraction: rules.required("cold_from")?,
            slow_start_duration: rules.required("ramp_time_us")?,
            overload_multiple: rules.required("fall_multiple")?,
            overload_window: rules.required("tip_after_us")?,
        };
        Ok(SettingsDocument { config, names, longest_deadline })
    }
}

/// Converts a validation error, which names a field of the configuration, into one that names the wire key.
pub fn config_error(error: &ConfigError) -> WireError {
    WireError {
        path: wire_key(error.field).into(),
        fault: WireFault::OutOfRange { expected: error.expected },
    }
}

/// Returns the wire key of a configuration field.
fn wire_key(field: &'static str) -> &'static str {
    match field {
        "proxy_count" => "group_size",
        "proxy_index" => "position",
        "classes" => "profiles",
        "latency_objective" => "profiles[].aim_us",
        "objective_per_work" => "profiles[].aim_stretch",
        "priority_weight" => "profiles[].gain",
        "late_weight_fraction" => "profiles[].late_worth",
        "quota_per_second" => "customers[].quota_rps",
        "over_quota_weight" => "over_share_worth",
        "overall_goal_weight" => "blend.whole",
        "worst_class_goal_weight" => "blend.worst_class",
        "cross_zone_cost" => "costs.cross_zone",
        "max_attempts" => "limits.max_attempts",
        "tick" => "granularity_us",
        "slow_start_initial_fraction" => "rules.cold_from",
        "slow_start_duration" => "rules.ramp_time_us",
        "overload_multiple" => "rules.fall_multiple",
        "overload_window" => "rules.tip_after_us",
        other => other,
    }
}

fn decode_local_zone(settings: &Object) -> Result<ZoneId, WireError> {
    let zones = settings.strings("zones")?;
    settings.parse_string("my_zone", "one of zones", |zone| {
        zones.contains(&zone).then(|| ZoneId(identifier(zone)))
    })
}

struct Classes {
    classes: Vec<Class>,
    longest_deadline: Micros,
}

fn decode_classes(settings: &Object, names: &mut Names) -> Result<Classes, WireError> {
    let mut classes = Vec::new();
    let mut longest_deadline = Micros(0);
    for class in settings.objects("profiles")? {
        let name: &str = class.required("name")?;
        if names.classes.insert(name.into(), ClassId(classes.len())).is_some() {
            return Err(class.error("name", WireFault::DuplicateName));
        }
        classes.push(decode_class(&class)?);
        longest_deadline = longest_deadline.max(class.required("deadline_us")?);
    }
    Ok(Classes { classes, longest_deadline })
}

fn decode_class(class: &Object) -> Result<Class, WireError> {
    let idempotency = decode_idempotency(class)?;
    let latency_objective: Micros = class.required("aim_us")?;
    if latency_objective > class.required("deadline_us")? {
        return Err(class.error("aim_us", WireFault::OutOfRange { expected: "no more than deadline_us" }));
    }
    Ok(Class {
        latency_objective,
        objective_per_work: class.optional("aim_stretch")?.unwrap_or(0.0),
        idempotency,
        priority_weight: class.required("gain")?,
        late_weight_fraction: class.optional("late_worth")?.unwrap_or(0.0),
    })
}

/// Decodes the idempotency of a class. The key scope and window are decoded only for `guarded` classes.
fn decode_idempotency(class: &Object) -> Result<Idempotency, WireError> {
    match class.required("effect")? {
        "free" => Ok(Idempotency::Idempotent),
        "guarded" => {
            let scope = class.parse_string("key_scope", "all, zone or cell", idempotency_scope)?;
            Ok(Idempotency::Keyed { scope, window: class.required("window_us")? })
        }
        "single_shot" => Ok(Idempotency::NonIdempotent),
        _ => Err(class.unexpected("effect", "free, guarded or single_shot")),
    }
}

fn idempotency_scope(name: &str) -> Option<IdempotencyScope> {
    match name {
        "all" => Some(IdempotencyScope::All),
        "zone" => Some(IdempotencyScope::Zone),
        "cell" => Some(IdempotencyScope::Cell),
        _ => None,
    }
}

/// Decodes the tenants; the key may be absent.
fn decode_tenants(settings: &Object, names: &mut Names) -> Result<Vec<Tenant>, WireError> {
    let mut tenants = Vec::new();
    if !settings.has("customers") {
        return Ok(tenants);
    }
    for tenant in settings.objects("customers")? {
        let name: &str = tenant.required("name")?;
        names.tenants.entry(name.into()).or_insert(TenantId(tenants.len()));
        tenants.push(Tenant { quota_per_second: tenant.required("quota_rps")? });
    }
    Ok(tenants)
}

fn decode_discovery_mode(settings: &Object) -> Result<DiscoveryMode, WireError> {
    match settings.required("discovery")? {
        "automatic" => Ok(DiscoveryMode::Push),
        "subscribe" => Ok(DiscoveryMode::Subscribe(settings.object("rules").required("must_ask_in_us")?)),
        _ => Err(settings.unexpected("discovery", "automatic or subscribe")),
    }
}
