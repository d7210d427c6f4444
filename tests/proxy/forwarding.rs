//! Forwarding of requests to backends and of responses to clients.

use crate::support::{ok_response, request, send_request, start_proxy_for, Backend};

/// Guards against altering a request, apart from its time left, or its response.
#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let backend = Backend::start(|_| ok_response("the answer"));
    let (proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
    let response = send_request(&proxy, &request("vote", 7000));
    assert_eq!((response.status(), response.body), (200, b"the answer".to_vec()));
    let [received] = &backend.requests()[..] else { panic!("expected exactly one attempt") };
    assert_eq!(received.start_line, "POST /vote/a?b=c HTTP/1.1");
    assert_eq!(received.header("x-correlation-id"), Some("9b1f03aa5c7e2d41"));
    assert_eq!(received.header("idempotency-key"), Some("k1"));
    assert_eq!(received.body, b"body");
    let time_left_ms: u64 = received.header("x-time-left-ms").unwrap().parse().unwrap();
    assert!(time_left_ms < 7000, "expected less than the client's time left of 7000 ms: {time_left_ms} ms");
}
