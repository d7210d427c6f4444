//! The built proxy over loopback sockets: what must hold whatever clients, backends and discovery do.

mod away;
mod clocks;
mod crowd;
mod leaving;
mod reload;
mod short_calls;
mod slow_clients;
mod soak;
mod support;
mod time_left;
mod unframed;
use crate::support::{
    ask, changed, config, line, ok, patient, proxy_for, read_message, refusing_address, request, until,
    warm_up, Backend, Client, Discovery, Late, Message, Proxy, Reply,
};
use serde_json::{json, Value};
use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};

#[test]
fn a_request_goes_on_unchanged_and_so_does_its_answer() {
    let backend = Backend::start(|_| ok("the answer"));
    let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let answer = ask(&proxy, &request("vote", 7000));
    assert_eq!((answer.status(), answer.body), (200, b"the answer".to_vec()));
    let [seen] = &backend.requests()[..] else { panic!("one attempt") };
    assert_eq!(seen.start, "POST /vote/a?b=c HTTP/1.1");
    assert_eq!(seen.header("x-correlation-id"), Some("9b1f03aa5c7e2d41"));
    assert_eq!(seen.header("idempotency-key"), Some("k1"));
    assert_eq!(seen.body, b"body");
    let left: u64 = seen.header("x-time-left-ms").unwrap().parse().unwrap();
    assert!(left < 7000, "the time left is the proxy's own: {left}");
}

/// The log of one request, by the id that its client gave it: as it came, each attempt, its end.
#[test]
fn a_request_can_be_followed_through_the_log_by_its_correlation_id() {
    let backend = Backend::start(|m| if m.start.contains("/pay/") { Reply::Silence } else { ok("x") });
    let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let as_client = |class: &str, left_ms: u64, id: &str| {
        let text = request(class, left_ms).replace("9b1f03aa5c7e2d41", id);
        ask(&proxy, &text).status()
    };
    let lines = |id: &str| -> Vec<String> {
        let field = format!(" correlation_id={id} ");
        proxy.log().lines().filter(|l| l.contains(&field)).map(str::to_string).collect()
    };
    let to = format!("address={}", backend.address);
    // Before the time-out, for which the module may leave the only backend out for a while.
    let mut leaver = Client::open(proxy.address);
    leaver.send(&request("pay", 7000).replace("9b1f03aa5c7e2d41", "33cc"));
    until("the attempt", || lines("33cc").len() == 2);
    drop(leaver);
    until("its end", || {
        lines("33cc").iter().any(|l| l.contains("request ended outcome=client_disconnected "))
    });
    // More than a quarter of the aim: with less the module may give up a class of which it knows no answer.
    let cases = [("read", 7000, 200, "11aa", "served"), ("pay", 2000, 502, "22bb", "failed")];
    for (class, left_ms, status, id, end) in cases {
        assert_eq!(as_client(class, left_ms, id), status, "{class}");
        let end = format!("request ended outcome={end} ");
        let parts = ["request received ", &to, "attempt ended attempt=0 ", &end];
        until("its last line", || lines(id).len() == parts.len());
        let told = lines(id);
        assert!(parts.iter().all(|part| told.iter().any(|line| line.contains(part))), "{class}: {told:?}");
    }
}

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

/// A backend that closed an idle connection has not seen the next request: it goes out on a new one.
#[test]
fn a_stale_pooled_connection_costs_no_attempt() {
    let closing = std::sync::atomic::AtomicBool::new(true);
    let backend = Backend::start(move |_| match closing.swap(false, std::sync::atomic::Ordering::SeqCst) {
        true => Reply::SayAndClose("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".into()),
        false => ok("x"),
    });
    let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
    assert_eq!(ask(&proxy, &request("pay", 7000)).status(), 200);
    until("the connection closed", || backend.closed() == 1);
    assert_eq!(ask(&proxy, &request("pay", 7000)).status(), 200);
    assert_eq!((backend.requests().len(), backend.opened()), (2, 2));
}

#[test]
fn connections_are_kept_and_carry_one_request_at_a_time() {
    let backend = Backend::start(|m| {
        if m.start.contains("slow") {
            std::thread::sleep(Duration::from_millis(500));
        }
        ok("x")
    });
    let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let mut both = [Client::open(proxy.address), Client::open(proxy.address)];
    both.iter_mut().for_each(|c| c.send(&request("read", 7000).replace("/a?", "/slow?")));
    both.iter_mut().for_each(|c| assert_eq!(c.answer().map(|a| a.status()), Some(200)));
    assert_eq!(backend.opened(), 2);
    (0..10).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200));
    assert_eq!((backend.opened(), backend.closed()), (2, 0));
    // Join days: what a hundred proxies kept for 45 s to backends they had ceased to use filled the tables.
    until("both are closed once they have been idle", || backend.closed() == 2);
}

