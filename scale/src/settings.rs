//! Proxy settings of a point, as a platform would distribute them.

use crate::naming::{class_name, is_idempotent, tenant_name, zone_name};
use crate::plan::{DiscoveryMode, Point};
use serde_json::{json, Value};

/// Capacity of a backend at the start of slow start, as a fraction of its full capacity.
pub const SLOW_START_INITIAL_FRACTION: f64 = 0.3;
/// Duration of slow start, in microseconds.
pub const SLOW_START_US: u64 = 10_000_000;
/// Multiple of its current capacity above which a backend in slow start is overloaded, over
/// [`OVERLOAD_WINDOW_US`].
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// Window over which overload is measured, in microseconds.
pub const OVERLOAD_WINDOW_US: u64 = 2_000_000;
/// Time after the start of draining from which nothing may be sent to a backend, in microseconds.
pub const STOP_SENDING_US: u64 = 1_000_000;
/// Interval between two ticks of a balancer, in microseconds.
const TICK_US: u64 = 4_000;
/// Maximum interval between two discovery calls of a proxy, in microseconds. A proxy that has not called for
/// longer counts as notified of every change.
const MAX_CALL_INTERVAL_US: u64 = 10_000_000;
/// Sum of the quotas of all tenants, as a multiple of the planned request rate.
const QUOTA_HEADROOM: f64 = 1.5;

/// Returns the settings of the proxy with this index in the fleet.
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
