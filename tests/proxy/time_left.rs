//! The time that an attempt tells its backend is at most what its client has left, with 0.15 s of slack.

use crate::support::{config, line, ok, proxy_for, request, Backend, Client, Discovery, Proxy};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A proxy may be held up for so long.
const HELD_UP: Duration = Duration::from_millis(150);

/// A hold-up before the request is read has to leave the slack to one after the time is told.
const SPARE: Duration = Duration::from_millis(60);

/// By how much the times told exceed what was left as they came, in ms.
fn excess(class: &str, left_ms: u64, warm_ms: u64) -> i64 {
    let told = Arc::new(Mutex::new(None));
    let seen = told.clone();
    let backend = Backend::start(move |m| {
        let left: i64 = m.header("x-time-left-ms").unwrap().parse().unwrap();
        *seen.lock().unwrap() = Some((Instant::now(), left));
        ok("x")
    });
    let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let mut client = Client::open(proxy.address);
    client.send(&request("read", 7000));
    client.answer().unwrap();
    std::thread::sleep(Duration::from_millis(warm_ms));
    let mut sent = Instant::now();
    proxy.hold_up(HELD_UP - Duration::from_millis(10), || {
        sent = Instant::now();
        client.send(&request(class, left_ms));
    });
    client.answer().unwrap();
    let (at, left) = told.lock().unwrap().unwrap();
    left - (left_ms as i64 - (at - sent).as_millis() as i64)
}

/// Counted from when the head was read: a process that was held up just then told all of that too much.
#[test]
fn the_time_told_leaves_out_what_the_request_waited_before_it_was_read() {
    for class in ["read", "vote", "pay"] {
        for warm_ms in [0, 100, 700] {
            let excess = excess(class, 2000, warm_ms);
            println!("{class}, after {warm_ms} ms of rest: {excess} ms");
            assert!(
                excess < SPARE.as_millis() as i64,
                "{class}, after {warm_ms} ms of rest: {excess} ms too much"
            );
        }
    }
}

/// Clients that send nothing take every place, and more of them wait than there are places: a client behind them waits
/// too, and the time that its attempt tells is without that.
#[test]
fn the_time_told_leaves_out_what_the_connection_waited_to_be_accepted() {
    let told = Arc::new(Mutex::new(None));
    let seen = told.clone();
    let backend = Backend::start(move |m| {
        let left: i64 = m.header("x-time-left-ms").unwrap().parse().unwrap();
        *seen.lock().unwrap() = Some((Instant::now(), left));
        ok("x")
    });
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    config["limits"]["sockets"] = serde_json::json!(64);
    let proxy = Proxy::start(&config);
    for idle in [16, 40, 60] {
        let crowd: Vec<Client> = (0..idle).map(|_| Client::open(proxy.address)).collect();
        let (mut client, sent) = (Client::open(proxy.address), Instant::now());
        client.send(&request("pay", 2000));
        assert_eq!(client.answer().map(|a| a.status()), Some(200));
        let (at, left) = told.lock().unwrap().unwrap();
        let excess = left - (2000 - (at - sent).as_millis() as i64);
        assert!(excess < HELD_UP.as_millis() as i64, "behind {idle} idle clients: {excess} ms too much");
        drop(crowd);
    }
}