#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let backend = Backend::start(|_| Reply::Silence);
    let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let mut client = Client::open(proxy.address);
    client.send(&request("pay", 60_000));
    until("the attempt", || backend.requests().len() == 1);
    drop(client);
    until("its connection closed", || backend.closed() == 1);
}

/// What a client has sent beyond its request hides from a server that has stopped reading that the client is gone.
/// Its request is neither held for a backend that comes up later nor worked on any longer.
#[test]
fn a_client_that_leaves_is_noticed_whatever_it_sent_before() {
    let (read, pay) = (request("read", 60_000), request("pay", 60_000));
    let sent_before = [String::new(), "GET /re".into(), read, "x".repeat(8 << 10), "x".repeat(1 << 20)];
    for beyond in &sent_before {
        let backend = Backend::start(|m| if m.start.contains("/pay/") { Reply::Silence } else { ok("x") });
        let (proxy, discovery) = proxy_for(&[("a", &backend)]);
        let leave = || {
            let mut client = Client::open(proxy.address);
            client.send(&format!("{pay}{beyond}"));
            client
        };
        let client = leave();
        until("the attempt", || backend.requests().len() == 1);
        drop(client);
        until("its connection closed", || backend.closed() == 1);
        discovery.tell(false, &[line("a", backend.address, "draining", 0)]);
        let leavers: Vec<Client> = (0..20).map(|_| leave()).collect();
        until("all are held", || proxy.log().matches("request received ").count() == 21);
        drop(leavers);
        until("all are gone", || {
            proxy.log().matches("request ended outcome=client_disconnected ").count() == 21
        });
        discovery.tell(false, &[line("a", backend.address, "ready", 0)]);
        assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
        assert_eq!(backend.requests().len(), 2, "after {} bytes more", beyond.len());
    }
}

/// The deadline ends attempts as timed out and the module answers; the safety net stays unused, also where
/// less time is left than a tick.
#[test]
fn a_deadline_brings_one_answer_from_the_module() {
    let backend = Backend::start(|_| Reply::Silence);
    let (proxy, _discovery) = proxy_for(&[("a", &backend)]);
    assert_eq!(ask(&proxy, &request("pay", 500)).status(), 502);
    until("the attempt's connection closed", || backend.closed() == 1);
    for left in (0..16).cycle().take(160) {
        let status = ask(&proxy, &request("read", left)).status();
        assert!(matches!(status, 502 | 503), "{status}");
    }
    assert!(!proxy.log().contains("request unanswered at its deadline"), "{}", proxy.log());
}

#[test]
fn a_refusal_is_given_at_once_and_says_when_to_come_back() {
    let (discovery, backend) = (Discovery::start(), Backend::start(|_| ok("x")));
    let proxy = Proxy::spawn(&config(discovery.address, &[line("a", backend.address, "draining", 0)]));
    until("an answer", || proxy.ready() == 503);
    // No backend takes requests: the module holds it for as long as an answer could still be in time.
    let answer = ask(&proxy, &request("read", 100));
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").unwrap().parse::<u32>().unwrap() > 0);
    assert!(backend.requests().is_empty());
}

#[test]
fn a_backend_that_drains_or_is_gone_gets_nothing_new() {
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let (proxy, discovery) = proxy_for(&[("a", &a), ("b", &b)]);
    until("both served", || {
        ask(&proxy, &request("read", 7000));
        !a.requests().is_empty() && !b.requests().is_empty()
    });
    discovery.tell(false, &[line("a", a.address, "draining", 0)]);
    until("the pool of a closed", || a.closed() == a.opened());
    let before = a.requests().len();
    (0..20).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).body, b"b"));
    discovery.tell(false, &[line("a", a.address, "ready", 0), line("b", b.address, "gone", 0)]);
    until("the pool of b closed", || b.closed() == b.opened());
    (0..20).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).body, b"a"));
    assert!(a.requests().len() >= before + 20);
    discovery.tell(true, &[line("b", b.address, "ready", 0)]);
    until("the pool of a closed again", || a.closed() == a.opened());
    (0..20).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).body, b"b"));
}

