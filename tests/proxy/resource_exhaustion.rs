//! System calls that fail for a moment for want of this machine's means, or over one connection alone.

use crate::support::{
    ask, config, line, ok, request, until, Backend, Client, Discovery, Faults, Proxy, Reply,
};
use std::time::{Duration, Instant};

/// Clients that connect one after another while the proxy ends: from 0.2 to 0.4 s after SIGTERM they still may.
const CLIENTS: u32 = 160;

const COMING: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(400));

/// How many clients had no answer that came while the proxy was told to end.
fn unanswered_around_the_end(percent: i64) -> usize {
    let (backend, discovery, faults) = (Backend::start(|_| ok("x")), Discovery::start(), Faults::none());
    let config = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    let mut proxy = Proxy::spawn_among(&faults, &config);
    until("ready", || proxy.ready() == 200);
    faults.fail_accepts(percent);
    proxy.terminate();
    let began = Instant::now();
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let due = COMING.0 + (COMING.1 - COMING.0) * n / CLIENTS;
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        let mut client = Client::open(proxy.address);
        client.send(&request("read", 7000));
        clients.push(client);
    }
    let unanswered = clients.iter_mut().filter_map(|c| c.answer().is_none().then_some(())).count();
    assert!(proxy.exit().success());
    unanswered
}

/// A pause after each failure held up everyone behind it, and the last look at the queue ended with the first one.
#[test]
fn clients_that_come_while_the_proxy_ends_are_answered_though_accepts_fail() {
    for percent in [20, 50, 80] {
        assert_eq!(unanswered_around_the_end(percent), 0, "{percent} in a hundred accepts fail");
    }
}

/// A want of this machine says nothing against the backend: no try is used up, nothing is ejected, all is served.
#[test]
fn connects_that_fail_for_want_of_means_are_made_again() {
    let closing =
        || Backend::start(|_| Reply::SayAndClose("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".into()));
    let (a, discovery, faults) = (closing(), Discovery::start(), Faults::none());
    let proxy = Proxy::spawn_among(&faults, &config(discovery.address, &[line("a", a.address, "ready", 0)]));
    until("ready", || proxy.ready() == 200);
    faults.fail_connects(50);
    for n in 0..60 {
        assert_eq!(ask(&proxy, &request("pay", 7000)).status(), 200, "request {n}");
    }
    assert_eq!(a.requests().len(), 60);
    assert!(!proxy.log().contains("backend ejected"), "{}", proxy.log());
    assert!(!proxy.log().contains("attempt=1 "), "{}", proxy.log());
}

/// The same for discovery: the call that finds no socket goes out a moment later, not after the fleet's wait.
#[test]
fn a_call_of_discovery_that_fails_for_want_of_means_is_made_again_at_once() {
    let (backend, discovery, faults) = (Backend::start(|_| ok("x")), Discovery::start(), Faults::none());
    let mut config = config(discovery.address, &[line("a", backend.address, "draining", 0)]);
    config["settings"]["discovery"] = serde_json::json!("subscribe");
    faults.fail_connects(50);
    let proxy = Proxy::spawn_among(&faults, &config);
    let list = serde_json::json!({"index": 1, "snapshot": true,
        "endpoints": [line("a", backend.address, "ready", 0)]});
    let closing = |text: &str| {
        format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{text}", text.len())
    };
    // Each answer ends its connection, so that each call needs another.
    for _ in 0..10 {
        discovery.act(Reply::SayAndClose(closing(&list.to_string())));
    }
    assert!(!proxy.log().contains("subscription lost"), "{}", proxy.log());
}

/// A file that cannot be opened, or a thread that cannot be begun, for a moment is no file that cannot be used: what
/// discovery tells at its new address counts 4 s after the signal.
#[test]
fn a_reload_that_finds_no_means_for_a_moment_is_made_all_the_same() {
    let (backend, faults) = (Backend::start(|_| ok("x")), Faults::none());
    let mut discovery = Discovery::start();
    let mut config = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    let proxy = Proxy::spawn_among(&faults, &config);
    until("ready", || proxy.ready() == 200);
    faults.fail_reloads(50);
    for n in 0..10 {
        discovery = Discovery::start();
        config["discovery"] = serde_json::json!(discovery.address.to_string());
        proxy.reload(&config.to_string());
        let began = Instant::now();
        let calls = || discovery.calls() > 0;
        while !calls() && began.elapsed() < Duration::from_secs(4) {
            std::thread::sleep(Duration::from_millis(5));
        }
        assert!(calls(), "reload {n}: {}", proxy.log());
    }
}
