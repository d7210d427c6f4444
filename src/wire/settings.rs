//! The settings of an instance to the library's configuration, and the names that go with it.

use crate::config::{Class, Config, ConfigUpdate, DiscoveryMode, Idempotency, IdempotencyScope, Tenant};
use crate::units::{ClassId, Micros, TenantId, ZoneId};
use serde_json::Value;
use std::collections::HashMap;

/// Names of classes and tenants, and their numbers. Of tenants that share a name the first has it.
#[derive(Default, PartialEq)]
pub struct Names {
    classes: HashMap<Box<str>, ClassId>,
    tenants: HashMap<Box<str>, TenantId>,
}

/// The number of an address, place or kind: the same in every process, whatever lists it has seen.
pub fn number(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3) // FNV-1a
    })
}

impl Names {
    /// The number of a class.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).copied()
    }

    /// Whether requests name a tenant.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }
    /// The number of a tenant.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).copied()
    }

    /// The replacement of a configuration with the names `old` by this one, whose names these are.
    pub fn update(&self, old: &Names, config: Config) -> ConfigUpdate {
        let (mut previous_classes, mut previous_tenants) =
            (vec![None; config.classes.len()], vec![None; config.tenants.len()]);
        for (name, id) in &self.classes {
            previous_classes.get_mut(id.0).into_iter().for_each(|was| *was = old.class(name));
        }
        for (name, id) in &self.tenants {
            previous_tenants.get_mut(id.0).into_iter().for_each(|was| *was = old.tenant(name));
        }
        ConfigUpdate { config, previous_classes, previous_tenants }
    }
}

/// The most of a wrong value that a message repeats, in bytes.
const SHOWN: usize = 200;

/// A value as a message shows it: whole where it is short.
fn shown(value: &Value) -> String {
    let mut text = value.to_string();
    if text.len() > SHOWN {
        let end = (0..=SHOWN).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
        text.truncate(end);
        text.push_str("...");
    }
    text
}

/// A value inside a JSON document, with the path that led to it: what is wrong is told by that path.
pub struct Key<'a> {
    path: String,
    value: Option<&'a Value>,
}

impl<'a> Key<'a> {
    /// The whole document.
    pub fn root(value: &'a Value) -> Key<'a> {
        Key { path: String::new(), value: Some(value) }
    }
    /// The value itself, if it is there and not null.
    pub fn value(&self) -> Option<&'a Value> {
        self.value.filter(|v| !v.is_null())
    }
    /// A member of an object.
    pub fn get(&self, name: &str) -> Key<'a> {
        let path = if self.path.is_empty() { name.into() } else { format!("{}.{name}", self.path) };
        Key { path, value: self.value.and_then(|v| v.get(name)) }
    }
    /// What was got, or a message that says what was expected.
    pub fn want<T>(&self, got: Option<T>, what: &str) -> Result<T, String> {
        got.ok_or_else(|| match self.value {
            Some(v) => format!("{}: expected {what}, got {}", self.path, shown(v)),
            None => format!("{}: missing, expected {what}", self.path),
        })
    }
    /// The value read by `read`, or this one where it is absent or null.
    pub fn or<T>(&self, absent: T, read: impl Fn(&Key<'a>) -> Result<T, String>) -> Result<T, String> {
        if self.value().is_some() {
            read(self)
        } else {
            Ok(absent)
        }
    }
    /// Text.
    pub fn text(&self) -> Result<&'a str, String> {
        self.want(self.value.and_then(Value::as_str), "text")
    }
    /// True or false.
    pub fn flag(&self) -> Result<bool, String> {
        self.want(self.value.and_then(Value::as_bool), "true or false")
    }
    /// A number.
    pub fn real(&self) -> Result<f64, String> {
        self.want(self.value.and_then(Value::as_f64), "a number")
    }
    /// A span in whole microseconds.
    pub fn micros(&self) -> Result<Micros, String> {
        self.want(self.value.and_then(Value::as_u64), "whole microseconds").map(Micros)
    }
    /// A whole number.
    pub fn count(&self) -> Result<u32, String> {
        let got = self.value.and_then(Value::as_u64).and_then(|n| u32::try_from(n).ok());
        self.want(got, "a whole number")
    }
    /// The items of an array.
    pub fn list(&self) -> Result<Vec<Key<'a>>, String> {
        let items = self.want(self.value.and_then(Value::as_array), "an array")?;
        let item = |(i, v)| Key { path: format!("{}[{i}]", self.path), value: Some(v) };
        Ok(items.iter().enumerate().map(item).collect())
    }
}

