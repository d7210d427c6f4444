//! Clients that disconnect, alone or many at once: no attempt of theirs begins afterwards, retries and the end of the
//! process included, and it shows at once, not when their time is up.

use crate::support::{
    ask, changed, config, line, ok, patient, proxy_for, request, until, Backend, Client, Discovery, Late,
    Proxy, Reply,
};
use serde_json::json;
use std::time::{Duration, Instant};

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

const LEAVERS: usize = 100;

/// So many clients, each with one request of which the log has told this.
fn waiting(proxy: &Proxy, class: &str, told: &str) -> Vec<Client> {
    let before = proxy.log().matches(told).count();
    let ask = |_| {
        let mut client = Client::open(proxy.address);
        client.send(&request(class, 60_000));
        client
    };
    let clients = (0..LEAVERS).map(ask).collect();
    until("all wait", || proxy.log().matches(told).count() >= before + LEAVERS);
    clients
}

/// All leave at one moment; the proxy knows soon. The rule's 0.1 s would be too narrow on a loaded machine.
fn leave(proxy: &Proxy, clients: Vec<Client>) {
    let before = proxy.log().matches("request ended outcome=client_disconnected ").count();
    let began = Instant::now();
    drop(clients);
    until("all are gone", || {
        proxy.log().matches("request ended outcome=client_disconnected ").count() >= before + LEAVERS
    });
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
}

#[test]
fn held_requests_of_clients_that_left_are_never_sent() {
    for stopping in [false, true] {
        let (backend, discovery) = (Backend::start(|_| ok("x")), Discovery::start());
        let config = config(discovery.address, &[line("a", backend.address, "draining", 0)]);
        let proxy = Proxy::spawn(&config);
        let clients = waiting(&proxy, "read", "request received ");
        // One stays: its request is sent once there is a backend for it.
        let mut stays = Client::open(proxy.address);
        stays.send(&request("read", 60_000));
        until("it waits", || proxy.log().matches("request received ").count() == LEAVERS + 1);
        if stopping {
            proxy.terminate();
        }
        leave(&proxy, clients);
        discovery.tell(false, &[line("a", backend.address, "ready", 0)]);
        assert_eq!(stays.answer().map(|a| a.status()), Some(200), "stopping: {stopping}");
        assert_eq!(backend.requests().len(), 1, "stopping: {stopping}");
    }
}

#[test]
fn further_attempts_of_clients_that_left_while_they_dial_are_never_written() {
    for (stopping, cancel) in [(false, true), (false, false), (true, true), (true, false)] {
        let full = || Reply::Say("HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".into());
        let busy = Backend::start(move |m| if m.start.contains("/pay/") { full() } else { ok("x") });
        let (late, discovery) = (Late::start(), Discovery::start());
        let config = patient(&discovery, &[line("a", busy.address, "ready", 0)]);
        let mut proxy = Proxy::start(&changed(&config, "/settings/limits/cancel", json!(cancel)));
        // A fifth of the requests may be sent again: enough of them come first.
        (0..2 * LEAVERS).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200));
        discovery.tell(false, &[line("b", late.address, "ready", 0)]);
        let mut clients = Vec::new();
        for _ in 0..LEAVERS {
            let mut client = Client::open(proxy.address);
            client.send(&request("pay", 60_000));
            clients.push(client);
        }
        let late_address = format!("address={}", late.address);
        let is_dispatch = |l: &&str| l.contains("attempt dispatched ") && l.contains(&late_address);
        until("all have come", || proxy.log().matches("request received ").count() == 3 * LEAVERS);
        until("many dial", || proxy.log().lines().filter(is_dispatch).count() >= 2);
        if stopping {
            proxy.terminate();
        }
        drop(clients);
        until("the end of all", || {
            proxy.log().matches("request ended outcome=client_disconnected ").count() + refused(&proxy)
                >= LEAVERS
        });
        let bytes = late.accept();
        if stopping {
            assert!(proxy.exit().success());
        } else {
            let lines = |text: &str| proxy.log().matches(text).count();
            until("the end of all attempts", || lines("attempt ended ") >= lines("attempt dispatched "));
        }
        assert_eq!(bytes(), 0, "stopping: {stopping}, cancel: {cancel}");
    }
}

/// Requests that had their final answer before their clients left.
fn refused(proxy: &Proxy) -> usize {
    let log = proxy.log();
    log.matches("request ended outcome=rejected ").count()
        + log.matches("request ended outcome=failed ").count()
}
