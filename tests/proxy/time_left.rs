//! The time left that a backend receives exceeds the client's actual time left by at most 0.15 s.

use crate::support::{
    config, endpoint, ok_response, request, start_proxy_for, Backend, Client, Discovery, ProxyProcess,
};
use serde_json::json;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest stall of the proxy that has to be tolerated; also the limit of the excess.
const MAX_STALL: Duration = Duration::from_millis(150);

/// Limit of the excess after a stall before the request is read. The rest of the 0.15 s is left for a stall
/// after the time left was sent.
const MAX_EXCESS_BEFORE_READ: Duration = Duration::from_millis(60);

/// The time left that a backend received, and when.
#[derive(Clone, Copy)]
struct ReceivedTimeLeft {
    at: Instant,
    time_left_ms: i64,
}

impl ReceivedTimeLeft {
    /// Milliseconds by which it exceeds the client's actual time left on receipt. `sent` is when the client
    /// sent the request, `time_left_ms` the time left that the client stated.
    fn excess_ms(&self, sent: Instant, time_left_ms: u64) -> i64 {
        self.time_left_ms - (time_left_ms as i64 - (self.at - sent).as_millis() as i64)
    }
}

/// Starts a backend that records the time left of the last request that it received.
fn start_recording_backend() -> (Backend, Arc<Mutex<Option<ReceivedTimeLeft>>>) {
    let last = Arc::new(Mutex::new(None));
    let recorded = last.clone();
    let backend = Backend::start(move |message| {
        let time_left_ms: i64 = message.header("x-time-left-ms").unwrap().parse().unwrap();
        *recorded.lock().unwrap() = Some(ReceivedTimeLeft { at: Instant::now(), time_left_ms });
        ok_response("x")
    });
    (backend, last)
}

/// Returns the excess in milliseconds for a request that arrives while the proxy is stalled, on a connection
/// that was idle for `idle_ms` before.
fn excess_after_stall(class: &str, time_left_ms: u64, idle_ms: u64) -> i64 {
    let (backend, last) = start_recording_backend();
    let (proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
    let mut client = Client::open(proxy.address);
    client.send(&request("read", 7000));
    client.read_response().unwrap();
    std::thread::sleep(Duration::from_millis(idle_ms));
    let mut sent = Instant::now();
    proxy.stall(MAX_STALL - Duration::from_millis(10), || {
        sent = Instant::now();
        client.send(&request(class, time_left_ms));
    });
    client.read_response().unwrap();
    let last = last.lock().unwrap().unwrap();
    last.excess_ms(sent, time_left_ms)
}

/// Guards against a time left that includes the time the request waited before it was read.
#[test]
fn the_time_left_excludes_the_wait_before_the_request_was_read() {
    for class in ["read", "vote", "pay"] {
        for idle_ms in [0, 100, 700] {
            let excess = excess_after_stall(class, 2000, idle_ms);
            println!("{class}, after {idle_ms} ms idle: {excess} ms");
            assert!(
                excess < MAX_EXCESS_BEFORE_READ.as_millis() as i64,
                "{class}, after {idle_ms} ms idle: time left exceeds the client's by {excess} ms"
            );
        }
    }
}

/// Guards against a time left that includes the time the connection waited to be accepted behind idle
/// clients.
#[test]
fn the_time_left_excludes_the_wait_for_the_accept() {
    let (backend, last) = start_recording_backend();
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]);
    config["limits"]["sockets"] = json!(64);
    let proxy = ProxyProcess::start(&config);
    // From all sixteen connection slots in use to several times as many idle clients.
    for idle_count in [16, 40, 60] {
        let idle_clients: Vec<Client> = (0..idle_count).map(|_| Client::open(proxy.address)).collect();
        let (mut client, sent) = (Client::open(proxy.address), Instant::now());
        client.send(&request("pay", 2000));
        assert_eq!(client.read_response().map(|response| response.status()), Some(200));
        let excess = last.lock().unwrap().unwrap().excess_ms(sent, 2000);
        assert!(
            excess < MAX_STALL.as_millis() as i64,
            "behind {idle_count} idle clients: time left exceeds the client's by {excess} ms"
        );
        drop(idle_clients);
    }
}
