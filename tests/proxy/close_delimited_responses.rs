//! Close-delimited responses, which have no length and end with their connection.

use crate::support::{
    config, endpoint, ok_response, read_message, request, send_request, start_proxy_for, warm_up, Backend,
    Discovery, Message, ProxyProcess, Reply,
};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// How a backend ends a close-delimited response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionEnd {
    /// Closes the connection.
    Close,
    /// Shuts down only its sending side.
    HalfClose,
    /// Resets the connection this long after the last byte.
    Reset(Duration),
}

/// Starts a backend whose responses to POST requests are close-delimited.
fn start_close_delimited_backend(head: &'static str, end: ConnectionEnd) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || serve_connection(stream, head, end));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, head: &str, end: ConnectionEnd) {
    let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = read_message(&mut reader) {
        if message.start_line.starts_with("GET") {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").unwrap();
            continue;
        }
        // Written in two parts, so that the end arrives well after the beginning.
        let _ = stream.write_all(format!("{head}\r\n\r\nno ").as_bytes());
        std::thread::sleep(Duration::from_millis(20));
        let _ = stream.write_all(b"length");
        match end {
            ConnectionEnd::Close => return,
            ConnectionEnd::HalfClose => {
                let _ = stream.shutdown(std::net::Shutdown::Write);
                let _ = read_message(&mut reader);
                return;
            }
            ConnectionEnd::Reset(after) => {
                std::thread::sleep(after);
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
                return;
            }
        }
    }
}

/// Returns the responses to one request of each class that is not idempotent, sent after a warm-up.
fn responses_per_class(head: &'static str, end: ConnectionEnd) -> Vec<Message> {
    let backend = start_close_delimited_backend(head, end);
    let discovery = Discovery::start();
    let proxy = ProxyProcess::start(&config(discovery.address, &[endpoint("a", backend, "ready", 0)]));
    warm_up(&proxy);
    ["pay", "vote"].map(|class| send_request(&proxy, &request(class, 3000))).into()
}

const RESPONSE_HEADS: [&str; 3] =
    ["HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nConnection: close", "HTTP/1.0 200 OK\r\nX-Other: 1"];

/// Guards against treating a complete close-delimited response as a failure.
#[test]
fn a_complete_close_delimited_response_is_served() {
    for head in RESPONSE_HEADS {
        for end in [ConnectionEnd::Close, ConnectionEnd::HalfClose] {
            for response in responses_per_class(head, end) {
                assert_eq!(
                    (response.status(), &response.body[..]),
                    (200, &b"no length"[..]),
                    "{head:?}, {end:?}"
                );
            }
        }
    }
}

/// Guards against treating a connection reset, immediate or delayed, as the end of a response.
#[test]
fn a_close_delimited_response_that_is_reset_is_not_served() {
    for head in RESPONSE_HEADS {
        for after in [Duration::ZERO, Duration::from_millis(30)] {
            for response in responses_per_class(head, ConnectionEnd::Reset(after)) {
                assert_ne!(response.status(), 200, "{head:?}, {after:?}");
            }
        }
    }
}

/// Guards against forwarding a body that is still in a transfer coding.
#[test]
fn a_response_with_an_unsupported_transfer_coding_is_not_served() {
    for head in
        ["HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip", "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity"]
    {
        for response in responses_per_class(head, ConnectionEnd::Close) {
            assert_ne!(response.status(), 200, "{head:?}");
        }
    }
}

/// Guards against truncating and serving a response whose body exceeds the size limit.
#[test]
fn a_close_delimited_response_is_served_up_to_the_size_limit() {
    for (length, status) in [(64 << 10, 200), ((64 << 10) + 1, 502)] {
        let backend = Backend::start(move |message| match message.start_line.starts_with("POST") {
            true => Reply::SendAndClose(format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(length))),
            false => ok_response("x"),
        });
        let (proxy, _discovery) = start_proxy_for(&[("a", &backend)]);
        warm_up(&proxy);
        let response = send_request(&proxy, &request("pay", 3000));
        assert_eq!(response.status(), status, "body of {length} bytes");
        assert!(status != 200 || response.body.len() == length);
    }
}
