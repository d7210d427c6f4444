//! Valid and invalid configurations at startup.

use crate::support::{
    config, endpoint, ok_response, refusing_address, request, send_request, wait_until, with_value, Backend,
    Discovery, ProxyProcess,
};
use serde_json::{json, Value};
use std::net::TcpListener;

/// Guards against valid settings, absent or at their limits, with which the proxy does not start or serve.
#[test]
fn settings_at_their_limits_start_and_serve() {
    let cases = [
        ("/settings/customers", json!(null)),
        ("/settings/over_share_worth", json!(null)),
        ("/settings/profiles/0/late_worth", json!(null)),
        ("/settings/profiles/0/aim_us", json!(8_000_000)), // equal to the deadline
        ("/settings/profiles/1/window_us", json!(0)),
        ("/settings/profiles/1/window_us", json!(u64::MAX)),
        ("/settings/costs/cross_zone", json!(null)),
        ("/settings/limits/conn_idle_us", json!(0)),
        ("/settings/limits/max_attempts", json!(1)),
        ("/settings/limits/parallel_tries", json!(false)),
        ("/settings/rules/ramp_time_us", json!(0)),
        ("/settings/rules/tip_after_us", json!(0)),
        ("/settings/rules/stop_sending_within_us", json!(0)),
        ("/settings/rules/stop_sending_within_us", json!(u64::MAX)),
        ("/limits/sockets", json!(u32::MAX)),
    ];
    let (discovery, backend) = (Discovery::start(), Backend::start(|_| ok_response("x")));
    let valid = config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]);
    for (pointer, value) in cases {
        let proxy = ProxyProcess::start(&with_value(&valid, pointer, value.clone()));
        for class in ["read", "vote", "pay"] {
            let status = send_request(&proxy, &request(class, 7000)).status();
            assert_eq!(status, 200, "{class} with {pointer} {value}: {}", proxy.log());
        }
    }
}

/// An invalid value at one place of a configuration, and a part of the expected error message.
struct InvalidValue {
    pointer: &'static str,
    value: Value,
    message: &'static str,
}

fn invalid(pointer: &'static str, value: Value, message: &'static str) -> InvalidValue {
    InvalidValue { pointer, value, message }
}

fn invalid_values() -> Vec<InvalidValue> {
    vec![
        invalid("/listen", json!("nowhere"), "listen: expected an IP address and a port"),
        invalid("/discovery", json!(5), "discovery: expected text"),
        invalid("/seed", json!("xyz"), "seed: expected up to 16 hex digits"),
        invalid("/limits/sockets", json!(3), "limits.sockets: expected at least 64"),
        invalid("/known/endpoints", json!([{}]), "known.endpoints[0].status: missing"),
        invalid("/settings/granularity_us", json!(0), "settings.granularity_us: expected a time above 0"),
        invalid(
            "/settings/limits/max_attempts",
            json!(0),
            "settings.limits.max_attempts: expected at least 1",
        ),
        invalid("/settings/profiles", json!([]), "settings.profiles: expected at least one class"),
        invalid("/settings/profiles/0/gain", json!(0), "settings.profiles[].gain: expected a finite number"),
        invalid("/settings/profiles/1/window_us", json!(null), "profiles[1].window_us: expected whole micro"),
        invalid("/settings/customers", json!([{"name": "a"}]), "settings.customers[0].quota_rps: missing"),
        invalid(
            "/settings/granularity_us",
            json!(-1),
            "settings.granularity_us: expected whole microseconds",
        ),
        invalid("/settings/limits/dial_timeout_us", json!(null), "settings.limits.dial_timeout_us"),
        invalid("/settings/group_size", json!(0), "settings.group_size: expected at least 1"),
        invalid("/settings/position", json!(1), "settings.position: expected less than proxies"),
        invalid("/settings/my_zone", json!("north"), "settings.my_zone: expected one of zones"),
        invalid("/settings/profiles/0/aim_us", json!(9_000_000), "aim_us: expected no more than deadline_us"),
        invalid("/settings/profiles/1/name", json!("read"), "the name stands twice"),
        invalid("/settings/profiles/2/effect", json!("none"), "expected free, guarded or single_shot"),
        invalid("/settings/discovery", json!("never"), "settings.discovery: expected automatic or subscribe"),
    ]
}

/// Guards against a configuration error that is reported without its key or on several lines.
#[test]
fn a_configuration_error_is_one_line_that_names_the_key() {
    let valid = config(refusing_address(), &[]);
    let used_port = TcpListener::bind("127.0.0.1:0").unwrap();
    let used_address = json!(used_port.local_addr().unwrap().to_string());
    let mut cases = invalid_values();
    cases.push(invalid("/listen", used_address, "listen: expected a free address"));
    for InvalidValue { pointer, value, message } in cases {
        let mut proxy = ProxyProcess::launch(&with_value(&valid, pointer, value));
        assert!(!proxy.wait_for_exit().success());
        wait_until("the error message", || proxy.log().contains(message));
        assert_eq!(proxy.log().lines().count(), 1, "expected one line: {}", proxy.log());
    }
}
