//! Clients that disconnect, one or many at once: the proxy detects it promptly and sends no further attempts
//! of their requests, including retries and during shutdown.

use crate::support::{
    config, config_with_long_connect_timeout, endpoint, ok_response, request, send_request, start_proxy_for,
    wait_until, with_value, Backend, Client, Discovery, Message, ProxyProcess, Reply, SlowAcceptBackend,
};
use serde_json::json;
use std::time::{Duration, Instant};

/// Guards against an attempt that continues after its client has disconnected.
#[test]
fn the_attempt_of_a_disconnected_client_is_cancelled() {
    let backend = Backend::start(|_| Reply::NoResponse);
    let (proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
    let mut client = Client::open(proxy.address);
    client.send(&request("pay", 60_000));
    wait_until("the attempt to reach the backend", || backend.requests().len() == 1);
    drop(client);
    wait_until("the connection of the attempt to close", || backend.closed_connections() == 1);
}

/// Guards against unread bytes that hide the end of a client's stream, so that its queued request is still
/// sent.
#[test]
fn a_disconnect_is_detected_despite_unread_bytes() {
    let (read, pay) = (request("read", 60_000), request("pay", 60_000));
    let extra_bytes = [String::new(), "GET /re".into(), read, "x".repeat(8 << 10), "x".repeat(1 << 20)];
    for extra in &extra_bytes {
        let respond = |message: &Message| match message.start_line.contains("/pay/") {
            true => Reply::NoResponse,
            false => ok_response("x"),
        };
        let backend = Backend::start(respond);
        let (proxy, discovery) = start_proxy_for(&[("a", &backend)]);
        let open_with_extra = || {
            let mut client = Client::open(proxy.address);
            client.send(&format!("{pay}{extra}"));
            client
        };
        let client = open_with_extra();
        wait_until("the attempt to reach the backend", || backend.requests().len() == 1);
        drop(client);
        wait_until("the connection of the attempt to close", || backend.closed_connections() == 1);
        discovery.publish_delta(&[endpoint("a", backend.address, "draining", 0)]);
        let clients: Vec<Client> = (0..20).map(|_| open_with_extra()).collect();
        wait_until("all requests to be queued", || proxy.count_in_log("request received ") == 21);
        drop(clients);
        wait_until("all clients to be logged as disconnected", || {
            proxy.count_in_log("request ended outcome=client_disconnected ") == 21
        });
        discovery.publish_delta(&[endpoint("a", backend.address, "ready", 0)]);
        assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
        assert_eq!(backend.requests().len(), 2, "requests at the backend, with {} extra bytes", extra.len());
    }
}

/// Guards against an attempt that is written after its client disconnected while the connection was being
/// established.
#[test]
fn an_attempt_still_connecting_is_not_written_after_a_disconnect() {
    for can_cancel in [true, false] {
        let (slow_backend, discovery) = (SlowAcceptBackend::start(), Discovery::start());
        let config =
            config_with_long_connect_timeout(&discovery, &[endpoint("a", slow_backend.address, "ready", 0)]);
        let proxy = ProxyProcess::start(&with_value(&config, "/settings/limits/cancel", json!(can_cancel)));
        let mut clients = Vec::new();
        for class in ["read", "vote", "pay"] {
            let mut client = Client::open(proxy.address);
            client.send(&request(class, 60_000));
            clients.push(client);
        }
        wait_until("the attempts to be dispatched", || {
            proxy.count_in_log("attempt dispatched attempt=0 ") == 3
        });
        drop(clients);
        wait_until("all clients to be logged as disconnected", || {
            proxy.count_in_log("request ended outcome=client_disconnected ") == 3
        });
        let received_bytes = slow_backend.accept();
        wait_until("all attempts to end", || proxy.count_in_log("attempt ended attempt=0 ") == 3);
        assert_eq!(received_bytes(), 0, "cancel: {can_cancel}");
    }
}

/// Number of clients that disconnect at the same time.
const CLIENTS: usize = 100;

/// Opens [`CLIENTS`] connections, sends one request on each, and waits until the log contains `event` for all
/// of them.
fn open_clients(proxy: &ProxyProcess, class: &str, event: &str) -> Vec<Client> {
    let before = proxy.count_in_log(event);
    let open = |_| {
        let mut client = Client::open(proxy.address);
        client.send(&request(class, 60_000));
        client
    };
    let clients = (0..CLIENTS).map(open).collect();
    wait_until("the log event for every client", || proxy.count_in_log(event) >= before + CLIENTS);
    clients
}

/// Disconnects all clients at once and checks that the proxy detects it in time. The platform requires 0.1 s;
/// the limit here allows for a loaded machine.
fn disconnect(proxy: &ProxyProcess, clients: Vec<Client>) {
    let before = proxy.count_in_log("request ended outcome=client_disconnected ");
    let began = Instant::now();
    drop(clients);
    wait_until("all clients to be logged as disconnected", || {
        proxy.count_in_log("request ended outcome=client_disconnected ") >= before + CLIENTS
    });
    assert!(began.elapsed() < Duration::from_secs(2), "detected after {:?}", began.elapsed());
}

/// Guards against queued requests that are sent although their clients have disconnected.
#[test]
fn queued_requests_of_disconnected_clients_are_never_sent() {
    for is_shutting_down in [false, true] {
        let (backend, discovery) = (Backend::start(|_| ok_response("x")), Discovery::start());
        let config = config(discovery.address, &[endpoint("a", backend.address, "draining", 0)]);
        let proxy = ProxyProcess::spawn(&config);
        let clients = open_clients(&proxy, "read", "request received ");
        // One client stays connected: its request is sent once a backend is ready.
        let mut staying_client = Client::open(proxy.address);
        staying_client.send(&request("read", 60_000));
        wait_until("the request of the staying client to be queued", || {
            proxy.count_in_log("request received ") == CLIENTS + 1
        });
        if is_shutting_down {
            proxy.terminate();
        }
        disconnect(&proxy, clients);
        discovery.publish_delta(&[endpoint("a", backend.address, "ready", 0)]);
        assert_eq!(
            staying_client.read_response().map(|response| response.status()),
            Some(200),
            "shutting down: {is_shutting_down}"
        );
        assert_eq!(backend.requests().len(), 1, "shutting down: {is_shutting_down}");
    }
}

/// Guards against retries that are written after their clients disconnected while the connections were being
/// established.
#[test]
fn retries_still_connecting_are_not_written_after_a_disconnect() {
    for (is_shutting_down, can_cancel) in [(false, true), (false, false), (true, true), (true, false)] {
        let unprocessed =
            || Reply::Send("HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".into());
        let rejecting_backend = Backend::start(move |message| {
            if message.start_line.contains("/pay/") {
                unprocessed()
            } else {
                ok_response("x")
            }
        });
        let (slow_backend, discovery) = (SlowAcceptBackend::start(), Discovery::start());
        let config = config_with_long_connect_timeout(
            &discovery,
            &[endpoint("a", rejecting_backend.address, "ready", 0)],
        );
        let mut proxy =
            ProxyProcess::start(&with_value(&config, "/settings/limits/cancel", json!(can_cancel)));
        // The retry budget is a fifth of the requests, so enough requests are sent first.
        for _ in 0..2 * CLIENTS {
            assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
        }
        discovery.publish_delta(&[endpoint("b", slow_backend.address, "ready", 0)]);
        let mut clients = Vec::new();
        for _ in 0..CLIENTS {
            let mut client = Client::open(proxy.address);
            client.send(&request("pay", 60_000));
            clients.push(client);
        }
        let slow_address = format!("address={}", slow_backend.address);
        let is_dispatch = |line: &&str| line.contains("attempt dispatched ") && line.contains(&slow_address);
        wait_until("all requests to be received", || proxy.count_in_log("request received ") == 3 * CLIENTS);
        wait_until("two attempts to connect", || proxy.log().lines().filter(is_dispatch).count() >= 2);
        if is_shutting_down {
            proxy.terminate();
        }
        drop(clients);
        wait_until("all requests to end", || {
            proxy.count_in_log("request ended outcome=client_disconnected ") + answered_count(&proxy)
                >= CLIENTS
        });
        let received_bytes = slow_backend.accept();
        if is_shutting_down {
            assert!(proxy.wait_for_exit().success());
        } else {
            let all_ended =
                || proxy.count_in_log("attempt ended ") >= proxy.count_in_log("attempt dispatched ");
            wait_until("all attempts to end", all_ended);
        }
        assert_eq!(received_bytes(), 0, "shutting down: {is_shutting_down}, cancel: {can_cancel}");
    }
}

/// Number of requests that were answered before their clients disconnected.
fn answered_count(proxy: &ProxyProcess) -> usize {
    proxy.count_in_log("request ended outcome=rejected ")
        + proxy.count_in_log("request ended outcome=failed ")
}
