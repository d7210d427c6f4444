//! Answers without a length: only the end of their connection tells where they end.

use crate::support::{
    ask, config, line, ok, proxy_for, read_message, request, warm_up, Backend, Discovery, Message, Proxy,
    Reply,
};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// How a backend ends an answer without a length.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// It closes properly.
    Close,
    /// It closes its sending side alone.
    HalfClose,
    /// It resets the connection, at once or a while after the bytes.
    Reset(Duration),
}

/// A backend whose answers to POSTs have no length; others are served as usual.
fn unframed(head: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || converse(stream, head, end));
        }
    });
    address
}

fn converse(mut stream: TcpStream, head: &str, end: End) {
    let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = read_message(&mut reader) {
        if message.start.starts_with("GET") {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").unwrap();
            continue;
        }
        // In two pieces: the end may come long after the beginning.
        let _ = stream.write_all(format!("{head}\r\n\r\nno ").as_bytes());
        std::thread::sleep(Duration::from_millis(20));
        let _ = stream.write_all(b"length");
        match end {
            End::Close => return,
            End::HalfClose => {
                let _ = stream.shutdown(std::net::Shutdown::Write);
                let _ = read_message(&mut reader);
                return;
            }
            End::Reset(after) => {
                std::thread::sleep(after);
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
                return;
            }
        }
    }
}

/// The answer to one request of each unsafe class, after enough of others that the module has retries to spend.
fn answers(head: &'static str, end: End) -> Vec<Message> {
    let backend = unframed(head, end);
    let discovery = Discovery::start();
    let proxy = Proxy::start(&config(discovery.address, &[line("a", backend, "ready", 0)]));
    warm_up(&proxy);
    ["pay", "vote"].map(|class| ask(&proxy, &request(class, 3000))).into()
}

const HEADS: [&str; 3] =
    ["HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nConnection: close", "HTTP/1.0 200 OK\r\nX-Other: 1"];

/// They all became failures, though their requests had run and may not be repeated.
#[test]
fn an_answer_without_a_length_that_ends_properly_is_served() {
    for head in HEADS {
        for end in [End::Close, End::HalfClose] {
            for answer in answers(head, end) {
                assert_eq!(
                    (answer.status(), &answer.body[..]),
                    (200, &b"no length"[..]),
                    "{head:?}, {end:?}"
                );
            }
        }
    }
}

/// A reset is no end, however long after the last byte it comes.
#[test]
fn an_answer_without_a_length_that_is_reset_is_not_served() {
    for head in HEADS {
        for after in [Duration::ZERO, Duration::from_millis(30)] {
            for answer in answers(head, End::Reset(after)) {
                assert_ne!(answer.status(), 200, "{head:?}, {after:?}");
            }
        }
    }
}

/// Another transfer coding than chunked says that the body is not the one to pass on.
#[test]
fn an_answer_with_an_unknown_transfer_coding_is_not_served() {
    for head in
        ["HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip", "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity"]
    {
        for answer in answers(head, End::Close) {
            assert_ne!(answer.status(), 200, "{head:?}");
        }
    }
}

/// The longest body and one that is over it: what is left unread makes no whole answer.
#[test]
fn an_answer_without_a_length_is_served_up_to_the_longest_body() {
    for (length, status) in [(64 << 10, 200), ((64 << 10) + 1, 502)] {
        let backend = Backend::start(move |m| match m.start.starts_with("POST") {
            true => Reply::SayAndClose(format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(length))),
            false => ok("x"),
        });
        let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
        warm_up(&proxy);
        let answer = ask(&proxy, &request("pay", 3000));
        assert_eq!(answer.status(), status, "{length}");
        assert!(status != 200 || answer.body.len() == length);
    }
}
