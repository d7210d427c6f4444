//! Failed, malformed, truncated and late responses of backends, and whether the request is retried.

use crate::support::{
    config, endpoint, ok_response, read_message, refusing_address, request, send_request, start_proxy_for,
    wait_until, warm_up, Backend, Discovery, Message, ProxyProcess, Reply,
};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The status that the client received, and the number of attempts that reached a backend.
#[derive(Debug, PartialEq)]
struct RequestOutcome {
    status: u16,
    attempts: usize,
}

/// Sends one request of a class, whose first attempt receives `first` and whose others succeed. The warm-up
/// uses another class and is not counted, because its requests may be hedged on a loaded machine.
fn outcome_after_first_response(first: fn() -> Reply, class: &'static str) -> RequestOutcome {
    assert_ne!(class, "read", "must differ from the class of the warm-up requests");
    let received = Arc::new(AtomicUsize::new(0));
    let is_of_class = move |message: &Message| message.start_line.contains(&format!("/{class}/"));
    let start_backend = || {
        let received = received.clone();
        Backend::start(move |message| {
            if is_of_class(message) && received.fetch_add(1, Ordering::SeqCst) == 0 {
                return first();
            }
            ok_response("served")
        })
    };
    let (backend_a, backend_b) = (start_backend(), start_backend());
    let (proxy, _discovery) = start_proxy_for(&[("a", &backend_a), ("b", &backend_b)]);
    warm_up(&proxy);
    let status = send_request(&proxy, &request(class, 7000)).status();
    let requests = [backend_a, backend_b].iter().flat_map(Backend::requests).collect::<Vec<_>>();
    RequestOutcome { status, attempts: requests.into_iter().filter(is_of_class).count() }
}

/// Guards against treating a response that marks the request as unprocessed as a failure.
#[test]
fn an_unprocessed_request_is_retried() {
    let unavailable =
        || Reply::Send("HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".into());
    assert_eq!(outcome_after_first_response(unavailable, "pay"), RequestOutcome { status: 200, attempts: 2 });
    let timed_out = || Reply::Send("HTTP/1.1 504 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".into());
    assert_eq!(outcome_after_first_response(timed_out, "pay"), RequestOutcome { status: 200, attempts: 2 });
}

/// Guards against executing a request twice because a broken response is treated as a rejection.
#[test]
fn a_request_that_may_have_been_executed_is_not_retried() {
    let cases: [fn() -> Reply; 6] = [
        || Reply::Send("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n".into()),
        || Reply::Send("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n".into()),
        || Reply::SendAndClose(String::new()),
        || Reply::SendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort".into()),
        || Reply::SendAndReset("HTTP/1.1 200 OK\r\n\r\nno length".into()),
        || Reply::SendAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n".into()),
    ];
    for (number, first) in cases.into_iter().enumerate() {
        assert_eq!(
            outcome_after_first_response(first, "pay"),
            RequestOutcome { status: 502, attempts: 1 },
            "case {number}"
        );
    }
}

/// Guards against ejecting a backend for one malformed response although it serves all other requests.
#[test]
fn one_malformed_response_does_not_eject_its_backend() {
    let malformed = [
        "HTTP/1.1 2x0 OK\r\nContent-Length: 1\r\n\r\nx".to_string(),
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\nx".into(),
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 900\r\n\r\nabc".into(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n".into(),
        format!("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n{}", "x".repeat(70_000)),
    ];
    for text in malformed {
        let (is_first, response) = (AtomicBool::new(true), text.clone());
        let malformed_once = Backend::start(move |message| {
            if message.start_line.contains("pay") && is_first.swap(false, Ordering::SeqCst) {
                return Reply::Send(response.clone());
            }
            ok_response("a")
        });
        let other = Backend::start(|_| ok_response("b"));
        let (proxy, _discovery) = start_proxy_for(&[("a", &malformed_once), ("b", &other)]);
        warm_up(&proxy);
        wait_until("a 502 for the malformed response", || {
            send_request(&proxy, &request("pay", 7000)).status() == 502
        });
        let before = malformed_once.requests().len();
        for _ in 0..20 {
            assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
        }
        assert!(malformed_once.requests().len() > before, "ejected after {text:.60}");
        assert!(!proxy.log().contains("backend ejected"), "{}", proxy.log());
    }
}

/// Guards against treating a request as possibly executed although its connection was refused.
#[test]
fn a_refused_connection_counts_as_not_executed() {
    let backend = Backend::start(|_| ok_response("served"));
    let discovery = Discovery::start();
    let endpoints =
        [endpoint("a", refusing_address(), "ready", 0), endpoint("b", backend.address, "ready", 0)];
    let proxy = ProxyProcess::start(&config(discovery.address, &endpoints));
    // The first request to the refusing address may be rejected, since the retry budget can still be empty.
    // The balancer then ejects that backend.
    for _ in 0..10 {
        assert_ne!(send_request(&proxy, &request("pay", 7000)).status(), 502);
    }
    for _ in 0..10 {
        assert_eq!(send_request(&proxy, &request("pay", 7000)).status(), 200);
    }
}

/// Starts a backend that simulates a second response to each request: a request that arrives less than 4 ms
/// after the previous response on its connection receives a late response to the previous request. Returns
/// the address and the number of late responses.
fn start_double_responding_backend() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let late_responses = Arc::new(AtomicUsize::new(0));
    let shared_late_responses = late_responses.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let shared_late_responses = shared_late_responses.clone();
            std::thread::spawn(move || respond_twice(stream, &shared_late_responses));
        }
    });
    (address, late_responses)
}

fn respond_twice(mut stream: TcpStream, late_responses: &AtomicUsize) {
    let response = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{body}");
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut last_response_at: Option<Instant> = None;
    while read_message(&mut reader).is_some() {
        // A second response to the previous request would now be taken for the response to this one.
        let is_late = last_response_at.is_some_and(|at| at.elapsed() < Duration::from_millis(4));
        if is_late {
            late_responses.fetch_add(1, Ordering::SeqCst);
        }
        let _ = stream.write_all(response(if is_late { "late" } else { "good" }).as_bytes());
        last_response_at = Some(Instant::now());
    }
}

/// Guards against reusing a connection on which a second response to the previous request may still arrive.
#[test]
fn a_late_second_response_is_not_served_to_the_next_request() {
    let (address, late_responses) = start_double_responding_backend();
    let discovery = Discovery::start();
    let proxy = ProxyProcess::start(&config(discovery.address, &[endpoint("a", address, "ready", 0)]));
    for _ in 0..30 {
        assert_eq!(send_request(&proxy, &request("pay", 7000)).body, b"good");
    }
    assert_eq!(late_responses.load(Ordering::SeqCst), 0);
}
