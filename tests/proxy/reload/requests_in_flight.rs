//! Requests that are in flight or partially received during a reload.

use super::{class, reload, request_of_class, start_reloadable_proxy, ReloadableProxy};
use crate::support::{ok_response, request, send_request, wait_until, Backend, Client, Reply};
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A backend that serves `read` requests, and closes the connection of the first other request once
/// `may_close` is set.
struct ClosingBackend {
    backend: Backend,
    may_close: Arc<AtomicBool>,
}

fn start_closing_backend() -> ClosingBackend {
    let (may_close, has_closed) = (Arc::new(AtomicBool::new(false)), AtomicBool::new(false));
    let close_allowed = may_close.clone();
    let backend = Backend::start(move |message| {
        if message.start_line.contains("/read/") || has_closed.load(Ordering::SeqCst) {
            return ok_response("x");
        }
        wait_until("permission to close the connection", || close_allowed.load(Ordering::SeqCst));
        has_closed.store(true, Ordering::SeqCst);
        Reply::SendAndClose(String::new())
    });
    ClosingBackend { backend, may_close }
}

/// The status of a response and the number of attempts of its request.
#[derive(Debug, PartialEq)]
struct Outcome {
    status: u16,
    attempts: usize,
}

/// Sends a request of a class that a reload changes, or removes if `new_effect` is `None`, before the
/// connection of the attempt closes. The second backend serves the request if it is retried.
fn outcome_after_reload(effect: &str, new_effect: Option<&str>) -> Outcome {
    let closing_backends = [start_closing_backend(), start_closing_backend()];
    let backends: Vec<&Backend> = closing_backends.iter().map(|closing| &closing.backend).collect();
    let ReloadableProxy { proxy, mut config, .. } = start_reloadable_proxy(&backends);
    for _ in 0..10 {
        assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
    }
    config["settings"]["profiles"][2] = class("odd", effect);
    reload(&proxy, &config);
    let attempts = || {
        let requests = backends.iter().flat_map(|backend| backend.requests());
        requests.filter(|message| message.start_line.contains("/odd/")).count()
    };
    let mut client = Client::open(proxy.address);
    client.send(&request_of_class("odd", if effect == "free" { "GET" } else { "POST" }));
    wait_until("the attempt to reach a backend", || attempts() == 1);
    let others = vec![class("read", "free"), class("vote", "guarded")];
    let odd = new_effect.map(|effect| class("odd", effect));
    config["settings"]["profiles"] = odd.into_iter().chain(others).collect();
    reload(&proxy, &config);
    for closing in &closing_backends {
        closing.may_close.store(true, Ordering::SeqCst);
    }
    let status = client.read_response().expect("a response").status();
    Outcome { status, attempts: attempts() }
}

/// Guards against retry decisions by the new idempotency of a class for requests that were received under the
/// old one.
#[test]
fn a_request_in_flight_keeps_the_idempotency_of_its_class() {
    assert_eq!(outcome_after_reload("single_shot", Some("free")), Outcome { status: 502, attempts: 1 });
    assert_eq!(outcome_after_reload("single_shot", None), Outcome { status: 502, attempts: 1 });
    assert_eq!(outcome_after_reload("free", None).attempts, 2, "not retried");
    assert_eq!(outcome_after_reload("free", Some("single_shot")).attempts, 2, "not retried");
}

/// Guards against a request that is handled under classes that were replaced before its body arrived.
#[test]
fn a_request_completed_after_a_reload_uses_the_new_classes() {
    let backend = Backend::start(|_| ok_response("x"));
    let ReloadableProxy { proxy, mut config, .. } = start_reloadable_proxy(&[&backend]);
    let pay = request("pay", 7000);
    for (profiles, status) in [
        (json!([class("read", "free"), class("pay", "single_shot")]), 200),
        (json!([class("pay", "free"), class("read", "free")]), 400),
        (json!([class("read", "free")]), 400),
    ] {
        config["settings"]["profiles"] =
            json!([class("read", "free"), class("x", "free"), class("pay", "single_shot")]);
        reload(&proxy, &config);
        let mut client = Client::open(proxy.address);
        client.send(&pay[..pay.len() - 2]);
        config["settings"]["profiles"] = profiles;
        reload(&proxy, &config);
        client.send(&pay[pay.len() - 2..]);
        let received_status = client.read_response().expect("a response").status();
        // On a loaded machine the body may miss its deadline.
        assert!(
            received_status == status || received_status == 408,
            "expected {status}, got {received_status}"
        );
        client.stop_sending();
        assert!(client.receives_no_more_data(), "more than one response");
    }
}
