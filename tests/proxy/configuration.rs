//! Configurations at the start: those that are served and those that are rejected.

use crate::support::{
    ask, changed, config, line, ok, refusing_address, request, until, Backend, Discovery, Proxy,
};
use serde_json::{json, Value};
use std::net::TcpListener;

/// Settings of another customer: what a site may lack, set to nothing or at its limit, is served like any other.
#[test]
fn settings_at_their_limits_start_and_serve() {
    let cases = [
        ("/settings/customers", json!(null)),
        ("/settings/over_share_worth", json!(null)),
        ("/settings/profiles/0/late_worth", json!(null)),
        ("/settings/profiles/0/aim_us", json!(8_000_000)), // as long as the deadline
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
    let (discovery, backend) = (Discovery::start(), Backend::start(|_| ok("x")));
    let good = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    for (pointer, value) in cases {
        let proxy = Proxy::start(&changed(&good, pointer, value.clone()));
        for class in ["read", "vote", "pay"] {
            let status = ask(&proxy, &request(class, 7000)).status();
            assert_eq!(status, 200, "{class} with {pointer} {value}: {}", proxy.log());
        }
    }
}

#[test]
fn a_bad_configuration_is_one_line_that_names_the_key() {
    let good = config(refusing_address(), &[]);
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let bad = |pointer: &str, value: Value| changed(&good, pointer, value);
    let cases = [
        (bad("/listen", json!("nowhere")), "listen: expected an IP address and a port"),
        (bad("/discovery", json!(5)), "discovery: expected text"),
        (bad("/seed", json!("xyz")), "seed: expected up to 16 hex digits"),
        (bad("/limits/sockets", json!(3)), "limits.sockets: expected at least 64"),
        (bad("/known/endpoints", json!([{}])), "known.endpoints[0].status: missing"),
        (bad("/settings/granularity_us", json!(0)), "settings.granularity_us: expected a time above 0"),
        (bad("/settings/limits/max_attempts", json!(0)), "settings.limits.max_attempts: expected at least 1"),
        (bad("/settings/profiles", json!([])), "settings.profiles: expected at least one class"),
        (bad("/settings/profiles/0/gain", json!(0)), "settings.profiles[].gain: expected a finite number"),
        (bad("/settings/profiles/1/window_us", json!(null)), "profiles[1].window_us: expected whole micro"),
        (bad("/settings/customers", json!([{"name": "a"}])), "settings.customers[0].quota_rps: missing"),
        (bad("/settings/granularity_us", json!(-1)), "settings.granularity_us: expected whole microseconds"),
        (bad("/settings/limits/dial_timeout_us", json!(null)), "settings.limits.dial_timeout_us"),
        (bad("/settings/group_size", json!(0)), "settings.group_size: expected at least 1"),
        (bad("/settings/position", json!(1)), "settings.position: expected less than proxies"),
        (bad("/settings/my_zone", json!("north")), "settings.my_zone: expected one of zones"),
        (bad("/settings/profiles/0/aim_us", json!(9_000_000)), "aim_us: expected no more than deadline_us"),
        (bad("/settings/profiles/1/name", json!("read")), "the name stands twice"),
        (bad("/settings/profiles/2/effect", json!("none")), "expected free, guarded or single_shot"),
        (bad("/settings/discovery", json!("never")), "settings.discovery: expected automatic or subscribe"),
        (bad("/listen", json!(taken.local_addr().unwrap().to_string())), "listen: expected a free address"),
    ];
    for (config, message) in cases {
        let mut proxy = Proxy::launch(&config, "unlimited");
        assert!(!proxy.exit().success());
        until("its message", || proxy.log().contains(message));
        assert_eq!(proxy.log().lines().count(), 1, "{}", proxy.log());
    }
}