/// A backend may be told to drain while the connection to it comes up: not a byte goes there then.
#[test]
fn a_drain_is_seen_after_the_connect() {
    let (late, discovery) = (Late::start(), Discovery::start());
    let proxy = Proxy::start(&patient(&discovery, &[line("a", late.address, "ready", 0)]));
    let mut client = Client::open(proxy.address);
    client.send(&request("pay", 30_000));
    until("the attempt", || proxy.log().contains("attempt dispatched attempt=0 "));
    discovery.tell(false, &[line("a", late.address, "draining", 0)]);
    let bytes = late.accept();
    assert_eq!(client.answer().map(|a| a.status()), Some(503));
    assert_eq!(bytes(), 0);
}

/// Where attempts may not be called off, one that has not begun as its client leaves still must never be written;
/// nor may a copy that still dials as the first attempt brings the answer.
#[test]
fn an_attempt_not_yet_begun_is_not_written_once_its_client_has_left() {
    for cancel in [true, false] {
        let (late, discovery) = (Late::start(), Discovery::start());
        let config = patient(&discovery, &[line("a", late.address, "ready", 0)]);
        let proxy = Proxy::start(&changed(&config, "/settings/limits/cancel", json!(cancel)));
        let mut clients = Vec::new();
        for class in ["read", "vote", "pay"] {
            let mut client = Client::open(proxy.address);
            client.send(&request(class, 60_000));
            clients.push(client);
        }
        until("the attempts", || proxy.log().matches("attempt dispatched attempt=0 ").count() == 3);
        drop(clients);
        until("all are gone", || {
            proxy.log().matches("request ended outcome=client_disconnected ").count() == 3
        });
        let bytes = late.accept();
        until("the end of all", || proxy.log().matches("attempt ended attempt=0 ").count() == 3);
        assert_eq!(bytes(), 0, "cancel: {cancel}");
    }
}

/// Repeats of a guarded class are discarded for a time after the first was sent. A further attempt that still dials
/// when it is over would run a second time.
#[test]
fn a_repeat_that_dials_past_its_window_is_not_written() {
    let (late, discovery) = (Late::start(), Discovery::start());
    let failing = |m: &Message| match m.start.contains("/vote/") {
        true => Reply::Say("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n".into()),
        false => ok("x"),
    };
    let backend = Backend::start(failing);
    let lines = [line("a", backend.address, "ready", 0)];
    let proxy = Proxy::start(&patient(&discovery, &lines));
    warm_up(&proxy);
    discovery.tell(false, &[line("b", late.address, "ready", 0)]);
    let mut client = Client::open(proxy.address);
    client.send(&request("vote", 30_000));
    until("the further attempt", || proxy.log().contains(&format!("address={}", late.address)));
    std::thread::sleep(Duration::from_millis(1300)); // the settings' window and more
    let bytes = late.accept();
    assert_eq!(client.answer().map(|a| a.status()), Some(502));
    assert_eq!(bytes(), 0);
}

/// A backend is known by its name: after a restart its old connections and its old address are not used.
#[test]
fn a_restarted_backend_gets_new_connections() {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let (proxy, discovery) = proxy_for(&[("a", &old)]);
    assert_eq!(ask(&proxy, &request("read", 7000)).body, b"old");
    discovery.tell(false, &[line("a", old.address, "ready", 1_700_000_000_000)]);
    until("the old connection closed", || old.closed() == 1);
    assert_eq!(ask(&proxy, &request("read", 7000)).body, b"old");
    assert_eq!(old.opened(), 2);
    discovery.tell(false, &[line("a", new.address, "ready", 1_700_000_000_000)]);
    until("its connection closed", || old.closed() == 2);
    assert_eq!(ask(&proxy, &request("read", 7000)).body, b"new");
}

