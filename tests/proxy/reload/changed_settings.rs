//! Settings that a reload applies, and settings that need a restart.

use super::{class, reload, reload_log, request_of_class, start_reloadable_proxy, ReloadableProxy};
use crate::support::{ok_response, request, send_request, wait_until, with_value, Backend, Client, Reply};
use serde_json::json;
use std::time::{Duration, Instant};

/// Guards against removed classes and tenants that remain after a reload, and added ones that are missing.
#[test]
fn a_reload_adds_and_removes_classes_and_tenants() {
    let backend = Backend::start(|_| ok_response("x"));
    let ReloadableProxy { proxy, mut config, .. } = start_reloadable_proxy(&[&backend]);
    let status = |text: &str| send_request(&proxy, text).status();
    assert_eq!((status(&request_of_class("new", "GET")), status(&request("pay", 7000))), (400, 200));
    config["settings"]["profiles"] = json!([class("new", "free"), class("read", "single_shot")]);
    reload(&proxy, &config);
    assert_eq!((status(&request_of_class("new", "GET")), status(&request("pay", 7000))), (200, 400));
    // The class `read` remains, with another index and another idempotency that determines the allowed
    // method.
    assert_eq!((status(&request("read", 7000)), status(&request_of_class("read", "POST"))), (400, 200));
    let request_of_tenant = |tenant: &str| {
        request_of_class("new", "GET").replace("X-Time", &format!("X-Account: {tenant}\r\nX-Time"))
    };
    config["settings"]["customers"] = json!([{"name": "acme", "quota_rps": 50.0}]);
    reload(&proxy, &config);
    assert_eq!((status(&request_of_tenant("acme")), status(&request_of_tenant("other"))), (200, 400));
    config["settings"]["customers"] =
        json!([{"name": "other", "quota_rps": 50.0}, {"name": "other", "quota_rps": 1.0}]);
    reload(&proxy, &config);
    assert_eq!((status(&request_of_tenant("acme")), status(&request_of_tenant("other"))), (400, 200));
}

/// Guards against limits that keep their initial values after a reload.
#[test]
fn changed_limits_take_effect() {
    let backend = Backend::start(|message| {
        if message.start_line.contains("/pay/") {
            Reply::NoResponse
        } else {
            ok_response("x")
        }
    });
    let ReloadableProxy { proxy, mut config, .. } = start_reloadable_proxy(&[&backend]);
    let mut waiting = Client::open(proxy.address);
    waiting.send(&request("pay", 60_000));
    wait_until("the attempt to reach the backend", || backend.requests().len() == 1);
    assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
    config["settings"]["limits"]["open_cap"] = json!(1);
    reload(&proxy, &config);
    assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 503);
    config["settings"]["limits"]["open_cap"] = json!(20_000);
    // Idle connections are now closed immediately, so each of these requests uses a new connection.
    config["settings"]["limits"]["conn_idle_us"] = json!(0);
    reload(&proxy, &config);
    let before = backend.opened_connections();
    for _ in 0..5 {
        assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
    }
    assert_eq!(backend.opened_connections(), before + 5);
    wait_until("all connections but that of the request in flight to close", || {
        backend.closed_connections() == backend.opened_connections() - 1
    });
}

/// Guards against a proxy that keeps its subset after the proxy count or its index has changed.
#[test]
fn changed_proxy_count_and_index_take_effect() {
    let backends: Vec<Backend> = (0..30).map(|_| Backend::start(|_| ok_response("x"))).collect();
    let ReloadableProxy { proxy, mut config, .. } =
        start_reloadable_proxy(&backends.iter().collect::<Vec<_>>());
    let mut request_counts = vec![0; backends.len()];
    let mut used_backends = || -> Vec<usize> {
        for _ in 0..60 {
            assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
        }
        let new: Vec<usize> = backends.iter().map(|backend| backend.requests().len()).collect();
        let old = std::mem::replace(&mut request_counts, new);
        (0..backends.len()).filter(|number| request_counts[*number] > old[*number]).collect()
    };
    assert!(used_backends().len() > 10);
    (config["settings"]["group_size"], config["settings"]["position"]) = (json!(100), json!(7));
    reload(&proxy, &config);
    let subset_at_7 = used_backends();
    assert!(subset_at_7.len() <= 8, "the subset is too large: {subset_at_7:?}");
    config["settings"]["position"] = json!(8);
    reload(&proxy, &config);
    let subset_at_8 = used_backends();
    assert!(
        subset_at_8.iter().all(|backend| !subset_at_7.contains(backend)),
        "the subsets overlap: {subset_at_7:?}, {subset_at_8:?}"
    );
}

/// Guards against calls for a pushed list that keep the wait of the old settings.
#[test]
fn a_changed_drain_notice_limit_takes_effect() {
    let backend = Backend::start(|_| ok_response("x"));
    let ReloadableProxy { proxy, discovery, mut config } = start_reloadable_proxy(&[&backend]);
    config["settings"]["rules"]["stop_sending_within_us"] = json!(3_000_000);
    reload(&proxy, &config);
    let has_called_with = |wait: &str| discovery.request_lines().iter().any(|call| call.contains(wait));
    wait_until("a call that waits for half the drain notice limit", || has_called_with("wait_ms=1500"));
    assert!(!has_called_with("wait_ms=200"));
    config["settings"]["rules"]["stop_sending_within_us"] = json!(400_000);
    reload(&proxy, &config);
    let began = Instant::now();
    wait_until("a call that waits for half the drain notice limit", || has_called_with("wait_ms=200"));
    assert!(began.elapsed() < Duration::from_secs(3), "the new wait was used after {:?}", began.elapsed());
}

/// Guards against a change of a restart-only key that takes effect at once, or is ignored without a log
/// event.
#[test]
fn restart_only_keys_keep_their_values_and_are_logged() {
    let backend = Backend::start(|_| ok_response("x"));
    let ReloadableProxy { proxy, config, .. } = start_reloadable_proxy(&[&backend]);
    let cases = [
        ("/listen", json!("127.0.0.1:1"), "key needs a restart key=listen value=127.0.0.1:0"),
        ("/seed", json!("5"), "key needs a restart key=seed value=8c1f30d27a5be964"),
        ("/limits/sockets", json!(512), "key needs a restart key=limits.sockets value=1024"),
        ("/limits/memory_mb", json!(64), "key needs a restart key=limits.memory_mb value=192"),
        (
            "/settings/discovery",
            json!("subscribe"),
            "key needs a restart key=settings.discovery value=automatic",
        ),
    ];
    for (pointer, value, message) in cases {
        let before = reload_log(&proxy).len();
        reload(&proxy, &with_value(&config, pointer, value));
        // One line each for the key, the discovery address and the configuration.
        let new = &reload_log(&proxy)[before..];
        assert_eq!((new.len(), new[0].as_str()), (3, message), "{new:?}");
        assert!(new[2].starts_with("configuration in force version=1 classes=3 tenants=0"), "{new:?}");
        assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
    }
}
