//! The remaining time sent upstream is at most what the client has left, with 0.15 s of slack.

use crate::support::{
    config, endpoint, ok_response, proxy_for, request, Backend, Client, Discovery, ProxyProcess,
};
use serde_json::json;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A proxy may be stalled for so long.
const STALL: Duration = Duration::from_millis(150);

/// A stall before the request is read must leave the slack to one after the time is sent.
const MOST_BEFORE_READ: Duration = Duration::from_millis(60);

/// What an attempt sent upstream as remaining time, and when.
#[derive(Clone, Copy)]
struct SentTimeLeft {
    at: Instant,
    time_left_ms: i64,
}

impl SentTimeLeft {
    /// By how much it exceeds what the client had left then, in ms.
    fn excess_ms(&self, sent: Instant, time_left_ms: u64) -> i64 {
        self.time_left_ms - (time_left_ms as i64 - (self.at - sent).as_millis() as i64)
    }
}

/// A backend that records the last remaining time that was sent to it.
fn start_recording_backend() -> (Backend, Arc<Mutex<Option<SentTimeLeft>>>) {
    let last = Arc::new(Mutex::new(None));
    let recorded = last.clone();
    let backend = Backend::start(move |message| {
        let time_left_ms: i64 = message.header("x-time-left-ms").unwrap().parse().unwrap();
        *recorded.lock().unwrap() = Some(SentTimeLeft { at: Instant::now(), time_left_ms });
        ok_response("x")
    });
    (backend, last)
}

/// The excess of the remaining time sent upstream, where the proxy is stalled as the request comes.
fn excess_after_stall(class: &str, time_left_ms: u64, idle_ms: u64) -> i64 {
    let (backend, last) = start_recording_backend();
    let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let mut client = Client::open(proxy.address);
    client.send(&request("read", 7000));
    client.read_response().unwrap();
    std::thread::sleep(Duration::from_millis(idle_ms));
    let mut sent = Instant::now();
    proxy.stall(STALL - Duration::from_millis(10), || {
        sent = Instant::now();
        client.send(&request(class, time_left_ms));
    });
    client.read_response().unwrap();
    let last = last.lock().unwrap().unwrap();
    last.excess_ms(sent, time_left_ms)
}

/// Guards against a remaining time that does not deduct what the request waited before it was read.
#[test]
fn the_time_left_sent_upstream_excludes_the_wait_before_the_request_was_read() {
    for class in ["read", "vote", "pay"] {
        for idle_ms in [0, 100, 700] {
            let excess = excess_after_stall(class, 2000, idle_ms);
            println!("{class}, after {idle_ms} ms idle: {excess} ms");
            assert!(
                excess < MOST_BEFORE_READ.as_millis() as i64,
                "{class}, after {idle_ms} ms idle: {excess} ms too much"
            );
        }
    }
}

/// Guards against a remaining time that does not deduct what the connection waited behind idle clients.
#[test]
fn the_time_left_sent_upstream_excludes_the_wait_for_the_accept() {
    let (backend, last) = start_recording_backend();
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]);
    config["limits"]["sockets"] = json!(64);
    let proxy = ProxyProcess::start(&config);
    for idle_count in [16, 40, 60] {
        let idle_clients: Vec<Client> = (0..idle_count).map(|_| Client::open(proxy.address)).collect();
        let (mut client, sent) = (Client::open(proxy.address), Instant::now());
        client.send(&request("pay", 2000));
        assert_eq!(client.read_response().map(|response| response.status()), Some(200));
        let excess = last.lock().unwrap().unwrap().excess_ms(sent, 2000);
        assert!(excess < STALL.as_millis() as i64, "behind {idle_count} idle clients: {excess} ms too much");
        drop(idle_clients);
    }
}
