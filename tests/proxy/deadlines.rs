//! Final responses at or near the deadline of a request.

use crate::support::{
    config, config_with_long_connect_timeout, endpoint, ok_response, request, send_request, start_proxy_for,
    wait_until, warm_up, Backend, Client, Discovery, Message, ProxyProcess, Reply, SlowAcceptBackend,
};
use std::time::Duration;

/// Guards against deadlines that the balancer misses, in particular with less than a tick left.
#[test]
fn the_balancer_answers_every_request_at_its_deadline() {
    let backend = Backend::start(|_| Reply::NoResponse);
    let (proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
    assert_eq!(send_request(&proxy, &request("pay", 500)).status(), 502);
    wait_until("the connection of the timed-out attempt to close", || backend.closed_connections() == 1);
    for time_left_ms in (0..16).cycle().take(160) {
        let status = send_request(&proxy, &request("read", time_left_ms)).status();
        assert!(matches!(status, 502 | 503), "time left {time_left_ms} ms: status {status}");
    }
    assert!(
        !proxy.log().contains("request unanswered at its deadline"),
        "a deadline was missed: {}",
        proxy.log()
    );
}

/// Guards against a rejection that is sent after the deadline or lacks Retry-After.
#[test]
fn a_request_without_ready_backend_is_rejected_with_retry_after() {
    let (discovery, backend) = (Discovery::start(), Backend::start(|_| ok_response("x")));
    let proxy =
        ProxyProcess::spawn(&config(discovery.address, &[endpoint("a", backend.address, "draining", 0)]));
    wait_until("the readiness probe to return 503", || proxy.readiness_status() == 503);
    // No backend is ready, so the request stays queued until it can no longer be served in time.
    let response = send_request(&proxy, &request("read", 100));
    assert_eq!(response.status(), 503);
    assert!(response.header("retry-after").unwrap().parse::<u32>().unwrap() > 0);
    assert!(backend.requests().is_empty());
}

/// Guards against writing a retry whose connection is established after the idempotency window.
#[test]
fn a_retry_connected_after_its_idempotency_window_is_not_written() {
    let (slow_backend, discovery) = (SlowAcceptBackend::start(), Discovery::start());
    let respond = |message: &Message| match message.start_line.contains("/vote/") {
        true => Reply::Send("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n".into()),
        false => ok_response("x"),
    };
    let backend = Backend::start(respond);
    let endpoints = [endpoint("a", backend.address, "ready", 0)];
    let proxy = ProxyProcess::start(&config_with_long_connect_timeout(&discovery, &endpoints));
    warm_up(&proxy);
    discovery.publish_delta(&[endpoint("b", slow_backend.address, "ready", 0)]);
    let mut client = Client::open(proxy.address);
    client.send(&request("vote", 30_000));
    wait_until("the retry to be dispatched", || {
        proxy.log().contains(&format!("address={}", slow_backend.address))
    });
    std::thread::sleep(Duration::from_millis(1300)); // longer than the idempotency window
    let received_bytes = slow_backend.accept();
    assert_eq!(client.read_response().map(|response| response.status()), Some(502));
    assert_eq!(received_bytes(), 0);
}
