//! System calls that fail transiently because of exhausted resources or an error of one connection.

use crate::support::{
    config, endpoint, ok_response, request, send_request, wait_until, Backend, Client, Discovery, Faults,
    ProxyProcess, Reply,
};
use serde_json::json;
use std::time::{Duration, Instant};

/// Number of clients that connect one after another while the proxy shuts down.
const CLIENTS: u32 = 160;
/// Time from SIGTERM to the first client's connect.
const FIRST_CONNECT: Duration = Duration::from_millis(200);
/// Time from SIGTERM to the last client's connect.
const LAST_CONNECT: Duration = Duration::from_millis(400);

/// Shuts the proxy down while `percent` of its accept calls fail. Returns how many of the clients that
/// connect meanwhile receive no response.
fn unanswered_during_shutdown(percent: i64) -> usize {
    let (backend, discovery, faults) =
        (Backend::start(|_| ok_response("x")), Discovery::start(), Faults::none());
    let config = config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]);
    let mut proxy = ProxyProcess::spawn_with_faults(&faults, &config);
    wait_until("the proxy to be ready", || proxy.readiness_status() == 200);
    faults.fail_accepts(percent);
    proxy.terminate();
    let began = Instant::now();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let due = FIRST_CONNECT + (LAST_CONNECT - FIRST_CONNECT) * number / CLIENTS;
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        let mut client = Client::open(proxy.address);
        client.send(&request("read", 7000));
        clients.push(client);
    }
    let unanswered =
        clients.iter_mut().filter_map(|client| client.read_response().is_none().then_some(())).count();
    assert!(proxy.wait_for_exit().success());
    unanswered
}

/// Guards against a failed accept that delays the connections queued behind it, or that ends the final drain
/// of the listen queue early.
#[test]
fn clients_connecting_during_shutdown_are_answered_despite_failing_accepts() {
    for percent in [20, 50, 80] {
        assert_eq!(
            unanswered_during_shutdown(percent),
            0,
            "unanswered clients while {percent} % of the accepts fail"
        );
    }
}

/// Guards against local resource exhaustion that counts against the backend or uses up an attempt.
#[test]
fn connects_that_fail_for_lack_of_resources_are_retried() {
    let start_closing_backend =
        || Backend::start(|_| Reply::SendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".into()));
    let (backend, discovery, faults) = (start_closing_backend(), Discovery::start(), Faults::none());
    let proxy = ProxyProcess::spawn_with_faults(
        &faults,
        &config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]),
    );
    wait_until("the proxy to be ready", || proxy.readiness_status() == 200);
    faults.fail_connects(50);
    for number in 0..60 {
        assert_eq!(send_request(&proxy, &request("pay", 7000)).status(), 200, "request {number}");
    }
    assert_eq!(backend.requests().len(), 60);
    assert!(!proxy.log().contains("backend ejected"), "the backend was ejected: {}", proxy.log());
    assert!(!proxy.log().contains("attempt=1 "), "a second attempt was made: {}", proxy.log());
}

/// Guards against a discovery call that lacks a local socket and waits for the backoff meant for a failing
/// discovery.
#[test]
fn a_discovery_call_that_lacks_resources_is_retried_immediately() {
    let (backend, discovery, faults) =
        (Backend::start(|_| ok_response("x")), Discovery::start(), Faults::none());
    let mut config = config(discovery.address, &[endpoint("a", backend.address, "draining", 0)]);
    config["settings"]["discovery"] = json!("subscribe");
    faults.fail_connects(50);
    let proxy = ProxyProcess::spawn_with_faults(&faults, &config);
    let list = json!({"index": 1, "snapshot": true,
        "endpoints": [endpoint("a", backend.address, "ready", 0)]});
    let closing_response = |text: &str| {
        format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{text}", text.len())
    };
    // Each response closes its connection, so that every call needs a new one.
    for _ in 0..10 {
        discovery.respond(Reply::SendAndClose(closing_response(&list.to_string())));
    }
    assert!(!proxy.log().contains("subscription lost"), "the subscription was lost: {}", proxy.log());
}

/// Guards against losing a reload because opening a file or starting a thread fails transiently.
#[test]
fn a_reload_that_briefly_lacks_resources_succeeds() {
    let (backend, faults) = (Backend::start(|_| ok_response("x")), Faults::none());
    let mut discovery = Discovery::start();
    let mut config = config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]);
    let proxy = ProxyProcess::spawn_with_faults(&faults, &config);
    wait_until("the proxy to be ready", || proxy.readiness_status() == 200);
    faults.fail_reloads(50);
    for number in 0..10 {
        discovery = Discovery::start();
        config["discovery"] = json!(discovery.address.to_string());
        proxy.reload(&config.to_string());
        let began = Instant::now();
        let is_called = || discovery.call_count() > 0;
        while !is_called() && began.elapsed() < Duration::from_secs(4) {
            std::thread::sleep(Duration::from_millis(5));
        }
        assert!(is_called(), "reload {number} was lost: {}", proxy.log());
    }
}
