//! Decoding of the platform's documents, and the error messages for invalid ones.

use load_balancer::wire::endpoint_list::EndpointList;
use load_balancer::wire::proxy_config::ProxyConfigDocument;
use load_balancer::wire::settings::SettingsDocument;
use load_balancer::{BackendState, DiscoveryMode, Micros, Time};
use serde_json::{json, Value};

fn settings() -> Value {
    json!({
        "blend": {"whole": 0.6, "worst_class": 0.2}, "discovery": "automatic",
        "position": 0, "group_size": 1, "granularity_us": 5000, "my_zone": "east", "zones": ["east", "west"],
        "limits": {"cancel": true, "max_attempts": 3, "parallel_tries": true, "open_cap": 100,
            "conn_idle_us": 1_000_000, "dial_timeout_us": 100_000},
        "profiles": [
            {"name": "read", "aim_us": 300_000, "deadline_us": 900_000, "effect": "free", "gain": 1}],
        "rules": {
            "cold_from": 0.3, "fall_multiple": 2.5, "ramp_time_us": 9_000_000, "tip_after_us": 2_000_000}
    })
}

fn endpoint_list() -> Value {
    json!({"index": 7, "snapshot": true, "endpoints": [{
        "name": "a", "zone": "east", "group": 3, "type": "big", "status": "ready",
        "since_ms": 5, "weight": 1, "address": "10.0.0.1:80"}]})
}

fn proxy_config() -> Value {
    json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "ff", "limits": {"sockets": 64},
        "known": endpoint_list(), "settings": settings()})
}

fn with_value(document: &Value, pointer: &str, value: Value) -> Value {
    let mut document = document.clone();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    document.pointer_mut(parent).unwrap()[key] = value;
    document
}

fn without_key(document: &Value, pointer: &str) -> Value {
    let mut document = document.clone();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    document.pointer_mut(parent).unwrap().as_object_mut().unwrap().remove(key).unwrap();
    document
}

#[test]
fn optional_keys_may_be_null_and_unknown_keys_are_ignored() {
    let decoded = SettingsDocument::from_value(&settings()).unwrap();
    assert_eq!(decoded.config.discovery, DiscoveryMode::Push);
    assert_eq!((decoded.config.tenants.len(), decoded.config.over_quota_weight), (0, 0.0));
    assert_eq!(decoded.longest_deadline, Micros(900_000));
    assert!(decoded.names.class("read").is_some() && !decoded.names.has_tenants());
    let nullable =
        ["/customers", "/over_share_worth", "/costs", "/weight_source", "/profiles/0/late_worth", "/new"];
    for pointer in nullable {
        let document = with_value(&settings(), pointer, Value::Null);
        assert_eq!(SettingsDocument::from_value(&document).unwrap().config, decoded.config, "{pointer}");
    }
}

#[test]
fn invalid_settings_are_rejected_with_key_and_expected_value() {
    let cases = [
        (json!([]), "zones: missing, expected an array"),
        (without_key(&settings(), "/discovery"), "discovery: missing, expected text"),
        (with_value(&settings(), "/discovery", json!(null)), "discovery: expected text, got null"),
        (
            with_value(&settings(), "/limits", json!(5)),
            "limits.max_attempts: missing, expected a whole number",
        ),
        (with_value(&settings(), "/group_size", json!(1.0)), "group_size: expected a whole number, got 1.0"),
        (
            with_value(&settings(), "/group_size", json!(1u64 << 32)),
            "group_size: expected a whole number, got 4294967296",
        ),
        (with_value(&settings(), "/zones", json!(["east", 5])), "zones[1]: expected text, got 5"),
        (
            with_value(&settings(), "/my_zone", json!("north")),
            "my_zone: expected one of zones, got \"north\"",
        ),
        (
            with_value(&settings(), "/customers", json!([{"name": "a", "quota_rps": "1"}])),
            "customers[0].quota_rps: expected a number, got \"1\"",
        ),
        (
            with_value(&settings(), "/discovery", json!("subscribe")),
            "rules.must_ask_in_us: missing, expected whole microseconds",
        ),
    ];
    for (document, message) in cases {
        assert_eq!(SettingsDocument::from_value(&document).unwrap_err().to_string(), message);
    }
}

/// Guards against a long value that floods the operator's log, and against truncation within a character.
#[test]
fn a_long_value_is_truncated_between_two_characters() {
    let document = with_value(&settings(), "/my_zone", json!("\u{e9}".repeat(50_000)));
    let message = SettingsDocument::from_value(&document).unwrap_err().to_string();
    let truncated = message.strip_prefix("my_zone: expected one of zones, got ").unwrap();
    assert_eq!(truncated, format!("\"{}...", "\u{e9}".repeat(99)));
}

