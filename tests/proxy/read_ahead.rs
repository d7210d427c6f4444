//! Requests that clients send at once, while the connections share little memory for reading ahead.

use crate::support::{ok_response, request, start_proxy_with_limits, wait_until, Backend, Client, Reply};
use std::time::{Duration, Instant};

/// Memory limit of the proxy, the smallest that the platform gives.
const MEMORY_LIMIT_MB: u64 = 32;
/// Descriptor limit of the proxy.
const DESCRIPTOR_LIMIT: usize = 256;

/// Number of requests that a client sends at once.
const REQUESTS_AT_ONCE: usize = 4;

/// Sends requests with bodies of 30 kB at once; returns the statuses of the responses.
fn send_at_once(mut client: Client) -> Vec<Option<u16>> {
    let body = "x".repeat(30_000);
    let length = format!("Content-Length: {}", body.len());
    let text = request("pay", 7000).replace("Content-Length: 4", &length).replace("body", &body);
    client.send(&text.repeat(REQUESTS_AT_ONCE));
    (0..REQUESTS_AT_ONCE).map(|_| client.read_response().map(|response| response.status())).collect()
}

/// Guards against requests that are read and dropped because other connections use the memory for reading
/// ahead.
#[test]
fn requests_sent_at_once_are_answered_while_memory_is_short() {
    let respond = |_: &_| {
        std::thread::sleep(Duration::from_millis(100));
        ok_response("x")
    };
    let backends: Vec<_> = (0..22).map(|_| Backend::start(respond)).collect();
    let (proxy, _discovery) = start_proxy_with_limits(&backends, MEMORY_LIMIT_MB, DESCRIPTOR_LIMIT);
    let address = proxy.address;
    let send = |_| std::thread::spawn(move || send_at_once(Client::open(address)));
    let clients: Vec<_> = (0..85).map(send).collect();
    for client in clients {
        assert_eq!(client.join().unwrap(), [Some(200); REQUESTS_AT_ONCE]);
    }
}

/// Guards against a client whose end is not detected because its connection has no memory for reading ahead.
#[test]
fn a_disconnect_is_detected_while_memory_is_short() {
    let backends: Vec<_> = (0..22).map(|_| Backend::start(|_| Reply::NoResponse)).collect();
    let (proxy, _discovery) = start_proxy_with_limits(&backends, MEMORY_LIMIT_MB, DESCRIPTOR_LIMIT);
    let open_with_extra = |extra_bytes: usize| {
        let mut client = Client::open(proxy.address);
        client.send(&(request("pay", 60_000) + &"x".repeat(extra_bytes)));
        client
    };
    let _staying: Vec<_> = (0..20).map(|_| open_with_extra(200_000)).collect();
    wait_until("the requests to be received", || proxy.count_in_log("request received ") == 20);
    let leaving = open_with_extra(60_000);
    wait_until("the last request to be received", || proxy.count_in_log("request received ") == 21);
    let began = Instant::now();
    drop(leaving);
    wait_until("the client to be logged as disconnected", || {
        proxy.count_in_log("request ended outcome=client_disconnected ") == 1
    });
    // The platform requires 0.1 s; the limit here allows for a loaded machine.
    assert!(began.elapsed() < Duration::from_secs(2), "detected after {:?}", began.elapsed());
}
