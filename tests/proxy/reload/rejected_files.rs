//! Reloads of invalid files.

use super::{reload, reload_log, request_of_class, start_reloadable_proxy, ReloadableProxy};
use crate::support::{
    endpoint, ok_response, request, send_request, wait_until, with_value, Backend, Discovery,
};
use serde_json::{json, Value};

/// The text of an invalid file, and a part of the expected error message.
struct RejectedFile {
    text: String,
    error: &'static str,
}

/// Returns invalid variants of a configuration.
fn rejected_files(config: &Value) -> Vec<RejectedFile> {
    let rejected = |text: &str, error| RejectedFile { text: text.to_string(), error };
    let with = |pointer, value, error| rejected(&with_value(config, pointer, value).to_string(), error);
    let full_text = config.to_string();
    vec![
        rejected("", "BALANCER_CONFIG: expected JSON"),
        rejected(&full_text[..full_text.len() / 2], "BALANCER_CONFIG: expected JSON"),
        rejected("[]", "limits.sockets: missing"),
        with("/listen", json!("nowhere"), "listen: expected an IP address"),
        with("/discovery", json!("nowhere"), "discovery: expected an IP address"),
        with("/known/endpoints", json!([{}]), "known.endpoints[0].status: missing"),
        with("/settings/profiles/0/effect", json!("odd"), "settings.profiles[0].effect: expected free"),
        with("/settings/profiles/1/name", json!("read"), "settings.profiles[1].name: the name stands twice"),
        with("/settings/profiles/0/gain", json!(0), "settings.profiles[].gain: expected a finite number"),
        with("/settings/customers", json!([{"name": "a"}]), "settings.customers[0].quota_rps: missing"),
        with("/settings/limits/open_cap", json!(-1), "settings.limits.open_cap: expected a whole number"),
        with("/settings/position", json!(1), "settings.position: expected less than proxies"),
        with("/settings/rules/cold_from", json!(2), "settings.rules.cold_from: expected a part"),
        with("/settings/profiles", json!("x".repeat(100_000)), "settings.profiles: expected an array"),
    ]
}

/// Guards against a rejected file that is partially applied, or logged on several lines or an overlong one.
#[test]
fn a_rejected_file_changes_nothing() {
    let backend = Backend::start(|_| ok_response("x"));
    let ReloadableProxy { proxy, discovery, config: valid } = start_reloadable_proxy(&[&backend]);
    let other_discovery = Discovery::start();
    let mut other = with_value(&valid, "/discovery", json!(other_discovery.address.to_string()));
    other["settings"]["profiles"][2]["name"] = json!("new");
    let cases = rejected_files(&other);
    let assert_rejected = |error: &str| {
        let last = reload_log(&proxy).pop().unwrap();
        assert!(last.starts_with("configuration rejected error=") && last.contains(error), "{last}");
        assert!(last.len() < 1000, "{} bytes in a line", last.len());
        assert_eq!(send_request(&proxy, &request("pay", 7000)).status(), 200);
        assert_eq!(send_request(&proxy, &request_of_class("new", "POST")).status(), 400);
    };
    for (number, RejectedFile { text, error }) in cases.into_iter().enumerate() {
        proxy.reload(&text);
        wait_until("a log line about the rejected file", || reload_log(&proxy).len() > number);
        assert_eq!(reload_log(&proxy).len(), number + 1, "more than one log line for a file");
        assert_rejected(error);
    }
    let before = reload_log(&proxy).len();
    std::fs::remove_file(&proxy.config_file).unwrap();
    proxy.signal("-HUP");
    wait_until("a log line about the missing file", || reload_log(&proxy).len() > before);
    assert_rejected("expected a readable file");
    assert_eq!(other_discovery.call_count(), 0);
    discovery.publish_delta(&[endpoint("s0", backend.address, "draining", 0)]);
    wait_until("the drain published by the old discovery to be applied", || proxy.readiness_status() == 503);
    reload(&proxy, &other);
    wait_until("a call to the new discovery", || other_discovery.call_count() > 0);
}
