//! Configurations and endpoint lists of the proxy.

use super::{Backend, Discovery};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Returns an entry of the endpoint list; `started_at_ms` is 0 for a backend that started long ago.
pub fn endpoint(name: &str, address: SocketAddr, status: &str, started_at_ms: u64) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "east", "type": "m1", "group": 1,
           "status": status, "weight": 1.0, "since_ms": started_at_ms})
}

/// Returns ready endpoints named `s0`, `s1` and so on for these backends.
pub fn ready_endpoints<'a>(backends: impl Iterator<Item = &'a Backend>) -> Vec<Value> {
    let endpoint_of =
        |(number, backend): (usize, &Backend)| endpoint(&format!("s{number}"), backend.address, "ready", 0);
    backends.enumerate().map(endpoint_of).collect()
}

/// Returns the settings of the tests: one proxy, two zones, and the classes `read` (idempotent), `vote`
/// (keyed) and `pay` (not idempotent).
pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "key_scope": "zone", "window_us": 1_200_000, "aim_us": 5_000_000,
               "deadline_us": 8_000_000, "gain": 1.0, "late_worth": 0.0, "stream": false})
    };
    json!({
        "blend": {"whole": 0.7, "worst_class": 0.3},
        "costs": {"cross_zone": 0.0},
        "customers": [],
        "discovery": "automatic",
        "granularity_us": 4000,
        "group_size": 1,
        "position": 0,
        "limits": {"cancel": true, "conn_idle_us": 60_000_000, "dial_timeout_us": 2_000_000, "max_attempts": 4,
                   "open_cap": 20_000, "parallel_tries": true},
        "my_zone": "east",
        "over_share_worth": 0.1,
        "profiles": [class("read", "free"), class("vote", "guarded"), class("pay", "single_shot")],
        "rules": {"cold_from": 0.3, "fall_multiple": 2.5, "must_ask_in_us": 10_000_000,
                  "ramp_time_us": 9_000_000, "stop_sending_within_us": 1_000_000, "tip_after_us": 2_000_000},
        "weight_source": "rough",
        "zones": ["east", "west"],
    })
}

/// Returns a complete configuration with these endpoints as its cached list.
pub fn config(discovery: SocketAddr, cached: &[Value]) -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 0, "snapshot": true, "endpoints": cached}, "settings": settings(),
    })
}

/// Returns the configuration with another value at the JSON pointer.
pub fn with_value(config: &Value, pointer: &str, value: Value) -> Value {
    let mut config = config.clone();
    *config.pointer_mut(pointer).unwrap() = value;
    config
}

/// Returns a configuration with a connect timeout of 20 s.
pub fn config_with_long_connect_timeout(discovery: &Discovery, endpoints: &[Value]) -> Value {
    with_value(&config(discovery.address, endpoints), "/settings/limits/dial_timeout_us", json!(20_000_000))
}
