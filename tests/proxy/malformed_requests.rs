//! Requests that are malformed, pipelined or too long.

use crate::support::{ok_response, request, send_request, start_proxy_for, Backend, Client};
use std::time::Duration;

/// Guards against malformed requests that are forwarded or crash the proxy.
#[test]
fn malformed_requests_are_rejected_and_not_forwarded() {
    let backend = Backend::start(|_| ok_response("x"));
    let (proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
    let (read, pay) = (request("read", 7000), request("pay", 7000));
    let too_long = "x".repeat((64 << 10) + 1);
    let cases = [
        (read.replace("X-Service-Class: read\r\n", ""), 400),
        (read.replace("X-Service-Class: read", "X-Service-Class: none"), 400),
        (read.replace("/read/", "/pay/"), 400),
        (read.replace("GET", "POST"), 400),
        (read.replace("X-Time-Left-Ms: 7000\r\n", ""), 400),
        (read.replace("7000", "-1"), 400),
        (read.replace("7000", "99999999999999999999999"), 400),
        (read.replace("7000", "7000\r\nX-Weight-Hint: 1e3"), 400),
        (read.replace("X-Correlation-Id: 9b1f03aa5c7e2d41\r\n", ""), 400),
        (pay.replace("POST", "GET"), 400),
        (pay.replace("X-Time", "Idempotency-Key: k\r\nX-Time"), 400),
        (request("vote", 7000).replace("Idempotency-Key: k1\r\n", ""), 400),
        (
            pay.replace("Content-Length: 4", &format!("Content-Length: {}", too_long.len()))
                .replace("body", &too_long),
            413,
        ),
        ("nonsense\r\n\r\n".into(), 400),
    ];
    for (text, status) in cases {
        assert_eq!(send_request(&proxy, &text).status(), status, "request: {}", &text[..text.len().min(300)]);
    }
    assert!(backend.requests().is_empty());
    // The largest remaining time that can be represented is valid.
    assert_eq!(send_request(&proxy, &read.replace("7000", &u64::MAX.to_string())).status(), 200);
    assert_eq!(send_request(&proxy, &read).status(), 200);
}

/// Guards against a response that is lost because a connection with unread bytes is reset.
#[test]
fn the_response_arrives_despite_unread_bytes() {
    let backend = Backend::start(|_| ok_response("x"));
    let (proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
    let (read, pay, extra) = (request("read", 7000), request("pay", 7000), "x".repeat(200_000));
    let length = format!("Content-Length: {}", extra.len());
    // On a connection that stays open, the extra bytes are a request of their own, whose head is too long.
    let cases = [
        (pay.replace("Content-Length: 4", &length).replace("body", &extra), 413, None),
        (format!("{}{extra}", read.replace("read/", "none/")), 400, Some(431)),
        (format!("{}{extra}", read.replace("Host", "Connection: close\r\nHost")), 200, None),
        (format!("nonsense\r\n\r\n{extra}"), 400, None),
    ];
    for (text, status, next) in cases {
        let mut client = Client::open(proxy.address);
        client.send(&text);
        assert_eq!(client.read_response().map(|response| response.status()), Some(status));
        assert!(
            next.is_none() || client.read_response().map(|response| response.status()) == next,
            "unexpected second response after {status}: {:.80}",
            text
        );
        assert!(client.closes_without_reset(), "reset after {status}: {:.80}", text);
        // The connection of a client that is still sending must not be reset before the client has read the
        // response.
        for _ in 0..3 {
            std::thread::sleep(Duration::from_millis(10));
            assert!(client.try_send("more").is_ok(), "reset after {status}: {:.80}", text);
        }
    }
}

/// Guards against pipelined requests that are answered out of order, and an incomplete or overlong request
/// that is forwarded.
#[test]
fn pipelined_requests_are_answered_in_order_and_truncated_ones_rejected() {
    let backend = Backend::start(|message| {
        ok_response(if message.start_line.contains("/vote/") { "vote" } else { "read" })
    });
    let (proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
    let (read, vote) = (request("read", 7000), request("vote", 7000));
    let mut client = Client::open(proxy.address);
    client.send(&[&read[..], &vote, &read, &vote[..vote.len() - 2]].concat());
    for body in ["read", "vote", "read"] {
        assert_eq!(client.read_response().map(|response| response.body), Some(body.into()));
    }
    client.stop_sending();
    assert!(client.read_response().is_none_or(|response| response.status() == 400));
    // Headers above the maximum length.
    let long = read.replace("\r\n\r\n", &format!("\r\nX-Long: {}\r\n\r\n", "x".repeat(1 << 20)));
    let mut client = Client::open(proxy.address);
    client.send(&long);
    assert!(client.read_response().is_none_or(|response| response.status() == 431));
    assert_eq!(backend.requests().len(), 3);
}
