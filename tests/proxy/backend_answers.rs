//! Answers of backends that are broken, late or none: when the request is sent again.

use crate::support::{
    ask, config, line, ok, proxy_for, read_message, refusing_address, request, until, warm_up, Backend,
    Discovery, Message, Proxy, Reply,
};
use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// After the warm-up the first backend to be asked for the class does `first`, whoever is asked next serves. The
/// warm-up does not count: on a loaded machine one of its requests may be sent twice.
fn outcome_of(first: fn() -> Reply, class: &'static str) -> (u16, usize) {
    assert_ne!(class, "read", "the class of the warm-up");
    let asked = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let of_class = move |m: &Message| m.start.contains(&format!("/{class}/"));
    let start = || {
        let asked = asked.clone();
        Backend::start(move |m| {
            if of_class(m) && asked.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 0 {
                return first();
            }
            ok("served")
        })
    };
    let (a, b) = (start(), start());
    let (proxy, _discovery) = proxy_for(&[("a", &a), ("b", &b)]);
    warm_up(&proxy);
    let status = ask(&proxy, &request(class, 7000)).status();
    (status, [a, b].iter().flat_map(Backend::requests).filter(of_class).count())
}

#[test]
fn what_never_ran_is_sent_again() {
    let full = || Reply::Say("HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".into());
    assert_eq!(outcome_of(full, "pay"), (200, 2));
    let over = || Reply::Say("HTTP/1.1 504 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".into());
    assert_eq!(outcome_of(over, "pay"), (200, 2));
}

/// An unsafe request that may have run is failed, and sent once: no broken answer passes for a refusal.
#[test]
fn what_may_have_run_is_not_sent_again() {
    let cases: [fn() -> Reply; 6] = [
        || Reply::Say("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n".into()),
        || Reply::Say("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n".into()),
        || Reply::SayAndClose(String::new()),
        || Reply::SayAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort".into()),
        || Reply::SayAndReset("HTTP/1.1 200 OK\r\n\r\nno length".into()),
        || Reply::SayAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n".into()),
    ];
    for (n, first) in cases.into_iter().enumerate() {
        assert_eq!(outcome_of(first, "pay"), (502, 1), "case {n}");
    }
}

/// A backend that garbles an answer lives and serves the others: it is not shut out as one that broke off is.
#[test]
fn an_unreadable_answer_does_not_shut_its_backend_out() {
    let garbled = [
        "HTTP/1.1 2x0 OK\r\nContent-Length: 1\r\n\r\nx".to_string(),
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\nx".into(),
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 900\r\n\r\nabc".into(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n".into(),
        format!("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n{}", "x".repeat(70_000)),
    ];
    for text in garbled {
        let (garbling, told) = (std::sync::atomic::AtomicBool::new(true), text.clone());
        let a = Backend::start(move |m| {
            let first = m.start.contains("pay") && garbling.swap(false, std::sync::atomic::Ordering::SeqCst);
            if first {
                Reply::Say(told.clone())
            } else {
                ok("a")
            }
        });
        let b = Backend::start(|_| ok("b"));
        let (proxy, _discovery) = proxy_for(&[("a", &a), ("b", &b)]);
        warm_up(&proxy);
        until("a garbled answer", || ask(&proxy, &request("pay", 7000)).status() == 502);
        let before = a.requests().len();
        (0..20).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200));
        assert!(a.requests().len() > before, "shut out after {text:.60}");
        assert!(!proxy.log().contains("backend ejected"), "{}", proxy.log());
    }
}

#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    let backend = Backend::start(|_| ok("served"));
    let discovery = Discovery::start();
    let lines = [line("a", refusing_address(), "ready", 0), line("b", backend.address, "ready", 0)];
    let proxy = Proxy::start(&config(discovery.address, &lines));
    // The first that meets it may find no retry to spend yet; after that the module leaves it out.
    (0..10).for_each(|_| assert_ne!(ask(&proxy, &request("pay", 7000)).status(), 502));
    (0..10).for_each(|_| assert_eq!(ask(&proxy, &request("pay", 7000)).status(), 200));
}

/// A spoilt answer may be followed by a second one. Told apart from the next request's answer it can be only while
/// no request is out on that connection: the second answer is written as the next request comes, on whichever.
#[test]
fn a_late_second_answer_is_not_served_to_the_next_request() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let too_soon = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let soon = too_soon.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let soon = soon.clone();
            std::thread::spawn(move || {
                let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{body}");
                let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
                let mut answered: Option<Instant> = None;
                while read_message(&mut reader).is_some() {
                    // From here on a second answer to the last request would arrive as one to this.
                    let late = answered.is_some_and(|at| at.elapsed() < Duration::from_millis(4));
                    if late {
                        soon.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                    }
                    let _ = stream.write_all(answer(if late { "late" } else { "good" }).as_bytes());
                    answered = Some(Instant::now());
                }
            });
        }
    });
    let discovery = Discovery::start();
    let proxy = Proxy::start(&config(discovery.address, &[line("a", address, "ready", 0)]));
    for _ in 0..30 {
        assert_eq!(ask(&proxy, &request("pay", 7000)).body, b"good");
    }
    assert_eq!(too_soon.load(std::sync::atomic::Ordering::SeqCst), 0);
}