/// The key of the settings from which a field of the configuration is read: what is wrong is told by that.
pub fn key_of(field: &'static str) -> &'static str {
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
        "overload_multiple" => "rules.fall_multiple",
        same => same,
    }
}

/// Reads the settings; unknown keys are skipped.
pub fn read(root: &Key) -> Result<(Config, Names), String> {
    let mut names = Names::default();
    let (mut zones, my_zone) = (Vec::new(), root.get("my_zone"));
    for zone in root.get("zones").list()? {
        zones.push(zone.text()?);
    }
    if !zones.contains(&my_zone.text()?) {
        return my_zone.want(None, "one of zones");
    }
    let zone = ZoneId(number(my_zone.text()?));
    let mut classes = Vec::new();
    for class in root.get("profiles").list()? {
        let name = class.get("name");
        if names.classes.insert(name.text()?.into(), ClassId(classes.len())).is_some() {
            return Err(format!("{}: the name stands twice", name.path));
        }
        let scope = class.get("key_scope");
        let effect = match class.get("effect").text()? {
            "free" => Idempotency::Idempotent,
            "guarded" => {
                let scope = match scope.text()? {
                    "all" => IdempotencyScope::All,
                    "zone" => IdempotencyScope::Zone,
                    "cell" => IdempotencyScope::Cell,
                    _ => return scope.want(None, "all, zone or cell"),
                };
                Idempotency::Keyed { scope, window: class.get("window_us").micros()? }
            }
            "single_shot" => Idempotency::NonIdempotent,
            _ => return class.get("effect").want(None, "free, guarded or single_shot"),
        };
        let stretch = class.get("aim_stretch");
        let (aim, deadline) = (class.get("aim_us"), class.get("deadline_us"));
        if aim.micros()? > deadline.micros()? {
            return Err(format!("{}: expected no more than deadline_us", aim.path));
        }
        classes.push(Class {
            latency_objective: aim.micros()?,
            objective_per_work: stretch.or(0.0, Key::real)?,
            idempotency: effect,
            priority_weight: class.get("gain").real()?,
            late_weight_fraction: class.get("late_worth").or(0.0, Key::real)?,
        });
    }
    let mut tenants = Vec::new();
    // A site may have no tenants, and then needs no worth of what is past their shares.
    for tenant in root.get("customers").or(Vec::new(), Key::list)? {
        names.tenants.entry(tenant.get("name").text()?.into()).or_insert(TenantId(tenants.len()));
        tenants.push(Tenant { quota_per_second: tenant.get("quota_rps").real()? });
    }
    let (limits, rules, goal) = (root.get("limits"), root.get("rules"), root.get("blend"));
    let discovery = match root.get("discovery").text()? {
        "automatic" => DiscoveryMode::Push,
        "subscribe" => DiscoveryMode::Subscribe(rules.get("must_ask_in_us").micros()?),
        _ => return root.get("discovery").want(None, "automatic or subscribe"),
    };
    let config = Config {
        proxy_count: root.get("group_size").count()?,
        proxy_index: root.get("position").count()?,
        local_zone: zone,
        classes,
        tenants,
        over_quota_weight: root.get("over_share_worth").or(0.0, Key::real)?,
        overall_goal_weight: goal.get("whole").real()?,
        worst_class_goal_weight: goal.get("worst_class").real()?,
        cross_zone_cost: root.get("costs").get("cross_zone").or(0.0, Key::real)?,
        discovery,
        live_weights: root.get("weight_source").text().is_ok_and(|w| w == "live"),
        max_attempts: limits.get("max_attempts").count()?,
        can_cancel: limits.get("cancel").flag()?,
        hedging_allowed: limits.get("parallel_tries").flag()?,
        tick: root.get("granularity_us").micros()?,
        slow_start_initial_fraction: rules.get("cold_from").real()?,
        slow_start_duration: rules.get("ramp_time_us").micros()?,
        overload_multiple: rules.get("fall_multiple").real()?,
        overload_window: rules.get("tip_after_us").micros()?,
    };
    Ok((config, names))
}
