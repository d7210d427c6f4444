//! Change of the discovery address by a reload.

use crate::support::{
    config, endpoint, ok_response, request, send_request, wait_until, with_value, Backend, Discovery,
    ProxyProcess,
};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Guards against a watch that keeps calling the old address, or moves because of a rejected file.
#[test]
fn a_reload_changes_the_discovery_address_unless_the_file_is_rejected() {
    for mode in ["automatic", "subscribe"] {
        let (backend_a, backend_b) =
            (Backend::start(|_| ok_response("a")), Backend::start(|_| ok_response("b")));
        let (old, new) = (Discovery::start(), Discovery::start());
        let mut config = config(old.address, &[endpoint("a", backend_a.address, "ready", 0)]);
        config["settings"]["discovery"] = json!(mode);
        let proxy = ProxyProcess::start(&config);
        wait_until("the first call to discovery", || old.call_count() > 0);
        let config_with = |pointer: &str, value: Value| with_value(&config, pointer, value).to_string();
        let rejected_files = [
            String::new(),
            "no json".into(),
            json!({"discovery": new.address.to_string()}).to_string(),
            config_with("/discovery", json!("nowhere")),
            config_with("/limits/sockets", json!(3)),
            config_with("/settings/profiles/0/aim_us", json!(9_000_000)),
            config_with("/settings/my_zone", json!("north")),
        ];
        for rejected in rejected_files {
            let before = proxy.count_in_log("SIGHUP");
            proxy.reload(&rejected);
            wait_until("a log line about the rejected file", || proxy.count_in_log("SIGHUP") > before);
            assert_eq!(send_request(&proxy, &request("read", 7000)).body, b"a", "{mode}");
            assert_eq!(new.call_count(), 0, "{mode}: moved by {rejected}");
        }
        config["discovery"] = json!(new.address.to_string());
        proxy.reload(&config.to_string());
        wait_until("a call at the new address", || new.call_count() > 0);
        let before = old.call_count();
        assert_eq!(
            send_request(&proxy, &request("read", 7000)).body,
            b"a",
            "the old list was dropped before a new one was received"
        );
        new.publish_snapshot(&[endpoint("b", backend_b.address, "ready", 0)]);
        wait_until("the new list to be applied", || {
            send_request(&proxy, &request("read", 7000)).body == b"b"
        });
        assert_eq!(old.call_count(), before, "{mode}: the old address was called again");
    }
}

/// Guards against a proxy that waits for its slot in the fleet before it calls an unresponsive discovery
/// again.
#[test]
fn an_unresponsive_discovery_is_called_again_at_once_for_a_snapshot() {
    let backend = Backend::start(|_| ok_response("x"));
    let (old, new) = (Discovery::start(), Discovery::start());
    let mut config = config(old.address, &[endpoint("a", backend.address, "ready", 0)]);
    config["settings"]["discovery"] = json!("subscribe");
    config["settings"]["group_size"] = json!(300);
    let proxy = ProxyProcess::start(&config);
    config["discovery"] = json!(new.address.to_string());
    proxy.reload(&config.to_string());
    wait_until("a call at the new address", || new.call_count() == 1);
    let began = Instant::now();
    wait_until("a second call at the new address", || new.call_count() == 2);
    // The platform considers the proxy notified 4 s after the signal; one second later, no request may be sent
    // to a draining backend any more.
    assert!(began.elapsed() < Duration::from_secs(5), "the second call came after {:?}", began.elapsed());
    assert!(!proxy.log().contains("subscription lost"), "the subscription was lost: {}", proxy.log());
    assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200, "the current list was dropped");
}