/// Whatever else discovery does, the list held stays in force, nobody is dialled for a line of a bad one, and
/// the proxy goes on asking until a good one comes. Both where lists are pushed and where they are asked for.
#[test]
fn a_list_that_fails_to_come_is_refused_whole_and_the_old_one_stays() {
    for mode in ["automatic", "subscribe"] {
        let (backend, stranger) = (Backend::start(|_| ok("x")), Backend::start(|_| ok("stranger")));
        let discovery = Discovery::start();
        let mut config = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
        config["settings"]["discovery"] = json!(mode);
        let proxy = Proxy::start(&config);
        let good = line("b", stranger.address, "ready", 0);
        let with = |bad: Value| json!({"index": 9, "snapshot": true, "endpoints": [good, bad]}).to_string();
        let body = |text: &str| format!("Content-Length: {}\r\n\r\n{text}", text.len());
        let replies = [
            ok(&with(json!({"name": "c"}))),
            ok(&with(line("c", stranger.address, "resting", 0))),
            ok("[]"),
            ok("no json"),
            ok(r#"{"index":1,"snapshot":true}"#),
            ok(r#"{"index":-1,"snapshot":true,"endpoints":[]}"#),
            Reply::Say(format!("HTTP/1.1 503 x\r\n{}", body("busy"))),
            Reply::Say(format!("HTTP/1.1 302 x\r\nLocation: http://{}/\r\n{}", stranger.address, body(""))),
            Reply::SayAndClose("HTTP/1.1 2x0 OK\r\n\r\n".into()),
            Reply::SayAndClose("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"index\":9".into()),
            Reply::SayAndClose(String::new()),
        ];
        for (n, reply) in replies.into_iter().enumerate() {
            discovery.act(reply);
            assert_eq!(ask(&proxy, &request("read", 7000)).body, b"x", "{mode}, after reply {n}");
        }
        discovery.tell(true, &[line("a", backend.address, "draining", 0)]);
        until("the good list after them", || proxy.ready() == 503);
        assert_eq!(stranger.opened(), 0);
    }
}

/// An agent that takes calls and never answers: the proxy serves from what it knew, and asks anew.
/// Lists may come indented, in chunks, with header names in any case and an end of their connection after them.
#[test]
fn a_list_is_taken_in_every_form_that_http_gives_it() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let away = line("a", refusing_address(), "draining", 0);
    let list = |index: u64| {
        let lines = [line("b", backend.address, "ready", 0)];
        serde_json::to_string_pretty(&json!({"index": index, "snapshot": true, "endpoints": lines})).unwrap()
    };
    let forms: [fn(String) -> Reply; 4] = [
        |text| ok(&text),
        |text| Reply::Say(format!("HTTP/1.1 200 OK\r\ncOnTeNt-LeNgTh:{}\r\n\r\n{text}", text.len())),
        |text| Reply::SayAndClose(format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{text}")),
        |text| {
            let (one, two) = text.split_at(7);
            let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            Reply::Say(format!("{head}{}{}0\r\n\r\n", chunk(one), chunk(two)))
        },
    ];
    let proxy = Proxy::spawn(&config(discovery.address, &[away]));
    for (n, form) in forms.into_iter().enumerate() {
        discovery.act(form(list(10 * n as u64 + 1)));
        assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200, "form {n}: {}", proxy.log());
        let drained = json!({"index": 10 * n + 2, "snapshot": false,
            "endpoints": [line("b", backend.address, "draining", 0)]});
        discovery.say(&drained.to_string());
        assert_eq!(proxy.ready(), 503, "form {n}");
    }
}

#[test]
fn a_silent_agent_does_not_wedge_the_watch() {
    let backend = Backend::start(|_| ok("x"));
    let (proxy, discovery) = proxy_for(&[("a", &backend)]);
    until("a second call after the first was given up", || discovery.calls() >= 2);
    assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
    assert_eq!(proxy.ready(), 200);
}

/// What the agent of a pushed list gets while a call hangs counts as told when it gets it: a call that was lost with
/// the agent, whole list or watch, must not keep the proxy from hearing of a drain for longer than the rules allow.
#[test]
fn a_call_lost_by_the_agent_of_a_pushed_list_is_made_again_in_time() {
    let backend = Backend::start(|_| ok("x"));
    let (_proxy, discovery) = proxy_for(&[("a", &backend)]);
    until("the watch", || discovery.calls() > 0);
    for reply in [Reply::Silence, Reply::SayAndClose(String::new()), Reply::Silence, Reply::Silence] {
        let began = Instant::now();
        discovery.act(reply);
        // The settings' second, and room for a loaded machine; it was 3.5 s and 5.5 s.
        assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    }
}

/// Where the list must be asked for, the watch begins when the module asks, again after each failure.
#[test]
fn a_subscription_is_asked_for_by_the_module() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[line("a", refusing_address(), "draining", 0)]);
    config["settings"]["discovery"] = json!("subscribe");
    let proxy = Proxy::spawn(&config);
    discovery.say("no list");
    assert_eq!(proxy.ready(), 503);
    discovery.tell(true, &[line("a", backend.address, "ready", 0)]);
    until("ready", || proxy.ready() == 200);
    assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
}

