//! Configuration reloads by SIGHUP.

mod changed_settings;
mod discovery_address;
mod large_files;
mod rejected_files;
mod requests_in_flight;

use crate::support::{
    config, ready_endpoints, request, settings, wait_until, Backend, Discovery, ProxyProcess,
};
use serde_json::{json, Value};

/// Returns the log lines of reloads, from the message on.
fn reload_log(proxy: &ProxyProcess) -> Vec<String> {
    let log = proxy.log();
    log.lines().filter_map(|line| Some(line.split_once("SIGHUP: ")?.1.to_string())).collect()
}

/// Returns how many reloads have ended, applied or rejected.
fn ended_reloads(proxy: &ProxyProcess) -> usize {
    let is_end =
        |line: &&String| line.contains("configuration in force") || line.contains("configuration rejected");
    reload_log(proxy).iter().filter(is_end).count()
}

/// Replaces the file, reloads it and waits until it is applied.
fn reload(proxy: &ProxyProcess, config: &Value) {
    let before = ended_reloads(proxy);
    proxy.reload(&config.to_string());
    wait_until("the reload to end", || ended_reloads(proxy) > before);
    let last = reload_log(proxy).pop().unwrap();
    assert!(last.contains("configuration in force"), "{last}");
}

/// Returns the settings of a class.
fn class(name: &str, effect: &str) -> Value {
    let mut class = settings()["profiles"][0].clone();
    (class["name"], class["effect"]) = (json!(name), json!(effect));
    class
}

/// A proxy with its discovery service and its configuration.
struct ReloadableProxy {
    proxy: ProxyProcess,
    discovery: Discovery,
    config: Value,
}

/// Starts a proxy whose cached list contains these backends.
fn start_reloadable_proxy(backends: &[&Backend]) -> ReloadableProxy {
    let discovery = Discovery::start();
    let config = config(discovery.address, &ready_endpoints(backends.iter().copied()));
    ReloadableProxy { proxy: ProxyProcess::start(&config), discovery, config }
}

/// Returns a GET or POST request of a class.
fn request_of_class(name: &str, method: &str) -> String {
    let template = if method == "GET" { "read" } else { "pay" };
    request(template, 7000)
        .replace(&format!("/{template}/"), &format!("/{name}/"))
        .replace(&format!("Class: {template}"), &format!("Class: {name}"))
}