#[test]
fn one_invalid_entry_rejects_the_list() {
    let list = EndpointList::from_value(&endpoint_list()).unwrap();
    assert_eq!((list.version, list.is_snapshot, list.endpoints.len()), (7, true, 1));
    let backend = &list.endpoints[0].backend;
    assert_eq!((backend.state, backend.started_at), (BackendState::Ready, Some(Time(5000))));
    // The list with a second entry, a copy of the first in which a key has this value.
    let entry = |key: &str, value: Value| {
        let mut document = endpoint_list();
        let changed = with_value(&document["endpoints"][0], &format!("/{key}"), value);
        document["endpoints"].as_array_mut().unwrap().push(changed);
        document
    };
    for long_ago in [json!(null), json!(0)] {
        let list = EndpointList::from_value(&entry("since_ms", long_ago)).unwrap();
        assert_eq!(list.endpoints[1].backend.started_at, None);
    }
    let cases = [
        (entry("status", json!("up")), "endpoints[1].status: expected ready, draining or gone, got \"up\""),
        (entry("since_ms", json!(-1)), "endpoints[1].since_ms: expected whole milliseconds, got -1"),
        (entry("group", json!(null)), "endpoints[1].group: expected a group number, got null"),
        (entry("weight", json!(-0.5)), "endpoints[1].weight: expected a weight of 0 or more, got -0.5"),
        (entry("weight", json!("1")), "endpoints[1].weight: expected a number, got \"1\""),
        (
            entry("address", json!("host:80")),
            "endpoints[1].address: expected an IP address and a port, got \"host:80\"",
        ),
        (without_key(&endpoint_list(), "/index"), "index: missing, expected a version number"),
        (json!(5), "endpoints: missing, expected an array"),
    ];
    for (document, message) in cases {
        assert_eq!(EndpointList::from_value(&document).unwrap_err().to_string(), message);
    }
}

#[test]
fn errors_of_a_proxy_configuration_name_paths_from_its_root() {
    let decoded = ProxyConfigDocument::from_value(&proxy_config()).unwrap();
    assert_eq!((decoded.seed, decoded.max_file_descriptors), (255, 64));
    assert_eq!(decoded.cached_list.map(|list| list.version), Some(7));
    assert_eq!(decoded.memory_limit_mb, None);
    let cases = [
        (without_key(&proxy_config(), "/settings"), "settings.zones: missing, expected an array"),
        (
            with_value(&proxy_config(), "/settings/group_size", json!(0)),
            "settings.group_size: expected at least 1",
        ),
        (
            with_value(&proxy_config(), "/limits/sockets", json!(63)),
            "limits.sockets: expected at least 64, got 63",
        ),
        (
            with_value(&proxy_config(), "/limits", json!({"sockets": 64, "memory_mb": "32"})),
            "limits.memory_mb: expected a number, got \"32\"",
        ),
        (
            with_value(&proxy_config(), "/seed", json!("12345678901234567")),
            "seed: expected up to 16 hex digits, got \"12345678901234567\"",
        ),
        (with_value(&proxy_config(), "/known", json!({})), "known.endpoints: missing, expected an array"),
    ];
    for (document, message) in cases {
        assert_eq!(ProxyConfigDocument::from_value(&document).unwrap_err().to_string(), message);
    }
}

/// Guards against a changed order of checks, after which the error names another of several invalid keys.
#[test]
fn the_first_of_several_invalid_keys_is_reported() {
    let invalid_open_cap = with_value(&proxy_config(), "/settings/limits/open_cap", json!("x"));
    let cases = [
        (with_value(&invalid_open_cap, "/seed", json!(5)), "seed: expected text, got 5"),
        (
            with_value(&invalid_open_cap, "/seed", json!("xyz")),
            "settings.limits.open_cap: expected a whole number, got \"x\"",
        ),
        (
            with_value(&invalid_open_cap, "/listen", json!(5)),
            "settings.limits.open_cap: expected a whole number, got \"x\"",
        ),
        (
            with_value(&invalid_open_cap, "/limits/sockets", json!(1)),
            "settings.limits.open_cap: expected a whole number, got \"x\"",
        ),
    ];
    for (document, expected) in cases {
        let error = ProxyConfigDocument::from_value(&document).unwrap_err();
        assert_eq!(error.to_string(), expected);
    }
}