/// A watch that fell silent is missed once its wait is over. All proxies of a fleet begin theirs at one moment, when
/// they start or when news comes; each call costs the service some tenths of a second, and the last in the queue
/// hears of a drain too late where all waits end together.
#[test]
fn the_proxies_of_a_fleet_do_not_all_wait_equally_long_for_news() {
    const PROXIES: u64 = 4;
    let waits: Vec<u64> = (0..PROXIES)
        .map(|position| {
            let discovery = Discovery::start();
            let mut config = config(discovery.address, &[line("a", refusing_address(), "ready", 0)]);
            config["settings"]["discovery"] = json!("subscribe");
            config["settings"]["group_size"] = json!(PROXIES);
            config["settings"]["position"] = json!(position);
            let _proxy = Proxy::spawn(&config);
            until("its watch", || discovery.calls() == 1);
            let call = discovery.asked().remove(0);
            let wait = call.split_once("wait_ms=").expect("a watch").1;
            wait.split(' ').next().unwrap().parse().expect("milliseconds")
        })
        .collect();
    // With the time for an answer none is longer than what leaves a second of the 6 s for the next call.
    assert!(waits.iter().all(|w| (1_500..=3_500).contains(w)), "{waits:?}");
    let apart = waits.windows(2).all(|w| w[0].abs_diff(w[1]) >= 400);
    assert!(apart, "{waits:?}");
}

/// Weeks of releases: tens of thousands of backends come and go, each release of machines never seen before.
#[test]
fn memory_stays_flat_while_backends_and_kinds_come_and_go() {
    const RELEASES: usize = 1500;
    let backend = Backend::start(|_| ok("x"));
    let (proxy, discovery) = proxy_for(&[("a", &backend)]);
    let mut early = 0;
    for release in 0..RELEASES {
        let mut lines = vec![line("a", backend.address, "ready", 0)];
        for n in 0..30 {
            let mut new = line(&format!("s-{release}-{n}"), refusing_address(), "ready", 1);
            new["type"] = json!(format!("m-{release}-{n}"));
            lines.push(new);
        }
        discovery.tell(true, &lines);
        if release % 10 == 0 {
            discovery.tell(true, &lines[..1]);
            assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
        }
        if release == RELEASES / 3 {
            early = proxy.memory_kib();
        }
    }
    let late = proxy.memory_kib();
    assert!(late < early + 4096, "{early} KiB after a third, {late} KiB at the end");
}

/// SIGHUP moves the watch to another discovery, which need not know the versions of the first; a file that
/// cannot be used is logged and changes nothing. Both where lists are pushed and where they are asked for.
#[test]
fn sighup_moves_discovery_and_a_bad_file_changes_nothing() {
    for mode in ["automatic", "subscribe"] {
        let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
        let (old, new) = (Discovery::start(), Discovery::start());
        let mut config = config(old.address, &[line("a", a.address, "ready", 0)]);
        config["settings"]["discovery"] = json!(mode);
        let proxy = Proxy::start(&config);
        until("the watch", || old.calls() > 0);
        let with = |pointer: &str, value: Value| changed(&config, pointer, value).to_string();
        let bad_files = [
            String::new(),
            "no json".into(),
            json!({"discovery": new.address.to_string()}).to_string(),
            with("/discovery", json!("nowhere")),
            with("/limits/sockets", json!(3)),
            with("/settings/profiles/0/aim_us", json!(9_000_000)),
            with("/settings/my_zone", json!("north")),
        ];
        for bad in bad_files {
            let before = proxy.log().matches("SIGHUP").count();
            proxy.reload(&bad);
            until("a line about the bad file", || proxy.log().matches("SIGHUP").count() > before);
            assert_eq!(ask(&proxy, &request("read", 7000)).body, b"a", "{mode}");
            assert_eq!(new.calls(), 0, "{mode}: moved by {bad}");
        }
        config["discovery"] = json!(new.address.to_string());
        proxy.reload(&config.to_string());
        until("a call at the new address", || new.calls() > 0);
        let before = old.calls();
        assert_eq!(
            ask(&proxy, &request("read", 7000)).body,
            b"a",
            "the old list holds until there is a new one"
        );
        new.tell(true, &[line("b", b.address, "ready", 0)]);
        until("the new list", || ask(&proxy, &request("read", 7000)).body == b"b");
        assert_eq!(old.calls(), before, "{mode}: the old address is left alone");
    }
}

/// A reload while discovery is silent. What it has to tell counts as told 4 s after the signal: a proxy of a large
/// fleet does not wait its turn then, as it does where discovery refuses calls.
#[test]
fn a_silent_discovery_is_asked_again_at_once_for_the_whole_list() {
    let backend = Backend::start(|_| ok("x"));
    let (old, new) = (Discovery::start(), Discovery::start());
    let mut config = config(old.address, &[line("a", backend.address, "ready", 0)]);
    config["settings"]["discovery"] = json!("subscribe");
    config["settings"]["group_size"] = json!(300);
    let proxy = Proxy::start(&config);
    config["discovery"] = json!(new.address.to_string());
    proxy.reload(&config.to_string());
    until("a call at the new address", || new.calls() == 1);
    let began = Instant::now();
    until("a second one", || new.calls() == 2);
    // A second later nothing more may go to a backend that drains.
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    assert!(!proxy.log().contains("subscription lost"), "{}", proxy.log());
    assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200, "the list held stays in force");
}

