//! Connections to backends: reuse, closing, draining, and restarts of backends.

use crate::support::{
    config_with_long_connect_timeout, endpoint, ok_response, request, send_request, start_proxy_for,
    wait_until, Backend, Client, Discovery, ProxyProcess, Reply, SlowAcceptBackend,
};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Guards against a request that fails because its backend has closed the pooled connection.
#[test]
fn a_stale_pooled_connection_does_not_use_up_an_attempt() {
    let is_first = AtomicBool::new(true);
    let backend = Backend::start(move |_| match is_first.swap(false, Ordering::SeqCst) {
        true => Reply::SendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".into()),
        false => ok_response("x"),
    });
    let (proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
    assert_eq!(send_request(&proxy, &request("pay", 7000)).status(), 200);
    wait_until("the pooled connection to close", || backend.closed_connections() == 1);
    assert_eq!(send_request(&proxy, &request("pay", 7000)).status(), 200);
    assert_eq!((backend.requests().len(), backend.opened_connections()), (2, 2));
}

/// Guards against concurrent requests on one connection, and against idle connections that are not closed.
#[test]
fn connections_are_reused_and_carry_one_request_at_a_time() {
    let backend = Backend::start(|message| {
        if message.start_line.contains("slow") {
            std::thread::sleep(Duration::from_millis(500));
        }
        ok_response("x")
    });
    let (proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
    let mut clients = [Client::open(proxy.address), Client::open(proxy.address)];
    for client in &mut clients {
        client.send(&request("read", 7000).replace("/a?", "/slow?"));
    }
    for client in &mut clients {
        assert_eq!(client.read_response().map(|response| response.status()), Some(200));
    }
    assert_eq!(backend.opened_connections(), 2);
    for _ in 0..10 {
        assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
    }
    assert_eq!((backend.opened_connections(), backend.closed_connections()), (2, 0));
    // Otherwise the idle connections of many proxies would fill the connection tables of unused backends.
    wait_until("both idle connections to close", || backend.closed_connections() == 2);
}

/// Guards against writing a request to a backend that started to drain during the connect.
#[test]
fn a_backend_that_drains_during_the_connect_receives_no_request() {
    let (slow_backend, discovery) = (SlowAcceptBackend::start(), Discovery::start());
    let proxy = ProxyProcess::start(&config_with_long_connect_timeout(
        &discovery,
        &[endpoint("a", slow_backend.address, "ready", 0)],
    ));
    let mut client = Client::open(proxy.address);
    client.send(&request("pay", 30_000));
    wait_until("the first attempt to be dispatched", || {
        proxy.log().contains("attempt dispatched attempt=0 ")
    });
    discovery.publish_delta(&[endpoint("a", slow_backend.address, "draining", 0)]);
    let received_bytes = slow_backend.accept();
    assert_eq!(client.read_response().map(|response| response.status()), Some(503));
    assert_eq!(received_bytes(), 0);
}

/// Guards against using a backend's previous connections or address after its restart.
#[test]
fn a_restarted_backend_gets_new_connections() {
    let (old, new) = (Backend::start(|_| ok_response("old")), Backend::start(|_| ok_response("new")));
    let (proxy, discovery) = start_proxy_for(&[("a", &old)]);
    assert_eq!(send_request(&proxy, &request("read", 7000)).body, b"old");
    discovery.publish_delta(&[endpoint("a", old.address, "ready", 1_700_000_000_000)]);
    wait_until("the connection to the previous process to close", || old.closed_connections() == 1);
    assert_eq!(send_request(&proxy, &request("read", 7000)).body, b"old");
    assert_eq!(old.opened_connections(), 2);
    discovery.publish_delta(&[endpoint("a", new.address, "ready", 1_700_000_000_000)]);
    wait_until("the connection to the previous address to close", || old.closed_connections() == 2);
    assert_eq!(send_request(&proxy, &request("read", 7000)).body, b"new");
}
