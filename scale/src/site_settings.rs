//! The settings that a platform would give the proxies of a point.

use crate::naming::{class_name, is_idempotent, tenant_name, zone_name};
use crate::plan::{DiscoveryMode, Point};
use serde_json::{json, Value};

/// The capacity with which a started backend begins, as a fraction of its full one.
pub const SLOW_START_INITIAL_FRACTION: f64 = 0.3;
/// A started backend reaches its full capacity after this time, in microseconds.
pub const SLOW_START_US: u64 = 10_000_000;
/// A warming backend is overloaded by more than this multiple of its present capacity ...
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// ... over this time, in microseconds.
pub const OVERLOAD_WINDOW_US: u64 = 2_000_000;
/// This long after a backend began to drain nothing may be sent to it any more, in microseconds.
pub const STOP_SENDING_US: u64 = 1_000_000;
/// The time between two rounds of decisions, in microseconds.
const TICK_US: u64 = 4_000;
/// A proxy that has not called discovery for this long counts as notified, in microseconds.
const MAX_CALL_INTERVAL_US: u64 = 10_000_000;
/// Quotas of all tenants together, as a multiple of the planned rate.
const QUOTA_HEADROOM: f64 = 1.5;

/// The settings of the proxy with this index in its fleet.
pub fn proxy_settings(point: &Point, proxy_index: u32) -> Value {
    json!({
        "blend": {"whole": 0.7, "worst_class": 0.3},
        "costs": {"cross_zone": 0.02},
        "customers": tenants(point),
        "discovery": discovery_mode(point),
        "granularity_us": TICK_US,
        "group_size": proxy_count(point),
        "position": proxy_index,
        "limits": {
            "cancel": true,
            "conn_idle_us": 60_000_000,
            "dial_timeout_us": 1_000_000,
            "max_attempts": 3,
            "open_cap": 20_000,
            "parallel_tries": true,
        },
        "my_zone": zone_name(proxy_index % point.zones),
        "over_share_worth": 0.1,
        "profiles": classes(point),
        "rules": {
            "cold_from": SLOW_START_INITIAL_FRACTION,
            "fall_multiple": OVERLOAD_MULTIPLE,
            "must_ask_in_us": MAX_CALL_INTERVAL_US,
            "ramp_time_us": SLOW_START_US,
            "stop_sending_within_us": STOP_SENDING_US,
            "tip_after_us": OVERLOAD_WINDOW_US,
        },
        "weight_source": "rough",
        "zones": (0..point.zones).map(zone_name).collect::<Vec<String>>(),
    })
}

fn proxy_count(point: &Point) -> u32 {
    if point.fleet == 0 {
        point.proxies
    } else {
        point.fleet
    }
}

fn discovery_mode(point: &Point) -> &'static str {
    match point.discovery.mode {
        DiscoveryMode::Push => "automatic",
        DiscoveryMode::Subscribe => "subscribe",
    }
}

fn tenants(point: &Point) -> Vec<Value> {
    let quota_per_s = point.rate_per_s * QUOTA_HEADROOM / f64::from(point.tenants.max(1));
    (0..point.tenants).map(|number| json!({"name": tenant_name(number), "quota_rps": quota_per_s})).collect()
}

fn classes(point: &Point) -> Vec<Value> {
    (0..point.classes).map(|number| class(number, point.deadline_ms * 1_000)).collect()
}

fn class(number: u32, deadline_us: u64) -> Value {
    json!({
        "name": class_name(number),
        "effect": if is_idempotent(number) { "free" } else { "single_shot" },
        "aim_us": deadline_us / 2,
        "deadline_us": deadline_us,
        "gain": 1.0 + f64::from(number % 4),
        "late_worth": 0.1,
    })
}