#[test]
fn with_its_sockets_taken_a_new_client_still_gets_in() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start(&config);
    // Some never ask; they are not in the way of closing those that have.
    let _silent: Vec<Client> = (0..4).map(|_| Client::open(proxy.address)).collect();
    let mut idle: Vec<Client> = Vec::new();
    for _ in 0..60 {
        let mut client = Client::open(proxy.address);
        client.send(&request("read", 7000));
        assert_eq!(client.answer().map(|a| a.status()), Some(200));
        idle.push(client);
    }
    assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
}

/// All places for connections to backends are taken by idle ones: each of several requests that come at once, for
/// backends with none, has one of those give way, and waits for nothing.
#[test]
fn with_its_sockets_taken_by_idle_connections_requests_that_come_at_once_find_places() {
    let backends: Vec<Backend> = (0..30).map(|_| Backend::start(|_| ok("x"))).collect();
    let name = |n: usize| format!("s{n}");
    let lines: Vec<Value> =
        backends.iter().enumerate().map(|(n, b)| line(&name(n), b.address, "ready", 0)).collect();
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &lines);
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start(&config);
    for round in 0..3 {
        (0..60).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200));
        let mut clients: Vec<Client> = (0..8).map(|_| Client::open(proxy.address)).collect();
        let began = Instant::now();
        clients.iter_mut().for_each(|c| c.send(&request("pay", 7000)));
        clients.iter_mut().for_each(|c| assert_eq!(c.answer().map(|a| a.status()), Some(200)));
        // The time for a connection is two seconds here.
        assert!(began.elapsed() < Duration::from_secs(1), "{:?} in round {round}", began.elapsed());
    }
}

/// Peers that never send a whole request give their descriptors back long before they would by themselves.
#[test]
fn silent_and_stalling_peers_are_let_go_and_keep_nobody_out() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start(&config);
    let pay = request("pay", 3_600_000);
    let began = Instant::now();
    let starts = ["", "GET /read", &pay[..pay.len() - 2]];
    let open = |start: &&str| {
        let mut peer = Client::open(proxy.address);
        peer.send(start);
        peer
    };
    // More of them than there is room for.
    let mut peers: Vec<Client> = starts.iter().cycle().take(60).map(open).collect();
    assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
    for peer in &mut peers {
        let answer = peer.answer();
        assert!(answer.as_ref().is_none_or(|a| a.status() == 408), "{answer:?}");
    }
    // In turns of three seconds; half a minute is what one turn took before.
    assert!(began.elapsed() < Duration::from_secs(25), "{:?}", began.elapsed());
    assert_eq!(backend.requests().len(), 1);
}

/// Out of descriptors the proxy lives on, and serves again once it has some.
#[test]
fn the_proxy_outlives_a_want_of_descriptors() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let config = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    let proxy = Proxy::spawn_with(&config, "40");
    until("ready", || proxy.ready() == 200);
    let clients: Vec<Client> = (0..60).map(|_| Client::open(proxy.address)).collect();
    until("a failed accept", || proxy.log().contains("accept failed "));
    drop(clients);
    (0..5).for_each(|_| assert_eq!(ask(&proxy, &request("read", 20_000)).status(), 200));
}

