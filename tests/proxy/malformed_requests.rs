//! Requests that are malformed, pipelined or longer than what is read of them.

use crate::support::{ask, ok, proxy_for, request, Backend, Client};
use std::time::Duration;

#[test]
fn malformed_requests_reach_no_backend_and_leave_the_proxy_alive() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let (read, pay) = (request("read", 7000), request("pay", 7000));
    let huge = "x".repeat((64 << 10) + 1);
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
            pay.replace("Content-Length: 4", &format!("Content-Length: {}", huge.len()))
                .replace("body", &huge),
            413,
        ),
        ("nonsense\r\n\r\n".into(), 400),
    ];
    for (text, status) in cases {
        assert_eq!(ask(&proxy, &text).status(), status, "{}", &text[..text.len().min(300)]);
    }
    assert!(backend.requests().is_empty());
    // The largest wait that can be written is a wait like any other.
    assert_eq!(ask(&proxy, &read.replace("7000", &u64::MAX.to_string())).status(), 200);
    assert_eq!(ask(&proxy, &read).status(), 200);
}

/// An answer given before all was read must arrive: a connection that is closed with bytes unread is reset, and what
/// was on its way to the client may be lost with it.
#[test]
fn an_answer_is_not_destroyed_by_what_was_left_unread() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let (read, pay, more) = (request("read", 7000), request("pay", 7000), "x".repeat(200_000));
    let length = format!("Content-Length: {}", more.len());
    // What stays on an open connection is the beginning of a request that is never whole, which has its own answer.
    let cases = [
        (pay.replace("Content-Length: 4", &length).replace("body", &more), 413, None),
        (format!("{}{more}", read.replace("read/", "none/")), 400, Some(408)),
        (format!("{}{more}", read.replace("Host", "Connection: close\r\nHost")), 200, None),
        (format!("nonsense\r\n\r\n{more}"), 400, None),
    ];
    for (text, status, next) in cases {
        let mut client = Client::open(proxy.address);
        client.send(&text);
        assert_eq!(client.answer().map(|a| a.status()), Some(status));
        assert!(
            next.is_none() || client.answer().map(|a| a.status()) == next,
            "after {status}: {:.80}",
            text
        );
        assert!(client.ends_whole(), "reset after {status}: {:.80}", text);
        // A client that is still sending as the answer comes must not be reset before it has read that.
        for _ in 0..3 {
            std::thread::sleep(Duration::from_millis(10));
            assert!(client.try_send("more").is_ok(), "reset after {status}: {:.80}", text);
        }
    }
}

/// What a client sends in one piece is answered in turn; what ends before its end was never asked.
#[test]
fn pipelined_requests_are_answered_in_turn_and_a_cut_one_reaches_nobody() {
    let backend = Backend::start(|m| ok(if m.start.contains("/vote/") { "vote" } else { "read" }));
    let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let (read, vote) = (request("read", 7000), request("vote", 7000));
    let mut client = Client::open(proxy.address);
    client.send(&[&read[..], &vote, &read, &vote[..vote.len() - 2]].concat());
    for body in ["read", "vote", "read"] {
        assert_eq!(client.answer().map(|a| a.body), Some(body.into()));
    }
    client.stop_sending();
    assert!(client.answer().is_none_or(|a| a.status() == 400));
    // A head that is larger than any that is read.
    let long = read.replace("\r\n\r\n", &format!("\r\nX-Long: {}\r\n\r\n", "x".repeat(1 << 20)));
    let mut client = Client::open(proxy.address);
    client.send(&long);
    assert!(client.answer().is_none_or(|a| a.status() == 431));
    assert_eq!(backend.requests().len(), 3);
}
