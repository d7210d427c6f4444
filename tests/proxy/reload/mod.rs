//! A replaced configuration file and SIGHUP: everything that may change while the proxy runs.

mod changed_settings;
mod discovery_address;
mod large_files;
mod rejected_files;
mod requests_in_flight;

use crate::support::{config, line, request, settings, until, Backend, Discovery, Proxy};
use serde_json::{json, Value};

/// The lines about reloads.
fn lines(proxy: &Proxy) -> Vec<String> {
    let log = proxy.log();
    let told = log.lines().filter_map(|l| Some(l.split_once("SIGHUP: ")?.1.to_string()));
    told.collect()
}

/// How many reloads have come to their end, good or bad.
fn ended(proxy: &Proxy) -> usize {
    let last = |l: &&String| l.contains("configuration in force") || l.contains("configuration rejected");
    lines(proxy).iter().filter(last).count()
}

/// Replaces the file and waits until it is in force.
fn reload(proxy: &Proxy, config: &Value) {
    let before = ended(proxy);
    proxy.reload(&config.to_string());
    until("a line about the reload", || ended(proxy) > before);
    let last = lines(proxy).pop().unwrap();
    assert!(last.contains("configuration in force"), "{last}");
}

/// A class as the settings have it.
fn class(name: &str, effect: &str) -> Value {
    let mut class = settings()["profiles"][0].clone();
    (class["name"], class["effect"]) = (json!(name), json!(effect));
    class
}

/// A proxy before these backends, with its configuration.
fn proxy_with_config(backends: &[&Backend]) -> (Proxy, Discovery, Value) {
    let discovery = Discovery::start();
    let name = |n: usize| format!("s{n}");
    let lines: Vec<Value> =
        backends.iter().enumerate().map(|(n, b)| line(&name(n), b.address, "ready", 0)).collect();
    let config = config(discovery.address, &lines);
    (Proxy::start(&config), discovery, config)
}

/// A POST of a single-shot class, or a GET of a free one, of any name.
fn asking(name: &str, method: &str) -> String {
    let kind = if method == "GET" { "read" } else { "pay" };
    request(kind, 7000)
        .replace(&format!("/{kind}/"), &format!("/{name}/"))
        .replace(&format!("Class: {kind}"), &format!("Class: {name}"))
}