#[test]
fn sigterm_finishes_what_was_taken_and_ends_well() {
    let backend = Backend::start(|m| {
        if m.start.contains("slow") {
            std::thread::sleep(Duration::from_millis(1500));
        }
        ok("x")
    });
    let (mut proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let mut idle = Client::open(proxy.address);
    idle.send(&request("read", 7000));
    assert_eq!(idle.answer().map(|a| a.status()), Some(200));
    let mut slow = Client::open(proxy.address);
    slow.send(&request("read", 7000).replace("/a?", "/slow?"));
    until("the slow request", || backend.requests().len() == 2);
    proxy.terminate();
    until("not ready", || proxy.ready() != 200);
    let answer = slow.answer().expect("an answer to what was taken");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(idle.ends());
    assert!(proxy.exit().success());
}

/// SIGKILL comes 3.7 s after SIGTERM even where clients wait longer, and finds nothing unanswered: neither what is
/// out on a backend that hangs, nor what is held, nor what comes while the proxy ends. Neither a second SIGTERM nor a
/// SIGHUP changes that, nor a discovery that never spoke.
#[test]
fn sigterm_brings_every_answer_before_the_kill() {
    let backend = Backend::start(|_| Reply::Silence);
    let discovery = Discovery::start();
    let hung = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    let without_list = config(discovery.address, &[]);
    for (config, statuses) in [(hung, [502, 502, 503]), (without_list, [503, 503, 503])] {
        let mut proxy = Proxy::spawn(&config);
        let mut clients: Vec<Client> = (0..3).map(|_| Client::open(proxy.address)).collect();
        clients[0].send(&request("pay", 60_000));
        clients[1].send(&request("vote", 60_000));
        until("both came", || proxy.log().matches("request received ").count() == 2);
        let began = Instant::now();
        proxy.terminate();
        until("not ready", || proxy.ready() != 200);
        clients[2].send(&request("read", 60_000));
        proxy.terminate();
        let before = proxy.log().matches("SIGHUP").count();
        proxy.reload(&config.to_string());
        until("a line about the reload", || proxy.log().matches("SIGHUP").count() > before);
        for (client, status) in clients.iter_mut().zip(statuses) {
            assert_eq!(client.answer().map(|a| a.status()), Some(status));
        }
        assert!(proxy.exit().success());
        assert!(began.elapsed() < Duration::from_secs(6), "{:?}", began.elapsed()); // no deadline is so early
        assert!(!proxy.log().contains("ERROR"), "{}", proxy.log());
    }
}

/// The signal comes while the process is held up, and it is held up again as the time is over: SIGKILL does not wait
/// for that.
#[test]
fn a_process_that_is_held_up_brings_every_answer_before_the_kill_too() {
    const HELD_UP: Duration = Duration::from_millis(150);
    let backend = Backend::start(|_| Reply::Silence);
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    let longest = Duration::from_millis(1000);
    for profile in config["settings"]["profiles"].as_array_mut().unwrap() {
        profile["deadline_us"] = json!(longest.as_micros() as u64);
        profile["aim_us"] = json!(500_000);
    }
    let kill = longest + Duration::from_millis(700);
    // The second hold-up begins at several moments before the kill.
    for before_kill in [290, 270, 250, 230, 210, 190, 170] {
        let proxy = Proxy::start(&config);
        let mut client = Client::open(proxy.address);
        client.send(&request("pay", 60_000));
        until("it came", || proxy.log().matches("request received ").count() == 1);
        let mut began = Instant::now();
        let first = proxy.hold_up(HELD_UP, || {
            began = Instant::now();
            proxy.terminate();
        });
        std::thread::sleep((kill - Duration::from_millis(before_kill)).saturating_sub(began.elapsed()));
        let second = proxy.hold_up(HELD_UP, || {});
        client.wait_for_at_most(Duration::from_secs(2));
        let status = client.answer().map(|a| a.status());
        // A loaded machine held it up for longer than the rule has it: by so much the kill would be early.
        let beyond = first.saturating_sub(HELD_UP) + second.saturating_sub(HELD_UP);
        assert!(
            status == Some(502) && began.elapsed() < kill + beyond,
            "{status:?} after {:?}",
            began.elapsed()
        );
    }
}

/// Half a request that has come when the idle connections are closed is no idle connection's: the rest is waited for.
#[test]
fn sigterm_waits_for_the_rest_of_a_request_that_has_begun() {
    let backend = Backend::start(|_| ok("x"));
    let (mut proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let pay = request("pay", 7000);
    for cut in [5, pay.len() - 2] {
        let mut client = Client::open(proxy.address);
        client.send(&request("read", 7000));
        assert_eq!(client.answer().map(|a| a.status()), Some(200));
        client.send(&pay[..cut]);
        std::thread::sleep(Duration::from_millis(50)); // as a rule it has been read by then
        proxy.terminate();
        until("the listener closed", || proxy.ready() == 0);
        client.send(&pay[cut..]);
        let answer = client.answer().expect("an answer");
        let body_late = cut > 5 && answer.status() == 408; // the body has less time than a loaded machine may take
        assert!(answer.status() == 200 || body_late, "{answer:?}");
        assert!(proxy.exit().success());
        proxy = proxy_for(&[("a", &backend)]).0;
    }
}

/// A connection that was accepted may have its first request on the way when the listener closes.
#[test]
fn sigterm_waits_for_the_first_request_of_a_connection() {
    let backend = Backend::start(|_| ok("x"));
    let (mut proxy, _discovery) = proxy_for(&[("a", &backend)]);
    let mut fresh = Client::open(proxy.address);
    proxy.terminate();
    until("the listener closed", || proxy.ready() == 0);
    fresh.send(&request("read", 7000));
    assert_eq!(fresh.answer().map(|a| a.status()), Some(200));
    assert!(proxy.exit().success());
}

/// Settings of another customer: what a site may lack, set to nothing or at its limit, is served like any other.
#[test]
fn settings_at_their_limits_start_and_serve() {
    let cases = [
        ("/settings/customers", json!(null)),
        ("/settings/over_share_worth", json!(null)),
        ("/settings/profiles/0/late_worth", json!(null)),
        ("/settings/profiles/0/aim_us", json!(8_000_000)), // as long as the deadline
        ("/settings/profiles/1/window_us", json!(0)),
        ("/settings/profiles/1/window_us", json!(u64::MAX)),
        ("/settings/costs/cross_zone", json!(null)),
        ("/settings/limits/conn_idle_us", json!(0)),
        ("/settings/limits/max_attempts", json!(1)),
        ("/settings/limits/parallel_tries", json!(false)),
        ("/settings/rules/ramp_time_us", json!(0)),
        ("/settings/rules/tip_after_us", json!(0)),
        ("/settings/rules/stop_sending_within_us", json!(0)),
        ("/settings/rules/stop_sending_within_us", json!(u64::MAX)),
        ("/limits/sockets", json!(u32::MAX)),
    ];
    let (discovery, backend) = (Discovery::start(), Backend::start(|_| ok("x")));
    let good = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    for (pointer, value) in cases {
        let proxy = Proxy::start(&changed(&good, pointer, value.clone()));
        for class in ["read", "vote", "pay"] {
            let status = ask(&proxy, &request(class, 7000)).status();
            assert_eq!(status, 200, "{class} with {pointer} {value}: {}", proxy.log());
        }
    }
}

#[test]
fn a_bad_configuration_is_one_line_that_names_the_key() {
    let good = config(refusing_address(), &[]);
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let bad = |pointer: &str, value: Value| changed(&good, pointer, value);
    let cases = [
        (bad("/listen", json!("nowhere")), "listen: expected an IP address and a port"),
        (bad("/discovery", json!(5)), "discovery: expected text"),
        (bad("/seed", json!("xyz")), "seed: expected up to 16 hex digits"),
        (bad("/limits/sockets", json!(3)), "limits.sockets: expected at least 64"),
        (bad("/known/endpoints", json!([{}])), "known.endpoints[0].status: missing"),
        (bad("/settings/granularity_us", json!(0)), "settings.granularity_us: expected a time above 0"),
        (bad("/settings/limits/max_attempts", json!(0)), "settings.limits.max_attempts: expected at least 1"),
        (bad("/settings/profiles", json!([])), "settings.profiles: expected at least one class"),
        (bad("/settings/profiles/0/gain", json!(0)), "settings.profiles[].gain: expected a finite number"),
        (bad("/settings/profiles/1/window_us", json!(null)), "profiles[1].window_us: expected whole micro"),
        (bad("/settings/customers", json!([{"name": "a"}])), "settings.customers[0].quota_rps: missing"),
        (bad("/settings/granularity_us", json!(-1)), "settings.granularity_us: expected whole microseconds"),
        (bad("/settings/limits/dial_timeout_us", json!(null)), "settings.limits.dial_timeout_us"),
        (bad("/settings/group_size", json!(0)), "settings.group_size: expected at least 1"),
        (bad("/settings/position", json!(1)), "settings.position: expected less than proxies"),
        (bad("/settings/my_zone", json!("north")), "settings.my_zone: expected one of zones"),
        (bad("/settings/profiles/0/aim_us", json!(9_000_000)), "aim_us: expected no more than deadline_us"),
        (bad("/settings/profiles/1/name", json!("read")), "the name stands twice"),
        (bad("/settings/profiles/2/effect", json!("none")), "expected free, guarded or single_shot"),
        (bad("/settings/discovery", json!("never")), "settings.discovery: expected automatic or subscribe"),
        (bad("/listen", json!(taken.local_addr().unwrap().to_string())), "listen: expected a free address"),
    ];
    for (config, message) in cases {
        let mut proxy = Proxy::launch(&config, "unlimited");
        assert!(!proxy.exit().success());
        until("its message", || proxy.log().contains(message));
        assert_eq!(proxy.log().lines().count(), 1, "{}", proxy.log());
    }
}
