//! Answers of backends that are malformed, late or cut off, and when the request is retried.

use crate::support::{
    config, endpoint, ok_response, proxy_for, read_message, refusing_address, request, send_request,
    wait_until, warm_up, Backend, Discovery, Message, ProxyProcess, Reply,
};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How a request ended, and how often it was sent.
#[derive(Debug, PartialEq)]
struct Outcome {
    status: u16,
    attempts: usize,
}

/// After the warm-up the first request of the class is answered with `first`, every other is served. The
/// warm-up does not count: on a loaded machine one of its requests may be sent twice.
fn outcome_of(first: fn() -> Reply, class: &'static str) -> Outcome {
    assert_ne!(class, "read", "the class of the warm-up");
    let received = Arc::new(AtomicUsize::new(0));
    let is_of_class = move |message: &Message| message.start_line.contains(&format!("/{class}/"));
    let start = || {
        let received = received.clone();
        Backend::start(move |message| {
            if is_of_class(message) && received.fetch_add(1, Ordering::SeqCst) == 0 {
                return first();
            }
            ok_response("served")
        })
    };
    let (backend_a, backend_b) = (start(), start());
    let (proxy, _discovery) = proxy_for(&[("a", &backend_a), ("b", &backend_b)]);
    warm_up(&proxy);
    let status = send_request(&proxy, &request(class, 7000)).status();
    let requests = [backend_a, backend_b].iter().flat_map(Backend::requests).collect::<Vec<_>>();
    Outcome { status, attempts: requests.into_iter().filter(is_of_class).count() }
}

/// Guards against a rejection without effect that passes for a failure.
#[test]
fn what_was_never_executed_is_retried() {
    let unavailable =
        || Reply::Send("HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".into());
    assert_eq!(outcome_of(unavailable, "pay"), Outcome { status: 200, attempts: 2 });
    let timed_out = || Reply::Send("HTTP/1.1 504 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".into());
    assert_eq!(outcome_of(timed_out, "pay"), Outcome { status: 200, attempts: 2 });
}

/// Guards against a broken answer that passes for a rejection: a request that may have run would run again.
#[test]
fn what_may_have_been_executed_is_not_retried() {
    let cases: [fn() -> Reply; 6] = [
        || Reply::Send("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n".into()),
        || Reply::Send("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n".into()),
        || Reply::SendAndClose(String::new()),
        || Reply::SendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort".into()),
        || Reply::SendAndReset("HTTP/1.1 200 OK\r\n\r\nno length".into()),
        || Reply::SendAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n".into()),
    ];
    for (number, first) in cases.into_iter().enumerate() {
        assert_eq!(outcome_of(first, "pay"), Outcome { status: 502, attempts: 1 }, "case {number}");
    }
}

/// Guards against the ejection of a backend for one malformed answer, though it serves all other requests.
#[test]
fn a_malformed_answer_does_not_eject_its_backend() {
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
        let (proxy, _discovery) = proxy_for(&[("a", &malformed_once), ("b", &other)]);
        warm_up(&proxy);
        wait_until("a malformed answer", || send_request(&proxy, &request("pay", 7000)).status() == 502);
        let before = malformed_once.requests().len();
        for _ in 0..20 {
            assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
        }
        assert!(malformed_once.requests().len() > before, "ejected after {text:.60}");
        assert!(!proxy.log().contains("backend ejected"), "{}", proxy.log());
    }
}

/// Guards against a refused connection that passes for a request that may have run.
#[test]
fn a_refused_connection_proves_that_nothing_was_executed() {
    let backend = Backend::start(|_| ok_response("served"));
    let discovery = Discovery::start();
    let endpoints =
        [endpoint("a", refusing_address(), "ready", 0), endpoint("b", backend.address, "ready", 0)];
    let proxy = ProxyProcess::start(&config(discovery.address, &endpoints));
    // The first that meets it may find no retry budget yet; after that the balancer ejects it.
    for _ in 0..10 {
        assert_ne!(send_request(&proxy, &request("pay", 7000)).status(), 502);
    }
    for _ in 0..10 {
        assert_eq!(send_request(&proxy, &request("pay", 7000)).status(), 200);
    }
}

/// A backend whose second answer to a request is taken for that to the next one on its connection, where that
/// comes within 4 ms; counts how often it was.
fn start_answering_twice() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let second_answers = Arc::new(AtomicUsize::new(0));
    let counted = second_answers.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let counted = counted.clone();
            std::thread::spawn(move || answer_twice(stream, &counted));
        }
    });
    (address, second_answers)
}

fn answer_twice(mut stream: TcpStream, second_answers: &AtomicUsize) {
    let response = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{body}");
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut answered: Option<Instant> = None;
    while read_message(&mut reader).is_some() {
        // From here on a second answer to the last request would arrive as one to this.
        let is_second = answered.is_some_and(|at| at.elapsed() < Duration::from_millis(4));
        if is_second {
            second_answers.fetch_add(1, Ordering::SeqCst);
        }
        let _ = stream.write_all(response(if is_second { "late" } else { "good" }).as_bytes());
        answered = Some(Instant::now());
    }
}

/// Guards against the reuse of a connection on which a second answer to its last request may still come.
#[test]
fn a_late_second_answer_is_not_served_to_the_next_request() {
    let (address, second_answers) = start_answering_twice();
    let discovery = Discovery::start();
    let proxy = ProxyProcess::start(&config(discovery.address, &[endpoint("a", address, "ready", 0)]));
    for _ in 0..30 {
        assert_eq!(send_request(&proxy, &request("pay", 7000)).body, b"good");
    }
    assert_eq!(second_answers.load(Ordering::SeqCst), 0);
}
