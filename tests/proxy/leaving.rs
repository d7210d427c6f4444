//! Clients that leave, many at once: no attempt of theirs begins afterwards, further ones included, and none during the
//! end of the process. Their leaving shows at once, not when their time is up.

use crate::support::{
    ask, changed, config, line, ok, patient, request, until, Backend, Client, Discovery, Late, Proxy, Reply,
};
use serde_json::json;
use std::time::{Duration, Instant};

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
