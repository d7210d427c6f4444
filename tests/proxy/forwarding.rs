//! What reaches a backend, and what its answer becomes.

use crate::support::{ok_response, proxy_for, request, send_request, Backend};

/// Guards against a request or an answer that the proxy changes on its way.
#[test]
fn a_request_is_forwarded_unchanged_and_so_is_its_answer() {
    let backend = Backend::start(|_| ok_response("the answer"));
    let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let answer = send_request(&proxy, &request("vote", 7000));
    assert_eq!((answer.status(), answer.body), (200, b"the answer".to_vec()));
    let [received] = &backend.requests()[..] else { panic!("one attempt") };
    assert_eq!(received.start_line, "POST /vote/a?b=c HTTP/1.1");
    assert_eq!(received.header("x-correlation-id"), Some("9b1f03aa5c7e2d41"));
    assert_eq!(received.header("idempotency-key"), Some("k1"));
    assert_eq!(received.body, b"body");
    let time_left_ms: u64 = received.header("x-time-left-ms").unwrap().parse().unwrap();
    assert!(time_left_ms < 7000, "the time left is the proxy's own: {time_left_ms}");
}
